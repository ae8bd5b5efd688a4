package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/generation"
	"github.com/vanillaroad/vanillaroad/peer"
)

// kindTakeOver carries generation.TakeOver.
const kindTakeOver = peer.GenerationBase

// sweepPeriod is how often the hub looks for answers to end or to forget.
const sweepPeriod = time.Second

func (n *Node) buildGenerations() {
	n.transport.Handle(kindTakeOver, n.takenOver)
	n.hub = generation.NewHub(n.settings.Generation, generation.Deps{
		Router: &router{n}, Joiner: &joiner{n}, Guard: n.newGuard(), Notifier: &notifier{n},
		Events: n.events, Trace: n.trace, Self: n.self.PeerAddress,
	})
	n.loop.Every(sweepPeriod, n.hub.Sweep)
}

// joiner grants targets on which an attempt runs already. Its permit is the one
// that the daemon before took: the target does no more work than it did.
type joiner struct{ n *Node }

var _ generation.Joiner = (*joiner)(nil)

// Join implements generation.Joiner.
func (j *joiner) Join(_ context.Context, r generation.Request, name string) (generation.Grant, *failure.Error) {
	snapshot := j.n.snapshot.Load()
	t, known := snapshot.Target(name)
	svc, served := snapshot.Service(r.Service)
	if !known || !served {
		return generation.Grant{}, failure.New(failure.NoTarget, failure.NotRun, "join", name, "target or service is not configured")
	}
	return generation.Grant{
		Target: name, Model: svc.Model, Version: r.Cursor.Version,
		Engine: j.n.targets.client(t.Address), Release: func(bool) {},
	}, nil
}

// notifier tells other daemons that their callers came here.
type notifier struct{ n *Node }

var _ generation.Notifier = (*notifier)(nil)

// TakeOver implements generation.Notifier.
func (t *notifier) TakeOver(ctx context.Context, request string, c generation.Cursor) error {
	m := generation.TakeOver{Request: request, Attempt: c.Attempt, By: t.n.self.PeerAddress}
	return t.n.transport.Call(ctx, c.Daemon, kindTakeOver, m, nil)
}

func (n *Node) takenOver(_ context.Context, _ peer.Identity, body []byte) (any, error) {
	var m generation.TakeOver
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, errors.Wrap(err, "decode take-over")
	}
	n.hub.TakenOver(m)
	return nil, nil
}
