package node

import (
	"context"
	"encoding/json"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/peer"
)

// Timing of the wait until a version is in force on all live daemons.
const (
	inForcePause = 100 * time.Millisecond
	// inForceHold is how long a daemon holds the question back while it has
	// not the version itself.
	inForceHold = 200 * time.Millisecond
	// inForceBudget is the time that a question to the whole fleet may take.
	inForceBudget = 2 * time.Second
)

func encodeHead(h configuration.Head) ([]byte, error) {
	b, err := json.Marshal(h)
	return b, errors.Wrap(err, "encode head")
}

// inForceRequest asks which daemons on an arc, the receiver included, lag
// behind a version.
type inForceRequest struct {
	Version int64          `msgpack:"v"`
	Rest    membership.Arc `msgpack:"a"`
	More    bool           `msgpack:"m,omitempty"`
	// Budget is how long the asker waits; the receiver gives less to those it
	// asks, so that its own answer is in time.
	Budget time.Duration `msgpack:"t"`
}

func (v *versions) serveInForce(ctx context.Context, from peer.Identity, req inForceRequest) (any, error) {
	v.n.learnVersion(req.Version, from.PeerAddress)
	var lagging []string
	if req.More {
		lagging = v.lagging(ctx, req.Version, req.Rest, req.Budget*3/4)
	}
	for end := time.Now().Add(min(inForceHold, req.Budget/8)); v.n.snapshot.Load().Version < req.Version && time.Now().Before(end); {
		pause.For(ctx, inForceHold/10)
	}
	if v.n.snapshot.Load().Version < req.Version {
		lagging = append(lagging, v.n.self.ID)
	}
	return lagging, nil
}

// lagging asks the daemons on an arc and returns those that lag behind version
// or did not answer.
func (v *versions) lagging(ctx context.Context, version int64, arc membership.Arc, budget time.Duration) []string {
	var mu sync.Mutex
	var out []string
	add := func(ids ...string) {
		mu.Lock()
		defer mu.Unlock()
		out = append(out, ids...)
	}
	v.n.relay(ctx, uint64(version), arc, budget, func(ctx context.Context, b membership.Branch) error {
		var part []string
		err := v.n.transport.Call(ctx, b.Member.PeerAddress, kindInForce, inForceRequest{version, b.RelayArc, b.NeedsRelay, budget}, &part)
		if err != nil {
			add(b.Member.ID)
		}
		add(part...)
		return err
	})
	return out
}

// awaitInForce waits until version is in force on all live daemons or the wait
// is over, and names the live daemons where it is not. The last question may
// end inForceBudget after the wait.
func (v *versions) awaitInForce(ctx context.Context, version int64, wait time.Duration) []string {
	end := time.Now().Add(wait)
	for {
		lagging := v.live(v.lagging(ctx, version, membership.FullRing(), inForceBudget))
		if v.n.snapshot.Load().Version < version {
			lagging = append(lagging, v.n.self.ID)
		}
		if len(lagging) == 0 || time.Now().After(end) || ctx.Err() != nil {
			sort.Strings(lagging)
			return lagging
		}
		pause.For(ctx, inForcePause)
	}
}

// live keeps the daemons that serve callers.
func (v *versions) live(ids []string) []string {
	serving := make(map[string]bool)
	for _, m := range v.n.view.Load().Members {
		serving[m.ID] = m.State == membership.Alive || m.State == membership.Leaving
	}
	var out []string
	for _, id := range ids {
		if serving[id] {
			out = append(out, id)
		}
	}
	return out
}
