package soak

import "testing"

// TestOnlyCrossedClosesAreResent checks which requests a client sends once more: a request whose dispatcher was killed may
// have run, and what it then runs twice is not the dispatcher's fault.
func TestOnlyCrossedClosesAreResent(t *testing.T) {
	const sentAt, killedAt = 4.125, 4.14
	closed := request{Outcome: Closed, WasIdle: true, SentAt: sentAt, EndedAt: sentAt + resendWindow/2}
	late := closed
	late.EndedAt = sentAt + 2*resendWindow
	shared := closed
	shared.WasIdle = false
	for _, c := range []struct {
		name  string
		req   request
		kills []float64
		want  bool
	}{
		{"idle connection closed", closed, nil, true},
		{"killed long before", closed, []float64{1}, true},
		{"killed", closed, []float64{killedAt}, false},
		{"closed late", late, nil, false},
		{"beside other requests", shared, nil, false},
	} {
		asker := &client{run: &runner{history: newHistory()}, dispatcher: &dispatcher{kills: c.kills}}
		if ended, crossed := asker.check(&c.req); !ended || crossed != c.want {
			t.Errorf("%s: ended %t, sent again %t, want %t", c.name, ended, crossed, c.want)
		}
	}
}
