package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/forward"
)

// What the users' platform allows for a part of prompts that crashes engines: as many late
// sends as for a request, but counted from a later crash on, and the loss of sound requests
// only for a time after that.
const (
	partCrashes   = 5
	lostTime      = 2 * contactTime // after these crashes
	minLostSample = 20
)

// checkLateSends checks how many deadly requests reach engines once enough have crashed.
func (l *partsLoad) checkLateSends(t *testing.T, r *troubles) {
	t.Helper()
	if late := r.lateSends(partCrashes); len(late) > allowedLateSends {
		t.Errorf("%d deadly requests were sent later than %v after crash %d, the last %v after it; %d engines crashed",
			len(late), contactTime, partCrashes, late[len(late)-1], l.fleet.crashCount())
	}
}

// begunShare is how many requests of a sample began.
type begunShare struct{ begun, all int }

func (b *begunShare) add(c soundCase) {
	b.all++
	if c.events > 0 {
		b.begun++
	}
}

// checkLost checks that sound requests which share the workspace or the first part of a
// deadly one begin at least half as often as before, while deadly requests come, and returns
// the size of the sample.
func (l *partsLoad) checkLost(t *testing.T, r *troubles) int {
	t.Helper()
	crashes := l.fleet.crashes
	from := crashes[min(len(crashes), partCrashes)-1].Add(lostTime)
	related := make(map[string]bool)
	for _, p := range l.prompts {
		related["workspace "+p.workspace], related["first part "+p.parts[0]] = true, true
	}
	var before, all begunShare
	groups := make(map[string]*begunShare)
	for _, c := range l.sound {
		switch {
		case c.daemon == "" || !r.inTouch(c.daemon, c.at) || !r.inTouch(c.daemon, c.answered()):
		case c.at.Before(l.firstDeadly):
			before.add(c)
		case c.at.After(from) && c.at.Before(l.lastDeadly):
			all.add(c)
			for _, group := range []string{"workspace " + c.workspace, "first part " + c.parts[0]} {
				if !related[group] {
					continue
				}
				if groups[group] == nil {
					groups[group] = &begunShare{}
				}
				groups[group].add(c)
			}
		}
	}
	if before.all < minLostSample {
		t.Fatalf("%d sound requests before the first deadly one, want %d", before.all, minLostSample)
	}
	groups["all"] = &all
	for name, g := range groups {
		if g.all >= minLostSample && 2*g.begun*before.all < before.begun*g.all {
			t.Errorf("%s: %d of %d sound requests began, before %d of %d; %d engines crashed under deadly requests", name, g.begun, g.all, before.begun, before.all, len(crashes))
		}
	}
	return all.all
}

// crashedLate reports whether the crash from which sound requests count, a trial of the
// part, came so late that few do.
func (l *partsLoad) crashedLate() bool {
	crashes := l.fleet.crashes
	const sampleTime = 10 * time.Second
	return crashes[min(len(crashes), partCrashes)-1].Add(lostTime + sampleTime).After(l.lastDeadly)
}

// answered returns when the first event came, or the request ended without one.
func (c *simCaller) answered() time.Time {
	if c.events > 0 {
		return c.began
	}
	return c.ended
}

// checkNoneQuarantined checks that no sound request was refused as poison.
func (l *partsLoad) checkNoneQuarantined(t *testing.T) {
	t.Helper()
	refused := 0
	var first soundCase
	for _, c := range l.sound {
		if c.err != nil && c.err.Code == failure.Quarantined {
			if refused++; refused == 1 {
				first = c
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d of %d sound requests were refused as poison, one with parts %q: %v", refused, len(l.sound), first.parts, first.err)
	}
}

// TestPoisonPartIsRefused guards against a part of prompts that crashes one engine after
// the other because no two of the requests that have it are alike, at any rate.
func TestPoisonPartIsRefused(t *testing.T) {
	playSeeds(t, 8, func(t *testing.T, seed uint64) {
		l := newPartsLoad(seed)
		playPartsLoad(t, l, false)
		l.checkLateSends(t, &troubles{fleet: l.fleet})
	})
}

// TestSoundRequestsBesidePoisonParts guards against sound requests that are refused, or
// don't begin, because they share their caller or a part with requests that crash engines.
func TestSoundRequestsBesidePoisonParts(t *testing.T) {
	playSeeds(t, 12, func(t *testing.T, seed uint64) {
		l := newPartsLoad(seed)
		unrelatedCrashes := seed%3 == 2
		playPartsLoad(t, l, unrelatedCrashes)
		if n := l.checkLost(t, &troubles{fleet: l.fleet}); n < minLostSample && !l.crashedLate() {
			t.Errorf("%d sound requests to compare, want %d", n, minLostSample)
		}
		if !unrelatedCrashes {
			l.checkNoneQuarantined(t)
		}
	})
}

// TestCrashOfAPlaceBlamesNoPart guards against sound requests that are refused because
// engines that crashed together, for another reason, were all running requests with the
// same popular part.
func TestCrashOfAPlaceBlamesNoPart(t *testing.T) {
	playSeeds(t, 6, func(t *testing.T, seed uint64) {
		l := newPartsLoad(seed)
		l.deadly, l.soundGap = arrivals{}, 60*time.Millisecond
		playPartsLoad(t, l, true)
		l.checkNoneQuarantined(t)
	})
}

// TestPoisonPartOutlivesARestartOfAll guards against a part that crashes engines again
// because all daemons restart and lose what they know of it.
func TestPoisonPartOutlivesARestartOfAll(t *testing.T) {
	playSeeds(t, 4, func(t *testing.T, seed uint64) {
		l := newPartsLoad(seed)
		time.AfterFunc(l.duration*3/4, func() { l.fleet.restartDaemons(maxSimDaemons, 0) })
		playPartsLoad(t, l, false)
		l.checkLateSends(t, &troubles{fleet: l.fleet})
	})
}

// TestPoisonPartAmongTroubles guards against the same, and against sound requests that don't
// begin, because daemons restart, one, several or all, miss messages, or the store is away.
func TestPoisonPartAmongTroubles(t *testing.T) {
	playSeeds(t, 12, func(t *testing.T, seed uint64) {
		l := newPartsLoad(seed)
		l.duration = troubleDuration
		r := &troubles{fleet: l.fleet, keepKnowledge: true, stored: func() bool { return l.fleet.storeRefusesPart(t) }}
		ctx, stop := context.WithTimeout(t.Context(), l.duration)
		defer stop()
		time.AfterFunc(baselineTime, func() { r.run(ctx) })
		playPartsLoad(t, l, false)
		l.checkLateSends(t, r)
		l.checkLost(t, r)
	})
}

// storeRefusesPart reports whether a daemon that knows only what the store has would refuse
// a new request with deadlyPart.
func (s *poisonFleet) storeRefusesPart(t *testing.T) bool {
	s.store.mu.Lock()
	down := s.store.down
	s.store.mu.Unlock()
	if down {
		return false
	}
	tracker, v := newTestVerdicts(t, &s.store)
	ctx, stop := context.WithTimeout(t.Context(), storeRetryMin)
	defer stop()
	v.load(ctx)
	return tracker.Check(ctx, &forward.Request{
		ID: "question", Workspace: "w", Host: "h", URI: "/a/1", Body: []byte("question"),
		Prompt: forward.Prompt{CacheKey: "question", Parts: []string{"other", deadlyPart}},
	}) != nil
}

// TestRepeatedRequestWithPartsIsRefused guards against a request that crashes engines for
// longer because its crashes are counted for its parts.
func TestRepeatedRequestWithPartsIsRefused(t *testing.T) {
	playSeeds(t, 4, func(t *testing.T, seed uint64) {
		l := newPartsLoad(seed)
		l.fleet.unframedShare, l.fleet.resetShare, l.fleet.cutShare = 0, 0, 0
		l.deadly, l.duration = arrivals{}, poisonDuration
		r := l.drawDeadlyPrompt()
		r.body = "body of the repeated request"
		for i := range defaultLoad.poison {
			time.AfterFunc(time.Duration(i)*poisonDuration/time.Duration(defaultLoad.poison), func() {
				again := r
				again.id = fmt.Sprint("p-", i)
				l.fleet.sendToAny(again)
			})
		}
		playPartsLoad(t, l, false)
		if late := l.fleet.sendsAfterQuarantine(maxReportLag); len(late) > 0 {
			t.Errorf("the request was sent %d times after it had crashed enough engines, %v after; %d engines crashed", len(late), late, l.fleet.crashCount())
		}
		l.checkNoneQuarantined(t)
	})
}
