package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// WeightStore simulates a store of model weights that serves a limited number of
// fetches at once and refuses more.
type WeightStore struct {
	limit int

	mu     sync.Mutex
	counts WeightCounts
}

// WeightCounts counts the fetches since the start of the store.
type WeightCounts struct {
	Now     int   `json:"now"`  // fetches in progress
	Peak    int   `json:"peak"` // maximum of Now
	Served  int64 `json:"served"`
	Refused int64 `json:"refused"`
}

// NewWeightStore returns a store that serves at most limit fetches at once.
func NewWeightStore(limit int) *WeightStore { return &WeightStore{limit: limit} }

// Handler returns the HTTP interface. The query parameter time sets the duration of
// a fetch.
func (s *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights", s.fetch)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return mux
}

// Counts returns the counts so far.
func (s *WeightStore) Counts() WeightCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *WeightStore) fetch(w http.ResponseWriter, r *http.Request) {
	d, err := time.ParseDuration(r.URL.Query().Get("time"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.beginFetch() {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer s.endFetch()
	time.Sleep(d)
}

func (s *WeightStore) beginFetch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts.Now >= s.limit {
		s.counts.Refused++
		return false
	}
	s.counts.Now++
	s.counts.Served++
	s.counts.Peak = max(s.counts.Peak, s.counts.Now)
	return true
}

func (s *WeightStore) endFetch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Now--
}

// applyOrder fetches the weights for an order and then replaces models and role. If
// the fetch is refused the engine keeps its models and role.
func (e *Engine) applyOrder(o target.Order) {
	if e.settings.WeightStore == "" {
		time.Sleep(e.settings.LoadTime)
	} else if !fetchWeights(e.settings.WeightStore, e.settings.LoadTime) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models = o.Models
	if o.Role != "" {
		e.role = o.Role
	}
}

func fetchWeights(store string, d time.Duration) bool {
	resp, err := http.Get(store + "/weights?time=" + d.String())
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
