package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// silentEngine: three of eight model engines go on with a run when its channel closes. Each of
// these three is silent once, for 0.6 s. TWICE is broken if a request goes on at another engine,
// and the engine before still works on it 400 ms later and more.
func silentEngine(s *site, trouble bool) (broken bool, err error) {
	const (
		engines = 8
		goOn    = 3
		silence = 600 * time.Millisecond
		allowed = 400 * time.Millisecond
	)
	runs := &ledger{}
	f := s.newFleet(runs)
	var last []*modelEngine
	for i := range engines {
		e, err := f.start(modelSlots, func(string) runPlan { return runPlan{events: 140, gap: 36 * time.Millisecond} })
		if err != nil {
			return false, err
		}
		if i < goOn {
			e.goesOn = true
			last = append(last, e)
		}
	}
	s.store.put("config", "main", configuration(7, oneTenant(), []any{draftRoute()}, []any{modelService(modelSlots)}))
	if err := s.startDaemons(2); err != nil {
		return false, err
	}
	time.Sleep(11 * time.Second) // in the first 10 s, daemons repeat nothing beyond a share of the requests
	c := newClient(s)
	go func() {
		for _, e := range last {
			time.Sleep(6 * time.Second)
			if trouble {
				e.silence(silence)
			}
		}
	}()
	every(6.24, 25*time.Second, func() {
		id := c.newID()
		c.attempt(context.Background(), id, http.MethodPost, draftPrefix+"osnutek", key, fmt.Sprintf("profile %d", rand.Int64()), 25*time.Second)
	})
	time.Sleep(time.Second)
	twice, requests := 0, runs.byID()
	for id, list := range requests {
		for i, r := range list[1:] {
			before := list[i]
			if at := f.workedAt(id, before.engine); before.engine != r.engine && at.Sub(r.at) > allowed {
				twice++
				s.record.note("TWICE: %s went on at %s, and %s has worked on it for another %v", id, r.engine, before.engine, at.Sub(r.at).Round(time.Millisecond))
			}
		}
	}
	s.record.conclude("of %d requests, %d went on at another engine while the one before worked on for more than %v", len(requests), twice, allowed)
	return twice > 0, nil
}
