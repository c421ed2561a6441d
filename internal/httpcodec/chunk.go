package httpcodec

import "bytes"

const (
	maxChunkLineBytes = 256     // size line of a chunk, extensions included
	maxTrailerBytes   = 8 << 10 // all trailers together
	// maxChunkOverhead limits the bytes of size lines that are not compensated by data, so that a peer cannot keep the
	// decoder busy with tiny chunks or long extensions. Each size line adds its length, less chunkLineAllowance bytes and
	// two bytes for each byte of data.
	maxChunkOverhead   = 16 << 10 // bytes
	chunkLineAllowance = 16       // bytes
	maxChunkSizeDigits = 15       // hexadecimal digits that cannot overflow an int64
)

// parseChunkFraming parses the size line, chunk end or trailer line at the start of b. It returns its length, or 0 if it
// has not arrived completely.
func (d *BodyDecoder) parseChunkFraming(b []byte) (int, error) {
	switch d.state {
	case bodyChunkSize:
		return d.parseSizeLine(b)
	case bodyChunkEnd:
		return d.parseChunkEnd(b)
	default:
		return d.parseTrailerLine(b)
	}
}

func (d *BodyDecoder) parseSizeLine(b []byte) (int, error) {
	line, n, err := readLine(b, maxChunkLineBytes)
	if n == 0 || err != nil {
		return 0, err
	}
	size, err := parseChunkSize(line)
	if err != nil {
		return 0, err
	}
	d.chunkOverhead = max(0, d.chunkOverhead+int64(n)-chunkLineAllowance-2*size)
	if d.chunkOverhead > maxChunkOverhead {
		return 0, ErrChunkOverhead
	}
	d.chunkDataLeft -= size
	if d.chunkDataLeft < 0 {
		return 0, ErrBodyTooLarge
	}
	d.remaining = size
	d.state = bodyChunk
	if size == 0 { // the last chunk
		d.state = bodyTrailer
	}
	return n, nil
}

func (d *BodyDecoder) parseChunkEnd(b []byte) (int, error) {
	if len(b) > 0 && b[0] != '\r' || len(b) > 1 && b[1] != '\n' {
		return 0, ErrMalformedChunk
	}
	if len(b) < 2 {
		return 0, nil
	}
	d.state = bodyChunkSize
	return 2, nil
}

// parseTrailerLine checks and discards a trailer line, or ends the body at the empty line.
func (d *BodyDecoder) parseTrailerLine(b []byte) (int, error) {
	line, n, err := readLine(b, maxTrailerBytes)
	if n == 0 || err != nil {
		return 0, err
	}
	if len(line) == 0 {
		d.state = bodyDone
		return n, nil
	}
	d.trailerBytes += n
	if d.trailerBytes > maxTrailerBytes {
		return 0, ErrHeadTooLarge
	}
	colon := bytes.IndexByte(line, ':')
	if colon < 0 || !isToken(line[:colon]) {
		return 0, ErrInvalidHeaderName
	}
	if containsControl(line[colon:]) {
		return 0, ErrInvalidHeaderValue
	}
	return n, nil
}

// readLine returns the first line of b without its CRLF, and its length including the CRLF, or a length of 0 if the line
// has not arrived completely.
func readLine(b []byte, limit int) (line []byte, n int, err error) {
	end := bytes.IndexByte(b, '\n')
	switch {
	case end < 0 && len(b) > limit || end > limit:
		return nil, 0, ErrMalformedChunk
	case end < 0:
		return nil, 0, nil
	case end == 0 || b[end-1] != '\r' || bytes.IndexByte(b[:end-1], '\r') >= 0:
		return nil, 0, ErrBareLF
	}
	return b[:end-1], end + 1, nil
}

// parseChunkSize parses the size in a size line. It ignores extensions, but rejects a space before them.
func parseChunkSize(line []byte) (int64, error) {
	size := int64(0)
	digits := 0
	for digits < len(line) && isHex(line[digits]) {
		if digits == maxChunkSizeDigits {
			return 0, ErrMalformedChunk
		}
		size = size<<4 | hexValue(line[digits])
		digits++
	}
	extensions := line[digits:]
	if digits == 0 || len(extensions) > 0 && extensions[0] != ';' || containsControl(extensions) {
		return 0, ErrMalformedChunk
	}
	return size, nil
}

// hexValue returns the value of a hexadecimal digit.
func hexValue(c byte) int64 {
	if isDigit(c) {
		return int64(c - '0')
	}
	return int64(c|0x20-'a') + 10
}
