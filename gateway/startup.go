package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/peer"
)

// A daemon that starts gets what it needs from a seed, so that the calls to the store don't
// grow with the number of daemons that start together. Seeds read the store, and so does a
// daemon that gets nothing within seedTimeout.
const (
	seedTimeout = 600 * time.Millisecond
	// seedCallTimeout bounds the call to one seed, which may be down.
	seedCallTimeout = 400 * time.Millisecond
	// seedLoadTimeout is how long a seed that has just started lets another daemon wait until
	// it has read the store itself.
	seedLoadTimeout = 300 * time.Millisecond
)

// startQuery requests from a seed what a daemon needs that starts.
type startQuery struct{}

// startAnswer answers a startQuery.
type startAnswer struct {
	Datasets []startDataset `msgpack:"d"`
	// VerdictsLoaded means that the seed knows the stored crash reports. It sends them besides.
	VerdictsLoaded bool `msgpack:"v,omitempty"`
}

// startDataset is an exchange.Snapshot with encoded entries, which are the same for all that
// start together.
type startDataset struct {
	Snapshot exchange.Snapshot  `msgpack:"s"` // without entries
	Entries  msgpack.RawMessage `msgpack:"e"` // exchange.Entries; a seed of an older build sends nil if there are none
}

// decode returns the complete snapshot.
func (d startDataset) decode() (exchange.Snapshot, error) {
	if len(d.Entries) == 0 { // as a nil is decoded
		return d.Snapshot, nil
	}
	err := msgpack.Unmarshal(d.Entries, &d.Snapshot.Entries)
	return d.Snapshot, errors.Wrapf(err, "decode the entries of kind %s", d.Snapshot.Kind)
}

// startup loads the datasets of a daemon that starts from a seed, and serves them.
type startup struct {
	g *Gateway
	// done is closed once the datasets were loaded from a seed, or can't be.
	done chan struct{}
	// loaded is closed once all datasets were loaded.
	loaded chan struct{}

	mu       sync.Mutex
	verdicts bool                    // the stored crash reports are known here
	encoded  map[string]startDataset // by kind; outdated if its checksum is not that of the dataset
}

func newStartup(g *Gateway) *startup {
	return &startup{g: g, done: make(chan struct{}), loaded: make(chan struct{}), encoded: make(map[string]startDataset)}
}

// run loads the datasets from a seed.
func (s *startup) run(ctx context.Context) {
	defer close(s.done)
	settings := s.g.settings.Load()
	var seeds []string
	for _, seed := range settings.Seeds {
		if seed == settings.Peers {
			return // the others depend on this daemon
		}
		seeds = append(seeds, seed)
	}
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	for _, seed := range seeds {
		if s.fetch(ctx, seed) || ctx.Err() != nil {
			return
		}
	}
}

// fetch loads the datasets from a seed. It reports whether that succeeded.
func (s *startup) fetch(ctx context.Context, seed string) bool {
	ctx, cancel := context.WithTimeout(ctx, seedCallTimeout)
	defer cancel()
	var answer startAnswer
	if err := s.g.peers.transport.Call(ctx, seed, kindStart, startQuery{}, &answer); err != nil {
		return false // as of an older build
	}
	for _, d := range answer.Datasets {
		snapshot, err := d.decode()
		if err != nil {
			return false
		}
		s.g.datasets.applySnapshot(snapshot)
	}
	s.setVerdictsLoaded(answer.VerdictsLoaded)
	return true
}

// handleQuery answers a startQuery.
func (s *startup) handleQuery(ctx context.Context, from peer.Identity, _ startQuery) (any, error) {
	select {
	case <-s.loaded:
	case <-ctx.Done():
	case <-time.After(seedLoadTimeout):
	}
	var answer startAnswer
	for kind := range s.g.datasets.byKind {
		snapshot, ok := s.g.datasets.snapshot(exchange.Query{Kind: kind})
		if !ok {
			return nil, errors.Errorf("kind %s is not known here", kind)
		}
		d, err := s.encode(snapshot)
		if err != nil {
			return nil, err
		}
		answer.Datasets = append(answer.Datasets, d)
	}
	if answer.VerdictsLoaded = s.verdictsLoaded(); answer.VerdictsLoaded {
		s.g.peers.sendKnown(from)
	}
	return answer, nil
}

// encode returns a snapshot with encoded entries.
func (s *startup) encode(snapshot exchange.Snapshot) (startDataset, error) {
	entries := snapshot.Entries
	snapshot.Entries = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.encoded[snapshot.Kind]; ok && known.Snapshot.Checksum == snapshot.Checksum && known.Snapshot.Era == snapshot.Era {
		return startDataset{snapshot, known.Entries}, nil
	}
	if entries == nil {
		entries = exchange.Entries{} // an older build can't decode a nil
	}
	body, err := msgpack.Marshal(entries)
	if err != nil {
		return startDataset{}, errors.Wrapf(err, "encode the entries of kind %s", snapshot.Kind)
	}
	d := startDataset{snapshot, body}
	s.encoded[snapshot.Kind] = d
	return d, nil
}

// setLoaded records that all datasets were loaded.
func (s *startup) setLoaded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.loaded:
	default:
		close(s.loaded)
	}
}

func (s *startup) setVerdictsLoaded(loaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verdicts = s.verdicts || loaded
}

func (s *startup) verdictsLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verdicts
}
