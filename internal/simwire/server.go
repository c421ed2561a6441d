// Package simwire connects dispatchers to the simulator. It reads batches of events for many dispatchers, drives one
// control.Module for each, and writes the actions of the modules in replies. It takes no decisions, and the dispatchers
// share no state.
//
// A batch is a header, which holds its record count, its size, the simulated time and its number, followed by records. A
// reply is a header, which holds its size, its record count and the number of the batch, followed by records. Numbers are
// little-endian. A record that selects a dispatcher holds for those after it.
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
	batchHeaderSize = 20 // bytes
	replyHeaderSize = 12 // bytes
	maxBatchSize    = 1 << 30
	microsPerSecond = 1e6
)

var (
	// ErrTruncated is the error of input that ends, or of a batch that is too short, within something.
	ErrTruncated = errors.New("input cut short")
	// ErrMalformed is the error of a batch that is complete and can't be decoded.
	ErrMalformed = errors.New("malformed batch")
)

// RecordError reports the record of a batch that can't be decoded. It wraps ErrTruncated, ErrMalformed or the error of the
// settings text.
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

// NewModule returns the module of a dispatcher that starts.
type NewModule func(seed uint64, s control.Settings, a control.Actions) control.Module

// Serve answers batches until the input ends. It returns nil if it ends between two batches. Everything runs on the
// caller's goroutine.
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
	touched     []*dispatcher // those with events in the present batch, in order of their first event
	body        bytes.Buffer  // of the present batch, without its header
	reply       replyWriter   // shared by the dispatchers
}

// serveBatch reads a batch and writes its reply. It returns io.EOF if there is no further batch.
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
	reply, err := s.play(header[:], s.body.Bytes())
	if err != nil {
		return err
	}
	_, err = out.Write(reply)
	if err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}

// play hands the events of a batch to their dispatchers and returns the reply, which is valid until the next call.
func (s *server) play(header, body []byte) ([]byte, error) {
	count := binary.LittleEndian.Uint32(header)
	clock := binary.LittleEndian.Uint64(header[8:])
	s.reply.reset()
	s.touched = s.touched[:0]
	r := &recordReader{buf: body}
	selected := selection{}
	for i := range count {
		offset := r.offset()
		code := r.uint16()
		err := s.playRecord(r, code, &selected, clock)
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

// selection is the dispatcher that the records of a batch are for; none at its start.
type selection struct {
	number uint16
	set    bool
}

// playRecord decodes the rest of a record and hands its event to the dispatcher. Events for a dispatcher that is not
// running are decoded and dropped.
func (s *server) playRecord(r *recordReader, code uint16, selected *selection, clock uint64) error {
	if r.err != nil {
		return r.err
	}
	if code == eventSelect {
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
	s.touch(d, clock)
	d.run(func() { deliver(d.module) })
	return nil
}

// start starts a dispatcher, in place of one that has its number.
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
	s.touch(d, clock)
	return nil
}

// touch sets the clock of a dispatcher at its first event of a batch.
func (s *server) touch(d *dispatcher, clock uint64) {
	if d.touched {
		return
	}
	d.touched = true
	s.touched = append(s.touched, d)
	d.run(func() { d.module.SetNow(sinceStart(clock, d.origin)) })
}

// reconcile ends a batch: the dispatchers with events emit the actions that follow from them.
func (s *server) reconcile() {
	for _, d := range s.touched {
		d.touched = false
		if s.dispatchers[d.number] != d {
			continue // stopped within this batch
		}
		d.run(func() { d.module.Reconcile() }) // the module is nil if it failed at its start
		if d.failure != "" {
			d.action(actionGiveUp).text(d.failure)
		}
	}
}

// dispatcher is a running module.
type dispatcher struct {
	number  uint16
	origin  uint64 // simulated time of its start, in microseconds
	module  control.Module
	reply   *replyWriter
	touched bool   // has an event in the present batch
	failure string // describes the panic that ended it
}

// run runs code of the module. A panic in it ends the dispatcher alone: it is reported at the end of each batch with
// events for it, and nothing of it runs any more.
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
