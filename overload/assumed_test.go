package overload

import (
	"math"
	"testing"
	"time"
)

// TestAnyNumberOfTokensAllowed guards against refusals of all callers of a service after one of them
// has stated a number of output tokens that no target would ever write: until enough streams have ended,
// the expected time of a stream follows from these numbers.
func TestAnyNumberOfTokensAllowed(t *testing.T) {
	for _, output := range []int{1_000, 1_000_000, 500_000_000_000, 900_000_000_000, 1_000_000_000_000, math.MaxInt} {
		c, now := NewController(), time.Unix(1000, 0)
		full := Load{Slots: 160, Running: 160, PrefillRate: 100_000, Daemons: 1}
		arrive := func(output int) (*Ticket, Decision) {
			return c.Arrive(now, Request{
				Objective: 4 * time.Second, Received: now, Deadline: now.Add(25 * time.Second), Prompt: 5_000, Memory: 6_000, Output: output,
			}, full, func() float64 { return 0.5 })
		}
		first, _ := arrive(output)
		c.Leave(first)
		for i := range 5 {
			if _, d := arrive(1_000); d.Action != Hold || d.Wait > 2*time.Second {
				t.Errorf("%d tokens: request %d after it gets %+v, want a hold of at most 2 s", output, i, d)
			}
		}
		if run := c.runTime(); run < 5*time.Second || run > 25*time.Second {
			t.Errorf("%d tokens: a stream is expected to take %v", output, run)
		}
	}
}
