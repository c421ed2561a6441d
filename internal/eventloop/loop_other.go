//go:build !linux

// Package eventloop requires Linux: it is built on epoll.
package eventloop

// The name below is undefined on purpose, so that a build for another system fails with a readable message.
var _ = mastchute_runs_on_Linux_only__its_event_loop_is_built_on_epoll
