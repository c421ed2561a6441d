// Package httpcodec reads and writes HTTP/1.1 (RFC 9110, RFC 9112) on byte slices. It does no I/O, knows no clock and
// keeps no copies: what it returns points into the bytes it was given, and is valid as long as they are.
//
// It is strict where laxness has let requests be smuggled: two framings at once, repeated or signed lengths, bare LF
// or CR, folded lines, a space before the colon, NULs and other controls, unknown transfer codings are refused.
package httpcodec

import (
	"bytes"
	"fmt"
)

// Limits bound what one message may hold.
type Limits struct {
	Line    int   // bytes of the first line
	Head    int   // bytes of the whole head
	Headers int   // header lines
	Body    int64 // bytes of the body, decoded
}

// DefaultLimits are limits that suit a gateway.
var DefaultLimits = Limits{Line: 8 << 10, Head: 32 << 10, Headers: 100, Body: 64 << 20}

// Error is a message that is refused: a status code for its sender, and a reason for people.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

// The refusals. They are values, so that refusing allocates nothing.
var (
	ErrBareLF                    = &Error{400, "a line ends in a bare LF or CR"}
	ErrMalformedFirstLine        = &Error{400, "first line malformed"}
	ErrInvalidMethod             = &Error{400, "method is not a token"}
	ErrInvalidTarget             = &Error{400, "request target malformed"}
	ErrUnsupportedVersion        = &Error{505, "only HTTP/1.0 and HTTP/1.1 are spoken here"}
	ErrInvalidHeaderName         = &Error{400, "header name is not a token, or a space stands before the colon"}
	ErrFoldedHeader              = &Error{400, "folded header line"}
	ErrInvalidHeaderValue        = &Error{400, "control character in a header value"}
	ErrInvalidHost               = &Error{400, "exactly one valid Host is needed"}
	ErrInvalidContentLength      = &Error{400, "Content-Length malformed or repeated"}
	ErrConflictingFraming        = &Error{400, "Content-Length and Transfer-Encoding at once"}
	ErrUnsupportedTransferCoding = &Error{501, "transfer coding not known; only chunked is"}
	ErrTransferEncodingInHTTP10  = &Error{400, "Transfer-Encoding in HTTP/1.0"}
	ErrUnsupportedExpectation    = &Error{417, "only 100-continue can be expected"}
	ErrFramingTrailer            = &Error{400, "a framing header is announced as trailer"}
	ErrTargetTooLong             = &Error{414, "request target too long"}
	ErrHeadTooLarge              = &Error{431, "head too large"}
	ErrTooManyHeaders            = &Error{431, "too many header lines"}
	ErrBodyTooLarge              = &Error{413, "body too large"}
	ErrMalformedChunk            = &Error{400, "chunk malformed"}
	ErrChunkOverhead             = &Error{400, "chunked encoding holds too much beside data"}
	ErrMalformedStatusLine       = &Error{502, "status line malformed"}
)

// Header is one header line; Name stands as received.
type Header struct{ Name, Value []byte }

// Head is a parsed head. Reuse one: its Headers keep their room.
type Head struct {
	Method, Target []byte // of a request
	Status         int    // of an answer
	Minor          int    // of the version: 0 or 1
	Headers        []Header
	Length         int64 // Content-Length, -1 where none is told
	Chunked        bool
	Close          bool // the connection ends after this message
	Expect         bool // 100-continue
}

// Get returns the value of the first header of that name, nil if there is none. name is in lower case.
func (h *Head) Get(name string) []byte {
	for i := range h.Headers {
		if EqualsLower(h.Headers[i].Name, name) {
			return h.Headers[i].Value
		}
	}
	return nil
}

// EqualsLower compares a name with one in lower case, whatever the case of the first.
func EqualsLower(name []byte, lower string) bool {
	if len(name) != len(lower) {
		return false
	}
	for i, c := range name {
		if 'A' <= c && c <= 'Z' {
			c |= 0x20
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

// Parser finds heads in a growing buffer. The zero Parser with Limits set is ready; one serves a whole connection.
type Parser struct {
	Limits  Limits
	scanned int // bytes seen before without an end
}

// ParseRequest parses the head of a request at the start of b. n is its length; 0 without an error means that more bytes
// are needed.
func (p *Parser) ParseRequest(b []byte, h *Head) (n int, err error) {
	if n, err = p.findHeadEnd(b, ErrTargetTooLong); n == 0 || err != nil {
		return 0, err
	}
	line, rest := cutLine(b[:n-2])
	if err := h.parseRequestLine(line, p.Limits); err != nil {
		return 0, err
	}
	if err := h.parseHeaders(rest, p.Limits, true); err != nil {
		return 0, err
	}
	return n, nil
}

// ParseResponse parses the head of an answer at the start of b, as Request does.
func (p *Parser) ParseResponse(b []byte, h *Head) (n int, err error) {
	if n, err = p.findHeadEnd(b, ErrHeadTooLarge); n == 0 || err != nil {
		return 0, err
	}
	line, rest := cutLine(b[:n-2])
	if err := h.parseStatusLine(line); err != nil {
		return 0, err
	}
	if err := h.parseHeaders(rest, p.Limits, false); err != nil {
		return 0, err
	}
	return n, nil
}

// findHeadEnd finds the empty line that ends a head.
func (p *Parser) findHeadEnd(b []byte, long *Error) (int, error) {
	from := max(0, p.scanned-3)
	if i := bytes.Index(b[from:], headEnd); i >= 0 {
		p.scanned = 0
		if n := from + i + 4; n <= p.Limits.Head {
			return n, nil
		}
		return 0, ErrHeadTooLarge
	}
	// A bare LF never becomes part of a good head: refuse it now, rather than wait for more.
	for i := from; i < len(b); i++ {
		if b[i] == '\n' && (i == 0 || b[i-1] != '\r') {
			return 0, ErrBareLF
		}
	}
	p.scanned = len(b)
	if len(b) > p.Limits.Line && bytes.IndexByte(b[:p.Limits.Line], '\n') < 0 {
		return 0, long
	}
	if len(b) >= p.Limits.Head {
		return 0, ErrHeadTooLarge
	}
	return 0, nil
}

var headEnd = []byte("\r\n\r\n")

// cutLine takes the first line off; the rest keeps its line ends.
func cutLine(b []byte) (line, rest []byte) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		return b, nil
	}
	if i > 0 && b[i-1] == '\r' {
		return b[:i-1], b[i+1:]
	}
	return b[:i+1], b[i+1:] // the bare LF stays in, and is refused as a control character
}

func (h *Head) parseRequestLine(line []byte, lim Limits) error {
	if bytes.IndexByte(line, '\n') >= 0 || bytes.IndexByte(line, '\r') >= 0 {
		return ErrBareLF
	}
	i := bytes.IndexByte(line, ' ')
	j := bytes.LastIndexByte(line, ' ')
	if i <= 0 || j <= i {
		return ErrMalformedFirstLine
	}
	h.Method, h.Target = line[:i], line[i+1:j]
	if !isToken(h.Method) {
		return ErrInvalidMethod
	}
	if len(line) > lim.Line {
		return ErrTargetTooLong
	}
	if err := h.parseVersion(line[j+1:]); err != nil {
		return err
	}
	if len(h.Target) == 0 || h.Target[0] != '/' && !(string(h.Target) == "*" && string(h.Method) == "OPTIONS") {
		return ErrInvalidTarget
	}
	for k := 0; k < len(h.Target); k++ {
		switch c := h.Target[k]; {
		case c <= ' ' || c >= 0x7f || c == '#' || c == '\\':
			return ErrInvalidTarget
		case c == '%' && (k+2 >= len(h.Target) || !isHex(h.Target[k+1]) || !isHex(h.Target[k+2])):
			return ErrInvalidTarget
		}
	}
	return nil
}

func (h *Head) parseVersion(v []byte) error {
	switch string(v) {
	case "HTTP/1.1":
		h.Minor = 1
	case "HTTP/1.0":
		h.Minor = 0
	default:
		if len(v) == 8 && string(v[:5]) == "HTTP/" && isDigit(v[5]) && v[6] == '.' && isDigit(v[7]) {
			return ErrUnsupportedVersion
		}
		return ErrMalformedFirstLine
	}
	return nil
}

func (h *Head) parseStatusLine(line []byte) error {
	if len(line) < 12 || line[8] != ' ' || len(line) > 12 && line[12] != ' ' || h.parseVersion(line[:8]) != nil {
		return ErrMalformedStatusLine
	}
	h.Status = 0
	for _, c := range line[9:12] {
		if !isDigit(c) {
			return ErrMalformedStatusLine
		}
		h.Status = 10*h.Status + int(c-'0')
	}
	if h.Status < 100 {
		return ErrMalformedStatusLine
	}
	for _, c := range line[12:] {
		if c < ' ' && c != '\t' || c == 0x7f {
			return ErrMalformedStatusLine
		}
	}
	return nil
}

// parseHeaders parses the header lines and what they say of the framing.
func (h *Head) parseHeaders(b []byte, lim Limits, request bool) error {
	h.Headers, h.Length, h.Chunked, h.Expect = h.Headers[:0], -1, false, false
	h.Close = h.Minor == 0
	hosts, codings := 0, 0
	trailer := false
	for len(b) > 0 {
		var line []byte
		if line, b = cutLine(b); len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return ErrFoldedHeader
		}
		if len(h.Headers) >= lim.Headers {
			return ErrTooManyHeaders
		}
		i := bytes.IndexByte(line, ':')
		if i < 0 || !isToken(line[:i]) {
			return ErrInvalidHeaderName
		}
		name, value := line[:i], trimSpace(line[i+1:])
		for _, c := range value {
			if c < ' ' && c != '\t' || c == 0x7f {
				return ErrInvalidHeaderValue
			}
		}
		h.Headers = append(h.Headers, Header{name, value})
		switch name[0] | 0x20 {
		case 'c':
			switch {
			case EqualsLower(name, "content-length"):
				if h.Length >= 0 {
					return ErrInvalidContentLength
				}
				if h.Length = parseDecimal(value); h.Length < 0 {
					return ErrInvalidContentLength
				}
			case EqualsLower(name, "connection"):
				if list(value, "close") {
					h.Close = true
				} else if h.Minor == 0 && list(value, "keep-alive") {
					h.Close = false
				}
			}
		case 't':
			switch {
			case EqualsLower(name, "transfer-encoding"):
				if codings++; codings > 1 || !EqualsLower(value, "chunked") {
					return ErrUnsupportedTransferCoding
				}
				h.Chunked = true
			case EqualsLower(name, "trailer"):
				trailer = trailer || list(value, "content-length") || list(value, "transfer-encoding") || list(value, "trailer")
			}
		case 'h':
			if request && EqualsLower(name, "host") {
				if hosts++; hosts > 1 || !isValidHost(value) {
					return ErrInvalidHost
				}
			}
		case 'e':
			if request && EqualsLower(name, "expect") {
				if !EqualsLower(value, "100-continue") {
					return ErrUnsupportedExpectation
				}
				h.Expect = h.Minor == 1
			}
		}
	}
	switch {
	case h.Chunked && h.Length >= 0:
		return ErrConflictingFraming
	case h.Chunked && h.Minor == 0:
		return ErrTransferEncodingInHTTP10
	case h.Chunked && trailer:
		return ErrFramingTrailer
	case request && h.Minor == 1 && hosts != 1:
		return ErrInvalidHost
	case request && h.Length > lim.Body:
		return ErrBodyTooLarge
	}
	return nil
}

// list tells whether a comma list holds a word, which is in lower case.
func list(b []byte, word string) bool {
	for len(b) > 0 {
		i := bytes.IndexByte(b, ',')
		if i < 0 {
			i = len(b)
		}
		if EqualsLower(trimSpace(b[:i]), word) {
			return true
		}
		b = b[min(i+1, len(b)):]
	}
	return false
}

func trimSpace(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t') {
		b = b[1:]
	}
	for len(b) > 0 && (b[len(b)-1] == ' ' || b[len(b)-1] == '\t') {
		b = b[:len(b)-1]
	}
	return b
}

// parseDecimal reads digits only; -1 if there is anything else, or too much.
func parseDecimal(b []byte) int64 {
	if len(b) == 0 || len(b) > 18 {
		return -1
	}
	n := int64(0)
	for _, c := range b {
		if !isDigit(c) {
			return -1
		}
		n = 10*n + int64(c-'0')
	}
	return n
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
func isHex(c byte) bool   { return isDigit(c) || 'a' <= c|0x20 && c|0x20 <= 'f' }

// isToken tells whether all bytes are token characters of RFC 9110, and there is one at least.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenChars[c] {
			return false
		}
	}
	return len(b) > 0
}

var tokenChars, hostChars = charTable("!#$%&'*+-.^_`|~"), charTable("!$%&'()*+,-.:;=[]_~")

func charTable(extra string) (t [256]bool) {
	for c := '0'; c <= '9'; c++ {
		t[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		t[c], t[c-'a'+'A'] = true, true
	}
	for _, c := range extra {
		t[c] = true
	}
	return t
}

func isValidHost(b []byte) bool {
	for _, c := range b {
		if !hostChars[c] {
			return false
		}
	}
	return true
}

// ListContains tells whether a comma list, such as Connection's value, holds a name, whatever its case.
func ListContains(value, name []byte) bool {
	for len(value) > 0 {
		i := bytes.IndexByte(value, ',')
		if i < 0 {
			i = len(value)
		}
		if bytes.EqualFold(trimSpace(value[:i]), name) {
			return true
		}
		value = value[min(i+1, len(value)):]
	}
	return false
}
