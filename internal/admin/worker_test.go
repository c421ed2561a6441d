package admin

import (
	"encoding/json"
	"errors"
	"net/netip"
	"testing"

	"mastchute/control"
	"mastchute/internal/membership"
)

func TestWorkerUpdateEntry(t *testing.T) {
	for _, test := range []struct {
		body string
		want membership.Entry
		err  error
	}{
		{`{"name":"w1","state":"draining"}`, membership.Entry{Name: "w1", State: control.Draining}, nil},
		{`{"name":"w1","state":"gone"}`, membership.Entry{Name: "w1", State: control.Gone}, nil},
		{`{"name":"w1","state":"ready","address":"127.0.0.1:9001","zone":"z","cell":"c","kind":"k","weight":2}`,
			membership.Entry{Name: "w1", State: control.Ready, Addr: netip.MustParseAddrPort("127.0.0.1:9001"),
				Zone: "z", Cell: "c", Kind: "k", Weight: 2}, nil},
		{`{"name":"w1"}`, membership.Entry{}, errUnknownState},
		{`{"name":"w1","state":"asleep","address":"x"}`, membership.Entry{}, errUnknownState},
		{`{"name":"w1","state":"ready","address":"localhost:1"}`, membership.Entry{}, errBadAddress},
	} {
		var update workerUpdate
		if err := json.Unmarshal([]byte(test.body), &update); err != nil {
			t.Fatal(err)
		}
		entry, err := update.entry()
		if !errors.Is(err, test.err) || err == nil && entry != test.want {
			t.Errorf("%s: %+v, %v; want %+v, %v", test.body, entry, err, test.want, test.err)
		}
	}
}
