package httpcodec

import "bytes"

var headEnd = []byte("\r\n\r\n")

// Parser finds and parses heads in a buffer that grows as bytes arrive. The zero Parser with Limits set is ready to use;
// one serves a whole connection.
type Parser struct {
	Limits  Limits
	scanned int // bytes at the start of the buffer known not to contain the end of the head
}

// ParseRequest parses the head of a request at the start of b into h. It returns the length of the head, or 0 without an
// error if more bytes are needed; it is then called again with the same bytes and those that followed.
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

// ParseResponse parses the head of a response as ParseRequest parses that of a request.
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

// findHeadEnd returns the length of the head including the empty line that ends it, or 0 if the end has not arrived.
// lineTooLong is the error for a first line beyond the limit.
func (p *Parser) findHeadEnd(b []byte, lineTooLong *Error) (int, error) {
	from := max(0, p.scanned-(len(headEnd)-1)) // the end may have begun in the bytes scanned before
	if i := bytes.Index(b[from:], headEnd); i >= 0 {
		p.scanned = 0
		n := from + i + len(headEnd)
		if n > p.Limits.Head {
			return 0, ErrHeadTooLarge
		}
		return n, nil
	}
	// No valid head contains a bare LF: reject it now, as the sender may never send what would end the head.
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

// cutLine returns the first line of b without its line end, and the rest. The line end CRLF is removed; a bare LF is left
// in the line, where it is rejected as a control character.
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
