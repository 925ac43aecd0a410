// Package jsonc decodes JSON with comments into Go structs. It reports all unknown
// fields and wrong types with line and column.
package jsonc

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"

	"sassafrasplank.example/sassafrasplank/pkg/finding"
)

// Document is a parsed JSON text whose values can be located by JSON pointer.
type Document struct {
	source string
	data   []byte
	root   hujson.Value
}

// Parse parses one JSON value with comments. The source is the file name in
// findings. A syntax error is returned as a finding.List.
func Parse(source string, data []byte) (*Document, error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, syntaxError(source, err).Err()
	}
	return &Document{source: source, data: data, root: root}, nil
}

// Elements returns the elements of a top-level array, or the document itself if
// its top level is not an array.
func (d *Document) Elements() []*Document {
	array, ok := d.root.Value.(*hujson.Array)
	if !ok {
		return []*Document{d}
	}
	docs := make([]*Document, 0, len(array.Elements))
	for _, element := range array.Elements {
		docs = append(docs, &Document{source: d.source, data: d.data, root: element})
	}
	return docs
}

// IsArray reports whether the top level is an array.
func (d *Document) IsArray() bool {
	_, ok := d.root.Value.(*hujson.Array)
	return ok
}

// Has reports whether there is a value at a JSON pointer.
func (d *Document) Has(pointer string) bool { return d.root.Find(pointer) != nil }

// At returns the value at a JSON pointer as a document, or nil if there is none.
func (d *Document) At(pointer string) *Document {
	v := d.root.Find(pointer)
	if v == nil {
		return nil
	}
	return &Document{source: d.source, data: d.data, root: *v}
}

// Place returns the position of the value at a JSON pointer, or of the closest
// existing parent if there is no such value.
func (d *Document) Place(pointer string) finding.Place {
	for pointer != "" {
		if v := d.root.Find(pointer); v != nil {
			return d.PlaceAt(v.StartOffset)
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return d.PlaceAt(d.root.StartOffset)
}

// Offset returns the offset of the value at a JSON pointer, or of the document if there is none.
func (d *Document) Offset(pointer string) int {
	if v := d.root.Find(pointer); v != nil {
		return v.StartOffset
	}
	return d.root.StartOffset
}

// PlaceOfValue returns the position of the value that ends at an offset, as errors of encoding/json state it,
// or that of the byte before if no value does.
func (d *Document) PlaceOfValue(end int) finding.Place {
	for v := range d.root.All() {
		if v.EndOffset == end {
			return d.PlaceAt(v.StartOffset)
		}
	}
	return d.PlaceAt(end - 1)
}

// JSON returns the document as standard JSON without comments.
func (d *Document) JSON() ([]byte, error) {
	value := d.root.Clone()
	value.Standardize()
	packed := value.Pack()
	if !json.Valid(packed) {
		return nil, fmt.Errorf("%s: not valid JSON after removing comments", d.source)
	}
	return packed, nil
}

// Decode decodes the document into target, a pointer to a struct. It returns all
// unknown fields, repeated fields and wrong types, and leaves target unchanged if
// there are any.
func (d *Document) Decode(target any) finding.List {
	c := checker{doc: d}
	c.check(&d.root, typeOf(target), "")
	if len(c.findings) > 0 {
		c.findings.Sort()
		return c.findings
	}
	text, err := d.JSON()
	if err == nil {
		err = json.Unmarshal(text, target)
	}
	return finding.From(err, d.Place(""))
}

// PlaceAt returns the position of the byte at an offset.
func (d *Document) PlaceAt(offset int) finding.Place {
	offset = max(0, offset)
	before := string(d.data[:min(offset, len(d.data))])
	line := strings.Count(before, "\n") + 1
	column := len(before) - strings.LastIndexByte(before, '\n')
	return finding.Place{Source: d.source, Line: line, Column: column}
}

func syntaxError(source string, err error) finding.List {
	var place finding.Place
	place.Source = source
	message := strings.TrimPrefix(err.Error(), "hujson: ")
	var rest string
	if n, _ := fmt.Sscanf(message, "line %d, column %d:", &place.Line, &place.Column); n == 2 {
		if _, after, ok := strings.Cut(message, ": "); ok {
			rest = after
		}
	}
	if rest == "" {
		rest = message
	}
	return finding.List{{Place: place, Message: rest}}
}
