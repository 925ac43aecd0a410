package configcheck

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/pkg/finding"
	"sassafrasplank.example/sassafrasplank/pkg/record"
)

// Issue is something wrong with a field of an entry. Field is a path, and empty if the issue concerns the
// whole entry.
type Issue struct {
	Key, Field, Message string
}

// Records returns the issues of a set of records at a time: entries that can never match and limits that
// contradict each other. They are sorted.
func Records(set *record.Set, now time.Time) []Issue {
	c := recordCheck{set: set, now: now, used: map[string]bool{}}
	c.rules()
	c.engines()
	c.services()
	c.accounts()
	for name, refusal := range set.Refusals {
		if !now.Before(refusal.NotAfter) {
			c.add(record.KindRefusal, name, "notAfter", "the refusal never applies, it expired at %s", refusal.NotAfter.UTC().Format(time.RFC3339))
		}
	}
	slices.SortFunc(c.issues, func(a, b Issue) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Message, b.Message))
	})
	return c.issues
}

// NewRecordIssues returns the issues of the records that are to be in force, without those of records that
// aren't sent and have them already.
func NewRecordIssues(inForce, next *record.Set, sent map[string]bool, now time.Time) []Issue {
	known := map[Issue]bool{}
	for _, issue := range Records(inForce, now) {
		known[issue] = !sent[issue.Key]
	}
	return slices.DeleteFunc(Records(next, now), func(issue Issue) bool { return known[issue] })
}

type recordCheck struct {
	set *record.Set
	now time.Time
	// used contains the keys of models that rules name.
	used   map[string]bool
	issues []Issue
}

func (c *recordCheck) add(kind record.Kind, name, field, format string, args ...any) {
	c.issues = append(c.issues, Issue{Key: record.Key(kind, name), Field: field, Message: fmt.Sprintf(format, args...)})
}

// rules checks that each rule is the first one for its model and account, and that each model and version
// is that of a rule.
func (c *recordCheck) rules() {
	type match struct{ model, account string }
	first := map[match]string{}
	versions := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(c.set.Rules)) {
		rule := c.set.Rules[name]
		m := match{rule.Model, rule.ClientAccount}
		if other, hidden := first[m]; hidden {
			c.add(record.KindRule, name, "", "the rule never matches, %s comes first for model %q and client account %q",
				record.Key(record.KindRule, other), m.model, m.account)
			continue
		}
		first[m] = name
		versions[rule.Version], c.used[rule.Model] = true, true
	}
	for name := range c.set.Versions {
		if !versions[name] {
			c.add(record.KindVersion, name, "", "no rule refers to the version")
		}
	}
	for name := range c.set.Models {
		if !c.used[name] {
			c.add(record.KindModel, name, "", "no rule refers to the model")
		}
	}
}

// engines checks that each engine may load a model of a rule, and that an engine may load each of those.
func (c *recordCheck) engines() {
	loaded := map[string]bool{}
	for name, t := range c.set.Targets {
		useful := t.Kind != record.TargetEngine
		for _, model := range t.Models {
			loaded[model] = true
			useful = useful || c.used[model]
		}
		if !useful {
			c.add(record.KindTarget, name, "models", "the engine gets no requests, no rule refers to its models")
		}
	}
	for model := range c.used {
		if c.set.Models[model] != nil && !loaded[model] {
			c.add(record.KindModel, model, "", "no engine loads the model")
		}
	}
}

// services checks that each service has targets, and that its calls differ.
func (c *recordCheck) services() {
	provided := map[string]bool{}
	for _, t := range c.set.Targets {
		provided[t.Service] = true
	}
	for name, service := range c.set.Services {
		if !provided[name] {
			c.add(record.KindService, name, "", "no target provides the service")
		}
		type match struct{ method, path string }
		first := map[match]int{}
		for i, call := range service.Calls {
			m := match{call.Method, call.Path}
			if other, hidden := first[m]; hidden {
				c.add(record.KindService, name, fmt.Sprintf("calls[%d]", i), "the entry never matches, calls[%d] comes first for %s %s", other, m.method, m.path)
				continue
			}
			first[m] = i
		}
	}
}

// accounts checks that no limit of an account is above what all engines together can run, and that no key
// has expired.
func (c *recordCheck) accounts() {
	slots, tokens := 0, 0.0
	for _, t := range c.set.Targets {
		slots += t.Slots
		tokens += t.PrefillTokensPerSecond
	}
	for name, account := range c.set.Accounts {
		if n := account.Limits.InFlight; slots > 0 && n > slots {
			c.add(record.KindClientAccount, name, "limits.inFlight", "limits.inFlight: the limit of %d requests is above the %d slots of all engines", n, slots)
		}
		if n := account.Limits.TokensPerSecond; tokens > 0 && n > tokens {
			c.add(record.KindClientAccount, name, "limits.tokensPerSecond", "limits.tokensPerSecond: the limit of %g tokens per second is above the %g that all engines compute", n, tokens)
		}
		for i, key := range account.Keys {
			if !key.NotAfter.IsZero() && c.now.After(key.NotAfter) {
				c.add(record.KindClientAccount, name, fmt.Sprintf("keys[%d]", i), "keys[%d]: the key never matches, it expired at %s", i, key.NotAfter.UTC().Format(time.RFC3339))
			}
		}
	}
}

// Locate returns the issues as findings, each with the key of its entry. place returns the place of a field.
func Locate(issues []Issue, place func(key, field string) finding.Place) finding.List {
	var findings finding.List
	for _, issue := range issues {
		findings.Add(place(issue.Key, issue.Field), "%s: %s", issue.Key, issue.Message)
	}
	findings.Sort()
	return findings
}

// RecordEntries returns the records of a set as entries, sorted by their keys. Their values are the
// specifications in the newest schema. place returns the place of a field, or of a record if the field is
// empty.
func RecordEntries(set *record.Set, place func(key, field string) finding.Place) []Entry {
	var entries []Entry
	for _, key := range slices.Sorted(maps.Keys(set.Records)) {
		entries = append(entries, Entry{
			Key: key, Place: place(key, ""), Value: plainValue(specOf(set, set.Records[key])),
			FieldPlace: func(name string) finding.Place { return place(key, name) },
		})
	}
	return entries
}

// specOf returns the specification of a record of the set.
func specOf(set *record.Set, r record.Record) any {
	switch r.Kind {
	case record.KindClientAccount:
		return set.Accounts[r.Name]
	case record.KindModel:
		return set.Models[r.Name]
	case record.KindVersion:
		return set.Versions[r.Name]
	case record.KindRule:
		return set.Rules[r.Name]
	case record.KindService:
		return set.Services[r.Name]
	case record.KindTarget:
		return set.Targets[r.Name]
	case record.KindStore:
		return set.Stores[r.Name]
	case record.KindRefusal:
		return set.Refusals[r.Name]
	}
	return r.Spec
}

// plainValue returns a specification as encoding/json decodes it into an empty interface.
func plainValue(spec any) (v any) {
	data, err := json.Marshal(spec)
	if err == nil {
		err = json.Unmarshal(data, &v)
	}
	if err != nil {
		return err.Error() // A specification that has been decoded can be encoded.
	}
	return v
}
