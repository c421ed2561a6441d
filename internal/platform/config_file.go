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
	"time"

	"mastchute/control"
	"mastchute/internal/simwire"
	"mastchute/internal/syscalls"
)

const (
	maxConfigBytes  = 4 << 20 // a larger configuration file is rejected without reading it
	maxSettingValue = 1e9     // a larger number in the settings is rejected as a mistake
	maxListDelay    = 7.0     // s from the start of a worker process until the change log shows it: as long as after an outage
)

var errNoModelGroup = errors.New("there is no model group")

// ConfigFile is the configuration file that the platform writes for a dispatcher.
type ConfigFile struct {
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

	readAt                    time.Time // just before the file was read: its endpoint list is complete as of then
	maxListDelay              float64   // s from the start of a worker process until the change log shows it, at most
	listenAddr, changeLogAddr netip.AddrPort
	seed                      uint64
	settingValues             control.SettingValues // all settings, untyped
	settings                  control.Settings      // the settings that the control module reads
}

// ReadConfigFile reads and checks the configuration file at path.
func ReadConfigFile(path string) (*ConfigFile, error) {
	readAt := time.Now()
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxConfigBytes {
		return nil, fmt.Errorf("%s has %d bytes, more than the limit of %d", path, info.Size(), maxConfigBytes)
	}
	text, err := syscalls.Default.ReadFile(path)
	if err != nil {
		return nil, err
	}
	file, err := parseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	file.readAt = readAt
	return file, nil
}

// parseConfig parses and checks the text of a configuration file.
func parseConfig(text []byte) (*ConfigFile, error) {
	file := &ConfigFile{readAt: time.Now(), maxListDelay: maxListDelay}
	err := json.Unmarshal(text, file)
	if err != nil {
		return nil, err
	}
	err = file.parseFields()
	if err != nil {
		return nil, err
	}
	if file.Limits.MemoryMB < 1 || file.Limits.Sockets < 2*reservedDescriptors {
		return nil, fmt.Errorf("limits: memory_mb %g or sockets %d is too low", file.Limits.MemoryMB, file.Limits.Sockets)
	}
	file.settingValues, err = simwire.ParseSettings(file.Settings)
	if err != nil {
		return nil, err
	}
	file.settings = control.ParseSettings(file.settingValues)
	err = file.checkSettings()
	if err != nil {
		return nil, fmt.Errorf("settings: %s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	return file, nil
}

// parseFields parses the addresses and the seed.
func (f *ConfigFile) parseFields() error {
	var err error
	f.listenAddr, err = netip.ParseAddrPort(f.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	f.changeLogAddr, err = netip.ParseAddrPort(f.ChangeLog)
	if err != nil {
		return fmt.Errorf("changelog: %w", err)
	}
	f.seed, err = strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	return nil
}

// checkSettings returns an error for the first invalid setting. Zero counts as absent.
func (f *ConfigFile) checkSettings() error {
	if f.settingValues.Number("groups", 0) < 1 {
		return errNoModelGroup
	}
	err := control.Check(f.settings)
	if err != nil {
		return err
	}
	err = f.checkGroupNames()
	if err != nil {
		return err
	}
	return f.checkNumbers()
}

// checkGroupNames checks that each model group has a unique name that is not empty.
func (f *ConfigFile) checkGroupNames() error {
	indexes := map[string]int{}
	for i := range f.settings.Groups {
		name := f.groupName(i)
		other, duplicate := indexes[name]
		if name == "" || duplicate {
			return fmt.Errorf("model group %d has the name %q, which is empty or already used by group %d", i, name, other)
		}
		indexes[name] = i
	}
	return nil
}

// checkNumbers checks the numeric settings that only the gateway reads.
func (f *ConfigFile) checkNumbers() error {
	names := []string{
		"limits.open_cap", "limits.connect_timeout", "limits.conn_idle", "limits.streams_per_conn", "models.order_timeout",
	}
	for _, name := range names {
		value, present := f.settingValues[name]
		if !present {
			continue
		}
		number, ok := value.(float64)
		if !ok || number < 0 || number > maxSettingValue {
			return &control.SettingError{Name: name, Value: value, Want: "a number from 0 to 1e9"}
		}
	}
	return nil
}

// groupName returns the name of a model group.
func (f *ConfigFile) groupName(index int) string {
	return f.settingValues.Text("groups." + strconv.Itoa(index) + ".name")
}

// positiveOr returns a numeric setting, or fallback if it is absent or zero.
func (f *ConfigFile) positiveOr(name string, fallback float64) float64 {
	number := f.settingValues.Number(name, 0)
	if number > 0 {
		return number
	}
	return fallback
}

// drainGrace returns the time in seconds from the notification of a worker's drain until no new work may reach it.
func (f *ConfigFile) drainGrace() float64 { return f.settingValues.Number("rules.drain_grace", 0) }

// changedFields returns the names of the fields that differ in a newer configuration and take effect only after a restart.
func (f *ConfigFile) changedFields(newer *ConfigFile) (names []string) {
	for _, field := range []struct {
		name string
		same bool
	}{
		{"name", f.Name == newer.Name},
		{"listen", f.Listen == newer.Listen},
		{"limits", f.Limits == newer.Limits},
		{"settings", maps.Equal(f.settingValues, newer.settingValues)},
	} {
		if !field.same {
			names = append(names, field.name)
		}
	}
	return names
}

// maxGroupTimeout returns the longest timeout of the model groups.
func (f *ConfigFile) maxGroupTimeout() float64 {
	longest := 0.0
	for _, group := range f.settings.Groups {
		longest = max(longest, group.Timeout.Or(0))
	}
	return longest
}
