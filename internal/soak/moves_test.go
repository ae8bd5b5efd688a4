package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"sync/atomic"
)

const pathMove = "/-/kv-move"

// stoppable returns the request of a run with a context that a move ends and, unless the engine
// goes on, the end of its connection. stopped reports whether a move has ended it.
func (e *engine) stoppable(r *http.Request, id string) (run *http.Request, stopped func() bool) {
	ctx := r.Context()
	if e.goesOn {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	var moved atomic.Bool
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stops[id] = func() {
		moved.Store(true)
		cancel()
	}
	return r.WithContext(ctx), moved.Load
}

// move answers a request that copies a run to another engine, and may stop it.
func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ID     string `json:"id"`
		Target string `json:"target"`
		Last   bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	events, running := e.movable(request.ID)
	e.mu.Lock()
	stop := e.stops[request.ID]
	e.mu.Unlock()
	holder := e.site.engineAt(request.Target)
	switch {
	case !running:
		w.WriteHeader(http.StatusNotFound)
		return
	case holder == nil:
		w.WriteHeader(http.StatusServiceUnavailable) // the run goes on
		return
	case request.Last:
		stop()
	}
	holder.addCopy(e.address + "/h" + request.ID)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": "h" + request.ID, "created": events})
}

// engineAt returns the engine with an address, nil if there is none.
func (s *site) engineAt(address string) *engine {
	for _, e := range s.engines {
		if e.address == address {
			return e
		}
	}
	return nil
}

// copyTo copies a run to the engine with an address, if there is one.
func (e *engine) copyTo(address, id string) {
	if address == "" {
		return
	}
	if holder := e.site.engineAt(address); holder != nil {
		holder.addCopy(holder.address + "/" + id)
	}
}

func (e *engine) addCopy(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies[name] = true
}

// takeCopy reports whether the engine holds a copy, which can be used once.
func (e *engine) takeCopy(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.copies[name]
	delete(e.copies, name)
	return held
}
