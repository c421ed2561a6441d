package thrift

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"testing"

	lib "github.com/apache/thrift/lib/go/thrift"

	"mastchute/internal/thrift/thrifttest"
)

// The published library, in thrifttest, is the oracle both ways.

func TestCallsAreRead(t *testing.T) {
	for _, body := range [][]byte{nil, {}, []byte("in\x00\r\n"), bytes.Repeat([]byte{7}, MaxBodyBytes)} {
		c, err := ReadMessage(thrifttest.Call(41, thrifttest.Good(), body, true))
		if err != nil || c.Fault != nil || c.Method != Infer || c.Seq != 41 || string(c.Group) != "call" || string(c.ID) != "9b1f03aa5c7e2d41" ||
			string(c.Model) != "7f3a9c21e0b4d655" || len(c.IdempotencyKey) != 32 || c.Timeout != 1.5 || math.Abs(c.WorkHint-0.0082) > 1e-12 ||
			c.MemoryMB != 512 || c.Concurrency != 2 || math.Abs(c.LoadTimeHint-0.64) > 1e-12 || !bytes.Equal(c.Body, body) {
			t.Errorf("%+v %v", c, err)
		}
	}
	cancel := thrifttest.Message(func(p *lib.TBinaryProtocol) {
		p.WriteMessageBegin(bg, "cancelRequest", lib.ONEWAY, 3)
		p.WriteFieldBegin(bg, "", lib.I32, 1)
		p.WriteI32(bg, 2)
		p.WriteFieldStop(bg)
	})
	if c, err := ReadMessage(cancel); err != nil || c.Method != Cancel || c.Target != 2 || c.Fault != nil {
		t.Errorf("%+v %v", c, err)
	}
	alive := thrifttest.Message(func(p *lib.TBinaryProtocol) {
		p.WriteMessageBegin(bg, "alive", lib.CALL, 1)
		p.WriteFieldBegin(bg, "", lib.BOOL, 1)
		p.WriteBool(bg, true)
		p.WriteFieldStop(bg)
	})
	if c, err := ReadMessage(alive); err != nil || c.Method != Alive || c.Seq != 1 {
		t.Errorf("%+v %v", c, err)
	}
}

var bg = context.Background()

// What could be read but not used is a fault under its number, and no error; each entry changes one field.
func TestTenantAndRepeatAreRead(t *testing.T) {
	for redo, want := range map[string]bool{"": false, "0": false, "false": false, "1": true, "true": true, "2": true} {
		f := thrifttest.Good()
		f["customer"], f["redo"] = "town-library", redo
		c, err := ReadMessage(thrifttest.Call(1, f, nil, false))
		if err != nil || c.Fault != nil || string(c.Tenant) != "town-library" || c.ClientRetry != want {
			t.Errorf("%q: %+v %v", redo, c, err)
		}
	}
}

func TestWhatCannotBeUsedIsAFault(t *testing.T) {
	for _, c := range []string{"trace=", "trace=9b1f03aa5c7e2d4", "trace=9B1F03AA5C7E2D41", "trace=9b1f03aa5c7e2d4 ", "entity=x", "entity=7f3a9c21e0b4d6551",
		"patience=", "patience=0", "patience=-5", "patience=NaN", "patience=inf", "patience=1e99", "patience=0x10", "patience=1_0", "patience=99999999999",
		"nonce=", "nonce=a b", "nonce=a,b", "nonce=a\r\n", "weight=x", "weight=-1", "weight=1e", "weight=.", "extras=memory_mb", "extras=lanes:x", "extras=load_ms:-1",
		"extras=memory_mb:1e300", "route="} {
		f := thrifttest.Good()
		name, v, _ := strings.Cut(c, "=")
		f[name] = v
		if m, err := ReadMessage(thrifttest.Call(7, f, nil, false)); err != nil || m.Fault == nil || m.Seq != 7 {
			t.Errorf("%q: fault %v, error %v", c, m.Fault, err)
		}
	}
	for _, name := range []string{"route", "trace", "patience", "entity"} {
		f := thrifttest.Good()
		delete(f, name)
		if m, err := ReadMessage(thrifttest.Call(7, f, nil, false)); err != nil || m.Fault == nil {
			t.Errorf("without %s: fault %v, error %v", name, m.Fault, err)
		}
	}
	if m, err := ReadMessage(thrifttest.Call(7, thrifttest.Good(), make([]byte, MaxBodyBytes+1), false)); err != nil || m.Fault == nil {
		t.Errorf("a long body: fault %v, error %v", m.Fault, err)
	}
}

func TestWhatCannotBeReadIsAnError(t *testing.T) {
	b := thrifttest.Call(7, thrifttest.Good(), []byte("body"), true)
	for i := range b {
		if _, err := ReadMessage(b[:i]); err == nil {
			t.Errorf("cut at %d of %d: no error", i, len(b))
		}
	}
	if _, err := ReadMessage(append(b[:len(b):len(b)], 0)); err == nil {
		t.Error("a byte too many is not noticed")
	}
	for _, size := range []uint32{math.MaxUint32, 1 << 31, MaxFrameBytes + 1, 60 << 20} {
		if _, _, err := ReadFrame(binary.BigEndian.AppendUint32(nil, size), MaxFrameBytes); err == nil {
			t.Errorf("a length of %d is taken", int32(size))
		}
	}
	huge := append([]byte{0x80, 1, 0, 1, 0, 0, 0, 8}, "dispatch\x00\x00\x00\x01\x0d\x00\x01\x0b\x0b\x7f\xff\xff\xff"...)
	if _, err := ReadMessage(huge); err == nil {
		t.Error("a map of two thousand million entries is taken")
	}
	deep := append([]byte{0x80, 1, 0, 1, 0, 0, 0, 5}, "alive\x00\x00\x00\x01"...)
	deep = append(deep, bytes.Repeat([]byte{typeStruct, 0, 1}, 1000)...)
	if _, err := ReadMessage(append(deep, make([]byte, 1001)...)); err == nil {
		t.Error("a thousand structs in each other are taken")
	}
}

func TestAnswersAreReadByTheLibrary(t *testing.T) {
	none := map[string]string{}
	want := func(name string, kind lib.TMessageType, seq int32, field int16, body string, fields map[string]string, good bool, code int32) thrifttest.Answer {
		return thrifttest.Answer{Name: name, Kind: kind, Seq: seq, Field: field, Body: body, Fields: fields, Good: good, Code: code}
	}
	for _, c := range []struct {
		b    []byte
		want thrifttest.Answer
	}{
		{AppendReturned(nil, 5, []byte("well")), want("dispatch", lib.REPLY, 5, 0, "well", none, true, 0)},
		{AppendReturned(nil, 5, nil), want("dispatch", lib.REPLY, 5, 0, "", none, true, 0)},
		{AppendAlive(nil, 1, false), want("alive", lib.REPLY, 1, 0, "", none, false, 0)},
		{AppendShed(nil, 6, 250), want("dispatch", lib.REPLY, 6, 1, "", map[string]string{"pause": "250"}, false, 0)},
		{AppendShed(nil, 6, 0), want("dispatch", lib.REPLY, 6, 1, "", none, false, 0)},
		{AppendFailed(nil, 7, "late"), want("dispatch", lib.REPLY, 7, 2, "", map[string]string{"reason": "late"}, false, 0)},
		{AppendException(nil, 8, "bad"), want("dispatch", lib.EXCEPTION, 8, 0, "bad", nil, false, 7)},
	} {
		if got := thrifttest.Decode(t, c.b); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%+v, want %+v", got, c.want)
		}
	}
}

func TestDecimal(t *testing.T) {
	for _, s := range []string{"0", "1500", "8.2", "1e3", "2.5E-2", ".5", "5.", "123456789.25", "1e-300"} {
		want, _ := strconv.ParseFloat(s, 64)
		if v, ok := ParseDecimal([]byte(s)); !ok || math.Abs(v-want) > 1e-12*want {
			t.Errorf("%s: %g %v", s, v, ok)
		}
	}
	for _, s := range []string{"", ".", "-1", "+1", "1e", "1e+", "1e1000", "0x1", "NaN", "Inf", "1 ", "1_0", "1.2.3", fmt.Sprintf("%033d", 1)} {
		if v, ok := ParseDecimal([]byte(s)); ok {
			t.Errorf("%q is taken as %g", s, v)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add(thrifttest.Call(1, thrifttest.Good(), []byte("in"), true))
	f.Add(thrifttest.Call(2, map[string]string{"trace": "x"}, nil, false))
	f.Add([]byte{0x80, 1, 0, 1, 0, 0, 0, 5, 'a', 'l', 'i', 'v', 'e', 0, 0, 0, 1, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := ReadMessage(b)
		if err != nil || c.Fault != nil || c.Method != Infer {
			return
		}
		// What is taken can be written by the library again and read as the same.
		fields := map[string]string{"route": string(c.Group), "trace": string(c.ID), "entity": string(c.Model), "patience": strconv.FormatFloat(c.Timeout*1e3, 'f', 6, 64)}
		if len(c.IdempotencyKey) > 0 {
			fields["nonce"] = string(c.IdempotencyKey)
		}
		d, err := ReadMessage(thrifttest.Call(c.Seq, fields, c.Body, false))
		if err != nil || d.Fault != nil || string(d.ID) != string(c.ID) || string(d.IdempotencyKey) != string(c.IdempotencyKey) || !bytes.Equal(d.Body, c.Body) ||
			c.Timeout > spanMost || c.WorkHint > workMost || len(c.Body) > MaxBodyBytes {
			t.Errorf("%+v %v, was %+v", d, err, c)
		}
	})
}
