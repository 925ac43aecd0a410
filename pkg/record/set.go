package record

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/pkg/finding"
)

// Change writes a record, or deletes it if Deleted is set.
type Change struct {
	Record  Record `json:"record"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Set is an immutable set of all records at one revision. The keys of Records are
// those of the records, the keys of the other maps are names.
type Set struct {
	Revision int64
	Records  map[string]Record
	Accounts map[string]*ClientAccount
	Models   map[string]*Model
	Versions map[string]*Version
	Rules    map[string]*Rule
	Services map[string]*Service
	Targets  map[string]*Target
	Stores   map[string]*Store
	Refusals map[string]*Refusal

	// keyOwners maps the SHA-256 of each caller key to its client account.
	keyOwners map[string]keyOwner
}

// keyOwner is the client account of a caller key, and the expiry of the key.
type keyOwner struct {
	account  string
	notAfter time.Time
}

// NewSet returns an empty set at revision zero.
func NewSet() *Set {
	return &Set{
		Records:   map[string]Record{},
		Accounts:  map[string]*ClientAccount{},
		Models:    map[string]*Model{},
		Versions:  map[string]*Version{},
		Rules:     map[string]*Rule{},
		Services:  map[string]*Service{},
		Targets:   map[string]*Target{},
		Stores:    map[string]*Store{},
		Refusals:  map[string]*Refusal{},
		keyOwners: map[string]keyOwner{},
	}
}

// With returns the set after the changes, at the given revision. A change with an
// invalid record is reported as a finding and leaves the record as it was.
func (s *Set) With(revision int64, changes []Change) (*Set, finding.List) {
	next := &Set{
		Revision: revision,
		Records:  maps.Clone(s.Records),
		Accounts: maps.Clone(s.Accounts),
		Models:   maps.Clone(s.Models),
		Versions: maps.Clone(s.Versions),
		Rules:    maps.Clone(s.Rules),
		Services: maps.Clone(s.Services),
		Targets:  maps.Clone(s.Targets),
		Stores:   maps.Clone(s.Stores),
		Refusals: maps.Clone(s.Refusals),
	}
	var findings finding.List
	for _, change := range changes {
		if change.Deleted {
			next.remove(change.Record.Kind, change.Record.Name)
			continue
		}
		findings = append(findings, next.put(change.Record)...)
	}
	next.indexKeys()
	return next, findings
}

func (s *Set) put(r Record) finding.List {
	spec, findings := r.parseSpec()
	if len(findings) > 0 {
		return findings
	}
	s.Records[r.Key()] = r
	switch spec := spec.(type) {
	case *ClientAccount:
		s.Accounts[r.Name] = spec
	case *Model:
		s.Models[r.Name] = spec
	case *Version:
		s.Versions[r.Name] = spec
	case *Rule:
		s.Rules[r.Name] = spec
	case *Service:
		s.Services[r.Name] = spec
	case *Target:
		s.Targets[r.Name] = spec
	case *Store:
		s.Stores[r.Name] = spec
	case *Refusal:
		s.Refusals[r.Name] = spec
	}
	return nil
}

func (s *Set) remove(kind Kind, name string) {
	delete(s.Records, Key(kind, name))
	switch kind {
	case KindClientAccount:
		delete(s.Accounts, name)
	case KindModel:
		delete(s.Models, name)
	case KindVersion:
		delete(s.Versions, name)
	case KindRule:
		delete(s.Rules, name)
	case KindService:
		delete(s.Services, name)
	case KindTarget:
		delete(s.Targets, name)
	case KindStore:
		delete(s.Stores, name)
	case KindRefusal:
		delete(s.Refusals, name)
	}
}

func (s *Set) indexKeys() {
	s.keyOwners = make(map[string]keyOwner, len(s.Accounts))
	for _, name := range slices.Sorted(maps.Keys(s.Accounts)) {
		for _, key := range s.Accounts[name].Keys {
			s.keyOwners[key.SHA256] = keyOwner{account: name, notAfter: key.NotAfter}
		}
	}
}

// AccountOf returns the client account of a caller key at the given time. It returns
// false if the key is unknown or has expired.
func (s *Set) AccountOf(key string, now time.Time) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	found, ok := s.keyOwners[hex.EncodeToString(sum[:])]
	if !ok || (!found.notAfter.IsZero() && now.After(found.notAfter)) {
		return "", false
	}
	return found.account, true
}

// Refused reports whether a refusal of the requests with the given fingerprint, written
// by an operator or an entry host, is in force at the given time.
func (s *Set) Refused(fingerprint string, now time.Time) bool {
	refusal := s.Refusals[fingerprint]
	return refusal != nil && now.Before(refusal.NotAfter)
}

// RuleFor returns the routing rule for a model and a client account. A rule that
// names the account takes precedence over one that names none. Among equal ones, the
// first by name is returned.
func (s *Set) RuleFor(model, account string) (*Rule, bool) {
	var general *Rule
	for _, name := range slices.Sorted(maps.Keys(s.Rules)) {
		rule := s.Rules[name]
		if rule.Model != model {
			continue
		}
		if rule.ClientAccount == account {
			return rule, true
		}
		if rule.ClientAccount == "" && general == nil {
			general = rule
		}
	}
	return general, general != nil
}

// Changes returns changes that create all records of the set.
func (s *Set) Changes() []Change {
	changes := make([]Change, 0, len(s.Records))
	for _, key := range slices.Sorted(maps.Keys(s.Records)) {
		changes = append(changes, Change{Record: s.Records[key]})
	}
	return changes
}

// CheckReferences reports references to records that don't exist, rules whose version
// belongs to another model, and caller keys that belong to more than one client
// account.
func (s *Set) CheckReferences() finding.List {
	var findings finding.List
	missing := func(kind Kind, name, field, reference string) {
		place := finding.Place{Source: Key(kind, name)}
		findings.Add(place, "%s: %q does not exist", field, reference)
	}
	for name, version := range s.Versions {
		if s.Models[version.Model] == nil {
			missing(KindVersion, name, "model", version.Model)
		}
	}
	for name, rule := range s.Rules {
		s.checkRule(name, rule, missing)
	}
	for name, target := range s.Targets {
		for _, model := range target.Models {
			if s.Models[model] == nil {
				missing(KindTarget, name, "models", model)
			}
		}
		if target.Service != "" && s.Services[target.Service] == nil {
			missing(KindTarget, name, "service", target.Service)
		}
	}
	findings = append(findings, s.checkKeys()...)
	findings.Sort()
	return findings
}

func (s *Set) checkRule(name string, rule *Rule, missing func(Kind, string, string, string)) {
	version := s.Versions[rule.Version]
	if version == nil {
		missing(KindRule, name, "version", rule.Version)
	}
	if version != nil && version.Model != rule.Model {
		missing(KindRule, name, "version of model "+rule.Model, rule.Version)
	}
	if s.Models[rule.Model] == nil {
		missing(KindRule, name, "model", rule.Model)
	}
	if rule.ClientAccount != "" && s.Accounts[rule.ClientAccount] == nil {
		missing(KindRule, name, "clientAccount", rule.ClientAccount)
	}
}

func (s *Set) checkKeys() finding.List {
	var findings finding.List
	owner := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(s.Accounts)) {
		for _, key := range s.Accounts[name].Keys {
			other, taken := owner[key.SHA256]
			if taken && other != name {
				place := finding.Place{Source: Key(KindClientAccount, name)}
				findings.Add(place, "keys: one of the keys already belongs to client account %q", other)
			}
			owner[key.SHA256] = name
		}
	}
	return findings
}
