package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lateCrash: a request crashes each engine that runs it, some events after the run has begun.
// A client sends it. Some seconds later two clients send it again, each with three repeats at
// once. BUDGET is broken if it reaches engines more than three times later than contact_ms
// after it has crashed the third.
func lateCrash(s *site, trouble bool) (broken bool, err error) {
	const (
		contact     = 3 * time.Second
		poison      = "a profile that crashes engines"
		crashAfter  = 15              // events, which take 0.6 s
		quiet       = 5 * time.Second // before it comes again
		clients     = 2
		repeats     = 3
		engines     = 24
		soundBefore = 4
	)
	runs := &ledger{}
	f := s.newFleet(runs)
	onRun := func(_ *modelEngine, _ *http.Request, body string) int {
		if !trouble || body != poison {
			return 0
		}
		return crashAfter
	}
	for range engines {
		if _, err := f.start("", onRun); err != nil {
			return false, err
		}
	}
	s.store.put("config", "main", configuration(7, oneTenant(), []any{draftRoute()}, []any{modelService()}))
	if err := s.startDaemons(2); err != nil {
		return false, err
	}
	c := newClient(s)
	send := func(body string) answer {
		return c.attempt(context.Background(), c.newID(), http.MethodPost, "/predstavitev/osnutek", key, body, 25*time.Second)
	}
	for i := range soundBefore {
		if a := send(fmt.Sprintf("profile %d", i)); a.status != http.StatusOK {
			return false, fmt.Errorf("a sound request was answered %d", a.status)
		}
	}
	time.Sleep(3 * time.Second) // the daemons have run for longer than the window of the retry budget
	send(poison)
	time.Sleep(quiet)
	var wg sync.WaitGroup
	for range clients * (1 + repeats) {
		wg.Go(func() { send(poison) })
	}
	wg.Wait()
	time.Sleep(time.Second)
	f.mu.Lock()
	ends := f.ends
	f.mu.Unlock()
	runs.mu.Lock()
	defer runs.mu.Unlock()
	arrivals, late := 0, 0
	for _, r := range runs.runs {
		if r.body != poison {
			continue
		}
		arrivals++
		if len(ends) >= 3 && r.at.Sub(ends[2]) > contact {
			late++
			s.record.note("%s reached %s %v after the third crash", r.id, r.engine, r.at.Sub(ends[2]).Round(time.Millisecond))
		}
	}
	s.record.conclude("the request reached engines %d times and crashed %d; it reached them %d times later than %v after it had crashed the third", arrivals, len(ends), late, contact)
	return late > 3, nil
}
