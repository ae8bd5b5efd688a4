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

// ErrInvalid is wrapped by ValidationErrors.
var ErrInvalid = errors.New("invalid configuration")

// ValidationErrors lists all errors found in a document, each with its path.
type ValidationErrors []string

// Error implements error.
func (e ValidationErrors) Error() string { return strings.Join(e, "; ") }

// Unwrap lets errors.Is find ErrInvalid.
func (e ValidationErrors) Unwrap() error { return ErrInvalid }

var validate = newValidator()

// newValidator returns a validator that reports fields by their JSON names.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}

// Validate returns ValidationErrors with all errors found, or nil.
func (d Document) Validate() error {
	var errs ValidationErrors
	var fieldErrors validator.ValidationErrors
	if err := validate.Struct(d); errors.As(err, &fieldErrors) {
		for _, f := range fieldErrors {
			_, path, _ := strings.Cut(f.Namespace(), ".")
			errs = append(errs, fmt.Sprintf("%s: %v fails %q", path, f.Value(), strings.TrimSpace(f.Tag()+" "+f.Param())))
		}
	}
	errs = append(errs, d.duplicateNames()...)
	for i, s := range d.Services {
		errs = append(errs, d.serviceErrors(fmt.Sprintf("services[%d]", i), s)...)
	}
	if len(errs) == 0 {
		return nil
	}
	return errs
}

func (d Document) duplicateNames() ValidationErrors {
	var errs ValidationErrors
	seen := make(map[string]string)
	checkName := func(list string, i int, name string) {
		path := fmt.Sprintf("%s[%d].name", list, i)
		key := list + " " + name
		if first, duplicate := seen[key]; duplicate {
			errs = append(errs, fmt.Sprintf("%s: %q is the name of %s already", path, name, first))
			return
		}
		seen[key] = path
	}
	for i, s := range d.Services {
		checkName("services", i, s.Name)
	}
	for i, w := range d.Workspaces {
		checkName("workspaces", i, w.Name)
	}
	for i, t := range d.Targets {
		checkName("targets", i, t.Name)
	}
	return errs
}

// serviceErrors returns an error for each selector of a service and its rules that
// can't be parsed or that matches no target except leaving ones.
func (d Document) serviceErrors(path string, s Service) ValidationErrors {
	var errs ValidationErrors
	add := func(field, format string, args ...any) {
		errs = append(errs, path+field+": "+fmt.Sprintf(format, args...))
	}
	sel, err := labels.Parse(s.Selector)
	if err != nil {
		add(".selector", "%v", err)
		return append(errs, d.ruleErrors(path, s, nil)...)
	}
	var available []Target
	for _, t := range d.Targets {
		if sel.Matches(labels.Set(t.Labels)) && !t.Leaving {
			available = append(available, t)
		}
	}
	if len(available) == 0 {
		add(".selector", "service %q: %q picks no target that stays", s.Name, s.Selector)
	}
	return append(errs, d.ruleErrors(path, s, available)...)
}

// ruleErrors checks the rules of a service. available lists the service's targets
// that are not leaving; if it is nil, only the syntax of the rules is checked.
func (d Document) ruleErrors(path string, s Service, available []Target) ValidationErrors {
	var errs ValidationErrors
	for i, r := range s.Rules {
		rulePath := fmt.Sprintf("%s.rules[%d]", path, i)
		if _, err := labels.Parse(r.Match); err != nil {
			errs = append(errs, fmt.Sprintf("%s.match: %v", rulePath, err))
		}
		sel, err := labels.Parse(r.Selector)
		if err != nil {
			errs = append(errs, fmt.Sprintf("%s.selector: %v", rulePath, err))
			continue
		}
		matches := func(t Target) bool { return sel.Matches(labels.Set(t.Labels)) }
		if available != nil && !slices.ContainsFunc(available, matches) {
			errs = append(errs, fmt.Sprintf("%s.selector: %q picks no target of service %q that stays", rulePath, r.Selector, s.Name))
		}
	}
	return errs
}
