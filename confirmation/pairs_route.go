package confirmation

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/peer"
)

// Delays and limits while looking for the daemon that is responsible for an
// idempotency key.
const (
	routeRetryDelay = 25 * time.Millisecond
	ownerTimeout    = 1500 * time.Millisecond // longest search; then the caller has to retry
	askProbeDelay   = 250 * time.Millisecond  // wait before each probe of a daemon that has not answered a request
	replaceDelay    = time.Second             // time without an answer of either daemon before a pair is replaced
)

// ErrUnresponsive is returned when a daemon fails the probes sent to it while
// its answer to a request is awaited.
var ErrUnresponsive = errors.New("daemon does not answer")

// ErrRestarted is returned when the addressed daemon has restarted.
var ErrRestarted = errors.New("daemon has restarted")

// Confirm implements Service.
func (p *PairService) Confirm(ctx context.Context, r Request) (Record, *failure.Error) {
	return p.route(ctx, askMessage{Request: r})
}

// Lookup implements Service.
func (p *PairService) Lookup(ctx context.Context, key string) (Record, *failure.Error) {
	return p.route(ctx, askMessage{Request: Request{Key: key}, LookupOnly: true})
}

// route sends a request to the pair of its key until one of the two decides,
// the caller's deadline ends, or no daemon could decide for ownerTimeout.
func (p *PairService) route(ctx context.Context, m askMessage) (Record, *failure.Error) {
	key, err := ParseKey(m.Request.Key)
	if err != nil {
		return Record{}, failure.Wrap(err, failure.BadRequest, failure.NotRun, "parse key", p.self.ID)
	}
	start := time.Now()
	for ctx.Err() == nil && time.Since(start) < ownerTimeout {
		a, err := p.askPair(ctx, key, m)
		if err == nil && !a.NotOwner && a.Code != failure.Isolated {
			return p.recordOrError(a)
		}
		pause.For(ctx, routeRetryDelay)
	}
	if ctx.Err() != nil {
		return Record{Key: key.Text, Outcome: failure.Unknown, RetryAfter: retryAfter}, nil
	}
	return Record{}, failure.New(failure.Isolated, failure.Unknown, "find pair", p.self.ID,
		"no daemon can decide about key %s now", key.Text).WithRetryAfter(retryAfter)
}

func (p *PairService) recordOrError(a Answer) (Record, *failure.Error) {
	if a.Code != "" {
		return Record{}, failure.New(a.Code, a.Record.Outcome, "confirm", "", "%s", a.Message).WithRetryAfter(a.Record.RetryAfter)
	}
	return a.Record, nil
}

// askPair sends a request to the first of the pair, then to the second.
func (p *PairService) askPair(ctx context.Context, key Key, m askMessage) (Answer, error) {
	current := p.shards.Load()
	if current == nil {
		p.refreshMap(ctx, 0)
		return Answer{}, errors.WithStack(ErrNoMap)
	}
	s := current.Shards[ShardOf(key.Nonce, len(current.Shards))]
	a, err := p.askDaemon(ctx, s.First, m)
	if p.isConclusive(s, a, err) {
		return a, err
	}
	m.FirstLost = err != nil
	b, err2 := p.askDaemon(ctx, s.Second, m)
	if p.isConclusive(s, b, err2) {
		return b, err2
	}
	p.refreshMap(ctx, s.Number)
	if err != nil && err2 != nil && ctx.Err() == nil {
		bothRestarted := errors.Is(err, ErrRestarted) && errors.Is(err2, ErrRestarted)
		_ = p.Loop.Post(func(now time.Time) { p.handleUnservedShard(now, s, bothRestarted) })
	}
	return b, err2
}

// isConclusive reports whether an answer makes a request to a further daemon
// unnecessary: it is a decision, or it names a newer epoch, which is applied.
func (p *PairService) isConclusive(s Shard, a Answer, err error) bool {
	if err != nil {
		return false
	}
	if a.NotOwner && a.Shard.Epoch > s.Epoch {
		_, _ = control.Call(p.ctx, p.Loop, func(now time.Time) bool {
			p.applyShards(now, []Shard{a.Shard})
			return true
		})
		return true
	}
	return !a.NotOwner
}

// handleUnservedShard proposes a new pair for a shard if both daemons of its
// pair have restarted (pairEnded) or have not answered for replaceDelay. This
// time starts at the first failed request and, after 4*replaceDelay, starts
// anew. The new epoch raises Floor because the records of the previous pair may
// be lost. It runs on the control loop.
func (p *PairService) handleUnservedShard(now time.Time, s Shard, pairEnded bool) {
	since, known := p.unservedSince[s.Number]
	if !known || now.Sub(since) > 4*replaceDelay {
		since = now
		p.unservedSince[s.Number] = now
	}
	if !pairEnded && now.Sub(since) < replaceDelay || p.leaving.Load() || p.shards.Load().Shards[s.Number].Epoch != s.Epoch {
		return
	}
	p.proposals[s.Number] = Shard{Number: s.Number, Epoch: s.Epoch + 1, First: p.self, Floor: s.Epoch + 1}
	p.wakeWriter()
}

// askDaemon sends a request to one daemon. The daemon is probed until it
// answers, to distinguish a daemon that has ended or is paused from a daemon
// that waits for a target.
func (p *PairService) askDaemon(ctx context.Context, to Ref, m askMessage) (Answer, error) {
	m.Request.Deadline = remainingTime(ctx)
	if to.SameRun(p.self) {
		return p.askLocal(ctx, m)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(p.ctx, func() { cancel(p.ctx.Err()) })
	defer stop()
	go p.watchDaemon(ctx, cancel, to)
	var a Answer
	m.To = to
	err := p.Transport.Call(ctx, to.Address, kindAsk, m, &a)
	if err == nil && a.OtherRun {
		err = ErrRestarted
	}
	return a, errors.Wrapf(err, "send request to daemon %s", to.ID)
}

// watchDaemon cancels the request when the daemon fails silentAfterProbes
// probes in a row or has restarted.
func (p *PairService) watchDaemon(ctx context.Context, cancel context.CancelCauseFunc, to Ref) {
	for failed := 0; failed < silentAfterProbes; {
		pause.For(ctx, askProbeDelay)
		if ctx.Err() != nil {
			return
		}
		reply, err := p.probe(ctx, to.Address)
		switch {
		case err != nil:
			failed++
		case !reply.Ref.SameRun(to):
			failed = silentAfterProbes
		default:
			failed = 0
		}
	}
	cancel(ErrUnresponsive)
}

func remainingTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return dispatchTimeout
	}
	return time.Until(deadline)
}

// askLocal sends a request to this daemon's replica.
func (p *PairService) askLocal(ctx context.Context, m askMessage) (Answer, error) {
	current := p.shards.Load()
	key, err := ParseKey(m.Request.Key)
	if current == nil || err != nil {
		return Answer{}, errors.WithStack(ErrNoMap)
	}
	n := ShardOf(key.Nonce, len(current.Shards))
	ch := make(chan Answer, 1)
	digest := requestDigest(m.Request)
	token, err := control.Call(ctx, p.Loop, func(now time.Time) uint64 {
		p.lastToken++
		p.waiters[p.lastToken] = ch
		t := p.lastToken
		p.step(now, n, Ask{Token: t, Request: m.Request, Digest: digest, FirstLost: m.FirstLost, LookupOnly: m.LookupOnly})
		return t
	})
	if err != nil {
		return Answer{}, err
	}
	select {
	case a := <-ch:
		return a, nil
	case <-ctx.Done():
		_ = p.Loop.Post(func(time.Time) { delete(p.waiters, token) })
		return Answer{Record: Record{Key: key.Text, Outcome: failure.Unknown, RetryAfter: retryAfter}}, nil
	}
}

// serveAsk answers a request from another daemon. It never forwards the
// request.
func (p *PairService) serveAsk(ctx context.Context, _ peer.Identity, m askMessage) (any, error) {
	if !m.To.SameRun(p.self) {
		return Answer{OtherRun: true}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.Request.Deadline)
	defer cancel()
	return p.askLocal(ctx, m)
}
