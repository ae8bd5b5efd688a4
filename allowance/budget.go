package allowance

import (
	"slices"
	"time"
)

// Budget is the part of one daemon in limits over sliding windows, one for each service. It
// spends the daemon's own credits and, once EnableLending was called, lends credits to other
// daemons and borrows from them. It is not safe for concurrent use.
type Budget struct {
	settings   Settings
	start      time.Time
	daemons    int
	firstKnown time.Duration // see MarkFirstStart; 0 unless it was called
	lending    bool
	accounts   map[string]*account

	loans   map[loanKey]*use     // given to other daemons
	pending map[uint64]*Ask      // that may still be answered, by Seq
	lastSeq uint64               // of asks
	avoid   map[string]time.Time // until when daemons are not asked, by id
	asks    float64              // that may be sent now, see asksPerSecond
	asksAt  time.Time            // of the value in asks
	Counts  Counts
}

// Counts are the credits that daemons lent and borrowed.
type Counts struct {
	Asked    int64 // requests that this daemon sent
	Granted  int64 // requests of others that it granted, at least in part
	Refused  int64 // requests of others that it refused
	Borrowed int64 // replies to its requests that brought credits
	Returned int64 // loans of which it returned a part
}

// NewBudget returns the budget of a daemon that starts now and knows of no other daemon.
func NewBudget(now time.Time, s Settings) *Budget {
	return &Budget{
		settings: s, start: now, accounts: make(map[string]*account), loans: make(map[loanKey]*use),
		pending: make(map[uint64]*Ask), avoid: make(map[string]time.Time), asks: maxAsks, asksAt: now,
	}
}

// SetDaemons sets the number of daemons that share the slack. The number is 0 until the
// first call; this daemon has no slack then.
func (b *Budget) SetDaemons(n int) { b.daemons = n }

// MarkFirstStart records that no process of any daemon has run before those that start now, and
// that they know each other from a time after the start on. This daemon has its slack from then
// on, and not only after a window.
func (b *Budget) MarkFirstStart(known time.Duration) { b.firstKnown = known }

// UpdateSettings replaces the settings.
func (b *Budget) UpdateSettings(s Settings) { b.settings = s }

// EnableLending lets the daemon lend and borrow. It must be called at the start.
func (b *Budget) EnableLending() { b.lending = true }

// Lends reports whether the daemon lends and borrows: there are other daemons, and the limit is
// not 0.
func (b *Budget) Lends() bool {
	return b.lending && b.daemons > 1 && (b.settings.Ratio > 0 || b.settings.Slack > 0)
}

// CountRequest counts a request that a caller sent to a service.
func (b *Budget) CountRequest(now time.Time, service string) {
	a := b.account(now, service)
	a.requests = append(a.requests, now)
}

// AddStreams adds n, which may be negative, to the number of streams that have begun.
func (b *Budget) AddStreams(now time.Time, service string, n int) {
	a := b.account(now, service)
	a.streams = max(0, a.streams+n)
}

// reserveShare is the fraction of the daemon's credits that it leaves to the streams which have
// begun, if there are so many.
const reserveShare = 0.25

// Spend pays for n uses now, all or none. It returns false if they would exceed the budget of
// this window, or of a later window if no further request arrived until then. begun is set for a
// stream that has begun, which may use borrowed credits and the reserve.
func (b *Budget) Spend(now time.Time, service string, n int, begun bool) bool {
	a := b.account(now, service)
	slack := b.slackShare(now)
	own, price := a.free(b.settings, now, slack), Credits(n)*One
	available := own
	switch {
	case !b.Lends():
	case begun:
		a.troubleAt = now
		available += a.borrowedLeft(now)
	case a.streams > 0:
		reserve := Credits(reserveShare * float64(a.capacity(now, b.settings, slack)))
		available -= min(reserve, Credits(a.streams)*One)
	}
	if available < price {
		return false
	}
	for range n {
		u := &use{until: now, paidAt: now, weight: min(One, own)}
		own -= u.weight
		if u.weight < One {
			// The borrowed part may be used until then, so the rest may, too.
			u.until, u.parts = now.Add(useDelay), a.spendBorrowed(now, One-u.weight)
		}
		a.add(u)
	}
	return true
}

// Release takes back the latest use that was paid at or before a time, because it was not made or
// was made later. Borrowed credits can be used again until they expire.
func (b *Budget) Release(at time.Time, service string) {
	a := b.accounts[service]
	if a == nil {
		return
	}
	latest := -1
	for i, u := range a.uses {
		if !u.loan && !u.paidAt.After(at) && (latest < 0 || !u.paidAt.Before(a.uses[latest].paidAt)) {
			latest = i
		}
	}
	if latest < 0 {
		return
	}
	for _, p := range a.uses[latest].parts {
		p.from.left += p.amount
	}
	a.uses = slices.Delete(a.uses, latest, latest+1)
}

// Available returns the credits that a stream which has begun could use now: the daemon's own and
// the borrowed ones.
func (b *Budget) Available(now time.Time, service string) (own, borrowed Credits) {
	a := b.account(now, service)
	return a.free(b.settings, now, b.slackShare(now)), a.borrowedLeft(now)
}

// slackShare returns this daemon's share of the slack. It is 0 during the first window
// after the start, because the previous process of this daemon may have used it up, and at the
// first start of all until the number of daemons is known. What the previous process lent may be
// used for the validity of a loan after its end.
func (b *Budget) slackShare(now time.Time) float64 {
	unknown := b.settings.Window
	if b.lending {
		unknown += countedValidity
	}
	if b.firstKnown > 0 {
		unknown = min(unknown, b.firstKnown)
	}
	if b.daemons == 0 || now.Sub(b.start) < unknown {
		return 0
	}
	return slackFactor * b.settings.Slack / float64(b.daemons)
}

// account returns the account of a service after dropping what no longer counts.
func (b *Budget) account(now time.Time, service string) *account {
	a := b.accounts[service]
	if a == nil {
		a = &account{wants: make(map[string]want)}
		b.accounts[service] = a
	}
	a.expire(now, b.settings.Window)
	return a
}
