package forward

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

func TestBudgetIsSharedOut(t *testing.T) {
	Convey("A daemon that knows no other yet, or has just started, has no slack", t, func() {
		const window = 10 * time.Second
		b := NewRetryBudget(epoch, RetryBudgetSettings{Ratio: 0, Slack: 150, Window: window})
		So(b.Take(epoch.Add(window), "s"), ShouldBeFalse)
		b.SetDaemons(8)
		So(b.Take(epoch.Add(window-1), "s"), ShouldBeFalse)
		So(b.Take(epoch.Add(window), "s"), ShouldBeTrue)
	})
	Convey("Where requests come evenly, and places are lost in turn, repeats up to the ratio are granted", t, func() {
		b := NewRetryBudget(epoch, RetryBudgetSettings{Ratio: 0.8, Window: 10 * time.Second})
		granted := 0
		for i := range 400 { // ten a second; every second, those of one place are lost
			now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
			b.Arrived(now, "s")
			if i%10 != 0 {
				continue
			}
			for range 7 {
				if i >= 200 && b.Take(now, "s") {
					granted++
				}
			}
		}
		So(granted, ShouldEqual, 20*7)
	})
}

// TestBudgetHolds plays storms at several daemons: the sum of their repeats keeps
// the bound in every window.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		slack := float64(rapid.IntRange(0, 100).Draw(t, "slack"))
		daemons := make([]*RetryBudget, rapid.IntRange(1, 5).Draw(t, "daemons"))
		for i := range daemons {
			daemons[i] = NewRetryBudget(epoch, RetryBudgetSettings{Ratio: ratio, Slack: slack, Window: window})
			daemons[i].SetDaemons(len(daemons))
		}
		now := epoch
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			b := daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")]
			if rapid.Bool().Draw(t, "request") {
				b.Arrived(now, "s")
				requests = append(requests, now)
			}
			if b.Take(now, "s") {
				repeats = append(repeats, now)
			}
			in := func(times []time.Time, end time.Time) (n float64) {
				for _, at := range times {
					if at.After(end.Add(-window)) && !at.After(end) {
						n++
					}
				}
				return n
			}
			most := max(in(requests, now), in(requests, now.Add(-window/2)), in(requests, now.Add(-window)))
			if n := in(repeats, now); n > ratio*most+slack {
				t.Fatalf("%g repeats for %g requests, ratio %g, slack %g", n, most, ratio, slack)
			}
		}
	})
}
