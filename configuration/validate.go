package configuration

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"
)

// ErrInvalid is wrapped by a FaultList.
var ErrInvalid = errors.New("invalid configuration")

// ValidationErrors names every fault of a document with its path.
type ValidationErrors []string

// Error implements error.
func (f ValidationErrors) Error() string { return strings.Join(f, "; ") }

// Unwrap lets errors.Is find ErrInvalid.
func (f ValidationErrors) Unwrap() error { return ErrInvalid }

var validate = newValidator()

// newValidator names fields as in the document.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}

// Validate returns a FaultList of all faults, or nil.
func (d Document) Validate() error {
	var faults ValidationErrors
	var fields validator.ValidationErrors
	if err := validate.Struct(d); errors.As(err, &fields) {
		for _, f := range fields {
			_, path, _ := strings.Cut(f.Namespace(), ".")
			faults = append(faults, fmt.Sprintf("%s: %v fails %q", path, f.Value(), strings.TrimSpace(f.Tag()+" "+f.Param())))
		}
	}
	faults = append(faults, d.duplicates()...)
	for i, s := range d.Services {
		faults = append(faults, d.serviceFaults(fmt.Sprintf("services[%d]", i), s)...)
	}
	if len(faults) == 0 {
		return nil
	}
	return faults
}

func (d Document) duplicates() ValidationErrors {
	var faults ValidationErrors
	seen := make(map[string]string)
	check := func(list string, i int, name string) {
		path := fmt.Sprintf("%s[%d].name", list, i)
		key := list + " " + name
		if first, twice := seen[key]; twice {
			faults = append(faults, fmt.Sprintf("%s: %q is the name of %s already", path, name, first))
			return
		}
		seen[key] = path
	}
	for i, s := range d.Services {
		check("services", i, s.Name)
	}
	for i, w := range d.Workspaces {
		check("workspaces", i, w.Name)
	}
	for i, t := range d.Targets {
		check("targets", i, t.Name)
	}
	return faults
}

// serviceFaults names selectors that don't parse, and services and rules that
// would be left with no target.
func (d Document) serviceFaults(path string, s Service) ValidationErrors {
	var faults ValidationErrors
	add := func(field, format string, args ...any) {
		faults = append(faults, path+field+": "+fmt.Sprintf(format, args...))
	}
	sel, err := labels.Parse(s.Selector)
	if err != nil {
		add(".selector", "%v", err)
		return append(faults, d.ruleFaults(path, s, nil)...)
	}
	var able []Target
	for _, t := range d.Targets {
		if sel.Matches(labels.Set(t.Labels)) && !t.Leaving {
			able = append(able, t)
		}
	}
	if len(able) == 0 {
		add(".selector", "service %q: %q picks no target that stays", s.Name, s.Selector)
	}
	return append(faults, d.ruleFaults(path, s, able)...)
}

// ruleFaults checks the rules of a service against its targets that stay; nil
// targets mean that they are not known.
func (d Document) ruleFaults(path string, s Service, able []Target) ValidationErrors {
	var faults ValidationErrors
	for i, r := range s.Rules {
		at := fmt.Sprintf("%s.rules[%d]", path, i)
		if _, err := labels.Parse(r.Match); err != nil {
			faults = append(faults, fmt.Sprintf("%s.match: %v", at, err))
		}
		pick, err := labels.Parse(r.Selector)
		if err != nil {
			faults = append(faults, fmt.Sprintf("%s.selector: %v", at, err))
			continue
		}
		picks := func(t Target) bool { return pick.Matches(labels.Set(t.Labels)) }
		if able != nil && !slices.ContainsFunc(able, picks) {
			faults = append(faults, fmt.Sprintf("%s.selector: %q picks no target of service %q that stays", at, r.Selector, s.Name))
		}
	}
	return faults
}
