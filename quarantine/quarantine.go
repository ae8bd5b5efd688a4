// Package quarantine keeps requests that crash the targets they run on from
// running again. Ledger is the pure decision logic: strikes and the time go in,
// verdicts come out.
//
// A strike says that a target failed under a request. A request is counted by
// its id and by the fingerprint of what it asks, so that a new id does not
// help. A request is stopped when its strikes weigh enough and no other request
// was struck by all the same failures; an innocent request that dies beside
// such a one is told apart by one of three things: it brought tokens before,
// it survives elsewhere, or it ends whole.
package quarantine

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
)

// Settings bound the ledger.
type Settings struct {
	// Targets is how many targets a request may lose right after it started on
	// them.
	Targets int `json:"targets" validate:"min=1"`
	// Extra is how many more it may lose while another request was struck by
	// all the same failures.
	Extra int `json:"extra" validate:"min=0"`
	// Decay is how long a strike counts.
	Decay jsontime.Duration `json:"decay" validate:"gt=0"`
	// SameFailure is the longest time between two reports of one failure of a
	// target.
	SameFailure jsontime.Duration `json:"same_failure" validate:"gt=0"`
	// Settle is how long a request waits after it was lost with a target right
	// at its start, so that strikes of other daemons arrive.
	Settle jsontime.Duration `json:"settle" validate:"gt=0"`
	// Trial is how long such a request then runs alone on this daemon, unless
	// it is proven or struck before.
	Trial jsontime.Duration `json:"trial" validate:"gt=0"`
	// MaxRequests bounds the requests remembered.
	MaxRequests int `json:"max_requests" validate:"min=1"`
}

// DefaultSettings returns the settings of a daemon whose file names none.
func DefaultSettings() Settings {
	return Settings{
		Targets: 3, Extra: 2, Decay: jsontime.Duration(10 * time.Minute),
		SameFailure: jsontime.Duration(10 * time.Second),
		Settle:      jsontime.Duration(150 * time.Millisecond), Trial: jsontime.Duration(2 * time.Second), MaxRequests: 4096,
	}
}

// Weights of a strike. Half as much counts against a request that ran well on
// the target before.
const (
	freshWeight   = 2
	runningWeight = 1
)

// RequestKey names a request by its id and by what it asks.
type RequestKey struct {
	ID          string `msgpack:"i"`
	Fingerprint uint64 `msgpack:"f"`
}

// CrashReport tells that a target failed under a request.
type CrashReport struct {
	Request RequestKey    `msgpack:"s"`
	Target  string        `msgpack:"t"`
	AtStart bool          `msgpack:"r"` // the request had just begun on the target
	Age     time.Duration `msgpack:"a"` // since the failure
}

// failed is one failure of a target that struck an entry.
type failed struct {
	target string
	at     time.Time
	weight int
}

// entry is what is held against one id or one fingerprint.
type entry struct {
	failures    []failed // oldest first
	fingerprint uint64
	trial       string    // id of the one request that may run
	trialUntil  time.Time // until then
}

func (e *entry) last() time.Time { return e.failures[len(e.failures)-1].at }

func (e *entry) weight() int {
	var sum int
	for _, f := range e.failures {
		sum += f.weight
	}
	return sum
}

// Ledger counts strikes. It is not safe for concurrent use.
type Ledger struct {
	settings      Settings
	byID          map[string]*entry
	byFingerprint map[uint64]*entry
}

// NewLedger returns an empty ledger.
func NewLedger(s Settings) *Ledger {
	return &Ledger{settings: s, byID: make(map[string]*entry), byFingerprint: make(map[uint64]*entry)}
}

// Len returns the number of ids and of fingerprints remembered.
func (l *Ledger) Len() (ids, fingerprints int) { return len(l.byID), len(l.byFingerprint) }

// ReportCrash takes one strike, own or reported. It returns the strikes that other
// daemons should know: none while the request may well be innocent.
func (l *Ledger) ReportCrash(now time.Time, s CrashReport) []CrashReport {
	f := failed{target: s.Target, at: now.Add(-s.Age), weight: runningWeight}
	if s.AtStart {
		f.weight = freshWeight
	}
	l.expire(now)
	insert(l.byID, s.Request.ID, s.Request.Fingerprint, f, l.settings)
	e := insert(l.byFingerprint, s.Request.Fingerprint, s.Request.Fingerprint, f, l.settings)
	if e.weight() <= runningWeight {
		return nil
	}
	return e.strikes(now, s.Request)
}

// strikes returns the failures of an entry as strikes against a subject.
func (e *entry) strikes(now time.Time, s RequestKey) []CrashReport {
	var out []CrashReport
	for _, f := range e.failures {
		out = append(out, CrashReport{Request: s, Target: f.target, AtStart: f.weight == freshWeight, Age: now.Sub(f.at)})
	}
	return out
}

// CrashReports returns all strikes that other daemons should know, for one that may have
// missed them.
func (l *Ledger) CrashReports(now time.Time) []CrashReport {
	l.expire(now)
	var out []CrashReport
	for id, e := range l.byID {
		if f := l.byFingerprint[e.fingerprint]; f != nil && f.weight() > runningWeight {
			out = append(out, e.strikes(now, RequestKey{ID: id, Fingerprint: e.fingerprint})...)
		}
	}
	return out
}

// insert adds a failure to the entry of key, making room for it first.
func insert[K comparable](m map[K]*entry, key K, fingerprint uint64, f failed, s Settings) *entry {
	e := m[key]
	if e == nil {
		e = &entry{fingerprint: fingerprint}
		m[key] = e
	}
	e.add(f, s)
	for len(m) > s.MaxRequests {
		evict(m, key)
	}
	return e
}

// add counts one failure once, however many report it.
func (e *entry) add(f failed, s Settings) {
	e.trialUntil = time.Time{}
	for i, known := range e.failures {
		if known.same(f, s) {
			e.failures[i].weight = max(known.weight, f.weight)
			return
		}
	}
	i := len(e.failures)
	for i > 0 && e.failures[i-1].at.After(f.at) {
		i--
	}
	e.failures = append(e.failures[:i], append([]failed{f}, e.failures[i:]...)...)
	if most := freshWeight * (s.Targets + s.Extra); len(e.failures) > most {
		e.failures = e.failures[1:]
	}
}

func (f failed) same(o failed, s Settings) bool {
	return f.target == o.target && f.at.Sub(o.at).Abs() <= s.SameFailure.Std()
}

// evict drops the entry struck longest ago, but not the one of keep.
func evict[K comparable](m map[K]*entry, keep K) {
	var oldest *entry
	var key K
	for k, e := range m {
		if k == keep || oldest != nil && !before(e, oldest) {
			continue
		}
		oldest, key = e, k
	}
	delete(m, key)
}

func before(a, b *entry) bool {
	if a.last().Equal(b.last()) {
		return a.fingerprint < b.fingerprint
	}
	return a.last().Before(b.last())
}

// expire forgets strikes that no longer count.
func (l *Ledger) expire(now time.Time) {
	expire(l.byID, now, l.settings.Decay.Std())
	expire(l.byFingerprint, now, l.settings.Decay.Std())
}

func expire[K comparable](m map[K]*entry, now time.Time, decay time.Duration) {
	for k, e := range m {
		for len(e.failures) > 0 && now.Sub(e.failures[0].at) > decay {
			e.failures = e.failures[1:]
		}
		if len(e.failures) == 0 {
			delete(m, k)
		}
	}
}

// Clear forgets what was held against a request whose answer is whole. It tells
// whether there was anything that other daemons may hold too.
func (l *Ledger) Clear(s RequestKey) bool {
	e := l.byFingerprint[s.Fingerprint]
	shared := e != nil && e.weight() > runningWeight
	delete(l.byID, s.ID)
	delete(l.byFingerprint, s.Fingerprint)
	return shared
}

// ReportProgress takes note that a request brought tokens: what was held against its
// start counts half, and its trial is over.
func (l *Ledger) ReportProgress(s RequestKey) {
	for _, e := range []*entry{l.byID[s.ID], l.byFingerprint[s.Fingerprint]} {
		if e == nil {
			continue
		}
		e.trialUntil = time.Time{}
		for i := range e.failures {
			e.failures[i].weight = runningWeight
		}
	}
}

// Verdict is the answer to whether a request may run.
type Verdict struct {
	Refused *failure.Error // why it must not, or nil
	Wait    time.Duration  // ask again then; 0 when it may run
}

// maxWait bounds the time until a request on trial is asked about again.
const maxWait = 50 * time.Millisecond

// Check tells whether a request may run now. A request that was lost with a
// target right at its start is let through one at a time.
func (l *Ledger) Check(now time.Time, s RequestKey) Verdict {
	if err := l.refusal(now, s); err != nil {
		return Verdict{Refused: err}
	}
	e := l.byFingerprint[s.Fingerprint]
	if e == nil {
		return Verdict{}
	}
	fresh, ok := e.lastFresh()
	if !ok {
		return Verdict{}
	}
	if until := fresh.Add(l.settings.Settle.Std()); now.Before(until) {
		return Verdict{Wait: until.Sub(now)}
	}
	if now.Before(e.trialUntil) && e.trial != s.ID {
		return Verdict{Wait: min(e.trialUntil.Sub(now), maxWait)}
	}
	e.trial, e.trialUntil = s.ID, now.Add(l.settings.Trial.Std())
	return Verdict{}
}

// lastFresh returns the time of the last failure at the start of a request.
func (e *entry) lastFresh() (at time.Time, ok bool) {
	for _, f := range e.failures {
		if f.weight == freshWeight {
			at, ok = f.at, true
		}
	}
	return at, ok
}

// refusal returns why a request must not run at all, or nil.
func (l *Ledger) refusal(now time.Time, s RequestKey) *failure.Error {
	l.expire(now)
	for _, e := range []*entry{l.byID[s.ID], l.byFingerprint[s.Fingerprint]} {
		if e != nil && l.overLimit(e) {
			last := e.failures[len(e.failures)-1]
			return failure.New(failure.Quarantined, failure.NotRun, "quarantine", last.target,
				"%d targets failed under this request (fingerprint %016x)", len(e.failures), e.fingerprint)
		}
	}
	return nil
}

// overLimit tells whether the failures of an entry are enough to stop it.
func (l *Ledger) overLimit(e *entry) bool {
	limit := freshWeight * l.settings.Targets
	switch w := e.weight(); {
	case w < limit:
		return false
	case w >= limit+freshWeight*l.settings.Extra:
		return true
	}
	return !l.shadowed(e)
}

// shadowed tells whether another request was struck by all the same failures,
// as hard, so that either may have caused them.
func (l *Ledger) shadowed(e *entry) bool {
	for _, o := range l.byFingerprint {
		if o.fingerprint != e.fingerprint && l.covers(o, e) {
			return true
		}
	}
	return false
}

func (l *Ledger) covers(o, e *entry) bool {
	for _, f := range e.failures {
		found := false
		for _, g := range o.failures {
			found = found || g.same(f, l.settings) && g.weight >= f.weight
		}
		if !found {
			return false
		}
	}
	return true
}
