package thrift

// The methods of the service by their names on the wire.
const (
	nameDispatch = "dispatch"
	nameCancel   = "cancelRequest"
	nameAlive    = "alive"
)

// The kinds of message in the binary protocol.
const (
	kindCall      = 1
	kindReply     = 2
	kindException = 3
	kindOneway    = 4
)

const (
	strictVersion = 0x80010000 // version of the strict protocol, in the upper half of a message's first word
	versionMask   = 0xffff0000
	unusedMask    = 0x0000ff00 // between the version and the kind: zero
	maxNameBytes  = 64         // bytes of a method's name
)

// Method is the method that a client calls.
type Method uint8

// The methods of the service.
const (
	MethodUnknown Method = iota
	MethodDispatch
	MethodCancel
	MethodAlive
)

// Message is a message of a client. Its slices point into the frame. If Fault is set, the message was read but its content
// is invalid: the response is an exception with the same SeqID.
type Message struct {
	Method      Method
	SeqID       int32
	CancelSeqID int32 // MethodCancel: the sequence id of the request that is cancelled
	Fault       error

	// MethodDispatch: the request. Fields that the client left out are empty or zero.
	ID             []byte  // 16 hex digits
	Group          []byte  // name of the model group
	Model          []byte  // 16 hex digits
	IdempotencyKey []byte  // the same for all retries of a request
	Tenant         []byte  // name
	ClientRetry    bool    // the client has sent the request before
	Timeout        float64 // s, from when the request was sent
	WorkHint       float64 // s
	MemoryMB       float64
	Concurrency    float64
	LoadTimeHint   float64 // s
	Body           []byte
}

// ReadMessage reads the message in a frame's payload. An error means that nothing more can be read from the connection; only
// SeqID of the returned message is meaningful then, 0 if it could not be read.
func ReadMessage(payload []byte) (message Message, err error) {
	r := reader{rest: payload}
	head := uint32(r.i32())
	if r.err == nil && (head&versionMask != strictVersion || head&unusedMask != 0) {
		return message, errNotStrict
	}
	kind := byte(head)
	name := r.text()
	if len(name) > maxNameBytes {
		return message, errNotStrict
	}
	message.SeqID = r.i32()
	if r.err != nil {
		return message, r.err
	}
	err = message.readCall(&r, name, kind)
	if err != nil {
		return message, err
	}
	if r.err != nil {
		return message, r.err
	}
	if len(r.rest) > 0 {
		return message, errTrailingBytes
	}
	return message, nil
}

// readCall reads the arguments of a call, depending on its method. A call of an unknown method is a fault; any other kind of
// message is an error.
func (m *Message) readCall(r *reader, name []byte, kind byte) error {
	isCall := kind == kindCall
	isOneway := kind == kindOneway
	switch {
	case string(name) == nameDispatch && isCall:
		m.Method = MethodDispatch
		m.readRequest(r)
	case string(name) == nameCancel && (isCall || isOneway):
		m.Method = MethodCancel
		m.readCancel(r)
	case string(name) == nameAlive && isCall:
		m.Method = MethodAlive
		r.skip(typeStruct, 0)
	case isCall || isOneway:
		r.skip(typeStruct, 0)
		m.setFault(errInvalidField)
	default:
		return errNotStrict
	}
	return nil
}

// setFault sets Fault unless it is already set.
func (m *Message) setFault(err error) {
	if m.Fault == nil {
		m.Fault = err
	}
}

// readCancel reads the arguments of a cancellation.
func (m *Message) readCancel(r *reader) {
	const argSeqID = 1
	found := false
	for {
		fieldType, id := r.field()
		if fieldType == typeStop {
			break
		}
		if id != argSeqID {
			r.skip(fieldType, 0)
			continue
		}
		r.expectType(fieldType, typeI32)
		m.CancelSeqID = r.i32()
		found = true
	}
	if !found {
		m.setFault(errInvalidField)
	}
}
