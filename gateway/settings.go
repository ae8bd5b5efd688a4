package gateway

import (
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/rollout"
	"github.com/vanillaroad/vanillaroad/settings"
)

// Settings is the content of a gateway daemon's settings file. On the users' platform
// the file is rendered from deploy/gateway.json.tmpl.
type Settings struct {
	ID     string `json:"id" validate:"required,max=128"` // of the VM
	Place  string `json:"place" validate:"required"`      // failure domain
	Region string `json:"region" validate:"required"`

	Callers   string `json:"callers" validate:"required,hostname_port"`   // IP:port for callers' requests
	Directory string `json:"directory" validate:"required,hostname_port"` // IP:port for directory requests of callers
	Readiness string `json:"readiness" validate:"required,hostname_port"` // IP:port for readiness checks
	Peers     string `json:"peers" validate:"required,hostname_port"`     // IP:port for other daemons
	// Relay is the IP:port at which the daemon relays other daemons' connections to targets;
	// empty for none.
	Relay      string `json:"relay,omitempty" validate:"omitempty,hostname_port"`
	Operations string `json:"operations" validate:"required,hostname_port"` // IP:port for metrics
	// Seeds are peer addresses, IP:port, that a daemon queries when it knows no other
	// daemon and the store does not respond.
	Seeds []string `json:"seeds,omitempty" validate:"dive,hostname_port"`
	Store string   `json:"store" validate:"required,hostname_port"` // IP:port of the platform's store

	// Source is the IP address of this VM from which it connects to targets; chosen by the
	// system if empty.
	Source string `json:"source,omitempty" validate:"omitempty,ip"`

	LogLevel  string `json:"log_level" validate:"oneof=debug info warn error"` // minimum severity of logged events
	EventRing int    `json:"event_ring" validate:"min=16,max=1000000"`         // number of recent events kept in memory for the timeline
	// MemoryMB is the memory of the VM in MiB, which bounds what callers hold; what the system
	// states if 0, see LoadSettings. Changes take effect at the next start.
	MemoryMB int `json:"memory_mb" validate:"min=0"`
	// MaxFDs is the number of file descriptors that the process may use, of which 200 are
	// reserved for files; what the system allows if 0, see LoadSettings. Changes take effect at
	// the next start.
	MaxFDs int `json:"max_fds,omitempty" validate:"min=0"`

	// ReportersAbove is the number of daemons above which they don't send their load to each
	// other but to the reporters of their place, which pass it on.
	ReportersAbove int `json:"reporters_above" validate:"min=1"`

	RetryBudget RetryBudget `json:"retry_budget"`
	// FirstStart means that the whole fleet starts for the first time: no earlier process of any
	// daemon has used retry budget or begun streams. A daemon with an entry in the store ignores
	// it.
	FirstStart bool `json:"first_start,omitempty"`
	// Rollout bounds the requests that reach a version under roll-out. Without it, the daemon
	// takes no part in roll-outs. Changes take effect at the next start.
	Rollout *Rollout `json:"rollout,omitempty"`
	// Grace is the time between the stop signal and the kill of the process.
	Grace jsontime.Duration `json:"grace" validate:"gt=0"`
	// DirectoryTTL is how long callers may cache a directory answer.
	DirectoryTTL jsontime.Duration `json:"directory_ttl" validate:"gt=0"`
	// ConfigurationWithin is the time within which a configuration that the store has accepted
	// must be in force at every daemon, and LeavingWithin that within which no daemon may send
	// requests to a target that the store knows to leave. The store is read the less often the
	// longer they are.
	ConfigurationWithin jsontime.Duration `json:"configuration_within" validate:"gt=0"`
	LeavingWithin       jsontime.Duration `json:"leaving_within" validate:"gt=0"` // see ConfigurationWithin

	// Unknown has the paths of the keys that this build doesn't know and ignores.
	Unknown []string `json:"-"`
}

// RetryBudget limits the retries that all daemons together make for a service within any
// window to Ratio times the number of requests, plus Slack. A retry is any send of a
// request after its first one.
type RetryBudget struct {
	Ratio  float64           `json:"ratio" validate:"min=0"` // retries per request
	Slack  float64           `json:"slack" validate:"min=0"` // additional retries per window
	Window jsontime.Duration `json:"window" validate:"gt=0"`
}

func (b RetryBudget) budgetSettings() forward.RetryBudgetSettings {
	return forward.RetryBudgetSettings{Ratio: b.Ratio, Slack: b.Slack, Window: b.Window.Std()}
}

// Rollout bounds the requests that reach a bad version of a service under roll-out.
type Rollout struct {
	// Share is the largest share of the requests to the service, over all daemons, from the order
	// to its time limit, and Slack the number of requests in addition.
	Share float64 `json:"share" validate:"gt=0,lte=1"`
	Slack float64 `json:"slack" validate:"min=0"`
	// RollbackWithin is the time after the 50th bad response after which no request that a caller
	// sends reaches the version.
	RollbackWithin jsontime.Duration `json:"rollback_within" validate:"gt=0"`
}

func (r Rollout) machineSettings() rollout.Settings {
	return rollout.Settings{Share: r.Share, Slack: r.Slack, RollbackWithin: r.RollbackWithin.Std()}
}

// Defaults of optional settings.
const (
	defaultEventRing = 2048
	// defaultDirectoryTTL is the default of Settings.DirectoryTTL in nanoseconds: 1 s.
	// A short TTL soon ends the use of the address of a failed daemon, at the cost of
	// one small request a second for each caller.
	defaultDirectoryTTL = 1e9
	// defaultWithin is the default of Settings.ConfigurationWithin and Settings.LeavingWithin
	// in nanoseconds: 2 s.
	defaultWithin = 2e9
	// defaultReportersAbove is the default of Settings.ReportersAbove. Up to here, reports
	// that daemons send themselves are younger and cost less than 3 % of a core.
	defaultReportersAbove = 100
)

// DefaultSettings returns the settings that apply where the file sets none.
func DefaultSettings() Settings {
	return Settings{LogLevel: "info", EventRing: defaultEventRing, DirectoryTTL: defaultDirectoryTTL, ReportersAbove: defaultReportersAbove, ConfigurationWithin: defaultWithin, LeavingWithin: defaultWithin}
}

// LoadSettings reads and validates a settings file. The error lists all invalid
// settings. Limits that the file doesn't set are those of the system.
func LoadSettings(path string) (Settings, error) {
	s, unknown, err := settings.Read(path, DefaultSettings())
	s.Unknown = unknown
	if err == nil {
		settings.SystemLimits(&s.MemoryMB, &s.MaxFDs)
	}
	return s, err
}
