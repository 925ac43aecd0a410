// Package record defines the records that operators write: client accounts,
// models, versions, routing rules, services, targets and store hosts. Each
// record carries a schema version and is converted to the newest one on
// reading.
package record

import (
	"encoding/json"
	"fmt"
	"regexp"

	"sassafrasplank.example/sassafrasplank/internal/common/jsonc"
	"sassafrasplank.example/sassafrasplank/pkg/finding"
)

// Kind names a kind of record.
type Kind string

// The kinds of records.
const (
	KindClientAccount Kind = "clientAccount"
	KindModel         Kind = "model"
	KindVersion       Kind = "version"
	KindRule          Kind = "rule"
	KindService       Kind = "service"
	KindTarget        Kind = "target"
	KindStore         Kind = "store"
	KindRefusal       Kind = "refusal"
)

// Kinds lists all kinds in the order in which they refer to one another.
func Kinds() []Kind {
	return []Kind{KindClientAccount, KindModel, KindVersion, KindService, KindTarget, KindStore, KindRule, KindRefusal}
}

// newestSchema gives the newest schema version understood for each kind.
func newestSchema(kind Kind) int {
	switch kind {
	case KindClientAccount:
		return 2
	case KindModel, KindVersion, KindRule, KindService, KindTarget, KindStore, KindRefusal:
		return 1
	default:
		return 0
	}
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Record is a record as written: its kind, schema version, name and the
// specification that belongs to the kind.
type Record struct {
	Kind   Kind            `json:"kind"`
	Schema int             `json:"schema"`
	Name   string          `json:"name"`
	Spec   json.RawMessage `json:"spec"`
}

// Key returns the key of the record, kind/name.
func (r Record) Key() string {
	return Key(r.Kind, r.Name)
}

// Key returns the key of the record with the given kind and name.
func Key(kind Kind, name string) string {
	return string(kind) + "/" + name
}

// specification is implemented by the spec of each kind.
type specification interface {
	// check adds what is wrong with the specification to the report.
	check(report *reporter)
}

// reporter adds findings at JSON pointers inside one specification.
type reporter struct {
	doc      *jsonc.Document
	findings finding.List
}

func (r *reporter) require(ok bool, pointer, format string, args ...any) {
	if !ok {
		r.findings.Add(r.doc.Place("/spec"+pointer), format, args...)
	}
}

// DecodeFile reads one record or an array of records with comments and
// returns every finding with its place.
func DecodeFile(source string, data []byte) ([]Record, finding.List) {
	doc, err := jsonc.Parse(source, data)
	if err != nil {
		return nil, finding.From(err, finding.Place{Source: source})
	}
	var records []Record
	var findings finding.List
	for _, element := range doc.Elements() {
		r, found := decode(element)
		findings = append(findings, found...)
		if len(found) == 0 {
			records = append(records, r)
		}
	}
	return records, findings
}

// Check decodes the specification of r and returns what is wrong with it.
func (r Record) Check() finding.List {
	_, findings := r.parse()
	return findings
}

// parse returns the specification of r in its newest schema.
func (r Record) parse() (specification, finding.List) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, finding.List{{Place: finding.Place{Source: r.Key()}, Message: err.Error()}}
	}
	doc, err := jsonc.Parse(r.Key(), data)
	if err != nil {
		return nil, finding.From(err, finding.Place{Source: r.Key()})
	}
	return parseSpec(doc, r)
}

func decode(doc *jsonc.Document) (Record, finding.List) {
	var r Record
	if findings := doc.Decode(&r); len(findings) > 0 {
		return r, findings
	}
	var findings finding.List
	if !namePattern.MatchString(r.Name) {
		findings.Add(doc.Place("/name"), "name: want 1 to 63 of a-z, 0-9, dot and hyphen, got %q", r.Name)
	}
	_, found := parseSpec(doc, r)
	findings = append(findings, found...)
	findings.Sort()
	return r, findings
}

func parseSpec(doc *jsonc.Document, r Record) (specification, finding.List) {
	var findings finding.List
	newest := newestSchema(r.Kind)
	if newest == 0 {
		findings.Add(doc.Place("/kind"), "kind: %q is not known; want one of %v", r.Kind, Kinds())
		return nil, findings
	}
	if r.Schema < 1 || r.Schema > newest {
		findings.Add(doc.Place("/schema"), "schema: %s is understood in schema 1 to %d, got %d", r.Kind, newest, r.Schema)
		return nil, findings
	}
	spec, findings := readSpec(doc, r)
	if len(findings) > 0 {
		return nil, findings
	}
	report := &reporter{doc: doc}
	spec.check(report)
	return spec, report.findings
}

func readSpec(doc *jsonc.Document, r Record) (specification, finding.List) {
	switch r.Kind {
	case KindClientAccount:
		if r.Schema == 1 {
			old, findings := specOf[clientAccountSchema1](doc)
			return old.convert(), findings
		}
		return pointerTo(specOf[ClientAccount](doc))
	case KindModel:
		return pointerTo(specOf[Model](doc))
	case KindVersion:
		return pointerTo(specOf[Version](doc))
	case KindRule:
		return pointerTo(specOf[Rule](doc))
	case KindService:
		return pointerTo(specOf[Service](doc))
	case KindTarget:
		return pointerTo(specOf[Target](doc))
	case KindStore:
		return pointerTo(specOf[Store](doc))
	case KindRefusal:
		return pointerTo(specOf[Refusal](doc))
	default:
		return nil, finding.List{{Message: fmt.Sprintf("kind %q is not known", r.Kind)}}
	}
}

// specOf decodes a record whose spec has the Go type T.
func specOf[T any](doc *jsonc.Document) (*T, finding.List) {
	var typed struct {
		Kind   Kind   `json:"kind"`
		Schema int    `json:"schema"`
		Name   string `json:"name"`
		Spec   T      `json:"spec"`
	}
	findings := doc.Decode(&typed)
	return &typed.Spec, findings
}

func pointerTo[T any, P interface {
	*T
	specification
}](spec *T, findings finding.List) (specification, finding.List) {
	return P(spec), findings
}
