package routing_test

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/internal/routing"
)

func config() *routing.Config {
	c := &routing.Config{
		Version: 3,
		Routes: []routing.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Kind: routing.Idempotent},
			{Name: "orders", Host: "a.example", Prefix: "/orders/", Kind: routing.NonIdempotent, Attempts: 1},
			{Name: "old", Host: "a.example", Prefix: "/orders/old/", Kind: routing.Stream, Resumable: true},
			{Name: "report", Host: "b.example", Prefix: "/r/", Kind: routing.Stream},
		},
		Accounts: []routing.Account{{Name: "souk", Keys: []string{"k1", "k2"}}, {Name: "maker", Keys: []string{"k3"}}},
	}
	c.Index()
	return c
}

func TestMatch(t *testing.T) {
	c := config()
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/orders/7", "orders"},
		{"A.EXAMPLE", "/orders/old/7", "old"},
		{"a.example", "/ordersold", "all"},
		{"b.example", "/r/x", "report"},
		{"b.example", "/r", ""},
		{"c.example", "/r/x", ""},
	} {
		got := ""
		if r := c.Match(test.host, test.path); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("%s%s: got route %q, want %q", test.host, test.path, got, test.want)
		}
	}
}

func TestAccount(t *testing.T) {
	c := config()
	for key, want := range map[string]string{"k1": "souk", "k2": "souk", "k3": "maker", "": "", "k4": ""} {
		got := ""
		if a := c.Account(key); a != nil {
			got = a.Name
		}
		if got != want {
			t.Errorf("key %q: got account %q, want %q", key, got, want)
		}
	}
}

func TestRepeatable(t *testing.T) {
	var got []bool
	for _, r := range config().Routes {
		got = append(got, r.Repeatable())
	}
	if diff := cmp.Diff([]bool{true, false, true, false}, got); diff != "" {
		t.Errorf("repeatable (-want +got):\n%s", diff)
	}
}

func TestServiceFollowsWeights(t *testing.T) {
	r := routing.Route{Shares: []routing.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for at, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		if got := r.Service(at); got != want {
			t.Errorf("at %g: got service %q, want %q", at, got, want)
		}
	}
	if got := (&routing.Route{}).Service(0.5); got != "" {
		t.Errorf("without shares: got service %q, want none", got)
	}
}

// A service with a weight of 0 got requests if its weight was the last one.
func TestServiceWithoutWeightGetsNoRequests(t *testing.T) {
	for name, test := range map[string]struct {
		weights []float64
		want    []string
	}{
		"last":     {[]float64{0.1, 0.2, 0.7, 0}, []string{"0", "1", "2"}},
		"first":    {[]float64{0, 1}, []string{"1"}},
		"all":      {[]float64{0, 0}, []string{""}},
		"only one": {[]float64{0}, []string{""}},
		"negative": {[]float64{-1, 3}, []string{"1"}},
	} {
		t.Run(name, func(t *testing.T) {
			var r routing.Route
			for i, w := range test.weights {
				r.Shares = append(r.Shares, routing.Share{Service: strconv.Itoa(i), Weight: w})
			}
			got := map[string]bool{}
			for _, at := range []float64{0, 0.05, 0.25, 0.5, 0.9, math.Nextafter(1, 0)} {
				got[r.Service(at)] = true
			}
			if diff := cmp.Diff(test.want, slices.Sorted(maps.Keys(got))); diff != "" {
				t.Errorf("services that get requests (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRelatedServices(t *testing.T) {
	route := func(prefix string, resumable bool, services ...string) routing.Route {
		r := routing.Route{Host: "a.example", Prefix: prefix, Kind: routing.Stream, Resumable: resumable}
		for _, name := range services {
			r.Shares = append(r.Shares, routing.Share{Service: name, Weight: 1})
		}
		return r
	}
	earlier := &routing.Config{Routes: []routing.Route{
		route("/one/", true, "a"), route("/same/", true, "b"), route("/plain/", false, "c"), route("/whole/", true, "d"), route("/part/x/", true, "e"), route("/part/", true, "f"),
	}}
	later := &routing.Config{Routes: []routing.Route{
		route("/one/", true, "a", "b"), route("/same/", true, "b"), route("/plain/", false, "d", "e"), route("/whole/", true, "d"), route("/whole/new/", true, "g"), route("/part/", true, "f"),
	}}
	earlier.Index()
	later.Index()
	current, changed := later.RelatedServices(earlier)
	first, none := later.RelatedServices(nil)
	want := [][][]string{{{"a", "b"}}, {{"a", "b"}, {"d", "g"}, {"a", "b"}, {"e", "f"}}, {{"a", "b"}}, nil}
	if diff := cmp.Diff(want, [][][]string{current, changed, first, none}); diff != "" {
		t.Errorf("services of a route, of changed ones, and the same without an earlier configuration (-want +got):\n%s", diff)
	}
}
