package gateway

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
)

var (
	conditionsSeeds = flag.Uint64("conditions.seeds", 12, "number of seeds of the tests of targets that state conditions")
	conditionsFirst = flag.Uint64("conditions.first", 0, "first seed")
)

// What the users' platform allows a target that names a limit to get.
const (
	limitContact = 3 * time.Second // from its first statement until the limit holds
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5.0 // requests
	limitSpread  = 500 * time.Millisecond
)

// checkLimit returns the windows in which a target got more requests than its limits allow.
func (t *conditionsTarget) checkLimit() (faults []string) {
	for i, s := range t.statements {
		if !s.RateLimited || i > 0 && t.statements[i-1].RateLimited {
			continue
		}
		until := time.Now()
		for _, next := range t.statements[i+1:] {
			if !next.RateLimited {
				until = next.from
				break
			}
		}
		for _, first := range t.arrivals {
			if first.Before(s.from.Add(limitContact)) || first.Add(limitWindow).After(until) {
				continue
			}
			n := 0
			for _, at := range t.arrivals {
				if !at.Before(first) && at.Before(first.Add(limitWindow)) {
					n++
				}
			}
			if allowed := limitFactor*t.allows(first, first.Add(limitWindow)) + limitSlack; float64(n) > allowed {
				faults = append(faults, fmt.Sprintf("%s got %d requests in %v from %v on, allowed %.1f", t.ID, n, limitWindow, first, allowed))
			}
		}
	}
	return faults
}

// allows returns how many requests the limits allow between two times. A limit that was
// raised or lowered counts as the higher one for limitSpread.
func (t *conditionsTarget) allows(from, until time.Time) (n float64) {
	const step = 50 * time.Millisecond
	for at := from; at.Before(until); at = at.Add(step) {
		highest := 0.0
		for i, s := range t.statements {
			ended := i+1 < len(t.statements) && t.statements[i+1].from.Before(at.Add(-limitSpread))
			if !s.from.After(at) && !ended {
				highest = max(highest, s.RequestsPerSecond)
			}
		}
		n += highest * step.Seconds()
	}
	return n
}

// drawLimits lets targets name, change and drop limits at random for a time.
func (s *conditionsSite) drawLimits(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		s.mu.Lock()
		pause := time.Duration(s.random.Int64N(int64(6 * time.Second)))
		t := s.targets[s.random.IntN(len(s.targets))]
		c := fleet.Conditions{RateLimited: s.random.IntN(4) > 0, RequestsPerSecond: 0.5 + 8*s.random.Float64()}
		t.failing = s.random.IntN(4) == 0
		s.mu.Unlock()
		if !c.RateLimited {
			c = fleet.Conditions{}
		}
		s.state(t, c)
		time.Sleep(pause)
	}
}

// TestTargetsGetNoMoreThanTheirLimit guards against targets that get more requests from all
// daemons together than the limit that they name, while daemons and targets restart, join
// and don't hear each other.
func TestTargetsGetNoMoreThanTheirLimit(t *testing.T) {
	for i := range *conditionsSeeds {
		seed := *conditionsFirst + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const length = 60 * time.Second
				s := newConditionsSite(seed, []int{1, 3, 8, 24}[seed%4], 2+int(seed%5))
				var background sync.WaitGroup
				background.Go(func() { s.drawLimits(length) })
				background.Go(func() { s.disturb(length, true) })
				s.load(60, length)
				background.Wait()
				s.requests.Wait()
				time.Sleep(time.Second) // the end of attempts that were given up
				s.mu.Lock()
				defer s.mu.Unlock()
				for _, target := range s.targets {
					if faults := target.checkLimit(); len(faults) > 0 {
						t.Errorf("%d windows, among them: %s", len(faults), faults[0])
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

// disturb restarts daemons and targets, lets daemons join and cuts them off from each other.
func (s *conditionsSite) disturb(d time.Duration, targetsRestart bool) {
	var restarts sync.WaitGroup
	defer restarts.Wait()
	for end := time.Now().Add(d); time.Now().Before(end); {
		s.mu.Lock()
		pause, kind, pick := time.Duration(s.random.Int64N(int64(5*time.Second))), s.random.IntN(6), s.random.IntN(1<<20)
		down := time.Duration(s.random.Int64N(int64(3 * time.Second)))
		running := len(s.daemons)
		s.mu.Unlock()
		time.Sleep(pause)
		switch kind {
		case 0, 1:
			if running > 1 {
				id := s.stopDaemon(pick % running)
				restarts.Go(func() {
					time.Sleep(down)
					s.startDaemon(id)
				})
			}
		case 2:
			if targetsRestart {
				s.restartTarget(pick % len(s.targets))
			}
		case 3:
			if running < 24 {
				s.startDaemon(s.newDaemonID())
			}
		case 4, 5:
			s.mu.Lock()
			d := s.daemons[pick%len(s.daemons)]
			cut := d.cut
			s.mu.Unlock()
			s.setCut(d, !cut)
		}
	}
}
