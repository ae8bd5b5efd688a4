package main

import (
	"fmt"
	"time"
)

// drainTime is drain_ms of the small sites.
const drainTime = 2 * time.Second

// drill plays a server that leaves, and then a drill in which the store comes back from a copy that
// is some seconds old and still has the server's entry.
func drill(root, record string, trouble bool) int {
	s, engines, err := startSite(root, record, 4, 1, 16, 120*time.Millisecond)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		fmt.Println(err)
		return failed
	}
	l, stop := &load{}, make(chan struct{})
	for _, d := range s.daemons {
		l.run(s, d, 60, stop)
	}
	time.Sleep(3 * time.Second)
	leaver := engines[3]
	leaver.leave()
	leftAt := time.Now()
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		s.record("the store is away")
		s.store.setAway(true)
		time.Sleep(time.Second)
		s.store.restore(leftAt.Add(-500 * time.Millisecond))
		s.record("the store is back, from a copy that is %.1f s old", time.Since(leftAt).Seconds()+0.5)
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	l.wg.Wait()

	// A machine has passed on that the server leaves with the first answer that says so.
	passed, sent := make(map[string]time.Time), make(map[string]result)
	served := 0
	for _, r := range l.results {
		sent[r.id] = r
		if r.status == 200 {
			served++
		}
		if at, known := passed[r.daemon]; r.leaving && (!known || r.endedAt.Before(at)) {
			passed[r.daemon] = r.endedAt
		}
	}
	late := 0
	for _, a := range s.arrivals {
		r, known := sent[a.id]
		at, has := passed[r.daemon]
		if a.engine == leaver.id && known && has && r.sentAt.After(at.Add(drainTime)) {
			late++
			s.record("DRAIN broken: request %s, sent %.3f s after %s had passed on an answer with Server-Leaving, reached %s", a.id, r.sentAt.Sub(at).Seconds(), r.daemon, a.engine)
		}
	}
	s.record("%d requests, %d served, %d machines passed on that the server leaves, %d late requests at it", len(l.results), served, len(passed), late)
	fmt.Printf("%d requests, %d served, %d machines passed on that the server leaves, %d late requests at it\n", len(l.results), served, len(passed), late)
	switch {
	case len(passed) == 0 || served*10 < len(l.results)*9:
		return failed
	case late > 0:
		return broken
	}
	return held
}
