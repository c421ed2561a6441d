package simwire

import (
	"encoding/binary"
	"math"

	"mastchute/control"
)

// reply builds a reply frame; By records are put in where the acting dispatcher changes.
type reply struct {
	b     []byte
	count uint32
	who   int
}

func (r *reply) reset() { r.b, r.count, r.who = append(r.b[:0], make([]byte, replyHead)...), 0, -1 }

func (r *reply) by(number uint16) {
	if r.who != int(number) {
		r.who = int(number)
		r.begin(acBy)
		r.u16(number)
	}
}

func (r *reply) begin(code uint16) { r.count++; r.u16(code) }
func (r *reply) u16(v uint16)      { r.b = binary.LittleEndian.AppendUint16(r.b, v) }
func (r *reply) u32(v uint32)      { r.b = binary.LittleEndian.AppendUint32(r.b, v) }
func (r *reply) u64(v uint64)      { r.b = binary.LittleEndian.AppendUint64(r.b, v) }

func (r *reply) worker(w control.WorkerID) { r.u32(uint32(w)); r.u16(uint16(w >> 32)) }

func (r *reply) micros(s float64) {
	r.u32(uint32(math.Round(math.Min(math.Max(s*micro, 0), math.MaxUint32))))
}

func (r *reply) text(s string) {
	s = s[:min(len(s), maxText)]
	r.u16(uint16(len(s)))
	r.b = append(r.b, s...)
}

func (r *reply) frame(number []byte) []byte {
	binary.LittleEndian.PutUint32(r.b, uint32(len(r.b)))
	binary.LittleEndian.PutUint32(r.b[4:], r.count)
	copy(r.b[8:replyHead], number)
	return r.b
}

// do opens an action of this dispatcher.
func (d *dispatcher) do(code uint16) *reply {
	d.out.by(d.number)
	d.out.begin(code)
	return d.out
}

func (d *dispatcher) SendAttempt(id control.RequestID, w control.WorkerID, timeout control.Seconds) {
	o := d.do(acRelay)
	o.u32(uint32(id))
	o.worker(w)
	o.micros(timeout)
}

func (d *dispatcher) Shed(id control.RequestID, retryAfter control.Seconds) {
	o := d.do(acReject)
	o.u32(uint32(id))
	o.micros(retryAfter)
}

func (d *dispatcher) Fail(id control.RequestID) { d.do(acReportFailure).u32(uint32(id)) }

func (d *dispatcher) CancelAttempt(id control.RequestID, attempt int) {
	o := d.do(acAbortAttempt)
	o.u32(uint32(id))
	o.u16(uint16(attempt))
}

func (d *dispatcher) LoadModel(w control.WorkerID, m control.ModelID, copies int) {
	o := d.do(acEnsure)
	o.worker(w)
	o.u64(uint64(m))
	o.b = append(o.b, uint8(copies))
}

func (d *dispatcher) UnloadModel(w control.WorkerID, m control.ModelID) {
	o := d.do(acUnmount)
	o.worker(w)
	o.u64(uint64(m))
}

func (d *dispatcher) ProbeWorker(w control.WorkerID)          { d.do(acPoll).worker(w) }
func (d *dispatcher) CloseIdleConnections(w control.WorkerID) { d.do(acDisconnect).worker(w) }
func (d *dispatcher) FetchWorkerList()                        { d.do(acReload) }
func (d *dispatcher) Log(text string)                         { d.do(acLog).text(text) }

func (d *dispatcher) SendPeerMessage(to control.PeerID, note []byte) {
	o := d.do(acMemoTo)
	o.u16(uint16(to))
	o.text(string(note[:min(len(note), maxNote)]))
}

func (d *dispatcher) SubscribeWorkerList(on bool) {
	o := d.do(acTail)
	var v byte
	if on {
		v = 1
	}
	o.b = append(o.b, v)
}

func (d *dispatcher) SetTimer(after control.Seconds, t control.TimerID) {
	o := d.do(acWakeAt)
	o.micros(after)
	o.u32(uint32(t))
}

var _ control.Actions = (*dispatcher)(nil)
