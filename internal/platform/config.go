// Package platform runs a dispatcher on the operators' platform: it implements the transports that internal/gateway
// defines with the platform's protocols, on the project's event loop. Clients connect by framed Thrift, workers are
// connected by a line protocol, the worker list comes from the platform's change log by HTTP long polls, and
// configuration and signals are the platform's. The package makes no decision about where a request is sent.
//
// All state belongs to the loop's goroutine, except for what Run reads before the loop runs and while it handles signals.
package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"strconv"
	"strings"

	"mastchute/control"
	"mastchute/internal/config"
	"mastchute/internal/simwire"
	"mastchute/internal/syscalls"
)

const (
	maxConfigBytes          = 4 << 20 // bytes; a larger configuration file is refused unread
	reserved                = 24      // descriptors kept for the listener, the change log, logs, the loop and the runtime
	reservedForWorkers      = 8       // descriptors of the reserve that first connections to workers may use
	reservedForClients      = 3       // descriptors of the reserve for client connections that linger for their last response
	clientDescriptorDivisor = 2       // clients get 1/2 of the descriptors: one in three is the platform's promise
	heapLimitFraction       = 0.55    // of the memory limit, beyond which Go collects all the time; the rest is outside the heap
	bodyMemoryFraction      = 0.25    // of the memory limit, for request bodies in flight
	eachInHand              = 6 << 10 // bytes that a request in flight takes beside its body
	handShare               = 0.15    // of the memory limit, for requests in flight without their bodies
	bytesPerModel           = 1 << 10 // bytes that a model in use takes, here and in the decisions
	modelMemoryFraction     = 0.1     // of the memory limit, for models
	mostOf                  = 1e9     // a larger number in the settings is a mistake
	openUsual               = 20000   // requests in flight where the settings have no limit
	streamsUsual            = 32      // attempts on a connection where the settings have no limit
	sloUsual                = 1.0     // s, of a model group where the settings have none
	timeoutUsual            = 60.0    // s, of a model group where the settings have none
)

// File is the configuration file that the platform writes for a dispatcher.
type File struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	ChangeLog string          `json:"changelog"`
	Known     WatchResponse   `json:"known"`
	Settings  json.RawMessage `json:"settings"`

	listen, changeLog netip.AddrPort
	seed              uint64
	values            control.SettingValues // the settings, without types
	set               control.Settings      // those of them that the decisions read
}

// ReadFile reads and checks the configuration file at path.
func ReadFile(path string) (*File, error) {
	if info, err := os.Stat(path); err == nil && info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("%s has %d bytes; %d at most are read", path, info.Size(), maxConfigBytes)
	}
	text, err := syscalls.Default.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f, err := parseFile(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

func parseFile(text []byte) (*File, error) {
	f := &File{}
	err := json.Unmarshal(text, f)
	if err != nil {
		return nil, err
	}
	if f.listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if f.changeLog, err = netip.ParseAddrPort(f.ChangeLog); err != nil {
		return nil, fmt.Errorf("changelog: %w", err)
	}
	if f.seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if f.Limits.MemoryMB < 1 || f.Limits.Sockets < 2*reserved {
		return nil, fmt.Errorf("limits: %g MB and %d descriptors are too few", f.Limits.MemoryMB, f.Limits.Sockets)
	}
	if f.values, err = simwire.ParseSettings(f.Settings); err != nil {
		return nil, err
	}
	f.set = control.ParseSettings(f.values)
	if err = f.check(); err != nil {
		return nil, fmt.Errorf("settings: %s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return f, nil
}

// check returns an error for the first unusable settings. A zero counts as absent.
func (f *File) check() error {
	if f.values.Number("groups", 0) < 1 {
		return errors.New("there is no model group")
	}
	if err := control.Check(f.set); err != nil {
		return err
	}
	indexes := map[string]int{}
	for i := range f.set.Groups {
		name := f.groupName(i)
		other, duplicate := indexes[name]
		if name == "" || duplicate {
			return fmt.Errorf("model group %d has the name %q, which is empty or that of group %d", i, name, other)
		}
		indexes[name] = i
	}
	for _, name := range []string{"limits.open_cap", "limits.connect_timeout", "limits.conn_idle", "limits.streams_per_conn", "models.order_timeout"} {
		value, present := f.values[name]
		if !present {
			continue
		}
		number, ok := value.(float64)
		if !ok || number < 0 || number > mostOf {
			return &control.SettingError{Name: name, Value: value, Want: "a number that is not negative"}
		}
	}
	return nil
}

func (f *File) groupName(index int) string {
	return f.values.Text("groups." + strconv.Itoa(index) + ".name")
}

// positive returns a number of the settings, the fallback where it is absent or zero.
func (f *File) positive(name string, fallback float64) float64 {
	if n := f.values.Number(name, 0); n > 0 {
		return n
	}
	return fallback
}

// drainGrace returns the time in seconds after which a change in the change log counts as known to the dispatcher.
func (f *File) drainGrace() float64 { return f.values.Number("rules.drain_grace", 0) }

// host returns the configuration of the host that follows from the settings.
func (f *File) host() *config.Config {
	c := config.Default()
	c.Name = f.Name
	c.Log.Sample = 0
	c.Roster.Discovery = f.set.Discovery.Mode.String()
	for i, g := range f.set.Groups {
		c.Groups = append(c.Groups, config.Group{
			Name:    f.groupName(i),
			Effect:  g.Effect.String(),
			Scope:   g.Scope.String(),
			Window:  config.S(g.Window),
			SLO:     config.S(g.SLO.Or(sloUsual)),
			Timeout: config.S(g.Timeout.Or(timeoutUsual)),
		})
	}
	for i := range f.set.Tenants {
		c.Tenants = append(c.Tenants, config.Tenant{Name: f.values.Text("tenants." + strconv.Itoa(i) + ".name")})
	}
	c.Report = f.set.LoadReportFields
	c.Loads.Timeout = config.S(f.positive("models.order_timeout", c.Loads.Timeout.Seconds))
	c.Limits.Requests = min(int(f.positive("limits.open_cap", openUsual)), int(f.Limits.MemoryMB*(1<<20)*handShare/eachInHand))
	c.Limits.ConnectTimeout = config.S(f.positive("limits.connect_timeout", c.Limits.ConnectTimeout.Seconds))
	c.Limits.WorkerIdleTimeout = config.S(f.positive("limits.conn_idle", c.Limits.WorkerIdleTimeout.Seconds))
	return &c
}

// differs names what a newer configuration changes beside what is taken over in service.
func (f *File) differs(n *File) (fields []string) {
	for _, c := range []struct {
		name string
		same bool
	}{
		{"name", f.Name == n.Name}, {"listen", f.Listen == n.Listen}, {"limits", f.Limits == n.Limits}, {"settings", maps.Equal(f.values, n.values)},
	} {
		if !c.same {
			fields = append(fields, c.name)
		}
	}
	return fields
}

// timeout returns the longest timeout of the model groups.
func (f *File) timeout() float64 {
	longest := 0.0
	for _, g := range f.set.Groups {
		longest = max(longest, g.Timeout.Or(0))
	}
	return longest
}
