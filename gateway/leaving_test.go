package gateway

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// What the users' platform allows a target to get that leaves or asked for a pause.
const (
	simDrain       = 2 * time.Second // from the first answer that stated that the target leaves
	pauseGrace     = 500 * time.Millisecond
	pauseMaxSends  = 2
	maxDrawnPauses = 6 * time.Second
)

// checkLeaving returns the requests that a target got from a daemon which had passed on, more
// than simDrain before the caller sent them, that the target leaves.
func (t *conditionsTarget) checkLeaving() (faults []string) {
	first := make(map[*conditionsDaemon]time.Time)
	for _, e := range t.exchanges {
		if at, ok := first[e.daemon]; e.leaving && (!ok || e.answered.Before(at)) {
			first[e.daemon] = e.answered
		}
	}
	for _, e := range t.exchanges {
		if at, ok := first[e.daemon]; ok && e.received.Sub(at) > simDrain {
			faults = append(faults, fmt.Sprintf("%s got a request that %s received %v after it passed on that the target leaves", t.ID, e.daemon.id, e.received.Sub(at)))
		}
	}
	return faults
}

// checkPauses returns the pauses in which a target got more than pauseMaxSends requests of the
// daemon that it had asked for the pause.
func (t *conditionsTarget) checkPauses() (faults []string) {
	for _, asked := range t.exchanges {
		n := 0
		for _, e := range t.exchanges {
			if after := e.arrived.Sub(asked.answered); e.daemon == asked.daemon && after > pauseGrace && after < asked.pause {
				n++
			}
		}
		if asked.pause > 0 && n > pauseMaxSends {
			faults = append(faults, fmt.Sprintf("%s got %d requests of %s in a pause of %v", t.ID, n, asked.daemon.id, asked.pause))
		}
	}
	return faults
}

// drawDepartures lets targets leave and ask for pauses at random for a time. A target that
// leaves starts again later.
func (s *conditionsSite) drawDepartures(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		s.mu.Lock()
		wait, pause := time.Duration(s.random.Int64N(int64(3*time.Second))), time.Duration(s.random.Int64N(int64(maxDrawnPauses)))
		i, kind := s.random.IntN(len(s.targets)), s.random.IntN(4)
		t := s.targets[i]
		switch {
		case kind == 0:
			t.pausing = pause
		case kind == 1:
			t.pausing = 0
		}
		left := len(t.statements) > 0
		s.mu.Unlock()
		switch {
		case kind == 2 && !left:
			s.state(t, fleet.Conditions{Leaving: true})
		case kind == 3 && left:
			s.restartTarget(i)
		}
		time.Sleep(wait)
	}
}

// TestLeavingAndPausedTargetsGetNoRequests guards against targets that get requests from a
// daemon to which they stated that they leave, or that they want none for a time: first
// sends, retries and resumes, while daemons and targets restart and don't hear each other.
func TestLeavingAndPausedTargetsGetNoRequests(t *testing.T) {
	for i := range *conditionsSeeds {
		seed := *conditionsFirst + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const length = 40 * time.Second
				s := newConditionsSite(seed, []int{1, 3, 8}[seed%3], 6+int(seed%5))
				ended := append([]*conditionsTarget(nil), s.targets...)
				var background sync.WaitGroup
				background.Go(func() { s.drawDepartures(length) })
				background.Go(func() { s.disturb(length, false) })
				s.load(60, length)
				background.Wait()
				s.requests.Wait()
				time.Sleep(time.Second)
				s.mu.Lock()
				defer s.mu.Unlock()
				for _, target := range append(ended, s.targets...) {
					if faults := append(target.checkLeaving(), target.checkPauses()...); len(faults) > 0 {
						t.Errorf("%d faults, among them: %s", len(faults), faults[0])
					}
				}
				t.Log(s.outcomes)
				for _, d := range s.daemons {
					d.kill()
				}
			})
		})
	}
}

// TestWrongWordOfPeersEmptiesNoService guards against a service without targets because one
// daemon reports of all of them that they leave.
func TestWrongWordOfPeersEmptiesNoService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newConditionsSite(1, 1, 4)
		for _, target := range s.targets {
			s.daemons[0].permits.apply(newTargetStatement(time.Now(), target.Target, fleet.Statement{Conditions: fleet.Conditions{Leaving: true}, At: time.Now()}))
		}
		s.load(20, 5*time.Second)
		s.requests.Wait()
		s.daemons[0].kill()
		for outcome, n := range s.outcomes {
			if outcome != "book served" && outcome != "read served" && outcome != "stream served" {
				t.Errorf("%d requests: %s, want all served", n, outcome)
			}
		}
	})
}
