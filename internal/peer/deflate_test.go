package peer

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/peer/wire"
	"sassafrasplank.example/sassafrasplank/internal/platform"
)

// Long rows took most of the link of the host that sends them; hosts of earlier builds can't inflate them.
func TestLongRowsAreDeflatedForHostsThatReadThem(t *testing.T) {
	rows := []platform.Row{
		{Table: "op", Key: "short", Version: 3, Value: json.RawMessage(`{}`)},
		{Table: "op", Key: "long", Version: 4, Value: json.RawMessage(`"` + strings.Repeat("route ", 10_000) + `"`)},
		{Table: "op", Key: "torn", Version: 5, Value: json.RawMessage(`"` + strings.Repeat("route ", 10_000))},
		{Table: "op", Key: "long", Version: 6, Value: json.RawMessage(`"` + strings.Repeat("other ", 10_000) + `"`)},
	}
	for _, deflated := range []bool{true, false} {
		var sender longRows
		for _, row := range rows {
			response := &wire.RowsResponse{}
			if err := sender.encode(response, []platform.Row{row, row}, deflated); err != nil {
				t.Fatal(err)
			}
			long := deflated && len(row.Value) > deflateBytes
			if long != (len(response.DeflatedRows) == 2) || long == (len(response.Rows) == 2) {
				t.Errorf("%s, deflated %t: got %d deflated and %d plain rows", row.Key, deflated, len(response.DeflatedRows), len(response.Rows))
			}
			got, err := decodeRows(response)
			if diff := cmp.Diff([]platform.Row{row, row}, got); diff != "" || err != nil {
				t.Errorf("%s, deflated %t: error %v, rows (-want +got):\n%s", row.Key, deflated, err, diff)
			}
		}
	}
}

// A short answer could take any memory once it is inflated.
func TestInflatedRowsAreLimited(t *testing.T) {
	var deflated bytes.Buffer
	w, err := flate.NewWriter(&deflated, flate.BestSpeed)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprintf(w, `{"value":%q}`, strings.Repeat("x", MaxMessageBytes/2)); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	one := &wire.RowsResponse{DeflatedRows: [][]byte{deflated.Bytes()}}
	if _, err := decodeRows(one); err != nil {
		t.Errorf("a row of half the limit: %v", err)
	}
	two := &wire.RowsResponse{DeflatedRows: [][]byte{deflated.Bytes(), deflated.Bytes()}}
	if _, err := decodeRows(two); !errors.Is(err, errInflatedTooLong) {
		t.Errorf("two of them: got error %v, want %v", err, errInflatedTooLong)
	}
}
