// Package simwire speaks the simulator's wire: it reads batches of events for many dispatchers, drives one
// control.Module for each, and writes their actions. It decides nothing and shares nothing between
// dispatchers.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"mastchute/control"
)

const (
	headSize  = 20 // bytes of a batch's header
	replyHead = 12 // bytes of a reply's header
	lineSize  = 24 // bytes of one line of the list of workers
	maxFrame  = 1 << 30
	micro     = 1e6
	maxNote   = 256 // bytes of a note to a peer
	maxText   = 65535
)

// Event codes.
const (
	evBegin = iota + 1
	evWithdrawn
	evFor
	evMembers
	evElapsed
	evInPlace
	evStatusBack
	evHeaders
	evQuery
	evPeerData
	evFinished
	evShutdown
)

// Action codes.
const (
	acUnmount = iota + 65
	acReportFailure
	acAbortAttempt
	acTail
	acWakeAt
	acReject
	acPoll
	acEnsure
	acReload
	acRelay
	acDisconnect
	acLog
	acBy
	acGiveIn
	acMemoTo
)

// Start makes the module of a dispatcher that comes up.
type Start func(seed uint64, s control.Settings, a control.Actions) control.Module

// host runs all dispatchers of this process.
type host struct {
	start   Start
	all     map[uint16]*dispatcher
	touched []*dispatcher
	out     reply
}

// dispatcher is one running module; origin is the clock at its start, in microseconds.
type dispatcher struct {
	number  uint16
	origin  uint64
	module  control.Module
	out     *reply
	turn    bool // has an event in this batch
	panicky string
}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out io.Writer, start Start) error {
	h := &host{start: start, all: map[uint16]*dispatcher{}}
	r := bufio.NewReaderSize(in, 1<<16)
	var body bytes.Buffer
	for n := 1; ; n++ {
		var head [headSize]byte
		if _, err := io.ReadFull(r, head[:]); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("batch %d: header cut short: %w", n, err)
		}
		size := binary.LittleEndian.Uint32(head[4:])
		if size < headSize || size > maxFrame {
			return fmt.Errorf("batch %d: length %d does not add up", n, size)
		}
		body.Reset()
		if _, err := io.CopyN(&body, r, int64(size-headSize)); err != nil {
			return fmt.Errorf("batch %d: frame of %d bytes cut short: %w", n, size, err)
		}
		text, err := h.batch(head[:], body.Bytes())
		if err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if _, err := out.Write(text); err != nil {
			return fmt.Errorf("batch %d: writing the reply: %w", n, err)
		}
	}
}

// batch plays one batch and returns the reply frame.
func (h *host) batch(head, body []byte) ([]byte, error) {
	count := binary.LittleEndian.Uint32(head)
	clock := binary.LittleEndian.Uint64(head[8:])
	h.out.reset()
	h.touched = h.touched[:0]
	rd := &reader{b: body, base: headSize}
	var number uint16
	named := false
	for i := uint32(0); i < count; i++ {
		at := rd.pos()
		code := rd.u16()
		if code == evFor {
			number, named = rd.u16(), true
		} else if rd.err == nil {
			if !named {
				return nil, fmt.Errorf("record %d at byte %d: event %d before any For", i, at, code)
			}
			if err := h.event(rd, code, number, clock); err != nil {
				return nil, fmt.Errorf("record %d at byte %d: %w", i, at, err)
			}
		}
		if rd.err != nil {
			return nil, fmt.Errorf("record %d at byte %d, code %d: %w", i, at, code, rd.err)
		}
	}
	if rd.i != len(body) {
		return nil, fmt.Errorf("%d bytes left over after %d records", len(body)-rd.i, count)
	}
	for _, d := range h.touched {
		d.turn = false
		if h.all[d.number] != d {
			continue // stopped within this batch
		}
		d.guard(d.module.Reconcile)
		if d.panicky != "" {
			d.out.by(d.number)
			d.out.begin(acGiveIn)
			d.out.text(d.panicky)
		}
	}
	return h.out.frame(head[16:20]), nil
}

// guard runs decision code; a panic in it is kept for the wire's give-in action.
func (d *dispatcher) guard(f func()) {
	if d.panicky != "" {
		return
	}
	defer func() {
		if v := recover(); v != nil {
			d.panicky = fmt.Sprint("decision code failed: ", v)
		}
	}()
	f()
}

// span returns a clock time as seconds since the dispatcher's start.
func (d *dispatcher) span(clock uint64) float64 { return float64(int64(clock-d.origin)) / micro }

// event decodes one event and hands it to its module; a switch of all codes reads better whole. Events for a dispatcher that is not up are read and
// passed over.
func (h *host) event(rd *reader, code, number uint16, clock uint64) error {
	if code == evBegin {
		seed := rd.u64()
		text := rd.bytes(int(rd.u32()))
		if rd.err != nil {
			return rd.err
		}
		values, err := ParseSettings(text)
		if err != nil {
			return err
		}
		d := &dispatcher{number: number, origin: clock, out: &h.out}
		h.all[number] = d
		d.guard(func() { d.module = h.start(seed, control.ParseSettings(values), d) })
		h.touch(d, clock)
		return nil
	}
	d := h.all[number]
	play := func(f func(m control.Module)) {
		if d != nil && rd.err == nil {
			h.touch(d, clock)
			d.guard(func() { f(d.module) })
		}
	}
	switch code {
	case evShutdown:
		delete(h.all, number)
	case evWithdrawn:
		id := control.RequestID(rd.u32())
		play(func(m control.Module) { m.RequestCancelled(id) })
	case evElapsed:
		t := control.TimerID(rd.u32())
		play(func(m control.Module) { m.TimerFired(t) })
	case evMembers:
		return h.members(rd, d, play)
	case evInPlace:
		o := control.LoadResult{Worker: rd.worker(), Model: control.ModelID(rd.u64()), Result: rd.result()}
		o.Duration = rd.micros()
		o.Replicas = int(rd.u8())
		play(func(m control.Module) { m.LoadFinished(o) })
	case evStatusBack:
		o := control.ProbeResult{Worker: rd.worker(), Result: rd.result(), Duration: rd.micros(), LoadReport: rd.gauge()}
		play(func(m control.Module) { m.ProbeFinished(o) })
	case evHeaders:
		id, took, leg, w := control.RequestID(rd.u32()), rd.micros(), int(rd.u16()), rd.worker()
		play(func(m control.Module) { m.ResponseStarted(id, leg, w, took) })
	case evQuery:
		q := control.Request{ID: control.RequestID(rd.u32()), MemoryMB: rd.f32()}
		q.Tenant = control.TenantID(rd.u16())
		q.Model = control.ModelID(rd.u64())
		work := rd.micros()
		q.Concurrency = rd.f32()
		end := rd.u64()
		opts := rd.u16()
		q.LoadTimeHint = rd.f32() / 1e3
		q.Group = control.GroupID(rd.u16())
		q.ClientRetry = opts&2 != 0
		if opts&1 != 0 {
			q.WorkHint = work
		}
		q.Deadline = math.Inf(1)
		if end != 0 && d != nil {
			q.Deadline = d.span(end)
		}
		play(func(m control.Module) { m.RequestArrived(q) })
	case evPeerData:
		from := control.PeerID(rd.u16())
		note := rd.bytes(int(rd.u16()))
		play(func(m control.Module) { m.PeerMessageReceived(from, note) })
	case evFinished:
		o := control.AttemptResult{ID: control.RequestID(rd.u32()), Duration: rd.micros(), Worker: rd.worker()}
		o.Attempt = int(rd.u16())
		note := rd.u8()
		o.RequestAnswered = rd.u8() != 0
		o.Result = rd.result()
		o.ModelState = control.ModelState(note & 7)
		o.SameModelInFlight = int(note >> 3)
		o.LoadReport = rd.gauge()
		play(func(m control.Module) { m.AttemptFinished(o) })
	default:
		return fmt.Errorf("unknown event code %d", code)
	}
	return rd.err
}

var listKinds = map[uint8]control.WorkerListKind{
	0: control.ListDelta, 1: control.ListFailed, 3: control.ListCached, 4: control.ListSnapshot,
}

// members decodes a list of workers.
func (h *host) members(rd *reader, d *dispatcher, play func(func(control.Module))) error {
	how := rd.u8()
	kind, ok := listKinds[how]
	if !ok && rd.err == nil {
		return fmt.Errorf("unknown list kind %d", how)
	}
	version, n := rd.u32(), rd.u32()
	if rd.err == nil && uint64(n)*lineSize > uint64(len(rd.b)-rd.i) {
		return fmt.Errorf("list of %d workers is longer than the frame", n)
	}
	var list []control.WorkerInfo
	for i := uint32(0); i < n && rd.err == nil; i++ {
		w := control.WorkerInfo{ID: rd.worker(), Zone: control.ZoneID(rd.u16()), Kind: control.KindID(rd.u8())}
		w.Cell = control.CellID(rd.u16())
		state := rd.u8()
		if state > uint8(control.Draining) && rd.err == nil {
			return fmt.Errorf("unknown worker state %d", state)
		}
		w.State = control.WorkerState(state)
		w.Weight = rd.f32()
		w.StartedAt = math.Inf(-1)
		if at := rd.u64(); at != 0 && d != nil {
			w.StartedAt = d.span(at)
		}
		list = append(list, w)
	}
	play(func(m control.Module) { m.UpdateWorkers(kind, version, list) })
	return rd.err
}

// touch notes that a dispatcher has an event in this batch and sets its clock.
func (h *host) touch(d *dispatcher, clock uint64) {
	if !d.turn {
		d.turn = true
		h.touched = append(h.touched, d)
		d.guard(func() { d.module.SetNow(d.span(clock)) })
	}
}

// The actions, as control.Actions names them.
