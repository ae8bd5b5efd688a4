package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/ingress"
)

// Behaviour of the targets of copyTargets.
const (
	copyPartInterval = 250 * time.Millisecond // between two parts of a continuous copy
	copyPartTime     = 20 * time.Millisecond  // of a part within a place; twice as long between places
	copyRetention    = 4 * time.Second        // from the last part of a copy on
	prefillDuration  = 1200 * time.Millisecond
	resumeDuration   = 35 * time.Millisecond // from the send to the first event of a run that resumes from a copy
	vanishTime       = 1200 * time.Millisecond
	vanishInterval   = 3 * time.Second
)

// heldCopy is a copy of a run's KV cache, or a run, in the memory of a target.
type heldCopy struct {
	tokens int
	until  time.Time // zero for a run
}

// copyTargets simulates targets in several places that copy the KV caches of their runs, have limited
// memory and vanish by places: they keep their state, and nothing reaches them.
type copyTargets struct {
	*fakeTargetClient
	gap      time.Duration
	events   int
	mu       sync.Mutex
	targets  map[string]fleet.Target // by address
	memory   map[string]map[string]heldCopy
	capacity int
	dark     map[string]bool      // places
	begun    map[string]bool      // runs, by address and id
	busy     map[string]bool      // runs with a copy in progress, by address and id
	sent     map[string][]Attempt // by request id
	refused  int                  // resumes from copies that don't exist
	requests int                  // for explicit copies and moves
	copied   map[bool]int         // full copies, by whether they are between places
	hold     map[string]chan bool // unused channels of places that are dark; closed when they return
}

func newCopyTargets(seed uint64, perPlace, capacity, events int) (*fixture, *copyTargets) {
	const places = 3
	s := newFixture(nil)
	s.Fleet = fleet.New("place-a", seed)
	w := &copyTargets{
		fakeTargetClient: s.client, gap: eventGap, events: events, capacity: capacity, targets: make(map[string]fleet.Target), memory: make(map[string]map[string]heldCopy),
		dark: make(map[string]bool), begun: make(map[string]bool), busy: make(map[string]bool), sent: make(map[string][]Attempt), copied: make(map[bool]int),
		hold: make(map[string]chan bool),
	}
	for p := range places {
		for i := range perPlace {
			id := fmt.Sprintf("%c%d", 'a'+p, i)
			t := fleet.Target{ID: id, Service: "svc", Address: id + ":1", Place: fmt.Sprintf("place-%c", 'a'+p), Slots: 16}
			w.targets[t.Address], w.memory[t.Address] = t, make(map[string]heldCopy)
			s.Fleet.Put(t)
		}
	}
	s.TargetClient, s.Prober = w, NewProber(w, s.Fleet, s.Events)
	s.Model = func(string) *ingress.Model {
		return &ingress.Model{KVCacheTokens: capacity, StandbyCopies: true, CopyRetention: copyRetention}
	}
	s.Fleet.SetStaleness(500 * time.Millisecond)
	s.RetryBudget.UpdateSettings(RetryBudgetSettings{Slack: 10_000, Window: 10 * time.Second})
	return s, w
}

// vanish makes the targets of a place unreachable for vanishTime.
func (w *copyTargets) vanish(place string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dark[place], w.hold[place] = true, make(chan bool)
	time.AfterFunc(vanishTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.dark, place)
		close(w.hold[place])
	})
}

// reach waits until a target is reachable. It returns false if ctx ends first.
func (w *copyTargets) reach(ctx context.Context, t fleet.Target) bool {
	for {
		w.mu.Lock()
		dark, back := w.dark[t.Place], w.hold[t.Place]
		w.mu.Unlock()
		if !dark {
			return ctx.Err() == nil
		}
		select {
		case <-back:
		case <-ctx.Done():
			return false
		}
	}
}

// store puts a run or a copy into the memory of a target, if there is room.
func (w *copyTargets) store(address, name string, c heldCopy) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	used, now := 0, time.Now()
	for n, held := range w.memory[address] {
		if !held.until.IsZero() && now.After(held.until) {
			delete(w.memory[address], n)
		} else if n != name {
			used += held.tokens
		}
	}
	if used+c.tokens > w.capacity {
		return false
	}
	w.memory[address][name] = c
	return true
}

func (w *copyTargets) free(address, name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.memory[address], name)
}

func (w *copyTargets) has(address, name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.memory[address][name]
	return ok && time.Now().Before(c.until)
}

// Connect implements TargetClient.
func (w *copyTargets) Connect(ctx context.Context, t fleet.Target) error {
	if !w.reach(ctx, t) {
		return errors.WithStack(ErrNotSent)
	}
	return nil
}

// Report implements TargetClient.
func (w *copyTargets) Report(ctx context.Context, t fleet.Target) (Report, error) {
	if !w.reach(ctx, t) {
		return Report{}, ctx.Err()
	}
	return Report{}, nil
}

// Send implements TargetClient.
func (w *copyTargets) Send(ctx context.Context, a Attempt) (*Answer, error) {
	time.Sleep(time.Nanosecond)
	w.mu.Lock()
	w.sent[a.Request.ID] = append(w.sent[a.Request.ID], a)
	w.mu.Unlock()
	dialCtx, cancel := context.WithTimeout(ctx, simDialTimeout)
	defer cancel()
	if !w.reach(dialCtx, a.Target) {
		return nil, errors.WithStack(ErrNotSent)
	}
	tokens, wait := a.Request.Prompt.Tokens+a.Request.Prompt.MaxOutputTokens, prefillDuration
	if a.Resume != (Copy{}) {
		if wait = resumeDuration; !w.has(a.Target.Address, a.Resume.Address+"/"+a.Resume.Name) {
			w.mu.Lock()
			w.refused++
			w.mu.Unlock()
			return simRefusal(http.StatusServiceUnavailable), nil
		}
		w.free(a.Target.Address, a.Resume.Address+"/"+a.Resume.Name)
	}
	if !w.store(a.Target.Address, "run "+a.Request.ID, heldCopy{tokens: tokens}) {
		return simRefusal(http.StatusServiceUnavailable), nil
	}
	r, p := io.Pipe()
	go w.run(ctx, a, tokens, wait, p)
	return &Answer{Status: http.StatusOK, Signed: true, Framed: true, Header: http.Header{}, Body: r}, nil
}

// run sends the events of a run.
func (w *copyTargets) run(ctx context.Context, a Attempt, tokens int, wait time.Duration, p *io.PipeWriter) {
	key := a.Target.Address + "/" + a.Request.ID
	defer func() {
		w.mu.Lock()
		delete(w.begun, key)
		w.mu.Unlock()
		w.free(a.Target.Address, "run "+a.Request.ID)
	}()
	for next := a.nextEvent(); next <= w.events; next++ {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		if !w.reach(ctx, a.Target) {
			_ = p.CloseWithError(ctx.Err())
			return
		}
		if wait != w.gap {
			wait = w.gap
			w.mu.Lock()
			w.begun[key] = true
			w.mu.Unlock()
			if a.CopyTo != nil {
				go w.copyContinuously(ctx, a, tokens)
			}
		}
		_, _ = fmt.Fprintf(p, "id: %d\ndata: %d\n\n", next, next)
	}
	if a.CopyTo != nil {
		w.free(a.CopyTo.Address, a.CopyTo.Address+"/"+a.Request.ID)
	}
	_ = p.Close()
}

func (w *copyTargets) copyContinuously(ctx context.Context, a Attempt, tokens int) {
	for ctx.Err() == nil {
		copyCtx, cancel := context.WithTimeout(ctx, time.Second)
		_ = w.copyPart(copyCtx, a.Target, a.Request.ID, *a.CopyTo, a.CopyTo.Address+"/"+a.Request.ID, tokens)
		cancel()
		time.Sleep(copyPartInterval)
	}
}

var errCopyInProgress = errors.Wrap(ErrCopyInProgress, "status 409")

// copyPart copies what is new of a run.
func (w *copyTargets) copyPart(ctx context.Context, source fleet.Target, id string, destination fleet.Target, name string, tokens int) error {
	key := source.Address + "/" + id
	w.mu.Lock()
	busy, begun := w.busy[key], w.begun[key]
	w.busy[key] = true
	w.mu.Unlock()
	switch {
	case busy:
		return errCopyInProgress
	case !begun:
		w.mu.Lock()
		defer w.mu.Unlock()
		w.busy[key] = false
		return errors.WithStack(ErrRunNotFound)
	}
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.busy[key] = false
	}()
	if !w.reach(ctx, source) || !w.reach(ctx, destination) {
		return ctx.Err()
	}
	d, between := copyPartTime, source.Place != destination.Place
	if between {
		d *= 2
	}
	if !w.has(destination.Address, name) {
		w.mu.Lock()
		w.copied[between]++
		w.mu.Unlock()
	}
	time.Sleep(d)
	if !w.store(destination.Address, name, heldCopy{tokens, time.Now().Add(copyRetention)}) {
		return errors.New("status 503")
	}
	return nil
}

// Copy implements TargetClient.
func (w *copyTargets) Copy(ctx context.Context, source fleet.Target, id string, destination fleet.Target) (Copy, error) {
	w.countRequest()
	if !w.reach(ctx, source) {
		return Copy{}, errors.WithStack(ErrNoAnswer)
	}
	name := "handle-" + id
	return Copy{source.Address, name}, w.copyPart(ctx, source, id, destination, source.Address+"/"+name, 6000)
}

// Release implements TargetClient. All explicit copies of a run have the same name.
func (w *copyTargets) Release(ctx context.Context, source fleet.Target, c Copy) error {
	if !w.reach(ctx, source) {
		return errors.WithStack(ErrNoAnswer)
	}
	for address := range w.targets {
		w.free(address, c.Address+"/"+c.Name)
	}
	return nil
}

func (w *copyTargets) countRequest() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests++
}

// Move implements TargetClient. No run of these targets is moved.
func (w *copyTargets) Move(ctx context.Context, source fleet.Target, _ string, _ fleet.Target) (Copy, fleet.Target, error) {
	w.countRequest()
	if !w.reach(ctx, source) {
		return Copy{}, fleet.Target{}, ctx.Err()
	}
	return Copy{}, fleet.Target{}, errors.WithStack(ErrRunNotFound)
}

// counts returns how many attempts resumed from a copy, and how many in the middle of a stream without.
func (w *copyTargets) counts() (fromCopy, without int) {
	for _, sent := range w.sent {
		for _, a := range sent {
			switch {
			case a.Resume != (Copy{}):
				fromCopy++
			case a.LastEventID != "":
				without++
			}
		}
	}
	return fromCopy, without
}

// timedResponder records the longest time between two events.
type timedResponder struct {
	fakeResponder
	last    time.Time
	longest time.Duration
}

func (c *timedResponder) Event(raw []byte) error {
	if now := time.Now(); !c.last.IsZero() {
		c.longest = max(c.longest, now.Sub(c.last))
		c.last = now
	} else {
		c.last = now
	}
	return c.fakeResponder.Event(raw)
}

// serveMany serves n streams that begin one after the other.
func (s *fixture) serveMany(t *testing.T, n int, route ingress.Route) []*timedResponder {
	t.Cleanup(s.awaitStops)
	route.Services = []ingress.WeightedService{{Service: "svc", Weight: 1}}
	out := make([]*timedResponder, n)
	var wg sync.WaitGroup
	for i := range out {
		out[i] = &timedResponder{}
		wg.Go(func() {
			now := time.Now()
			s.Serve(context.Background(), &Request{
				ID: "r" + strconv.Itoa(i), Method: http.MethodPost, Received: now, Deadline: now.Add(25 * time.Second), Route: &route, Service: "svc",
				Header: http.Header{}, Prompt: Prompt{CacheKey: "p" + strconv.Itoa(i), Tokens: 5000, MaxOutputTokens: 1000},
			}, out[i])
		})
		time.Sleep(37 * time.Millisecond)
	}
	wg.Wait()
	return out
}
