package quarantine

import (
	"maps"
	"slices"
	"time"
)

// PartSettings configure a PartLedger.
type PartSettings struct {
	// MinCrashes is the number of crashes after which a part of prompts is blamed, and
	// MinCrashesIfSound that for a part with which a request ran well within SoundTime.
	MinCrashes, MinCrashesIfSound int
	SoundTime                     time.Duration
	// MaxAmbiguous is the number of crashes after which requests are refused that have any
	// of several parts which can't be told apart.
	MaxAmbiguous int
	// MinRounds is the number of runs among them of which each began after the crash
	// before, and crashed RoundTime after that or later. Targets that fail together end
	// one round, whatever ran on them.
	MinRounds int
	RoundTime time.Duration
	// ConfirmTime is the time after MinCrashesIfSound crashes in fewer rounds until a part
	// is blamed with which no request has run well before or since. A sound request begins
	// in that time.
	ConfirmTime time.Duration
	// TrialDelay is the time from the last crash until one request may run in spite of a
	// blame after MinRounds rounds. It doubles with each further round.
	TrialDelay time.Duration
	// SettleTime is the time until the reports of all daemons on a crash have arrived.
	SettleTime time.Duration
	// Decay is how long a crash counts.
	Decay time.Duration
	// SameCrashWindow is as in Settings.
	SameCrashWindow time.Duration
	// MaxRecorded is the maximum number of recorded crashes, and MaxParts that of parts
	// with a recorded sound run.
	MaxRecorded, MaxParts int
}

// DefaultPartSettings returns the settings that go with those of a Ledger.
func DefaultPartSettings(s Settings) PartSettings {
	return PartSettings{
		MinCrashes: s.MaxTargets, MinCrashesIfSound: s.MaxTargets + 2, SoundTime: time.Minute, MaxAmbiguous: s.MaxTargets + 2,
		MinRounds: 2, RoundTime: 200 * time.Millisecond, ConfirmTime: 2500 * time.Millisecond, TrialDelay: 15 * time.Second,
		SettleTime: 50 * time.Millisecond, Decay: s.Decay.Std(), SameCrashWindow: s.SameCrashWindow.Std(), MaxRecorded: 512, MaxParts: 8192,
	}
}

// A PartLedger finds parts of prompts that crash targets, whatever else a request holds. It
// is decision logic without I/O and not safe for concurrent use.
//
// A crash is evidence against the parts of all requests that had just started on the
// target. A request that runs well clears its parts of all crashes before. Of the parts
// that are left, the one that was present at the most crashes is blamed, and the crashes
// that it explains are no evidence against others. No part is blamed for crashes at which
// one and the same request was present: Ledger refuses that request by itself.
//
// Parts that were present at just the same crashes can't be told apart: a request is
// refused if it has all of them. One that has only some of them may run, and shows which
// it is, until there are MaxAmbiguous crashes.
type PartLedger struct {
	settings PartSettings
	crashes  []partCrash // oldest first
	sound    soundRuns
	blamed   []Blame
	current  bool             // blamed follows from crashes and sound
	recheck  time.Time        // when blamed has to be found again without new evidence; zero for never
	trials   map[string]trial // latest of this daemon, by name of the blame
}

// partCrash is one crash of a target, with the requests that had just started on it.
type partCrash struct {
	crash
	suspects map[uint64]suspect // by fingerprint of their contents
}

// suspect is a request that had just started on a target that crashed.
type suspect struct {
	id    string   // of the request
	parts []string // without those that were cleared
	began time.Time
}

// NewPartLedger returns an empty ledger.
func NewPartLedger(s PartSettings) *PartLedger {
	return &PartLedger{settings: s, sound: soundRuns{maxParts: s.MaxParts}}
}

// ReportCrash records a crash. Reports on requests that had run for a time are ignored.
func (l *PartLedger) ReportCrash(now time.Time, r CrashReport) {
	at := now.Add(-r.Age)
	if !r.AtStart || len(r.Parts) == 0 || r.Age > l.settings.Decay {
		return
	}
	parts := l.Suspected(at, r.Parts)
	if len(parts) == 0 {
		return
	}
	l.current = false
	c := crash{target: r.Target, incarnation: r.Incarnation, time: at, own: r.Own}
	began := at.Add(-r.Ran)
	for i := range l.crashes {
		if existing := &l.crashes[i]; existing.sameCrash(c, l.settings.SameCrashWindow) {
			existing.incarnation = max(existing.incarnation, c.incarnation) // one of them may be unknown
			existing.own = existing.own || c.own
			old := existing.suspects[r.Request.Fingerprint] // empty, or of another report or request with the content
			parts = append(parts, slices.DeleteFunc(slices.Clone(old.parts), func(p string) bool { return slices.Contains(parts, p) })...)
			if old.began.After(began) {
				began = old.began
			}
			existing.suspects[r.Request.Fingerprint] = suspect{r.Request.ID, parts, began}
			return
		}
	}
	added := partCrash{crash: c, suspects: map[uint64]suspect{r.Request.Fingerprint: {r.Request.ID, parts, began}}}
	i, _ := slices.BinarySearchFunc(l.crashes, at, func(c partCrash, at time.Time) int { return c.time.Compare(at) })
	l.crashes = slices.Insert(l.crashes, i, added)
	l.limitCrashes(now)
}

// Suspected returns those of some parts with which no request is known to have run well
// since a crash.
func (l *PartLedger) Suspected(crash time.Time, parts []string) []string {
	return slices.DeleteFunc(slices.Clone(parts), func(p string) bool { return !l.sound.latest(p).Before(crash) })
}

// limitCrashes drops the oldest crash if there are too many, preferably one for which no
// part is blamed.
func (l *PartLedger) limitCrashes(now time.Time) {
	if len(l.crashes) <= l.settings.MaxRecorded {
		return
	}
	blamed := make(map[string]bool)
	for _, b := range l.Blamed(now) {
		for _, p := range b.Parts {
			blamed[p] = true
		}
	}
	explained := func(c partCrash) bool {
		return slices.ContainsFunc(slices.Collect(maps.Keys(c.partSet())), func(p string) bool { return blamed[p] })
	}
	i := max(0, slices.IndexFunc(l.crashes, func(c partCrash) bool { return !explained(c) }))
	l.crashes = slices.Delete(l.crashes, i, i+1)
	l.current = false
}

// partSet returns the parts that the crash is evidence against.
func (c partCrash) partSet() map[string]bool {
	set := make(map[string]bool)
	for _, s := range c.suspects {
		for _, p := range s.parts {
			set[p] = true
		}
	}
	return set
}

// ReportSound records that a request with these parts ran well at a time. It returns the
// parts that this clears of crashes.
func (l *PartLedger) ReportSound(at time.Time, parts []string) (cleared []string) {
	l.sound.record(at, parts)
	isCleared := make(map[string]bool)
	for _, c := range l.crashes {
		if c.time.After(at) {
			break
		}
		for content, s := range c.suspects {
			left := slices.DeleteFunc(slices.Clone(s.parts), func(p string) bool {
				sound := slices.Contains(parts, p)
				isCleared[p] = isCleared[p] || sound
				return sound
			})
			c.suspects[content] = suspect{s.id, left, s.began}
		}
	}
	for p, was := range isCleared {
		if was {
			cleared = append(cleared, p)
		}
	}
	if len(cleared) > 0 {
		l.current = false
		l.crashes = slices.DeleteFunc(l.crashes, func(c partCrash) bool { return len(c.partSet()) == 0 })
	}
	slices.Sort(cleared)
	return cleared
}

// expire removes crashes that no longer count.
func (l *PartLedger) expire(now time.Time) {
	n := len(l.crashes)
	l.crashes = slices.DeleteFunc(l.crashes, func(c partCrash) bool { return now.Sub(c.time) > l.settings.Decay })
	l.current = l.current && len(l.crashes) == n
}

// Empty reports whether no crash is recorded.
func (l *PartLedger) Empty() bool { return len(l.crashes) == 0 }

// Evidence returns the reports on the crashes for which parts are blamed, for daemons that
// start later. They are no evidence against other parts, of which those daemons may not know
// that requests ran well with them.
func (l *PartLedger) Evidence(now time.Time, b Blame) (out []CrashReport) {
	for _, c := range l.crashes {
		for content, s := range c.suspects {
			if blamed := slices.DeleteFunc(slices.Clone(s.parts), func(p string) bool { return !slices.Contains(b.Parts, p) }); len(blamed) > 0 {
				out = append(out, CrashReport{
					Request: RequestKey{ID: s.id, Fingerprint: content}, Target: c.target, Incarnation: c.incarnation, AtStart: true,
					Age: now.Sub(c.time), Parts: blamed, Ran: c.time.Sub(s.began),
				})
			}
		}
	}
	return out
}

// SoundAges returns for those of some parts with which requests ran well within SoundTime
// how long ago the latest did.
func (l *PartLedger) SoundAges(now time.Time, parts []string) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, p := range parts {
		if l.recentlySound(now, p) {
			out[p] = now.Sub(l.sound.latest(p))
		}
	}
	return out
}

// SoundSuspects returns SoundAges of all parts that were present at crashes.
func (l *PartLedger) SoundSuspects(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for _, c := range l.crashes {
		maps.Copy(out, l.SoundAges(now, slices.Collect(maps.Keys(c.partSet()))))
	}
	return out
}

// soundRuns holds the latest times at which requests with a part are known to have run
// well, of the parts with the latest runs.
type soundRuns struct {
	maxParts         int
	recent, previous map[string]time.Time // recent becomes previous when it has half of maxParts
}

func (r *soundRuns) latest(part string) time.Time {
	if at, ok := r.recent[part]; ok {
		return at
	}
	return r.previous[part]
}

func (r *soundRuns) record(at time.Time, parts []string) {
	for _, p := range parts {
		if !r.latest(p).Before(at) {
			continue
		}
		if r.recent == nil || 2*len(r.recent) >= r.maxParts {
			r.recent, r.previous = make(map[string]time.Time), r.recent
		}
		r.recent[p] = at
	}
}
