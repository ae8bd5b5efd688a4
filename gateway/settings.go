package gateway

import (
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/settings"
)

// Settings is the whole of a gateway daemon's file. The template
// deploy/gateway.json.tmpl renders it on the users' platform.
type Settings struct {
	ID     string `json:"id" validate:"required,max=128"` // of the VM
	Place  string `json:"place" validate:"required"`      // failure domain
	Region string `json:"region" validate:"required"`

	Callers    string `json:"callers" validate:"required,hostname_port"`    // IP:port for callers' requests
	Directory  string `json:"directory" validate:"required,hostname_port"`  // IP:port for callers that ask where to connect
	Readiness  string `json:"readiness" validate:"required,hostname_port"`  // IP:port that tells whether this daemon takes new work
	Peers      string `json:"peers" validate:"required,hostname_port"`      // IP:port for other daemons
	Operations string `json:"operations" validate:"required,hostname_port"` // IP:port for metrics
	// Seeds are peer addresses, IP:port, that a daemon asks when it knows no other
	// daemon and the store does not answer.
	Seeds []string `json:"seeds,omitempty" validate:"dive,hostname_port"`
	Store string   `json:"store" validate:"required,hostname_port"` // IP:port of the platform's store

	LogLevel  string `json:"log_level" validate:"oneof=debug info warn error"` // least severe events that are logged
	EventRing int    `json:"event_ring" validate:"min=16,max=1000000"`         // events kept for the time line
	MemoryMB  int    `json:"memory_mb" validate:"min=0"`                       // of the VM; 0 if not known

	RetryBudget RetryBudget `json:"retry_budget"`
	// Grace is the time between the signal to stop and the kill.
	Grace jsontime.Duration `json:"grace" validate:"gt=0"`
	// DirectoryTTL is how long callers may keep a directory answer.
	DirectoryTTL jsontime.Duration `json:"directory_ttl" validate:"gt=0"`
}

// RetryBudget bounds the sends beyond the first of each request that all daemons
// together make to a service within any window.
type RetryBudget struct {
	Ratio  float64           `json:"ratio" validate:"min=0"` // of the requests
	Slack  float64           `json:"slack" validate:"min=0"` // besides, in a window
	Window jsontime.Duration `json:"window" validate:"gt=0"`
}

func (b RetryBudget) budgetSettings() forward.RetryBudgetSettings {
	return forward.RetryBudgetSettings{Ratio: b.Ratio, Slack: b.Slack, Window: b.Window.Std()}
}

// Defaults of the settings that a file may leave out.
const (
	defaultEventRing = 2048
	// defaultDirectoryTTL keeps the addresses of lost daemons in use for a short
	// time only, and costs a caller one small question a second.
	defaultDirectoryTTL = 1e9
)

// DefaultSettings returns settings with everything set that has a default.
func DefaultSettings() Settings {
	return Settings{LogLevel: "info", EventRing: defaultEventRing, DirectoryTTL: defaultDirectoryTTL}
}

// LoadSettings reads and checks a settings file. It names every fault at once.
func LoadSettings(path string) (Settings, error) { return settings.Read(path, DefaultSettings()) }
