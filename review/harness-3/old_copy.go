package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func plainRoute(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 1200, "slo_ms": 150, "priority": 2,
		"service": service, "max_attempts": attempts, "public": false,
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
}

// Times of the case, from the moment at which the engine begins to leave.
const (
	restoredAfter = 4 * time.Second // the store comes back from a copy
	copyAge       = 6 * time.Second // the age of the copy
	exitsAfter    = 6 * time.Second // the engine ends
)

// oldCopy: an engine leaves, and a drill brings the store back from a copy that still has its
// entry.
func oldCopy(trouble bool) (broken []string) {
	s := newSite()
	s.configure([]map[string]any{
		plainRoute("slot-confirm", "/slot/", "non_idempotent", "booking-app", 1), plainRoute("gate-notice", "/gate/", "idempotent", "booking-app", 2),
	}, []map[string]any{plainService("booking-app")})
	var engines []*engine
	for i := range 4 {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: "booking-app", zone: "bloem-a", slots: 6, work: 60 * time.Millisecond}
		e.start(s)
		engines = append(engines, e)
	}
	s.startDaemons(8)
	time.Sleep(2*contact + time.Second)
	var mu sync.Mutex
	var outcomes []outcome
	var wg sync.WaitGroup
	done := make(chan struct{})
	for i := range 16 { // about 55 requests a second together
		c := newCaller(s, s.daemons[i%len(s.daemons)])
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(250 * time.Millisecond):
				}
				path, method := fmt.Sprintf("/slot/%x", n), http.MethodPost
				if i%4 == 3 {
					path, method = fmt.Sprintf("/gate/%x", n), http.MethodGet
				}
				o := c.send(method, path, 2500*time.Millisecond, nil, "")
				s.note("caller: %s", o)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	leaver := engines[0]
	leftAt := time.Now()
	s.note("%s begins to leave: it says so in its answers, and removes its entry", leaver.id)
	leaver.leave()
	time.Sleep(time.Until(leftAt.Add(restoredAfter)))
	if trouble {
		_, status := s.call(http.MethodPost, "/restorations", map[string]any{"age_ms": copyAge.Milliseconds(), "down_ms": 0})
		s.note("the store comes back from a copy %v old: %d", copyAge, status)
	}
	time.Sleep(time.Until(leftAt.Add(exitsAfter)))
	leaver.exit()
	s.note("%s ends", leaver.id)
	// Its entry is removed after three heartbeats of silence.
	time.Sleep(time.Until(leftAt.Add(restoredAfter + 3*heartbeat)))
	if trouble {
		s.note("the entry of %s lapses: %d", leaver.id, s.remove("servers", leaver.id))
	}
	time.Sleep(2 * time.Second)
	close(done)
	wg.Wait()
	return reachedLeaver(s, leaver, outcomes)
}

// reachedLeaver returns the requests that callers sent later than drainTime after a machine had
// passed on an answer with Server-Leaving, and that reached the engine from that machine.
func reachedLeaver(s *site, leaver *engine, outcomes []outcome) (broken []string) {
	passedOn := make(map[string]time.Time) // by machine, the first time; an upper bound, since the answer is seen at its end
	lost := 0
	ran := make(map[string]*run)
	leaver.mu.Lock()
	for _, r := range leaver.all {
		ran[r.id] = r
	}
	leaver.mu.Unlock()
	for _, o := range outcomes {
		if at := o.ended(); o.leaving && (passedOn[o.daemon].IsZero() || at.Before(passedOn[o.daemon])) {
			passedOn[o.daemon] = at
		}
	}
	for machine, at := range passedOn {
		s.note("%s first passed on an answer with Server-Leaving at %.3f", machine, at.Sub(s.started).Seconds())
	}
	for _, o := range outcomes {
		first := passedOn[o.daemon]
		if r := ran[o.id]; r != nil && !first.IsZero() && o.sent.Sub(first) > drainTime {
			broken = append(broken, fmt.Sprintf("DRAIN: %s (%s), sent %v after %s had passed on Server-Leaving, reached %s", o.id, o.path, o.sent.Sub(first).Round(time.Millisecond), o.daemon, leaver.id))
			if o.status != http.StatusOK {
				lost++
				s.note("lost with the engine: %s", o)
			}
		}
	}
	s.note("%d requests of these were lost with the engine", lost)
	return broken
}
