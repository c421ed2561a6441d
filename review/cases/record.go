package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the text file in which a case writes what was sent, answered and run. Its methods may be called from any
// goroutine.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// newRecord creates the file at path.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// now returns the seconds since the start of the case.
func (r *record) now() float64 { return time.Since(r.start).Seconds() }

// add writes one line with the present time, and returns that time.
func (r *record) add(format string, args ...any) float64 {
	at := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", at, fmt.Sprintf(format, args...))
	return at
}

// say writes one line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
