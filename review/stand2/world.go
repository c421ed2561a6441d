package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// world is what a case runs in.
type world struct {
	root        string
	dir         string // temporary
	rec         *record
	trouble     bool
	dispatchers []*dispatcher
	closers     []func()
}

func newWorld(root, recordPath string) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	rec := &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}
	return &world{root: root, dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}, nil
}

// close ends the dispatchers and the stand-ins.
func (w *world) close() {
	for _, d := range w.dispatchers {
		d.kill()
	}
	for _, f := range w.closers {
		f()
	}
	os.RemoveAll(w.dir)
	w.rec.close()
}

// record is the log of a case. Times are in seconds since its start.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
}

func (r *record) now() float64 { return time.Since(r.start).Seconds() }

// printf writes a line with the time.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f %s\n", r.now(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// unix converts a time of the record to milliseconds since 1970.
func (r *record) unix(at float64) int64 {
	return r.start.Add(time.Duration(at * float64(time.Second))).UnixMilli()
}

// freeAddr returns a free loopback address.
func freeAddr() string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// sleep waits for a number of seconds.
func sleep(seconds float64) { time.Sleep(time.Duration(seconds * float64(time.Second))) }

// sleepUntil waits for a time of the record.
func (r *record) sleepUntil(at float64) {
	if left := at - r.now(); left > 0 {
		sleep(left)
	}
}
