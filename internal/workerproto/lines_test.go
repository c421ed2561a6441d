package workerproto

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"mastchute/control"
)

func number(b []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(b), 64)
	return v, err == nil
}

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		text string
		want string
	}{
		{"a1 served detail=resident,use=inflight:7;queue:0.5 4\r\nwell\r\n", "a1 0 1 0 [7 0.5] well"},
		{"a1 served - 0\r\n\r\n", "a1 0 0 0 [] "},
		{"a1 served detail=booted 2\r\n\r\n\r\n", "a1 0 2 0 [] \r\n"},
		{"a1 served detail=rode,new=x 1\r\nx\r\n", "a1 0 3 0 [] x"},
		{"a1 not_here detail=boot_error 0\r\n\r\n", "a1 8 4 0 [] "},
		{"a1 overload use=queue:3;inflight:1 0\r\n\r\n", "a1 2 0 0 [1 3] "},
		{"a1 overload use=inflight:1 0\r\n\r\n", "a1 2 0 0 [] "},
		{"a1 crashed - 0\r\n\r\n", "a1 1 0 0 [] "},
		{"a1 nobody - 0\r\n\r\n", "a1 7 0 0 [] "},
		{"t1 green use=inflight:2;queue:0 0\r\n\r\n", "t1 0 0 0 [2 0] "},
		{"t1 red - 0\r\n\r\n", "t1 1 0 0 [] "},
		{"t1 served replicas=2 0\r\n\r\n", "t1 0 0 2 [] "},
	} {
		b := []byte(c.text + "next")
		for i := range len(c.text) { // cut anywhere it is not whole, and never a fault
			if _, n, err := ReadResponse(b[:i]); n != 0 || err != nil {
				t.Errorf("%q cut at %d: %d %v", c.text, i, n, err)
			}
		}
		a, n, err := ReadResponse(b)
		report := make([]float64, 2)
		k := ReadLoadReport(a.LoadReport, []string{"inflight", "queue"}, report, number)
		got := fmt.Sprintf("%s %d %d %d %v %s", a.ID, a.Result, a.ModelState, a.Replicas, report[:k], a.Body)
		if err != nil || n != len(c.text) || got != c.want {
			t.Errorf("%q: %q %d %v, want %q", c.text, got, n, err, c.want)
		}
	}
}

func TestSpoiltAnswers(t *testing.T) {
	for _, text := range []string{"\r\n", "\n", " a served - 0\r\n", "a1 served - 0\n", "a1 served 0\r\n", "a1 served - -1\r\n", "a1 served - 3000000000\r\n",
		"a1 served - 300000\r\n", "a1 served - 0x1\r\n", "a1 served - 4\r\nwellx\r\n", "a1 served - 4\r\nwell\rx", "a1 returned - 0\r\n", "a1 served =x 0\r\n",
		"a1 served x 0\r\n", "a1 served replicas=x 0\r\n", "a\x001 served", "\x80\xff", strings.Repeat("a", MaxLineBytes+1), "a1\r served - 0\r\n\r\n"} {
		if _, n, err := ReadResponse([]byte(text)); err == nil {
			t.Errorf("%q is taken, %d bytes", text, n)
		}
	}
}

func TestCommands(t *testing.T) {
	id := []byte("9b1f03aa5c7e2d41")
	for _, c := range []struct{ got, want string }{
		{string(AppendInvoke(nil, id, []byte("call"), []byte("7f3a"), []byte("5c0f"), 1500, []byte("a\r\nb"))),
			"invoke 9b1f03aa5c7e2d41 queue=call,path=7f3a,budget=1500,uniq=5c0f 4\r\na\r\nb\r\n"},
		{string(AppendInvoke(nil, id, []byte("call"), []byte("7f3a"), nil, 1, nil)), "invoke 9b1f03aa5c7e2d41 queue=call,path=7f3a,budget=1 0\r\n\r\n"},
		{string(AppendCancel(nil, id)), "abort 9b1f03aa5c7e2d41\r\n"},
		{string(AppendProbe(nil, []byte("t1"))), "gauges t1\r\n"},
		{string(AppendPing(nil, []byte("t1"))), "alive t1\r\n"},
		{string(AppendUnloadModel(nil, "7f3a")), "evict 7f3a\r\n"},
		{string(AppendLoadModel(nil, []byte("t1"), "7f3a", 2)), "prewarm t1 path=7f3a,replicas=2\r\n"},
	} {
		if c.got != c.want {
			t.Errorf("%q, want %q", c.got, c.want)
		}
	}
}

func FuzzNext(f *testing.F) {
	f.Add([]byte("a1 served detail=resident,use=inflight:7;queue:0.5 4\r\nwell\r\n"))
	f.Add([]byte("a1 served - 3000000000\r\n"))
	f.Add([]byte("a1 overload - 0\r\n\r\nb2 served"))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, n, err := ReadResponse(b)
		if n == 0 {
			return
		}
		if err != nil || n > len(b) || len(a.ID) == 0 || len(a.Body) > MaxBodyBytes || bytes.ContainsAny(a.ID, " \r\n") || a.Result > control.ModelNotLoaded {
			t.Fatalf("%+v %d %v", a, n, err)
		}
		// What follows makes no difference, and what is taken ends as an answer does.
		if c, m, err := ReadResponse(append(b[:n:n], "x y"...)); err != nil || m != n || !bytes.Equal(c.Body, a.Body) || !bytes.HasSuffix(b[:n], []byte("\r\n")) {
			t.Fatalf("%+v %d %v, was %+v %d", c, m, err, a, n)
		}
	})
}
