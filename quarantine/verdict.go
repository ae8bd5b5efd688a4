package quarantine

import (
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// Verdict is the decision whether a request may run.
type Verdict struct {
	Refusal *failure.Error // reason why it must not run, or nil
	Wait    time.Duration  // time until the next check; 0 if it may run now
}

// maxTrialWait is the maximum time between two checks of a request that waits for the
// end of the trial of another request.
const maxTrialWait = 50 * time.Millisecond

// Check decides whether a request may run now. Of the requests with the same content
// and a crash right at the start, one runs at a time.
func (l *Ledger) Check(now time.Time, request RequestKey) Verdict {
	if err := l.refusal(now, request); err != nil {
		return Verdict{Refusal: err}
	}
	e := l.byFingerprint[request.Fingerprint]
	if e == nil {
		return Verdict{}
	}
	crashedAt, ok := e.lastStartCrash()
	if !ok {
		return Verdict{}
	}
	if settled := crashedAt.Add(l.settings.SettleTime.Std()); now.Before(settled) {
		return Verdict{Wait: settled.Sub(now)}
	}
	if now.Before(e.trialUntil) && e.trialID != request.ID {
		return Verdict{Wait: min(e.trialUntil.Sub(now), maxTrialWait)}
	}
	e.trialID, e.trialUntil = request.ID, now.Add(l.settings.TrialTime.Std())
	return Verdict{}
}

// lastStartCrash returns the time of the last crash at the start of the request, and
// false if there is none.
func (e *entry) lastStartCrash() (crashTime time.Time, ok bool) {
	for _, c := range e.crashes {
		if c.weight == startWeight {
			crashTime, ok = c.time, true
		}
	}
	return crashTime, ok
}

// refusal returns the reason why a request must not run at all, or nil.
func (l *Ledger) refusal(now time.Time, request RequestKey) *failure.Error {
	l.expire(now)
	for _, e := range []*entry{l.byID[request.ID], l.byFingerprint[request.Fingerprint]} {
		if e != nil && l.overLimit(e) {
			last := e.crashes[len(e.crashes)-1]
			return failure.New(failure.Quarantined, failure.NotRun, "quarantine", last.target,
				"%d targets failed under this request (fingerprint %016x)", len(e.crashes), e.fingerprint)
		}
	}
	return nil
}

// overLimit reports whether the crashes of an entry are enough to refuse its requests.
func (l *Ledger) overLimit(e *entry) bool {
	limit := startWeight * l.settings.MaxTargets
	switch w := e.weight(); {
	case w < limit:
		return false
	case w >= limit+startWeight*l.settings.ExtraTargets:
		return true
	}
	return !l.hasOtherSuspect(e)
}

// hasOtherSuspect reports whether another request was present at all the same crashes
// with at least the same weights, so that either may have caused them.
func (l *Ledger) hasOtherSuspect(e *entry) bool {
	for _, other := range l.byFingerprint {
		if other.fingerprint != e.fingerprint && l.coversCrashes(other, e) {
			return true
		}
	}
	return false
}

// Standing summarizes the crashes recorded for the content of a request.
type Standing struct {
	Crashes int
	// Refused reports whether requests with the content are refused.
	Refused bool
	// Own reports whether this daemon observed one of the crashes.
	Own bool
}

// Standing returns the standing of the content of a request.
func (l *Ledger) Standing(request RequestKey) Standing {
	e := l.byFingerprint[request.Fingerprint]
	if e == nil {
		return Standing{}
	}
	s := Standing{Crashes: len(e.crashes), Refused: l.overLimit(e)}
	for _, c := range e.crashes {
		s.Own = s.Own || c.own
	}
	return s
}

// coversCrashes reports whether other has all crashes of e with at least the same weights.
func (l *Ledger) coversCrashes(other, e *entry) bool {
	for _, c := range e.crashes {
		found := false
		for _, o := range other.crashes {
			found = found || o.sameCrash(c, l.settings.SameCrashWindow.Std()) && o.weight >= c.weight
		}
		if !found {
			return false
		}
	}
	return true
}
