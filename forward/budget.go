package forward

import (
	"slices"
	"sort"
	"sync"
	"time"
)

// RetryBudgetSettings configure the limit on retries. A retry is any send of a request
// after its first one. Within any window, the number of retries that all daemons
// together make for one service is at most Ratio times the number of requests, plus
// Slack. The number of requests is the largest of three counts: in that window, in the
// window before it, and in the window that ended half a window earlier.
type RetryBudgetSettings struct {
	Ratio  float64       // retries per request
	Slack  float64       // additional retries per window, for all daemons together
	Window time.Duration // length of the sliding window
}

// Fractions of the limits that one daemon uses.
const (
	// ratioFactor scales the ratio, because requests are counted over two windows, the
	// current one and the one before it. Half of that sum is at most the larger of the
	// two counts.
	ratioFactor = 0.5
	// slackFactor is the fraction of the slack that the daemons share. The rest is a
	// reserve for daemons that join or that other daemons don't know of yet.
	slackFactor = 0.9
)

// RetryBudget limits the retries of this daemon. The ratio applies to the daemon's own
// requests and the slack is divided evenly among the daemons, so that the sum over all
// daemons stays within the limit without any communication. It is safe for concurrent
// use.
type RetryBudget struct {
	settings RetryBudgetSettings
	start    time.Time

	mu         sync.Mutex
	daemons    int
	firstKnown time.Duration // see MarkFirstStart; 0 unless it was called
	services   map[string]*serviceUsage
}

// serviceUsage holds the recent requests and retries of one service in ascending order
// of time.
type serviceUsage struct {
	requests []time.Time // of the last two windows
	retries  []time.Time // of the last window
}

// NewRetryBudget returns the budget of a daemon that starts now and knows of no other
// daemon.
func NewRetryBudget(now time.Time, s RetryBudgetSettings) *RetryBudget {
	return &RetryBudget{settings: s, start: now, services: make(map[string]*serviceUsage)}
}

// SetDaemons sets the number of daemons that share the slack. The number is 0 until the
// first call; this daemon has no slack then.
func (b *RetryBudget) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = n
}

// MarkFirstStart records that no process of any daemon has run before those that start now, and
// that they know each other from a time after the start on. This daemon has its slack from then
// on, and not only after a window.
func (b *RetryBudget) MarkFirstStart(known time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstKnown = known
}

// UpdateSettings replaces the settings.
func (b *RetryBudget) UpdateSettings(s RetryBudgetSettings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings = s
}

// CountRequest counts a request that a caller sent to a service.
func (b *RetryBudget) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.usage(now, service)
	s.requests = append(s.requests, now)
}

// AllowRetry reports whether a request may be sent once more and counts the retry if
// so. It returns false if the retry would exceed the budget of this window, or of a
// later window if no further request arrived until then.
func (b *RetryBudget) AllowRetry(now time.Time, service string) bool {
	return b.AllowRetries(now, service, 1)
}

// AllowRetries is AllowRetry for n retries: it counts all or none.
func (b *RetryBudget) AllowRetries(now time.Time, service string, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.usage(now, service)
	slack := b.slackShare(now)
	all := slices.Concat(s.retries, slices.Repeat([]time.Time{now}, n))
	for i, retryTime := range all {
		// Check the windows that contain this retry and all later ones, but no earlier
		// retry. The last of these windows begins at this retry.
		retries := len(all) - i
		requests := len(timesAfter(s.requests, retryTime.Add(-b.settings.Window)))
		if float64(retries) > ratioFactor*b.settings.Ratio*float64(requests)+slack {
			return false
		}
	}
	s.retries = all
	return true
}

// Release takes back the latest retry that was counted at or before a time, because it
// was not made or was made later.
func (b *RetryBudget) Release(at time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		return
	}
	if i := len(s.retries) - len(timesAfter(s.retries, at)) - 1; i >= 0 {
		s.retries = slices.Delete(s.retries, i, i+1)
	}
}

// slackShare returns this daemon's share of the slack. It is 0 during the first window
// after the start, because the previous process of this daemon may have used it up, and at the
// first start of all until the number of daemons is known.
func (b *RetryBudget) slackShare(now time.Time) float64 {
	unknown := b.settings.Window
	if b.firstKnown > 0 {
		unknown = min(unknown, b.firstKnown)
	}
	if b.daemons == 0 || now.Sub(b.start) < unknown {
		return 0
	}
	return slackFactor * b.settings.Slack / float64(b.daemons)
}

// usage returns the usage of a service after dropping times that no longer count.
func (b *RetryBudget) usage(now time.Time, name string) *serviceUsage {
	s := b.services[name]
	if s == nil {
		s = &serviceUsage{}
		b.services[name] = s
	}
	s.requests = timesAfter(s.requests, now.Add(-2*b.settings.Window))
	s.retries = timesAfter(s.retries, now.Add(-b.settings.Window))
	return s
}

// timesAfter returns the times that are later than start. The times must be in
// ascending order.
func timesAfter(times []time.Time, start time.Time) []time.Time {
	i := sort.Search(len(times), func(i int) bool { return times[i].After(start) })
	return times[i:]
}
