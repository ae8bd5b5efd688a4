package allowance

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Settings configure a limit: within any window, the uses of all daemons are at most Ratio times
// the number of requests, plus Slack. The number of requests is the largest of three counts: in
// that window, in the window before it, and in the window that ended half a window earlier.
type Settings struct {
	Ratio  float64       // uses per request
	Slack  float64       // additional uses per window, for all daemons together
	Window time.Duration // length of the sliding window
}

// Credits are thousandths of the right to one use. Daemons lend fractions, because each of them
// would otherwise keep a rest that is too small for a use.
type Credits int64

// One is the price of one use.
const One Credits = 1000

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

// account holds what one daemon earned and spent in one limit.
type account struct {
	requests []time.Time // of the last two windows, in ascending order
	uses     []*use      // that still count, in ascending order of until
	streams  int         // streams that have begun, which may need a credit each
	wants    map[string]want
	borrowed []*borrowed
	// troubleAt is when a stream last needed a credit, here or at a daemon that asked this one.
	troubleAt time.Time
	round     []*Ask // the latest asks that were neither answered nor given up
	advanceAt time.Time
}

// use is a use by this daemon, or a loan, which counts as uses of the lender.
type use struct {
	until   time.Time // the last moment at which it may take place
	paidAt  time.Time // of a use by this daemon
	weight  Credits   // what this daemon pays for it
	parts   []part    // paid with borrowed credits
	loan    bool
	granted Credits // of a loan, before returns
}

// part is the part of a use that was paid with a borrowed credit.
type part struct {
	from   *borrowed
	amount Credits
}

// expire drops what no longer counts.
func (a *account) expire(now time.Time, window time.Duration) {
	a.requests = timesAfter(a.requests, now.Add(-2*window))
	start := now.Add(-window)
	i := sort.Search(len(a.uses), func(i int) bool { return a.uses[i].until.After(start) })
	a.uses = a.uses[i:]
	for key, w := range a.wants {
		if !now.Before(w.until) {
			delete(a.wants, key)
		}
	}
}

// earned returns the credits for the requests later than start, plus slack.
func (a *account) earned(s Settings, start time.Time, slack float64) Credits {
	requests := float64(len(timesAfter(a.requests, start)))
	return Credits(math.Floor((ratioFactor*s.Ratio*requests + slack) * float64(One)))
}

// free returns the credits that are left for a use which takes place at until or before, in this
// window and in all later ones if no further request arrived until then.
func (a *account) free(s Settings, until time.Time, slack float64) Credits {
	var spent Credits
	left := Credits(math.MaxInt64)
	checked := false
	// Check the windows that contain a use and all later ones, but no earlier use. The last of
	// these windows begins at that use.
	check := func(at time.Time) { left = min(left, a.earned(s, at.Add(-s.Window), slack)-spent) }
	for _, u := range slices.Backward(a.uses) {
		if !checked && !u.until.After(until) {
			check(until)
			checked = true
		}
		spent += u.weight
		if !u.until.After(until) {
			check(u.until)
		}
	}
	if !checked {
		check(until)
	}
	return max(0, left)
}

// capacity returns the credits of a window without uses.
func (a *account) capacity(now time.Time, s Settings, slack float64) Credits {
	return a.earned(s, now.Add(-s.Window), slack)
}

// add inserts a use.
func (a *account) add(u *use) {
	i := sort.Search(len(a.uses), func(i int) bool { return a.uses[i].until.After(u.until) })
	a.uses = slices.Insert(a.uses, i, u)
}

// borrowedLeft returns the borrowed credits that may be spent now.
func (a *account) borrowedLeft(now time.Time) (sum Credits) {
	for _, b := range a.borrowed {
		if now.Before(b.until) {
			sum += b.left
		}
	}
	return sum
}

// spendBorrowed pays an amount with borrowed credits, the oldest first.
func (a *account) spendBorrowed(now time.Time, amount Credits) (parts []part) {
	for _, b := range a.borrowed {
		if n := min(amount, b.left); n > 0 && now.Before(b.until) {
			b.left -= n
			amount -= n
			parts = append(parts, part{b, n})
		}
	}
	return parts
}

// timesAfter returns the times that are later than start. The times must be in
// ascending order.
func timesAfter(times []time.Time, start time.Time) []time.Time {
	i := sort.Search(len(times), func(i int) bool { return times[i].After(start) })
	return times[i:]
}
