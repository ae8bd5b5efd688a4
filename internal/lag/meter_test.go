package lag

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestLatenessIsKnownWhileItLasts guards against lateness that counts only after the
// process has caught up, or still counts long after.
func TestLatenessIsKnownWhileItLasts(t *testing.T) {
	start := time.Unix(1000, 0)
	m := &Meter{due: start}
	for _, c := range []struct{ since, now, want time.Duration }{
		{0, -time.Millisecond, 0},
		{0, 80 * time.Millisecond, 80 * time.Millisecond},
	} {
		if got := m.Since(start.Add(c.since), start.Add(c.now)); got != c.want {
			t.Errorf("late by %v at %v, want %v", got, c.now, c.want)
		}
	}
	m.Record(start.Add(100*time.Millisecond), 100*time.Millisecond)
	m.Record(start.Add(200*time.Millisecond), minLate-1)
	m.Record(start.Add(300*time.Millisecond), 20*time.Millisecond)
	m.due = time.Time{}
	for since, want := range map[time.Duration]time.Duration{0: 100 * time.Millisecond, 100 * time.Millisecond: 100 * time.Millisecond, 101 * time.Millisecond: 20 * time.Millisecond, time.Second: 0} {
		if got := m.Since(start.Add(since), start.Add(time.Second)); got != want {
			t.Errorf("late by %v since %v, want %v", got, since, want)
		}
	}
	m.Record(start.Add(keepFor+time.Second), 10*time.Millisecond)
	if len(m.records) != 1 {
		t.Errorf("%d records are kept, want 1", len(m.records))
	}
}

// TestPunctualProcessIsNotLate guards against a meter that counts its own interval.
func TestPunctualProcessIsNotLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var m Meter
		go m.Run(ctx, time.Millisecond, func(late time.Duration) { t.Errorf("late by %v", late) })
		time.Sleep(time.Second)
		if late := m.Since(time.Time{}, time.Now()); late != 0 {
			t.Errorf("late by %v", late)
		}
		cancel()
	})
}
