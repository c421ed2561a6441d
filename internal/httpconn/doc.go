// Package httpconn implements HTTP/1.1 connections on an event loop: a server, and a connection pool for clients. It
// connects package eventloop, which transfers bytes, with package httpcodec, which parses and formats messages. It
// interprets requests only as far as HTTP/1.1 itself requires.
//
// All values of this package belong to the event loop for which they were created and must be used only on that loop.
package httpconn
