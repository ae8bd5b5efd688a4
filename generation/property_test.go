package generation

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/vanillaroad/vanillaroad/target"
)

// propertySeed makes the property tests reproducible.
const propertySeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", propertySeed); err != nil {
		panic(err)
	}
	if code := m.Run(); code != 0 {
		os.Exit(code)
	}
	if err := goleak.Find(); err != nil {
		panic(err)
	}
}

// TestAnswerStaysWholeInAnyWorld checks in random simulations with faults that every
// answer ends, that its tokens follow each other without a gap or repetition, and
// that every permit is released.
func TestAnswerStaysWholeInAnyWorld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		if err := newSimulation(choose, nil).run(); err != nil {
			t.Fatal(err)
		}
	})
}

// seededRuns is the number of simulations with fixed seeds for each variant.
const seededRuns = 3000

// firstFailure returns the first seed whose simulation fails, and the error. A nil
// variant is the correct machine.
func firstFailure(variant *mutant) (seed uint64, err error) {
	for seed = range uint64(seededRuns) {
		rng := rand.New(rand.NewPCG(seed, 1))
		if err = newSimulation(rng.IntN, variant).run(); err != nil {
			return seed, err
		}
	}
	return 0, nil
}

// mutant is a deliberately faulty variant of Machine.Step that breaks one rule. The
// simulations must detect every mutant.
type mutant struct {
	name string
	step func(m *Machine, now time.Time, in Input) []Decision
}

// without returns the decisions for which drop is false.
func without(ds []Decision, drop func(Decision) bool) []Decision {
	var out []Decision
	for _, d := range ds {
		if !drop(d) {
			out = append(out, d)
		}
	}
	return out
}

// asCurrent changes a token event so that it seems to come from the current
// attempt's newest connection.
func asCurrent(m *Machine, in Input) Input {
	r, ok := in.(Received)
	if ok && m.current != nil && m.current.holdsTarget() && r.Event.Kind == target.TokenEvent {
		r.Attempt, r.Connection = m.current.number, m.current.connection
	}
	return r
}

var mutants = []*mutant{
	{"accepts tokens of a previous attempt", func(m *Machine, now time.Time, in Input) []Decision {
		if _, ok := in.(Received); ok {
			in = asCurrent(m, in)
		}
		return m.Step(now, in)
	}},
	{"opens an attempt without the forced prefix", func(m *Machine, now time.Time, in Input) []Decision {
		ds := m.Step(now, in)
		for i, d := range ds {
			if o, ok := d.(Open); ok {
				o.Forced = nil
				ds[i] = o
			}
		}
		return ds
	}},
	{"accepts a gap in the positions", func(m *Machine, now time.Time, in Input) []Decision {
		if r, ok := in.(Received); ok && r.Event.Kind == target.TokenEvent && r.Event.Position > m.position() {
			r.Event.Position = m.position()
			in = r
		}
		return m.Step(now, in)
	}},
	{"accepts a repeated position", func(m *Machine, now time.Time, in Input) []Decision {
		if r, ok := in.(Received); ok && r.Event.Kind == target.TokenEvent && r.Event.Position < m.position() {
			r.Event.Position = m.position()
			in = r
		}
		return m.Step(now, in)
	}},
	{"keeps a standby whose forced prefix is outdated", func(m *Machine, now time.Time, in Input) []Decision {
		s, c := m.standby, m.current
		ds := m.Step(now, in)
		if s != nil && s.holdsTarget() && m.standby == nil && m.current == c && !m.finished {
			m.standby = s
			return without(ds, func(d Decision) bool { e, ok := d.(End); return ok && e.Attempt == s.number })
		}
		return ds
	}},
	{"does not release the permit of a late grant", func(m *Machine, now time.Time, in Input) []Decision {
		r, lateGrant := in.(Routed)
		lateGrant = lateGrant && m.findAttempt(r.Attempt) == nil
		return without(m.Step(now, in), func(d Decision) bool { _, ok := d.(End); return ok && lateGrant })
	}},
	{"does not release the permit of a crashed target", func(m *Machine, now time.Time, in Input) []Decision {
		return without(m.Step(now, in), func(d Decision) bool { e, ok := d.(End); return ok && e.Cause == EndDied })
	}},
	{"ignores Tick", func(m *Machine, now time.Time, in Input) []Decision {
		if _, ok := in.(Tick); ok {
			return nil
		}
		return m.Step(now, in)
	}},
	{"accepts done at any position", func(m *Machine, now time.Time, in Input) []Decision {
		if r, ok := in.(Received); ok && r.Event.Kind == target.DoneEvent {
			r.Event.Position = m.position()
			in = r
		}
		return m.Step(now, in)
	}},
}

func TestBrokenVariantsAreCaught(t *testing.T) {
	Convey("The machine passes the simulations of all seeds", t, func() {
		_, err := firstFailure(nil)
		So(err, ShouldBeNil)
	})
	for _, v := range mutants {
		Convey("A machine that "+v.name+" is detected", t, func() {
			seed, err := firstFailure(v)
			So(err, ShouldNotBeNil)
			t.Logf("%s: seed %d: %v", v.name, seed, err)
		})
	}
}
