// Package settings reads and validates the JSON settings file of a daemon. It
// reports all errors of a file at once.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/admission"
	"github.com/vanillaroad/vanillaroad/confirmation"
	"github.com/vanillaroad/vanillaroad/generation"
	"github.com/vanillaroad/vanillaroad/internal/jsonnumber"
	"github.com/vanillaroad/vanillaroad/internal/machine"
	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/placement"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

//go:generate go run ../internal/settingspage ../docs/operators/settings.md

// Settings is the content of the settings file of a daemon.
type Settings struct {
	ID          string `json:"id" validate:"required,max=128"`                   // id of the VM on the VM list
	Place       string `json:"place" validate:"required"`                        // failure domain of the VM
	Region      string `json:"region" validate:"required"`                       // region of the place
	APIAddress  string `json:"api_address" validate:"required,hostname_port"`    // IP:port on which callers and operators reach the daemon
	PeerAddress string `json:"peer_address" validate:"required,hostname_port"`   // IP:port on which other daemons reach the daemon
	Platform    string `json:"platform" validate:"required,url"`                 // base URL of the platform
	LogLevel    string `json:"log_level" validate:"oneof=debug info warn error"` // lowest severity of the events that are logged
	EventRing   int    `json:"event_ring" validate:"min=16,max=1000000"`         // number of events kept in memory for the timeline
	TraceFile   string `json:"trace_file,omitempty"`                             // file that records the inputs of decisions for replay; no recording if empty
	MemoryMB    int    `json:"memory_mb" validate:"omitempty,min=80"`            // memory of the process in MiB, which bounds what callers hold; what the system states if 0
	MaxFDs      int    `json:"max_fds" validate:"omitempty,min=256"`             // number of file descriptors of the process, which bounds connections; what the system allows if 0

	Membership   membership.Settings   `json:"membership"`
	Admission    admission.Settings    `json:"admission"`
	Generation   generation.Settings   `json:"generation"`
	Quarantine   quarantine.Settings   `json:"quarantine"`
	Confirmation confirmation.Settings `json:"confirmation"`
	Placement    placement.Settings    `json:"placement"`

	// Unknown has the paths of the keys that this build doesn't know and ignores.
	Unknown []string `json:"-"`
}

// Default returns the default settings. Settings without a default are zero.
func Default() Settings {
	return Settings{
		LogLevel: "info", EventRing: 4096,
		Membership: membership.DefaultSettings(), Admission: admission.DefaultSettings(),
		Generation: generation.DefaultSettings(), Quarantine: quarantine.DefaultSettings(),
		Confirmation: confirmation.DefaultSettings(),
		Placement:    placement.DefaultSettings(),
	}
}

// ValidationErrors lists the errors of a settings file, each with the path of the
// setting.
type ValidationErrors []string

// Error implements error.
func (f ValidationErrors) Error() string { return "bad settings: " + strings.Join(f, "; ") }

// Load reads and validates the settings file of a daemon. Limits that it doesn't set are those of
// the system.
func Load(path string) (Settings, error) {
	s, unknown, err := Read(path, Default())
	s.Unknown = unknown
	if err == nil {
		SystemLimits(&s.MemoryMB, &s.MaxFDs)
	}
	return s, err
}

// SystemLimits replaces limits of 0, in MiB and in file descriptors, by those that the system
// states for the process.
func SystemLimits(memoryMB, maxFDs *int) {
	if *memoryMB == 0 {
		*memoryMB = machine.MemoryMB()
	}
	if *maxFDs == 0 {
		*maxFDs = machine.Descriptors()
	}
}

// Parse decodes b over the defaults and validates the result.
func Parse(b []byte) (Settings, error) {
	s, unknown, err := decode(b, Default())
	s.Unknown = unknown
	return s, err
}

// Read reads the JSON settings file at path over the defaults and validates the
// result. T is the settings type of the process. It ignores the keys that T doesn't have
// and returns their paths: the file may be that of a newer or an older build. All
// validation errors are reported at once.
func Read[T any](path string, defaults T) (s T, unknown []string, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return s, nil, errors.Wrap(err, "read settings")
	}
	s, unknown, err = decode(b, defaults)
	return s, unknown, errors.Wrap(err, path)
}

func decode[T any](b []byte, s T) (T, []string, error) {
	dec := json.NewDecoder(bytes.NewReader(jsonnumber.Normalize(b))) // templates fill in numbers of others
	if err := dec.Decode(&s); err != nil {
		var none T
		return none, nil, ValidationErrors{err.Error()}
	}
	unknown, err := unknownKeys(b, reflect.TypeFor[T]())
	if err != nil {
		var none T
		return none, nil, ValidationErrors{err.Error()}
	}
	return s, unknown, validateStruct(s, unknown)
}

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	return v
}

// validateStruct checks the validation tags of s. It returns ValidationErrors with
// all violations, or nil. The violations also name the unknown keys, as a required setting
// may be misspelled.
func validateStruct(s any, unknown []string) error {
	var fields validator.ValidationErrors
	err := validate.Struct(s)
	if err == nil {
		return nil
	}
	if !errors.As(err, &fields) {
		return errors.WithStack(err)
	}
	out := describeUnknown(unknown)
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		out = append(out, fmt.Sprintf("%s: %v fails %q", path, f.Value(), strings.TrimSpace(f.Tag()+" "+f.Param())))
	}
	return out
}

// CheckUnknown returns ValidationErrors that name the unknown keys of a file, or nil if it
// has none.
func CheckUnknown(unknown []string) error {
	if len(unknown) == 0 {
		return nil
	}
	return describeUnknown(unknown)
}

func describeUnknown(unknown []string) (out ValidationErrors) {
	for _, key := range unknown {
		out = append(out, key+": unknown setting, ignored by this build")
	}
	return out
}
