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
	"mastchute/internal/eventloop"
	"mastchute/internal/gateway"
	"mastchute/internal/httpcodec"
	"mastchute/internal/httpconn"
	"mastchute/internal/membership"
)

const (
	pollWait        = 1.0     // s that a poll asks the change log to wait: what goes silent is noticed that much later
	pollSlack       = 0.3     // s for the answer beyond that, at first
	pollSlackMost   = 4.0     // s, the most of it
	pollLeast       = 0.02    // s from one poll to the next at least, so that quick empty answers are no busy loop
	pollFirst       = 0.05    // s of backoff after one that failed, less jitter; doubles
	pollMost        = 1.0     // s, the most of it
	pollBody        = 4 << 20 // bytes of an answer that are read
	askMost         = 0.2     // s that sends wait for the change log after a standstill: it may be down
	standstillLeast = 0.12    // s of a standstill after which the change log may be asked first: shorter ones are no news
	listLag         = 2.0     // s that a worker may be up before the change log has it
)

// Changes are events of the change log.
type Changes struct {
	Seq     int64             `json:"seq"`
	Results []json.RawMessage `json:"results"` // each a Change: one that can't be read spares the others
}

// Change is one event; of those without workers nothing is needed.
type Change struct {
	Seq   int64 `json:"seq"`
	Fleet *struct {
		Complete bool              `json:"complete"`
		Members  []json.RawMessage `json:"members"` // each a Member
	} `json:"fleet"`
}

// Member is one worker as the change log tells it.
type Member struct {
	ID      string  `json:"id"`
	Address string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Kind    string  `json:"flavor"`
	Cell    int64   `json:"cell"`
	State   string  `json:"phase"`
	Weight  float64 `json:"size"`
	Start   float64 `json:"up_since_ms"`
}

var states = map[string]control.WorkerState{"active": control.Ready, "leaving": control.Draining, "left": control.Gone}

// entry turns a member into an entry of the list of workers. The change log would have told a start before notBefore already.
func (m *Member) entry(wall membership.WallClock, now, notBefore float64) (membership.Entry, error) {
	state, ok := states[m.State]
	if !ok || m.ID == "" {
		return membership.Entry{}, errors.New("a worker without an id, or in a state that is not known")
	}
	e := membership.Entry{Name: m.ID, Zone: m.Zone, Kind: m.Kind, Cell: strconv.FormatInt(m.Cell, 10), Weight: m.Weight, State: state,
		StartProvided: true, StartedAt: math.Inf(-1), StartNotBefore: notBefore}
	if m.Start > 0 {
		e.Epoch = m.Start / 1e3
		e.StartedAt = wall.ToMonotonic(e.Epoch, now)
	}
	var err error
	if e.Addr, err = netip.ParseAddrPort(m.Address); err != nil && state != control.Gone {
		return e, err
	}
	return e, nil
}

// feed follows the change log by long polls, from the last event heard.
type feed struct {
	g     *gateway.Gateway
	l     *eventloop.Loop
	pool  *httpconn.Pool
	call  httpconn.Call
	head  []byte
	body  []byte
	over  bool // the answer is too long, or not good
	last  int64
	lost  int64 // the event that was missing when it was asked for last
	gap   float64
	wait  float64 // s asked for
	slack float64 // s that the answer may take beyond that
	grace float64 // s after which what the change log has counts as heard
	held  bool    // sends wait for an answer of the change log
	hold  eventloop.Timer
	freed func() // lets them go
	asked float64
	good  float64         // when the latest question was asked that had a good answer; -Inf for none
	timer eventloop.Timer // the next poll, or the end of this one's time
	out   bool
	told  func(why string) // counts what went wrong
}

func newFeed(g *gateway.Gateway, grace float64, told func(string), freed func()) *feed {
	f := &feed{g: g, l: g.Loop, told: told, grace: grace, freed: freed}
	f.slack = pollSlack
	f.good = f.l.Now() // the configuration holds what was known at the start
	f.call.Handler = f
	f.timer.Fire = f.fire
	f.hold.Fire = f.release
	f.l.OnStall = f.stoodStill
	return f
}

// follow polls at an address from now on.
func (f *feed) follow(at netip.AddrPort) {
	if f.pool != nil {
		f.call.Cancel()
		f.pool.Close()
	}
	f.pool = httpconn.NewPool(f.l, at, httpconn.PoolOptions{MaxConnections: 1, MaxIdle: 1, IdleTimeout: pollMost, ConnectTimeout: pollMost})
	f.gap, f.out = 0, false
	f.ask(pollWait)
}

// stoodStill asks anew after a standstill in which what the change log told since may have become due: until it answers,
// or for a moment, nothing is sent on the word of the list as it is.
func (f *feed) stoodStill(span float64) {
	if span <= math.Max(f.grace/2, standstillLeast) || f.pool == nil {
		return
	}
	f.g.RecordEvent("asks_change_log_first", "standstill", nil, nil, span)
	f.held = true
	f.l.Start(&f.hold, askMost)
	f.call.Cancel()
	f.ask(0)
}

// release lets sends go.
func (f *feed) release() {
	if f.held {
		f.held = false
		f.l.Cancel(&f.hold)
		f.freed()
	}
}

// ask asks for the events after the last one, which may take wait seconds to come.
func (f *feed) ask(wait float64) {
	b := append(f.head[:0], "/changes?since="...)
	b = strconv.AppendInt(b, f.last, 10)
	b = append(b, "&timeout="...)
	b = strconv.AppendInt(b, int64(wait*1e3), 10)
	b = httpcodec.AppendRequest(nil, "GET", string(b))
	b = append(b, "Host: "...)
	b = f.pool.Addr.AppendTo(b)
	f.head = append(b, "\r\n\r\n"...)
	f.body, f.over, f.asked, f.out = f.body[:0], false, f.l.Now(), true
	f.wait = wait
	f.l.Start(&f.timer, wait+f.slack)
	f.pool.Do(&f.call, f.head, nil)
}

func (f *feed) fire() {
	if f.out { // silence
		f.told("change_log_silent")
		f.slack = nextSlack(f.slack, true, 0)
		f.g.RecordEvent("change_log_silent", "", nil, nil, float64(f.last))
		f.call.Cancel()
		f.again(true)
		return
	}
	f.ask(pollWait)
}

// again sets the next poll.
func (f *feed) again(failed bool) {
	f.out = false
	f.gap = nextBackoff(f.gap, failed)
	f.l.Start(&f.timer, pollDelay(f.gap, f.g.RandomFloat(), f.l.Now()-f.asked))
}

// nextBackoff doubles the gap after each poll that failed, within bounds; a good one ends it.
func nextBackoff(gap float64, failed bool) float64 {
	if !failed {
		return 0
	}
	return math.Min(pollMost, math.Max(pollFirst, 2*gap))
}

// nextSlack is how long the next answer may take beyond the wait asked for: longer each time after silence, as a slow change
// log would else never be heard; after an answer twice what it took beyond.
func nextSlack(slack float64, silent bool, beyond float64) float64 {
	if silent {
		return math.Min(pollSlackMost, 2*slack)
	}
	return math.Min(pollSlackMost, math.Max(pollSlack, 2*beyond))
}

// pollDelay is how long to wait for the next poll, by chance from 0 to 1: after an outage all dispatchers would else ask
// in step. One that was asked a moment ago waits a little in any case.
func pollDelay(gap, chance, sinceAsked float64) float64 {
	return math.Max(gap*(0.5+0.5*chance), pollLeast-sinceAsked)
}

// ResponseHead implements httpconn.Caller.
func (f *feed) ResponseHead(h *httpcodec.Head) { f.over = h.Status != 200 }

// ResponseBody implements httpconn.Caller.
func (f *feed) ResponseBody(b []byte) {
	if len(f.body)+len(b) > pollBody {
		f.over = true
	}
	if !f.over {
		f.body = append(f.body, b...)
	}
}

// ResponseDone implements httpconn.Caller.
func (f *feed) ResponseDone(err error) {
	var c Changes
	if err == nil && f.over {
		err = errors.New("an answer that is not good")
	}
	if err == nil {
		err = json.Unmarshal(f.body, &c)
	}
	if cap(f.body) > 64<<10 {
		f.body = nil
	}
	if err == nil {
		err = f.take(&c)
	}
	if err == nil {
		f.good = f.asked
		f.slack = nextSlack(f.slack, false, f.l.Now()-f.asked-f.wait)
	}
	if err != nil {
		f.told("change_log_failed")
		f.g.RecordEvent("change_log_failed", closeReason(err), nil, nil, float64(f.last))
		f.g.WorkerListFailed(err)
	}
	f.release()
	f.again(err != nil)
}

// take applies the events not heard yet, in order, each once. What can't be read in one of them is counted, logged and
// left out, since it would come again for ever. Where a number is missing the log is asked once more before it is
// passed over.
func (f *feed) take(c *Changes) error {
	var events []Change
	for _, raw := range c.Results {
		var e Change
		if err := json.Unmarshal(raw, &e); err != nil {
			var n struct{ Seq int64 }
			if json.Unmarshal(raw, &n) != nil {
				f.skipped("change_log_event", err)
				continue
			}
			if e = (Change{Seq: n.Seq}); n.Seq > f.last {
				f.skipped("change_log_event", err)
			}
		}
		events = append(events, e)
	}
	slices.SortStableFunc(events, func(a, b Change) int { return cmp.Compare(a.Seq, b.Seq) })
	for i := range events {
		e := &events[i]
		if e.Seq <= f.last {
			continue
		}
		whole := e.Fleet != nil && e.Fleet.Complete
		if err := f.missing(e.Seq-1, whole || f.last == 0); err != nil {
			return err
		}
		if e.Fleet != nil {
			f.apply(e)
		}
		f.last = e.Seq
	}
	return f.missing(c.Seq, false)
}

// missing is called before the events after number n are taken. An event not heard up to there is an error the first
// time, so that the log is asked again from it; the second time it is taken as lost.
func (f *feed) missing(n int64, passes bool) error {
	if n <= f.last {
		return nil
	}
	if first := f.last + 1; !passes && f.lost != first {
		f.lost = first
		return fmt.Errorf("event %d of the change log is missing", first)
	}
	f.last = n
	return nil
}

// apply hands one event to the list of workers.
func (f *feed) apply(e *Change) {
	var list []membership.Entry
	at := map[string]int{}
	wall := f.g.WallClock()
	for _, raw := range e.Fleet.Members {
		var m Member
		err := json.Unmarshal(raw, &m)
		var entry membership.Entry
		if err == nil {
			entry, err = m.entry(wall, f.l.Now(), f.good-listLag)
		}
		if err != nil {
			f.skipped("change_log_entry", err)
			var named struct{ ID string }
			json.Unmarshal(raw, &named)
			w := f.g.Members.ByName(named.ID) // the list names it still: it stays as it is
			if w == nil || !w.Listed {
				continue
			}
			entry = w.Entry
		}
		if i, twice := at[entry.Name]; twice {
			list[i] = entry
			continue
		}
		at[entry.Name] = len(list)
		list = append(list, entry)
	}
	take := f.g.UpdateWorkers
	if e.Fleet.Complete {
		take = f.g.ReplaceWorkers
	}
	if err := take(membership.SourceChangeLog, list); err != nil {
		f.skipped("change_log_event", err)
	}
}

// skipped counts and logs what was left out of the change log; the rest of it was taken.
func (f *feed) skipped(why string, err error) {
	f.told(why)
	f.g.WorkerEntrySkipped(err)
}
