package forward

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

func TestBudgetIsSharedOut(t *testing.T) {
	Convey("A daemon that knows of no other daemon, or has just started, has no slack", t, func() {
		const window = 10 * time.Second
		b := NewRetryBudget(epoch, RetryBudgetSettings{Ratio: 0, Slack: 150, Window: window})
		So(b.AllowRetry(epoch.Add(window), "s"), ShouldBeFalse)
		b.SetDaemons(8)
		So(b.AllowRetry(epoch.Add(window-1), "s"), ShouldBeFalse)
		So(b.AllowRetry(epoch.Add(window), "s"), ShouldBeTrue)
	})
	Convey("At the first start of all daemons it has slack once they know of each other, at most after a window", t, func() {
		const window, known = 10 * time.Second, 6 * time.Second
		b := NewRetryBudget(epoch, RetryBudgetSettings{Slack: 150, Window: window})
		b.MarkFirstStart(known)
		So(b.AllowRetry(epoch.Add(window), "s"), ShouldBeFalse)
		b.SetDaemons(8)
		So(b.AllowRetry(epoch.Add(known-1), "s"), ShouldBeFalse)
		So(b.AllowRetry(epoch.Add(known), "s"), ShouldBeTrue)
		b.UpdateSettings(RetryBudgetSettings{Slack: 150, Window: known / 2})
		So(b.AllowRetry(epoch.Add(known/2), "s"), ShouldBeTrue)
	})
	Convey("With a steady load and places lost in turn, retries are allowed up to the ratio", t, func() {
		b := NewRetryBudget(epoch, RetryBudgetSettings{Ratio: 0.8, Window: 10 * time.Second})
		allowed := 0
		for i := range 400 { // ten requests per second; once a second, seven are lost with their place
			now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
			b.CountRequest(now, "s")
			if i%10 != 0 {
				continue
			}
			for range 7 {
				if i >= 200 && b.AllowRetry(now, "s") {
					allowed++
				}
			}
		}
		So(allowed, ShouldEqual, 20*7)
	})
}

// TestBudgetHolds generates bursts of requests and retries at several daemons and
// checks that the sum of their retries stays within the limit in every window.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		slack := float64(rapid.IntRange(0, 100).Draw(t, "slack"))
		daemons := make([]*RetryBudget, rapid.IntRange(1, 5).Draw(t, "daemons"))
		firstStart := rapid.Bool().Draw(t, "first start")
		for i := range daemons {
			daemons[i] = NewRetryBudget(epoch, RetryBudgetSettings{Ratio: ratio, Slack: slack, Window: window})
			daemons[i].SetDaemons(len(daemons))
			if firstStart {
				daemons[i].MarkFirstStart(3 * time.Second)
			}
		}
		now := epoch
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			b := daemons[rapid.IntRange(0, len(daemons)-1).Draw(t, "daemon")]
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now, "s")
				requests = append(requests, now)
			}
			if b.AllowRetry(now, "s") {
				retries = append(retries, now)
			}
			count := func(times []time.Time, end time.Time) (n float64) {
				for _, at := range times {
					if at.After(end.Add(-window)) && !at.After(end) {
						n++
					}
				}
				return n
			}
			maxRequests := max(count(requests, now), count(requests, now.Add(-window/2)), count(requests, now.Add(-window)))
			if n := count(retries, now); n > ratio*maxRequests+slack {
				t.Fatalf("%g retries for %g requests, more than the limit at ratio %g and slack %g", n, maxRequests, ratio, slack)
			}
		}
	})
}

// TestReleasedRetry guards against more retries than the budget allows, because a
// released retry was taken off the count at another time than its own.
func TestReleasedRetry(t *testing.T) {
	Convey("A released retry counts no more, the others still do until their window ends", t, func() {
		b := NewRetryBudget(epoch.Add(-time.Hour), RetryBudgetSettings{Slack: 2.3, Window: 10 * time.Second})
		b.SetDaemons(1)
		at := func(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }
		So(b.AllowRetry(at(0), "s"), ShouldBeTrue)
		So(b.AllowRetry(at(5), "s"), ShouldBeTrue)
		So(b.AllowRetry(at(6), "s"), ShouldBeFalse)
		b.Release(at(0), "s")
		b.Release(at(0), "other")
		So(b.AllowRetry(at(6), "s"), ShouldBeTrue)
		So(b.AllowRetry(at(11), "s"), ShouldBeFalse)
		So(b.AllowRetry(at(15), "s"), ShouldBeTrue)
	})
}
