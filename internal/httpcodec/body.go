package httpcodec

import "bytes"

const (
	maxChunkLine     = 256      // bytes of a chunk's size line, extensions included
	maxTrailerBytes  = 8 << 10  // bytes of all trailers
	maxChunkOverhead = 16 << 10 // bytes beside data that many small chunks may add up to
)

// Body decodes the body that follows a head. Reset starts it anew.
type Body struct {
	state        bodyState
	remaining    int64 // of the length, or of the chunk
	limit        int64 // bytes that may still come
	overhead     int64 // bytes beside data, eased by the data that came
	trailerBytes int   // bytes of trailers read
}

type bodyState uint8

const (
	bodyDone bodyState = iota
	bodyLength
	bodyUntilClose // an answer that ends with its connection
	bodyChunkSize  // at a chunk's size line
	bodyChunk
	bodyChunkEnd // at the CRLF after a chunk
	bodyTrailer
)

// ResetRequest prepares for the body of a request.
func (d *Body) ResetRequest(h *Head, lim Limits) {
	*d = Body{limit: lim.Body}
	if h.Chunked {
		d.state = bodyChunkSize
	} else if h.Length > 0 {
		d.state, d.remaining = bodyLength, h.Length
	}
}

// ResetResponse prepares for the body of an answer to a request, HEAD or not. An answer has no size limit here.
func (d *Body) ResetResponse(h *Head, head bool) {
	*d = Body{limit: 1 << 62}
	switch {
	case head || h.Status < 200 || h.Status == 204 || h.Status == 304 || h.Length == 0:
	case h.Chunked:
		d.state = bodyChunkSize
	case h.Length > 0:
		d.state, d.remaining = bodyLength, h.Length
	default:
		d.state = bodyUntilClose
	}
}

// Done tells whether the body is complete.
func (d *Body) Done() bool { return d.state == bodyDone }

// ReadsUntilClose tells whether the body ends with its connection.
func (d *Body) ReadsUntilClose() bool { return d.state == bodyUntilClose }

// Next decodes from the start of b. It returns a piece of the body (part of b, perhaps empty) and how many bytes it
// used, framing included. Call it again with the rest until it uses nothing or Done.
func (d *Body) Next(b []byte) (data []byte, used int, err error) {
	for {
		rest := b[used:]
		switch d.state {
		case bodyDone:
			return nil, used, nil
		case bodyUntilClose:
			return rest, len(b), nil
		case bodyLength, bodyChunk:
			n := int(min(int64(len(rest)), d.remaining))
			if d.remaining -= int64(n); d.remaining == 0 && d.state == bodyLength {
				d.state = bodyDone
			} else if d.remaining == 0 {
				d.state = bodyChunkEnd
			}
			return rest[:n], used + n, nil
		case bodyChunkSize:
			line, n, err := d.readLine(rest, maxChunkLine)
			if n == 0 || err != nil {
				return nil, used, err
			}
			size, err := parseChunkSize(line)
			if err != nil {
				return nil, used, err
			}
			if d.overhead = max(0, d.overhead+int64(n)-16-2*size); d.overhead > maxChunkOverhead {
				return nil, used, ErrChunkOverhead
			}
			if d.limit -= size; d.limit < 0 {
				return nil, used, ErrBodyTooLarge
			}
			used += n
			if d.state, d.remaining = bodyChunk, size; size == 0 {
				d.state = bodyTrailer
			}
		case bodyChunkEnd:
			if len(rest) < 2 {
				if len(rest) == 1 && rest[0] != '\r' {
					return nil, used, ErrMalformedChunk
				}
				return nil, used, nil
			}
			if rest[0] != '\r' || rest[1] != '\n' {
				return nil, used, ErrMalformedChunk
			}
			used += 2
			d.state = bodyChunkSize
		case bodyTrailer:
			line, n, err := d.readLine(rest, maxTrailerBytes)
			if n == 0 || err != nil {
				return nil, used, err
			}
			used += n
			if len(line) == 0 {
				d.state = bodyDone
				continue
			}
			if d.trailerBytes += n; d.trailerBytes > maxTrailerBytes {
				return nil, used, ErrHeadTooLarge
			}
			i := bytes.IndexByte(line, ':')
			if i < 0 || !isToken(line[:i]) {
				return nil, used, ErrInvalidHeaderName
			}
			for _, c := range line[i:] {
				if c < ' ' && c != '\t' || c == 0x7f {
					return nil, used, ErrInvalidHeaderValue
				}
			}
		}
	}
}

// readLine takes one line that ends in CRLF; n is 0 while it is not there whole.
func (d *Body) readLine(b []byte, most int) (line []byte, n int, err error) {
	i := bytes.IndexByte(b, '\n')
	switch {
	case i < 0 && len(b) > most || i > most:
		return nil, 0, ErrMalformedChunk
	case i < 0:
		return nil, 0, nil
	case i == 0 || b[i-1] != '\r' || bytes.IndexByte(b[:i-1], '\r') >= 0:
		return nil, 0, ErrBareLF
	}
	return b[:i-1], i + 1, nil
}

// parseChunkSize reads a size line. Extensions are passed over; spaces before them are refused.
func parseChunkSize(line []byte) (int64, error) {
	n, i := int64(0), 0
	for ; i < len(line) && isHex(line[i]); i++ {
		c := line[i]
		if isDigit(c) {
			c -= '0'
		} else {
			c = c | 0x20 - 'a' + 10
		}
		if n = n<<4 | int64(c); i >= 15 {
			return 0, ErrMalformedChunk
		}
	}
	if i == 0 || i < len(line) && line[i] != ';' {
		return 0, ErrMalformedChunk
	}
	for _, c := range line[i:] {
		if c < ' ' && c != '\t' || c == 0x7f {
			return 0, ErrMalformedChunk
		}
	}
	return n, nil
}
