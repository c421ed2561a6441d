// Package platform runs a dispatcher on the operators' platform: it implements the transports that internal/gateway
// defines with the platform's protocols, on the project's event loop. Clients connect by framed Thrift, workers are
// connected by a line protocol, the worker list comes from the platform's change log by HTTP long polls, and
// configuration and signals are the platform's. The package makes no decision about where a request is sent.
//
// All state belongs to the loop's goroutine, except for what Run reads before the loop runs and while it handles signals.
package platform
