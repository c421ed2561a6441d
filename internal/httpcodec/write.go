package httpcodec

import "strconv"

// The Append functions append to b and return the extended slice, as append does.

// AppendStatus appends the status line of a response.
func AppendStatus(b []byte, status int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, Reason(status)...)
	return append(b, "\r\n"...)
}

// AppendRequest appends the request line of a request.
func AppendRequest(b []byte, method, target string) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	return append(b, " HTTP/1.1\r\n"...)
}

// AppendHeader appends a header line. It does not validate name and value: they must come from a parsed head or be known
// to be valid.
func AppendHeader[T string | []byte](b []byte, name string, value T) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendLength appends a Content-Length line.
func AppendLength(b []byte, n int64) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, n, 10)
	return append(b, "\r\n"...)
}

// AppendChunk appends a chunk of the chunked coding. It appends nothing for empty data, as an empty chunk would end the
// body.
func AppendChunk(b, data []byte) []byte {
	if len(data) == 0 {
		return b
	}
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// LastChunk ends a body in the chunked coding.
const LastChunk = "0\r\n\r\n"

// IsHopByHop reports whether a header applies to a single connection and must not be forwarded (RFC 9110, section 7.6.1),
// or is generated for each message. name must not be empty.
func IsHopByHop(name []byte) bool {
	switch name[0] | 0x20 {
	case 'c':
		return EqualsLower(name, "connection") || EqualsLower(name, "content-length")
	case 'k':
		return EqualsLower(name, "keep-alive")
	case 'p':
		return EqualsLower(name, "proxy-connection") || EqualsLower(name, "proxy-authenticate") || EqualsLower(name, "proxy-authorization")
	case 't':
		return EqualsLower(name, "te") || EqualsLower(name, "trailer") || EqualsLower(name, "transfer-encoding")
	case 'u':
		return EqualsLower(name, "upgrade")
	case 'e':
		return EqualsLower(name, "expect")
	case 'h':
		return EqualsLower(name, "host")
	}
	return false
}

// Reason returns the reason phrase of a status code, or "Status" for a code that the program does not use.
func Reason(status int) string {
	switch status {
	case 100:
		return "Continue"
	case 200:
		return "OK"
	case 202:
		return "Accepted"
	case 204:
		return "No Content"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 409:
		return "Conflict"
	case 413:
		return "Content Too Large"
	case 414:
		return "URI Too Long"
	case 417:
		return "Expectation Failed"
	case 429:
		return "Too Many Requests"
	case 431:
		return "Request Header Fields Too Large"
	case 500:
		return "Internal Server Error"
	case 501:
		return "Not Implemented"
	case 502:
		return "Bad Gateway"
	case 503:
		return "Service Unavailable"
	case 504:
		return "Gateway Timeout"
	case 505:
		return "HTTP Version Not Supported"
	}
	return "Status"
}
