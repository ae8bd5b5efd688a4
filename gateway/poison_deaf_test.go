package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
)

// playDeafDaemon lets vm-0 receive nothing for a time, though the others hear it. Meanwhile
// requests crash engines at other daemons, which receive nothing themselves by the time that
// vm-0 does again. It returns vm-0 and the function that ends the simulation.
func playDeafDaemon(s *poisonFleet, requests func(observer *simDaemon, i int)) (deaf *simDaemon, stop func()) {
	const deafTime, crashTime, observersDeafTime = 8 * time.Second, 5500 * time.Millisecond, time.Minute
	ctx, cancel := context.WithCancel(context.Background())
	go s.tick(ctx)
	daemons := s.running()
	deaf, observers := daemons[0], daemons[5:]
	time.Sleep(2 * heartbeatInterval)
	s.silence(deaf.id, deafTime)
	for i := range 2 * len(observers) {
		go requests(observers[i%len(observers)], i)
	}
	time.Sleep(crashTime)
	for _, d := range observers {
		s.silence(d.id, observersDeafTime)
	}
	time.Sleep(deafTime - crashTime + contactTime)
	return deaf, func() {
		cancel()
		time.Sleep(2 * time.Minute) // timers of the simulation end
	}
}

// sendCount returns the number of poison requests that a daemon sent to engines.
func (s *poisonFleet) sendCount(daemon string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, send := range s.sends {
		if send.daemon == daemon {
			n++
		}
	}
	return n
}

// TestDeafDaemonLearnsOfCrashes guards against a daemon that received nothing for a time and
// then sends a poison request to engines, because the others, which heard it all the while,
// don't tell it what it missed.
func TestDeafDaemonLearnsOfCrashes(t *testing.T) {
	playSeeds(t, 8, func(t *testing.T, seed uint64) {
		s := newPoisonFleet(seed, maxSimDaemons, 24)
		deaf, stop := playDeafDaemon(s, func(observer *simDaemon, i int) {
			s.requestAt(observer, fmt.Sprint("p-", i), poisonBody, "")
		})
		defer stop()
		if n, want := s.crashCount(), quarantineSettings().MaxTargets; n < want {
			t.Fatalf("%d engines crashed before, want %d", n, want)
		}
		s.requestAt(deaf, "late", poisonBody, "")
		if n := s.sendCount(deaf.id); n > 0 {
			t.Errorf("the daemon sent the request to %d engines", n)
		}
	})
}

// TestDeafDaemonLearnsOfParts guards against the same for a part of prompts, and against
// sound requests that the daemon refuses because it missed that a part ran well.
func TestDeafDaemonLearnsOfParts(t *testing.T) {
	playSeeds(t, 8, func(t *testing.T, seed uint64) {
		s := newPoisonFleet(seed, maxSimDaemons, 24)
		s.lastEvent = 3 // the sound request ends before the crashes, so that it doesn't clear them
		prompt := func(id string, parts ...string) simRequest {
			return simRequest{id: id, workspace: "w", body: "body of " + id, parts: parts}
		}
		const soundPart = "popular"
		deaf, stop := playDeafDaemon(s, func(observer *simDaemon, i int) {
			if i == 0 {
				go s.send(s.running()[1], prompt("sound", soundPart))
			}
			time.Sleep(prefillTime)
			s.send(observer, prompt(fmt.Sprint("p-", i), soundPart, deadlyPart))
		})
		defer stop()
		if n := s.crashCount(); n < partCrashes {
			t.Fatalf("%d engines crashed before, want %d", n, partCrashes)
		}
		s.send(deaf, prompt("late", soundPart, deadlyPart))
		if n := s.sendCount(deaf.id); n > 0 {
			t.Errorf("the daemon sent a request with the part to %d engines", n)
		}
		if c := s.send(deaf, prompt("late sound", soundPart)); c.err != nil && c.err.Code == failure.Quarantined {
			t.Errorf("a request without the part is refused: %v", c.err)
		}
	})
}
