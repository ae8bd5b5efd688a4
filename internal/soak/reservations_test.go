package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	pathReservations = "/-/hold-"
	maxReservation   = 2 * time.Second
)

// reserve answers a request that reserves a slot, or ends a reservation.
func (e *engine) reserve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodDelete {
		delete(e.reservations, r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
		return
	}
	var request struct {
		Tokens int   `json:"tokens"`
		Millis int64 `json:"ttl_ms"`
	}
	d := func() time.Duration { return time.Duration(request.Millis) * time.Millisecond }
	switch err := json.NewDecoder(r.Body).Decode(&request); {
	case err != nil || request.Tokens <= 0 || d() <= 0 || d() > maxReservation:
		w.WriteHeader(http.StatusBadRequest)
		return
	case len(e.running)+e.openReservations() >= e.slots:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := fmt.Sprintf("%s-%d", e.id, time.Now().UnixNano())
	e.reservations[id] = time.Now().Add(d())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"hold": id})
}

// openReservations returns how many slots are reserved. The caller holds the mutex.
func (e *engine) openReservations() (n int) {
	for id, until := range e.reservations {
		if time.Now().After(until) {
			delete(e.reservations, id)
			continue
		}
		n++
	}
	return n
}

// takeReservation ends a reservation and reports whether it was open. The caller holds the mutex.
func (e *engine) takeReservation(id string) bool {
	until, open := e.reservations[id]
	delete(e.reservations, id)
	return open && time.Now().Before(until)
}
