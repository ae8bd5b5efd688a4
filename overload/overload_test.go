package overload

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"
)

var (
	modelScale = flag.Int("overload.scale", 1, "size of the model: 60 targets and 30 daemons times this")
	modelSeeds = flag.Uint64("overload.seeds", 1, "number of seeds of each load")
)

// burst is 3.5 times the usual load between 10 and 30 s, and none after 50 s.
func burst(usual float64) func(time.Duration) float64 { return load(usual, 3.5*usual) }

func load(usual, peak float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		switch {
		case at >= 50*time.Second:
			return 0
		case at >= 10*time.Second && at < 30*time.Second:
			return peak * float64(*modelScale)
		}
		return usual * float64(*modelScale)
	}
}

// modelKinds returns an urgent and a less urgent kind of streams.
func modelKinds(load func(float64) func(time.Duration) float64) []modelKind {
	return []modelKind{
		{objective: 4 * time.Second, perSecond: load(6), workspace: "a"},
		{priority: 2, objective: 10 * time.Second, perSecond: load(13.7), workspace: "b"},
	}
}

// play runs a load for each seed. A quarter of the targets is one failure domain; lost is the
// part of it that is down from 15 s on for a time.
func play(t *testing.T, decides bool, lost float64, down time.Duration, kinds []modelKind, check func(t *testing.T, m *model)) {
	for seed := range *modelSeeds {
		m := newModel(seed, decides, 30**modelScale, 60**modelScale, kinds...)
		m.run(15 * time.Second)
		m.lose(int(lost*float64(15**modelScale)), 15*time.Second+down)
		m.run(80 * time.Second)
		for i, c := range m.counts {
			t.Logf("seed %d, decides %v, kind %d: %+v", seed, decides, i, c)
			if c.freeAtRefusal > 0 {
				t.Errorf("seed %d: %d refusals while half of the slots are free", seed, c.freeAtRefusal)
			}
		}
		check(t, m)
	}
}

// share returns a part of the callers of a kind.
func (c *modelCount) share(n int) float64 { return float64(n) / float64(max(1, c.callers)) }

// TestBurst guards against a burst in which everything is late: without decisions, all requests
// wait in the queues of full targets, urgent ones behind others.
func TestBurst(t *testing.T) {
	var before []modelCount
	play(t, false, 1, 3*time.Second, modelKinds(burst), func(_ *testing.T, m *model) { before = m.counts })
	play(t, true, 1, 3*time.Second, modelKinds(burst), func(t *testing.T, m *model) {
		urgent, other := &m.counts[0], &m.counts[1]
		if urgent.share(urgent.inTime) < 0.95 || urgent.inTime <= before[0].inTime {
			t.Errorf("%d of %d urgent callers are in time, before %d", urgent.inTime, urgent.callers, before[0].inTime)
		}
		if all, allBefore := urgent.inTime+other.inTime, before[0].inTime+before[1].inTime; all <= allBefore || 10*other.inTime < 9*before[1].inTime {
			t.Errorf("%d callers are in time, %d of them less urgent, before %d and %d", all, other.inTime, allBefore, before[1].inTime)
		}
		if other.refusedOnce == 0 || 10*other.servedAfter < 8*other.refusedOnce {
			t.Errorf("%d of %d refused callers are served on return", other.servedAfter, other.refusedOnce)
		}
	})
}

// TestBurstAfterTheStart guards against daemons of a large fleet that decide nothing during a burst
// because too few streams have ended at each of them.
func TestBurstAfterTheStart(t *testing.T) {
	counts := func(fresh bool) (urgent, other modelCount) {
		m := newModel(0, true, 90, 60, modelKinds(burst)...)
		for i := range m.daemons {
			if fresh {
				m.daemons[i].control = NewController()
			}
		}
		m.run(15 * time.Second)
		m.lose(15, 18*time.Second)
		m.run(80 * time.Second)
		return m.counts[0], m.counts[1]
	}
	urgent, other := counts(true)
	knownUrgent, knownOther := counts(false)
	if urgent.share(urgent.inTime) < 0.95 || 10*other.inTime < 9*knownOther.inTime || urgent.freeAtRefusal+other.freeAtRefusal > 0 {
		t.Errorf("after a start: urgent %+v, less urgent %+v; later: %+v, %+v", urgent, other, knownUrgent, knownOther)
	}
}

// TestReturnOfRefused guards against callers that are refused together and return together.
func TestReturnOfRefused(t *testing.T) {
	play(t, true, 1, 3*time.Second, modelKinds(burst), func(t *testing.T, m *model) {
		most, sum := 0, 0
		for _, n := range m.returned {
			most, sum = max(most, n), sum+n
		}
		if sum == 0 || most > sum/5 {
			t.Errorf("%d of %d callers return within one second", most, sum)
		}
	})
}

// TestFlood guards against a workspace that takes the share of others while the service is full.
func TestFlood(t *testing.T) {
	kinds := modelKinds(burst)[:1]
	for _, w := range []string{"b", "c", "d"} {
		kinds = append(kinds, modelKind{priority: 2, objective: 10 * time.Second, perSecond: load(3, 6), workspace: w})
	}
	kinds = append(kinds, modelKind{priority: 2, objective: 10 * time.Second, perSecond: load(3, 45), workspace: "flood"})
	play(t, true, 0, 0, kinds, func(t *testing.T, m *model) {
		flood := &m.counts[4]
		for _, c := range m.counts[1:4] {
			if c.share(c.refusedOnce) > 0.6*flood.share(flood.refusedOnce) {
				t.Errorf("%d of %d callers of a workspace are refused, and %d of %d of the one that floods", c.refusedOnce, c.callers, flood.refusedOnce, flood.callers)
			}
		}
	})
}

// TestLargeAmongSmall guards against large prompts that are refused because small ones take all
// room before they fit.
func TestLargeAmongSmall(t *testing.T) {
	kinds := modelKinds(burst)
	kinds[1].prompt = func(r *rand.Rand) int {
		if r.IntN(10) == 0 {
			return modelLarge + r.IntN(6_000)
		}
		return 2_500 + r.IntN(3_000)
	}
	play(t, true, 0, 0, kinds, func(t *testing.T, m *model) {
		c := &m.counts[1]
		if large := float64(c.largeRefused) / float64(max(1, c.large)); large > 1.3*c.share(c.refusedOnce) {
			t.Errorf("%d of %d large prompts are refused, of all %d of %d", c.largeRefused, c.large, c.refusedOnce, c.callers)
		}
	})
}

// TestCalm guards against refusals while the targets have room: with the usual load, also after
// nine in ten targets of a failure domain have vanished for good, and in a flood that fits.
func TestCalm(t *testing.T) {
	usual := func(perSecond float64) func(time.Duration) float64 { return load(perSecond, perSecond) }
	for _, lost := range []float64{0, 0.9} {
		kinds := append(modelKinds(usual), modelKind{priority: 2, objective: 10 * time.Second, perSecond: load(0, 6), workspace: "flood"})
		play(t, true, lost, time.Hour, kinds, func(t *testing.T, m *model) {
			for i, c := range m.counts {
				if c.refusedOnce > 0 || c.share(c.late) > 0.02 {
					t.Errorf("kind %d: %d callers are refused and %d late of %d", i, c.refusedOnce, c.late, c.callers)
				}
			}
		})
	}
}

// always is a random number for decisions that must not depend on it.
func always(n float64) func() float64 { return func() float64 { return n } }

// full is the load of a service that is full.
func full() Load {
	return Load{Slots: 160, FreeSlots: 60, Running: 100, PrefillRate: 50_000, Daemons: 10, Age: 50 * time.Millisecond}
}

// known returns a controller that knows the time of a run and of urgent requests.
func known(now time.Time) *Controller {
	c := NewController()
	for range minRuns {
		c.RecordRun(10 * time.Second)
		c.arrivals.add(now, 0)
	}
	return c
}

func TestDecisions(t *testing.T) {
	now := time.Unix(0, 0)
	request := Request{Priority: 2, Objective: 10 * time.Second, Timeout: 25 * time.Second, Received: now, Deadline: now.Add(25 * time.Second), Prompt: 5_000, Memory: 6_000}
	waiting := full()
	waiting.PeersHeld[2] = 150
	for _, c := range []struct {
		name  string
		load  Load
		known bool
		want  Action
	}{
		{"nothing is known of the time of a run", waiting, false, Send},
		{"no target is usable", Load{}, true, SendAnyway},
		{"there is room", Load{Slots: 16, FreeSlots: 16, Room: 9, Fits: true, Daemons: 1}, true, Send},
		{"room is expected soon", full(), true, Hold},
		{"room is expected too late", waiting, true, Refuse},
		{"half of the slots are free", func() Load { l := waiting; l.FreeSlots = 80; return l }(), true, Hold},
	} {
		control := NewController()
		if c.known {
			control = known(now)
		}
		ticket, d := control.Arrive(now, request, c.load, always(0.5))
		if d.Action != c.want {
			t.Errorf("%s: %+v, want action %v", c.name, d, c.want)
		}
		if d.Action == Hold && control.Reconsider(now.Add(9*time.Second), ticket, c.load, always(0.5)).Action != SendAnyway {
			t.Errorf("%s: held after its latest useful start", c.name)
		}
		if control.Leave(ticket); control.Held() != [Levels]int{} {
			t.Errorf("%s: a request that left is held", c.name)
		}
	}
}

// TestRetryAfter guards against callers that ignore a delay beyond a third of the time that they
// have left, that all get this same limit, or that have to wait longer the second time.
func TestRetryAfter(t *testing.T) {
	now := time.Unix(0, 0)
	waiting := full()
	waiting.PeersHeld[2] = 150
	delay := func(priority int, left time.Duration, random float64) time.Duration {
		r := Request{Priority: priority, Objective: 10 * time.Second, Timeout: 25 * time.Second, Received: now, Deadline: now.Add(left), Prompt: 5_000, Memory: 6_000}
		c, ticket := known(now), &Ticket{request: r, rank: float64(priority), waited: r.waited()}
		return c.retryAfter(now, ticket, c.decide(now, ticket, waiting, always(random)), waiting, always(random))
	}
	for _, left := range []time.Duration{time.Second, 10 * time.Second, 25 * time.Second} {
		early, late := delay(2, left, 0), delay(2, left, 1)
		if early < 0 || late > left/3 || late-early < left/10 {
			t.Errorf("%v left: from %v to %v", left, early, late)
		}
	}
	if first, again := delay(2, 25*time.Second, 0.5), delay(2, 16*time.Second, 0.5); again >= first {
		t.Errorf("%v at first, and %v for a caller that was refused before", first, again)
	}
	if urgent, other := delay(0, 25*time.Second, 0.5), delay(2, 25*time.Second, 0.5); urgent >= other {
		t.Errorf("%v for an urgent caller, and %v for another one", urgent, other)
	}
}

// TestOrder guards against requests that starve: those that waited in vain come before others of
// their route, and at last before more urgent ones.
func TestOrder(t *testing.T) {
	now := time.Unix(0, 0)
	c := known(now)
	arrive := func(priority int, waited time.Duration) *Ticket {
		ticket, _ := c.Arrive(now, Request{Priority: priority, Objective: 4 * time.Second, Timeout: 25 * time.Second, Received: now, Deadline: now.Add(25*time.Second - waited)}, full(), always(0.9))
		return ticket
	}
	fresh, waited, urgent, longest := arrive(2, 0), arrive(2, 2*time.Second), arrive(1, 0), arrive(3, 12*time.Second)
	for i, ticket := range []*Ticket{urgent, longest, waited, fresh} {
		if got := c.ownAhead(ticket); got != i {
			t.Errorf("%d requests come before that with rank %v, want %d", got, ticket.rank, i)
		}
	}
}
