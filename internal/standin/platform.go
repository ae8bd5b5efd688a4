// Package standin holds small stand-ins for the systems that vanillaroad depends on:
// the platform, model engines, plain services and the weight store. They serve demos
// and tests only, and pass the contract tests of docs/contracts.
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

// defaultWatchTimeout is the longest time that a watch waits for a change.
const defaultWatchTimeout = 5 * time.Second

// PlatformFaults are the faults that a Platform injects. PUT /faults sets them while
// it runs.
type PlatformFaults struct {
	Down        bool `json:"down"`         // answer every call with 503
	LoseAnswers bool `json:"lose_answers"` // apply writes, but close the connection without an answer
	SlowMillis  int  `json:"slow_ms"`      // delay before each call, in milliseconds
	VMLagMillis int  `json:"vm_lag_ms"`    // delay until readers see a new VM list, in milliseconds
	// ReadsPerSecond and WritesPerSecond are rate limits; 0 means no limit. A call
	// over its limit is answered with 429 and has no effect.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
}

// Platform is an in-memory object store with the HTTP API of the platform, and a VM
// list.
type Platform struct {
	watchTimeout time.Duration

	mu       sync.Mutex
	objects  map[string]objectstore.Object
	revision int64
	vms      []vmList // oldest first
	reads    *rate.Limiter
	writes   *rate.Limiter
	faults   PlatformFaults
	calls    map[string]int64
	changed  chan struct{} // closed and replaced at each change
	era      int64         // rises at each restoration
	history  []change      // for restorations, oldest first; nothing older than maxCopyAge
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		objects: make(map[string]objectstore.Object), calls: make(map[string]int64), changed: make(chan struct{}),
		watchTimeout: defaultWatchTimeout, reads: newLimiter(0), writes: newLimiter(0),
	}
}

// Handler returns the HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}/{name}", p.withFaults("get", p.get))
	mux.HandleFunc("POST /-/objects/{kind}", p.withFaults("put", p.create))
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", p.withFaults("put", p.put))
	mux.HandleFunc("PUT /-/objects/{kind}/{name}/status", p.withFaults("put", p.putStatus))
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", p.withFaults("delete", p.remove))
	mux.HandleFunc("GET /-/objects/{kind}", p.withFaults("list", p.list))
	mux.HandleFunc("GET /vms", p.withFaults("vms", p.listVMs))
	mux.HandleFunc("PUT /vms", p.setVMs)
	mux.HandleFunc("PUT /faults", faultsHandler(p.SetFaults))
	mux.HandleFunc("POST /restorations", faultsHandler(p.Restore))
	mux.HandleFunc("GET /calls", p.listCalls)
	return mux
}

// SetFaults replaces the active faults and ends waiting watches if the platform is
// down.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.reads, p.writes = newLimiter(f.ReadsPerSecond), newLimiter(f.WritesPerSecond)
	p.notifyWatchers()
}

// newLimiter returns a limiter of perSecond calls per second with a burst of one
// second; 0 means no limit.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) currentFaults() PlatformFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// withFaults returns h with call counting and fault injection. A lost answer closes
// the connection after the call took effect.
func (p *Platform) withFaults(method string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls[callName(method, r)]++
		f, limit := p.faults, p.writes
		if r.Method == http.MethodGet {
			limit = p.reads
		}
		p.mu.Unlock()
		writeEra(w, p.currentEra())
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
			h(discardResponse{}, r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

// callName returns the name under which a call is counted. A watch is counted
// separately from a list, and only once even if it waits long.
func callName(method string, r *http.Request) string {
	if r.URL.Query().Get("watch") != "" {
		return "watch"
	}
	return method
}

// discardResponse is an http.ResponseWriter that discards the response.
type discardResponse struct{}

// Header implements http.ResponseWriter.
func (discardResponse) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (discardResponse) WriteHeader(int) {}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// faultsHandler returns a handler that passes the faults in the request body to set.
func faultsHandler[F any](set func(F)) http.HandlerFunc {
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

// objectJSON is an object as the API encodes it.
type objectJSON struct {
	Metadata metadataJSON    `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status"` // null before the first write of it
}

type metadataJSON struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision,omitempty"` // store revision of the last change of the object
	Created  int64  `json:"created,omitempty"`  // store revision of the creation of the object
}

func toJSON(o objectstore.Object) objectJSON {
	return objectJSON{metadataJSON{o.Name, o.Revision, o.Created}, o.Value, o.Status}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	o, ok := p.objects[objectKey(r)]
	p.mu.Unlock()
	if !ok || o.Deleted {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, toJSON(o))
}

// decodeObject returns the object in the body of a write, or nil if it is malformed
// or too large.
func decodeObject(r *http.Request) *objectJSON {
	const envelope = 4 << 10 // bytes around the value
	body, err := io.ReadAll(io.LimitReader(r.Body, objectstore.MaxValueBytes+envelope))
	var o objectJSON
	if err != nil || json.Unmarshal(body, &o) != nil || len(o.Spec) == 0 || len(o.Spec) > objectstore.MaxValueBytes {
		return nil
	}
	return &o
}

func (p *Platform) create(w http.ResponseWriter, r *http.Request) {
	o := decodeObject(r)
	if o == nil || o.Metadata.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.PathValue("kind") + "/" + o.Metadata.Name
	if old, ok := p.objects[key]; ok && !old.Deleted {
		writeConflict(w, old)
		return
	}
	p.storeObject(w, key, objectstore.Object{Kind: r.PathValue("kind"), Name: o.Metadata.Name, Value: o.Spec})
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	o := decodeObject(r)
	if o == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old, ok := p.currentObject(w, r, o.Metadata.Revision)
	switch {
	case !ok:
	case bytes.Equal(old.Value, o.Spec): // an unchanged value keeps its version
		writeJSON(w, toJSON(old))
	default:
		old.Value = o.Spec
		p.storeObject(w, objectKey(r), old)
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
	if old, ok := p.currentObject(w, r, revision); ok {
		old.Deleted, old.Value, old.Status = true, nil, nil
		p.storeObject(w, objectKey(r), old)
	}
}

// currentObject returns the object of a request if it exists and has the given
// revision; revision 0 matches any. Otherwise it writes an error response and returns
// false. The caller holds the lock.
func (p *Platform) currentObject(w http.ResponseWriter, r *http.Request, revision int64) (objectstore.Object, bool) {
	old, ok := p.objects[objectKey(r)]
	switch {
	case !ok || old.Deleted:
		w.WriteHeader(http.StatusNotFound)
	case revision != 0 && old.Revision != revision:
		writeConflict(w, old)
	default:
		return old, true
	}
	return objectstore.Object{}, false
}

func writeConflict(w http.ResponseWriter, o objectstore.Object) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(toJSON(o))
}

// storeObject stores an object under a new revision and writes it as the response.
// The caller holds the lock.
func (p *Platform) storeObject(w http.ResponseWriter, key string, o objectstore.Object) {
	p.recordChange(key)
	p.revision++
	o.Revision, o.Version = p.revision, p.revision
	if o.Created == 0 {
		o.Created = p.revision
	}
	p.objects[key] = o
	p.notifyWatchers()
	writeJSON(w, toJSON(o))
}

// maxPageObjects is the maximum number of objects in one page of a list.
const maxPageObjects = 500

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Get("watch") != "" {
		p.watch(w, r)
		return
	}
	objects, at, _ := p.changedSince(r.PathValue("kind"), -1)
	writeEra(w, at.Era) // of the objects, if the store was restored since the call began
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	first := sort.Search(len(objects), func(i int) bool { return objects[i].Name > query.Get("after") })
	objects = objects[first:]
	page := struct {
		Items   []objectJSON `json:"items"`
		HasMore bool         `json:"has_more"`
		At      int64        `json:"at"`
	}{[]objectJSON{}, len(objects) > maxPageObjects, at.Revision}
	for _, o := range objects[:min(maxPageObjects, len(objects))] {
		page.Items = append(page.Items, toJSON(o))
	}
	writeJSON(w, page)
}

// changedSince returns the objects of a kind that changed after a revision, sorted by
// revision. Revision -1 returns all objects that are not deleted. It also returns the
// position of the store and a channel that is closed at the next change.
func (p *Platform) changedSince(kind string, revision int64) ([]objectstore.Object, objectstore.Position, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []objectstore.Object
	for _, o := range p.objects {
		if o.Kind == kind && o.Revision > revision && (revision >= 0 || !o.Deleted) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Revision < out[j].Revision })
	return out, objectstore.Position{Era: p.era, Revision: p.revision}, p.changed
}

func (p *Platform) listCalls(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Calls()) }

// Calls returns the number of calls by method.
func (p *Platform) Calls() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]int64, len(p.calls))
	for k, v := range p.calls {
		out[k] = v
	}
	return out
}
