package forward

import (
	"io"
	"sync"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/allowance"
)

// TestStreamWaitsForLoan guards against streams that are cut although another daemon lends this one
// the credit that it lacks, and against streams that wait longer than their gap allows.
func TestStreamWaitsForLoan(t *testing.T) {
	for _, c := range []struct {
		name    string
		after   time.Duration // from the request to the reply
		daemons int
		served  bool
		waited  time.Duration
	}{
		{"a loan in time", maxLoanWait - time.Millisecond, 2, true, maxLoanWait - time.Millisecond},
		{"a loan too late", maxLoanWait + time.Millisecond, 2, false, maxLoanWait},
		{"no other daemon", time.Millisecond, 1, false, 0},
	} {
		t.Run(c.name, inBubble(func(t *testing.T) {
			var brokenAt time.Time
			s, _ := newFixtureWithBroken(streaming(50, -1, eventGap, nil), streaming(50, 20, eventGap, io.ErrUnexpectedEOF))
			s.RetryBudget.UpdateSettings(RetryBudgetSettings{Slack: 1, Window: 10 * time.Second})
			s.RetryBudget.SetDaemons(c.daemons)
			var replies sync.WaitGroup
			s.RetryBudget.EnableLending(func() {
				replies.Go(func() {
					var asks []allowance.Ask
					s.RetryBudget.Update(func(b *allowance.Budget) bool {
						asks = b.PlanAsks(time.Now(), func() []string { return []string{"lender"} }, func(int) int { return 0 })
						return false
					})
					for _, a := range asks {
						brokenAt = time.Now()
						time.Sleep(c.after)
						s.RetryBudget.Update(func(b *allowance.Budget) bool {
							b.Receive(time.Now(), a.Seq, a.Amount)
							return true
						})
					}
				})
			})
			got := s.serve(t, streamRoute)
			ended := time.Now()
			replies.Wait()
			if got.receivedAll(50) != c.served || got.aborted == c.served {
				t.Errorf("all events %v, cut %v, want served %v", got.receivedAll(50), got.aborted, c.served)
			}
			if !c.served && c.waited > 0 && ended.Sub(brokenAt) != c.waited {
				t.Errorf("cut after %v, want after %v", ended.Sub(brokenAt), c.waited)
			}
			if attempts := len(s.client.attempts()); c.served && attempts != 2 {
				t.Errorf("%d attempts, want 2", attempts)
			}
		}))
	}
}
