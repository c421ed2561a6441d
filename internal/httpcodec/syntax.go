package httpcodec

import "bytes"

var (
	tokenChars = charTable("!#$%&'*+-.^_`|~")     // characters of a token (RFC 9110)
	hostChars  = charTable("!$%&'()*+,-.:;=[]_~") // characters of a Host header
)

// charTable returns a table that contains the ASCII letters and digits and the characters of extra.
func charTable(extra string) (table [256]bool) {
	for c := '0'; c <= '9'; c++ {
		table[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		table[c] = true
		table[c-'a'+'A'] = true
	}
	for _, c := range extra {
		table[c] = true
	}
	return table
}

// isToken reports whether b is a token (RFC 9110), which is not empty.
func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenChars[c] {
			return false
		}
	}
	return len(b) > 0
}

func isValidHost(b []byte) bool {
	for _, c := range b {
		if !hostChars[c] {
			return false
		}
	}
	return true
}

// containsControl reports whether b contains a control character other than a tab.
func containsControl(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return true
		}
	}
	return false
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isHex(c byte) bool { return isDigit(c) || 'a' <= c|0x20 && c|0x20 <= 'f' }

// EqualsLower reports whether name equals lower, which must be in lower case, ignoring the ASCII case of name.
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

// ListContains reports whether a comma-separated list, such as the value of Connection, contains a name, ignoring case.
func ListContains(list, name []byte) bool {
	for len(list) > 0 {
		var item []byte
		item, list = cutListItem(list)
		if bytes.EqualFold(item, name) {
			return true
		}
	}
	return false
}

// listContainsLower is like ListContains for a name in lower case, but ignores only ASCII case.
func listContainsLower(list []byte, name string) bool {
	for len(list) > 0 {
		var item []byte
		item, list = cutListItem(list)
		if EqualsLower(item, name) {
			return true
		}
	}
	return false
}

// cutListItem returns the first item of a comma-separated list and the rest of the list.
func cutListItem(list []byte) (item, rest []byte) {
	comma := bytes.IndexByte(list, ',')
	if comma < 0 {
		return trimSpace(list), nil
	}
	return trimSpace(list[:comma]), list[comma+1:]
}

// trimSpace removes leading and trailing spaces and tabs.
func trimSpace(b []byte) []byte {
	for len(b) > 0 && (b[0] == ' ' || b[0] == '\t') {
		b = b[1:]
	}
	for len(b) > 0 && (b[len(b)-1] == ' ' || b[len(b)-1] == '\t') {
		b = b[:len(b)-1]
	}
	return b
}
