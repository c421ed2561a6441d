// Package httpconn implements HTTP/1.1 connections on an event loop: a server, and a client's connection pool. It joins
// package eventloop, which moves bytes, with package httpcodec, which parses and formats messages, and does not interpret
// requests beyond what HTTP/1.1 itself requires.
//
// Everything in this package belongs to the event loop it was created for and must be used on it only.
package httpconn
