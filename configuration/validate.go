package configuration

import (
	"fmt"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
	"k8s.io/apimachinery/pkg/labels"
)

// ErrInvalid is wrapped by a FaultList.
var ErrInvalid = errors.New("invalid configuration")

// FaultList names every fault of a document with its path.
type FaultList []string

// Error implements error.
func (f FaultList) Error() string { return strings.Join(f, "; ") }

// Unwrap lets errors.Is find ErrInvalid.
func (f FaultList) Unwrap() error { return ErrInvalid }

var validate = validator.New(validator.WithRequiredStructEnabled())

// Validate returns a FaultList of all faults, or nil.
func (d Document) Validate() error {
	var faults FaultList
	var fields validator.ValidationErrors
	if err := validate.Struct(d); errors.As(err, &fields) {
		for _, f := range fields {
			faults = append(faults, fmt.Sprintf("%s: fails %s %s", f.Namespace(), f.Tag(), f.Param()))
		}
	}
	faults = append(faults, d.duplicates()...)
	faults = append(faults, d.unserved()...)
	if len(faults) == 0 {
		return nil
	}
	return faults
}

func (d Document) duplicates() FaultList {
	var faults FaultList
	seen := make(map[string]bool)
	check := func(kind, name string) {
		key := kind + " " + name
		if seen[key] {
			faults = append(faults, key+": named twice")
		}
		seen[key] = true
	}
	for _, s := range d.Services {
		check("service", s.Name)
	}
	for _, w := range d.Workspaces {
		check("workspace", w.Name)
	}
	for _, t := range d.Targets {
		check("target", t.Name)
	}
	return faults
}

// unserved names services that would be left with no target.
func (d Document) unserved() FaultList {
	var faults FaultList
	for _, s := range d.Services {
		sel, err := labels.Parse(s.Selector)
		if err != nil {
			faults = append(faults, fmt.Sprintf("service %s selector: %v", s.Name, err))
			continue
		}
		var able int
		for _, t := range d.Targets {
			if sel.Matches(labels.Set(t.Labels)) && !t.Leaving {
				able++
			}
		}
		if able == 0 {
			faults = append(faults, fmt.Sprintf("service %s: selector %q picks no target that stays", s.Name, s.Selector))
		}
	}
	return faults
}
