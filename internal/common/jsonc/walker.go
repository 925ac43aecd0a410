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

// walker compares a parsed value with the Go type that shall receive it.
type walker struct {
	doc      *Document
	findings finding.List
}

func typeOf(target any) reflect.Type {
	return reflect.TypeOf(target).Elem()
}

func (w *walker) add(v *hujson.Value, format string, args ...any) {
	w.findings.Add(w.doc.placeAt(v.StartOffset), format, args...)
}

func (w *walker) check(v *hujson.Value, t reflect.Type, name string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if t == rawType {
		return
	}
	if reflect.PointerTo(t).Implements(unmarshalerType) {
		w.checkUnmarshaler(v, t, name)
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		w.checkStruct(v, t, name)
	case reflect.Slice:
		w.checkSlice(v, t, name)
	case reflect.Map:
		w.checkMap(v, t, name)
	default:
		w.checkLiteral(v, t, name)
	}
}

func (w *walker) checkUnmarshaler(v *hujson.Value, t reflect.Type, name string) {
	value := v.Clone()
	value.Standardize()
	target := reflect.New(t)
	if err := json.Unmarshal(value.Pack(), target.Interface()); err != nil {
		w.add(v, "%s: %v", name, err)
	}
}

func (w *walker) checkStruct(v *hujson.Value, t reflect.Type, name string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		w.add(v, "%s: want an object, got %s", orTop(name), kindOf(v))
		return
	}
	fields := jsonFields(t)
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		member := &object.Members[i]
		key := member.Name.Value.(hujson.Literal).String()
		if seen[key] {
			w.add(&member.Name, "field %q is given twice", join(name, key))
			continue
		}
		seen[key] = true
		field, known := fields[key]
		if !known {
			w.add(&member.Name, "unknown field %q", join(name, key))
			continue
		}
		w.check(&member.Value, field, join(name, key))
	}
}

func (w *walker) checkSlice(v *hujson.Value, t reflect.Type, name string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		w.add(v, "%s: want an array, got %s", orTop(name), kindOf(v))
		return
	}
	for i := range array.Elements {
		w.check(&array.Elements[i], t.Elem(), name+"["+strconv.Itoa(i)+"]")
	}
}

func (w *walker) checkMap(v *hujson.Value, t reflect.Type, name string) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		w.add(v, "%s: want an object, got %s", orTop(name), kindOf(v))
		return
	}
	for i := range object.Members {
		member := &object.Members[i]
		key := member.Name.Value.(hujson.Literal).String()
		w.check(&member.Value, t.Elem(), join(name, key))
	}
}

func (w *walker) checkLiteral(v *hujson.Value, t reflect.Type, name string) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok {
		w.add(v, "%s: want %s, got %s", orTop(name), wordFor(t), kindOf(v))
		return
	}
	target := reflect.New(t)
	if string(literal) == "null" || json.Unmarshal(literal, target.Interface()) != nil {
		w.add(v, "%s: want %s, got %s", orTop(name), wordFor(t), string(literal))
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

func orTop(name string) string {
	if name == "" {
		return "top level"
	}
	return name
}

func kindOf(v *hujson.Value) string {
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

func wordFor(t reflect.Type) string {
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
