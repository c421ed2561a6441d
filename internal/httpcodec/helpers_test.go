package httpcodec

import "io"

var smallLimits = Limits{Line: 200, Head: 600, Headers: 10, Body: 100}

// parseWhole parses one whole request that arrives in pieces of the given size; 0 means all at once.
func parseWhole(text string, limits Limits, piece int) (h Head, body []byte, used int, err error) {
	parser := Parser{Limits: limits}
	b := []byte(text)
	n := 0
	for end := nextEnd(0, piece, len(b)); ; end = nextEnd(end, piece, len(b)) {
		n, err = parser.ParseRequest(b[:end:end], &h)
		if n > 0 || err != nil || end == len(b) {
			break
		}
	}
	if err != nil {
		return h, nil, 0, err
	}
	if n == 0 {
		return h, nil, 0, io.ErrUnexpectedEOF
	}
	var decoder BodyDecoder
	decoder.ResetRequest(&h, limits)
	body, used, err = decode(&decoder, b[n:], piece)
	return h, body, n + used, err
}

// nextEnd returns where the next piece ends of a text of which the first received bytes have arrived.
func nextEnd(received, piece, length int) int {
	if piece == 0 {
		return length
	}
	return min(received+piece, length)
}

// decode decodes one whole body that arrives in pieces of the given size.
func decode(decoder *BodyDecoder, b []byte, piece int) (body []byte, used int, err error) {
	for end := nextEnd(0, piece, len(b)); !decoder.Done(); end = nextEnd(end, piece, len(b)) {
		for !decoder.Done() {
			data, n, err := decoder.Next(b[used:end])
			if err != nil {
				return body, used, err
			}
			body = append(body, data...)
			used += n
			if n == 0 {
				break
			}
		}
		if end == len(b) && !decoder.Done() {
			return body, used, io.ErrUnexpectedEOF
		}
	}
	return body, used, nil
}
