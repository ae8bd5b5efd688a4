// Package quarantine prevents poison requests, which crash the targets they run on,
// from running again. Ledger is the decision logic. It does no I/O; the caller passes
// crash reports and the time.
//
// A crash report states that a target failed while it ran a request. Crashes are
// counted by the request's id and by the fingerprint of its content, so that sending
// the request under a new id does not evade the count. A request is refused when the
// sum of the weights of its crashes reaches a limit and no other request was present at
// all the same crashes. An innocent request that ran beside a poison request is
// distinguished by one of three things: it produced tokens before, it survives on
// another target, or it completes.
package quarantine

import (
	"time"

	"github.com/vanillaroad/vanillaroad/internal/jsontime"
)

// Settings configure the ledger.
type Settings struct {
	// MaxTargets is the number of crashes of targets right after the start of a request
	// at which the request is refused, unless another request was present at all of
	// them. Crashes of the same target count separately if they are more than
	// SameCrashWindow apart or of different incarnations.
	MaxTargets int `json:"targets" validate:"min=1"`
	// ExtraTargets is the number of such crashes beyond MaxTargets at which the request
	// is refused even if another request was present at all of them.
	ExtraTargets int `json:"extra" validate:"min=0"`
	// Decay is how long a crash counts.
	Decay jsontime.Duration `json:"decay" validate:"gt=0"`
	// SameCrashWindow is the longest time between two reports about a target that count
	// as one crash.
	SameCrashWindow jsontime.Duration `json:"same_failure" validate:"gt=0"`
	// SettleTime is how long a request waits after a crash right at its start before it
	// may run again, so that the crash reports of other daemons arrive.
	SettleTime jsontime.Duration `json:"settle" validate:"gt=0"`
	// TrialTime is the longest duration of a trial. After a crash right at the start of
	// a request, this daemon runs only one of the requests with the same content during
	// a trial. The trial ends early if the request produces tokens or another crash
	// occurs.
	TrialTime jsontime.Duration `json:"trial" validate:"gt=0"`
	// MaxRequests is the maximum number of request ids, and of fingerprints, with
	// recorded crashes.
	MaxRequests int `json:"max_requests" validate:"min=1"`
}

// DefaultSettings returns the settings of a daemon whose settings file has none for the
// quarantine.
func DefaultSettings() Settings {
	return Settings{
		MaxTargets: 3, ExtraTargets: 2, Decay: jsontime.Duration(10 * time.Minute),
		SameCrashWindow: jsontime.Duration(10 * time.Second),
		SettleTime:      jsontime.Duration(150 * time.Millisecond), TrialTime: jsontime.Duration(2 * time.Second), MaxRequests: 4096,
	}
}

// Weights of a crash in the sum that overLimit compares with its limits. A crash of a
// target on which the request had run well counts half as much as a crash right at its
// start.
const (
	startWeight   = 2
	runningWeight = 1
)

// RequestKey identifies a request by its id and by a hash of its content.
type RequestKey struct {
	ID          string `msgpack:"i"`
	Fingerprint uint64 `msgpack:"f"`
}

// CrashReport reports that a target failed while it ran a request.
type CrashReport struct {
	Request RequestKey `msgpack:"s"`
	Target  string     `msgpack:"t"`
	// Incarnation identifies the process of the target; 0 if unknown.
	Incarnation uint64        `msgpack:"n,omitempty"`
	AtStart     bool          `msgpack:"r"` // the request had just started on the target
	Age         time.Duration `msgpack:"a"` // time since the crash
	// Parts are the ids of the parts of the prompt that requests share; none if unknown.
	Parts []string `msgpack:"p,omitempty"`
	// Ran is how long the request had been at the target when it crashed.
	Ran time.Duration `msgpack:"d,omitempty"`
	Own bool          `msgpack:"-"` // this daemon observed the crash
}

// crash is one failure of a target, as recorded in an entry.
type crash struct {
	target      string
	incarnation uint64
	time        time.Time
	weight      int
	own         bool // this daemon observed it
	parts       []string
	ran         time.Duration
}

// entry holds the crashes recorded for one id or one fingerprint.
type entry struct {
	crashes     []crash // oldest first
	fingerprint uint64
	trialID     string    // id of the one request that may run during a trial
	trialUntil  time.Time // end of the trial
}

func (e *entry) lastCrash() time.Time { return e.crashes[len(e.crashes)-1].time }

func (e *entry) weight() int {
	var sum int
	for _, c := range e.crashes {
		sum += c.weight
	}
	return sum
}

// Ledger counts crashes by request id and by fingerprint. It is not safe for concurrent
// use.
type Ledger struct {
	settings      Settings
	byID          map[string]*entry
	byFingerprint map[uint64]*entry
}

// NewLedger returns an empty ledger.
func NewLedger(s Settings) *Ledger {
	return &Ledger{settings: s, byID: make(map[string]*entry), byFingerprint: make(map[uint64]*entry)}
}

// Len returns the number of ids and of fingerprints with recorded crashes.
func (l *Ledger) Len() (ids, fingerprints int) { return len(l.byID), len(l.byFingerprint) }

// ReportCrash records a crash that this daemon or another one observed. It returns the
// crash reports to send to other daemons: none as long as the request is likely to be
// innocent.
func (l *Ledger) ReportCrash(now time.Time, report CrashReport) []CrashReport {
	c := crash{target: report.Target, incarnation: report.Incarnation, time: now.Add(-report.Age), weight: runningWeight, own: report.Own, parts: report.Parts, ran: report.Ran}
	if report.AtStart {
		c.weight = startWeight
	}
	l.expire(now)
	addCrash(l.byID, report.Request.ID, report.Request.Fingerprint, c, l.settings)
	e := addCrash(l.byFingerprint, report.Request.Fingerprint, report.Request.Fingerprint, c, l.settings)
	if e.weight() <= runningWeight {
		return nil
	}
	return e.reports(now, report.Request)
}

// reports returns the crashes of an entry as crash reports on a request.
func (e *entry) reports(now time.Time, request RequestKey) []CrashReport {
	var out []CrashReport
	for _, c := range e.crashes {
		out = append(out, CrashReport{Request: request, Target: c.target, Incarnation: c.incarnation, AtStart: c.weight == startWeight, Age: now.Sub(c.time), Parts: c.parts, Ran: c.ran})
	}
	return out
}

// Reports returns the crash reports on a request that other daemons should have: none as
// long as the request is likely to be innocent.
func (l *Ledger) Reports(now time.Time, request RequestKey) []CrashReport {
	e := l.byFingerprint[request.Fingerprint]
	if e == nil || e.weight() <= runningWeight {
		return nil
	}
	return e.reports(now, request)
}

// Requests returns the requests on which other daemons should have crash reports, for a
// daemon that may have missed some.
func (l *Ledger) Requests(now time.Time) []RequestKey {
	l.expire(now)
	var out []RequestKey
	for id, e := range l.byID {
		if request := (RequestKey{ID: id, Fingerprint: e.fingerprint}); len(l.Reports(now, request)) > 0 {
			out = append(out, request)
		}
	}
	return out
}

// CrashReports returns all crash reports that other daemons should have.
func (l *Ledger) CrashReports(now time.Time) []CrashReport {
	var out []CrashReport
	for _, request := range l.Requests(now) {
		out = append(out, l.Reports(now, request)...)
	}
	return out
}

// addCrash adds a crash to the entry of key. If m then has more than MaxRequests
// entries, it evicts others, see evictBefore.
func addCrash[K comparable](m map[K]*entry, key K, fingerprint uint64, c crash, s Settings) *entry {
	e := m[key]
	if e == nil {
		e = &entry{fingerprint: fingerprint}
		m[key] = e
	}
	e.add(c, s)
	for len(m) > s.MaxRequests {
		evict(m, key)
	}
	return e
}

// add records a crash. Several reports of the same crash count once.
func (e *entry) add(c crash, s Settings) {
	e.trialUntil = time.Time{}
	for i, existing := range e.crashes {
		if existing.sameCrash(c, s.SameCrashWindow.Std()) {
			e.crashes[i].weight = max(existing.weight, c.weight)
			e.crashes[i].incarnation = max(existing.incarnation, c.incarnation) // one of them may be unknown
			e.crashes[i].own = existing.own || c.own
			return
		}
	}
	i := len(e.crashes)
	for i > 0 && e.crashes[i-1].time.After(c.time) {
		i--
	}
	e.crashes = append(e.crashes[:i], append([]crash{c}, e.crashes[i:]...)...)
	// maxCrashes crashes reach the higher limit of overLimit even if each has only
	// runningWeight.
	if maxCrashes := startWeight * (s.MaxTargets + s.ExtraTargets); len(e.crashes) > maxCrashes {
		e.crashes = e.crashes[1:]
	}
}

// sameCrash reports whether two reports are about one crash: they are close in time, and
// not about different incarnations of the target.
func (c crash) sameCrash(other crash, window time.Duration) bool {
	restarted := c.incarnation != 0 && other.incarnation != 0 && c.incarnation != other.incarnation
	return c.target == other.target && !restarted && c.time.Sub(other.time).Abs() <= window
}

// evict removes the first entry in the order of evictBefore, except for the entry of
// keep.
func evict[K comparable](m map[K]*entry, keep K) {
	var first *entry
	var key K
	for k, e := range m {
		if k == keep || first != nil && !evictBefore(e, first) {
			continue
		}
		first, key = e, k
	}
	delete(m, key)
}

// evictBefore reports whether a is evicted before b: the lighter one, so that the first
// crashes of many requests don't evict a request that is refused, then the one whose
// last crash is older. The fingerprint decides between equal times.
func evictBefore(a, b *entry) bool {
	if x, y := a.weight(), b.weight(); x != y {
		return x < y
	}
	if a.lastCrash().Equal(b.lastCrash()) {
		return a.fingerprint < b.fingerprint
	}
	return a.lastCrash().Before(b.lastCrash())
}

// expire removes crashes that no longer count.
func (l *Ledger) expire(now time.Time) {
	expire(l.byID, now, l.settings.Decay.Std())
	expire(l.byFingerprint, now, l.settings.Decay.Std())
}

func expire[K comparable](m map[K]*entry, now time.Time, decay time.Duration) {
	for k, e := range m {
		for len(e.crashes) > 0 && now.Sub(e.crashes[0].time) > decay {
			e.crashes = e.crashes[1:]
		}
		if len(e.crashes) == 0 {
			delete(m, k)
		}
	}
}

// Clear removes the crashes of a request whose answer is complete. It reports whether
// other daemons may have recorded some of them.
func (l *Ledger) Clear(request RequestKey) bool {
	e := l.byFingerprint[request.Fingerprint]
	shared := e != nil && e.weight() > runningWeight
	delete(l.byID, request.ID)
	delete(l.byFingerprint, request.Fingerprint)
	return shared
}

// ReportProgress records that a request produced tokens. Crashes at its start count
// half from now on, and its trial ends.
func (l *Ledger) ReportProgress(request RequestKey) {
	for _, e := range []*entry{l.byID[request.ID], l.byFingerprint[request.Fingerprint]} {
		if e == nil {
			continue
		}
		e.trialUntil = time.Time{}
		for i := range e.crashes {
			e.crashes[i].weight = runningWeight
		}
	}
}
