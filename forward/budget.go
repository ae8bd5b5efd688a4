package forward

import (
	"sort"
	"sync"
	"time"
)

// RetryBudgetSettings bound the sends beyond the first of each request, over all
// daemons, within any window. The requests are those of that window, of the one
// before it, or of the one half a window before it, whichever are most.
type RetryBudgetSettings struct {
	Ratio  float64       // of the requests
	Slack  float64       // sends in a window besides, for the whole system
	Window time.Duration // sliding
}

// Parts of the bound that a daemon uses.
const (
	// ratioPart applies to the requests of a window and of the one before it. It is a
	// half, because the half of the two is at most the larger one.
	ratioPart = 0.5
	// slackPart leaves room for daemons that join or that others don't know of yet.
	slackPart = 0.9
)

// RetryBudget bounds this daemon's part of repeated sends. The ratio applies to its own
// requests; the slack is shared out evenly between the daemons, so that the sum of
// all keeps the bound without any talk between them. It is safe for concurrent use.
type RetryBudget struct {
	settings RetryBudgetSettings
	start    time.Time

	mu       sync.Mutex
	daemons  int
	services map[string]*spending
}

// spending is what a service got; times in order.
type spending struct {
	requests []time.Time // of two windows
	repeats  []time.Time // of one window
}

// NewRetryBudget returns a budget for a daemon that starts now and knows of no other yet.
func NewRetryBudget(now time.Time, s RetryBudgetSettings) *RetryBudget {
	return &RetryBudget{settings: s, start: now, services: make(map[string]*spending)}
}

// SetDaemons tells how many daemons share the slack. With 0, as before the others
// are known, there is none.
func (b *RetryBudget) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = n
}

// UpdateSettings replaces the settings.
func (b *RetryBudget) UpdateSettings(s RetryBudgetSettings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = s
}

// Arrived counts a caller's request for a service.
func (b *RetryBudget) Arrived(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(now, service)
	s.requests = append(s.requests, now)
}

// Take counts one more send of a request, or returns false if the budget is spent in
// this window or would be in a later one, were no further request to come.
func (b *RetryBudget) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(now, service)
	slack := b.slack(now)
	for i, first := range append(s.repeats, now) {
		// The windows that hold this repeat and all later ones but none before it: the
		// last of them begins with it.
		repeats := len(s.repeats) + 1 - i
		requests := len(after(s.requests, first.Add(-b.settings.Window)))
		if float64(repeats) > ratioPart*b.settings.Ratio*float64(requests)+slack {
			return false
		}
	}
	s.repeats = append(s.repeats, now)
	return true
}

// slack is this daemon's share of the slack. In its first window it has none: the run
// before it, which it knows nothing of, may have spent it.
func (b *RetryBudget) slack(now time.Time) float64 {
	if b.daemons == 0 || now.Sub(b.start) < b.settings.Window {
		return 0
	}
	return slackPart * b.settings.Slack / float64(b.daemons)
}

// service returns the spending on a service without what is too old to matter.
func (b *RetryBudget) service(now time.Time, name string) *spending {
	s := b.services[name]
	if s == nil {
		s = &spending{}
		b.services[name] = s
	}
	s.requests = after(s.requests, now.Add(-2*b.settings.Window))
	s.repeats = after(s.repeats, now.Add(-b.settings.Window))
	return s
}

// after returns the times after start of times that are in order.
func after(times []time.Time, start time.Time) []time.Time {
	i := sort.Search(len(times), func(i int) bool { return times[i].After(start) })
	return times[i:]
}
