package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lateExtraAnswer: faulty engines send additional bytes after some of their complete
// responses, at the point where the next response on the channel is expected. The bytes are a
// rejection without a request id. REFUSED is broken if the client of a request that isn't
// idempotent gets one of the statuses that promise that it has not run, and it has run.
func lateExtraAnswer(s *site, trouble bool) (broken bool, err error) {
	const engines, faulty = 4, 2
	runs := &ledger{}
	for i := range engines {
		e, err := s.startPlainEngine(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), booking, runs)
		if err != nil {
			return false, err
		}
		if trouble && i < faulty {
			e.extraShare, e.extra = 0.03, "HTTP/1.1 503 Service Unavailable\r\n"+headerNotRun+": 1\r\nContent-Length: 0\r\n\r\n"
		}
	}
	s.store.put("config", "main", configuration(7, oneTenant(), bookingRoutes(), []any{bookingService()}))
	if err := s.startDaemons(2); err != nil {
		return false, err
	}
	c := newClient(s)
	var mu sync.Mutex
	promises, answers := make(map[string]answer), make(map[int]int)
	attempts := make(map[string][]string) // ids of the attempts of each lease
	var wg sync.WaitGroup
	wg.Go(func() {
		every(24.5, 60*time.Second, func() {
			lease := "lease " + c.newID()
			retry := newClient(s) // without kept channels
			defer retry.drop()
			for _, sender := range []*client{c, retry} { // a client retries once, and only after a promise
				id := c.newID()
				a := sender.attempt(context.Background(), id, http.MethodPost, "/zakup/stojnica", key, lease, 1500*time.Millisecond)
				mu.Lock()
				answers[a.status]++
				attempts[lease] = append(attempts[lease], id)
				if promised(a.status) {
					promises[id] = a
				}
				mu.Unlock()
				if !promised(a.status) {
					return
				}
				time.Sleep(min(a.retryAfter, 500*time.Millisecond))
			}
		})
	})
	wg.Go(func() {
		every(9.8, 60*time.Second, func() {
			c.attempt(context.Background(), c.newID(), http.MethodGet, "/prosto/mesto-"+c.newID(), key, "", 1500*time.Millisecond)
		})
	})
	wg.Wait()
	time.Sleep(time.Second)
	byID := runs.byID()
	refused, doubled := 0, 0
	for id, a := range promises {
		if len(byID[id]) > 0 {
			refused++
			s.record.note("REFUSED: %s was answered %d and has run at %s", id, a.status, byID[id][0].engine)
		}
	}
	for lease, ids := range attempts {
		n := 0
		for _, id := range ids {
			n += len(byID[id])
		}
		if n > 1 {
			doubled++
			s.record.note("%s has run %d times, as %v", lease, n, ids)
		}
	}
	s.record.conclude("answers to lease confirmations by status: %v", answers)
	s.record.conclude("%d lease confirmations were answered with a promise, %d of them have run; %d leases were made twice", len(promises), refused, doubled)
	return refused > 0, nil
}
