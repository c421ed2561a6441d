package workerproto

import "testing"

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
