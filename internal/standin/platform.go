// Package standin holds small stand-ins for what stands outside the system:
// the platform, model engines and plain services. They serve demos and tests
// only, and pass the contract tests of docs/contracts.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

// defaultWatchWait is how long a watch waits for a change.
const defaultWatchWait = 5 * time.Second

// PlatformFaults can be set while the stand-in runs, with PUT /faults.
type PlatformFaults struct {
	Down        bool `json:"down"`         // refuse every call
	LoseAnswers bool `json:"lose_answers"` // writes take effect, answers are lost
	SlowMillis  int  `json:"slow_ms"`      // wait before each call
	VMLagMillis int  `json:"vm_lag_ms"`    // how late a new VM list is seen
	// ReadsPerSecond and WritesPerSecond are budgets; 0 means no bound. A call
	// over its budget is answered with 429 and has no effect.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
}

// Platform is an object API and VM list in memory.
type Platform struct {
	watchWait time.Duration

	mu       sync.Mutex
	objects  map[string]objectstore.Object
	revision int64
	vms      []vmList // oldest first
	reads    *rate.Limiter
	writes   *rate.Limiter
	faults   PlatformFaults
	calls    map[string]int64
	changed  chan struct{}
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		objects: make(map[string]objectstore.Object), calls: make(map[string]int64), changed: make(chan struct{}),
		watchWait: defaultWatchWait, reads: budget(0), writes: budget(0),
	}
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{kind}/{name}", p.guard("get", p.get))
	mux.HandleFunc("PUT /objects/{kind}/{name}", p.guard("put", p.put))
	mux.HandleFunc("DELETE /objects/{kind}/{name}", p.guard("delete", p.remove))
	mux.HandleFunc("GET /objects/{kind}", p.guard("list", p.list))
	mux.HandleFunc("GET /vms", p.guard("vms", p.listVMs))
	mux.HandleFunc("PUT /vms", p.setVMs)
	mux.HandleFunc("PUT /faults", p.setFaults)
	mux.HandleFunc("GET /calls", p.listCalls)
	return mux
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.reads, p.writes = budget(f.ReadsPerSecond), budget(f.WritesPerSecond)
	p.wake()
}

// budget allows perSecond calls a second, all of one second at once.
func budget(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) current() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// guard counts the call and applies the faults. A lost answer closes the
// connection after the call took effect.
func (p *Platform) guard(method string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[callName(method, r)]++
		f, limit := p.faults, p.writes
		if r.Method == http.MethodGet {
			limit = p.reads
		}
		p.mu.Unlock()
		if !limit.Allow() {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
		if f.Down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if f.LoseAnswers && r.Method != http.MethodGet {
			h(discard{}, r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

// callName tells a watch, which counts as one call however long it waits, from
// a list.
func callName(method string, r *http.Request) string {
	if r.URL.Query().Get("watch") != "" {
		return "watch"
	}
	return method
}

// discard is a response that nobody reads.
type discard struct{}

// Header implements http.ResponseWriter.
func (discard) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discard) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (discard) WriteHeader(int) {}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func objectKey(r *http.Request) string { return r.PathValue("kind") + "/" + r.PathValue("name") }

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	o, ok := p.objects[objectKey(r)]
	p.mu.Unlock()
	if !ok || o.Deleted {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, o)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueBytes+1))
	if err != nil || len(body) > objectstore.MaxValueBytes || !json.Valid(body) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.write(w, r, body, false)
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) { p.write(w, r, nil, true) }

func (p *Platform) write(w http.ResponseWriter, r *http.Request, value json.RawMessage, deleted bool) {
	expected, err := strconv.ParseInt(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := objectKey(r)
	old := p.objects[key]
	have := old.Version
	if old.Deleted {
		have = 0
	}
	if have != expected {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	p.revision++
	o := objectstore.Object{Kind: r.PathValue("kind"), Name: r.PathValue("name"), Version: old.Version + 1, Revision: p.revision, Value: value, Deleted: deleted}
	p.objects[key] = o
	p.wake()
	answer(w, o)
}

type listing struct {
	Objects  []objectstore.Object `json:"objects"`
	Revision int64                `json:"revision"`
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		l, _ := p.since(r.PathValue("kind"), -1)
		answer(w, l)
		return
	}
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.watch(w, r, since)
}

func (p *Platform) since(kind string, revision int64) (listing, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := listing{Objects: []objectstore.Object{}, Revision: p.revision}
	for _, o := range p.objects {
		if o.Kind == kind && o.Revision > revision && (revision >= 0 || !o.Deleted) {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Revision < l.Objects[j].Revision })
	return l, p.changed
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, since int64) {
	end := time.NewTimer(p.watchWait)
	defer end.Stop()
	for {
		l, changed := p.since(r.PathValue("kind"), since)
		if len(l.Objects) > 0 {
			answer(w, l)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end.C:
			answer(w, l)
			return
		}
		if p.current().Down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) listCalls(w http.ResponseWriter, _ *http.Request) { answer(w, p.Calls()) }

// Calls returns the counted calls by method.
func (p *Platform) Calls() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int64, len(p.calls))
	for k, v := range p.calls {
		out[k] = v
	}
	return out
}
