package ledger_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"sassafrasplank.example/sassafrasplank/internal/ledger"
)

func TestBatchRoundTrip(t *testing.T) {
	want := &ledger.Batch{Host: "one", Incarnation: 7, Number: 2, Rows: []ledger.Row{
		{RequestID: "r", ClientAccount: "orders", Model: "letters", Target: "engine-1", PromptTokens: 3, At: time.Unix(1, 0).UTC()},
	}}
	data, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	got := &ledger.Batch{}
	if err := json.Unmarshal(data, got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got, cmpopts.IgnoreUnexported(ledger.Batch{})); diff != "" {
		t.Errorf("batch (-want +got):\n%s", diff)
	}
}

// A malformed batch from a peer or the table service must be rejected.
func FuzzBatch(f *testing.F) {
	good, err := json.Marshal(&ledger.Batch{Host: "one", Incarnation: 1, Number: 1, Rows: []ledger.Row{{RequestID: "r"}}})
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{string(good), `{}`, `{"host":"a","incarnation":1,"number":1,"packed":"AAAA"}`, `[`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var batch ledger.Batch
		if json.Unmarshal(data, &batch) == nil && (batch.Host == "" || batch.Incarnation < 1 || batch.Number < 1) {
			t.Errorf("a batch without host, incarnation or number was accepted: %+v", batch)
		}
	})
}
