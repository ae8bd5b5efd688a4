package forward

import (
	"context"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// Bounds of the search for a prompt that was read before.
const (
	// holdersAsked is the largest number of targets that are asked. On a larger
	// service it is those that the prompt's hash names first.
	holdersAsked = 32
	// holdersTimeout bounds the search; a target that holds the prompt saves a second.
	holdersTimeout = 100 * time.Millisecond
	// holdersFresh is how long an answer stands for the next search, so that callers
	// who come back all at once cost one question a target.
	holdersFresh = time.Second
)

// CacheLocator finds the targets whose caches hold a prompt, for callers who come back
// for the rest of an answer after the daemon that served them was lost. It keeps
// nothing that would have to outlive a daemon: it asks the targets. It is safe for
// concurrent use.
type CacheLocator struct {
	sender TargetClient

	mu    sync.Mutex
	known map[string]*holding // by target id
}

// holding is what one target's cache holds.
type holding struct {
	at    time.Time
	ready chan struct{} // closed once parts is set
	parts map[string]bool
}

// NewCacheLocator returns a finder that knows nothing yet.
func NewCacheLocator(s TargetClient) *CacheLocator {
	return &CacheLocator{sender: s, known: make(map[string]*holding)}
}

// Find returns the ids of those of the targets that hold the prompt's own part. A
// target that does not answer in time counts as one that doesn't.
func (h *CacheLocator) Find(ctx context.Context, targets []fleet.Target, key string) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, holdersTimeout)
	defer cancel()
	var mu sync.Mutex
	found := make(map[string]bool)
	var group errgroup.Group
	for _, t := range targets {
		group.Go(func() error {
			if parts := h.ask(ctx, t); parts[key] {
				mu.Lock()
				defer mu.Unlock()
				found[t.ID] = true
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no errors
	return found
}

// ask returns the parts of prompts that a target's cache holds.
func (h *CacheLocator) ask(ctx context.Context, t fleet.Target) map[string]bool {
	h.mu.Lock()
	known := h.known[t.ID]
	if known == nil || time.Since(known.at) > holdersFresh {
		known = &holding{at: time.Now(), ready: make(chan struct{})}
		h.known[t.ID] = known
		go h.fetch(t, known)
	}
	h.mu.Unlock()
	select {
	case <-known.ready:
		return known.parts
	case <-ctx.Done():
		return nil
	}
}

func (h *CacheLocator) fetch(t fleet.Target, into *holding) {
	defer close(into.ready)
	ctx, cancel := context.WithTimeout(context.Background(), holdersTimeout)
	defer cancel()
	parts, err := h.sender.CachedKeys(ctx, t)
	if err != nil {
		return // the prober finds out about targets that don't answer
	}
	into.parts = parts
}

// Forget drops what is remembered of targets for which keep returns false.
func (h *CacheLocator) Forget(keep func(id string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	maps.DeleteFunc(h.known, func(id string, _ *holding) bool { return !keep(id) })
}
