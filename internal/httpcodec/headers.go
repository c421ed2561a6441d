package httpcodec

import (
	"bytes"

	"mastchute/internal/decimal"
)

// headerSummary is the information about the headers of a head that its checks need in addition to the fields of Head.
type headerSummary struct {
	hostCount             int  // number of Host lines
	transferEncodingCount int  // number of Transfer-Encoding lines
	framingTrailers       bool // a Trailer header announces a header that frames the message
}

// parseHeaders parses the header lines into h and interprets those that affect the framing or the connection.
func (h *Head) parseHeaders(b []byte, limits Limits, isRequest bool) error {
	h.Headers = h.Headers[:0]
	h.ContentLength = -1
	h.Chunked = false
	h.ExpectContinue = false
	h.Close = h.MinorVersion == 0
	var summary headerSummary
	for len(b) > 0 {
		var line []byte
		line, b = cutLine(b)
		header, err := h.parseHeaderLine(line, limits)
		if err != nil {
			return err
		}
		h.Headers = append(h.Headers, header)
		if err := h.interpretHeader(header, isRequest, &summary); err != nil {
			return err
		}
	}
	if isRequest {
		return h.checkRequestFraming(summary, limits)
	}
	return h.checkFraming(summary)
}

func (h *Head) parseHeaderLine(line []byte, limits Limits) (Header, error) {
	if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
		return Header{}, ErrFoldedHeader
	}
	if len(h.Headers) >= limits.Headers {
		return Header{}, ErrTooManyHeaders
	}
	colon := bytes.IndexByte(line, ':')
	if colon < 0 || !isToken(line[:colon]) {
		return Header{}, ErrInvalidHeaderName
	}
	value := trimSpace(line[colon+1:])
	if containsControl(value) {
		return Header{}, ErrInvalidHeaderValue
	}
	return Header{Name: line[:colon], Value: value}, nil
}

// interpretHeader updates h and summary from a header that affects the framing or the connection. The switch on the first
// letter makes all other headers cheap.
func (h *Head) interpretHeader(header Header, isRequest bool, summary *headerSummary) error {
	name := header.Name
	switch name[0] | 0x20 {
	case 'c':
		if EqualsLower(name, "content-length") {
			return h.interpretContentLength(header.Value)
		}
		if EqualsLower(name, "connection") {
			h.interpretConnection(header.Value)
		}
	case 't':
		if EqualsLower(name, "transfer-encoding") {
			return h.interpretTransferEncoding(header.Value, summary)
		}
		if EqualsLower(name, "trailer") && announcesFraming(header.Value) {
			summary.framingTrailers = true
		}
	case 'h':
		if isRequest && EqualsLower(name, "host") {
			summary.hostCount++
			if summary.hostCount > 1 || !isValidHost(header.Value) {
				return ErrInvalidHost
			}
		}
	case 'e':
		if isRequest && EqualsLower(name, "expect") {
			if !EqualsLower(header.Value, "100-continue") {
				return ErrUnsupportedExpectation
			}
			h.ExpectContinue = h.MinorVersion == 1
		}
	}
	return nil
}

// maxContentLengthDigits is the number of decimal digits that cannot overflow an int64.
const maxContentLengthDigits = 18

func (h *Head) interpretContentLength(value []byte) error {
	if h.ContentLength >= 0 {
		return ErrInvalidContentLength
	}
	length, ok := decimal.ParseDigits(value, maxContentLengthDigits)
	if !ok {
		return ErrInvalidContentLength
	}
	h.ContentLength = length
	return nil
}

func (h *Head) interpretTransferEncoding(value []byte, summary *headerSummary) error {
	summary.transferEncodingCount++
	if summary.transferEncodingCount > 1 || !EqualsLower(value, "chunked") {
		return ErrUnsupportedTransferCoding
	}
	h.Chunked = true
	return nil
}

func (h *Head) interpretConnection(value []byte) {
	if listContainsLower(value, "close") {
		h.Close = true
	} else if h.MinorVersion == 0 && listContainsLower(value, "keep-alive") {
		h.Close = false
	}
}

// announcesFraming reports whether a Trailer header announces a header that frames the message, which must not be a
// trailer.
func announcesFraming(trailer []byte) bool {
	return listContainsLower(trailer, "content-length") || listContainsLower(trailer, "transfer-encoding") || listContainsLower(trailer, "trailer")
}

// checkFraming checks the headers that frame the message for conflicts with each other.
func (h *Head) checkFraming(summary headerSummary) error {
	switch {
	case h.Chunked && h.ContentLength >= 0:
		return ErrConflictingFraming
	case h.Chunked && h.MinorVersion == 0:
		return ErrTransferEncodingInHTTP10
	case h.Chunked && summary.framingTrailers:
		return ErrFramingTrailer
	}
	return nil
}

func (h *Head) checkRequestFraming(summary headerSummary, limits Limits) error {
	if err := h.checkFraming(summary); err != nil {
		return err
	}
	if h.MinorVersion == 1 && summary.hostCount != 1 {
		return ErrInvalidHost
	}
	if h.ContentLength > limits.Body {
		return ErrBodyTooLarge
	}
	return nil
}
