// Package simwire connects dispatchers to the simulator. It reads batches of events for many dispatchers, drives one
// control.Module for each dispatcher, and writes the actions of the modules in replies. It makes no decisions itself,
// and the dispatchers share no state.
//
// A batch is a header with its record count, its size, the simulated time and its number, followed by records. A reply
// is a header with its size, its record count and the number of the batch, followed by records. Numbers are
// little-endian. A select record names the dispatcher to which the records after it belong.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"mastchute/control"
)

const (
	batchHeaderSize = 20      // bytes
	replyHeaderSize = 12      // bytes
	maxBatchSize    = 1 << 30 // bytes
	microsPerSecond = 1e6
)

var (
	// ErrTruncated is the error of input that ends within a batch, or of a batch that ends within a record.
	ErrTruncated = errors.New("input cut short")
	// ErrMalformed is the error of a complete batch that cannot be decoded.
	ErrMalformed = errors.New("malformed batch")
)

// RecordError reports a record that cannot be decoded. It wraps ErrTruncated, ErrMalformed or an error from parsing the
// settings.
type RecordError struct {
	Index  uint32 // in the batch, from 0
	Offset int    // bytes from the start of the batch
	Code   uint16 // event code
	Err    error
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("record %d at byte %d, code %d: %s", e.Index, e.Offset, e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// NewModule returns the module of a new dispatcher.
type NewModule func(seed uint64, s control.Settings, a control.Actions) control.Module

// Serve reads batches and writes their replies until the input ends. It returns nil if the input ends between two
// batches. All modules run on the caller's goroutine.
func Serve(in io.Reader, out io.Writer, newModule NewModule) error {
	s := &server{newModule: newModule, dispatchers: map[uint16]*dispatcher{}}
	r := bufio.NewReaderSize(in, 1<<16)
	for number := 1; ; number++ {
		err := s.serveBatch(r, out)
		if err == io.EOF { // not wrapped: the input ended between two batches
			return nil
		}
		if err != nil {
			return fmt.Errorf("batch %d: %w", number, err)
		}
	}
}

// server holds the dispatchers of this process, by their numbers.
type server struct {
	newModule   NewModule
	dispatchers map[uint16]*dispatcher
	active      []*dispatcher // those with events in the current batch, in the order of their first events
	body        bytes.Buffer  // of the current batch, without its header
	reply       replyWriter   // shared by the dispatchers
}

// serveBatch reads a batch and writes its reply. It returns io.EOF if there are no more batches.
func (s *server) serveBatch(in io.Reader, out io.Writer) error {
	var header [batchHeaderSize]byte
	_, err := io.ReadFull(in, header[:])
	if err == io.EOF {
		return err
	}
	if err != nil {
		return fmt.Errorf("read header: %w: %w", ErrTruncated, err)
	}
	size := binary.LittleEndian.Uint32(header[4:])
	if size < batchHeaderSize || size > maxBatchSize {
		return fmt.Errorf("%w: size of %d bytes is out of range", ErrMalformed, size)
	}
	s.body.Reset()
	_, err = io.CopyN(&s.body, in, int64(size-batchHeaderSize))
	if err != nil {
		return fmt.Errorf("read batch of %d bytes: %w: %w", size, ErrTruncated, err)
	}
	reply, err := s.applyBatch(header[:], s.body.Bytes())
	if err != nil {
		return err
	}
	_, err = out.Write(reply)
	if err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}

// applyBatch delivers the events of a batch to their dispatchers and returns the reply, which is valid until the next
// call.
func (s *server) applyBatch(header, body []byte) ([]byte, error) {
	count := binary.LittleEndian.Uint32(header)
	clock := binary.LittleEndian.Uint64(header[8:])
	s.reply.reset()
	s.active = s.active[:0]
	r := &recordReader{buf: body}
	selected := selection{}
	for i := range count {
		offset := r.offset()
		code := r.uint16()
		err := s.applyRecord(r, code, &selected, clock)
		if err != nil {
			return nil, &RecordError{Index: i, Offset: offset, Code: code, Err: err}
		}
	}
	if left := r.remaining(); left > 0 {
		return nil, fmt.Errorf("%w: %d bytes left over after %d records", ErrMalformed, left, count)
	}
	s.reconcile()
	return s.reply.finish(header[16:20]), nil
}

// selection is the dispatcher selected by the records of a batch so far.
type selection struct {
	number uint16
	set    bool // false until the first select record
}

// applyRecord decodes the rest of a record and delivers its event to the selected dispatcher. Events for a dispatcher
// that is not running are decoded and dropped.
func (s *server) applyRecord(r *recordReader, code uint16, selected *selection, clock uint64) error {
	if r.err != nil {
		return r.err
	}
	if code == eventSelectDispatcher {
		selected.number = r.uint16()
		selected.set = true
		return r.err
	}
	if !selected.set {
		return fmt.Errorf("%w: event before any dispatcher is selected", ErrMalformed)
	}
	number := selected.number
	switch code {
	case eventStart:
		return s.start(r, number, clock)
	case eventStop:
		delete(s.dispatchers, number)
		return nil
	}
	decode, ok := decoders[code]
	if !ok {
		return fmt.Errorf("%w: unknown event code %d", ErrMalformed, code)
	}
	d := s.dispatchers[number]
	if d == nil {
		decode(r, 0)
		return r.err
	}
	deliver := decode(r, d.origin)
	if r.err != nil {
		return r.err
	}
	s.activate(d, clock)
	d.run(func() { deliver(d.module) })
	return nil
}

// start starts a dispatcher. It replaces a running one with the same number.
func (s *server) start(r *recordReader, number uint16, clock uint64) error {
	seed := r.uint64()
	length := r.uint32()
	text := r.bytes(int(length))
	if r.err != nil {
		return r.err
	}
	values, err := ParseSettings(text)
	if err != nil {
		return err
	}
	d := &dispatcher{number: number, origin: clock, reply: &s.reply}
	s.dispatchers[number] = d
	d.run(func() { d.module = s.newModule(seed, control.ParseSettings(values), d) })
	s.activate(d, clock)
	return nil
}

// activate sets the clock of a dispatcher and marks it active at its first event in a batch.
func (s *server) activate(d *dispatcher, clock uint64) {
	if d.active {
		return
	}
	d.active = true
	s.active = append(s.active, d)
	d.run(func() { d.module.SetNow(sinceStart(clock, d.origin)) })
}

// reconcile ends a batch: the active dispatchers emit the actions that follow from their events.
func (s *server) reconcile() {
	for _, d := range s.active {
		d.active = false
		if s.dispatchers[d.number] != d {
			continue // stopped or replaced in this batch
		}
		d.run(func() { d.module.Reconcile() }) // not run if newModule panicked, so the module is not nil
		if d.failure != "" {
			d.action(actionDispatcherFailed).text(d.failure)
		}
	}
}

// dispatcher is a running dispatcher, the host of one module.
type dispatcher struct {
	number  uint16
	origin  uint64 // simulated time of its start in microseconds; the module's clock counts from it
	module  control.Module
	reply   *replyWriter
	active  bool   // has an event in the current batch
	failure string // describes the panic that ended the module, empty while it runs
}

// run calls f, which runs code of the module. A panic in f ends only this dispatcher: its module is not called again,
// and the failure is reported at the end of each batch that has events for it.
func (d *dispatcher) run(f func()) {
	if d.failure != "" {
		return
	}
	defer func() {
		if v := recover(); v != nil {
			d.failure = fmt.Sprint("decision code failed: ", v)
		}
	}()
	f()
}

// sinceStart returns a simulated time as seconds since a dispatcher's start.
func sinceStart(clock, origin uint64) control.Seconds {
	return float64(int64(clock-origin)) / microsPerSecond
}
