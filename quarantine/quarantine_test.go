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

func timeAt(d time.Duration) time.Time { return epoch.Add(d) }

// crashCase is one crash report in the tables below.
type crashCase struct {
	offset      time.Duration // since the epoch
	id          string
	fingerprint uint64
	target      string
	atStart     bool
}

const minute = time.Minute

func reportCrash(l *Ledger, c crashCase) []CrashReport {
	return l.ReportCrash(timeAt(c.offset), CrashReport{Request: RequestKey{c.id, c.fingerprint}, Target: c.target, AtStart: c.atStart})
}

func TestLedger(t *testing.T) {
	poison := []crashCase{{0, "p", 1, "a", true}, {minute, "p", 1, "b", true}, {2 * minute, "p", 1, "c", true}}
	cases := []struct {
		name    string
		crashes []crashCase
		request RequestKey
		offset  time.Duration
		refused bool
	}{
		{"no crashes", nil, RequestKey{"p", 1}, 0, false},
		{"two crashes at the start of the request", poison[:2], RequestKey{"p", 1}, 2 * minute, false},
		{"three crashes at the start of the request", poison, RequestKey{"p", 1}, 2 * minute, true},
		{"the same content under a new id", poison, RequestKey{"q", 1}, 2 * minute, true},
		{"the id with another prompt", poison, RequestKey{"p", 2}, 2 * minute, true},
		{"another request", poison, RequestKey{"q", 2}, 2 * minute, false},
		{"a new id each time", []crashCase{{0, "p1", 1, "a", true}, {minute, "p2", 1, "b", true}, {2 * minute, "p3", 1, "c", true}}, RequestKey{"p4", 1}, 2 * minute, true},
		{"crashes decayed", poison, RequestKey{"p", 1}, 11 * minute, false},
		{"crashes reported in another order decay as well", []crashCase{poison[2], poison[1], poison[0]}, RequestKey{"p", 1}, 10*minute + time.Second, false},
		{"one crash reported by several daemons", []crashCase{{0, "p", 1, "a", true}, {time.Second, "p", 1, "a", true}, {2 * time.Second, "p", 1, "a", true}}, RequestKey{"p", 1}, minute, false},
		{"one target that restarts and crashes again", []crashCase{{0, "p", 1, "a", true}, {minute, "p", 1, "a", true}, {2 * minute, "p", 1, "a", true}}, RequestKey{"p", 1}, 2 * minute, true},
		{"five crashes of targets on which the request had run well", []crashCase{
			{0, "p", 1, "a", false}, {1 * minute, "p", 1, "b", false}, {2 * minute, "p", 1, "c", false},
			{3 * minute, "p", 1, "d", false}, {4 * minute, "p", 1, "e", false},
		}, RequestKey{"p", 1}, 4 * minute, false},
		{"an innocent request that ran well beside a poison request, then was resumed beside it twice", append([]crashCase{
			{0, "i", 9, "a", false}, {minute, "i", 9, "b", true}, {2 * minute, "i", 9, "c", true},
		}, poison...), RequestKey{"i", 9}, 2 * minute, false},
		{"the poison request in the same case", append([]crashCase{
			{0, "i", 9, "a", false}, {minute, "i", 9, "b", true}, {2 * minute, "i", 9, "c", true},
		}, poison...), RequestKey{"p", 1}, 2 * minute, true},
		{"of two requests with the same crashes, neither is refused", append([]crashCase{
			{0, "i", 9, "a", true}, {minute, "i", 9, "b", true}, {2 * minute, "i", 9, "c", true},
		}, poison...), RequestKey{"p", 1}, 2 * minute, false},
		{"of two requests with the same crashes, the one with a further crash is refused", append([]crashCase{
			{0, "i", 9, "a", true}, {minute, "i", 9, "b", true}, {2 * minute, "i", 9, "c", true},
			{3 * minute, "p", 1, "d", true},
		}, poison...), RequestKey{"p", 1}, 3 * minute, true},
		{"of two requests with the same crashes, the one without a further crash may run, since the other was present at all its crashes", append([]crashCase{
			{0, "i", 9, "a", true}, {minute, "i", 9, "b", true}, {2 * minute, "i", 9, "c", true},
			{3 * minute, "p", 1, "d", true},
		}, poison...), RequestKey{"i", 9}, 3 * minute, false},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			l := NewLedger(DefaultSettings())
			for _, crash := range c.crashes {
				reportCrash(l, crash)
			}
			err := l.Check(timeAt(c.offset), c.request).Refusal
			So(err != nil, ShouldEqual, c.refused)
			if err != nil {
				So(err.RetryAfter, ShouldEqual, 0)
			}
		})
	}
	Convey("a daemon that receives all crash reports refuses the same request as the sender, and records no other", t, func() {
		l, joined := NewLedger(DefaultSettings()), NewLedger(DefaultSettings())
		for _, crash := range poison {
			reportCrash(l, crash)
		}
		reportCrash(l, crashCase{minute, "once", 2, "z", false}) // likely to be innocent
		for _, s := range l.CrashReports(timeAt(2 * minute)) {
			joined.ReportCrash(timeAt(2*minute), s)
		}
		So(joined.Check(timeAt(2*minute), RequestKey{"another", 1}).Refusal, ShouldNotBeNil)
		ids, _ := joined.Len()
		So(ids, ShouldEqual, 1)
	})
	Convey("a complete answer clears the crashes of its request", t, func() {
		l := NewLedger(DefaultSettings())
		for _, crash := range poison {
			reportCrash(l, crash)
		}
		So(l.Clear(RequestKey{"p", 1}), ShouldBeTrue)
		So(l.Check(timeAt(2*minute), RequestKey{"p", 1}), ShouldResemble, Verdict{})
	})
	Convey("a request with a crash at its start waits for the reports of other daemons, then runs alone until it produces tokens", t, func() {
		l := NewLedger(DefaultSettings())
		reportCrash(l, crashCase{0, "p", 1, "a", true})
		So(l.Check(timeAt(0), RequestKey{"p", 1}).Wait, ShouldEqual, 150*time.Millisecond)
		now := timeAt(150 * time.Millisecond)
		So(l.Check(now, RequestKey{"p", 1}).Wait, ShouldEqual, 0)
		So(l.Check(now, RequestKey{"p", 1}).Wait, ShouldEqual, 0) // it may run again, such as after a refusal by the target
		So(l.Check(now, RequestKey{"q", 1}).Wait, ShouldEqual, maxTrialWait)
		So(l.Check(now, RequestKey{"q", 2}).Wait, ShouldEqual, 0)
		Convey("once it produces tokens, all requests with its fingerprint may run, and its crashes count half", func() {
			l.ReportProgress(RequestKey{"p", 1})
			So(l.Check(now, RequestKey{"q", 1}).Wait, ShouldEqual, 0)
			So(l.Check(now, RequestKey{"r", 1}).Wait, ShouldEqual, 0)
			reportCrash(l, crashCase{minute, "p", 1, "b", true})
			reportCrash(l, crashCase{2 * minute, "p", 1, "c", true})
			So(l.Check(timeAt(2*minute), RequestKey{"p", 1}).Refusal, ShouldBeNil)
		})
		Convey("once its trial ends, the next request with its fingerprint may run", func() {
			So(l.Check(now.Add(2*time.Second), RequestKey{"q", 1}).Wait, ShouldEqual, 0)
		})
		Convey("the next crash ends its trial, and the next request waits for crash reports again", func() {
			reportCrash(l, crashCase{time.Second, "p", 1, "b", true})
			So(l.Check(timeAt(time.Second), RequestKey{"q", 1}).Wait, ShouldEqual, 150*time.Millisecond)
			So(l.Check(timeAt(1150*time.Millisecond), RequestKey{"q", 1}).Wait, ShouldEqual, 0)
		})
	})
	Convey("the first crash of a request that ran well is not reported to other daemons", t, func() {
		l := NewLedger(DefaultSettings())
		So(reportCrash(l, crashCase{0, "i", 9, "a", false}), ShouldBeEmpty)
		So(reportCrash(l, crashCase{minute, "i", 9, "b", false}), ShouldHaveLength, 2)
		So(reportCrash(l, crashCase{0, "p", 1, "a", true}), ShouldHaveLength, 1)
	})
	Convey("the ledger is bounded and keeps the requests with the latest crashes", t, func() {
		s := DefaultSettings()
		s.MaxRequests = 10
		l := NewLedger(s)
		for i := range 100 {
			reportCrash(l, crashCase{time.Duration(i) * time.Second, fmt.Sprint(i), uint64(i), "a", true})
		}
		ids, fingerprints := l.Len()
		So(ids, ShouldEqual, 10)
		So(fingerprints, ShouldEqual, 10)
		So(l.byID["99"], ShouldNotBeNil)
	})
}

// TestQuarantineOutlivesAFlood guards against a quarantined request that is forgotten,
// because a mass failure of targets brings more first crashes of others than the ledger
// holds.
func TestQuarantineOutlivesAFlood(t *testing.T) {
	Convey("Requests with fewer crashes are evicted first", t, func() {
		s := DefaultSettings()
		s.MaxRequests = 10
		l := NewLedger(s)
		for i, target := range []string{"a", "b", "c"} {
			reportCrash(l, crashCase{time.Duration(i) * time.Second, "p", 1, target, true})
		}
		for i := range 100 {
			reportCrash(l, crashCase{time.Duration(10+i) * time.Second, fmt.Sprint("i-", i), uint64(10 + i), "d", i%2 == 0})
		}
		ids, fingerprints := l.Len()
		So(ids, ShouldEqual, 10)
		So(fingerprints, ShouldEqual, 10)
		for _, request := range []RequestKey{{"p", 1}, {"q", 1}, {"p", 2}} { // by id and by content
			So(l.Check(timeAt(2*minute), request).Refusal, ShouldNotBeNil)
		}
	})
}

// TestQuickRestartsCountSeparately guards against a target that restarts under its id and
// crashes again within SameCrashWindow, which counted as one crash.
func TestQuickRestartsCountSeparately(t *testing.T) {
	cases := []struct {
		name         string
		gap          time.Duration // between two reports
		incarnations []uint64      // of the target, in the order of the reports; 0 if unknown
		refused      bool
	}{
		{"it restarts within seconds", 4 * time.Second, []uint64{1, 2, 3}, true},
		{"one crash is reported several times", time.Second, []uint64{1, 1, 1}, false},
		{"its entry is older than its process", time.Minute, []uint64{1, 1, 1}, true},
		{"it restarts within seconds, unknown to some daemons", time.Second, []uint64{0, 1, 2, 0, 3}, true},
		{"its incarnation is unknown, reports within seconds", 4 * time.Second, []uint64{0, 0, 0}, false},
		{"its incarnation is unknown, reports within minutes", time.Minute, []uint64{0, 0, 0}, true},
		{"its incarnation is unknown to some daemons", time.Second, []uint64{1, 0, 1}, false},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			l := NewLedger(DefaultSettings())
			for i, incarnation := range c.incarnations {
				l.ReportCrash(timeAt(time.Duration(i)*c.gap), CrashReport{Request: RequestKey{"p", 1}, Target: "a", Incarnation: incarnation, AtStart: true})
			}
			So(l.Check(timeAt(5*minute), RequestKey{"p", 1}).Refusal != nil, ShouldEqual, c.refused)
		})
	}
}

// drawCrashes draws crashes of a few targets under a few requests.
func drawCrashes(t *rapid.T) []crashCase {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) crashCase {
		f := rapid.Uint64Range(1, 4).Draw(t, "request")
		return crashCase{
			offset: time.Duration(rapid.IntRange(0, 8).Draw(t, "minutes")) * minute,
			id:     fmt.Sprint(f), fingerprint: f,
			target:  fmt.Sprint("t", rapid.IntRange(1, 5).Draw(t, "target")),
			atStart: rapid.Bool().Draw(t, "fresh"),
		}
	}), 0, 24).Draw(t, "hits")
}

// TestVerdictDependsOnStrikesOnly guards against daemons that decide differently about
// the same request: crash reports arrive in any order and more than once, and neither
// may change the verdict. No request may be refused for fewer than MaxTargets crashes.
func TestVerdictDependsOnStrikesOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		crashes := drawCrashes(t)
		now := timeAt(9 * minute)
		report := func(l *Ledger, c crashCase) {
			l.ReportCrash(now, CrashReport{Request: RequestKey{c.id, c.fingerprint}, Target: c.target, AtStart: c.atStart, Age: now.Sub(timeAt(c.offset))})
		}
		s := DefaultSettings()
		s.ExtraTargets = 40 // so many that no entry drops a crash: which one is dropped depends on the order of reports
		inOrder, shuffled := NewLedger(s), NewLedger(s)
		for _, c := range crashes {
			report(inOrder, c)
		}
		for _, i := range rapid.Permutation(indexes(len(crashes))).Draw(t, "order") {
			report(shuffled, crashes[i])
			report(shuffled, crashes[i]) // duplicate report
		}
		for f := uint64(1); f <= 4; f++ {
			request := RequestKey{fmt.Sprint(f), f}
			a, b := inOrder.Check(now, request).Refusal, shuffled.Check(now, request).Refusal
			if (a == nil) != (b == nil) {
				t.Fatalf("request %d: refusal %v with reports in order, %v with shuffled reports, want both or neither", f, a, b)
			}
			if a != nil && distinctCrashes(crashes, f) < s.MaxTargets {
				t.Fatalf("request %d is refused after %d crashes, fewer than MaxTargets", f, distinctCrashes(crashes, f))
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

func distinctCrashes(crashes []crashCase, fingerprint uint64) int {
	seen := make(map[string]bool)
	for _, c := range crashes {
		if c.fingerprint == fingerprint {
			seen[fmt.Sprint(c.target, c.offset)] = true
		}
	}
	return len(seen)
}

// TestPoisonStopsAndInnocentsGoOn simulates a poison request that crashes each target
// it runs on, together with the innocent requests there, which then move to the
// remaining targets. The poison request must be refused after at most
// MaxTargets+ExtraTargets crashes. An innocent request that was present at fewer
// crashes than MaxTargets must not be refused.
func TestPoisonStopsAndInnocentsGoOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		l := NewLedger(s)
		const innocents, targets = 12, 12
		targetOf := make([]int, innocents)
		sharedCrashes := make([]int, innocents)
		for i := range targetOf {
			targetOf[i] = rapid.IntRange(0, targets-1).Draw(t, "place")
		}
		crashes := 0
		for l.Check(timeAt(time.Duration(crashes)*minute), RequestKey{"p", 0}).Refusal == nil {
			if crashes == s.MaxTargets+s.ExtraTargets {
				t.Fatalf("the poison request still runs after %d crashes, want it refused", crashes)
			}
			now, crashedTarget := time.Duration(crashes)*minute, crashes
			crashes++
			reportCrash(l, crashCase{now, "p", 0, fmt.Sprint(crashedTarget), true})
			for i := range targetOf {
				if targetOf[i] != crashedTarget {
					continue
				}
				sharedCrashes[i]++
				reportCrash(l, crashCase{now, fmt.Sprint(i), uint64(i + 1), fmt.Sprint(crashedTarget), true})
				targetOf[i] = rapid.IntRange(crashes, targets-1).Draw(t, "next place")
			}
		}
		for i := range targetOf {
			if sharedCrashes[i] < s.MaxTargets && l.Check(timeAt(time.Duration(crashes)*minute), RequestKey{fmt.Sprint(i), uint64(i + 1)}).Refusal != nil {
				t.Fatalf("innocent request %d is refused after fewer than MaxTargets crashes", i)
			}
		}
	})
}
