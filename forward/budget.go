package forward

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/allowance"
	"github.com/vanillaroad/vanillaroad/event"
)

// RetryBudgetSettings configure the limit on retries. A retry is any send of a request
// after its first one. See allowance.Settings.
type RetryBudgetSettings = allowance.Settings

// RetryBudget limits the retries of this daemon. The ratio applies to the daemon's own
// requests and the slack is divided evenly among the daemons, so that the sum over all
// daemons stays within the limit without any communication. Daemons lend each other what they
// don't need, see package allowance. It is safe for concurrent use.
type RetryBudget struct {
	mu      sync.Mutex
	budget  *allowance.Budget
	needed  func()        // called when credits may have to be borrowed; nil if the daemon does not lend
	arrived chan struct{} // closed and replaced when credits arrive
}

// NewRetryBudget returns the budget of a daemon that starts now and knows of no other
// daemon.
func NewRetryBudget(now time.Time, s RetryBudgetSettings) *RetryBudget {
	return &RetryBudget{budget: allowance.NewBudget(now, s), arrived: make(chan struct{})}
}

// EnableLending lets the daemon lend and borrow. needed is called when credits may have to be
// borrowed, and must not block. EnableLending must be called before the first use.
func (b *RetryBudget) EnableLending(needed func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.EnableLending()
	b.needed = needed
}

// Update calls fn with the budget, for messages of other daemons. If fn reports that credits arrived,
// Update wakes up the streams that wait for them. fn must not block.
func (b *RetryBudget) Update(fn func(*allowance.Budget) (arrived bool)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if fn(b.budget) {
		close(b.arrived)
		b.arrived = make(chan struct{})
	}
}

// SetDaemons sets the number of daemons that share the slack. The number is 0 until the
// first call; this daemon has no slack then.
func (b *RetryBudget) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetDaemons(n)
}

// MarkFirstStart records that no process of any daemon has run before those that start now, and
// that they know each other from a time after the start on. This daemon has its slack from then
// on, and not only after a window.
func (b *RetryBudget) MarkFirstStart(known time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.MarkFirstStart(known)
}

// UpdateSettings replaces the settings.
func (b *RetryBudget) UpdateSettings(s RetryBudgetSettings) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.UpdateSettings(s)
}

// CountRequest counts a request that a caller sent to a service.
func (b *RetryBudget) CountRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.CountRequest(now, service)
}

// AddStreams adds n to the number of streams of a service that have begun and may have to be resumed.
func (b *RetryBudget) AddStreams(now time.Time, service string, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.AddStreams(now, service, n)
}

// AllowRetry reports whether a request without an event may be sent once more and counts the
// retry if so. It returns false if the retry would exceed the budget of this window, or of a
// later window if no further request arrived until then.
func (b *RetryBudget) AllowRetry(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Spend(now, service, 1, false)
}

// retry is what a request needs the retry budget for.
type retry struct {
	request *Request
	begun   bool // a stream that has begun
}

// allow is AllowRetry for n retries of a request: it counts all or none. A stream that has begun
// may use borrowed credits. If there are too few, it states that it waits for them, so that they
// are borrowed until the next call.
func (b *RetryBudget) allow(now time.Time, r retry, n int) bool {
	b.mu.Lock()
	ok := b.budget.Spend(now, r.request.Service, n, r.begun)
	if ok {
		b.budget.Unwant(r.request.Service, r.request.ID)
	} else if r.begun {
		b.budget.Want(now, r.request.Service, r.request.ID, n)
	}
	needed := b.needed
	b.mu.Unlock()
	if r.begun && needed != nil {
		needed() // also after a success: the next one may need a credit in advance
	}
	return ok
}

// maxLoanWait is how long a stream that has begun waits for a loan before it is cut. Several
// rounds of requests to other daemons take place in that time, and it is within the usual limits on
// the gap between two events.
const maxLoanWait = 150 * time.Millisecond

// await is allow for one retry. A stream that has begun waits for a loan if the daemon borrows. At the
// end of its wait it borrows no more, since nothing would use the loan.
func (b *RetryBudget) await(ctx context.Context, r retry) bool {
	b.mu.Lock()
	borrows := b.needed != nil && b.budget.Lends()
	b.mu.Unlock()
	if !r.begun || !borrows {
		return b.allow(time.Now(), r, 1)
	}
	defer b.unwant(r)
	timer := time.NewTimer(maxLoanWait)
	defer timer.Stop()
	for {
		b.mu.Lock()
		arrived := b.arrived
		b.mu.Unlock()
		if b.allow(time.Now(), r, 1) {
			return true
		}
		select {
		case <-arrived:
		case <-timer.C:
			b.mu.Lock()
			defer b.mu.Unlock()
			return b.budget.Spend(time.Now(), r.request.Service, 1, true)
		case <-ctx.Done():
			return false
		}
	}
}

func (b *RetryBudget) unwant(r retry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Unwant(r.request.Service, r.request.ID)
}

// maxSendDelay is how long after its payment a retry is sent without paying again. Lenders of a
// credit assume that it is sent a little later at most.
const maxSendDelay = 200 * time.Millisecond

// renew pays again for a retry that was paid for at or before a time, if that is long ago: its stream
// has waited for a target meanwhile, and a borrowed credit may have expired.
func (b *RetryBudget) renew(ctx context.Context, paidAt time.Time, r retry) bool {
	b.mu.Lock()
	borrows := b.needed != nil && b.budget.Lends()
	b.mu.Unlock()
	if !borrows || !r.begun || time.Since(paidAt) < maxSendDelay {
		return true
	}
	b.Release(paidAt, r.request.Service)
	return b.await(ctx, r)
}

// Release takes back the latest retry that was counted at or before a time, because it
// was not made or was made later.
func (b *RetryBudget) Release(at time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Release(at, service)
}

// available returns the credits of a service, for the log.
func (b *RetryBudget) available(now time.Time, service string) (own, borrowed float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o, l := b.budget.Available(now, service)
	return float64(o) / float64(allowance.One), float64(l) / float64(allowance.One)
}

// metricRetriesDenied counts the retries that were denied for want of credits.
const metricRetriesDenied = "forward.retry_credits_denied"

// recordDenial records that a retry was denied or delayed, with the credits that it needed.
func (f *Forwarder) recordDenial(r retry, needed int) {
	own, borrowed := f.RetryBudget.available(time.Now(), r.request.Service)
	metrics.GetOrRegisterCounter(metricRetriesDenied, f.Metrics).Inc(1)
	f.Events.Record(event.RetryDenied, r.request.ID, event.F("service", r.request.Service), event.F("begun", strconv.FormatBool(r.begun)), event.F("needed", strconv.Itoa(needed)),
		event.F("credits", strconv.FormatFloat(own, 'f', -1, 64)), event.F("borrowed", strconv.FormatFloat(borrowed, 'f', -1, 64)))
}
