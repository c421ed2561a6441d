package thrift

const (
	maxDecimalBytes   = 32
	maxExponentDigits = 3
	maxScaled         = 1e300 // a value above it is not multiplied any further, so that it remains finite
)

// ParseDecimal parses a number without a sign: digits with an optional point and an optional exponent, at most 32 bytes. ok
// is false for anything else. A value above 1e300 may be smaller than the number in text.
func ParseDecimal(text []byte) (value float64, ok bool) {
	if len(text) > maxDecimalBytes {
		return 0, false
	}
	value, scale, n := parseMantissa(text)
	if n == 0 {
		return 0, false
	}
	exponent, ok := parseExponent(text[n:])
	if !ok {
		return 0, false
	}
	return scaleByTen(value, scale+exponent), true
}

// parseMantissa parses digits with an optional point at the start of text. It returns their value without the point, the
// power of ten by which the point scales it, and how many bytes were read, 0 if there is no digit.
func parseMantissa(text []byte) (value float64, scale, n int) {
	digits := 0
	hasPoint := false
	for n = 0; n < len(text); n++ {
		char := text[n]
		if char == '.' && !hasPoint {
			hasPoint = true
			continue
		}
		if char < '0' || char > '9' {
			break
		}
		value = value*10 + float64(char-'0')
		digits++
		if hasPoint {
			scale--
		}
	}
	if digits == 0 {
		return 0, 0, 0
	}
	return value, scale, n
}

// parseExponent parses an exponent, which may be empty.
func parseExponent(text []byte) (exponent int, ok bool) {
	if len(text) == 0 {
		return 0, true
	}
	if text[0] != 'e' && text[0] != 'E' {
		return 0, false
	}
	text = text[1:]
	sign := 1
	if len(text) > 0 && (text[0] == '-' || text[0] == '+') {
		if text[0] == '-' {
			sign = -1
		}
		text = text[1:]
	}
	if len(text) == 0 || len(text) > maxExponentDigits {
		return 0, false
	}
	for _, char := range text {
		if char < '0' || char > '9' {
			return 0, false
		}
		exponent = exponent*10 + int(char-'0')
	}
	return sign * exponent, true
}

// scaleByTen returns value times ten to the power of scale.
func scaleByTen(value float64, scale int) float64 {
	for ; scale < 0 && value > 0; scale++ {
		value /= 10
	}
	for ; scale > 0 && value > 0 && value < maxScaled; scale-- {
		value *= 10
	}
	return value
}
