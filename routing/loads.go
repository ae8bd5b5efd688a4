package routing

import (
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// othersWeight is the weight of the newest report in the mean of what others
// run on a target. All daemons see the same reports; a small weight keeps them
// from moving to the same target together and back.
const othersWeight = 0.1

// maxOwnChanges bounds the own changes kept per target between two reports.
const maxOwnChanges = 512

// Loads is what a daemon knows of its targets' load. It is not safe for
// concurrent use.
type Loads struct {
	targets map[string]*targetLoad
}

type targetLoad struct {
	report                  target.Load
	reportTime              time.Time // when the report was true; zero before the first
	previousIncarnationSeen time.Time // last start of a poll that saw the incarnation before
	lastPolled              time.Time // start of the newest poll that succeeded
	down                    bool
	ownRequests             int         // own requests now
	othersMean              float64     // mean of what others run and wait for
	ownChanges              []ownChange // own, since the report was true
}

// ownChange is an own grant (+1) or release (-1).
type ownChange struct {
	at    time.Time
	delta int
}

// NewLoads returns loads without targets.
func NewLoads() *Loads { return &Loads{targets: make(map[string]*targetLoad)} }

func (l *Loads) target(name string) *targetLoad {
	t := l.targets[name]
	if t == nil {
		t = &targetLoad{}
		l.targets[name] = t
	}
	return t
}

// AddOwn notes an own grant (+1) or release (-1).
func (l *Loads) AddOwn(now time.Time, name string, delta int) {
	t := l.target(name)
	t.ownRequests += delta
	if len(t.ownChanges) == maxOwnChanges {
		t.ownChanges[1].delta += t.ownChanges[0].delta
		t.ownChanges = append(t.ownChanges[:0], t.ownChanges[1:]...)
	}
	t.ownChanges = append(t.ownChanges, ownChange{now, delta})
}

// ApplyReport takes the report of a poll that was sent at asked. It returns whether
// the target was down, and whether it runs anew since the last report.
func (l *Loads) ApplyReport(asked time.Time, name string, report target.Load) (back, restarted bool) {
	t := l.target(name)
	back, t.down = t.down, false
	restarted = t.report.Incarnation != 0 && report.Incarnation != t.report.Incarnation
	if restarted {
		t.previousIncarnationSeen = t.lastPolled
	}
	t.lastPolled = asked
	t.report = report
	first := t.reportTime.IsZero()
	t.reportTime = asked.Add(-time.Duration(report.AgeMillis) * time.Millisecond)
	t.prune()
	t.updateOthers(first || restarted)
	return back, restarted
}

// updateOthers takes the part of the report that is not this daemon's.
func (t *targetLoad) updateOthers(anew bool) {
	then := t.ownRequests
	for _, c := range t.ownChanges {
		then -= c.delta
	}
	others := float64(max(0, t.report.Running+t.report.Queued-then))
	if anew {
		t.othersMean = others
		return
	}
	t.othersMean += othersWeight * (others - t.othersMean)
}

// prune forgets the changes that the report contains.
func (t *targetLoad) prune() {
	for i, c := range t.ownChanges {
		if c.at.After(t.reportTime) {
			t.ownChanges = append(t.ownChanges[:0], t.ownChanges[i:]...)
			return
		}
	}
	t.ownChanges = t.ownChanges[:0]
}

// MarkDown notes that a poll, a probe or an open found the target dead.
func (l *Loads) MarkDown(name string) { l.target(name).down = true }

// Down tells whether the target was seen dead and no poll succeeded since.
func (l *Loads) Down(name string) bool {
	t := l.targets[name]
	return t != nil && t.down
}

// Report returns the newest report and when it was true.
func (l *Loads) Report(name string) (target.Load, time.Time) {
	if t := l.targets[name]; t != nil {
		return t.report, t.reportTime
	}
	return target.Load{}, time.Time{}
}

// PreviousIncarnationSeen returns a time before which everything granted on the target
// ran on the incarnation before the reported one; zero if there was none.
func (l *Loads) PreviousIncarnationSeen(name string) time.Time {
	if t := l.targets[name]; t != nil {
		return t.previousIncarnationSeen
	}
	return time.Time{}
}

// Estimate returns the requests that run and wait on the target: the own ones,
// and the mean of what reports tell of others.
func (l *Loads) Estimate(name string) float64 {
	if t := l.targets[name]; t != nil {
		return float64(t.ownRequests) + t.othersMean
	}
	return 0
}

// Retain forgets the targets for which fn returns false and on which nothing of
// this daemon runs.
func (l *Loads) Retain(fn func(name string) bool) {
	for name, t := range l.targets {
		if t.ownRequests == 0 && !fn(name) {
			delete(l.targets, name)
		}
	}
}
