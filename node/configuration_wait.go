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

// Timing of the wait until a version is active on all live daemons.
const (
	laggingQueryInterval = 100 * time.Millisecond
	// laggingReplyDelay is the longest time for which a queried daemon waits for the
	// requested version before it replies that it lags.
	laggingReplyDelay = 200 * time.Millisecond
	// laggingQueryTimeout bounds one query to all daemons.
	laggingQueryTimeout = 2 * time.Second
)

func encodeHead(h configuration.Head) ([]byte, error) {
	b, err := json.Marshal(h)
	return b, errors.Wrap(err, "encode head")
}

// laggingRequest queries the receiver and, through it, the daemons on RelayArc (a
// section of the hash ring). The reply contains the IDs of those that lag behind Version.
type laggingRequest struct {
	Version    int64          `msgpack:"v"`
	RelayArc   membership.Arc `msgpack:"a"`
	NeedsRelay bool           `msgpack:"m,omitempty"`
	// Timeout is how long the sender waits for the reply. The receiver uses a
	// shorter timeout for its own queries, so that it replies in time.
	Timeout time.Duration `msgpack:"t"`
}

func (v *configurationRunner) serveLagging(ctx context.Context, from peer.Identity, req laggingRequest) (any, error) {
	v.n.observeVersion(req.Version, from.PeerAddress)
	var lagging []string
	if req.NeedsRelay {
		lagging = v.lagging(ctx, req.Version, req.RelayArc, req.Timeout*3/4)
	}
	for deadline := time.Now().Add(min(laggingReplyDelay, req.Timeout/8)); v.n.snapshot.Load().Version < req.Version && time.Now().Before(deadline); {
		pause.For(ctx, laggingReplyDelay/10)
	}
	if v.n.snapshot.Load().Version < req.Version {
		lagging = append(lagging, v.n.self.ID)
	}
	return lagging, nil
}

// lagging queries the daemons on an arc of the hash ring. It returns the IDs of those
// that lag behind version or did not reply within the timeout.
func (v *configurationRunner) lagging(ctx context.Context, version int64, arc membership.Arc, timeout time.Duration) []string {
	var mu sync.Mutex
	var lagging []string
	add := func(ids ...string) {
		mu.Lock()
		defer mu.Unlock()
		lagging = append(lagging, ids...)
	}
	v.n.relay(ctx, uint64(version), arc, timeout, func(ctx context.Context, b membership.Branch) error {
		var reply []string
		err := v.n.transport.Call(ctx, b.Member.PeerAddress, kindLagging, laggingRequest{version, b.RelayArc, b.NeedsRelay, timeout}, &reply)
		if err != nil {
			add(b.Member.ID)
		}
		add(reply...)
		return err
	})
	return lagging
}

// awaitActive waits until version is active on all live daemons or the wait has
// passed. It returns the sorted IDs of the live daemons where version is not active.
// The last query may extend the wait by up to laggingQueryTimeout.
func (v *configurationRunner) awaitActive(ctx context.Context, version int64, wait time.Duration) []string {
	deadline := time.Now().Add(wait)
	for {
		lagging := v.filterServing(v.lagging(ctx, version, membership.FullRing(), laggingQueryTimeout))
		if v.n.snapshot.Load().Version < version {
			lagging = append(lagging, v.n.self.ID)
		}
		if len(lagging) == 0 || time.Now().After(deadline) || ctx.Err() != nil {
			sort.Strings(lagging)
			return lagging
		}
		pause.For(ctx, laggingQueryInterval)
	}
}

// filterServing returns the IDs among ids whose daemons serve callers.
func (v *configurationRunner) filterServing(ids []string) []string {
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
