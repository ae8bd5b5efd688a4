package forward

import (
	"testing"
	"time"
)

// TestCopySearchesAreShared guards against daemons that are busy with searches of many streams in a
// large service without memory for copies, and against streams that don't search where another one
// found nothing for want of more memory, or in another place.
func TestCopySearchesAreShared(t *testing.T) {
	var c copySearches
	failed := copySearch{service: "s", version: "v1", place: "a"}
	c.record(epoch, failed, 6000)
	other := failed
	other.place = "b"
	replaces := failed
	replaces.replaces = true
	cases := []struct {
		after  time.Duration
		search copySearch
		tokens int
		futile bool
	}{
		{0, failed, 6000, true},
		{copySearchInterval - 1, failed, 9000, true},
		{copySearchInterval, failed, 6000, false},
		{0, failed, 5999, false},
		{0, other, 6000, false},
		{0, replaces, 6000, false},
	}
	for _, k := range cases {
		if got := c.isFutile(epoch.Add(k.after), k.search, k.tokens); got != k.futile {
			t.Errorf("%+v: futile %v", k, got)
		}
	}
	const streams, duration, step = 100, 10 * time.Second, 10 * time.Millisecond
	searches := 0
	for at := time.Duration(0); at < duration; at += step {
		now := epoch.Add(time.Minute + at)
		for i := range streams {
			if !c.isFutile(now, failed, 6000+i) {
				searches++
				c.record(now, failed, 6000+i)
			}
		}
	}
	if limit := int(duration / copySearchInterval); searches > limit {
		t.Errorf("%d searches in %v, want at most %d", searches, duration, limit)
	}
}
