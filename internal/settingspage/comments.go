package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// fieldComments returns the comments of the fields of a struct type, by field name.
// dir is the directory of the type's package.
func fieldComments(dir, structName string) (map[string]string, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	out := make(map[string]string)
	for _, file := range files {
		f, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok || spec.Name.Name != structName {
				return true
			}
			if s, ok := spec.Type.(*ast.StructType); ok {
				collectFields(s, out)
			}
			return false
		})
	}
	return out, nil
}

func collectFields(s *ast.StructType, out map[string]string) {
	for _, field := range s.Fields.List {
		text := field.Doc.Text()
		if text == "" {
			text = field.Comment.Text()
		}
		for _, name := range field.Names {
			out[name.Name] = trimFieldName(name.Name, text)
		}
	}
}

// trimFieldName returns text on one line without the field name at its start.
func trimFieldName(name, text string) string {
	text = strings.Join(strings.Fields(text), " ")
	for _, start := range []string{name + " is ", name + " are ", name + " "} {
		if rest, ok := strings.CutPrefix(text, start); ok {
			return rest
		}
	}
	return text
}
