package record_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sassafrasplank.example/sassafrasplank/pkg/record"
)

const (
	// keyHash has the form of the SHA-256 of a caller key.
	keyHash = "5f8d1ecc1ab1ec0fdb5d2e4d5c7f6ab0b0b3e5eb0cdb8e4a4c4a6c5b3f1f7a10"
)

func newChange(t *testing.T, kind record.Kind, schema int, name, spec string) record.Change {
	t.Helper()
	return record.Change{Record: record.Record{Kind: kind, Schema: schema, Name: name, Spec: json.RawMessage(spec)}}
}

// Both schemas of client accounts may be used together, and give the same account.
func TestClientAccountSchemas(t *testing.T) {
	set, findings := record.NewSet().With(1, []record.Change{
		newChange(t, record.KindClientAccount, 1, "old", `{"keyHashes":["`+keyHash+`"],"weight":2,"tokensPerSecond":5}`),
		newChange(t, record.KindClientAccount, 2, "new", `{"keys":[{"sha256":"`+keyHash+`"}],"weight":2,"limits":{"tokensPerSecond":5}}`),
	})
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	if diff := cmp.Diff(set.Accounts["new"], set.Accounts["old"]); diff != "" {
		t.Errorf("schemas differ (-new +old):\n%s", diff)
	}
	if found := set.CheckReferences(); len(found) != 1 {
		t.Errorf("got findings %v, want one about the shared key", found)
	}
}

func TestRulesOfAccountsTakePrecedence(t *testing.T) {
	set, findings := record.NewSet().With(1, []record.Change{
		newChange(t, record.KindRule, 1, "all", `{"model":"letters","version":"v1"}`),
		newChange(t, record.KindRule, 1, "orders", `{"model":"letters","clientAccount":"orders","version":"v2"}`),
	})
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	cases := []struct{ model, account, want string }{
		{"letters", "orders", "v2"},
		{"letters", "claims", "v1"},
		{"notes", "orders", ""},
	}
	for _, c := range cases {
		got := ""
		if rule, ok := set.RuleFor(c.model, c.account); ok {
			got = rule.Version
		}
		if got != c.want {
			t.Errorf("%s for %s: got version %q, want %q", c.model, c.account, got, c.want)
		}
	}
}

func TestRefusalsExpire(t *testing.T) {
	until := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	set, _ := record.NewSet().With(1, []record.Change{
		newChange(t, record.KindRefusal, 1, "f00d", `{"clientAccount":"orders","reason":"x","notAfter":"2026-01-01T00:00:00Z"}`),
	})
	if !set.Refused("f00d", until.Add(-time.Second)) || set.Refused("f00d", until) || set.Refused("beef", until.Add(-time.Second)) {
		t.Error("a refusal must apply until its expiry, and only to its fingerprint")
	}
}
