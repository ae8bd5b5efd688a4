package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/objectstore"
)

// Timing of a poisonFleet.
const (
	prefillTime  = 1200 * time.Millisecond
	crashDelay   = 80 * time.Millisecond // from the end of the prefill to the crash
	eventGap     = 30 * time.Millisecond
	restartTime  = 3 * time.Second
	maxLatency   = 20 * time.Millisecond // of a call between daemons
	maxReportLag = 2 * maxLatency        // a crash report waits for at most one call in flight
	// maxSimDaemons is the maximum number of daemons; all of them are registered.
	maxSimDaemons = 8
	simPlaces     = 4
)

// poisonFleet simulates daemons and engines without a network, on the virtual clock of
// a synctest bubble. Requests whose body is poisonBody, or whose prompt has the part
// deadlyPart, crash the engines that run them.
type poisonFleet struct {
	random            *rand.Rand
	eventsBeforeCrash int     // sent by a poison run
	varyEvents        bool    // a poison run sends up to eventsBeforeCrash events
	lastEvent         int     // id of the last event of an answer
	silentCrashes     bool    // a crash is noticed only by probes and by the new entry
	resetShare        float64 // share of the runs that lose their connection at the start on an engine that runs on
	cutShare          float64 // share of the runs that lose their connection after some events on an engine that runs on
	unframedShare     float64 // share of the answers that end with their connection, see forward.Answer.Framed
	keepIDShare       float64 // share of the crashed engines that return under their id
	store             simStore

	mu          sync.Mutex
	daemons     []*simDaemon          // that run
	silentUntil map[string]time.Time  // by id of a daemon that receives no message until then
	engines     map[string]*simEngine // by target id
	sends       []simSend             // of poison requests to engines
	crashes     []time.Time           // caused by poison requests
	starts      int                   // of engines, from which their ids are derived
	servedBy    map[string]string     // id of the daemon, by request id
}

// simSend is one send of a poison request to an engine.
type simSend struct {
	at     time.Time
	daemon string
}

const (
	poisonBody = "poison"
	deadlyPart = "dead"
)

// isPoison reports whether a request crashes engines.
func isPoison(r *forward.Request) bool {
	return string(r.Body) == poisonBody || slices.Contains(r.Prompt.Parts, deadlyPart)
}

// simEngine is one incarnation of an engine.
type simEngine struct {
	target fleet.Target
	runs   map[*io.PipeWriter]error // the end of each answer if the engine crashes; nil is a plain one
	down   bool
	// replaced reports whether another incarnation has started in its place.
	replaced bool
}

func newPoisonFleet(seed uint64, daemons, engines int) *poisonFleet {
	s := &poisonFleet{
		random: rand.New(rand.NewPCG(seed, seed)), lastEvent: 100,
		engines: make(map[string]*simEngine), silentUntil: make(map[string]time.Time), servedBy: make(map[string]string),
	}
	s.store.objects = make(map[string]objectstore.Object)
	for i := range daemons {
		s.startDaemon(fmt.Sprint("vm-", i))
	}
	for i := range engines {
		s.startEngine(fmt.Sprint("place-", i%simPlaces))
	}
	return s
}

func (s *poisonFleet) randomDuration(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(limit)))
}

// intN returns a random number below n.
func (s *poisonFleet) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// startEngine starts an engine under a new id and registers it with all daemons.
func (s *poisonFleet) startEngine(place string) {
	s.mu.Lock()
	s.starts++
	id := fmt.Sprint("i-", s.starts)
	s.mu.Unlock()
	s.startIncarnation(fleet.Target{ID: id, Service: "svc", Address: id + ":1", Place: place, Slots: 64})
}

// startIncarnation starts an incarnation of an engine and registers it with all daemons.
func (s *poisonFleet) startIncarnation(t fleet.Target) {
	t.StartMillis = time.Now().UnixMilli()
	s.mu.Lock()
	s.engines[t.ID] = &simEngine{target: t, runs: make(map[*io.PipeWriter]error)}
	s.mu.Unlock()
	for _, d := range s.running() {
		d.Fleet.Put(t)
	}
}

// crash records a crash that a poison request causes.
func (s *poisonFleet) crash(e *simEngine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !e.down {
		s.crashes = append(s.crashes, time.Now())
		s.end(e)
	}
}

// crashPlace crashes all engines at a place, whatever runs on them.
func (s *poisonFleet) crashPlace(place string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		if e.target.Place == place && !e.down {
			s.end(e)
		}
	}
}

// end ends all runs of an engine, which starts again after restartTime. s.mu is held.
func (s *poisonFleet) end(e *simEngine) {
	e.down = true
	for w, err := range e.runs {
		if !s.silentCrashes {
			_ = w.CloseWithError(err)
		}
	}
	keepID := s.random.Float64() < s.keepIDShare
	time.AfterFunc(restartTime, func() {
		if keepID {
			s.startIncarnation(e.target)
			return
		}
		for _, d := range s.running() {
			d.Fleet.Remove(time.Now(), e.target.ID, false)
		}
		s.mu.Lock()
		e.replaced = true
		s.mu.Unlock()
		s.startEngine(e.target.Place)
	})
}

// Send implements forward.TargetClient.
func (s *poisonFleet) Send(ctx context.Context, a forward.Attempt) (*forward.Answer, error) {
	poison := isPoison(a.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.engines[a.Target.ID]
	if e.down {
		return nil, s.sendError()
	}
	if poison {
		s.sends = append(s.sends, simSend{time.Now(), s.servedBy[a.Request.ID]})
	}
	if s.random.Float64() < s.resetShare {
		return nil, errors.WithStack(forward.ErrNoAnswer)
	}
	r, w := io.Pipe()
	run := simRun{poison: poison, framed: s.random.Float64() >= s.unframedShare, events: s.eventsBeforeCrash, cutAfter: -1}
	if s.varyEvents {
		run.events = s.random.IntN(s.eventsBeforeCrash + 1)
	}
	if s.random.Float64() < s.cutShare {
		run.cutAfter = s.random.IntN(s.lastEvent)
	}
	e.runs[w] = io.ErrUnexpectedEOF
	if !run.framed {
		e.runs[w] = nil
	}
	context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
	go func() {
		defer func() {
			s.mu.Lock()
			delete(e.runs, w)
			s.mu.Unlock()
		}()
		s.run(ctx, e, a, run, w)
	}()
	return &forward.Answer{Status: http.StatusOK, Signed: true, Framed: run.framed, Header: http.Header{}, Body: r}, nil
}

// sendError returns the error of a send to an engine that is down.
func (s *poisonFleet) sendError() error {
	if s.silentCrashes {
		return errors.WithStack(forward.ErrNotSent) // the connection can't be established
	}
	return errors.WithStack(errNotListening)
}

// errNotListening is the error of a send to an engine that is down.
var errNotListening = fmt.Errorf("%w: %w", forward.ErrNotSent, forward.ErrNotListening)

// simRun is what was drawn for a run.
type simRun struct {
	poison   bool
	framed   bool // see forward.Answer.Framed
	events   int  // sent before a poison run crashes its engine
	cutAfter int  // number of events after which the connection is lost; -1 for never
}

// run produces the events of one run, or crashes the engine.
func (s *poisonFleet) run(ctx context.Context, e *simEngine, a forward.Attempt, run simRun, w *io.PipeWriter) {
	wait := func(d time.Duration) bool {
		select {
		case <-time.After(d):
			return true
		case <-ctx.Done():
			return false
		}
	}
	if !wait(prefillTime) {
		return
	}
	next := 0
	if a.LastEventID != "" {
		next, _ = strconv.Atoi(a.LastEventID)
		next++
	}
	pending := "" // the end of an event, so that an answer that isn't framed breaks off inside one
	for sent := 0; next <= s.lastEvent; next, sent = next+1, sent+1 {
		switch {
		case run.poison && sent == run.events:
			if wait(crashDelay) {
				s.crash(e)
			}
			return
		case sent == run.cutAfter:
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
			return
		case !wait(eventGap):
			return
		}
		text := fmt.Sprintf("%sid: %d\ndata: x\n\n", pending, next)
		if !run.framed {
			text, pending = text[:len(text)-1], "\n"
		}
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
	}
	if pending != "" {
		_, _ = io.WriteString(w, pending)
	}
	_ = w.Close()
}

// Connect implements forward.TargetClient.
func (s *poisonFleet) Connect(_ context.Context, t fleet.Target) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engines[t.ID].down {
		return s.sendError()
	}
	return nil
}

// Report implements forward.TargetClient.
func (s *poisonFleet) Report(ctx context.Context, t fleet.Target) (forward.Report, error) {
	s.mu.Lock()
	e := s.engines[t.ID]
	down := e.down
	s.mu.Unlock()
	switch {
	case !down:
		return forward.Report{StartMillis: e.target.StartMillis}, nil
	case s.silentCrashes:
		<-ctx.Done()
		return forward.Report{}, ctx.Err()
	}
	return forward.Report{}, errors.WithStack(errNotListening)
}

var errNoCopies = errors.New("no copies in this simulation")

// Copy implements forward.TargetClient.
func (*poisonFleet) Copy(context.Context, fleet.Target, string, fleet.Target) (forward.Copy, error) {
	return forward.Copy{}, errNoCopies
}

// Move implements forward.TargetClient.
func (*poisonFleet) Move(context.Context, fleet.Target, string, fleet.Target) (forward.Copy, fleet.Target, error) {
	return forward.Copy{}, fleet.Target{}, errNoCopies
}

// CachedKeys implements forward.TargetClient.
func (*poisonFleet) CachedKeys(context.Context, fleet.Target) (map[string]bool, error) {
	return nil, errNoCopies
}

// Release implements forward.TargetClient.
func (*poisonFleet) Release(context.Context, fleet.Target, forward.Copy) error { return errNoCopies }
