// Package configcheck checks a configuration against the version in force. It finds entries that can never
// match, limits that contradict each other, and differences. It does no I/O and reads no clock.
package configcheck

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"sassafrasplank.example/sassafrasplank/pkg/finding"
)

// Entry is one entry of a configuration, for example a record or a route.
type Entry struct {
	// Key identifies the entry in its version of the configuration.
	Key   string
	Place finding.Place
	// Value is the value of the entry as encoding/json decodes it into an empty interface.
	Value any
	// FieldPlace returns the place of a field, by the path that Field.Name states. It may be nil.
	FieldPlace func(name string) finding.Place
}

// Kinds of differences.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Difference is an entry that differs from the version in force. Place is that in what is to be sent, or in
// the version in force if the entry has been removed.
type Difference struct {
	Place  finding.Place `json:"place"`
	Change string        `json:"change"`
	Entry  string        `json:"entry"`
	// Fields are the changed fields of a changed entry, sorted by their names.
	Fields []Field `json:"fields,omitempty"`
}

// Field is a field of an entry that differs. Name is its path, and empty for an entry without fields. The values are JSON, and empty if there is no such field.
type Field struct {
	Place   finding.Place `json:"place"`
	Name    string        `json:"name"`
	InForce string        `json:"inForce,omitempty"`
	Sent    string        `json:"sent,omitempty"`
}

// Lines returns the difference as lines of text, one for each field of a changed entry.
func (d *Difference) Lines() []string {
	if len(d.Fields) == 0 {
		return []string{fmt.Sprintf("%s: %s %s", d.Place, d.Change, d.Entry)}
	}
	var lines []string
	for _, f := range d.Fields {
		name := d.Entry
		if f.Name != "" {
			name += ": " + f.Name
		}
		lines = append(lines, fmt.Sprintf("%s: %s %s: %s, in force %s", f.Place, d.Change, name, orNone(f.Sent), orNone(f.InForce)))
	}
	return lines
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

// Compare returns the differences between the version in force and what is to be sent: first added and
// changed entries in their order, then the removed ones in theirs.
func Compare(inForce, sent []Entry) []Difference {
	before, after := map[string]*Entry{}, map[string]bool{}
	for i := range inForce {
		before[inForce[i].Key] = &inForce[i]
	}
	var differences []Difference
	for i := range sent {
		e := &sent[i]
		after[e.Key] = true
		earlier, ok := before[e.Key]
		if !ok {
			differences = append(differences, Difference{Place: e.Place, Change: Added, Entry: e.Key})
			continue
		}
		if fields := e.changedFields(earlier); len(fields) > 0 {
			differences = append(differences, Difference{Place: e.Place, Change: Changed, Entry: e.Key, Fields: fields})
		}
	}
	for i := range inForce {
		if e := &inForce[i]; !after[e.Key] {
			differences = append(differences, Difference{Place: e.Place, Change: Removed, Entry: e.Key})
		}
	}
	return differences
}

func (e *Entry) changedFields(earlier *Entry) []Field {
	before, after := map[string]string{}, map[string]string{}
	flatten("", earlier.Value, before)
	flatten("", e.Value, after)
	names := maps.Clone(before)
	maps.Copy(names, after)
	var fields []Field
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if before[name] == after[name] {
			continue
		}
		place := e.Place
		if e.FieldPlace != nil {
			place = e.FieldPlace(name)
		}
		fields = append(fields, Field{Place: place, Name: name, InForce: before[name], Sent: after[name]})
	}
	return fields
}

// flatten adds the JSON of each value within v that is neither an object nor an array to values, by its
// path. Empty objects and arrays are left out.
func flatten(path string, v any, values map[string]string) {
	switch v := v.(type) {
	case map[string]any:
		for name, member := range v {
			flatten(join(path, name), member, values)
		}
	case []any:
		for i, element := range v {
			flatten(fmt.Sprintf("%s[%d]", path, i), element, values)
		}
	default:
		data, err := json.Marshal(v)
		if err != nil {
			data = fmt.Append(nil, v)
		}
		values[join(path, "")] = string(data)
	}
}

// join appends the name of a member to a path. Either may be empty.
func join(path, name string) string {
	if path == "" || name == "" {
		return path + name
	}
	return path + "." + name
}

// Pointer returns the JSON pointer of a path as Field.Name states it.
func Pointer(path string) string {
	if path == "" {
		return ""
	}
	return "/" + strings.NewReplacer("~", "~0", "/", "~1", ".", "/", "[", "/", "]", "").Replace(path)
}
