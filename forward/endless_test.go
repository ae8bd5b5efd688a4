package forward

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// endlessBody repeats text until it is closed or ctx ends: as fast as it is read if gap is
// 0, otherwise text by text, one per gap.
type endlessBody struct {
	ctx    context.Context
	cancel context.CancelFunc
	text   string
	gap    time.Duration
	read   *atomic.Int64
	rest   string
}

// Read implements io.Reader.
func (b *endlessBody) Read(p []byte) (int, error) {
	if b.gap > 0 && b.rest == "" {
		select {
		case <-time.After(b.gap):
		case <-b.ctx.Done():
		}
	}
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	n := 0
	for n < len(p) {
		if b.rest == "" {
			if b.gap > 0 && n > 0 {
				break
			}
			b.rest = b.text
		}
		copied := copy(p[n:], b.rest)
		n, b.rest = n+copied, b.rest[copied:]
	}
	b.read.Add(int64(n))
	return n, nil
}

// Close implements io.Closer.
func (b *endlessBody) Close() error {
	b.cancel()
	return nil
}

// endless answers with a head like that of answer, and a body without an end. It counts
// the bytes that are read of all its bodies.
func endless(answer Answer, text string, gap time.Duration, read *atomic.Int64) behaviour {
	return func(ctx context.Context, _ Attempt, _ *fakeTargetClient) (*Answer, error) {
		a := answer
		a.Header = http.Header{}
		ctx, cancel := context.WithCancel(ctx)
		a.Body = &endlessBody{ctx: ctx, cancel: cancel, text: text, gap: gap, read: read}
		return &a, nil
	}
}

// newFixtureWithFirst returns a fixture of two targets, the first of which is picked first.
func newFixtureWithFirst(first, second behaviour) *fixture {
	s := newFixture(map[string]behaviour{"a": first, "b": second})
	s.Fleet.Begin(time.Now(), "b", fleet.Demand{})
	return s
}

// TestRefusalsWithoutEnd guards against calls that count as run because the body of the
// refusal has no end.
func TestRefusalsWithoutEnd(t *testing.T) {
	for name, gap := range map[string]time.Duration{"fast": 0, "slow": 10 * time.Millisecond} {
		for kindName, kind := range map[string]ingress.Kind{"idempotent": ingress.Idempotent, "non-idempotent": ingress.NonIdempotent} {
			t.Run(name+" "+kindName, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var read atomic.Int64
					refusal := endless(Answer{Status: http.StatusServiceUnavailable, NotRun: true}, "a", gap, &read)
					route := callRoute
					route.Kind = kind
					s := newFixtureWithFirst(refusal, answering(http.StatusOK, false))
					if got := s.serve(t, route); got.status != http.StatusOK {
						t.Errorf("status %d, error %v, want the answer of the other target; sent to %v", got.status, got.err, s.client.attempts())
					}
					s = newFixtureWithFirst(refusal, refusal)
					if got := s.serve(t, route); got.err == nil || got.err.Outcome != failure.NotRun {
						t.Errorf("status %d, error %v, want an error with outcome not-run", got.status, got.err)
					}
					if n := read.Load(); n != 0 {
						t.Errorf("%d bytes of the bodies were read, want none", n)
					}
				})
			})
		}
	}
}
