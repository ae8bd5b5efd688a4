package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// Prompts of a partsLoad.
const (
	simWorkspaces     = 4
	popularFirstParts = 3
	rareFirstParts    = 40
	middleParts       = 20
	maxMiddleParts    = 4 // of one prompt
)

// Times of a partsLoad.
const (
	baselineTime  = 8 * time.Second // before the first deadly request
	repeatDelay   = 500 * time.Millisecond
	maxRepeats    = 3
	partsDuration = 45 * time.Second
	partsEvents   = 20 // of an answer
)

// arrivals is a pattern in which deadly requests arrive.
type arrivals struct {
	every time.Duration
	burst int
}

var arrivalPatterns = []arrivals{
	{3 * time.Second, 1},
	{400 * time.Millisecond, 1},
	{5 * time.Second, 12},
	{1500 * time.Millisecond, 4},
}

// partsLoad sends sound requests all through, and beside them deadly ones, which have
// deadlyPart, that share their workspaces and parts.
type partsLoad struct {
	fleet    *poisonFleet
	soundGap time.Duration // between two sound requests
	deadly   arrivals      // zero: none
	duration time.Duration

	mu          sync.Mutex
	sound       []soundCase
	prompts     []simRequest // of the deadly requests, without repeats
	firstDeadly time.Time    // arrival of the first deadly request
	lastDeadly  time.Time    // arrival of the last one, or of a repeat
}

// soundCase is a sound request and what its caller received at its only attempt.
type soundCase struct {
	simRequest
	*simCaller
	at time.Time
}

// newPartsLoad draws the properties of a load and of the engines: the pattern of arrivals
// in four consecutive seeds, then the number of engines. Two of three seeds have resets, and
// another two answers that end with their connection.
func newPartsLoad(seed uint64) *partsLoad {
	engines := 24
	if seed/4%2 == 1 {
		engines = 8
	}
	s := newPoisonFleet(seed, maxSimDaemons, engines)
	s.varyEvents, s.eventsBeforeCrash, s.lastEvent = true, maxEarlyEvents, partsEvents
	s.keepIDShare = 0.5
	s.resetShare = 0.1 * float64(seed%3) / 2
	s.cutShare = s.resetShare
	s.unframedShare = 0.25 * float64(seed/2%3) / 2
	return &partsLoad{fleet: s, soundGap: 150 * time.Millisecond, deadly: arrivalPatterns[seed%uint64(len(arrivalPatterns))], duration: partsDuration}
}

// drawPrompt draws the workspace and the shared parts of a request.
func (l *partsLoad) drawPrompt() simRequest {
	s := l.fleet
	r := simRequest{workspace: fmt.Sprint("w-", s.intN(simWorkspaces))}
	if s.intN(5) > 0 {
		r.parts = append(r.parts, fmt.Sprint("popular-", s.intN(popularFirstParts)))
	} else {
		r.parts = append(r.parts, fmt.Sprint("rare-", s.intN(rareFirstParts)))
	}
	for range s.intN(maxMiddleParts + 1) {
		r.parts = append(r.parts, fmt.Sprint("middle-", s.intN(middleParts)))
	}
	return r
}

// drawDeadlyPrompt draws a prompt with deadlyPart at any place.
func (l *partsLoad) drawDeadlyPrompt() simRequest {
	r := l.drawPrompt()
	r.parts = slices.Insert(r.parts, l.fleet.intN(len(r.parts)+1), deadlyPart)
	return r
}

// play sends the load and waits until all requests are answered.
func (l *partsLoad) play(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go l.fleet.tick(ctx)
	var callers sync.WaitGroup
	start := time.Now()
	callers.Go(func() {
		for i := 0; time.Since(start) < l.duration; i++ {
			r := l.drawPrompt()
			r.id = fmt.Sprint("r-", i)
			r.body = "body of " + r.id
			at := time.Now()
			callers.Go(func() {
				c := l.fleet.sendToAny(r)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.sound = append(l.sound, soundCase{r, c, at})
			})
			time.Sleep(l.soundGap/2 + l.fleet.randomDuration(l.soundGap))
		}
	})
	if l.deadly.burst > 0 {
		callers.Go(func() {
			time.Sleep(baselineTime)
			l.firstDeadly = time.Now()
			for i := 0; time.Since(start) < l.duration; i++ {
				for k := range l.deadly.burst {
					callers.Go(func() { l.sendDeadly(fmt.Sprint("p-", i, "-", k)) })
				}
				time.Sleep(l.deadly.every/2 + l.fleet.randomDuration(l.deadly.every))
			}
		})
	}
	callers.Wait()
	time.Sleep(time.Minute) // timers of the simulation end
}

// sendDeadly sends a deadly request that is like no other. A third of the callers repeat
// theirs.
func (l *partsLoad) sendDeadly(id string) {
	r := l.drawDeadlyPrompt()
	r.body = "body of " + id
	l.mu.Lock()
	l.prompts = append(l.prompts, r)
	l.mu.Unlock()
	repeats := 0
	if l.fleet.intN(3) == 0 {
		repeats = maxRepeats
	}
	for i := range repeats + 1 {
		r.id = fmt.Sprint(id, "-", i)
		l.mu.Lock()
		l.lastDeadly = time.Now()
		l.mu.Unlock()
		l.fleet.sendToAny(r)
		time.Sleep(repeatDelay)
	}
}

// crashPlaces lets all engines at up to two places crash at once, again and again until ctx
// is done.
func (l *partsLoad) crashPlaces(ctx context.Context) {
	const minGap, maxGap = 6 * time.Second, 12 * time.Second
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(minGap + l.fleet.randomDuration(maxGap-minGap)):
		}
		for range 1 + l.fleet.intN(2) {
			l.fleet.crashPlace(fmt.Sprint("place-", l.fleet.intN(simPlaces)))
		}
	}
}

// playPartsLoad plays a load. With crashes, whole places crash beside it.
func playPartsLoad(t *testing.T, l *partsLoad, crashes bool) {
	t.Helper()
	ctx, stop := context.WithTimeout(t.Context(), l.duration)
	defer stop()
	if crashes {
		go l.crashPlaces(ctx)
	}
	l.play(t.Context())
	if l.deadly.burst > 0 && l.fleet.crashCount() == 0 {
		t.Fatal("no engine crashed under a deadly request")
	}
}
