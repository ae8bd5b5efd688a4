package confirmation

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/peer"
)

// Bounds of the search for the daemon that decides about a key.
const (
	routePause  = 25 * time.Millisecond
	ownerWait   = 1500 * time.Millisecond // then the caller is told to come back
	probeAfter  = 250 * time.Millisecond  // wait before an asked daemon is probed
	replaceWait = time.Second             // of silence of a whole pair
)

// ErrSilentDaemon is returned when a daemon gives no sign of life.
var ErrSilentDaemon = errors.New("daemon does not answer")

// ErrOtherRun is returned when the daemon asked for has restarted.
var ErrOtherRun = errors.New("daemon has restarted")

// Confirm implements Service.
func (p *PairService) Confirm(ctx context.Context, r Request) (Record, *failure.Error) {
	return p.route(ctx, askMessage{Request: r})
}

// Lookup implements Service.
func (p *PairService) Lookup(ctx context.Context, key string) (Record, *failure.Error) {
	return p.route(ctx, askMessage{Request: Request{Key: key}, LookupOnly: true})
}

// route asks the pair of a key until one of it decides, the caller's deadline
// ends, or nobody was there to decide for ownerWait.
func (p *PairService) route(ctx context.Context, m askMessage) (Record, *failure.Error) {
	key, err := ParseKey(m.Request.Key)
	if err != nil {
		return Record{}, failure.Wrap(err, failure.BadRequest, failure.NotRun, "parse key", p.self.ID)
	}
	began := time.Now()
	for ctx.Err() == nil && time.Since(began) < ownerWait {
		a, err := p.askPair(ctx, key, m)
		if err == nil && !a.NotOwner && a.Code != failure.Isolated {
			return p.verdict(a)
		}
		pause.For(ctx, routePause)
	}
	if ctx.Err() != nil {
		return Record{Key: key.Text, Outcome: failure.Unknown, RetryAfter: retryAfter}, nil
	}
	return Record{}, failure.New(failure.Isolated, failure.Unknown, "find pair", p.self.ID,
		"no daemon can decide about key %s now", key.Text).WithRetryAfter(retryAfter)
}

func (p *PairService) verdict(a Answer) (Record, *failure.Error) {
	if a.Code != "" {
		return Record{}, failure.New(a.Code, a.Record.Outcome, "confirm", "", "%s", a.Message).WithRetryAfter(a.Record.RetryAfter)
	}
	return a.Record, nil
}

// askPair asks the first of the pair, then the second.
func (p *PairService) askPair(ctx context.Context, key Key, m askMessage) (Answer, error) {
	all := p.shards.Load()
	if all == nil {
		p.refresh(ctx, 0)
		return Answer{}, errors.WithStack(ErrNoMap)
	}
	s := all.Shards[ShardOf(key.Nonce, len(all.Shards))]
	a, err := p.askDaemon(ctx, s.First, m)
	if p.settled(s, a, err) {
		return a, err
	}
	m.FirstLost = err != nil
	b, err2 := p.askDaemon(ctx, s.Second, m)
	if p.settled(s, b, err2) {
		return b, err2
	}
	p.refresh(ctx, s.Number)
	if err != nil && err2 != nil && ctx.Err() == nil {
		certain := errors.Is(err, ErrOtherRun) && errors.Is(err2, ErrOtherRun)
		_ = p.Loop.Post(func(now time.Time) { p.noteStuck(now, s, certain) })
	}
	return b, err2
}

// settled tells whether an answer needs no further daemon: it is a decision, or
// it names a newer epoch, which is learned.
func (p *PairService) settled(s Shard, a Answer, err error) bool {
	if err != nil {
		return false
	}
	if a.NotOwner && a.Shard.Epoch > s.Epoch {
		_, _ = control.Call(p.ctx, p.Loop, func(now time.Time) bool {
			p.learn(now, []Shard{a.Shard})
			return true
		})
		return true
	}
	return !a.NotOwner
}

// noteStuck proposes a new pair for a shard whose pair is certainly gone or has
// been silent for replaceWait. It vouches for no older key. It runs on the loop.
func (p *PairService) noteStuck(now time.Time, s Shard, certain bool) {
	since, known := p.stuck[s.Number]
	if !known || now.Sub(since) > 4*replaceWait {
		since = now
		p.stuck[s.Number] = now
	}
	if !certain && now.Sub(since) < replaceWait || p.leaving.Load() || p.shards.Load().Shards[s.Number].Epoch != s.Epoch {
		return
	}
	p.proposals[s.Number] = Shard{Number: s.Number, Epoch: s.Epoch + 1, First: p.self, Floor: s.Epoch + 1}
	p.wakeWriter()
}

// askDaemon asks one daemon. While no answer comes it is probed, so that a
// daemon that is gone or paused is told from one that waits for a target.
func (p *PairService) askDaemon(ctx context.Context, to Ref, m askMessage) (Answer, error) {
	m.Request.Deadline = remaining(ctx)
	if to.Same(p.self) {
		return p.askHere(ctx, m)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(p.ctx, func() { cancel(p.ctx.Err()) })
	defer stop()
	go p.watchAsked(ctx, cancel, to)
	var a Answer
	m.To = to
	err := p.Transport.Call(ctx, to.Address, kindAsk, m, &a)
	if err == nil && a.OtherRun {
		err = ErrOtherRun
	}
	return a, errors.Wrapf(err, "ask %s", to.ID)
}

// watchAsked ends the call when the daemon fails two probes or is another run.
func (p *PairService) watchAsked(ctx context.Context, cancel context.CancelCauseFunc, to Ref) {
	for failed := 0; failed < silentProbes; {
		pause.For(ctx, probeAfter)
		if ctx.Err() != nil {
			return
		}
		reply, err := p.probe(ctx, to.Address)
		switch {
		case err != nil:
			failed++
		case !reply.Ref.Same(to):
			failed = silentProbes
		default:
			failed = 0
		}
	}
	cancel(ErrSilentDaemon)
}

func remaining(ctx context.Context) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return dispatchTimeout
	}
	return time.Until(end)
}

// askHere lets this daemon's replica decide.
func (p *PairService) askHere(ctx context.Context, m askMessage) (Answer, error) {
	all := p.shards.Load()
	key, err := ParseKey(m.Request.Key)
	if all == nil || err != nil {
		return Answer{}, errors.WithStack(ErrNoMap)
	}
	n := ShardOf(key.Nonce, len(all.Shards))
	ch := make(chan Answer, 1)
	digest := digestOf(m.Request)
	token, err := control.Call(ctx, p.Loop, func(now time.Time) uint64 {
		p.token++
		p.waiting[p.token] = ch
		t := p.token
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
		_ = p.Loop.Post(func(time.Time) { delete(p.waiting, token) })
		return Answer{Record: Record{Key: key.Text, Outcome: failure.Unknown, RetryAfter: retryAfter}}, nil
	}
}

// serveAsk answers another daemon's ask. It is never passed on.
func (p *PairService) serveAsk(ctx context.Context, _ peer.Identity, m askMessage) (any, error) {
	if !m.To.Same(p.self) {
		return Answer{OtherRun: true}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, m.Request.Deadline)
	defer cancel()
	return p.askHere(ctx, m)
}

// digestOf identifies what a key was used for.
func digestOf(r Request) string {
	b, err := json.Marshal([]any{r.Workspace, r.Service, r.Body, r.Labels})
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:16])
}
