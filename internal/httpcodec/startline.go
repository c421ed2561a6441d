package httpcodec

import "bytes"

func (h *Head) parseRequestLine(line []byte, limits Limits) error {
	if bytes.IndexByte(line, '\n') >= 0 || bytes.IndexByte(line, '\r') >= 0 {
		return ErrBareLF
	}
	firstSpace := bytes.IndexByte(line, ' ')
	lastSpace := bytes.LastIndexByte(line, ' ')
	if firstSpace <= 0 || lastSpace <= firstSpace {
		return ErrMalformedFirstLine
	}
	h.Method = line[:firstSpace]
	h.Target = line[firstSpace+1 : lastSpace]
	if !isToken(h.Method) {
		return ErrInvalidMethod
	}
	if len(line) > limits.Line {
		return ErrTargetTooLong
	}
	if err := h.parseVersion(line[lastSpace+1:]); err != nil {
		return err
	}
	if !isValidTarget(h.Target, h.Method) {
		return ErrInvalidTarget
	}
	return nil
}

// isValidTarget reports whether a request target is in origin form, or in the asterisk form of OPTIONS, and contains
// neither forbidden characters nor malformed percent-encoding.
func isValidTarget(target, method []byte) bool {
	if len(target) == 0 {
		return false
	}
	isAsterisk := string(target) == "*" && string(method) == "OPTIONS"
	if target[0] != '/' && !isAsterisk {
		return false
	}
	for i := 0; i < len(target); i++ {
		c := target[i]
		if c <= ' ' || c >= 0x7f || c == '#' || c == '\\' {
			return false
		}
		if c == '%' && (i+2 >= len(target) || !isHex(target[i+1]) || !isHex(target[i+2])) {
			return false
		}
	}
	return true
}

func (h *Head) parseVersion(version []byte) error {
	switch string(version) {
	case "HTTP/1.1":
		h.MinorVersion = 1
		return nil
	case "HTTP/1.0":
		h.MinorVersion = 0
		return nil
	}
	wellFormed := len(version) == 8 && string(version[:5]) == "HTTP/" && isDigit(version[5]) && version[6] == '.' && isDigit(version[7])
	if wellFormed {
		return ErrUnsupportedVersion
	}
	return ErrMalformedFirstLine
}

// parseStatusLine parses a status line: a version of 8 bytes, a space, a status of 3 digits, and optionally a space and
// a reason.
func (h *Head) parseStatusLine(line []byte) error {
	if len(line) < 12 || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return ErrMalformedStatusLine
	}
	if err := h.parseVersion(line[:8]); err != nil {
		return ErrMalformedStatusLine
	}
	h.Status = 0
	for _, c := range line[9:12] {
		if !isDigit(c) {
			return ErrMalformedStatusLine
		}
		h.Status = 10*h.Status + int(c-'0')
	}
	if h.Status < 100 || containsControl(line[12:]) {
		return ErrMalformedStatusLine
	}
	return nil
}
