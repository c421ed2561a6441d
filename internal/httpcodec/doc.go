// Package httpcodec parses and formats HTTP/1.1 messages (RFC 9110, RFC 9112) in byte slices. It does no I/O, reads no
// clock and makes no copies: returned slices point into the input and are valid as long as the input is.
//
// It is strict where lenient parsers have allowed request smuggling. It rejects Content-Length together with
// Transfer-Encoding, repeated or signed lengths, bare LF or CR, folded lines, a space before the colon, NUL and other
// control characters, and transfer codings other than chunked.
package httpcodec
