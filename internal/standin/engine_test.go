package standin_test

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/common/clock"
	"sassafrasplank.example/sassafrasplank/internal/standin"
	"sassafrasplank.example/sassafrasplank/internal/target"
)

// A delayed request with a stale fencing token does no harm. An engine that checks
// fencing tokens refuses it. One without this check only loads another version. A
// delayed request to import a deleted block imports nothing.
func TestStaleRequestsDoNoHarm(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := &standin.Engine{
			Name: "e", Clock: clock.System{}, Slots: 1, PrefillRate: 1e6, CacheBlocks: 10, ChecksFencing: checks,
			Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, Weights: &standin.WeightStore{},
		}
		if err := e.Start("127.0.0.1:0", "v1"); err != nil {
			t.Fatal(err)
		}
		host := &standin.StoreHost{Name: "s", Clock: clock.System{}}
		if err := host.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		client := target.NewClient(time.Second, 1)
		ctx := context.Background()
		if err := client.ChangeVersion(ctx, e.URL(), target.VersionRequest{Version: "v2", FencingToken: 5}); err != nil {
			t.Fatal(err)
		}
		err := client.ChangeVersion(ctx, e.URL(), target.VersionRequest{Version: "v0", FencingToken: 3})
		var refused *target.RefusalError
		if got := errors.As(err, &refused) && refused.Code == target.CodeStaleFencingToken; got != checks {
			t.Errorf("checks fencing %t: stale request: got error %v, want a refusal only if it checks", checks, err)
		}
		report, err := client.Load(ctx, e.URL())
		if err != nil || !slices.Contains(report.Versions, "v1") || !slices.Contains(report.Versions, "v2") {
			t.Errorf("checks fencing %t: got versions %v and error %v, want v1 and v2 among them", checks, report.Versions, err)
		}
		deleted := target.Block{Key: "k", Name: "k-one-1", Generation: 1, Length: 4, Checksum: "c", StoreURL: host.URL()}
		result, err := client.Import(ctx, e.URL(), target.BlockRequest{FencingToken: 5, Blocks: []target.Block{deleted}})
		if diff := cmp.Diff([]target.Block{}, result.Blocks); err != nil || diff != "" {
			t.Errorf("checks fencing %t: import of a deleted block: error %v (-want +got):\n%s", checks, err, diff)
		}
		e.Stop()
		host.Stop()
	}
}
