package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/ingress"
)

func TestTimeLeft(t *testing.T) {
	cases := []struct {
		name              string
		timeout, deadline time.Duration // 0 for none
		spent             time.Duration
		left              time.Duration
	}{
		{"neither", 0, 0, time.Second, 0},
		{"the route's", 2 * time.Second, 0, time.Second, time.Second},
		{"the caller's", 0, 3 * time.Second, time.Second, 2 * time.Second},
		{"the sooner of both", 2 * time.Second, 3 * time.Second, time.Second, time.Second},
		{"over", time.Second, 3 * time.Second, 2 * time.Second, time.Millisecond},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			r := &Request{Received: time.Now(), Route: &ingress.Route{Timeout: c.timeout}}
			if c.deadline > 0 {
				r.Deadline = r.Received.Add(c.deadline)
			}
			time.Sleep(c.spent)
			if got := r.left(); got != c.left {
				t.Errorf("%s: %v left, want %v", c.name, got, c.left)
			}
		})
	}
}
