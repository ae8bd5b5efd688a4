package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// BookingFaults are the faults that a Booking injects. PUT /faults sets them while it
// runs.
type BookingFaults struct {
	Refuse      bool `json:"refuse"`       // answer 503 without running the call
	LoseAnswers bool `json:"lose_answers"` // run the call, then close the connection without an answer
	Silent      bool `json:"silent"`       // run the call, then never answer
	SlowMillis  int  `json:"slow_ms"`      // delay before each call, in milliseconds
	Leaving     bool `json:"leaving"`      // report that the service is about to stop and must get no new work
}

// Booking is a plain service that books once per call and counts the bookings of
// each key in a ledger. It does not deduplicate: a key that is received twice runs
// twice.
type Booking struct {
	Delay   time.Duration // duration of a call
	Journal io.Writer     // receives each key on a line before its call runs; may be nil

	incarnation uint64

	mu      sync.Mutex
	ledger  map[string]int
	running int
	faults  BookingFaults
}

// NewBooking returns a service with an empty ledger.
func NewBooking(delay time.Duration) *Booking {
	return &Booking{Delay: delay, incarnation: uint64(time.Now().UnixNano()), ledger: make(map[string]int)}
}

// Handler returns the HTTP interface.
func (b *Booking) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call", b.call)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.Ledger()) })
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.load()) })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, b.load()) })
	mux.HandleFunc("PUT /faults", faultsHandler(b.SetFaults))
	return mux
}

// SetFaults replaces the active faults.
func (b *Booking) SetFaults(f BookingFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
}

func (b *Booking) load() target.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	return target.Load{Running: b.running, Leaving: b.faults.Leaving, Incarnation: b.incarnation}
}

// Ledger returns how often each key ran.
func (b *Booking) Ledger() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]int, len(b.ledger))
	for k, n := range b.ledger {
		out[k] = n
	}
	return out
}

func (b *Booking) call(w http.ResponseWriter, r *http.Request) {
	var c target.Call
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	f := b.faults
	b.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	if f.Refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n := b.book(c.Key)
	switch {
	case f.LoseAnswers:
		panic(http.ErrAbortHandler)
	case f.Silent:
		<-r.Context().Done()
		return
	}
	_, _ = fmt.Fprintf(w, "booked %s, run %d", c.Key, n)
}

// book runs one call and returns how often its key has run.
func (b *Booking) book(key string) int {
	b.mu.Lock()
	if b.Journal != nil {
		_, _ = fmt.Fprintln(b.Journal, key)
	}
	b.ledger[key]++
	n := b.ledger[key]
	b.running++
	b.mu.Unlock()
	time.Sleep(b.Delay)
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	return n
}
