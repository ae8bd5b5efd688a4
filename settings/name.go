package settings

import (
	"reflect"
	"strings"
)

// jsonName makes faults name settings as the file spells them.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
