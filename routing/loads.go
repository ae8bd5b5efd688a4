package routing

import (
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// othersWeight is the weight of the newest report in the moving average of the load
// that other daemons put on a target. All daemons see the same reports; a small weight
// prevents them from moving to the same target together and back.
const othersWeight = 0.1

// maxOwnChanges is the maximum number of ownChanges kept per target between two reports.
const maxOwnChanges = 512

// Loads tracks the load of targets as one daemon sees it. It is not safe for
// concurrent use.
type Loads struct {
	targets map[string]*targetLoad
}

type targetLoad struct {
	report                  target.Load
	reportTime              time.Time // when the report was made; zero before the first
	previousIncarnationSeen time.Time // start of the last poll that succeeded before the newest restart; zero if none was seen
	lastPolled              time.Time // start of the last poll that succeeded
	down                    bool
	ownRequests             int         // current requests of this daemon on the target
	othersMean              float64     // moving average of the requests of other daemons, running and queued
	ownChanges              []ownChange // since reportTime
}

// ownChange is a permit that this daemon granted (+1) or released (-1).
type ownChange struct {
	at    time.Time
	delta int
}

// NewLoads returns Loads without targets.
func NewLoads() *Loads { return &Loads{targets: make(map[string]*targetLoad)} }

// target returns the load of a target, and adds it if it is new.
func (l *Loads) target(name string) *targetLoad {
	t := l.targets[name]
	if t == nil {
		t = &targetLoad{}
		l.targets[name] = t
	}
	return t
}

// AddOwn records a permit that this daemon granted (delta 1) or released (delta -1).
func (l *Loads) AddOwn(now time.Time, name string, delta int) {
	t := l.target(name)
	t.ownRequests += delta
	if len(t.ownChanges) == maxOwnChanges {
		t.ownChanges[1].delta += t.ownChanges[0].delta
		t.ownChanges = append(t.ownChanges[:0], t.ownChanges[1:]...)
	}
	t.ownChanges = append(t.ownChanges, ownChange{now, delta})
}

// ApplyReport applies the report of a poll that was sent at sentAt. It returns whether
// the target was down before, and whether it has restarted since the last report.
func (l *Loads) ApplyReport(sentAt time.Time, name string, report target.Load) (recovered, restarted bool) {
	t := l.target(name)
	recovered, t.down = t.down, false
	restarted = t.report.Incarnation != 0 && report.Incarnation != t.report.Incarnation
	if restarted {
		t.previousIncarnationSeen = t.lastPolled
	}
	t.lastPolled = sentAt
	t.report = report
	first := t.reportTime.IsZero()
	t.reportTime = sentAt.Add(-time.Duration(report.AgeMillis) * time.Millisecond)
	t.prune()
	t.updateOthers(first || restarted)
	return recovered, restarted
}

// updateOthers updates othersMean with the part of the report that is not caused by this
// daemon. If reset is set, earlier reports no longer count.
func (t *targetLoad) updateOthers(reset bool) {
	ownAtReport := t.ownRequests
	for _, c := range t.ownChanges {
		ownAtReport -= c.delta
	}
	others := float64(max(0, t.report.Running+t.report.Queued-ownAtReport))
	if reset {
		t.othersMean = others
		return
	}
	t.othersMean += othersWeight * (others - t.othersMean)
}

// prune drops the changes of ownChanges that the report includes.
func (t *targetLoad) prune() {
	for i, c := range t.ownChanges {
		if c.at.After(t.reportTime) {
			t.ownChanges = append(t.ownChanges[:0], t.ownChanges[i:]...)
			return
		}
	}
	t.ownChanges = t.ownChanges[:0]
}

// MarkDown records that a target failed a poll, a probe or the opening of a stream.
func (l *Loads) MarkDown(name string) { l.target(name).down = true }

// Down reports whether the target was marked down and no poll has succeeded since.
func (l *Loads) Down(name string) bool {
	t := l.targets[name]
	return t != nil && t.down
}

// Report returns the last report of a target and the time at which it was made.
func (l *Loads) Report(name string) (target.Load, time.Time) {
	if t := l.targets[name]; t != nil {
		return t.report, t.reportTime
	}
	return target.Load{}, time.Time{}
}

// PreviousIncarnationSeen returns the start of the last poll that the target answered
// before its newest restart. Permits granted before that time belong to a terminated
// incarnation. The time is zero if no restart was seen.
func (l *Loads) PreviousIncarnationSeen(name string) time.Time {
	if t := l.targets[name]; t != nil {
		return t.previousIncarnationSeen
	}
	return time.Time{}
}

// Estimate returns the estimated number of requests that run or wait on the target: the
// current ones of this daemon plus the moving average of those of other daemons.
func (l *Loads) Estimate(name string) float64 {
	if t := l.targets[name]; t != nil {
		return float64(t.ownRequests) + t.othersMean
	}
	return 0
}

// Retain drops the targets for which keep returns false and on which this daemon runs
// no request.
func (l *Loads) Retain(keep func(name string) bool) {
	for name, t := range l.targets {
		if t.ownRequests == 0 && !keep(name) {
			delete(l.targets, name)
		}
	}
}
