// Package platform runs a dispatcher on the operators' platform. It implements the transports that internal/gateway defines
// on the project's event loop, with the platform's protocols: framed Thrift for clients, a line protocol for workers, and
// HTTP long polls of the platform's change log for the endpoint list. It also reads the platform's configuration file and
// handles its signals. The package does not decide where a request is sent.
//
// All state belongs to the loop's goroutine, except what Run reads before the loop runs and while it handles signals.
package platform
