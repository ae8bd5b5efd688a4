package fleet

import "time"

// TargetLoad is the load of all daemons on a target, as far as this one knows it.
type TargetLoad struct {
	Slots         int
	Running       int // requests in progress, those in its queue included
	PrefillTokens int // prompt tokens of requests that have had no event
	MemoryTokens  int // tokens of requests and standby copies
	Slowdown      float64
}

// ReadyLoads returns the loads of the targets of a service to which requests of a priority may
// be sent now. Targets whose entries are missing are left out.
func (f *Fleet) ReadyLoads(now time.Time, service string, priority int) []TargetLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := make([]TargetLoad, 0, len(f.services[service]))
	for _, s := range f.services[service] {
		if !s.missingSince.IsZero() || s.state(now) != Ready || s.throttled(now, priority) {
			continue
		}
		l := TargetLoad{Slots: s.Slots, Slowdown: max(1, s.slowdown.value(now, 1))}
		l.Running, l.PrefillTokens, l.MemoryTokens = s.totalLoad()
		loads = append(loads, l)
	}
	return loads
}

// Staleness returns the maximum age of the view of the peers' loads, see SetStaleness.
func (f *Fleet) Staleness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.staleness
}

// SignalLoadChanged makes LoadChanged report a change of what a load report holds besides the
// loads of targets.
func (f *Fleet) SignalLoadChanged() { f.signalLoadChanged() }
