package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	"mastchute/control"
)

// recordingModule records its events as text. Its Reconcile calls react to emit actions.
type recordingModule struct {
	actions control.Actions
	events  *[]string
	react   func(control.Actions)
}

func (m *recordingModule) record(format string, args ...any) {
	*m.events = append(*m.events, fmt.Sprintf(format, args...))
}
func (m *recordingModule) SetNow(now control.Seconds)              { m.record("at %.6f", now) }
func (m *recordingModule) RequestArrived(q control.Request)        { m.record("%+v", q) }
func (m *recordingModule) AttemptFinished(o control.AttemptResult) { m.record("%+v", o) }
func (m *recordingModule) RequestCancelled(id control.RequestID)   { m.record("cancelled %x", id) }
func (m *recordingModule) LoadFinished(o control.LoadResult)       { m.record("%+v", o) }
func (m *recordingModule) ProbeFinished(o control.ProbeResult)     { m.record("%+v", o) }
func (m *recordingModule) WorkerChecked(o control.CheckResult)     { m.record("%+v", o) }
func (m *recordingModule) ListLeaseChanged(l control.ListLease)    { m.record("%+v", l) }
func (m *recordingModule) ConnectionsLost(id control.WorkerID)     { m.record("lost %x", id) }
func (m *recordingModule) WorkerIdentified(id control.WorkerID, identified bool) {
	m.record("identified %x %v", id, identified)
}
func (m *recordingModule) AttemptTraced(id control.RequestID, attempt int, group control.DedupGroup) {
	m.record("traced %x.%d %+v", id, attempt, group)
}
func (m *recordingModule) PeerMessageReceived(from control.PeerID, message []byte) {
	m.record("message from %d: %s", from, message)
}
func (m *recordingModule) TimerFired(id control.TimerID) { m.record("timer %d", id) }
func (m *recordingModule) ResponseStarted(id control.RequestID, attempt int, worker control.WorkerID, took control.Seconds) {
	m.record("response started %x.%d at %d after %g", id, attempt, worker, took)
}
func (m *recordingModule) UpdateWorkers(kind control.EndpointListKind, version uint32, list []control.WorkerInfo) {
	m.record("list %d %d %+v", kind, version, list)
}
func (m *recordingModule) Reconcile() {
	if m.react != nil {
		m.react(m.actions)
	}
}

// decodeHex decodes hexadecimal text that may contain spaces.
func decodeHex(text string) []byte {
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		panic(err)
	}
	return b
}

// serveBatches serves batches given as hexadecimal text. It returns the replies as hexadecimal text, the events of the
// modules, and the error of Serve.
func serveBatches(react func(control.Actions), batches ...string) (replies string, events []string, err error) {
	var in, out bytes.Buffer
	for _, batch := range batches {
		in.Write(decodeHex(batch))
	}
	err = Serve(&in, &out, func(seed uint64, s control.Settings, a control.Actions) control.Module {
		settings := "defaults"
		if !reflect.DeepEqual(s, control.Settings{}) {
			settings = fmt.Sprintf("%+v", s)
		}
		events = append(events, fmt.Sprintf("start %d %s", seed, settings))
		return &recordingModule{actions: a, events: &events, react: react}
	})
	return hex.EncodeToString(out.Bytes()), events, err
}

// makeBatch returns a batch of records at simulated time 8412250 µs.
func makeBatch(count int, records string) string {
	size := batchHeaderSize + len(decodeHex(records))
	return fmt.Sprintf("%02x000000 %02x%02x0000 5a5c800000000000 0c000000 %s", count, size&255, size>>8, records)
}

const (
	startRecord   = "0300 0300 0100 0700000000000000 02000000 7b7d " // selects dispatcher 3 and starts it with seed 7 and empty settings
	requestRecord = "0900 c4913a5d 0000c043 0000 010ad2557c000000 e02e0000 00000040 da05840000000000 0100 00006144 0000"
)

func TestEmptyBatch(t *testing.T) {
	replies, _, err := serveBatches(nil, "00000000 14000000 5a5c800000000000 01000000")
	if err != nil || replies != "0c0000000000000001000000" {
		t.Errorf("%s %v", replies, err)
	}
}

func TestEvents(t *testing.T) {
	for _, c := range []struct{ record, want string }{
		{requestRecord, "{ID:1564119492 Model:534015773185 Group:0 Tenant:0 MemoryMB:384 Concurrency:2 WorkHint:0.012 LoadTimeHint:0.9 Deadline:0.24 ClientRetry:false}"},
		{"0500 4d000000", "timer 77"},
		{"0200 192b6f0e", "cancelled e6f2b19"},
		{"0b00 c4913a5d 44480000 0a124a07 5b1b 0000 00 01 00 02 0000e04000004040",
			"{ID:1564119492 Attempt:0 Worker:30077778268682 Duration:0.0185 Result:0 ModelState:0 SameModelInFlight:0 RequestFinished:true LoadReport:[7 3] LeaseUntil:0}"},
		{"0600 0a9011f2 841b 010ad2557c000000 00 00c40900 01",
			"{Worker:30257810870282 Model:534015773185 Result:0 Duration:0.64 Replicas:1 LeaseUntil:0}"},
		{"0700 0a9011f2 841b 00 10270000 00", "{Worker:30257810870282 Result:0 Duration:0.01 LoadReport:[]}"},
		{"0800 c4913a5d 10270000 0200 0a9011f2 841b", "response started 5d3a91c4.2 at 30257810870282 after 0.01"},
		{"0a00 0100 0400 68692037", "message from 1: hi 7"},
		{"0400 03 29000000 02000000 0a124a07 5b1b 0000 00 0000 01 0000803f 0000000000000000" +
			"0a9011f2 841b 0000 00 0000 01 0000c03f 20145d0000000000",
			"list 2 41 [{ID:30077778268682 Zone:0 Kind:0 Cell:0 State:1 Weight:1 StartedAt:-Inf} " +
				"{ID:30257810870282 Zone:0 Kind:0 Cell:0 State:1 Weight:1.5 StartedAt:-2.31225}]"},
	} {
		_, events, err := serveBatches(nil, makeBatch(3, startRecord+c.record))
		if err != nil || len(events) != 3 || events[2] != c.want {
			t.Errorf("%s: %q %v", c.record, events, err)
		}
	}
}

func TestActions(t *testing.T) {
	worker := control.WorkerID(0x1b5b_074a120a)
	for _, c := range []struct {
		react func(control.Actions)
		want  string
	}{
		{func(a control.Actions) { a.SendAttempt(0x5d3a91c4, worker, 0.08); a.SetTimer(0.5, 77) },
			"4d000300 4a00c4913a5d0a124a075b1b80380100 450020a107004d000000"},
		{func(a control.Actions) { a.Log("two servers known") }, "4d000300 4c0011 0074776f2073657276657273206b6e6f776e"},
		{func(a control.Actions) { a.SendPeerMessage(control.AllPeers, []byte("hi 7")) }, "4d000300 4f00ffff040068692037"},
		{func(a control.Actions) { a.LoadModel(worker, 0x7c55d20a01, 1) }, "4d000300 48000a124a075b1b010ad2557c00000001"},
		{func(a control.Actions) { a.Shed(1, 0.25); a.Fail(2) }, "4d000300 46000100000090d00300 420002000000"},
		{func(a control.Actions) { a.CancelAttempt(1, 2); a.SubscribeEndpointList(true); a.FetchEndpointList() }, "4d000300 4300010000000200 440001 4900"},
		{func(a control.Actions) {
			a.UnloadModel(worker, 1)
			a.ProbeWorker(worker)
			a.CloseIdleConnections(worker)
		},
			"4d000300 41000a124a075b1b0100000000000000 47000a124a075b1b 4b000a124a075b1b"},
		{func(control.Actions) { panic("odd") },
			"4d000300 4e0019006465636973696f6e20636f6465206661696c65643a206f6464"},
	} {
		replies, _, err := serveBatches(c.react, makeBatch(2, startRecord))
		want := strings.ReplaceAll(c.want, " ", "")
		header := 2 * replyHeaderSize // hexadecimal digits
		if err != nil || len(replies) < header || replies[header:] != want {
			t.Errorf("%s: got %s %v", want, replies, err)
		}
	}
}

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings([]byte(`{"request_classes":[{"aim_us":500000,"effect":"token","group":"cell"}],
		"limits":{"max_attempts":6},"family_info":{"stays_loaded_us":8000000,"memory_mb_by_kind":[4]},"new_key":null}`))
	if err != nil || s["groups"] != control.ListLength(1) || s.Number("groups", 0) != 1 || s["groups.0.slo"] != 0.5 || s["groups.0.effect"] != "deduped" ||
		s["groups.0.scope"] != "cell" || s["limits.max_attempts"] != 6.0 || s["models.keep"] != 8.0 {
		t.Errorf("%v %v", s, err)
	}
}

func TestRestartInOneBatch(t *testing.T) {
	_, events, err := serveBatches(nil, makeBatch(5, startRecord+"0c00"+startRecord+"0500 4d000000"))
	if err == nil || !strings.Contains(err.Error(), "left over") {
		t.Errorf("count short by one: %q %v", events, err)
	}
	_, events, err = serveBatches(nil, makeBatch(6, startRecord+"0c00"+startRecord+"0500 4d000000"))
	if err != nil || strings.Join(events, ";") != "start 7 defaults;at 0.000000;start 7 defaults;at 0.000000;timer 77" {
		t.Errorf("%q %v", events, err)
	}
}

func TestMalformedBatches(t *testing.T) {
	complete := makeBatch(3, startRecord+requestRecord)
	for _, c := range []struct {
		batch string
		want  string
		cause error
	}{
		{"0100", "read header: input cut short", ErrTruncated},
		{complete[:len(complete)-4], "input cut short", ErrTruncated},
		{"00000000 13000000 5a5c800000000000 01000000", "size of 19 bytes is out of range", ErrMalformed},
		{makeBatch(4, startRecord+requestRecord), "record 3 at byte 84, code 0: input cut short: 2 bytes wanted", ErrTruncated},
		{makeBatch(3, startRecord+"6300"), "code 99: malformed batch: unknown event code 99", ErrMalformed},
		{makeBatch(1, "0500 4d000000"), "before any dispatcher is selected", ErrMalformed},
		{makeBatch(3, startRecord+"0400 03 29000000 ffffffff"), "longer than the batch", ErrMalformed},
		{makeBatch(3, startRecord+"0400 07 29000000 00000000"), "unknown list kind 7", ErrMalformed},
		{makeBatch(3, startRecord+"0400 03 29000000 01000000 0a124a07 5b1b 0000 00 0000 03 0000803f 0000000000000000"), "unknown worker state 3", ErrMalformed},
		{makeBatch(3, startRecord+"0700 0a9011f2 841b 63 10270000 00"), "unknown result 99", ErrMalformed},
		{makeBatch(3, startRecord+"0a00 0100 ff00 68692037"), "255 bytes wanted", ErrTruncated},
		{makeBatch(2, startRecord+"0c"), "1 bytes left over", ErrMalformed},
		{makeBatch(2, "0300 0300 0100 0700000000000000 02000000 7b7b"), "not a JSON object", nil},
	} {
		replies, _, err := serveBatches(nil, c.batch)
		if err == nil || !strings.Contains(err.Error(), c.want) || replies != "" {
			t.Errorf("%s: want %q, got %v and reply %q", c.batch, c.want, err, replies)
		}
		if c.cause != nil && !errors.Is(err, c.cause) {
			t.Errorf("%s: %v is not %v", c.batch, err, c.cause)
		}
	}
	_, _, err := serveBatches(nil, makeBatch(3, startRecord+"6300"))
	var record *RecordError
	if !errors.As(err, &record) || record.Index != 2 || record.Offset != 40 || record.Code != 99 {
		t.Errorf("%+v", record)
	}
}

// TestPanicInNewModule: a panic in NewModule ends only the dispatcher that starts; the others continue.
func TestPanicInNewModule(t *testing.T) {
	var out bytes.Buffer
	var events []string
	batch := makeBatch(5, startRecord+"0300 0400 0100 0800000000000000 02000000 7b7d 0500 4d000000")
	err := Serve(bytes.NewReader(decodeHex(batch)), &out, func(seed uint64, _ control.Settings, a control.Actions) control.Module {
		if seed == 7 {
			panic("odd")
		}
		return &recordingModule{actions: a, events: &events}
	})
	want := "4d0003004e0019006465636973696f6e20636f6465206661696c65643a206f6464"
	reply := hex.EncodeToString(out.Bytes())
	if err != nil || !strings.HasSuffix(reply, want) || !slices.Equal(events, []string{"at 0.000000", "timer 77"}) {
		t.Errorf("reply %s, events %q, %v", reply, events, err)
	}
}

// TestServeReturnsOnCorruptInput serves a valid batch truncated at each byte and with each byte changed. Serve must
// return each time.
func TestServeReturnsOnCorruptInput(t *testing.T) {
	batch := decodeHex(makeBatch(3, startRecord+requestRecord))
	newModule := func(uint64, control.Settings, control.Actions) control.Module {
		return &recordingModule{events: new([]string)}
	}
	for i := range batch {
		err := Serve(bytes.NewReader(batch[:i]), io.Discard, newModule)
		if (err == nil) != (i == 0) {
			t.Errorf("cut at %d: %v", i, err)
		}
		changed := bytes.Clone(batch)
		changed[i] ^= 0x55
		_ = Serve(bytes.NewReader(changed), io.Discard, newModule) // whether it fails depends on the byte
	}
}

// TestSettingsOfWrongType: a value of the wrong type, such as a list in place of a number, is an error that names the
// setting.
func TestSettingsOfWrongType(t *testing.T) {
	for text, name := range map[string]string{
		`{"rules":{"fall_us":[1,2]}}`:           "rules.fall",
		`{"request_classes":"three"}`:           "groups",
		`{"limits":{"max_attempts":{"a":1}}}`:   "",
		`{"tenants":[{"quota_rps":"plenty"}]}`:  "tenants.0.quota",
		`{"request_classes":[{"aim_us":-500}]}`: "groups.0.slo",
	} {
		values, err := ParseSettings([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		err = control.Check(control.ParseSettings(values))
		if (err != nil) != (name != "") || err != nil && !strings.Contains(err.Error(), "setting "+name+" is") {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// TestNonFiniteFloats: finiteFloat32 returns 0 for infinite and NaN values, and a load report keeps them.
func TestNonFiniteFloats(t *testing.T) {
	const numbers = "0000c07f 0000807f 000080ff 0000003f" // NaN, +Inf, -Inf, 0.5
	r := &recordReader{buf: decodeHex(numbers)}
	for _, want := range []float64{0, 0, 0, 0.5} {
		got := r.finiteFloat32()
		if got != want {
			t.Errorf("got %g, want %g", got, want)
		}
	}
	r = &recordReader{buf: decodeHex("04" + numbers)}
	report := r.loadReport()
	if len(report) != 4 || !math.IsNaN(report[0]) || !math.IsInf(report[1], 1) || !math.IsInf(report[2], -1) || report[3] != 0.5 {
		t.Errorf("load report %v", report)
	}
}
