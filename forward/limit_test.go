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
		elapsed           time.Duration
		want              time.Duration
	}{
		{"neither", 0, 0, time.Second, 0},
		{"the route's timeout", 2 * time.Second, 0, time.Second, time.Second},
		{"the caller's deadline", 0, 3 * time.Second, time.Second, 2 * time.Second},
		{"the earlier of both", 2 * time.Second, 3 * time.Second, time.Second, time.Second},
		{"over", time.Second, 3 * time.Second, 2 * time.Second, time.Millisecond},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			r := &Request{Received: time.Now(), Route: &ingress.Route{Timeout: c.timeout}}
			if c.deadline > 0 {
				r.Deadline = r.Received.Add(c.deadline)
			}
			time.Sleep(c.elapsed)
			if got := r.timeLeft(); got != c.want {
				t.Errorf("%s: timeLeft returned %v, want %v", c.name, got, c.want)
			}
		})
	}
}
