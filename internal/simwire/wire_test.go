package simwire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"reflect"
	"strings"
	"testing"

	"mastchute/control"
)

// echo is a module that writes down its events and acts as told.
type echo struct {
	act  control.Actions
	log  *[]string
	todo func(control.Actions)
}

func (e *echo) say(f string, a ...any)                         { *e.log = append(*e.log, fmt.Sprintf(f, a...)) }
func (e *echo) SetNow(now control.Seconds)                     { e.say("at %.6f", now) }
func (e *echo) RequestArrived(q control.Request)               { e.say("%+v", q) }
func (e *echo) AttemptFinished(o control.AttemptResult)        { e.say("%+v", o) }
func (e *echo) RequestCancelled(id control.RequestID)          { e.say("withdrawn %x", id) }
func (e *echo) LoadFinished(o control.LoadResult)              { e.say("%+v", o) }
func (e *echo) ProbeFinished(o control.ProbeResult)            { e.say("%+v", o) }
func (e *echo) PeerMessageReceived(p control.PeerID, n []byte) { e.say("told %d %s", p, n) }
func (e *echo) TimerFired(t control.TimerID)                   { e.say("timer %d", t) }
func (e *echo) ResponseStarted(i control.RequestID, f int, _ control.WorkerID, _ float64) {
	e.say("stream %x.%d", i, f)
}
func (e *echo) UpdateWorkers(k control.WorkerListKind, v uint32, l []control.WorkerInfo) {
	e.say("list %d %d %+v", k, v, l)
}
func (e *echo) Reconcile() {
	if e.todo != nil {
		e.todo(e.act)
	}
}

// play serves frames given as hexadecimal text and returns the replies, the modules' notes and the error.
func play(todo func(control.Actions), frames ...string) (string, []string, error) {
	var in, out bytes.Buffer
	var log []string
	for _, f := range frames {
		b, err := hex.DecodeString(strings.Join(strings.Fields(f), ""))
		if err != nil {
			panic(err)
		}
		in.Write(b)
	}
	err := Serve(&in, &out, func(seed uint64, s control.Settings, a control.Actions) control.Module {
		settings := "defaults"
		if !reflect.DeepEqual(s, control.Settings{}) {
			settings = fmt.Sprintf("%+v", s)
		}
		log = append(log, fmt.Sprintf("start %d %s", seed, settings))
		return &echo{act: a, log: &log, todo: todo}
	})
	return hex.EncodeToString(out.Bytes()), log, err
}

// frame puts records into a batch at clock 8412250 µs.
func frame(count int, records string) string {
	n := len(strings.Join(strings.Fields(records), "")) / 2
	return fmt.Sprintf("%02x000000 %02x%02x0000 5a5c800000000000 0c000000 %s", count, (20+n)&255, (20+n)>>8, records)
}

const begin = "0300 0300 0100 0700000000000000 02000000 7b7d " // For 3, Begin with seed 7 and settings {}
const query = "0900 c4913a5d 0000c043 0000 010ad2557c000000 e02e0000 00000040 da05840000000000 0100 00006144 0000"

func TestEmptyBatch(t *testing.T) {
	got, _, err := play(nil, "00000000 14000000 5a5c800000000000 01000000")
	if err != nil || got != "0c0000000000000001000000" {
		t.Errorf("%s %v", got, err)
	}
}

func TestEvents(t *testing.T) {
	for _, c := range []struct{ record, want string }{
		{query, "{ID:1564119492 Model:534015773185 Group:0 Tenant:0 MemoryMB:384 Concurrency:2 WorkHint:0.012 LoadTimeHint:0.9 Deadline:0.24 ClientRetry:false}"},
		{"0500 4d000000", "timer 77"},
		{"0200 192b6f0e", "withdrawn e6f2b19"},
		{"0b00 c4913a5d 44480000 0a124a07 5b1b 0000 00 01 00 02 0000e04000004040",
			"{ID:1564119492 Attempt:0 Worker:30077778268682 Duration:0.0185 Result:0 ModelState:0 SameModelInFlight:0 RequestAnswered:true LoadReport:[7 3]}"},
		{"0600 0a9011f2 841b 010ad2557c000000 00 00c40900 01",
			"{Worker:30257810870282 Model:534015773185 Result:0 Duration:0.64 Replicas:1}"},
		{"0700 0a9011f2 841b 00 10270000 00", "{Worker:30257810870282 Result:0 Duration:0.01 LoadReport:[]}"},
		{"0800 c4913a5d 10270000 0200 0a9011f2 841b", "stream 5d3a91c4.2"},
		{"0a00 0100 0400 68692037", "told 1 hi 7"},
		{"0400 03 29000000 02000000 0a124a07 5b1b 0000 00 0000 01 0000803f 0000000000000000" +
			"0a9011f2 841b 0000 00 0000 01 0000c03f 20145d0000000000",
			"list 2 41 [{ID:30077778268682 Zone:0 Kind:0 Cell:0 State:1 Weight:1 StartedAt:-Inf} " +
				"{ID:30257810870282 Zone:0 Kind:0 Cell:0 State:1 Weight:1.5 StartedAt:-2.31225}]"},
	} {
		_, log, err := play(nil, frame(3, begin+c.record))
		if err != nil || len(log) != 3 || log[2] != c.want {
			t.Errorf("%s: %q %v", c.record, log, err)
		}
	}
}

func TestActions(t *testing.T) {
	w := control.WorkerID(0x1b5b_074a120a)
	for _, c := range []struct {
		todo func(control.Actions)
		want string
	}{
		{func(a control.Actions) { a.SendAttempt(0x5d3a91c4, w, 0.08); a.SetTimer(0.5, 77) },
			"4d000300 4a00c4913a5d0a124a075b1b80380100 450020a107004d000000"},
		{func(a control.Actions) { a.Log("two servers known") }, "4d000300 4c0011 0074776f2073657276657273206b6e6f776e"},
		{func(a control.Actions) { a.SendPeerMessage(control.AllPeers, []byte("hi 7")) }, "4d000300 4f00ffff040068692037"},
		{func(a control.Actions) { a.LoadModel(w, 0x7c55d20a01, 1) }, "4d000300 48000a124a075b1b010ad2557c00000001"},
		{func(a control.Actions) { a.Shed(1, 0.25); a.Fail(2) }, "4d000300 46000100000090d00300 420002000000"},
		{func(a control.Actions) { a.CancelAttempt(1, 2); a.SubscribeWorkerList(true); a.FetchWorkerList() }, "4d000300 4300010000000200 440001 4900"},
		{func(a control.Actions) { a.UnloadModel(w, 1); a.ProbeWorker(w); a.CloseIdleConnections(w) },
			"4d000300 41000a124a075b1b0100000000000000 47000a124a075b1b 4b000a124a075b1b"},
		{func(control.Actions) { panic("odd") },
			"4d000300 4e0019006465636973696f6e20636f6465206661696c65643a206f6464"},
	} {
		got, _, err := play(c.todo, frame(2, begin))
		want := strings.ReplaceAll(c.want, " ", "")
		if err != nil || len(got) < 24 || got[24:] != want {
			t.Errorf("%s: got %s %v", want, got, err)
		}
	}
}

func TestSettingsInOurWords(t *testing.T) {
	s, err := ParseSettings([]byte(`{"request_classes":[{"aim_us":500000,"effect":"token","group":"cell"}],
		"limits":{"max_attempts":6},"family_info":{"stays_loaded_us":8000000,"memory_mb_by_kind":[4]},"new_key":null}`))
	if err != nil || s["groups"] != control.ListLength(1) || s.Number("groups", 0) != 1 || s["groups.0.slo"] != 0.5 || s["groups.0.effect"] != "deduped" ||
		s["groups.0.scope"] != "cell" || s["limits.max_attempts"] != 6.0 || s["models.keep"] != 8.0 {
		t.Errorf("%v %v", s, err)
	}
}

func TestRestartInOneBatch(t *testing.T) {
	_, log, err := play(nil, frame(5, begin+"0c00"+begin+"0500 4d000000"))
	if err == nil || !strings.Contains(err.Error(), "left over") {
		t.Errorf("count short by one: %q %v", log, err)
	}
	_, log, err = play(nil, frame(6, begin+"0c00"+begin+"0500 4d000000"))
	if err != nil || strings.Join(log, ";") != "start 7 defaults;at 0.000000;start 7 defaults;at 0.000000;timer 77" {
		t.Errorf("%q %v", log, err)
	}
}

func TestMalformed(t *testing.T) {
	whole := frame(3, begin+query)
	for _, c := range []struct{ in, want string }{
		{"0100", "header cut short"},
		{whole[:len(whole)-4], "cut short"},
		{"00000000 13000000 5a5c800000000000 01000000", "does not add up"},
		{frame(4, begin+query), "2 bytes wanted"},
		{frame(3, begin+"6300"), "unknown event code 99"},
		{frame(1, "0500 4d000000"), "before any For"},
		{frame(3, begin+"0400 03 29000000 ffffffff"), "longer than the frame"},
		{frame(3, begin+"0400 07 29000000 00000000"), "unknown list kind"},
		{frame(3, begin+"0700 0a9011f2 841b 63 10270000 00"), "unknown outcome 99"},
		{frame(3, begin+"0a00 0100 ff00 68692037"), "255 bytes wanted"},
		{frame(2, "0300 0300 0100 0700000000000000 02000000 7b7b"), "not a JSON object"},
	} {
		out, _, err := play(nil, c.in)
		if err == nil || !strings.Contains(err.Error(), c.want) || out != "" {
			t.Errorf("%s: want %q, got %v and reply %q", c.in, c.want, err, out)
		}
	}
}

// TestEveryCutEnds plays a good frame cut at each byte, and with each byte made wrong: an end, never a hang.
func TestEveryCutEnds(t *testing.T) {
	b, _ := hex.DecodeString(strings.Join(strings.Fields(frame(3, begin+query)), ""))
	start := func(uint64, control.Settings, control.Actions) control.Module { return &echo{log: new([]string)} }
	for i := range b {
		if err := Serve(bytes.NewReader(b[:i]), io.Discard, start); (err == nil) != (i == 0) {
			t.Errorf("cut at %d: %v", i, err)
		}
		wrong := bytes.Clone(b)
		wrong[i] ^= 0x55
		_ = Serve(bytes.NewReader(wrong), io.Discard, start) // must return
	}
}

// A list in place of a number, or a number in place of a list's entries, is a fault that names the setting; figures on
// the wire that are no numbers count as absent.
func TestSettingsOfAnotherShape(t *testing.T) {
	for text, name := range map[string]string{
		`{"rules":{"fall_us":[1,2]}}`:           "rules.fall",
		`{"request_classes":"three"}`:           "groups",
		`{"limits":{"max_attempts":{"a":1}}}`:   "",
		`{"tenants":[{"quota_rps":"plenty"}]}`:  "tenants.0.quota",
		`{"request_classes":[{"aim_us":-500}]}`: "groups.0.slo",
	} {
		s, err := ParseSettings([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if err := control.Check(control.ParseSettings(s)); (err != nil) != (name != "") || err != nil && !strings.Contains(err.Error(), "setting "+name+" is") {
			t.Errorf("%s: %v", text, err)
		}
	}
	r := &reader{b: []byte{0, 0, 0xc0, 0x7f, 0, 0, 0x80, 0x7f, 0, 0, 0x80, 0xff, 0, 0, 0, 0x3f}}
	for _, want := range []float64{0, 0, 0, 0.5} { // no number, endless either way, a half
		if got := r.f32(); got != want {
			t.Errorf("got %g, want %g", got, want)
		}
	}
}
