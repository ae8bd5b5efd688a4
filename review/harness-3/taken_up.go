package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Sizes and times of the case.
const (
	copyAge      = 6 * time.Second // the age of the copy
	takenUp      = 24              // streams that clients take up again
	beforeKill   = 3 * time.Second // from the first stream to the end of all daemons
	storeAway    = 200 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	untilTakenUp = 5 * time.Second // from the return of the store
)

// takenUpStreams: all machines lose power, and the store comes back from a copy some seconds old.
// Clients take up their streams again once the machines are in touch.
func takenUpStreams(trouble bool) (broken []string) {
	s := newSite()
	s.configure([]map[string]any{streamRoute("haul-plan", "/haul/", "plan-llm", true)}, []map[string]any{modelService("plan-llm")})
	for i := range 6 {
		e := &engine{id: fmt.Sprintf("i-%d", i+1), service: "plan-llm", zone: "bloem-a", slots: 64, events: 140, interval: 100 * time.Millisecond}
		e.start(s)
	}
	s.startDaemons(4)
	time.Sleep(12 * time.Second) // the copy is of a time at which the daemons had run for a while
	plan := func(header map[string]string, i int) map[string]string {
		header["Vanillaroad-Model"], header["Vanillaroad-Token-Usage"] = "m", "1460,140"
		header["Vanillaroad-Prompt-Prefix"] = fmt.Sprintf("5c1e07a2:800,e44%05x:660", i)
		return header
	}
	first := make([]outcome, takenUp)
	var wg sync.WaitGroup
	for i := range takenUp {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			first[i] = newCaller(s, s.daemons[i%len(s.daemons)]).send(http.MethodPost, fmt.Sprintf("/haul/%x", i), 25*time.Second, plan(map[string]string{}, i), "a prompt")
			s.note("caller: %s", first[i])
		})
	}
	time.Sleep(beforeKill)
	for _, d := range s.daemons {
		d.kill()
	}
	s.note("all daemons are killed")
	wg.Wait()
	if trouble {
		_, status := s.call(http.MethodPost, "/restorations", map[string]any{"age_ms": copyAge.Milliseconds(), "down_ms": storeAway.Milliseconds()})
		s.note("the store comes back from a copy %v old: %d", copyAge, status)
	}
	time.Sleep(restartDelay)
	for _, d := range s.daemons {
		d.startAgain()
	}
	s.awaitReady()
	s.note("all daemons are ready again")
	time.Sleep(untilTakenUp)
	var mu sync.Mutex
	again, goneOn, anew, begun := 0, 0, 0, 0
	for i, o := range first {
		if o.lastID < 0 || o.complete {
			continue
		}
		again++
		wg.Go(func() {
			next := newCaller(s, s.daemons[(i+1)%len(s.daemons)]).send(http.MethodPost, o.path, 25*time.Second, plan(map[string]string{"Resumes": o.id, "Last-Event-Id": strconv.Itoa(o.lastID)}, i), "a prompt")
			s.note("caller takes up %s after event %d: %s", o.id, o.lastID, next)
			mu.Lock()
			defer mu.Unlock()
			if next.status == http.StatusOK && next.lastID > o.lastID {
				goneOn++
			}
		})
	}
	for i := range takenUp {
		anew++
		wg.Go(func() {
			o := newCaller(s, s.daemons[i%len(s.daemons)]).send(http.MethodPost, fmt.Sprintf("/haul/new-%x", i), 25*time.Second, plan(map[string]string{}, 100+i), "a prompt")
			s.note("caller, a new stream: %s", o)
			mu.Lock()
			defer mu.Unlock()
			if o.status == http.StatusOK && o.lastID >= 0 {
				begun++
			}
		})
	}
	wg.Wait()
	s.note("%d of %d streams that were taken up went on, %d of %d new ones began", goneOn, again, begun, anew)
	if again >= 12 && float64(goneOn)/float64(again) < 0.5*float64(begun)/float64(anew) {
		broken = append(broken, fmt.Sprintf("LOST: of %d streams that clients took up again, %d went on, while %d of %d new streams began", again, goneOn, begun, anew))
	}
	return broken
}
