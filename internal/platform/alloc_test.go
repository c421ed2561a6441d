package platform

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"testing"
)

// TestOrdinaryPathAllocatesNothing runs requests through client, dispatcher and worker, and reads the allocator's count.
// The client and the worker of this test work on buffers of their own.
func TestOrdinaryPathAllocatesNothing(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector allocates")
	}
	const warm, total = 2000, 12000
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerAll(c)
		}
	}()
	w := &fakeWorker{id: "w1", listener: ln}
	r := newHarness(t, "load", w)
	c := r.dial()
	defer c.Close()
	b := requestFrame(1, "read", "in")
	at := bytes.Index(b, []byte("dispatch")) + len("dispatch")
	id := bytes.Index(b, []byte("trace")) + len("trace") + 4
	in := make([]byte, 4096)
	var before, after runtime.MemStats
	for n := range total {
		if n == warm {
			runtime.GC()
			runtime.ReadMemStats(&before)
		}
		binary.BigEndian.PutUint32(b[at:], uint32(n+1))
		for i, v := 0, n; i < 8; i, v = i+1, v/10 {
			b[id+15-i] = byte('0' + v%10)
		}
		if _, err := c.Write(b); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(c, in[:4]); err != nil {
			t.Fatal(err)
		}
		size := int(binary.BigEndian.Uint32(in))
		if _, err := io.ReadFull(c, in[4:4+size]); err != nil {
			t.Fatal(err)
		}
		if !bytes.Contains(in[:4+size], []byte("well")) {
			t.Fatalf("%q", in[:4+size])
		}
	}
	runtime.ReadMemStats(&after)
	if each := float64(after.Mallocs-before.Mallocs) / (total - warm); each > 0.05 {
		t.Errorf("%.3f allocations for an inference", each)
	}
}

// answerAll serves each attempt on a connection. It looks for lines only, as the bodies here hold none.
func answerAll(c net.Conn) {
	in, out, have := make([]byte, 64<<10), make([]byte, 0, 4096), 0
	for {
		n, err := c.Read(in[have:])
		if err != nil {
			return
		}
		have += n
		for {
			end := bytes.Index(in[:have], []byte("\r\nin\r\n"))
			if end < 0 {
				break
			}
			if line := in[:end]; bytes.HasPrefix(line, []byte("invoke ")) {
				out = append(append(out[:0], line[7:23]...), " served detail=resident,use=inflight:1;queue:0 4\r\nwell\r\n"...)
				if _, err := c.Write(out); err != nil {
					return
				}
			}
			have = copy(in, in[end+6:have])
		}
	}
}
