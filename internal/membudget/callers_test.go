package membudget

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
)

// fakeHolder is a caller that stalls or not.
type fakeHolder struct {
	stalls  bool
	stalled time.Duration // if not zero, for how long it stalls
	evicted chan struct{}
}

// StalledFor implements Holder.
func (f *fakeHolder) StalledFor(time.Time) time.Duration {
	if f.stalls && f.stalled == 0 {
		return time.Second
	}
	return f.stalled
}

// Evict implements Holder.
func (f *fakeHolder) Evict() { close(f.evicted) }

// TestReadBody guards against bodies that are cut, or longer than allowed or announced, and
// against buffers for what is announced and has not arrived.
func TestReadBody(t *testing.T) {
	const limit = 100_000
	for _, c := range []struct {
		name            string
		size, announced int64
		err             error
	}{
		{"none", 0, 0, nil},
		{"of the largest size", limit, limit, nil},
		{"of the largest size without an announced length", limit, -1, nil},
		{"one byte too long without an announced length", limit + 1, -1, ErrTooLong},
		{"announced as too long", 0, limit + 1, ErrTooLong},
		{"announced as very long", 0, 1 << 40, ErrTooLong},
		{"longer than announced", 11, 10, ErrTooLong},
	} {
		for kind, wrap := range map[string]func(io.Reader) io.Reader{"at once": func(r io.Reader) io.Reader { return r }, "in parts": iotest.HalfReader, "with io.EOF": iotest.DataErrReader} {
			t.Run(c.name+" "+kind, func(t *testing.T) {
				b := New(1 << 20)
				share := b.NewBodyShare()
				want := bytes.Repeat([]byte("a"), int(c.size))
				got, err := share.ReadBody(wrap(bytes.NewReader(want)), limit, c.announced, nil)
				if !errors.Is(err, c.err) || err == nil && !bytes.Equal(got, want) {
					t.Errorf("%d bytes, error %v, want %d bytes and error %v", len(got), err, c.size, c.err)
				}
				if counted := max(0, int64(cap(got))-FreeBytes); b.Used() != counted {
					t.Errorf("%d bytes count, want %d", b.Used(), counted)
				}
				share.Release()
				if b.Used() != 0 || b.bodies != 0 || b.callers != 0 {
					t.Errorf("%d bytes count after the release, want none", b.Used())
				}
			})
		}
	}
}

// TestStalledCallersYield guards against a caller that makes progress and loses its memory,
// and one that stalls and keeps it.
func TestStalledCallersYield(t *testing.T) {
	for _, stalls := range []bool{false, true} {
		b := New(1 << 20)
		held := &fakeHolder{stalls: stalls, evicted: make(chan struct{})}
		first, second := b.NewBodyShare(), b.NewBodyShare()
		if err := first.growBody(700_000, held); err != nil {
			t.Fatal(err)
		}
		err := second.growBody(700_000, &fakeHolder{})
		if stalls {
			<-held.evicted
		}
		if stalls != (err == nil) {
			t.Errorf("another body gets error %v while the first stalls: %t", err, stalls)
		}
		if _, err := first.endBody(nil, io.EOF); stalls != errors.Is(err, ErrExhausted) {
			t.Errorf("the first body ends with error %v, it stalls: %t", err, stalls)
		}
	}
}

// TestLargeBodiesLeaveRoom guards against large bodies that leave nothing for small ones or
// for answers, and against a refused body that is alone.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	b := New(1 << 20)
	busy := &fakeHolder{}
	large := 0
	for b.NewBodyShare().growBody(100_000, busy) == nil {
		large++
	}
	if err := b.NewBodyShare().growBody(smallBytes, busy); large == 0 || err != nil {
		t.Errorf("error %v for a small body beside %d large ones, want none", err, large)
	}
	if err := b.NewShare().Grow(200_000, func() {}); err != nil {
		t.Errorf("error %v for an answer beside bodies, want none", err)
	}
	if err := New(1<<20).NewBodyShare().growBody(3<<18, busy); err != nil {
		t.Errorf("error %v for a body that is alone, want none", err)
	}
}

// TestQueuesYield guards against a queue of an answer that cuts another answer while its own
// caller stalls longer and holds more, against one that cuts answers which are being read, and
// against queues that use up the budget.
func TestQueuesYield(t *testing.T) {
	const limit = 1 << 20
	for _, c := range []struct {
		name         string
		first, other time.Duration // for which the callers stall
		yields       bool          // the first queue
	}{
		{"both make progress", 0, 0, false},
		{"the first stalls", 3 * time.Second, 0, true},
		{"the first stalls longer", 9 * time.Second, 3 * time.Second, true},
		{"the other one stalls longer", 3 * time.Second, 9 * time.Second, false},
	} {
		b := New(limit)
		growing := b.NewShare()
		if err := growing.Grow(limit/8, func() { t.Errorf("%s: an answer that is being read was cut", c.name) }); err != nil {
			t.Fatal(err)
		}
		evicted := make(chan struct{})
		first := b.NewQueueShare(&fakeHolder{stalled: c.first, evicted: evicted})
		other := b.NewQueueShare(&fakeHolder{stalled: c.other, evicted: make(chan struct{})})
		if err := first.Grow(limit/4, nil); err != nil {
			t.Fatal(err)
		}
		err := other.Grow(limit/4+2*FreeBytes+1, nil)
		if c.yields {
			<-evicted
		}
		if (err == nil) != c.yields || b.queued > limit/2 {
			t.Errorf("%s: the other queue grows with error %v, %d bytes are queued", c.name, err, b.queued)
		}
		first.Release()
		other.Release()
		if b.queued != 0 || len(b.waiting) != 0 {
			t.Errorf("%s: %d bytes are queued at the end, and %d shares wait", c.name, b.queued, len(b.waiting))
		}
	}
}

// TestUsage guards against metrics that count a share for another consumer, or after its release.
func TestUsage(t *testing.T) {
	b := New(1 << 20)
	body, answer, queue := b.NewBodyShare(), b.NewShare(), b.NewQueueShare(nil)
	if err := body.growBody(FreeBytes+1000, nil); err != nil {
		t.Fatal(err)
	}
	for share, n := range map[*Share]int{answer: 200, queue: 30} {
		if err := share.Grow(FreeBytes+n, func() {}); err != nil {
			t.Fatal(err)
		}
	}
	conn := b.NewConnShare(&fakeHolder{})
	if got, want := b.Usage(), (Usage{Bodies: 1000, Answers: 230, Connections: ConnBytes}); got != want {
		t.Errorf("usage %+v, want %+v", got, want)
	}
	for _, share := range []*Share{body, answer, queue, conn} {
		share.Release()
	}
	if got := b.Usage(); got != (Usage{}) {
		t.Errorf("usage %+v after the releases, want none", got)
	}
}
