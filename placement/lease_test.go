package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// leaser is a Lease, or a variant of it with one rule broken.
type leaser interface {
	Step(now time.Time, in LeaseInput) []LeaseDecision
	Holds(now time.Time) (int64, bool, bool)
}

// expiryFromAnswer counts the lease from the answer instead of the request.
type expiryFromAnswer struct{ *Lease }

func (m expiryFromAnswer) Step(now time.Time, in LeaseInput) []LeaseDecision {
	out := m.Lease.Step(now, in)
	if _, isWrite := in.(LeaseWriteResult); isWrite && m.fencing != 0 {
		m.expiresAt = now.Add(m.settings.LeaseDuration.Std() + m.settings.LeaseMargin.Std())
	}
	return out
}

// earlyTakeover takes a lease over that was not renewed between two reads.
type earlyTakeover struct{ *Lease }

func (m earlyTakeover) Step(now time.Time, in LeaseInput) []LeaseDecision {
	if r, isRead := in.(LeaseReadResult); isRead && r.Version == m.version {
		m.seenAt = now.Add(-m.settings.LeaseDuration.Std())
	}
	return m.Lease.Step(now, in)
}

// lostAnswerAsSuccess takes a lost answer for success.
type lostAnswerAsSuccess struct{ *Lease }

func (m lostAnswerAsSuccess) Step(now time.Time, in LeaseInput) []LeaseDecision {
	if w, isWrite := in.(LeaseWriteResult); isWrite && w.Outcome == OutcomeUnknown {
		w.Outcome, w.Version = Written, m.version+1
		in = w
	}
	return m.Lease.Step(now, in)
}

// conflictAsSuccess ignores a conflict and goes on as the holder.
type conflictAsSuccess struct{ *Lease }

func (m conflictAsSuccess) Step(now time.Time, in LeaseInput) []LeaseDecision {
	if w, isWrite := in.(LeaseWriteResult); isWrite && w.Outcome == Conflicted {
		w.Outcome, w.Version = Written, m.version+1
		in = w
	}
	return m.Lease.Step(now, in)
}

// callTimeout is when a daemon gives up waiting for the platform's answer.
const callTimeout = 2 * time.Second

// call is one message under way to the store or back.
type call struct {
	daemon  int
	at      time.Time // when it takes effect, or arrives
	write   *WriteLease
	answer  LeaseInput
	expires time.Time
	lost    bool
}

// leaseSimulation runs a few daemons against one lease object. Requests and answers
// are late or lost, daemons pause, and their clocks differ.
type leaseSimulation struct {
	random      *rand.Rand
	now         time.Time
	daemons     []leaser
	offsets     []time.Duration
	pausedUntil []time.Time // until when a node is paused
	pending     []*call     // the call a node waits for
	calls       []*call
	version     int64
	record      Record
	fencings    []int64 // fencing numbers in the order they were taken
}

func newLeaseSimulation(seed uint64, daemons int, variant func(*Lease) leaser) *leaseSimulation {
	w := &leaseSimulation{random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_000_000, 0)}
	for i := range daemons {
		l := NewLease(DefaultSettings(), Candidate{ID: fmt.Sprint(i), Incarnation: 1})
		w.daemons = append(w.daemons, variant(l))
		w.offsets = append(w.offsets, time.Duration(w.random.Int64N(int64(time.Hour))))
		w.pausedUntil = append(w.pausedUntil, time.Time{})
		w.pending = append(w.pending, nil)
	}
	return w
}

func (w *leaseSimulation) localTime(i int) time.Time { return w.now.Add(w.offsets[i]) }

// randomDelay is mostly short and sometimes longer than a caller waits.
func (w *leaseSimulation) randomDelay() time.Duration {
	if w.random.IntN(10) == 0 {
		return time.Duration(w.random.Int64N(int64(8 * time.Second)))
	}
	return time.Duration(w.random.Int64N(int64(50 * time.Millisecond)))
}

func (w *leaseSimulation) request(i int, d LeaseDecision) {
	c := &call{daemon: i, at: w.now.Add(w.randomDelay()), expires: w.now.Add(callTimeout), lost: w.random.IntN(10) == 0}
	if d, ok := d.(WriteLease); ok {
		c.write = &d
	}
	w.pending[i] = c
	w.calls = append(w.calls, c)
}

// applyAtStore applies a request at the store and sends the answer back.
func (w *leaseSimulation) applyAtStore(c *call) {
	switch {
	case c.write == nil:
		c.answer = LeaseReadResult{Found: w.version > 0, Version: w.version, Record: w.record}
	case c.write.Expected == w.version:
		w.version++
		w.record = c.write.Record
		c.answer = LeaseWriteResult{WriteID: c.write.Record.WriteID, Version: w.version, Outcome: Written}
	default:
		c.answer = LeaseWriteResult{WriteID: c.write.Record.WriteID, Outcome: Conflicted}
	}
	c.at = w.now.Add(w.randomDelay())
}

func (w *leaseSimulation) step(i int, in LeaseInput) {
	for _, d := range w.daemons[i].Step(w.localTime(i), in) {
		switch d := d.(type) {
		case ReadLease, WriteLease:
			w.request(i, d)
		case LeaseAcquired:
			w.fencings = append(w.fencings, d.Fencing)
		}
	}
}

// advance moves the world on by one tick and returns a broken promise, if any.
func (w *leaseSimulation) advance() error {
	w.now = w.now.Add(leaseTick)
	for _, c := range w.calls {
		if c.answer == nil && !w.now.Before(c.at) {
			w.applyAtStore(c)
		}
	}
	for i := range w.daemons {
		if w.random.IntN(400) == 0 {
			w.pausedUntil[i] = w.now.Add(time.Duration(w.random.Int64N(int64(20 * time.Second))))
		}
		if w.now.Before(w.pausedUntil[i]) {
			continue
		}
		w.deliverAnswer(i)
		w.step(i, LeaseTick{Rank: i})
	}
	return w.checkInvariants()
}

const leaseTick = 100 * time.Millisecond

func (w *leaseSimulation) deliverAnswer(i int) {
	c := w.pending[i]
	if c == nil {
		return
	}
	arrived := c.answer != nil && !c.lost && !w.now.Before(c.at)
	if !arrived && w.now.Before(c.expires) {
		return
	}
	w.pending[i] = nil
	switch {
	case arrived:
		w.step(i, c.answer)
	case c.write == nil:
		w.step(i, LeaseReadResult{Failed: true})
	default:
		w.step(i, LeaseWriteResult{WriteID: c.write.Record.WriteID, Outcome: OutcomeUnknown})
	}
}

func (w *leaseSimulation) checkInvariants() error {
	holders := 0
	for i, n := range w.daemons {
		if _, _, ok := n.Holds(w.localTime(i)); ok {
			holders++
		}
	}
	if holders > 1 {
		return fmt.Errorf("%d daemons hold the lease at once", holders)
	}
	for i := 1; i < len(w.fencings); i++ {
		if w.fencings[i] <= w.fencings[i-1] {
			return fmt.Errorf("fencing number %d was taken after %d", w.fencings[i], w.fencings[i-1])
		}
	}
	return nil
}

const (
	leaseSeeds = 150
	leaseSteps = 1200 // two minutes a run
)

// runSeeds returns how often the lease was taken over all seeds, and the first
// broken promise.
func runSeeds(variant func(*Lease) leaser) (acquisitions int, violation error) {
	for seed := uint64(1); seed <= leaseSeeds; seed++ {
		w := newLeaseSimulation(seed, 3, variant)
		for range leaseSteps {
			if err := w.advance(); err != nil {
				return acquisitions, fmt.Errorf("seed %d: %w", seed, err)
			}
		}
		acquisitions += len(w.fencings)
	}
	return acquisitions, nil
}

func TestLeaseIsHeldByOneAtMost(t *testing.T) {
	Convey("Under late and lost answers, pauses and clocks that differ", t, func() {
		acquisitions, violation := runSeeds(func(l *Lease) leaser { return l })
		So(violation, ShouldBeNil)
		So(acquisitions, ShouldBeGreaterThan, leaseSeeds) // the lease moved
	})
	Convey("Variants with one rule broken are caught", t, func() {
		variants := []struct {
			name string
			wrap func(*Lease) leaser
		}{
			{"counts from the answer", func(l *Lease) leaser { return expiryFromAnswer{l} }},
			{"takes over too early", func(l *Lease) leaser { return earlyTakeover{l} }},
			{"takes a lost answer as won", func(l *Lease) leaser { return lostAnswerAsSuccess{l} }},
			{"ignores a conflict", func(l *Lease) leaser { return conflictAsSuccess{l} }},
		}
		for _, v := range variants {
			Convey(v.name, func() {
				_, violation := runSeeds(v.wrap)
				So(violation, ShouldNotBeNil)
			})
		}
	})
}

func TestLeaseCases(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	s := DefaultSettings()
	acquire := func(l *Lease, now time.Time, version int64, r Record) {
		l.Step(now, LeaseTick{Rank: 0})
		l.Step(now, LeaseReadResult{Found: version > 0, Version: version, Record: r})
		l.Step(now, LeaseWriteResult{WriteID: l.lastWrite.WriteID, Version: version + 1, Outcome: Written})
	}
	Convey("Given a lease that was taken", t, func() {
		l := NewLease(s, Candidate{ID: "a", Incarnation: 5})
		l.Step(start, LeaseTick{Rank: 0})
		out := l.Step(start, LeaseReadResult{})
		So(out, ShouldResemble, []LeaseDecision{WriteLease{Record: Record{Holder: "a", Incarnation: 5, Fencing: 1, WriteID: 1}}})
		So(l.Step(start, LeaseWriteResult{WriteID: 1, Version: 1, Outcome: Written}), ShouldResemble, []LeaseDecision{LeaseAcquired{1}})
		Convey("targets that ignore fencing are ordered only after an order's time", func() {
			_, unchecked, ok := l.Holds(start)
			So(ok, ShouldBeTrue)
			So(unchecked, ShouldBeFalse)
			_, unchecked, _ = l.Holds(start.Add(s.OrderTimeout.Std()))
			So(unchecked, ShouldBeTrue)
		})
		Convey("a holder that was paused past its lease orders nothing when it wakes", func() {
			_, _, ok := l.Holds(start.Add(time.Minute))
			So(ok, ShouldBeFalse)
			So(l.Step(start.Add(time.Minute), LeaseTick{}), ShouldContain, LeaseDecision(LeaseLost{}))
		})
		Convey("it stops well before the lease ends", func() {
			_, _, ok := l.Holds(start.Add(s.LeaseDuration.Std() - s.LeaseMargin.Std()))
			So(ok, ShouldBeFalse)
		})
		Convey("a planned stop releases it on top of the version held", func() {
			So(l.Release(), ShouldResemble, []LeaseDecision{WriteLease{Expected: 1, Record: Record{Fencing: 1}}})
			_, _, ok := l.Holds(start)
			So(ok, ShouldBeFalse)
		})
	})
	Convey("Given a lease that another daemon holds", t, func() {
		l := NewLease(s, Candidate{ID: "b", Incarnation: 5})
		other := LeaseReadResult{Found: true, Version: 7, Record: Record{Holder: "a", Incarnation: 1, Fencing: 3}}
		Convey("it is not taken before a whole duration was seen without renewal", func() {
			l.Step(start, LeaseTick{Rank: 0})
			So(l.Step(start, other), ShouldBeEmpty)
			So(l.Step(start.Add(s.LeaseDuration.Std()-1), other), ShouldBeEmpty)
			So(l.Step(start.Add(s.LeaseDuration.Std()), other), ShouldHaveLength, 1)
		})
		Convey("a released one is taken at once, with a higher fencing number", func() {
			acquire(l, start, 7, Record{Fencing: 3})
			So(l.record.Fencing, ShouldEqual, 4)
		})
		Convey("one that an earlier run of this daemon held is taken at once", func() {
			l.Step(start, LeaseTick{Rank: 0})
			out := l.Step(start, LeaseReadResult{Found: true, Version: 7, Record: Record{Holder: "b", Incarnation: 4, Fencing: 3}})
			So(out, ShouldHaveLength, 1)
		})
		Convey("a daemon that is no candidate asks nothing", func() {
			So(l.Step(start, LeaseTick{Rank: -1}), ShouldBeEmpty)
		})
	})
}
