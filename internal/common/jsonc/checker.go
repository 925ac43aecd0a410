package jsonc

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"sassafrasplank.example/sassafrasplank/pkg/finding"
)

var (
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	rawType         = reflect.TypeFor[json.RawMessage]()
)

// checker checks that a parsed value can be decoded into a Go type. Its methods
// take the value, the type and the name of the value in findings, such as
// "keys[0].sha256". The name of the top level is empty.
type checker struct {
	doc      *Document
	findings finding.List
}

func typeOf(target any) reflect.Type {
	return reflect.TypeOf(target).Elem()
}

func (c *checker) add(v *hujson.Value, format string, args ...any) {
	c.findings.Add(c.doc.PlaceAt(v.StartOffset), format, args...)
}

func (c *checker) check(v *hujson.Value, t reflect.Type, name string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == rawType {
		return
	}
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		c.checkUnmarshaler(v, t, name)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		c.checkStruct(v, t, name)
	case reflect.Slice:
		c.checkSlice(v, t, name)
	case reflect.Map:
		c.checkMap(v, t, name)
	default:
		c.checkLiteral(v, t, name)
	}
}

func (c *checker) checkUnmarshaler(v *hujson.Value, t reflect.Type, name string) {
	value := v.Clone()
	value.Standardize()
	target := reflect.New(t)
	if err := json.Unmarshal(value.Pack(), target.Interface()); err != nil {
		c.add(v, "%s: %v", name, err)
	}
}

func (c *checker) checkStruct(v *hujson.Value, t reflect.Type, name string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		c.add(v, "%s: want an object, got %s", nameOrTop(name), describeValue(v))
		return
	}
	fields := jsonFields(t)
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		key := member.Name.Value.(hujson.Literal).String()
		if seen[key] {
			c.add(&member.Name, "field %q is given twice", join(name, key))
			continue
		}
		seen[key] = true
		field, known := fields[key]
		if !known {
			c.add(&member.Name, "unknown field %q", join(name, key))
			continue
		}
		c.check(&member.Value, field, join(name, key))
	}
}

func (c *checker) checkSlice(v *hujson.Value, t reflect.Type, name string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		c.add(v, "%s: want an array, got %s", nameOrTop(name), describeValue(v))
		return
	}
	for i := range array.Elements {
		c.check(&array.Elements[i], t.Elem(), name+"["+strconv.Itoa(i)+"]")
	}
}

func (c *checker) checkMap(v *hujson.Value, t reflect.Type, name string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		c.add(v, "%s: want an object, got %s", nameOrTop(name), describeValue(v))
		return
	}
	for i := range object.Members {
		member := &object.Members[i]
		key := member.Name.Value.(hujson.Literal).String()
		c.check(&member.Value, t.Elem(), join(name, key))
	}
}

func (c *checker) checkLiteral(v *hujson.Value, t reflect.Type, name string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		c.add(v, "%s: want %s, got %s", nameOrTop(name), describeType(t), describeValue(v))
		return
	}
	target := reflect.New(t)
	if string(literal) == "null" || json.Unmarshal(literal, target.Interface()) != nil {
		c.add(v, "%s: want %s, got %s", nameOrTop(name), describeType(t), string(literal))
	}
}

// jsonFields maps the JSON names of a struct to the types of its fields.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		field := t.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		fields[name] = field.Type
	}
	return fields
}

func join(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}

func nameOrTop(name string) string {
	if name == "" {
		return "top level"
	}
	return name
}

func describeValue(v *hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		return string(value)
	default:
		return "nothing"
	}
}

func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64, reflect.Float32:
		return "a number"
	default:
		return "a whole number"
	}
}
