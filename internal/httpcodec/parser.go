package httpcodec

import "bytes"

var headEnd = []byte("\r\n\r\n")

// Parser finds and parses heads in a buffer that grows as bytes arrive. The zero Parser with Limits set is ready for use.
// A single Parser serves a connection for its lifetime.
type Parser struct {
	Limits  Limits
	scanned int // bytes at the start of the buffer known not to contain the end of the head
}

// ParseRequest parses the head of a request at the start of b into h. It returns the length of the head, or 0 and no error
// if more bytes are needed; the caller then calls it again with the same bytes followed by new ones.
func (p *Parser) ParseRequest(b []byte, h *Head) (n int, err error) {
	n, err = p.findHeadEnd(b, ErrTargetTooLong)
	if n == 0 || err != nil {
		return 0, err
	}
	line, headers := cutLine(b[:n-2])
	if err := h.parseRequestLine(line, p.Limits); err != nil {
		return 0, err
	}
	if err := h.parseHeaders(headers, p.Limits, true); err != nil {
		return 0, err
	}
	return n, nil
}

// ParseResponse parses the head of a response. Otherwise it is like ParseRequest.
func (p *Parser) ParseResponse(b []byte, h *Head) (n int, err error) {
	n, err = p.findHeadEnd(b, ErrHeadTooLarge)
	if n == 0 || err != nil {
		return 0, err
	}
	line, headers := cutLine(b[:n-2])
	if err := h.parseStatusLine(line); err != nil {
		return 0, err
	}
	if err := h.parseHeaders(headers, p.Limits, false); err != nil {
		return 0, err
	}
	return n, nil
}

// findHeadEnd returns the length of the head including the empty line that ends it, or 0 if the end has not arrived yet.
// lineTooLong is the error for a first line longer than Limits.Line.
func (p *Parser) findHeadEnd(b []byte, lineTooLong *Error) (int, error) {
	from := max(0, p.scanned-(len(headEnd)-1)) // the end may start in bytes that were already scanned
	if i := bytes.Index(b[from:], headEnd); i >= 0 {
		p.scanned = 0
		n := from + i + len(headEnd)
		if n > p.Limits.Head {
			return 0, ErrHeadTooLarge
		}
		return n, nil
	}
	// A valid head contains no bare LF. Reject it now, as the sender may never send the end of the head.
	for i := from; i < len(b); i++ {
		if b[i] == '\n' && (i == 0 || b[i-1] != '\r') {
			return 0, ErrBareLF
		}
	}
	p.scanned = len(b)
	if len(b) > p.Limits.Line && bytes.IndexByte(b[:p.Limits.Line], '\n') < 0 {
		return 0, lineTooLong
	}
	if len(b) >= p.Limits.Head {
		return 0, ErrHeadTooLarge
	}
	return 0, nil
}

// cutLine splits b after its first line. It removes a CRLF from the line, but leaves a bare LF, which is then rejected as a
// control character.
func cutLine(b []byte) (line, rest []byte) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		return b, nil
	}
	if i > 0 && b[i-1] == '\r' {
		return b[:i-1], b[i+1:]
	}
	return b[:i+1], b[i+1:]
}
