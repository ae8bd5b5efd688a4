// Package standin holds small stand-ins for what stands outside the system:
// the platform, model engines and plain services. They serve demos and tests
// only, and pass the contract tests of docs/contracts.
package standin

import (
	"bytes"
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
	mux.HandleFunc("GET /-/objects/{kind}/{name}", p.guard("get", p.get))
	mux.HandleFunc("POST /-/objects/{kind}", p.guard("put", p.create))
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", p.guard("put", p.put))
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", p.guard("delete", p.remove))
	mux.HandleFunc("GET /-/objects/{kind}", p.guard("list", p.list))
	mux.HandleFunc("GET /vms", p.guard("vms", p.listVMs))
	mux.HandleFunc("PUT /vms", p.setVMs)
	mux.HandleFunc("PUT /faults", takeFaults(p.SetFaults))
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

func (p *Platform) currentFaults() PlatformFaults {
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

// takeFaults returns the handler that puts the faults of a request's body in force.
func takeFaults[F any](set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f F
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		set(f)
	}
}

func objectKey(r *http.Request) string { return r.PathValue("kind") + "/" + r.PathValue("name") }

// storedObject is an object as the API tells it.
type storedObject struct {
	Metadata objectMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
}

type objectMetadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision,omitempty"` // of its last change
}

func told(o objectstore.Object) storedObject {
	return storedObject{objectMetadata{o.Name, o.Revision}, o.Value}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	o, ok := p.objects[objectKey(r)]
	p.mu.Unlock()
	if !ok || o.Deleted {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, told(o))
}

// readObject reads the object of a write; nil if it is malformed or too large.
func readObject(r *http.Request) *storedObject {
	const envelope = 4 << 10 // around the value
	body, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueBytes+envelope))
	var o storedObject
	if err != nil || json.Unmarshal(body, &o) != nil || len(o.Spec) == 0 || len(o.Spec) > objectstore.MaxValueBytes {
		return nil
	}
	return &o
}

func (p *Platform) create(w http.ResponseWriter, r *http.Request) {
	o := readObject(r)
	if o == nil || o.Metadata.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.PathValue("kind") + "/" + o.Metadata.Name
	if old, ok := p.objects[key]; ok && !old.Deleted {
		conflict(w, old)
		return
	}
	p.write(w, key, objectstore.Object{Kind: r.PathValue("kind"), Name: o.Metadata.Name, Value: o.Spec})
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	o := readObject(r)
	if o == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.current(w, r, o.Metadata.Revision)
	switch {
	case !ok:
	case bytes.Equal(old.Value, o.Spec): // changes nothing
		answer(w, told(old))
	default:
		old.Value = o.Spec
		p.write(w, objectKey(r), old)
	}
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	var revision int64
	if text := r.URL.Query().Get("revision"); text != "" {
		var err error
		if revision, err = strconv.ParseInt(text, 10, 64); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.current(w, r, revision); ok {
		old.Deleted, old.Value = true, nil
		p.write(w, objectKey(r), old)
	}
}

// current returns the object of a request if it exists and, unless 0 is asked for,
// has the revision; else it answers. The caller holds the lock.
func (p *Platform) current(w http.ResponseWriter, r *http.Request, revision int64) (objectstore.Object, bool) {
	old, ok := p.objects[objectKey(r)]
	switch {
	case !ok || old.Deleted:
		w.WriteHeader(http.StatusNotFound)
	case revision != 0 && old.Revision != revision:
		conflict(w, old)
	default:
		return old, true
	}
	return objectstore.Object{}, false
}

func conflict(w http.ResponseWriter, o objectstore.Object) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(told(o))
}

// write stores an object under a new revision. The caller holds the lock.
func (p *Platform) write(w http.ResponseWriter, key string, o objectstore.Object) {
	p.revision++
	o.Revision, o.Version = p.revision, p.revision
	p.objects[key] = o
	p.wake()
	answer(w, told(o))
}

// pageLen is the largest number of objects in one page of a list.
const pageLen = 500

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Get("watch") != "" {
		p.watch(w, r)
		return
	}
	objects, revision, _ := p.since(r.PathValue("kind"), -1)
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	first := sort.Search(len(objects), func(i int) bool { return objects[i].Name > query.Get("after") })
	objects = objects[first:]
	page := struct {
		Items   []storedObject `json:"items"`
		HasMore bool           `json:"has_more"`
		At      int64          `json:"at"`
	}{[]storedObject{}, len(objects) > pageLen, revision}
	for _, o := range objects[:min(pageLen, len(objects))] {
		page.Items = append(page.Items, told(o))
	}
	answer(w, page)
}

// since returns the objects of a kind that changed after a revision, oldest change
// first, the store's revision, and a channel that is closed at the next change.
func (p *Platform) since(kind string, revision int64) ([]objectstore.Object, int64, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []objectstore.Object
	for _, o := range p.objects {
		if o.Kind == kind && o.Revision > revision && (revision >= 0 || !o.Deleted) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Revision < out[j].Revision })
	return out, p.revision, p.changed
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait := p.watchWait
	if asked, err := strconv.Atoi(r.URL.Query().Get("wait_ms")); err == nil {
		wait = min(wait, time.Duration(asked)*time.Millisecond)
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for waiting := true; ; {
		objects, revision, changed := p.since(r.PathValue("kind"), since)
		if len(objects) > 0 || !waiting {
			answer(w, watchAnswer(objects, revision))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end.C:
			waiting = false
		}
		if p.currentFaults().Down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

type watchEvent struct {
	Object  storedObject `json:"object"`
	Deleted bool         `json:"deleted"`
}

func watchAnswer(objects []objectstore.Object, revision int64) any {
	events := []watchEvent{}
	for _, o := range objects {
		events = append(events, watchEvent{told(o), o.Deleted})
	}
	return struct {
		Events []watchEvent `json:"events"`
		At     int64        `json:"at"`
	}{events, revision}
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
