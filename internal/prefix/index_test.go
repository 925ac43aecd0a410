package prefix_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sassafrasplank.example/sassafrasplank/internal/prefix"
)

// A fixed seed makes every run check the properties with the same steps.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func keys(n int) []prefix.Key {
	return prefix.Chain(nil, prefix.Seed("orders", "letters", "v1"), strings.Repeat("x", n*8), 2)
}

// The index has the same entries as a map as long as no bucket is full.
func TestIndexAgreesWithMap(t *testing.T) {
	all := keys(6)
	rapid.Check(t, func(t *rapid.T) {
		x := prefix.NewIndex(1 << 12)
		want := map[string]bool{}
		for range rapid.IntRange(10, 100).Draw(t, "steps") {
			i := rapid.IntRange(0, 5).Draw(t, "key")
			target := int32(rapid.IntRange(0, 2).Draw(t, "target"))
			name := fmt.Sprint(i, "/", target)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				x.Add(all[i], target)
				want[name] = true
			case 3, 4:
				x.Remove(all[i], target)
				delete(want, name)
			case 5:
				x.RemoveTarget(target)
				for j := range all {
					delete(want, fmt.Sprint(j, "/", target))
				}
			}
			got := map[string]bool{}
			for j := range all {
				for _, holder := range x.Holders(nil, all[j:j+1], 8) {
					got[fmt.Sprint(j, "/", holder.Target)] = true
				}
			}
			if diff := cmp.Diff(want, got); diff != "" || x.Len() != len(want) {
				t.Fatalf("holders (-want +got):\n%sgot Len() = %d, want the number of holders", diff, x.Len())
			}
		}
	})
}

// The index does not exceed its size, and it keeps the most recently used keys.
func TestIndexIsBounded(t *testing.T) {
	x := prefix.NewIndex(64)
	all := keys(2000)
	for _, key := range all {
		x.Add(key, 1)
		x.Add(all[0], 1)
	}
	if x.Len() > 64 || x.Len() < 48 {
		t.Errorf("got %d entries, want about 64", x.Len())
	}
	if !x.Contains(all[0]) || !x.Contains(all[1999]) {
		t.Error("the most recently used keys were evicted")
	}
}

// The holder of the longest prefix is listed first.
func TestHoldersLongestFirst(t *testing.T) {
	x := prefix.NewIndex(1 << 10)
	chain := keys(4)
	x.Add(chain[0], 7)
	x.Add(chain[2], 8)
	want := []prefix.Holder{{Target: 8, Blocks: 3}, {Target: 7, Blocks: 1}}
	if diff := cmp.Diff(want, x.Holders(nil, chain, 8)); diff != "" {
		t.Errorf("holders (-want +got):\n%s", diff)
	}
}
