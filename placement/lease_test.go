package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// leaseMachine is a Lease, or a faulty variant that breaks one of its rules.
type leaseMachine interface {
	Step(now time.Time, in LeaseInput) []LeaseDecision
	Holds(now time.Time) (int64, bool, bool)
}

// expiryFromResponse is a faulty Lease. It counts the lease duration from the
// response to a write instead of from the request, and it sends orders until the
// end of the lease.
type expiryFromResponse struct{ *Lease }

func (m expiryFromResponse) Step(now time.Time, in LeaseInput) []LeaseDecision {
	out := m.Lease.Step(now, in)
	if _, isWrite := in.(LeaseWriteResult); isWrite && m.fencing != 0 {
		m.expiresAt = now.Add(m.settings.LeaseDuration.Std() + m.settings.LeaseMargin.Std())
	}
	return out
}

// earlyTakeover is a faulty Lease. It takes over a lease that was not renewed
// between two reads, without waiting for a LeaseDuration.
type earlyTakeover struct{ *Lease }

func (m earlyTakeover) Step(now time.Time, in LeaseInput) []LeaseDecision {
	if r, isRead := in.(LeaseReadResult); isRead && r.Version == m.version {
		m.seenAt = now.Add(-m.settings.LeaseDuration.Std())
	}
	return m.Lease.Step(now, in)
}

// lostResponseAsSuccess is a faulty Lease. It treats a write whose response was lost
// as successful.
type lostResponseAsSuccess struct{ *Lease }

func (m lostResponseAsSuccess) Step(now time.Time, in LeaseInput) []LeaseDecision {
	if w, isWrite := in.(LeaseWriteResult); isWrite && w.Outcome == OutcomeUnknown {
		w.Outcome, w.Version = Written, m.version+1
		in = w
	}
	return m.Lease.Step(now, in)
}

// conflictAsSuccess is a faulty Lease. It treats a write that conflicted as
// successful.
type conflictAsSuccess struct{ *Lease }

func (m conflictAsSuccess) Step(now time.Time, in LeaseInput) []LeaseDecision {
	if w, isWrite := in.(LeaseWriteResult); isWrite && w.Outcome == Conflicted {
		w.Outcome, w.Version = Written, m.version+1
		in = w
	}
	return m.Lease.Step(now, in)
}

// callTimeout is how long a daemon waits for the platform's response.
const callTimeout = 2 * time.Second

// call is a request to the store and its response.
type call struct {
	daemon   int
	at       time.Time   // when the request takes effect; once it has, when the response arrives
	write    *WriteLease // nil for a read
	response LeaseInput  // nil until the request takes effect
	expires  time.Time   // when the daemon stops waiting for the response
	lost     bool        // the response never arrives
}

// leaseSimulation runs a few daemons against one lease object. Requests and
// responses are delayed or lost, daemons pause, and their clocks differ.
type leaseSimulation struct {
	random      *rand.Rand
	now         time.Time
	daemons     []leaseMachine
	offsets     []time.Duration // of each daemon's clock
	pausedUntil []time.Time     // end of each daemon's pause
	pending     []*call         // the call that each daemon waits for, or nil
	calls       []*call         // all calls so far
	version     int64
	record      Record
	fencings    []int64 // fencing numbers in the order of acquisition
}

func newLeaseSimulation(seed uint64, daemons int, variant func(*Lease) leaseMachine) *leaseSimulation {
	s := &leaseSimulation{random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1_000_000, 0)}
	for i := range daemons {
		l := NewLease(DefaultSettings(), Candidate{ID: fmt.Sprint(i), Incarnation: 1})
		s.daemons = append(s.daemons, variant(l))
		s.offsets = append(s.offsets, time.Duration(s.random.Int64N(int64(time.Hour))))
		s.pausedUntil = append(s.pausedUntil, time.Time{})
		s.pending = append(s.pending, nil)
	}
	return s
}

func (s *leaseSimulation) localTime(i int) time.Time { return s.now.Add(s.offsets[i]) }

// randomDelay returns a delay that is usually short and sometimes longer than
// callTimeout.
func (s *leaseSimulation) randomDelay() time.Duration {
	if s.random.IntN(10) == 0 {
		return time.Duration(s.random.Int64N(int64(8 * time.Second)))
	}
	return time.Duration(s.random.Int64N(int64(50 * time.Millisecond)))
}

func (s *leaseSimulation) request(i int, d LeaseDecision) {
	c := &call{daemon: i, at: s.now.Add(s.randomDelay()), expires: s.now.Add(callTimeout), lost: s.random.IntN(10) == 0}
	if d, ok := d.(WriteLease); ok {
		c.write = &d
	}
	s.pending[i] = c
	s.calls = append(s.calls, c)
}

// applyAtStore applies a request at the store and sends the response.
func (s *leaseSimulation) applyAtStore(c *call) {
	switch {
	case c.write == nil:
		c.response = LeaseReadResult{Found: s.version > 0, Version: s.version, Record: s.record}
	case c.write.Expected == s.version:
		s.version++
		s.record = c.write.Record
		c.response = LeaseWriteResult{WriteID: c.write.Record.WriteID, Version: s.version, Outcome: Written}
	default:
		c.response = LeaseWriteResult{WriteID: c.write.Record.WriteID, Outcome: Conflicted}
	}
	c.at = s.now.Add(s.randomDelay())
}

func (s *leaseSimulation) step(i int, in LeaseInput) {
	for _, d := range s.daemons[i].Step(s.localTime(i), in) {
		switch d := d.(type) {
		case ReadLease, WriteLease:
			s.request(i, d)
		case LeaseAcquired:
			s.fencings = append(s.fencings, d.Fencing)
		}
	}
}

// advance advances the simulation by one tick and returns an error if an
// invariant is violated.
func (s *leaseSimulation) advance() error {
	s.now = s.now.Add(leaseTick)
	for _, c := range s.calls {
		if c.response == nil && !s.now.Before(c.at) {
			s.applyAtStore(c)
		}
	}
	for i := range s.daemons {
		if s.random.IntN(400) == 0 {
			s.pausedUntil[i] = s.now.Add(time.Duration(s.random.Int64N(int64(20 * time.Second))))
		}
		if s.now.Before(s.pausedUntil[i]) {
			continue
		}
		s.deliverResponse(i)
		s.step(i, LeaseTick{Rank: i})
	}
	return s.checkInvariants()
}

const leaseTick = 100 * time.Millisecond

func (s *leaseSimulation) deliverResponse(i int) {
	c := s.pending[i]
	if c == nil {
		return
	}
	arrived := c.response != nil && !c.lost && !s.now.Before(c.at)
	if !arrived && s.now.Before(c.expires) {
		return
	}
	s.pending[i] = nil
	switch {
	case arrived:
		s.step(i, c.response)
	case c.write == nil:
		s.step(i, LeaseReadResult{Failed: true})
	default:
		s.step(i, LeaseWriteResult{WriteID: c.write.Record.WriteID, Outcome: OutcomeUnknown})
	}
}

func (s *leaseSimulation) checkInvariants() error {
	holders := 0
	for i, d := range s.daemons {
		if _, _, ok := d.Holds(s.localTime(i)); ok {
			holders++
		}
	}
	if holders > 1 {
		return fmt.Errorf("%d daemons hold the lease at once, want at most 1", holders)
	}
	for i := 1; i < len(s.fencings); i++ {
		if s.fencings[i] <= s.fencings[i-1] {
			return fmt.Errorf("fencing number %d was acquired after %d, want a greater one", s.fencings[i], s.fencings[i-1])
		}
	}
	return nil
}

const (
	leaseSeeds = 150
	leaseSteps = 1200 // two minutes of simulated time per seed
)

// runSeeds runs the simulation for all seeds. It returns how often the lease was
// acquired, and the first violation of an invariant.
func runSeeds(variant func(*Lease) leaseMachine) (acquisitions int, violation error) {
	for seed := uint64(1); seed <= leaseSeeds; seed++ {
		s := newLeaseSimulation(seed, 3, variant)
		for range leaseSteps {
			if err := s.advance(); err != nil {
				return acquisitions, fmt.Errorf("seed %d: %w", seed, err)
			}
		}
		acquisitions += len(s.fencings)
	}
	return acquisitions, nil
}

func TestLeaseIsHeldByOneAtMost(t *testing.T) {
	Convey("With delayed and lost responses, pauses and different clocks, at most one daemon holds the lease", t, func() {
		acquisitions, violation := runSeeds(func(l *Lease) leaseMachine { return l })
		So(violation, ShouldBeNil)
		So(acquisitions, ShouldBeGreaterThan, leaseSeeds) // otherwise the lease never changed its holder
	})
	Convey("The simulation detects faulty variants, each of which breaks one rule", t, func() {
		variants := []struct {
			name string
			wrap func(*Lease) leaseMachine
		}{
			{"counts the lease duration from the response", func(l *Lease) leaseMachine { return expiryFromResponse{l} }},
			{"takes the lease over before it expires", func(l *Lease) leaseMachine { return earlyTakeover{l} }},
			{"treats a lost response as success", func(l *Lease) leaseMachine { return lostResponseAsSuccess{l} }},
			{"treats a conflict as success", func(l *Lease) leaseMachine { return conflictAsSuccess{l} }},
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
	Convey("Given a lease that this daemon acquired", t, func() {
		l := NewLease(s, Candidate{ID: "a", Incarnation: 5})
		l.Step(start, LeaseTick{Rank: 0})
		out := l.Step(start, LeaseReadResult{})
		So(out, ShouldResemble, []LeaseDecision{WriteLease{Record: Record{Holder: "a", Incarnation: 5, Fencing: 1, WriteID: 1}}})
		So(l.Step(start, LeaseWriteResult{WriteID: 1, Version: 1, Outcome: Written}), ShouldResemble, []LeaseDecision{LeaseAcquired{1}})
		Convey("orders may be sent to targets that ignore fencing numbers only after OrderTimeout", func() {
			_, allowUnfenced, ok := l.Holds(start)
			So(ok, ShouldBeTrue)
			So(allowUnfenced, ShouldBeFalse)
			_, allowUnfenced, _ = l.Holds(start.Add(s.OrderTimeout.Std()))
			So(allowUnfenced, ShouldBeTrue)
		})
		Convey("a holder that resumes after its lease expired may not send orders and reports the loss", func() {
			_, _, ok := l.Holds(start.Add(time.Minute))
			So(ok, ShouldBeFalse)
			So(l.Step(start.Add(time.Minute), LeaseTick{}), ShouldContain, LeaseDecision(LeaseLost{}))
		})
		Convey("it stops sending orders LeaseMargin before the lease ends", func() {
			_, _, ok := l.Holds(start.Add(s.LeaseDuration.Std() - s.LeaseMargin.Std()))
			So(ok, ShouldBeFalse)
		})
		Convey("a planned stop releases it with a write conditional on the held version", func() {
			So(l.Release(), ShouldResemble, []LeaseDecision{WriteLease{Expected: 1, Record: Record{Fencing: 1}}})
			_, _, ok := l.Holds(start)
			So(ok, ShouldBeFalse)
		})
	})
	Convey("Given a lease that another daemon holds", t, func() {
		l := NewLease(s, Candidate{ID: "b", Incarnation: 5})
		other := LeaseReadResult{Found: true, Version: 7, Record: Record{Holder: "a", Incarnation: 1, Fencing: 3}}
		Convey("it is not acquired before a full LeaseDuration without renewal", func() {
			l.Step(start, LeaseTick{Rank: 0})
			So(l.Step(start, other), ShouldBeEmpty)
			So(l.Step(start.Add(s.LeaseDuration.Std()-1), other), ShouldBeEmpty)
			So(l.Step(start.Add(s.LeaseDuration.Std()), other), ShouldHaveLength, 1)
		})
		Convey("a released lease is acquired at once, with a higher fencing number", func() {
			acquire(l, start, 7, Record{Fencing: 3})
			So(l.record.Fencing, ShouldEqual, 4)
		})
		Convey("a lease that an earlier incarnation of this daemon held is acquired at once", func() {
			l.Step(start, LeaseTick{Rank: 0})
			out := l.Step(start, LeaseReadResult{Found: true, Version: 7, Record: Record{Holder: "b", Incarnation: 4, Fencing: 3}})
			So(out, ShouldHaveLength, 1)
		})
		Convey("a daemon that is not a candidate sends no request", func() {
			So(l.Step(start, LeaseTick{Rank: -1}), ShouldBeEmpty)
		})
	})
}
