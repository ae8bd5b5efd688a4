package forward

import (
	"context"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// Limits of the search for targets that hold a prompt in their cache.
const (
	// maxCacheQueries is the largest number of targets that are queried. In a larger
	// service these are the first targets in the order of Fleet.RankByHash for the
	// prompt.
	maxCacheQueries = 32
	// cacheQueryTimeout bounds the search. A target that holds the prompt saves about a
	// second of prefill.
	cacheQueryTimeout = 100 * time.Millisecond
	// cacheResultTTL is how long a result is reused, so that many callers who reconnect
	// at once cause only one query per target.
	cacheResultTTL = time.Second
)

// CacheLocator finds the targets whose caches hold a prompt, for callers who resume an
// answer after the loss of the daemon that served them. It queries the targets, so no
// state has to survive the loss of a daemon. It is safe for concurrent use.
type CacheLocator struct {
	client TargetClient

	mu       sync.Mutex
	contents map[string]*cacheContents // by target id
}

// cacheContents holds the result of one cache query.
type cacheContents struct {
	queriedAt time.Time
	ready     chan struct{}   // closed once keys is set
	keys      map[string]bool // nil if the query failed
}

// NewCacheLocator returns a CacheLocator without any results.
func NewCacheLocator(client TargetClient) *CacheLocator {
	return &CacheLocator{client: client, contents: make(map[string]*cacheContents)}
}

// Find returns which of the targets hold the prompt part with this cache key, by id. A
// target that does not answer in time counts as not holding it.
func (l *CacheLocator) Find(ctx context.Context, targets []fleet.Target, key string) map[string]bool {
	ctx, cancel := context.WithTimeout(ctx, cacheQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	found := make(map[string]bool)
	var group errgroup.Group
	for _, t := range targets {
		group.Go(func() error {
			if keys := l.cachedKeys(ctx, t); keys[key] {
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

// cachedKeys returns the keys that a target's cache holds, nil if ctx ends first.
func (l *CacheLocator) cachedKeys(ctx context.Context, t fleet.Target) map[string]bool {
	l.mu.Lock()
	contents := l.contents[t.ID]
	if contents == nil || time.Since(contents.queriedAt) > cacheResultTTL {
		contents = &cacheContents{queriedAt: time.Now(), ready: make(chan struct{})}
		l.contents[t.ID] = contents
		go l.query(t, contents)
	}
	l.mu.Unlock()
	select {
	case <-contents.ready:
		return contents.keys
	case <-ctx.Done():
		return nil
	}
}

func (l *CacheLocator) query(t fleet.Target, contents *cacheContents) {
	defer close(contents.ready)
	ctx, cancel := context.WithTimeout(context.Background(), cacheQueryTimeout)
	defer cancel()
	keys, err := l.client.CachedKeys(ctx, t)
	if err != nil {
		return // the prober detects targets that don't answer
	}
	contents.keys = keys
}

// Forget drops the results of targets for which keep returns false.
func (l *CacheLocator) Forget(keep func(id string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.contents, func(id string, _ *cacheContents) bool { return !keep(id) })
}
