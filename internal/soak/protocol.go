package soak

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/apache/thrift/lib/go/thrift"
)

// This file encodes the client protocol with the public Thrift library and not with the dispatcher's own codec, so that
// a bug in that codec is detected.

const (
	frameHeaderBytes = 4
	maxResponseBytes = 1 << 20
)

// Field numbers of the response.
const (
	shedField    = 1
	failedField  = 2
	bodyField    = 1 // of the result
	healthyField = 3
)

// encodeFrame encodes one message in a frame. Writes to the memory buffer can't fail.
func encodeFrame(write func(ctx context.Context, p *thrift.TBinaryProtocol)) []byte {
	buf := thrift.NewTMemoryBuffer()
	p := thrift.NewTBinaryProtocolConf(buf, &thrift.TConfiguration{})
	ctx := context.Background()
	write(ctx, p)
	p.Flush(ctx)
	return append(binary.BigEndian.AppendUint32(nil, uint32(buf.Len())), buf.Bytes()...)
}

func dispatchMessage(seq int32, fields map[string]string, body []byte) []byte {
	return encodeFrame(func(ctx context.Context, p *thrift.TBinaryProtocol) {
		p.WriteMessageBegin(ctx, "dispatch", thrift.CALL, seq)
		p.WriteFieldBegin(ctx, "fields", thrift.MAP, 1)
		p.WriteMapBegin(ctx, thrift.STRING, thrift.STRING, len(fields))
		for name, value := range fields {
			p.WriteString(ctx, name)
			p.WriteString(ctx, value)
		}
		p.WriteFieldBegin(ctx, "body", thrift.STRING, 2)
		p.WriteBinary(ctx, body)
		p.WriteFieldStop(ctx)
	})
}

func cancelMessage(seq, target int32) []byte {
	return encodeFrame(func(ctx context.Context, p *thrift.TBinaryProtocol) {
		p.WriteMessageBegin(ctx, "cancelRequest", thrift.ONEWAY, seq)
		p.WriteFieldBegin(ctx, "seqid", thrift.I32, 1)
		p.WriteI32(ctx, target)
		p.WriteFieldStop(ctx)
	})
}

func healthCheckMessage(seq int32) []byte {
	return encodeFrame(func(ctx context.Context, p *thrift.TBinaryProtocol) {
		p.WriteMessageBegin(ctx, "alive", thrift.CALL, seq)
		p.WriteFieldBegin(ctx, "unused", thrift.BOOL, 1)
		p.WriteBool(ctx, true)
		p.WriteFieldStop(ctx)
	})
}

// response is a response as a client reads it.
type response struct {
	seq     int32
	outcome Outcome
	body    string
	healthy bool // of a health check
}

// decodeResponse reads one response. On an error the sequence number is set if it could be read.
func decodeResponse(frame []byte) (response, error) {
	var r response
	buf := thrift.NewTMemoryBuffer()
	buf.Write(frame)
	p := thrift.NewTBinaryProtocolConf(buf, &thrift.TConfiguration{})
	ctx := context.Background()
	_, kind, seq, err := p.ReadMessageBegin(ctx)
	r.seq = seq
	if err != nil {
		return r, err
	}
	if kind == thrift.EXCEPTION {
		r.outcome = Failed
		return r, nil
	}
	_, _, field, err := p.ReadFieldBegin(ctx)
	if err != nil {
		return r, err
	}
	switch field {
	case shedField:
		r.outcome = Shed
		return r, p.Skip(ctx, thrift.STRUCT)
	case failedField:
		r.outcome = Failed
		return r, p.Skip(ctx, thrift.STRUCT)
	}
	r.outcome = Served
	err = decodeResult(ctx, p, &r)
	return r, err
}

// decodeResult reads the fields of a successful result.
func decodeResult(ctx context.Context, p *thrift.TBinaryProtocol, r *response) error {
	for {
		_, kind, field, err := p.ReadFieldBegin(ctx)
		if err != nil {
			return err
		}
		if kind == thrift.STOP {
			return nil
		}
		switch field {
		case bodyField:
			var body []byte
			body, err = p.ReadBinary(ctx)
			r.body = string(body)
		case healthyField:
			r.healthy, err = p.ReadBool(ctx)
		default:
			err = p.Skip(ctx, kind)
		}
		if err != nil {
			return err
		}
	}
}

// readFrame reads one frame. The error wraps io.ErrUnexpectedEOF if the frame was truncated.
func readFrame(in io.Reader) ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(in, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > maxResponseBytes {
		return nil, fmt.Errorf("read frame: %d bytes are more than %d", size, maxResponseBytes)
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(in, frame); err != nil {
		return nil, errors.Join(io.ErrUnexpectedEOF, err)
	}
	return frame, nil
}
