package gateway

import (
	"maps"
	"slices"
	"sync"

	"github.com/vanillaroad/vanillaroad/forward"
)

// openRequests is the set of callers' requests that are being served. The zero value is empty. It
// is safe for concurrent use.
type openRequests struct {
	mu   sync.Mutex
	open map[*forward.Request]struct{}
}

// add adds a request until the returned function is called.
func (o *openRequests) add(r *forward.Request) (remove func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open == nil {
		o.open = make(map[*forward.Request]struct{})
	}
	o.open[r] = struct{}{}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.open, r)
	}
}

func (o *openRequests) len() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open)
}

// list returns the requests in no particular order.
func (o *openRequests) list() []*forward.Request {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.open))
}
