package quarantine

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261203"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var epoch = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// hit is one strike in the tables below.
type hit struct {
	after       time.Duration // since the epoch
	id          string
	fingerprint uint64
	target      string
	fresh       bool
}

const minute = time.Minute

func strike(l *Ledger, h hit) []CrashReport {
	return l.ReportCrash(at(h.after), CrashReport{Request: RequestKey{h.id, h.fingerprint}, Target: h.target, AtStart: h.fresh})
}

func TestLedger(t *testing.T) {
	poison := []hit{{0, "p", 1, "a", true}, {minute, "p", 1, "b", true}, {2 * minute, "p", 1, "c", true}}
	cases := []struct {
		name    string
		hits    []hit
		ask     RequestKey
		after   time.Duration
		refused bool
	}{
		{"nothing known", nil, RequestKey{"p", 1}, 0, false},
		{"two targets lost at once", poison[:2], RequestKey{"p", 1}, 2 * minute, false},
		{"three targets lost at once", poison, RequestKey{"p", 1}, 2 * minute, true},
		{"under a new id", poison, RequestKey{"q", 1}, 2 * minute, true},
		{"the id with another prompt", poison, RequestKey{"p", 2}, 2 * minute, true},
		{"another request", poison, RequestKey{"q", 2}, 2 * minute, false},
		{"new ids each time", []hit{{0, "p1", 1, "a", true}, {minute, "p2", 1, "b", true}, {2 * minute, "p3", 1, "c", true}}, RequestKey{"p4", 1}, 2 * minute, true},
		{"strikes decayed", poison, RequestKey{"p", 1}, 11 * minute, false},
		{"strikes told in another order decay all the same", []hit{poison[2], poison[1], poison[0]}, RequestKey{"p", 1}, 10*minute + time.Second, false},
		{"one failure that several daemons report", []hit{{0, "p", 1, "a", true}, {time.Second, "p", 1, "a", true}, {2 * time.Second, "p", 1, "a", true}}, RequestKey{"p", 1}, minute, false},
		{"one target that restarts and dies again", []hit{{0, "p", 1, "a", true}, {minute, "p", 1, "a", true}, {2 * minute, "p", 1, "a", true}}, RequestKey{"p", 1}, 2 * minute, true},
		{"five targets lost while it ran well", []hit{
			{0, "p", 1, "a", false}, {1 * minute, "p", 1, "b", false}, {2 * minute, "p", 1, "c", false},
			{3 * minute, "p", 1, "d", false}, {4 * minute, "p", 1, "e", false},
		}, RequestKey{"p", 1}, 4 * minute, false},
		{"an innocent one beside it, running first, then twice resumed next to it", append([]hit{
			{0, "i", 9, "a", false}, {minute, "i", 9, "b", true}, {2 * minute, "i", 9, "c", true},
		}, poison...), RequestKey{"i", 9}, 2 * minute, false},
		{"the same, asked for the one that is guilty", append([]hit{
			{0, "i", 9, "a", false}, {minute, "i", 9, "b", true}, {2 * minute, "i", 9, "c", true},
		}, poison...), RequestKey{"p", 1}, 2 * minute, true},
		{"two that can't be told apart go on", append([]hit{
			{0, "i", 9, "a", true}, {minute, "i", 9, "b", true}, {2 * minute, "i", 9, "c", true},
		}, poison...), RequestKey{"p", 1}, 2 * minute, false},
		{"until one survives and the other does not", append([]hit{
			{0, "i", 9, "a", true}, {minute, "i", 9, "b", true}, {2 * minute, "i", 9, "c", true},
			{3 * minute, "p", 1, "d", true},
		}, poison...), RequestKey{"p", 1}, 3 * minute, true},
		{"which then is not blamed, since the other was there each time", append([]hit{
			{0, "i", 9, "a", true}, {minute, "i", 9, "b", true}, {2 * minute, "i", 9, "c", true},
			{3 * minute, "p", 1, "d", true},
		}, poison...), RequestKey{"i", 9}, 3 * minute, false},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			l := NewLedger(DefaultSettings())
			for _, h := range c.hits {
				strike(l, h)
			}
			err := l.Check(at(c.after), c.ask).Refused
			So(err != nil, ShouldEqual, c.refused)
			if err != nil {
				So(err.RetryAfter, ShouldEqual, 0)
			}
		})
	}
	Convey("a daemon that is told all strikes refuses what the other one does, and nothing else", t, func() {
		l, joined := NewLedger(DefaultSettings()), NewLedger(DefaultSettings())
		for _, h := range poison {
			strike(l, h)
		}
		strike(l, hit{minute, "once", 2, "z", false}) // may well be innocent
		for _, s := range l.CrashReports(at(2 * minute)) {
			joined.ReportCrash(at(2*minute), s)
		}
		So(joined.Check(at(2*minute), RequestKey{"another", 1}).Refused, ShouldNotBeNil)
		ids, _ := joined.Len()
		So(ids, ShouldEqual, 1)
	})
	Convey("a whole answer clears what was held against it", t, func() {
		l := NewLedger(DefaultSettings())
		for _, h := range poison {
			strike(l, h)
		}
		So(l.Clear(RequestKey{"p", 1}), ShouldBeTrue)
		So(l.Check(at(2*minute), RequestKey{"p", 1}), ShouldResemble, Verdict{})
	})
	Convey("a request lost at its start waits for strikes of others, then runs alone until it is proven", t, func() {
		l := NewLedger(DefaultSettings())
		strike(l, hit{0, "p", 1, "a", true})
		So(l.Check(at(0), RequestKey{"p", 1}).Wait, ShouldEqual, 150*time.Millisecond)
		now := at(150 * time.Millisecond)
		So(l.Check(now, RequestKey{"p", 1}).Wait, ShouldEqual, 0)
		So(l.Check(now, RequestKey{"p", 1}).Wait, ShouldEqual, 0) // its target refused it
		So(l.Check(now, RequestKey{"q", 1}).Wait, ShouldEqual, maxWait)
		So(l.Check(now, RequestKey{"q", 2}).Wait, ShouldEqual, 0)
		Convey("then all of it may run, and its strikes count half", func() {
			l.ReportProgress(RequestKey{"p", 1})
			So(l.Check(now, RequestKey{"q", 1}).Wait, ShouldEqual, 0)
			So(l.Check(now, RequestKey{"r", 1}).Wait, ShouldEqual, 0)
			strike(l, hit{minute, "p", 1, "b", true})
			strike(l, hit{2 * minute, "p", 1, "c", true})
			So(l.Check(at(2*minute), RequestKey{"p", 1}).Refused, ShouldBeNil)
		})
		Convey("or until its trial is over", func() {
			So(l.Check(now.Add(2*time.Second), RequestKey{"q", 1}).Wait, ShouldEqual, 0)
		})
		Convey("or until the next strike, after which the next waits anew", func() {
			strike(l, hit{time.Second, "p", 1, "b", true})
			So(l.Check(at(time.Second), RequestKey{"q", 1}).Wait, ShouldEqual, 150*time.Millisecond)
			So(l.Check(at(1150*time.Millisecond), RequestKey{"q", 1}).Wait, ShouldEqual, 0)
		})
	})
	Convey("a first strike against a request that ran well is not told to others", t, func() {
		l := NewLedger(DefaultSettings())
		So(strike(l, hit{0, "i", 9, "a", false}), ShouldBeEmpty)
		So(strike(l, hit{minute, "i", 9, "b", false}), ShouldHaveLength, 2)
		So(strike(l, hit{0, "p", 1, "a", true}), ShouldHaveLength, 1)
	})
	Convey("the ledger is bounded, and keeps what was struck last", t, func() {
		s := DefaultSettings()
		s.MaxRequests = 10
		l := NewLedger(s)
		for i := range 100 {
			strike(l, hit{time.Duration(i) * time.Second, fmt.Sprint(i), uint64(i), "a", true})
		}
		ids, fingerprints := l.Len()
		So(ids, ShouldEqual, 10)
		So(fingerprints, ShouldEqual, 10)
		So(l.byID["99"], ShouldNotBeNil)
	})
}

// drawHits draws strikes of a few requests on a few targets.
func drawHits(t *rapid.T) []hit {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) hit {
		f := rapid.Uint64Range(1, 4).Draw(t, "request")
		return hit{
			after: time.Duration(rapid.IntRange(0, 8).Draw(t, "minutes")) * minute,
			id:    fmt.Sprint(f), fingerprint: f,
			target: fmt.Sprint("t", rapid.IntRange(1, 5).Draw(t, "target")),
			fresh:  rapid.Bool().Draw(t, "fresh"),
		}
	}), 0, 24).Draw(t, "hits")
}

func TestVerdictDependsOnStrikesOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hits := drawHits(t)
		now := at(9 * minute)
		report := func(l *Ledger, h hit) {
			l.ReportCrash(now, CrashReport{Request: RequestKey{h.id, h.fingerprint}, Target: h.target, AtStart: h.fresh, Age: now.Sub(at(h.after))})
		}
		s := DefaultSettings()
		s.Extra = 40 // keep every strike, so that no order drops another one
		inOrder, crossed := NewLedger(s), NewLedger(s)
		for _, h := range hits {
			report(inOrder, h)
		}
		for _, i := range rapid.Permutation(indexes(len(hits))).Draw(t, "order") {
			report(crossed, hits[i])
			report(crossed, hits[i]) // doubled
		}
		for f := uint64(1); f <= 4; f++ {
			who := RequestKey{fmt.Sprint(f), f}
			a, b := inOrder.Check(now, who).Refused, crossed.Check(now, who).Refused
			if (a == nil) != (b == nil) {
				t.Fatalf("request %d: %v in order, %v crossed", f, a, b)
			}
			if a != nil && distinct(hits, f) < s.Targets {
				t.Fatalf("request %d is blamed for %d failures", f, distinct(hits, f))
			}
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func distinct(hits []hit, fingerprint uint64) int {
	seen := make(map[string]bool)
	for _, h := range hits {
		if h.fingerprint == fingerprint {
			seen[fmt.Sprint(h.target, h.after)] = true
		}
	}
	return len(seen)
}

// A poison request crashes each target that it runs on, all with the innocent
// requests that run there; those are spread anew over the rest. It must stop
// within Targets+Extra targets, and whoever was beside it in fewer than all of
// its failures must go on.
func TestPoisonStopsAndInnocentsGoOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		l := NewLedger(s)
		const innocents, targets = 12, 12
		where := make([]int, innocents)
		beside := make([]int, innocents)
		for i := range where {
			where[i] = rapid.IntRange(0, targets-1).Draw(t, "place")
		}
		crashes := 0
		for l.Check(at(time.Duration(crashes)*minute), RequestKey{"p", 0}).Refused == nil {
			if crashes == s.Targets+s.Extra {
				t.Fatalf("the request still runs after %d targets", crashes)
			}
			now, victim := time.Duration(crashes)*minute, crashes
			crashes++
			strike(l, hit{now, "p", 0, fmt.Sprint(victim), true})
			for i := range where {
				if where[i] != victim {
					continue
				}
				beside[i]++
				strike(l, hit{now, fmt.Sprint(i), uint64(i + 1), fmt.Sprint(victim), true})
				where[i] = rapid.IntRange(crashes, targets-1).Draw(t, "next place")
			}
		}
		for i := range where {
			if beside[i] < s.Targets && l.Check(at(time.Duration(crashes)*minute), RequestKey{fmt.Sprint(i), uint64(i + 1)}).Refused != nil {
				t.Fatalf("innocent request %d is blamed", i)
			}
		}
	})
}
