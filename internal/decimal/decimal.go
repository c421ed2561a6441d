// Package decimal parses the integers of wire protocols, which consist of digits only. It replaces strconv, which also
// accepts signs and requires a string.
package decimal

// ParseDigits returns the value of one to maxDigits decimal digits. ok is false for any other text. maxDigits must be
// at most 18, so that every value fits in an int64.
func ParseDigits(text []byte, maxDigits int) (value int64, ok bool) {
	if len(text) == 0 || len(text) > maxDigits {
		return 0, false
	}
	for _, char := range text {
		if char < '0' || char > '9' {
			return 0, false
		}
		value = value*10 + int64(char-'0')
	}
	return value, true
}
