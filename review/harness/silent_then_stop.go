package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// silentThenStop: twelve streams run at an engine, while all slots of the other engine are used
// by longer ones. The first engine is silent for a second. A second later the daemon that serves
// the twelve gets SIGTERM. LOST is broken if the channel of one of them ends without a complete
// answer within grace_s + 1 s after that, and no engine has worked on it in the last sixth of
// grace_s.
func silentThenStop(s *site, trouble bool) (broken bool, err error) {
	const (
		slots   = 12
		silence = time.Second
		grace   = 8 * time.Second
		limit   = 25 * time.Second
		gap     = 200 * time.Millisecond
	)
	runs := &ledger{}
	f := s.newFleet(runs)
	planRun := func(body string) runPlan {
		if strings.HasPrefix(body, "long") {
			return runPlan{events: 110, gap: gap} // 22 s
		}
		return runPlan{events: 55, gap: gap} // 11 s
	}
	if _, err := f.start(slots, planRun); err != nil {
		return false, err
	}
	s.store.put("config", "main", configuration(7, oneTenant(), []any{draftRoute()}, []any{modelService(slots)}))
	if err := s.startDaemons(2); err != nil {
		return false, err
	}
	time.Sleep(11 * time.Second) // in the first 10 s, daemons repeat nothing beyond a share of the requests
	stopping, other := s.daemons[0], s.daemons[1]
	c := newClient(s)
	var wg sync.WaitGroup
	send := func(at *daemon, body string, done func(id string, a answer)) {
		wg.Go(func() {
			id := c.newID()
			done(id, c.attemptAt(context.Background(), at.address(callersPort), id, http.MethodPost, draftPrefix+"osnutek", key, body, limit))
		})
	}
	for range slots {
		send(other, "long "+c.newID(), func(string, answer) {})
	}
	time.Sleep(500 * time.Millisecond)
	engine, err := f.start(slots, planRun)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // both daemons know of it
	var mu sync.Mutex
	cut := make(map[string]time.Time)
	complete := 0
	for range slots {
		send(stopping, "short "+c.newID(), func(id string, a answer) {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.cut || a.status == 0:
				cut[id] = time.Now()
			case a.status == http.StatusOK:
				complete++
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		engine.silence(silence)
	}
	time.Sleep(2 * time.Second)
	s.record.note("SIGTERM to %s", stopping.id)
	term := time.Now()
	if err := stopping.process.Process.Signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	select {
	case <-stopping.ended:
	case <-time.After(grace):
		_ = stopping.process.Process.Kill()
	}
	wg.Wait()
	lost := 0
	for id, at := range cut {
		worked := f.workedUntil(id)
		if at.After(term) && at.Before(term.Add(grace+time.Second)) && worked.Before(term.Add(grace-grace/6)) {
			lost++
			s.record.note("LOST: %s ended %v after the SIGTERM, no engine has worked on it since %v before that", id, at.Sub(term).Round(time.Millisecond), term.Sub(worked).Round(time.Millisecond))
		}
	}
	s.record.conclude("of %d streams at the daemon that stopped %d were complete; %d were cut, %d of them while no engine worked on them", slots, complete, len(cut), lost)
	return lost > 0, nil
}
