package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/settings"
)

const modulePath = "github.com/vanillaroad/vanillaroad"

const pageHeader = `# Settings of a daemon

Generated from package ` + "`settings`" + ` by ` + "`go generate ./settings`" + `; do not edit.

Each daemon reads one JSON file, given by ` + "`vanillaroadd -settings FILE`" + `. Unknown
keys are errors. ` + "`vanillaroad settings check FILE`" + ` reports all errors of a file.
` + "`vanillaroad settings defaults`" + ` prints the defaults. Settings whose
bounds include "required" must be given. Durations are strings with a unit, such as
"1.5s".

| setting | default | bounds | meaning |
|---|---|---|---|
`

// page returns the reference page as Markdown. root is the module directory.
func page(root string) (string, error) {
	w := &pageWriter{root: root, comments: make(map[reflect.Type]map[string]string)}
	w.text.WriteString(pageHeader)
	err := w.writeFields(reflect.ValueOf(settings.Default()), "")
	return w.text.String(), err
}

type pageWriter struct {
	root     string
	comments map[reflect.Type]map[string]string
	text     strings.Builder
}

// writeFields writes a table row for each setting of a struct, nested ones included.
func (w *pageWriter) writeFields(v reflect.Value, prefix string) error {
	t := v.Type()
	docs, err := w.fieldDocs(t)
	if err != nil {
		return err
	}
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" || name == "-" {
			continue
		}
		if f.Type.Kind() == reflect.Struct {
			if err := w.writeFields(v.Field(i), prefix+name+"."); err != nil {
				return err
			}
			continue
		}
		_, _ = fmt.Fprintf(&w.text, "| `%s%s` | %s | %s | %s |\n", prefix, name, formatDefault(v.Field(i)), strings.ReplaceAll(f.Tag.Get("validate"), ",", ", "), docs[f.Name])
	}
	return nil
}

func formatDefault(v reflect.Value) string {
	if v.IsZero() && v.Type() != reflect.TypeFor[jsontime.Duration]() {
		return ""
	}
	b, err := json.Marshal(v.Interface())
	if err != nil {
		return err.Error()
	}
	return "`" + string(b) + "`"
}

func (w *pageWriter) fieldDocs(t reflect.Type) (map[string]string, error) {
	if d := w.comments[t]; d != nil {
		return d, nil
	}
	dir := strings.TrimPrefix(t.PkgPath(), modulePath)
	d, err := fieldComments(filepath.Join(w.root, dir), t.Name())
	w.comments[t] = d
	return d, err
}
