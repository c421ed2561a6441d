package httpcodec

// BodyDecoder decodes the body that follows a head. ResetRequest or ResetResponse prepares it for a message.
type BodyDecoder struct {
	state        bodyState
	remaining    int64 // bytes of the body, or of the current chunk
	limit        int64 // bytes of data that may still follow in chunks
	overhead     int64 // see maxChunkOverhead
	trailerBytes int   // of trailers read
}

type bodyState uint8

const (
	bodyDone       bodyState = iota
	bodyLength               // in a body of known length
	bodyUntilClose           // in a response body that ends with its connection
	bodyChunkSize            // at the size line of a chunk
	bodyChunk                // in the data of a chunk
	bodyChunkEnd             // at the CRLF after a chunk
	bodyTrailer              // at a trailer line, or the empty line after the trailers
)

// unlimited is a limit that no body reaches.
const unlimited = 1 << 62

// ResetRequest prepares for the body of a request.
func (d *BodyDecoder) ResetRequest(h *Head, limits Limits) {
	*d = BodyDecoder{limit: limits.Body}
	if h.Chunked {
		d.state = bodyChunkSize
	} else if h.ContentLength > 0 {
		d.state = bodyLength
		d.remaining = h.ContentLength
	}
}

// ResetResponse prepares for the body of a response, which has no size limit. toHEAD states that the request's method was
// HEAD, to which a response has no body.
func (d *BodyDecoder) ResetResponse(h *Head, toHEAD bool) {
	*d = BodyDecoder{limit: unlimited}
	switch {
	case toHEAD || h.Status < 200 || h.Status == 204 || h.Status == 304 || h.ContentLength == 0:
	case h.Chunked:
		d.state = bodyChunkSize
	case h.ContentLength > 0:
		d.state = bodyLength
		d.remaining = h.ContentLength
	default:
		d.state = bodyUntilClose
	}
}

// Done reports whether the body is complete.
func (d *BodyDecoder) Done() bool { return d.state == bodyDone }

// ReadsUntilClose reports whether the body ends with its connection.
func (d *BodyDecoder) ReadsUntilClose() bool { return d.state == bodyUntilClose }

// Next decodes from the start of b. It returns a piece of the body, which is a part of b and may be empty, and the number
// of bytes it consumed, framing included. It is called again with the rest until it consumes nothing or Done returns
// true.
func (d *BodyDecoder) Next(b []byte) (data []byte, used int, err error) {
	for {
		rest := b[used:]
		switch d.state {
		case bodyDone:
			return nil, used, nil
		case bodyUntilClose:
			return rest, len(b), nil
		case bodyLength, bodyChunk:
			data = d.takeData(rest)
			return data, used + len(data), nil
		}
		n, err := d.parseChunkFraming(rest)
		used += n
		if n == 0 || err != nil {
			return nil, used, err
		}
	}
}

// takeData returns the part of b that belongs to the body or the current chunk.
func (d *BodyDecoder) takeData(b []byte) []byte {
	n := min(int64(len(b)), d.remaining)
	d.remaining -= n
	if d.remaining == 0 {
		if d.state == bodyLength {
			d.state = bodyDone
		} else {
			d.state = bodyChunkEnd
		}
	}
	return b[:n]
}
