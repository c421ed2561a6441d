//go:build !linux

// Package eventloop needs Linux: it is built on epoll.
package eventloop

// This name does not exist, so that a build elsewhere ends with a plain message.
var _ = mastchute_runs_on_Linux_only__its_event_loop_is_built_on_epoll
