package settings

import (
	"encoding"
	"encoding/json"
	"reflect"
	"sort"
	"strings"

	"github.com/pkg/errors"
)

// unknownKeys returns the paths of the keys in the JSON object b that no field of the
// struct type t has, sorted. A file may have been written for a newer build.
func unknownKeys(b []byte, t reflect.Type) ([]string, error) {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(b, &object); err != nil {
		return nil, errors.WithStack(err)
	}
	fields := fieldsByKey(t)
	var unknown []string
	for key, value := range object {
		field, ok := fields[strings.ToLower(key)] // as encoding/json matches keys
		if !ok {
			unknown = append(unknown, key)
			continue
		}
		if !hasKeys(field) || string(value) == "null" {
			continue
		}
		nested, err := unknownKeys(value, field)
		if err != nil {
			return nil, err
		}
		for _, n := range nested {
			unknown = append(unknown, key+"."+n)
		}
	}
	sort.Strings(unknown)
	return unknown, nil
}

var (
	jsonDecoder = reflect.TypeFor[json.Unmarshaler]()
	textDecoder = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// hasKeys reports whether values of type t are decoded field by field.
func hasKeys(t reflect.Type) bool {
	p := reflect.PointerTo(t)
	return t.Kind() == reflect.Struct && !p.Implements(jsonDecoder) && !p.Implements(textDecoder)
}

// fieldsByKey returns the types of the fields of a struct type by their JSON keys, in lower
// case.
func fieldsByKey(t reflect.Type) map[string]reflect.Type {
	out := make(map[string]reflect.Type)
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name != "-" && f.IsExported() && !f.Anonymous {
			if name == "" {
				name = f.Name
			}
			out[strings.ToLower(name)] = f.Type
		}
	}
	return out
}
