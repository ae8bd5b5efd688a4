package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// Blame names the parts of which one has crashed targets.
type Blame struct {
	Parts    []string // sorted; more than one if they can't be told apart
	All      bool     // requests are refused that have all of the parts; otherwise, any of them
	Crashes  int
	Contents int
	Rounds   int
	Target   string    // that crashed last
	Last     time.Time // when it crashed
	Own      bool      // this daemon observed one of the crashes
}

// Refusal returns the reason why a request with these parts must not run, or nil. It is nil
// for one request at a time that tests whether a blame is still right, once it is due, if
// runsTrials says that this daemon runs the trials of the blame. The trial's outcome is
// reported like that of any run.
func (l *PartLedger) Refusal(now time.Time, id string, parts []string, runsTrials func(Blame) bool) *failure.Error {
	for _, b := range l.Blamed(now) {
		if b.in(parts) && !(runsTrials(b) && l.startTrial(now, id, b)) {
			return failure.New(failure.Quarantined, failure.NotRun, "quarantine", b.Target,
				"%d targets failed under %d requests with parts %q of their prompts", b.Crashes, b.Contents, b.Parts)
		}
	}
	return nil
}

// trial is a request that may run in spite of a blame.
type trial struct {
	id string
	at time.Time
}

// startTrial reports whether a request is the trial of a blame.
func (l *PartLedger) startTrial(now time.Time, id string, b Blame) bool {
	delay := l.settings.TrialDelay
	for range max(0, b.Rounds-l.settings.MinRounds) {
		delay = min(2*delay, l.settings.Decay)
	}
	last := l.trials[b.Name()]
	switch {
	case now.Sub(b.Last) < delay:
		return false
	case last.id == id && last.at.After(b.Last):
		return true
	case now.Sub(last.at) < delay: // another one runs, or was not sent
		return false
	}
	if l.trials == nil || len(l.trials) >= l.settings.MaxRecorded {
		l.trials = make(map[string]trial)
	}
	l.trials[b.Name()] = trial{id, now}
	return true
}

// Name identifies a blame by its parts.
func (b Blame) Name() string { return strings.Join(b.Parts, ",") }

// in reports whether requests with these parts are refused for the blame.
func (b Blame) in(parts []string) bool {
	has := func(p string) bool { return slices.Contains(parts, p) }
	if b.All {
		return !slices.ContainsFunc(b.Parts, func(p string) bool { return !has(p) })
	}
	return slices.ContainsFunc(b.Parts, has)
}

// Blamed returns the parts for which requests are refused, those with the most crashes
// first.
func (l *PartLedger) Blamed(now time.Time) []Blame {
	l.expire(now)
	if !l.current || !l.recheck.IsZero() && !now.Before(l.recheck) {
		l.blamed, l.current, l.recheck = l.findBlamed(now), true, time.Time{}
		if n := len(l.crashes); n > 0 && now.Sub(l.crashes[n-1].time) < l.settings.ConfirmTime {
			l.recheck = now.Add(l.settings.SettleTime)
		}
	}
	return l.blamed
}

func (l *PartLedger) findBlamed(now time.Time) (blamed []Blame) {
	for unexplained := slices.Clone(l.crashes); ; {
		evidence := l.evidence(now, unexplained)
		worst := ""
		for p := range evidence {
			if l.convincing(now, p, evidence[p], unexplained) && !l.explained(now, p, evidence) && (worst == "" || l.worse(now, p, worst, evidence)) {
				worst = p
			}
		}
		if worst == "" {
			return blamed
		}
		indexes := evidence[worst].all
		last := unexplained[indexes[len(indexes)-1]]
		b := Blame{
			Crashes: len(indexes), Contents: contents(worst, indexes, unexplained), Rounds: l.rounds(worst, indexes, unexplained),
			All: len(indexes) < l.settings.MaxAmbiguous, Target: last.target, Last: last.time,
			Own: slices.ContainsFunc(indexes, func(i int) bool { return unexplained[i].own }),
		}
		for p, e := range evidence {
			if l.recentlySound(now, p) == l.recentlySound(now, worst) && containsAll(e.settled, evidence[worst].settled) {
				b.Parts = append(b.Parts, p)
			}
		}
		slices.Sort(b.Parts)
		blamed = append(blamed, b)
		unexplained = slices.DeleteFunc(unexplained, func(c partCrash) bool { return c.partSet()[worst] })
	}
}

// partEvidence holds the indexes of the crashes at which a part was present, in order.
type partEvidence struct {
	all     []int
	settled []int // on which the reports of all daemons have arrived
}

// evidence returns the evidence that some crashes are against each part.
func (l *PartLedger) evidence(now time.Time, crashes []partCrash) map[string]partEvidence {
	out := make(map[string]partEvidence)
	for i, c := range crashes {
		settled := now.Sub(c.time) >= l.settings.SettleTime
		for p := range c.partSet() {
			e := out[p]
			e.all = append(e.all, i)
			if settled {
				e.settled = append(e.settled, i)
			}
			out[p] = e
		}
	}
	return out
}

// explained reports whether another part was present at all settled crashes of a part, and
// at more, or no crash is settled yet.
func (l *PartLedger) explained(now time.Time, part string, evidence map[string]partEvidence) bool {
	settled := evidence[part].settled
	for other, e := range evidence {
		if len(e.settled) > len(settled) && containsAll(e.settled, settled) && (l.recentlySound(now, part) || !l.recentlySound(now, other)) {
			return true
		}
	}
	return len(settled) == 0
}

// containsAll reports whether a sorted list has all elements of another one.
func containsAll(list, elements []int) bool {
	for _, e := range elements {
		if _, found := slices.BinarySearch(list, e); !found {
			return false
		}
	}
	return true
}

// convincing reports whether the evidence of some crashes is enough to blame a part.
func (l *PartLedger) convincing(now time.Time, part string, e partEvidence, crashes []partCrash) bool {
	indexes, sound, many := e.all, l.recentlySound(now, part), l.settings.MinCrashesIfSound
	if len(indexes) < l.settings.MinCrashes || sound && len(indexes) < many || sameContent(e.settled, crashes) {
		return false
	}
	if l.rounds(part, indexes, crashes) >= l.settings.MinRounds {
		return true
	}
	return !sound && len(indexes) >= many && now.Sub(crashes[indexes[many-1]].time) >= l.settings.ConfirmTime
}

func (l *PartLedger) recentlySound(now time.Time, part string) bool {
	at := l.sound.latest(part)
	return !at.IsZero() && now.Sub(at) <= l.settings.SoundTime
}

// worse reports whether part a is blamed before part b: one with which nothing ran well
// before one with which something did, then the one with more crashes.
func (l *PartLedger) worse(now time.Time, a, b string, evidence map[string]partEvidence) bool {
	if x, y := l.recentlySound(now, a), l.recentlySound(now, b); x != y {
		return y
	}
	return cmp.Or(cmp.Compare(len(evidence[a].all), len(evidence[b].all)), cmp.Compare(b, a)) > 0
}

// sameContent reports whether one request, by its content, was present at all of some crashes.
func sameContent(indexes []int, crashes []partCrash) bool {
	if len(indexes) == 0 {
		return true
	}
	for content := range crashes[indexes[0]].suspects {
		if !slices.ContainsFunc(indexes, func(i int) bool { _, ok := crashes[i].suspects[content]; return !ok }) {
			return true
		}
	}
	return false
}

// contents returns the number of different requests with a part at some crashes.
func contents(part string, indexes []int, crashes []partCrash) int {
	seen := make(map[uint64]bool)
	for _, i := range indexes {
		for content, s := range crashes[i].suspects {
			if slices.Contains(s.parts, part) {
				seen[content] = true
			}
		}
	}
	return len(seen)
}

// rounds returns the largest number of the crashes of which each, but the first, ended a
// run with the part that had begun after the one before, and were RoundTime apart.
func (l *PartLedger) rounds(part string, indexes []int, crashes []partCrash) (n int) {
	var last time.Time
	for _, i := range indexes {
		for _, s := range crashes[i].suspects {
			at := crashes[i].time
			if slices.Contains(s.parts, part) && (n == 0 || s.began.After(last) && at.Sub(last) >= l.settings.RoundTime) {
				n, last = n+1, at
				break
			}
		}
	}
	return n
}
