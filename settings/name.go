package settings

import (
	"reflect"
	"strings"
)

// jsonName returns the JSON name of a field, so that validation errors name settings
// as the file does.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
