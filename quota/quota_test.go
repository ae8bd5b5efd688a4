package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// TestLedgerKeepsRate guards against more permits than a target takes in any window, and
// against fewer than it takes while daemons ask for more.
func TestLedgerKeepsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0.5, 50).Draw(t, "rate")
		demand := perSecond * rapid.Float64Range(2, 20).Draw(t, "demand")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		l, now, length := NewLedger(), start, 60*time.Second
		var granted []time.Time
		for now.Before(start.Add(length)) {
			now = now.Add(time.Duration(random.ExpFloat64() / demand * float64(time.Second)))
			if _, ok := l.Take(now, Key{Target: "t"}, perSecond, random.IntN(3)); ok {
				granted = append(granted, now)
			}
		}
		burst := max(minBurst, int(perSecond*burstPeriod.Seconds()))
		for i, first := range granted {
			for j := i; j < len(granted); j++ {
				if allowed := perSecond*granted[j].Sub(first).Seconds() + float64(burst) + 1e-6; float64(j-i+1) > allowed+1 {
					t.Fatalf("%d permits in %v, allowed %.1f", j-i+1, granted[j].Sub(first), allowed)
				}
			}
		}
		if least := 0.8 * perSecond * length.Seconds(); float64(len(granted)) < least-float64(burst) {
			t.Fatalf("%d permits in %v although the target takes %.1f a second", len(granted), length, perSecond)
		}
	})
}

func TestLedger(t *testing.T) {
	Convey("Given a target that takes one request a second", t, func() {
		l, key := NewLedger(), Key{Target: "t"}
		take := func(at time.Duration, priority int) bool {
			_, ok := l.Take(start.Add(at), key, 1, priority)
			return ok
		}
		So(take(0, 0), ShouldBeFalse)

		Convey("a permit is there once its time has come, and not before", func() {
			retryAfter, _ := l.Take(start, key, 1, 0)
			So(take(retryAfter-time.Millisecond, 0), ShouldBeFalse)
			So(take(retryAfter, 0), ShouldBeTrue)
		})
		Convey("less urgent requests leave a permit to urgent ones, as long as these come", func() {
			So(take(500*time.Millisecond, 0), ShouldBeFalse)
			So(take(time.Second, 1), ShouldBeFalse)
			So(take(time.Second, 0), ShouldBeTrue)
			So(take(2200*time.Millisecond, 1), ShouldBeTrue)
		})
		Convey("an idle target gets at most the saved permits at once", func() {
			granted := 0
			for range 10 {
				if take(time.Hour, 0) {
					granted++
				}
			}
			So(granted, ShouldEqual, minBurst)
		})
		Convey("a target that takes none gets one now and then", func() {
			_, ok := l.Take(start.Add(time.Minute), key, 0, 0)
			So(ok, ShouldBeTrue)
		})
		Convey("another incarnation has an account of its own", func() {
			_, ok := l.Take(start.Add(time.Minute), Key{Target: "t", StartMillis: 1}, 1, 0)
			So(ok, ShouldBeFalse)
		})
	})
}

// TestFractionsOfPartitions guards against groups of daemons that don't hear each other and
// together issue more than a target takes.
func TestFractionsOfPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registered, sum := rapid.IntRange(1, 100).Draw(t, "daemons"), 0.0
		for left := registered; left > 0; {
			heard := rapid.IntRange(1, left).Draw(t, "heard")
			left -= heard
			sum += View{Heard: heard, Registered: registered}.GrantorFraction()
		}
		if sum > 1+1e-9 {
			t.Fatalf("all groups together issue %.3f of the rate", sum)
		}
	})
}

func TestGrantor(t *testing.T) {
	Convey("Daemons that hear the same daemons agree on the grantor, and targets have different ones", t, func() {
		active, grantors := []string{"a", "b", "c", "d"}, make(map[string]int)
		for i := range 400 {
			target := fmt.Sprint("i-", i)
			first := View{Self: "a", Active: active}.Grantor(target)
			So(View{Self: "d", Active: []string{"d", "c", "b", "a"}}.Grantor(target), ShouldEqual, first)
			grantors[first]++
		}
		for _, id := range active {
			So(grantors[id], ShouldBeBetween, 50, 150)
		}
	})
	Convey("A daemon that leaves is no grantor unless it is the last", t, func() {
		So(View{Self: "a", Active: []string{"b"}}.Grantor("i-1"), ShouldEqual, "b")
		So(View{Self: "a"}.Grantor("i-1"), ShouldEqual, "a")
	})
}
