package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillaroad/vanillaroad/allowance"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/peer"
)

// TestCreditsAreLent guards against messages between daemons that bring no loan, against loans that
// are not given back, and against daemons that ask an older build, which answers with an error, again
// and again.
func TestCreditsAreLent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		newBudget := func() *forward.RetryBudget {
			b := forward.NewRetryBudget(time.Now().Add(-time.Minute), forward.RetryBudgetSettings{Slack: 10, Window: 10 * time.Second})
			b.SetDaemons(3) // three credits each
			return b
		}
		registry := metrics.NewRegistry()
		lender := newCredits(newBudget(), registry, func() []string { return nil }, nil, nil)
		asked := make(chan string, 100)
		borrower := newCredits(newBudget(), metrics.NewRegistry(), func() []string { return []string{"lender", "old"} },
			func(_ context.Context, daemon string, r creditRequest) (reply creditReply, err error) {
				asked <- daemon
				if daemon == "old" {
					return creditReply{}, &peer.RemoteError{Address: daemon, Message: "no handler"}
				}
				var received creditRequest
				if body, err := msgpack.Marshal(r); err != nil || msgpack.Unmarshal(body, &received) != nil || received != r {
					t.Errorf("%+v was received as %+v, error %v", r, received, err)
				}
				return lender.handleRequest(peer.Identity{ID: "borrower", Incarnation: 1}, received), nil
			},
			func(_ string, r creditReturn) {
				lender.handleReturn(peer.Identity{ID: "borrower", Incarnation: 1}, r)
			})
		go borrower.run(ctx)
		needs := func(n int) {
			borrower.budget.Update(func(b *allowance.Budget) bool {
				b.Want(time.Now(), "svc", "stream", n)
				return false
			})
			borrower.wake()
			synctest.Wait()
		}
		available := func(c *credits) (own, borrowed allowance.Credits) {
			c.budget.Update(func(b *allowance.Budget) bool {
				own, borrowed = b.Available(time.Now(), "svc")
				return false
			})
			return own, borrowed
		}
		needs(5)
		if _, borrowed := available(borrower); borrowed != 2*allowance.One {
			t.Errorf("%d borrowed, want 2000", borrowed)
		}
		if own, _ := available(lender); own != allowance.One {
			t.Errorf("the lender has %d left, want 1000", own)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if own, _ := available(lender); own != 3*allowance.One {
			t.Errorf("the lender has %d after the loan was given back, want 3000", own)
		}
		needs(5)
		count := map[string]int{}
		for len(asked) > 0 {
			count[<-asked]++
		}
		if count["old"] != 1 || count["lender"] < 2 {
			t.Errorf("asked %v, want the older build once", count)
		}
		if n := metrics.GetOrRegisterCounter(metricCreditsAsked, borrower.metrics).Count(); n < 3 {
			t.Errorf("%d requests were counted, want 3 or more", n)
		}
		stop()
	})
}
