package gateway

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// sendsAfterQuarantine returns the sends of poison requests later than lag after they
// caused as many crashes as lead to a refusal.
func (s *poisonFleet) sendsAfterQuarantine(lag time.Duration) (late []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := quarantineSettings().MaxTargets
	if len(s.crashes) < limit {
		return nil
	}
	quarantined := s.crashes[limit-1]
	for _, send := range s.sends {
		if after := send.at.Sub(quarantined); after > lag {
			late = append(late, after)
		}
	}
	return late
}

func (s *poisonFleet) crashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.crashes)
}

// poisonLoad is what a test sends to a poisonFleet, evenly over a time.
type poisonLoad struct {
	poison   int           // poison requests; every second one resumes an earlier answer
	others   int           // other requests
	burst    int           // poison requests that arrive at once; 0 means 1
	duration time.Duration // 0 means poisonDuration
}

const poisonDuration = 16 * time.Second

// defaultLoad has about four poison requests at once before the first crash.
var defaultLoad = poisonLoad{poison: 60, others: 160}

// play sends the load and waits until all requests are answered. It checks that no
// poison request is sent to an engine later than lag after it should be refused, and
// returns the callers of the other requests.
func (s *poisonFleet) play(t *testing.T, load poisonLoad, lag time.Duration) []*simCaller {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go s.tick(ctx)
	var callers sync.WaitGroup
	load.burst = max(1, load.burst)
	if load.duration == 0 {
		load.duration = poisonDuration
	}
	others := make([]*simCaller, load.others)
	for i := range load.poison {
		callers.Go(func() {
			time.Sleep(time.Duration(i/load.burst*load.burst) * load.duration / time.Duration(load.poison))
			lastEventID := ""
			if i%2 == 1 {
				lastEventID = "10"
			}
			s.request(fmt.Sprint("p-", i), poisonBody, lastEventID)
		})
	}
	for i := range load.others {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * load.duration / time.Duration(load.others))
			others[i] = s.request(fmt.Sprint("r-", i), fmt.Sprint("body ", i), "")
		})
	}
	callers.Wait()
	time.Sleep(time.Minute) // timers of the simulation end
	if late := s.sendsAfterQuarantine(lag); len(late) > 0 {
		t.Errorf("the poison request was sent %d times after it had crashed enough engines, %v after; %d engines crashed", len(late), late, s.crashCount())
	}
	return others
}

// checkPoisonStops plays the default load and also checks that all other requests are
// answered.
func checkPoisonStops(t *testing.T, s *poisonFleet, lag time.Duration) {
	t.Helper()
	for i, c := range s.play(t, defaultLoad, lag) {
		if !c.complete {
			t.Errorf("request r-%d failed after %d events: %v, want it answered", i, c.events, c.err)
		}
	}
}

var poisonSeeds = flag.Uint64("poison.seeds", 0, "number of `seeds` of each test of poison requests; 0 means the test's own number")

// playSeeds runs a test with several seeds, each in a synctest bubble of its own.
func playSeeds(t *testing.T, seeds uint64, test func(t *testing.T, seed uint64)) {
	t.Helper()
	if *poisonSeeds > 0 {
		seeds = *poisonSeeds
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { test(t, seed) })
		})
	}
}

// TestConcurrentPoisonRequestsAreNotSentAgain guards against poison requests under
// several ids, at several daemons, of which each is sent to one engine after the other
// although all daemons refuse new requests with their content.
func TestConcurrentPoisonRequestsAreNotSentAgain(t *testing.T) {
	playSeeds(t, 8, func(t *testing.T, seed uint64) {
		checkPoisonStops(t, newPoisonFleet(seed, 8, 24), maxReportLag)
	})
}

// TestPoisonAfterFirstEvents guards against a poison request whose crashes don't count
// because its engine has sent events, or its caller resumes an earlier answer.
func TestPoisonAfterFirstEvents(t *testing.T) {
	playSeeds(t, 8, func(t *testing.T, seed uint64) {
		s := newPoisonFleet(seed, 8, 24)
		s.eventsBeforeCrash = 1 + int(seed%8)
		checkPoisonStops(t, s, maxReportLag)
	})
}

// checkNotRefused checks that no caller was refused as poison. Callers may have failed for
// lack of engines.
func checkNotRefused(t *testing.T, callers []*simCaller) {
	t.Helper()
	for i, c := range callers {
		if c.err != nil && c.err.Code == failure.Quarantined {
			t.Errorf("request r-%d is refused as poison: %v", i, c.err)
		}
	}
}

// TestSilentPoison guards against a poison request whose crashes don't count because its
// engines fall silent and close no connection. They count once another engine is
// registered at the address; until then almost all engines may fall silent.
func TestSilentPoison(t *testing.T) {
	playSeeds(t, 8, func(t *testing.T, seed uint64) {
		s := newPoisonFleet(seed, 8, 24)
		s.silentCrashes = true
		checkNotRefused(t, s.play(t, defaultLoad, restartTime+heartbeatInterval+maxReportLag))
	})
}

// TestCrashReportsAreDelivered guards against daemons that keep sending a poison request
// because their crash reports were lost on a connection that had fallen silent.
func TestCrashReportsAreDelivered(t *testing.T) {
	const linkSilence = 5 * time.Second // long enough for the crashes after which a request is refused
	const deliveryTime = linkSilence + peerTimeout + heartbeatInterval + maxReportLag
	playSeeds(t, 8, func(t *testing.T, seed uint64) {
		s := newPoisonFleet(seed, 8, 24)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go s.tick(ctx)
		for _, id := range []string{"vm-6", "vm-7"} {
			s.silence(id, linkSilence)
		}
		for i, d := range s.running()[:4] {
			go s.requestAt(d, fmt.Sprint("p-", i), poisonBody, "")
		}
		time.Sleep(deliveryTime)
		crashesBefore := s.crashCount()
		for i, d := range s.running() {
			s.requestAt(d, fmt.Sprint("q-", i), poisonBody, "")
		}
		if n := s.crashCount() - crashesBefore; n > 0 {
			t.Errorf("%d more engines crashed after the reports should have been delivered", n)
		}
		time.Sleep(time.Minute) // timers of the simulation end
	})
}

// TestPoisonBesideOthers guards against a poison request that continues to crash engines
// because other requests were on the same few engines and may have crashed them as well.
// Those may fail for lack of an engine, but none may be refused as poison.
func TestPoisonBesideOthers(t *testing.T) {
	playSeeds(t, 20, func(t *testing.T, seed uint64) {
		s := newPoisonFleet(seed, 8, 4)
		checkNotRefused(t, s.play(t, poisonLoad{poison: 40, others: 200}, maxReportLag))
	})
}

// TestResetsAreNoCrashes guards against requests that are refused as poison because
// engines that run on reset their connections.
func TestResetsAreNoCrashes(t *testing.T) {
	playSeeds(t, 8, func(t *testing.T, seed uint64) {
		s := newPoisonFleet(seed, 8, 24)
		s.resetShare = 0.5
		checkNotRefused(t, s.play(t, poisonLoad{others: 200}, maxReportLag))
	})
}

// TestQuarantineOutlivesARestartOfAll guards against a poison request that crashes targets
// again, because all daemons restart and lose their crash reports.
func TestQuarantineOutlivesARestartOfAll(t *testing.T) {
	playSeeds(t, 8, func(t *testing.T, seed uint64) {
		s := newPoisonFleet(seed, 8, 24)
		// Between two poison requests, so that a daemon is not asked before it has read
		// what the store keeps.
		time.AfterFunc(poisonDuration/2+100*time.Millisecond, func() { s.restartDaemons(8, 0) })
		checkNotRefused(t, s.play(t, defaultLoad, maxReportLag))
	})
}

// TestUnframedCrashIsNoCompletion guards against answers that end with their connection and
// count as complete although a crash ended them before the first event of their run: the
// crashes of a poison request are cleared, and other callers get an answer without its end.
func TestUnframedCrashIsNoCompletion(t *testing.T) {
	playSeeds(t, 6, func(t *testing.T, seed uint64) {
		s := newPoisonFleet(seed, 8, 24)
		s.unframedShare, s.eventsBeforeCrash = 1, int(seed%3)
		short := 0
		for _, c := range s.play(t, defaultLoad, maxReportLag) {
			if c.complete && c.events <= s.lastEvent {
				short++
			}
		}
		if short > 0 {
			t.Errorf("%d of %d other requests got an answer that is short but looks complete", short, defaultLoad.others)
		}
	})
}
