package store_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sassafrasplank.example/sassafrasplank/internal/store"
)

// A fixed seed makes every run check the properties with the same steps.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const (
	freshFor  = 10 * time.Second
	readLimit = 20 * time.Second
	storeName = "store-1"
)

// read is a running read of a block.
type read struct {
	host *store.Directory
	name string
	ends time.Time
}

// blockModel models a store host and several entry hosts that use it.
type blockModel struct {
	now     time.Time
	hosts   []*store.Directory
	blocks  map[string]bool
	commits map[string]store.Commit
	reads   []read
	written int
}

func (m *blockModel) list(host *store.Directory) {
	host.ApplyListing(m.now, storeName, store.Listing{Full: true, Commits: slices.Collect(maps.Values(m.commits))})
}

func (m *blockModel) write(host *store.Directory, key string) {
	m.written++
	commit := store.Commit{
		Key: key, Name: fmt.Sprintf("%s-%d", key, m.written), Generation: int64(m.written), Length: 100, Checksum: "sum",
		ClientAccount: "orders", Version: "letters-v1",
	}
	m.blocks[commit.Name] = true
	m.commits[commit.Name] = commit
	host.Add(m.now, storeName, commit)
}

func (m *blockModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.reads = slices.DeleteFunc(m.reads, func(r read) bool {
		if r.ends.After(m.now) {
			return false
		}
		r.host.Unpin(storeName, r.name)
		return true
	})
}

// free withdraws and deletes blocks as the owner of the store host does, and checks
// that no deleted block is being read. If fails is set, deleting the commit records
// fails.
func (m *blockModel) free(t *rapid.T, host *store.Directory, limit int64, fails bool) {
	for _, commit := range host.Withdraw(storeName, limit) {
		if fails {
			continue
		}
		delete(m.commits, commit.Name)
		host.ConfirmWithdrawal(m.now, storeName, commit.Name)
	}
	for _, commit := range host.Deletable(m.now, storeName) {
		for _, r := range m.reads {
			if r.name == commit.Name {
				t.Fatalf("block %s was deleted during a read", commit.Name)
			}
		}
		delete(m.blocks, commit.Name)
	}
}

// No host reads a deleted block, even if several hosts free blocks and others have
// outdated listings.
func TestNoReadOfDeletedBlock(t *testing.T) {
	steps := 0
	defer func() { t.Logf("%d steps", steps) }()
	deleted := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &blockModel{now: time.Unix(1000, 0), blocks: map[string]bool{}, commits: map[string]store.Commit{}}
		for range 3 {
			m.hosts = append(m.hosts, &store.Directory{FreshFor: freshFor, ReadLimit: readLimit, FreeGrace: time.Second})
		}
		for range rapid.IntRange(30, 100).Draw(t, "steps") {
			steps++
			host := rapid.SampledFrom(m.hosts).Draw(t, "host")
			key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				m.write(host, key)
			case 1:
				m.list(host)
			case 2:
				commit, ok := host.Pin(m.now, storeName, key, "orders", "letters-v1")
				if ok && !m.blocks[commit.Name] {
					t.Fatalf("block %s was pinned after it was deleted", commit.Name)
				}
				if ok {
					m.reads = append(m.reads, read{host: host, name: commit.Name, ends: m.now.Add(readLimit)})
				}
			case 3:
				m.free(t, host, int64(rapid.IntRange(0, 3).Draw(t, "limit"))*100, rapid.Bool().Draw(t, "fails"))
			case 4:
				m.advance(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second)
			}
		}
		deleted += m.written - len(m.blocks)
	})
	if deleted == 0 {
		t.Error("no block was deleted in any run, so the test checked nothing")
	}
}

// A block must not be pinned for another client account or weight version, nor with
// a listing older than FreshFor.
func TestPinRequiresAccountAndVersion(t *testing.T) {
	d := &store.Directory{FreshFor: freshFor, ReadLimit: readLimit}
	now := time.Unix(1000, 0)
	commit := store.Commit{Key: "k", Name: "k-1", Generation: 1, Length: 1, Checksum: "c", ClientAccount: "orders", Version: "letters-v1"}
	d.ApplyListing(now, storeName, store.Listing{Full: true, Commits: []store.Commit{commit}})
	cases := []struct {
		name, account, version string
		at                     time.Time
		want                   bool
	}{
		{"same account and version", "orders", "letters-v1", now, true},
		{"another account", "claims", "letters-v1", now, false},
		{"another version", "orders", "letters-v2", now, false},
		{"old listing", "orders", "letters-v1", now.Add(freshFor + 1), false},
	}
	for _, c := range cases {
		if _, got := d.Pin(c.at, storeName, "k", c.account, c.version); got != c.want {
			t.Errorf("%s: pinned %t, want %t", c.name, got, c.want)
		}
	}
}

// Listings after a cursor add and remove blocks and don't affect other blocks.
func TestListingAfterCursor(t *testing.T) {
	d := &store.Directory{FreshFor: freshFor, ReadLimit: readLimit}
	now := time.Unix(1000, 0)
	commit := func(key string) store.Commit {
		return store.Commit{Key: key, Name: key + "-1", Generation: 1, Length: 1, Checksum: "c", ClientAccount: "orders", Version: "v"}
	}
	d.ApplyListing(now, storeName, store.Listing{Full: true, Commits: []store.Commit{commit("a"), commit("b")}, Cursor: store.Cursor{Incarnation: 1, Sequence: 2}})
	got := d.ApplyListing(now, storeName, store.Listing{
		Commits: []store.Commit{commit("c")}, Removed: []string{"a-1", "unknown"}, Cursor: store.Cursor{Incarnation: 1, Sequence: 4},
	})
	if diff := cmp.Diff([]store.Change{{Key: "c"}, {Key: "a", Removed: true}}, got); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	if d.Holds(storeName, "a") || !d.Holds(storeName, "b") || !d.Holds(storeName, "c") || d.Cursor(storeName).Sequence != 4 {
		t.Error("the directory must contain b and c, not a, and be at sequence 4")
	}
}
