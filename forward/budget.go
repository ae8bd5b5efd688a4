package forward

import (
	"sync"
	"time"
)

// BudgetSettings bound the sends beyond the first of each request, over all
// daemons, within any window. The requests are those of that window, of the one
// before it, or of the one half a window before it, whichever are most.
type BudgetSettings struct {
	Ratio  float64       // of the requests
	Slack  float64       // sends in a window besides, for the whole system
	Window time.Duration // sliding
}

// Parts of the bound that a daemon uses.
const (
	// ratioPart is a half, because repeats may follow their requests by a window: two
	// windows of requests can pay for one window of repeats.
	ratioPart = 0.5
	// slackPart leaves room for daemons that join or that others don't know of yet.
	slackPart = 0.9
)

// Budget bounds this daemon's part of repeated sends. The ratio applies to its own
// requests; the slack is shared out evenly between the daemons, so that the sum of
// all keeps the bound without any talk between them. It is safe for concurrent use.
type Budget struct {
	settings BudgetSettings

	mu       sync.Mutex
	daemons  int
	services map[string]*spending
}

type spending struct {
	requests []time.Time // within the window
	repeats  []time.Time
}

// NewBudget returns a budget for a daemon that knows of no other yet.
func NewBudget(s BudgetSettings) *Budget {
	return &Budget{settings: s, services: make(map[string]*spending)}
}

// SetDaemons tells how many daemons share the slack. With 0, as before the others
// are known, there is none.
func (b *Budget) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = n
}

// SetBounds replaces the settings.
func (b *Budget) SetBounds(s BudgetSettings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = s
}

// Arrived counts a caller's request for a service.
func (b *Budget) Arrived(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(now, service)
	s.requests = append(s.requests, now)
}

// Take counts one more send of a request, or returns false if the budget is spent.
func (b *Budget) Take(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(now, service)
	allowed := ratioPart * b.settings.Ratio * float64(len(s.requests))
	if b.daemons > 0 {
		allowed += slackPart * b.settings.Slack / float64(b.daemons)
	}
	if float64(len(s.repeats)+1) > allowed {
		return false
	}
	s.repeats = append(s.repeats, now)
	return true
}

// service returns the spending on a service without what left the window.
func (b *Budget) service(now time.Time, name string) *spending {
	s := b.services[name]
	if s == nil {
		s = &spending{}
		b.services[name] = s
	}
	s.requests = since(s.requests, now.Add(-b.settings.Window))
	s.repeats = since(s.repeats, now.Add(-b.settings.Window))
	return s
}

func since(times []time.Time, start time.Time) []time.Time {
	i := 0
	for i < len(times) && !times[i].After(start) {
		i++
	}
	if i == 0 {
		return times
	}
	return append(times[:0], times[i:]...)
}
