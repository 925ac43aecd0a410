package peer

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/membership"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// A peer of an earlier build must be able to read every row as well.
func TestRowsWithoutJSONValueReachPeers(t *testing.T) {
	for name, row := range map[string]platform.Row{
		"JSON":    {Table: "servers", Key: "a", Version: 3, Era: 1, Value: json.RawMessage(`{"state":"ready"}`), WrittenAfterMillis: 7},
		"removed": {Table: "servers", Key: "a", Version: 4, Removed: true},
		"torn":    {Table: "servers", Key: "a", Version: 5, Value: json.RawMessage(`{"state":"re`)},
		"bytes":   {Table: "servers", Key: "a", Version: 6, Value: json.RawMessage{0xff, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := encodeRow(row)
			if err != nil {
				t.Fatal(err)
			}
			got, err := decodeRow(data)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(row, got); diff != "" {
				t.Errorf("row of a peer (-want +got):\n%s", diff)
			}
			var earlier platform.Row
			if err := json.Unmarshal(data, &earlier); err != nil || earlier.Version != row.Version || earlier.Removed != row.Removed {
				t.Errorf("an earlier build decodes %+v, error %v", earlier, err)
			}
		})
	}
}

// A host must ask the live peer with the newest row, whatever peers reported before.
func TestNewestPeerFollowsReports(t *testing.T) {
	g := &Group{Self: membership.Member{Name: "self", Incarnation: 1}, Clock: clock.System{}, HTTP: &http.Client{}}
	g.Init()
	now := time.Now()
	report := func(name string, version int64) {
		g.members.ReceivedFrom(now, membership.Member{Name: name, Incarnation: 1})
		r := Report{Tables: []TableVersion{{Table: "t", CopyState: platform.CopyState{Position: platform.Position{Version: version}}}}}
		g.reports[name] = receivedReport{report: r, at: now}
		g.updateNewestRows(name, r.Tables)
	}
	check := func(what, peer string, version int64) {
		t.Helper()
		m, p := g.newestPeer("t")
		if m.Name != peer || p.Version != version {
			t.Errorf("%s: got peer %q at version %d, want %q at %d", what, m.Name, p.Version, peer, version)
		}
	}
	check("no reports", "", 0)
	report("a", 5)
	report("b", 3)
	check("two reports", "a", 5)
	report("b", 7)
	check("newer report", "b", 7)
	report("b", 2)
	check("peer restarted", "a", 5)
	report("b", 5)
	g.members.Failed(now, "a")
	check("peer failed", "b", 5)
}
