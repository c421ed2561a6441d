package simwire

import (
	"encoding/binary"
	"math"

	"mastchute/control"
)

// The record codes of actions.
const (
	actionUnloadModel      = 65
	actionFail             = 66
	actionCancelAttempt    = 67
	actionSubscribe        = 68
	actionSetTimer         = 69
	actionShed             = 70
	actionProbe            = 71
	actionLoadModel        = 72
	actionFetchList        = 73
	actionSendAttempt      = 74
	actionCloseConnections = 75
	actionLog              = 76
	actionSelectDispatcher = 77 // selects the dispatcher of the actions after it
	actionDispatcherFailed = 78 // the module panicked; holds the reason
	actionPeerMessage      = 79
)

const (
	maxPeerMessage = 256   // bytes; longer messages are cut off
	maxText        = 65535 // bytes; longer texts are cut off
)

// replyWriter builds a reply. It inserts a select record wherever the acting dispatcher changes.
type replyWriter struct {
	buf      []byte
	count    uint32 // records
	selected int    // number of the acting dispatcher, -1 for none
}

// reset begins a reply; the header is filled in by finish.
func (w *replyWriter) reset() {
	w.buf = append(w.buf[:0], make([]byte, replyHeaderSize)...)
	w.count = 0
	w.selected = -1
}

// finish fills in the header and returns the reply, which is valid until the next reset. batchNumber holds the four
// bytes from the header of the batch.
func (w *replyWriter) finish(batchNumber []byte) []byte {
	binary.LittleEndian.PutUint32(w.buf, uint32(len(w.buf)))
	binary.LittleEndian.PutUint32(w.buf[4:], w.count)
	copy(w.buf[8:replyHeaderSize], batchNumber)
	return w.buf
}

func (w *replyWriter) beginRecord(code uint16) {
	w.count++
	w.uint16(code)
}

func (w *replyWriter) selectDispatcher(number uint16) {
	if w.selected == int(number) {
		return
	}
	w.selected = int(number)
	w.beginRecord(actionSelectDispatcher)
	w.uint16(number)
}

func (w *replyWriter) uint8(v uint8)   { w.buf = append(w.buf, v) }
func (w *replyWriter) uint16(v uint16) { w.buf = binary.LittleEndian.AppendUint16(w.buf, v) }
func (w *replyWriter) uint32(v uint32) { w.buf = binary.LittleEndian.AppendUint32(w.buf, v) }
func (w *replyWriter) uint64(v uint64) { w.buf = binary.LittleEndian.AppendUint64(w.buf, v) }

// worker writes the id of a worker in the form that recordReader.worker reads.
func (w *replyWriter) worker(id control.WorkerID) {
	w.uint32(uint32(id))
	w.uint16(uint16(id >> 32))
}

// seconds writes a duration in microseconds, clamped to the range of a uint32.
func (w *replyWriter) seconds(s control.Seconds) {
	micros := math.Min(math.Max(s*microsPerSecond, 0), math.MaxUint32)
	w.uint32(uint32(math.Round(micros)))
}

func (w *replyWriter) text(s string) {
	s = s[:min(len(s), maxText)]
	w.uint16(uint16(len(s)))
	w.buf = append(w.buf, s...)
}

// action begins the record of an action of this dispatcher and returns the writer for its fields.
func (d *dispatcher) action(code uint16) *replyWriter {
	d.reply.selectDispatcher(d.number)
	d.reply.beginRecord(code)
	return d.reply
}

var _ control.Actions = (*dispatcher)(nil)

// SendAttempt implements control.Actions.
func (d *dispatcher) SendAttempt(id control.RequestID, worker control.WorkerID, timeout control.Seconds) {
	w := d.action(actionSendAttempt)
	w.uint32(uint32(id))
	w.worker(worker)
	w.seconds(timeout)
}

// Shed implements control.Actions.
func (d *dispatcher) Shed(id control.RequestID, retryAfter control.Seconds) {
	w := d.action(actionShed)
	w.uint32(uint32(id))
	w.seconds(retryAfter)
}

// Fail implements control.Actions.
func (d *dispatcher) Fail(id control.RequestID) { d.action(actionFail).uint32(uint32(id)) }

// CancelAttempt implements control.Actions.
func (d *dispatcher) CancelAttempt(id control.RequestID, attempt int) {
	w := d.action(actionCancelAttempt)
	w.uint32(uint32(id))
	w.uint16(uint16(attempt))
}

// LoadModel implements control.Actions.
func (d *dispatcher) LoadModel(worker control.WorkerID, model control.ModelID, replicas int) {
	w := d.action(actionLoadModel)
	w.worker(worker)
	w.uint64(uint64(model))
	w.uint8(uint8(replicas))
}

// UnloadModel implements control.Actions.
func (d *dispatcher) UnloadModel(worker control.WorkerID, model control.ModelID) {
	w := d.action(actionUnloadModel)
	w.worker(worker)
	w.uint64(uint64(model))
}

// ProbeWorker implements control.Actions.
func (d *dispatcher) ProbeWorker(worker control.WorkerID) { d.action(actionProbe).worker(worker) }

// CheckWorker implements control.Actions.
func (d *dispatcher) CheckWorker(worker control.WorkerID, model control.ModelID) {
	d.LoadModel(worker, model, 0)
}

// CloseIdleConnections implements control.Actions.
func (d *dispatcher) CloseIdleConnections(worker control.WorkerID) {
	d.action(actionCloseConnections).worker(worker)
}

// SendPeerMessage implements control.Actions.
func (d *dispatcher) SendPeerMessage(to control.PeerID, message []byte) {
	w := d.action(actionPeerMessage)
	w.uint16(uint16(to))
	w.text(string(message[:min(len(message), maxPeerMessage)]))
}

// SubscribeEndpointList implements control.Actions.
func (d *dispatcher) SubscribeEndpointList(on bool) {
	w := d.action(actionSubscribe)
	if on {
		w.uint8(1)
	} else {
		w.uint8(0)
	}
}

// FetchEndpointList implements control.Actions.
func (d *dispatcher) FetchEndpointList() { d.action(actionFetchList) }

// SetTimer implements control.Actions.
func (d *dispatcher) SetTimer(after control.Seconds, id control.TimerID) {
	w := d.action(actionSetTimer)
	w.seconds(after)
	w.uint32(uint32(id))
}

// Log implements control.Actions.
func (d *dispatcher) Log(text string) { d.action(actionLog).text(text) }
