package httpcodec

import "fmt"

// Error is the reason why a message is rejected. All errors of this package have this type.
type Error struct {
	Status int    // status code of the response to the sender
	Reason string // human-readable; sent to the sender of the message
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

// Errors returned by parsing. They are shared values, so that rejecting a message does not allocate.
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
