package peer

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// Every row must reach a peer unchanged, and no row may be unreadable to one of an earlier build.
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
