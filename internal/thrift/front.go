package thrift

import "strconv"

// The service, in its own words; to the rest of the program they are ours.
const (
	verbInfer  = "dispatch"
	verbCancel = "cancelRequest"
	verbAlive  = "alive"

	MaxBodyBytes  = 16 << 10              // bytes of a request's body
	MaxFrameBytes = MaxBodyBytes + 48<<10 // with room for its fields
	fieldsMax     = 64                    // fields of a request, unknown ones included
	spanMost      = 3600.0                // s, the longest time a client may wait
	workMost      = 1e6                   // s of work or of a load
	sizeMost      = 1e9                   // MB, and lanes
	markMost      = 64                    // bytes of a mark
)

// Method says what a client calls.
type Method uint8

const (
	Unknown Method = iota
	Infer
	Cancel
	Alive
)

// Message is a message of a client. Where Fault is set the message could be read but its content can't be used: it is to be
// answered as failed, under Seq. What it holds points into the frame.
type Message struct {
	Method Method
	Seq    int32
	Target int32 // Cancel: the number of the call taken back
	Fault  error

	ID             []byte  // of the request, 16 hex digits
	Group          []byte  // model group
	Model          []byte  // 16 hex digits
	IdempotencyKey []byte  // what repeats of the request share; empty where not told
	Tenant         []byte  // empty where not told
	ClientRetry    bool    // the client asked before
	Timeout        float64 // s from when it was sent
	WorkHint       float64 // s; 0 where not told, as the rest
	MemoryMB       float64
	Concurrency    float64
	LoadTimeHint   float64 // s
	Body           []byte
}

// ReadMessage reads the message of a frame. An error means that the connection can't go on.
func ReadMessage(payload []byte) (c Message, err error) {
	r := reader{b: payload}
	word := uint32(r.i32())
	if r.err == nil && (word&0xffff0000 != version || word&0xff00 != 0) {
		return c, errVersion
	}
	kind := byte(word)
	name := r.text()
	if len(name) > nameMost {
		return c, errVersion
	}
	c.Seq = r.i32()
	switch {
	case r.err != nil:
		return c, r.err
	case string(name) == verbInfer && kind == KindCall:
		c.Method = Infer
		c.infer(&r)
	case string(name) == verbCancel && (kind == KindOneway || kind == KindCall):
		c.Method = Cancel
		seen := false
		for {
			k, id := r.field()
			if k == typeStop {
				break
			}
			if id == 1 {
				r.is(k, typeI32)
				c.Target, seen = r.i32(), true
			} else {
				r.skip(k, 0)
			}
		}
		if !seen {
			c.fault(errWord)
		}
	case string(name) == verbAlive && kind == KindCall:
		c.Method = Alive
		r.skip(typeStruct, 0)
	case kind == KindCall || kind == KindOneway:
		r.skip(typeStruct, 0)
		c.fault(errWord)
	default:
		return c, errVersion
	}
	if r.err != nil {
		return c, r.err
	}
	if len(r.b) > 0 {
		return c, errRest
	}
	return c, nil
}

func (c *Message) fault(err error) {
	if c.Fault == nil {
		c.Fault = err
	}
}

func (c *Message) infer(r *reader) {
	fields, body := false, false
	for r.err == nil {
		k, id := r.field()
		if k == typeStop {
			break
		}
		switch id {
		case 1:
			r.is(k, typeMap)
			if fields {
				c.fault(errTwice)
			}
			fields = true
			kk, vk := r.u8(), r.u8()
			n := r.count(8)
			if n > 0 {
				r.is(kk, typeString)
				r.is(vk, typeString)
			}
			if n > fieldsMax {
				c.fault(errWord)
			}
			seen := 0
			for ; n > 0 && r.err == nil; n-- {
				seen = c.field(r.text(), r.text(), seen)
			}
		case 2:
			r.is(k, typeString)
			if body {
				c.fault(errTwice)
			}
			body = true
			c.Body = r.text()
		default:
			r.skip(k, 0)
		}
	}
	if !body || len(c.Body) > MaxBodyBytes || len(c.ID) != 16 || len(c.Model) != 16 || len(c.Group) == 0 {
		c.fault(errWord)
	}
	if c.Timeout <= 0 {
		c.fault(errNumber)
	}
}

// field takes one field of a request; seen has a bit for each known one so far.
func (c *Message) field(name, value []byte, seen int) int {
	bit := 0
	switch string(name) {
	case "route":
		bit = 1
		c.Group = value
	case "trace":
		bit = 2
		if c.ID = value; !hex(value) {
			c.fault(errWord)
		}
	case "patience":
		bit = 4
		c.Timeout = c.number(value, 1e-3, spanMost)
	case "nonce":
		bit = 8
		if c.IdempotencyKey = value; len(value) == 0 || len(value) > markMost || !plain(value) {
			c.fault(errWord)
		}
	case "entity":
		bit = 16
		if c.Model = value; !hex(value) {
			c.fault(errWord)
		}
	case "weight":
		bit = 32
		c.WorkHint = c.number(value, 1e-3, workMost)
	case "extras":
		bit = 64
		c.extras(value)
	case "customer":
		bit = 128
		c.Tenant = value
	case "redo":
		bit = 256
		c.ClientRetry = len(value) > 0 && string(value) != "0" && string(value) != "false"
	}
	if seen&bit != 0 {
		c.fault(errTwice)
	}
	return seen | bit
}

// extras reads name:value;name:value.
func (c *Message) extras(b []byte) {
	for len(b) > 0 {
		i := 0
		for i < len(b) && b[i] != ';' {
			i++
		}
		pair := b[:i]
		b = b[min(i+1, len(b)):]
		colon := 0
		for colon < len(pair) && pair[colon] != ':' {
			colon++
		}
		if colon == len(pair) {
			c.fault(errWord)
			continue
		}
		switch v := pair[colon+1:]; string(pair[:colon]) {
		case "memory_mb":
			c.MemoryMB = c.number(v, 1, sizeMost)
		case "lanes":
			c.Concurrency = c.number(v, 1, sizeMost)
		case "load_ms":
			c.LoadTimeHint = c.number(v, 1e-3, workMost)
		}
	}
}

// number reads a decimal that is not negative, times a unit, up to a limit.
func (c *Message) number(b []byte, unit, most float64) float64 {
	v, ok := ParseDecimal(b)
	if v *= unit; !ok || !(v <= most) {
		c.fault(errNumber)
		return 0
	}
	return v
}

// ParseDecimal reads a number that is not negative: digits with an optional point and an optional exponent, 32 bytes at most.
func ParseDecimal(b []byte) (v float64, ok bool) {
	if len(b) == 0 || len(b) > 32 {
		return 0, false
	}
	scale, digits, point, i := 0, 0, false, 0
	for ; i < len(b); i++ {
		ch := b[i]
		if ch == '.' && !point {
			point = true
			continue
		}
		if ch < '0' || ch > '9' {
			break
		}
		v = v*10 + float64(ch-'0')
		if digits++; point {
			scale--
		}
	}
	if digits == 0 {
		return 0, false
	}
	if i < len(b) {
		if b[i] != 'e' && b[i] != 'E' {
			return 0, false
		}
		i++
		sign := 1
		if i < len(b) && (b[i] == '-' || b[i] == '+') {
			if b[i] == '-' {
				sign = -1
			}
			i++
		}
		if i == len(b) || len(b)-i > 3 {
			return 0, false
		}
		e := 0
		for ; i < len(b); i++ {
			if b[i] < '0' || b[i] > '9' {
				return 0, false
			}
			e = e*10 + int(b[i]-'0')
		}
		scale += sign * e
	}
	for ; scale < 0 && v > 0; scale++ {
		v /= 10
	}
	for ; scale > 0 && v > 0 && v < 1e300; scale-- {
		v *= 10
	}
	return v, true
}

func hex(b []byte) bool {
	for _, ch := range b {
		if !(ch >= '0' && ch <= '9' || ch >= 'a' && ch <= 'f') {
			return false
		}
	}
	return len(b) == 16
}

// plain tells whether a word can stand in a line to a worker as it is.
func plain(b []byte) bool {
	for _, ch := range b {
		if !(ch >= '0' && ch <= '9' || ch >= 'a' && ch <= 'z' || ch >= 'A' && ch <= 'Z' || ch == '-' || ch == '_') {
			return false
		}
	}
	return true
}

// AppendReturned appends the answer that a worker gave; AppendGood one without a body, good or not.
func AppendReturned(b []byte, seq int32, body []byte) []byte {
	b, at := begin(b, verbInfer, KindReply, seq)
	b = appendAnswer(b, body, true)
	return end(b, at)
}

// AppendAlive appends the answer to Alive.
func AppendAlive(b []byte, seq int32, good bool) []byte {
	b, at := begin(b, verbAlive, KindReply, seq)
	b = appendAnswer(b, nil, good)
	return end(b, at)
}

func appendAnswer(b []byte, body []byte, good bool) []byte {
	b = appendField(b, typeStruct, 0)
	b = appendField(b, typeString, 1)
	b = appendText(b, body)
	b = appendField(b, typeMap, 2)
	b = append(b, typeString, typeString, 0, 0, 0, 0)
	b = appendField(b, typeBool, 3)
	v := byte(0)
	if good {
		v = 1
	}
	return append(b, v, typeStop, typeStop)
}

// AppendShed appends that trying again is harmless, after so many milliseconds; 0 tells nothing.
func AppendShed(b []byte, seq int32, afterMS int64) []byte {
	b, at := begin(b, verbInfer, KindReply, seq)
	b = appendField(b, typeStruct, 1)
	b = appendField(b, typeMap, 1)
	if afterMS > 0 {
		b = append(b, typeString, typeString, 0, 0, 0, 1)
		b = appendText(b, "pause")
		var digits [20]byte
		b = appendText(b, strconv.AppendInt(digits[:0], afterMS, 10))
	} else {
		b = append(b, typeString, typeString, 0, 0, 0, 0)
	}
	return end(append(b, typeStop, typeStop), at)
}

// AppendFailed appends that a request failed.
func AppendFailed(b []byte, seq int32, why string) []byte {
	b, at := begin(b, verbInfer, KindReply, seq)
	b = appendField(b, typeStruct, 2)
	b = appendField(b, typeMap, 1)
	b = append(b, typeString, typeString, 0, 0, 0, 1)
	b = appendText(b, "reason")
	b = appendText(b, why)
	return end(append(b, typeStop, typeStop), at)
}

// AppendException appends an application exception: the message could not be used.
func AppendException(b []byte, seq int32, why string) []byte {
	const protocolError = 7
	b, at := begin(b, verbInfer, KindException, seq)
	b = appendField(b, typeString, 1)
	b = appendText(b, why)
	b = appendField(b, typeI32, 2)
	return end(append(b, 0, 0, 0, protocolError, typeStop), at)
}
