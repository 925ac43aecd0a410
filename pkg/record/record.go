// Package record defines the records that operators write: client accounts,
// models, versions, routing rules, services, targets, store hosts and refusals. Entry
// hosts write refusals as well. Each record has a schema version and is converted to
// the newest one when it is read.
package record

import (
	"encoding/json"
	"fmt"
	"regexp"

	"sassafrasplank.example/sassafrasplank/internal/common/jsonc"
	"sassafrasplank.example/sassafrasplank/pkg/finding"
)

// Kind is the kind of a record.
type Kind string

// Kinds of records.
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

// Kinds returns all kinds, each one after the kinds that it refers to.
func Kinds() []Kind {
	return []Kind{KindClientAccount, KindModel, KindVersion, KindService, KindTarget, KindStore, KindRule, KindRefusal}
}

// newestSchema returns the newest supported schema version of a kind, or 0 for an
// unknown kind.
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

// Record is a record as it was written. Spec is the specification, whose
// type depends on the kind and the schema version.
type Record struct {
	Kind   Kind            `json:"kind"`
	Schema int             `json:"schema"`
	Name   string          `json:"name"`
	Spec   json.RawMessage `json:"spec"`
}

// Key returns the key of the record, which is kind/name.
func (r Record) Key() string {
	return Key(r.Kind, r.Name)
}

// Key returns the key of the record with the given kind and name.
func Key(kind Kind, name string) string {
	return string(kind) + "/" + name
}

// specification is implemented by the specification type of each kind.
type specification interface {
	// check adds the problems of the specification to the report.
	check(report *reporter)
}

// reporter collects findings at JSON pointers within one specification.
type reporter struct {
	doc      *jsonc.Document
	findings finding.List
}

func (r *reporter) require(ok bool, pointer, format string, args ...any) {
	if !ok {
		r.findings.Add(r.doc.Place("/spec"+pointer), format, args...)
	}
}

// DecodeFile decodes one record or an array of records, in JSON with comments. It
// returns the valid records and the findings about the others.
func DecodeFile(source string, data []byte) ([]Record, finding.List) {
	doc, err := jsonc.Parse(source, data)
	if err != nil {
		return nil, finding.From(err, finding.Place{Source: source})
	}
	var records []Record
	var findings finding.List
	for _, element := range doc.Elements() {
		r, found := decodeRecord(element)
		findings = append(findings, found...)
		if len(found) == 0 {
			records = append(records, r)
		}
	}
	return records, findings
}

// Check decodes the specification of r and returns its problems.
func (r Record) Check() finding.List {
	_, findings := r.parseSpec()
	return findings
}

// parseSpec returns the specification of r in the newest schema, or its problems.
func (r Record) parseSpec() (specification, finding.List) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, finding.List{{Place: finding.Place{Source: r.Key()}, Message: err.Error()}}
	}
	doc, err := jsonc.Parse(r.Key(), data)
	if err != nil {
		return nil, finding.From(err, finding.Place{Source: r.Key()})
	}
	return decodeAndCheckSpec(doc, r)
}

// decodeRecord decodes a record and checks its name and specification.
func decodeRecord(doc *jsonc.Document) (Record, finding.List) {
	var r Record
	if findings := doc.Decode(&r); len(findings) > 0 {
		return r, findings
	}
	var findings finding.List
	if !namePattern.MatchString(r.Name) {
		findings.Add(doc.Place("/name"), "name: want 1 to 63 of a-z, 0-9, dot and hyphen, the first a letter or digit, got %q", r.Name)
	}
	_, found := decodeAndCheckSpec(doc, r)
	findings = append(findings, found...)
	findings.Sort()
	return r, findings
}

// decodeAndCheckSpec returns the specification of the record r in doc, in the newest
// schema, and its problems.
func decodeAndCheckSpec(doc *jsonc.Document, r Record) (specification, finding.List) {
	var findings finding.List
	newest := newestSchema(r.Kind)
	if newest == 0 {
		findings.Add(doc.Place("/kind"), "kind: %q is not known; want one of %v", r.Kind, Kinds())
		return nil, findings
	}
	if r.Schema < 1 || r.Schema > newest {
		findings.Add(doc.Place("/schema"), "schema: %s supports schema versions 1 to %d, got %d", r.Kind, newest, r.Schema)
		return nil, findings
	}
	spec, findings := decodeNewestSpec(doc, r)
	if len(findings) > 0 {
		return nil, findings
	}
	report := &reporter{doc: doc}
	spec.check(report)
	return spec, report.findings
}

// decodeNewestSpec decodes the specification of a record and converts it to the newest
// schema.
func decodeNewestSpec(doc *jsonc.Document, r Record) (specification, finding.List) {
	switch r.Kind {
	case KindClientAccount:
		if r.Schema == 1 {
			schema1, findings := decodeSpec[clientAccountSchema1](doc)
			return schema1.convert(), findings
		}
		return asSpecification(decodeSpec[ClientAccount](doc))
	case KindModel:
		return asSpecification(decodeSpec[Model](doc))
	case KindVersion:
		return asSpecification(decodeSpec[Version](doc))
	case KindRule:
		return asSpecification(decodeSpec[Rule](doc))
	case KindService:
		return asSpecification(decodeSpec[Service](doc))
	case KindTarget:
		return asSpecification(decodeSpec[Target](doc))
	case KindStore:
		return asSpecification(decodeSpec[Store](doc))
	case KindRefusal:
		return asSpecification(decodeSpec[Refusal](doc))
	default:
		return nil, finding.List{{Message: fmt.Sprintf("kind %q is not known", r.Kind)}}
	}
}

// decodeSpec decodes a record whose specification has the Go type T.
func decodeSpec[T any](doc *jsonc.Document) (*T, finding.List) {
	var typed struct {
		Kind   Kind   `json:"kind"`
		Schema int    `json:"schema"`
		Name   string `json:"name"`
		Spec   T      `json:"spec"`
	}
	findings := doc.Decode(&typed)
	return &typed.Spec, findings
}

// asSpecification converts the result of decodeSpec to the interface.
func asSpecification[T any, P interface {
	*T
	specification
}](spec *T, findings finding.List) (specification, finding.List) {
	return P(spec), findings
}
