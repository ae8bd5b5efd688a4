package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// workedOn is the time of TWICE for which an engine may still work on a request that goes on at
// another one.
const workedOn = 400 * time.Millisecond

func streamRoute(name, prefix, service string, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 25000, "slo_ms": 4500, "priority": 1,
		"service": service, "max_attempts": 5, "public": false, "sticky": true, "resumable": resumable, "gap_target_ms": 700,
	}
}

func modelService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kv_capacity": 55000, "kv_token_bytes": 163840, "link_mbps": 2200000.0, "moves": true, "backups": true, "stride": 8,
			"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 4.0, "models": []map[string]any{{"name": "m"}},
		},
	}
}

// copiedEntry: another writer puts entries of a service that the configuration doesn't name, with
// the addresses of two engines that are up.
func copiedEntry(trouble bool) (broken []string) {
	return foreignEntries(trouble, func(s *site, engines []*engine) {
		engines[0].awaitBeat()
		time.Sleep(heartbeat / 2) // half-way between two heartbeats: entries that come with one are undone by it
		for _, e := range engines[:2] {
			entry := e.entry(1)
			entry["service"] = "archive"
			status := s.put("servers", "copy-of-"+e.id, entry)
			s.note("another writer puts copy-of-%s, of the service archive, at the address of %s: %d", e.id, e.id, status)
		}
	})
}

// overwrittenEntry: another writer replaces the entries of two engines that are up by ones without
// the field born. The engines write theirs again with their next heartbeats.
func overwrittenEntry(trouble bool) (broken []string) {
	return foreignEntries(trouble, func(s *site, engines []*engine) {
		for _, e := range engines[:2] {
			e.awaitBeat()
			entry := e.entry(1)
			delete(entry, "born")
			status := s.put("servers", e.id, entry)
			s.note("another writer replaces the entry of %s by one without born: %d", e.id, status)
		}
	})
}

// foreignEntries runs streams at six engines while another writer writes entries. Most engines drop
// a request when its channel closes; the first two, whose entries are meant, don't.
func foreignEntries(trouble bool, write func(*site, []*engine)) (broken []string) {
	s := newSite()
	s.configure([]map[string]any{streamRoute("haul-plan", "/haul/", "plan-llm", true), streamRoute("fixed-plan", "/fixed/", "plan-llm", false)}, []map[string]any{modelService("plan-llm")})
	var engines []*engine
	for i := range 6 {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: "plan-llm", zone: "bloem-a", slots: 64, events: 140, interval: 100 * time.Millisecond, keepsRuns: i < 2}
		e.start(s)
		engines = append(engines, e)
	}
	s.startDaemons(8)
	time.Sleep(2*contact + time.Second) // in touch, also by the entries of the others
	const streams = 60
	outcomes := make([]outcome, streams)
	var wg sync.WaitGroup
	for i := range streams {
		c := newCaller(s, s.daemons[i%len(s.daemons)])
		path := fmt.Sprintf("/haul/%x", i)
		if i%5 == 3 {
			path = fmt.Sprintf("/fixed/%x", i)
		}
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			outcomes[i] = c.send(http.MethodPost, path, 25*time.Second, map[string]string{
				"Vanillaroad-Model": "m", "Vanillaroad-Token-Usage": "1460,140", "Vanillaroad-Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,e44%05x:660", i),
			}, "a prompt")
			s.note("caller: %s", outcomes[i])
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		write(s, engines)
	}
	wg.Wait()
	time.Sleep(time.Second)
	return workedTwice(s, engines, outcomes)
}

// workedTwice returns the requests at which an engine still worked workedOn after another one
// had begun to go on with them.
func workedTwice(s *site, engines []*engine, outcomes []outcome) (broken []string) {
	runs := make(map[string][]*run)
	for _, e := range engines {
		e.mu.Lock()
		for _, r := range e.all {
			runs[r.id] = append(runs[r.id], r)
		}
		e.mu.Unlock()
	}
	for id, all := range runs {
		for _, before := range all {
			for _, next := range all {
				if before.engine == next.engine || !next.began.After(before.began) {
					continue
				}
				ended := before.ended
				if ended.IsZero() {
					ended = time.Now()
				}
				if over := ended.Sub(next.began); over > workedOn {
					broken = append(broken, fmt.Sprintf("TWICE: %s went on at %s, and %s still worked on it %v later", id, next.engine, before.engine, over.Round(time.Millisecond)))
				}
			}
		}
	}
	for _, o := range outcomes {
		if !o.complete || o.status != http.StatusOK {
			s.note("not complete at its caller: %s", o)
		}
	}
	return broken
}
