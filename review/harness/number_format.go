package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// numberFormat: the operator changes the time-out of a route and takes a key away, in one
// config. The new time-out is written as a JSON number with a fraction of zero. CONFIG is
// broken if a request sent later than config_apply_ms after that runs with the dropped key.
func numberFormat(s *site, trouble bool) (broken bool, err error) {
	const (
		apply   = 2 * time.Second
		kept    = "wsjnbanfqasnmgkcuyj8"
		timeout = 1200
	)
	runs := &ledger{}
	for i := range 4 {
		if _, err := s.startPlainEngine(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), booking, runs); err != nil {
			return false, err
		}
	}
	services := []any{bookingService()}
	keys := func(list ...string) any { return []any{map[string]any{"name": tenant, "api_keys": list}} }
	s.store.put("config", "main", configuration(7, keys(key, kept), bookingRoutes(), services))
	if err := s.startDaemons(2); err != nil {
		return false, err
	}
	c := newClient(s)
	send := func(apiKey string) (string, answer) {
		id := c.newID()
		return id, c.attempt(context.Background(), id, http.MethodPost, "/zakup/stojnica", apiKey, "lease "+id, 1500*time.Millisecond)
	}
	for _, k := range []string{key, kept} {
		if _, a := send(k); a.status != http.StatusOK {
			return false, fmt.Errorf("a request with a key was answered %d before the change", a.status)
		}
	}
	routes := bookingRoutes()
	changed := route("zakup-stojnice", "/zakup/", "non_idempotent", booking, timeout, 100, 1)
	if trouble {
		changed["timeout_ms"] = number("1200.0")
	}
	routes[0] = changed
	s.store.put("config", "main", configuration(9, keys(kept), routes, services))
	s.record.note("the store has acknowledged version 9, with timeout_ms %v and without one key", changed["timeout_ms"])
	time.Sleep(apply + time.Second)
	dropped := make(map[string]bool)
	statuses := make(map[int]int)
	for range 50 {
		id, a := send(key)
		dropped[id] = true
		statuses[a.status]++
	}
	time.Sleep(time.Second)
	ran := 0
	for id, list := range runs.byID() {
		if dropped[id] {
			ran++
			s.record.note("CONFIG: %s has run at %s with the dropped key", id, list[0].engine)
		}
	}
	s.record.conclude("answers with the dropped key by status, 3 s and more after the ack: %v; %d of 50 have run", statuses, ran)
	return ran > 0, nil
}

// number is a JSON number in its written form.
type number string

// MarshalJSON implements json.Marshaler.
func (n number) MarshalJSON() ([]byte, error) { return []byte(n), nil }
