package standin

import (
	"container/list"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// CrashPrompt is a text that crashes each engine that runs a prompt containing it.
const CrashPrompt = "CRASH-THE-ENGINE"

// EngineSettings configures an engine stand-in.
type EngineSettings struct {
	Slots         int               // batch size
	TokenInterval time.Duration     // time between two tokens of one stream
	PrefillRate   float64           // prompt tokens per second
	KeepAlive     time.Duration     // time between keep-alives while no token is sent
	CacheBlocks   int               // size of the prefix cache, in blocks
	LoadLag       time.Duration     // maximum age of the load report
	Models        map[string]string // model name to version
	ChecksFencing bool              // refuse orders with an old fencing number
	LoadTime      time.Duration     // time to load the weights of the models in an order
	WeightStore   string            // base URL of the weight store; none if empty
	// Crash is called when the engine runs a prompt with CrashPrompt.
	Crash func()
}

// DefaultEngineSettings returns the settings of a small, fast engine.
func DefaultEngineSettings() EngineSettings {
	return EngineSettings{
		Slots: 16, TokenInterval: 20 * time.Millisecond, PrefillRate: 20000,
		KeepAlive: 200 * time.Millisecond, CacheBlocks: 4096, LoadLag: 500 * time.Millisecond,
		Models: map[string]string{"writer": "1"}, Crash: func() {},
	}
}

// WorkCounts counts the work of an engine since its start.
type WorkCounts struct {
	PrefillTokens int64 `json:"prefill_tokens"`
	CachedTokens  int64 `json:"cached_tokens"`
	DecodeTokens  int64 `json:"decode_tokens"`
	Streams       int64 `json:"streams"`
	Canceled      int64 `json:"canceled"`
	Orders        int64 `json:"orders"`
	FencedOrders  int64 `json:"fenced_orders"`
	PeakRunning   int   `json:"peak_running"`
}

// EngineFaults are the faults that an Engine injects. PUT /faults sets them while it
// runs.
type EngineFaults struct {
	// SilentStreams stops all output on the streams that are open when it is set. New
	// connections work.
	SilentStreams bool `json:"silent_streams"`
	// Leaving makes load reports state that the engine is about to stop and must get
	// no new work.
	Leaving bool `json:"leaving"`
	// CacheLagMillis delays the visibility of cache events.
	CacheLagMillis int64 `json:"cache_lag_ms"`
	// CacheGapEvery drops every CacheGapEvery-th cache event; 0 drops none.
	CacheGapEvery int64 `json:"cache_gap_every"`
}

// Engine is a simulated model engine with continuous batching. Queued streams start
// in order of priority.
type Engine struct {
	settings    EngineSettings
	incarnation uint64

	mu           sync.Mutex
	faults       EngineFaults
	silencedAt   time.Time // SilentStreams silences the connections opened before it
	streams      map[target.StreamID]*engineStream
	queue        []*engineStream
	running      int
	counts       WorkCounts
	models       map[string]string
	role         string
	fencing      int64 // highest fencing number of the orders received
	cache        map[uint64]*list.Element
	lru          *list.List
	eventLog     cacheEventLog
	finished     []target.StreamID // oldest first; callers can still attach to them
	memoryTokens int64             // KV cache in use, in tokens
	lastReport   target.Load
	reportedAt   time.Time
}

// NewEngine returns an idle engine.
func NewEngine(s EngineSettings) *Engine {
	e := &Engine{
		settings: s, incarnation: uint64(time.Now().UnixNano()), streams: make(map[target.StreamID]*engineStream),
		models: make(map[string]string), cache: make(map[uint64]*list.Element), lru: list.New(),
	}
	for k, v := range s.Models {
		e.models[k] = v
	}
	return e
}

// Handler returns the HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.generate)
	mux.HandleFunc("GET /streams/{request}/{attempt}", e.attach)
	mux.HandleFunc("DELETE /streams/{request}/{attempt}", e.cancel)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.load()) })
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.laggedLoad()) })
	mux.HandleFunc("GET /cache-events", e.cacheEvents)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("GET /work", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Work()) })
	mux.HandleFunc("PUT /faults", faultsHandler(e.SetFaults))
	return mux
}

// Work returns the counts of the work done so far.
func (e *Engine) Work() WorkCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// SetFaults replaces the active faults. Setting SilentStreams silences the streams
// that are open now.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.SilentStreams {
		e.silencedAt = time.Now()
	}
	e.faults = f
}

func (e *Engine) load() target.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	models := make(map[string]string, len(e.models))
	for k, v := range e.models {
		models[k] = v
	}
	return target.Load{
		Running: e.running, Queued: len(e.queue), Slots: e.settings.Slots, Models: models, Role: e.role,
		MemoryTokens: e.memoryTokens,
		TokensPerSec: float64(e.running) / e.settings.TokenInterval.Seconds(),
		Leaving:      e.faults.Leaving, Incarnation: e.incarnation, FencingNumber: e.fencing,
	}
}

// laggedLoad returns a load report that is up to LoadLag old.
func (e *Engine) laggedLoad() target.Load {
	current := e.load()
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reportedAt) > e.settings.LoadLag {
		e.lastReport, e.reportedAt = current, time.Now()
	}
	l := e.lastReport
	l.AgeMillis = time.Since(e.reportedAt).Milliseconds()
	return l
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Orders++
	if o.FencingNumber < e.fencing {
		e.counts.FencedOrders++
		if e.settings.ChecksFencing {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	e.fencing = max(e.fencing, o.FencingNumber)
	go e.applyOrder(o)
}

// schedule starts queued streams while the batch has free slots: the highest
// priority first, then in order of arrival. The caller holds the lock.
func (e *Engine) schedule() {
	for e.running < e.settings.Slots && len(e.queue) > 0 {
		best := 0
		for i, s := range e.queue {
			if s.req.Priority > e.queue[best].req.Priority {
				best = i
			}
		}
		s := e.queue[best]
		e.queue = append(e.queue[:best], e.queue[best+1:]...)
		e.running++
		e.counts.PeakRunning = max(e.counts.PeakRunning, e.running)
		go e.decode(s)
	}
}

// newTag returns eight random hexadecimal digits.
func newTag(r *rand.Rand) string {
	const width = 8
	s := strconv.FormatUint(uint64(r.Uint32()), 16)
	return strings.Repeat("0", width-len(s)) + s
}
