package forward

import (
	"testing"
	"time"
)

// TestBusyDaemonKeepsItsStreams guards against a daemon that was busy itself and takes its
// streams from sound targets, whose events wait in its own sockets.
func TestBusyDaemonKeepsItsStreams(t *testing.T) {
	const maxGap = 700 * time.Millisecond
	limit := time.Duration(abandonShare * float64(maxGap))
	start := time.Unix(1000, 0)
	for _, c := range []struct {
		name          string
		resumed       bool
		silence, late time.Duration
		abandoned     bool
	}{
		{"punctual, before the limit", false, limit - 1, 0, false},
		{"punctual, at the limit", false, limit, 0, true},
		{"late, at the limit", false, limit, 300 * time.Millisecond, false},
		{"late, and silent for as long besides", false, limit + 300*time.Millisecond, 300 * time.Millisecond, true},
		{"punctual, resumed", true, resumeTimeout, 0, true},
		{"late, resumed", true, resumeTimeout, 100 * time.Millisecond, false},
	} {
		d := newStallDetector(start, maxGap, c.resumed, !c.resumed)
		if !c.resumed {
			d.recordEvent(start)
		}
		action, wait := d.next(start.Add(c.silence), c.late)
		if (action == stallAbandon) != c.abandoned {
			t.Errorf("%s: action %v, want abandoned %v", c.name, action, c.abandoned)
		}
		if action != stallAbandon && wait <= 0 {
			t.Errorf("%s: the next call is due after %v", c.name, wait)
		}
	}
}
