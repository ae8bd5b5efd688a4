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

// fromAnswer counts the lease from the answer instead of the request.
type fromAnswer struct{ *Lease }

func (m fromAnswer) Step(now time.Time, in LeaseInput) []LeaseDecision {
	out := m.Lease.Step(now, in)
	if _, wrote := in.(LeaseWriteResult); wrote && m.fencing != 0 {
		m.until = now.Add(m.settings.LeaseDuration.Std() + m.settings.LeaseMargin.Std())
	}
	return out
}

// impatient takes a lease over that was not renewed between two reads.
type impatient struct{ *Lease }

func (m impatient) Step(now time.Time, in LeaseInput) []LeaseDecision {
	if r, read := in.(LeaseReadResult); read && r.Version == m.version {
		m.seenAt = now.Add(-m.settings.LeaseDuration.Std())
	}
	return m.Lease.Step(now, in)
}

// hopeful takes a lost answer for success.
type hopeful struct{ *Lease }

func (m hopeful) Step(now time.Time, in LeaseInput) []LeaseDecision {
	if w, wrote := in.(LeaseWriteResult); wrote && w.Outcome == Undecidable {
		w.Outcome, w.Version = Written, m.version+1
		in = w
	}
	return m.Lease.Step(now, in)
}

// deaf ignores a conflict and goes on as the holder.
type deaf struct{ *Lease }

func (m deaf) Step(now time.Time, in LeaseInput) []LeaseDecision {
	if w, wrote := in.(LeaseWriteResult); wrote && w.Outcome == Conflicted {
		w.Outcome, w.Version = Written, m.version+1
		in = w
	}
	return m.Lease.Step(now, in)
}

// callTimeout is when a daemon gives up waiting for the platform's answer.
const callTimeout = 2 * time.Second

// call is one message under way to the store or back.
type call struct {
	node    int
	at      time.Time // when it takes effect, or arrives
	write   *WriteLease
	answer  LeaseInput
	expires time.Time
	lost    bool
}

// leaseWorld runs a few daemons against one lease object. Requests and answers
// are late or lost, daemons pause, and their clocks differ.
type leaseWorld struct {
	random  *rand.Rand
	now     time.Time
	nodes   []leaser
	offsets []time.Duration
	asleep  []time.Time // until when a node is paused
	waiting []*call     // the call a node waits for
	calls   []*call
	version int64
	record  Record
	taken   []int64 // fencing numbers in the order they were taken
}

func newLeaseWorld(seed uint64, nodes int, breakRule func(*Lease) leaser) *leaseWorld {
	w := &leaseWorld{random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_000_000, 0)}
	for i := range nodes {
		l := NewLease(DefaultSettings(), Candidate{ID: fmt.Sprint(i), Incarnation: 1})
		w.nodes = append(w.nodes, breakRule(l))
		w.offsets = append(w.offsets, time.Duration(w.random.Int64N(int64(time.Hour))))
		w.asleep = append(w.asleep, time.Time{})
		w.waiting = append(w.waiting, nil)
	}
	return w
}

func (w *leaseWorld) local(i int) time.Time { return w.now.Add(w.offsets[i]) }

// delay is mostly short and sometimes longer than a caller waits.
func (w *leaseWorld) delay() time.Duration {
	if w.random.IntN(10) == 0 {
		return time.Duration(w.random.Int64N(int64(8 * time.Second)))
	}
	return time.Duration(w.random.Int64N(int64(50 * time.Millisecond)))
}

func (w *leaseWorld) request(i int, d LeaseDecision) {
	c := &call{node: i, at: w.now.Add(w.delay()), expires: w.now.Add(callTimeout), lost: w.random.IntN(10) == 0}
	if d, write := d.(WriteLease); write {
		c.write = &d
	}
	w.waiting[i] = c
	w.calls = append(w.calls, c)
}

// effect applies a request at the store and sends the answer back.
func (w *leaseWorld) effect(c *call) {
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
	c.at = w.now.Add(w.delay())
}

func (w *leaseWorld) tell(i int, in LeaseInput) {
	for _, d := range w.nodes[i].Step(w.local(i), in) {
		switch d := d.(type) {
		case ReadLease, WriteLease:
			w.request(i, d)
		case LeaseAcquired:
			w.taken = append(w.taken, d.Fencing)
		}
	}
}

// advance moves the world on by one tick and returns a broken promise, if any.
func (w *leaseWorld) advance() error {
	w.now = w.now.Add(leaseTick)
	for _, c := range w.calls {
		if c.answer == nil && !w.now.Before(c.at) {
			w.effect(c)
		}
	}
	for i := range w.nodes {
		if w.random.IntN(400) == 0 {
			w.asleep[i] = w.now.Add(time.Duration(w.random.Int64N(int64(20 * time.Second))))
		}
		if w.now.Before(w.asleep[i]) {
			continue
		}
		w.deliver(i)
		w.tell(i, LeaseTick{Rank: i})
	}
	return w.check()
}

const leaseTick = 100 * time.Millisecond

func (w *leaseWorld) deliver(i int) {
	c := w.waiting[i]
	if c == nil {
		return
	}
	arrived := c.answer != nil && !c.lost && !w.now.Before(c.at)
	if !arrived && w.now.Before(c.expires) {
		return
	}
	w.waiting[i] = nil
	switch {
	case arrived:
		w.tell(i, c.answer)
	case c.write == nil:
		w.tell(i, LeaseReadResult{Failed: true})
	default:
		w.tell(i, LeaseWriteResult{WriteID: c.write.Record.WriteID, Outcome: Undecidable})
	}
}

func (w *leaseWorld) check() error {
	holders := 0
	for i, n := range w.nodes {
		if _, _, ok := n.Holds(w.local(i)); ok {
			holders++
		}
	}
	if holders > 1 {
		return fmt.Errorf("%d daemons hold the lease at once", holders)
	}
	for i := 1; i < len(w.taken); i++ {
		if w.taken[i] <= w.taken[i-1] {
			return fmt.Errorf("fencing number %d was taken after %d", w.taken[i], w.taken[i-1])
		}
	}
	return nil
}

const (
	leaseSeeds = 150
	leaseSteps = 1200 // two minutes a run
)

// explore returns how often the lease was taken over all seeds, and the first
// broken promise.
func explore(breakRule func(*Lease) leaser) (takes int, failed error) {
	for seed := uint64(1); seed <= leaseSeeds; seed++ {
		w := newLeaseWorld(seed, 3, breakRule)
		for range leaseSteps {
			if err := w.advance(); err != nil {
				return takes, fmt.Errorf("seed %d: %w", seed, err)
			}
		}
		takes += len(w.taken)
	}
	return takes, nil
}

func TestLeaseIsHeldByOneAtMost(t *testing.T) {
	Convey("Under late and lost answers, pauses and clocks that differ", t, func() {
		takes, failed := explore(func(l *Lease) leaser { return l })
		So(failed, ShouldBeNil)
		So(takes, ShouldBeGreaterThan, leaseSeeds) // the lease moved
	})
	Convey("Variants with one rule broken are caught", t, func() {
		variants := []struct {
			name string
			make func(*Lease) leaser
		}{
			{"counts from the answer", func(l *Lease) leaser { return fromAnswer{l} }},
			{"takes over too early", func(l *Lease) leaser { return impatient{l} }},
			{"takes a lost answer as won", func(l *Lease) leaser { return hopeful{l} }},
			{"ignores a conflict", func(l *Lease) leaser { return deaf{l} }},
		}
		for _, v := range variants {
			Convey(v.name, func() {
				_, failed := explore(v.make)
				So(failed, ShouldNotBeNil)
			})
		}
	})
}

func TestLeaseCases(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	s := DefaultSettings()
	take := func(l *Lease, now time.Time, version int64, r Record) {
		l.Step(now, LeaseTick{Rank: 0})
		l.Step(now, LeaseReadResult{Found: version > 0, Version: version, Record: r})
		l.Step(now, LeaseWriteResult{WriteID: l.written.WriteID, Version: version + 1, Outcome: Written})
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
			take(l, start, 7, Record{Fencing: 3})
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
