package httpcodec

// BodyDecoder decodes the body that follows a head. ResetRequest and ResetResponse prepare it for a message.
type BodyDecoder struct {
	state         bodyState
	remaining     int64 // bytes left of the body or of the current chunk
	chunkDataLeft int64 // bytes of chunk data left until the size limit
	chunkOverhead int64 // bytes counted towards maxChunkOverhead
	trailerBytes  int   // bytes of trailers read so far
}

type bodyState uint8

const (
	bodyDone       bodyState = iota
	bodyLength               // in a body of known length
	bodyUntilClose           // in a response body that ends when the connection is closed
	bodyChunkSize            // at the size line of a chunk
	bodyChunk                // in the data of a chunk
	bodyChunkEnd             // at the CRLF after a chunk
	bodyTrailer              // at a trailer line, or the empty line after the trailers
)

// unlimitedBodyBytes is a size limit that no body reaches.
const unlimitedBodyBytes = 1 << 62

// ResetRequest prepares the decoder for the body of a request.
func (d *BodyDecoder) ResetRequest(h *Head, limits Limits) {
	*d = BodyDecoder{chunkDataLeft: limits.Body}
	if h.Chunked {
		d.state = bodyChunkSize
	} else if h.ContentLength > 0 {
		d.state = bodyLength
		d.remaining = h.ContentLength
	}
}

// ResetResponse prepares the decoder for the body of a response, which has no size limit. toHEAD is true if the method of
// the request was HEAD, so that the response has no body.
func (d *BodyDecoder) ResetResponse(h *Head, toHEAD bool) {
	*d = BodyDecoder{chunkDataLeft: unlimitedBodyBytes}
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

// ReadsUntilClose reports whether the body ends when the connection is closed.
func (d *BodyDecoder) ReadsUntilClose() bool { return d.state == bodyUntilClose }

// Next decodes from the start of b. It returns a piece of the body, which is a part of b and may be empty, and the number
// of bytes that it consumed, framing included. The caller calls it again with the remaining bytes until it consumes none
// or Done returns true.
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
