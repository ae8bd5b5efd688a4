package fleet

import (
	"maps"
	"slices"
	"time"
)

// Description is what a daemon believes of a target.
type Description struct {
	ID              string  `json:"id"`
	Service         string  `json:"service"`
	Place           string  `json:"place"`
	SoftwareVersion string  `json:"version"`
	State           State   `json:"state"`
	Running         int     `json:"running"`                     // requests of all daemons, as far as this one knows
	Limit           float64 `json:"limit_per_second,omitempty"`  // that the target states; 0 for none
	Brittle         bool    `json:"brittle,omitempty"`           // as the target states
	LeavingStated   bool    `json:"leaving_stated,omitempty"`    // by the target, to this daemon
	LeavingRelayed  bool    `json:"leaving_reported,omitempty"`  // by another daemon
	StatedLoad      float64 `json:"stated_load,omitempty"`       // requests per slot that it stated to this daemon, averaged over some seconds
	Slowness        float64 `json:"slowness,omitempty"`          // expected duration of a call, in multiples of the service's mean
	PauseMillis     int64   `json:"pause_left_millis,omitempty"` // for which the target wants no requests from this daemon
}

// Describe returns what this daemon believes of the registered targets, sorted by service and
// id.
func (f *Fleet) Describe(now time.Time) (out []Description) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(f.services)) {
		for _, s := range f.services[service] {
			running, _, _ := s.totalLoad()
			d := Description{
				ID: s.ID, Service: s.Service, Place: s.Place, SoftwareVersion: s.SoftwareVersion, State: s.state(now), Running: running,
				Brittle: s.statement.Brittle, LeavingStated: s.leavingStated, LeavingRelayed: now.Before(s.relayedLeavingUntil),
				PauseMillis: max(0, s.pausedUntil.Sub(now).Milliseconds()),
			}
			if s.statement.RateLimited {
				d.Limit = s.statement.RequestsPerSecond
			}
			if load := f.statesLoad(now, service); load != nil && !s.stated.at.IsZero() {
				d.StatedLoad, d.Slowness = s.stated.load.mean, s.slowness(now, load)
			}
			out = append(out, d)
		}
	}
	return out
}
