package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// lastTenant: the operator takes the keys of the only tenant away, with a config whose list of
// tenants is empty. CONFIG is broken if a request sent later than config_apply_ms after that
// runs with the dropped key, ROUTE if one runs whose key no config ever held.
func lastTenant(s *site, trouble bool) (broken bool, err error) {
	const apply = 2 * time.Second
	runs := &ledger{}
	for i := range 4 {
		if _, err := s.startPlainEngine(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), booking, runs); err != nil {
			return false, err
		}
	}
	services := []any{bookingService()}
	s.store.put("config", "main", configuration(7, oneTenant(), bookingRoutes(), services))
	if err := s.startDaemons(2); err != nil {
		return false, err
	}
	c := newClient(s)
	send := func(apiKey string) (string, answer) {
		id := c.newID()
		return id, c.attempt(context.Background(), id, http.MethodPost, "/zakup/stojnica", apiKey, "lease "+id, 1500*time.Millisecond)
	}
	for range 20 {
		if _, a := send(key); a.status != http.StatusOK {
			return false, fmt.Errorf("a request with the tenant's key was answered %d before the change", a.status)
		}
		if _, a := send("bd0a1w7w1qk3xn5x0f2k"); a.status != http.StatusUnauthorized {
			return false, fmt.Errorf("a request with an unknown key was answered %d before the change", a.status)
		}
	}
	if trouble {
		s.store.put("config", "main", configuration(9, []any{}, bookingRoutes(), services))
		s.record.note("the store has acknowledged version 9, without tenants")
	} else { // the same change, with another tenant left
		s.store.put("config", "main", configuration(9, []any{map[string]any{"name": "nuxo114", "api_keys": []string{"wsjnbanfqasnmgkcuyj8"}}}, bookingRoutes(), services))
		s.record.note("the store has acknowledged version 9, with another tenant")
	}
	time.Sleep(apply + time.Second)
	dropped, unknown := make(map[string]bool), make(map[string]bool)
	statuses := make(map[int]int)
	for range 50 {
		id, a := send(key)
		dropped[id] = true
		statuses[a.status]++
		id, a = send("bd0a1w7w1qk3xn5x0f2k")
		unknown[id] = true
		statuses[a.status]++
	}
	time.Sleep(time.Second)
	withDropped, withUnknown := 0, 0
	for id, list := range runs.byID() {
		if dropped[id] {
			withDropped++
			s.record.note("CONFIG: %s has run at %s with the dropped key, for tenant %q", id, list[0].engine, list[0].tenant)
		}
		if unknown[id] {
			withUnknown++
			s.record.note("ROUTE: %s has run at %s with a key that no config held, for tenant %q", id, list[0].engine, list[0].tenant)
		}
	}
	s.record.conclude("after the change: answers by status %v; of 50 requests with the dropped key %d have run, of 50 with a key that no config held %d", statuses, withDropped, withUnknown)
	return withDropped+withUnknown > 0, nil
}
