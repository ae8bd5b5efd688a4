// Package quota divides the requests that a target takes among the daemons. One daemon, the
// grantor of the target, issues permits for all daemons that hear it. The sum of all permits
// keeps to the target's rate also while daemons start, end, or don't hear each other: a
// grantor issues no more than the fraction of the daemons that it hears, and a daemon whose
// grantor doesn't answer has only its own fraction. A Ledger does no I/O and reads no clock.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// View is what a daemon knows of the daemons.
type View struct {
	Self string
	// Active are the ids of the daemons that it hears and that don't leave. It is among
	// them unless it leaves.
	Active []string
	// Heard is the number of daemons that it hears, itself included.
	Heard int
	// Registered is the number of daemons with an entry, 0 if not known.
	Registered int
}

// Grantor returns the id of the daemon that issues the permits for a target. Daemons that
// hear the same daemons agree on it.
func (v View) Grantor(target string) string {
	grantor, highest := v.Self, uint64(0)
	for _, id := range v.Active {
		if rank := xxhash.Sum64String(target + "\x00" + id); rank > highest || rank == highest && id < grantor {
			grantor, highest = id, rank
		}
	}
	return grantor
}

// assumedDaemons is the number of daemons that a daemon assumes while it knows none.
const assumedDaemons = 100

func (v View) registered() float64 {
	if v.Registered == 0 {
		return assumedDaemons
	}
	return float64(max(v.Registered, v.Heard))
}

// GrantorFraction returns the fraction of a target's rate that the daemon may issue as its
// grantor.
func (v View) GrantorFraction() float64 { return float64(v.Heard) / v.registered() }

// OwnFraction returns the fraction of a target's rate that the daemon may use without its
// grantor.
func (v View) OwnFraction() float64 { return 1 / v.registered() }

// Key identifies an incarnation of a target.
type Key struct {
	Target      string
	StartMillis int64
}

// Limits of an account.
const (
	// minRate is the lowest rate, in requests a second, so that daemons learn when a target
	// takes more again: it says so in its answers only.
	minRate = 0.1
	// burstPeriod and minBurst give the number of permits that an account saves up: those
	// of burstPeriod, at least minBurst.
	burstPeriod = 500 * time.Millisecond
	minBurst    = 3
	// urgentMemory is how long a request is remembered for which a permit is reserved.
	urgentMemory = time.Second
	// accountMaxAge is how long an account is kept without requests.
	accountMaxAge = 10 * time.Second
)

// Ledger issues permits at a rate for each target.
type Ledger struct {
	accounts map[Key]*account
}

type account struct {
	limiter *rate.Limiter
	asked   map[int]time.Time // by priority, the latest request
	usedAt  time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{accounts: make(map[Key]*account)} }

// Take takes a permit to send a request of a priority, 0 being the most urgent, to a target
// that takes perSecond. While more urgent requests come, one permit is left to them. Without
// a permit, Take returns when to ask again. A new account has no permits saved up.
func (l *Ledger) Take(now time.Time, key Key, perSecond float64, priority int) (retryAfter time.Duration, ok bool) {
	perSecond = max(perSecond, minRate)
	a := l.account(now, key, perSecond)
	a.asked[priority], a.usedAt = now, now
	needed := 1.0
	for p, at := range a.asked {
		if p < priority && now.Sub(at) < urgentMemory {
			needed = 2
		}
	}
	if tokens := a.limiter.TokensAt(now); tokens < needed {
		return time.Duration((needed - tokens) / perSecond * float64(time.Second)), false
	}
	return 0, a.limiter.AllowN(now, 1)
}

// account returns the account of a target, with its rate as of now.
func (l *Ledger) account(now time.Time, key Key, perSecond float64) *account {
	burst := max(minBurst, int(perSecond*burstPeriod.Seconds()))
	a := l.accounts[key]
	if a == nil {
		a = &account{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), asked: make(map[int]time.Time)}
		a.limiter.AllowN(now, burst)
		l.accounts[key] = a
	}
	if a.limiter.Limit() != rate.Limit(perSecond) {
		a.limiter.SetLimitAt(now, rate.Limit(perSecond))
		a.limiter.SetBurstAt(now, burst)
	}
	return a
}

// Forget drops the account of a target.
func (l *Ledger) Forget(key Key) { delete(l.accounts, key) }

// Expire drops the accounts that are no longer in use.
func (l *Ledger) Expire(now time.Time) {
	for key, a := range l.accounts {
		if now.Sub(a.usedAt) > accountMaxAge {
			delete(l.accounts, key)
		}
	}
}
