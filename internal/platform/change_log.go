package platform

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"

	"mastchute/control"
	"mastchute/internal/membership"
)

// changeLogLag is the longest time, in s, from the start of a worker until the change log contains it.
const changeLogLag = 2.0

// WatchResponse is the change log's response to a poll.
type WatchResponse struct {
	Seq    int64             `json:"seq"`     // of the latest event in the log
	Events []json.RawMessage `json:"results"` // each a WatchEvent, decoded on its own so that a malformed one spares the others
}

// WatchEvent is one event of the change log. Events that are not about workers have only a sequence number.
type WatchEvent struct {
	Seq   int64               `json:"seq"`
	Fleet *EndpointListUpdate `json:"fleet"`
}

// EndpointListUpdate is the part of an event that is about workers. If it is complete, workers that it omits are gone.
type EndpointListUpdate struct {
	Complete bool              `json:"complete"`
	Members  []json.RawMessage `json:"members"` // each a Member, decoded on its own so that a malformed one spares the others
}

// Member is one worker in the change log.
type Member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int64   `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS float64 `json:"up_since_ms"` // Unix time in ms; 0 for a worker that has been up for long
}

// workerStates maps the phase of a member to the state of its worker.
var workerStates = map[string]control.WorkerState{"active": control.Ready, "leaving": control.Draining, "left": control.Gone}

var errInvalidMember = errors.New("worker without an id or in an unknown phase")

// missingEventError reports that the change log skipped a sequence number.
type missingEventError struct{ seq int64 }

func (e *missingEventError) Error() string {
	return fmt.Sprintf("event %d of the change log is missing", e.seq)
}

// entry converts a member to an entry of the endpoint list. A start before notBefore would have been in the log already, so
// the worker started later, even if the wall clocks indicate otherwise.
func (m *Member) entry(wallClock membership.WallClock, now, notBefore float64) (membership.Entry, error) {
	state, ok := workerStates[m.Phase]
	if !ok || m.ID == "" {
		return membership.Entry{}, errInvalidMember
	}
	entry := membership.Entry{
		Name:           m.ID,
		Zone:           m.Locality,
		Kind:           m.Flavor,
		Cell:           strconv.FormatInt(m.Cell, 10),
		Weight:         m.Size,
		State:          state,
		StartProvided:  true,
		StartedAt:      math.Inf(-1),
		StartNotBefore: notBefore,
	}
	if m.UpSinceMS > 0 {
		entry.StartEpoch = m.UpSinceMS / 1e3
		entry.StartedAt = wallClock.ToMonotonic(entry.StartEpoch, now)
	}
	var err error
	entry.Addr, err = netip.ParseAddrPort(m.HostPort)
	if err != nil && state != control.Gone {
		return entry, fmt.Errorf("address of worker %s: %w", m.ID, err)
	}
	return entry, nil
}

// applyResponse applies the events that are newer than the last one, in order and each once. Malformed parts of them are
// counted, logged and skipped: polling again would return the same. If an event is missing, the first call returns an
// error, so that the log is polled again from there; the second call skips the event.
func (w *watchClient) applyResponse(response *WatchResponse) error {
	events := w.decodeEvents(response.Events)
	slices.SortStableFunc(events, func(a, b WatchEvent) int { return cmp.Compare(a.Seq, b.Seq) })
	for i := range events {
		event := &events[i]
		if event.Seq <= w.lastSeq {
			continue
		}
		complete := event.Fleet != nil && event.Fleet.Complete // it replaces the content of the missing events
		err := w.checkGap(event.Seq-1, complete || w.lastSeq == 0)
		if err != nil {
			return err
		}
		if event.Fleet != nil {
			w.applyUpdate(event.Fleet)
		}
		w.lastSeq = event.Seq
	}
	return w.checkGap(response.Seq, false)
}

// decodeEvents decodes events. A malformed one is recorded as skipped; if its sequence number is readable, it is kept as an
// event without workers, so that it does not count as missing.
func (w *watchClient) decodeEvents(texts []json.RawMessage) []WatchEvent {
	var events []WatchEvent
	for _, text := range texts {
		var event WatchEvent
		err := json.Unmarshal(text, &event)
		if err != nil {
			var numbered struct{ Seq int64 }
			if json.Unmarshal(text, &numbered) != nil {
				w.recordSkipped(reasonInvalidChangeLogEvent, err)
				continue
			}
			event = WatchEvent{Seq: numbered.Seq}
			if event.Seq > w.lastSeq {
				w.recordSkipped(reasonInvalidChangeLogEvent, err)
			}
		}
		events = append(events, event)
	}
	return events
}

// checkGap checks that all events up to seq have been applied. Missing ones are an error the first time, and are skipped
// the second time or if skippable is set.
func (w *watchClient) checkGap(seq int64, skippable bool) error {
	if seq <= w.lastSeq {
		return nil
	}
	firstMissing := w.lastSeq + 1
	if !skippable && w.missingSeq != firstMissing {
		w.missingSeq = firstMissing
		return &missingEventError{seq: firstMissing}
	}
	w.lastSeq = seq
	return nil
}

// applyUpdate passes the workers of one event to the endpoint list.
func (w *watchClient) applyUpdate(update *EndpointListUpdate) {
	var entries []membership.Entry
	indexes := map[string]int{} // in entries, by name: the last of several entries for a worker counts
	wallClock := w.gateway.WallClock()
	for _, text := range update.Members {
		entry, ok := w.decodeMember(text, wallClock)
		if !ok {
			continue
		}
		if i, found := indexes[entry.Name]; found {
			entries[i] = entry
			continue
		}
		indexes[entry.Name] = len(entries)
		entries = append(entries, entry)
	}
	apply := w.gateway.UpdateWorkers
	if update.Complete {
		apply = w.gateway.ReplaceWorkers
	}
	err := apply(membership.SourceChangeLog, entries)
	if err != nil {
		w.recordSkipped(reasonInvalidChangeLogEvent, err)
	}
}

// decodeMember decodes one worker of an event. A malformed one is recorded as skipped; if it names a listed worker, that
// worker's current entry is returned, so that a complete update does not remove it.
func (w *watchClient) decodeMember(text json.RawMessage, wallClock membership.WallClock) (entry membership.Entry, ok bool) {
	var member Member
	err := json.Unmarshal(text, &member)
	if err == nil {
		entry, err = member.entry(wallClock, w.loop.Now(), w.lastSuccessfulPoll-changeLogLag)
	}
	if err == nil {
		return entry, true
	}
	w.recordSkipped(reasonInvalidChangeLogEntry, err)
	var named struct{ ID string }
	_ = json.Unmarshal(text, &named) // an empty name is not found below
	listed := w.gateway.Members.ByName(named.ID)
	if listed == nil || !listed.Listed {
		return membership.Entry{}, false
	}
	return listed.Entry, true
}

// recordSkipped counts and logs a malformed part of the change log that is skipped.
func (w *watchClient) recordSkipped(reason string, err error) {
	w.countFailure(reason)
	w.gateway.EndpointEntrySkipped(err)
}
