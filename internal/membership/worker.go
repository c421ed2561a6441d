package membership

import (
	"net/netip"

	"mastchute/control"
)

// Source is a source of the endpoint list.
type Source uint8

// The sources. The first one that lists a worker determines everything but its state.
const (
	SourceConfig    Source = iota // the settings file
	SourceFile                    // the worker list file
	SourceAdmin                   // the admin interface
	SourceChangeLog               // the platform's change log
	sourceCount
)

// String returns the source as logs and /status show it.
func (s Source) String() string { return [...]string{"config", "file", "admin", "change log"}[s] }

// Entry is a worker as one source lists it.
type Entry struct {
	Name   string
	Addr   netip.AddrPort
	Zone   string
	Cell   string
	Kind   string
	Weight float64
	State  control.WorkerState

	// StartProvided is set by a source that knows when workers started. The fields below are valid then, and the worker
	// itself is not probed.
	StartProvided  bool
	StartEpoch     float64 // its latest start in seconds since 1970; 0 for long ago
	StartedAt      float64 // the same on the dispatcher's clock; -Inf for long ago
	StartNotBefore float64 // lower limit of StartedAt: the source would already have listed an earlier start
}

// Worker is a worker as all sources list it. The exported fields are for reading only.
type Worker struct {
	Entry
	ID         control.WorkerID
	StartedAt  float64 // its latest known start on the dispatcher's clock; -Inf if none is known
	StartEpoch float64 // the same in seconds since 1970, as the worker or a source reported it; 0 if none is known
	Version    uint32  // of the list when the worker last changed
	ChangedAt  float64
	Source     Source // the one that determines its state
	Listed     bool   // some source lists it

	StartupProbe
	startHistory  startHistory
	replacedAddr  netip.AddrPort // another process has taken this address from the worker's; not valid for none
	replacedStart float64        // StartEpoch of the worker's entry then
	awaitingProbe bool           // ready again, and its startup probe has not finished
	entries       [sourceCount]Entry
	listedBy      [sourceCount]bool
	// adminState is the state that the admin interface has set. It applies if hasAdminState is true.
	hasAdminState bool
	adminState    control.WorkerState
	info          control.WorkerInfo
}

// Advertised returns the worker's entry for the control module. A worker that is ready again is advertised as draining until
// a startup probe has finished: after a drain its process has often been replaced by one without loaded models.
func (w *Worker) Advertised() control.WorkerInfo {
	info := w.info
	if w.awaitingProbe {
		info.State = control.Draining
	}
	return info
}

// AwaitingStartupProbe reports whether the worker is ready again but its startup probe has not finished.
func (w *Worker) AwaitingStartupProbe() bool { return w.awaitingProbe }

// StateName returns the name of the state in logs, /status and the admin interface.
func (w *Worker) StateName() string { return [...]string{"gone", "ready", "draining"}[w.State] }
