package httpcodec

// Limits limit the size of a message.
type Limits struct {
	Line    int   // bytes of the first line
	Head    int   // bytes of the whole head
	Headers int   // number of header lines
	Body    int64 // bytes of the decoded body
}

// DefaultLimits are suitable for a gateway.
var DefaultLimits = Limits{Line: 8 << 10, Head: 32 << 10, Headers: 100, Body: 64 << 20}

// Header is a header line. Name is spelled as received. Value has no leading or trailing spaces and tabs.
type Header struct{ Name, Value []byte }

// Head is the parsed head of a message. Parsing the next message into the same Head reuses the memory of Headers.
type Head struct {
	Method, Target []byte // of a request
	Status         int    // of a response
	MinorVersion   int    // 0 for HTTP/1.0, 1 for HTTP/1.1
	Headers        []Header
	ContentLength  int64 // -1 if absent
	Chunked        bool  // Transfer-Encoding: chunked
	Close          bool  // the connection is closed after this message
	ExpectContinue bool  // Expect: 100-continue
}

// Get returns the value of the first header with the given name, which must be in lower case, or nil if there is none.
func (h *Head) Get(name string) []byte {
	for i := range h.Headers {
		if EqualsLower(h.Headers[i].Name, name) {
			return h.Headers[i].Value
		}
	}
	return nil
}
