package allowance

import "testing"

// TestCumulative guards against fractions of a credit that add up to more than the limit, or to
// nothing, over many daemons with a few requests each.
func TestCumulative(t *testing.T) {
	const daemons, requests = 760, 3
	sent := 0
	for i := range daemons {
		c := Cumulative{Ratio: 0.1, Slack: 45.0 / daemons, Dither: float64(i) / daemons}
		for range requests {
			c.CountRequest()
			for c.Take(1, 1, 1) {
				sent++
			}
		}
		if c.Take(1, 1, 1) || c.Requests() != requests {
			t.Fatal("a send without a credit")
		}
		c.Spend()
		if left := c.Left(1, 1, 1); left != -1 {
			t.Fatalf("%d credits are left after a send that was not allowed", left)
		}
		c.Release()
	}
	if limit := 0.1*daemons*requests + 50; float64(sent) > limit || float64(sent) < limit-7 {
		t.Errorf("%d sends, %.0f are allowed", sent, limit)
	}
}
