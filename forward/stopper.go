package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// A target may go on with a run after its connection has closed, and a silent one may do so
// much later. A run that was left is therefore ended by a move to another target, the only
// request that does so, and its copy is released. The requests are repeated until the target
// has answered one, has terminated, or the run has reached its deadline.

// Timing of the requests that end runs.
const (
	// stopDelay is the time from the end of a run's connection to the first request. Most
	// targets drop the run by then, and nothing is moved.
	stopDelay = 100 * time.Millisecond
	// stopTimeout bounds one request. A silent target that has received it carries it out
	// at once when it goes on.
	stopTimeout = time.Second
	// stopInterval is the time between two requests to a target that did not answer, and
	// maxStopInterval after stopPatience.
	stopInterval    = 50 * time.Millisecond
	maxStopInterval = time.Second
	stopPatience    = 5 * time.Second
	// A run that had not begun when it was left may be in the queue of its target, or its
	// prompt is read. The target doesn't know it as a run then. It is looked for every
	// queueInterval, for beginTime and until the queue is empty.
	queueInterval = 250 * time.Millisecond
	beginTime     = 2500 * time.Millisecond
)

// leftRun is a run at a target that may still work on it.
type leftRun struct {
	requestID string
	service   string
	target    fleet.Incarnation
	begun     bool            // it has sent an event
	leftAt    time.Time       // when its connection was closed
	until     time.Time       // when the target stops work by itself; zero for never
	tokens    int             // size of its KV cache
	failed    map[string]bool // targets to which it can't be moved
	dueAt     time.Time       // of the next request that ends it
}

// runStopper ends the runs that were left at targets. The zero value is ready for use. It is
// safe for concurrent use.
type runStopper struct {
	mu   sync.Mutex
	runs map[string][]*leftRun // by target id; one request at a time to each target
}

// stopRun ends the run at a target that may go on with it after the attempt.
func (a *streamAttempt) stopRun() {
	now := time.Now()
	if a.stopped || a.incarnation.Terminated(now) {
		return
	}
	s := a.stream
	s.forwarder.stopRun(&leftRun{
		requestID: s.request.ID, service: s.request.Service, target: a.incarnation, begun: a.detector.firstEventSeen,
		leftAt: now, until: s.request.AnswerDeadline(), tokens: s.memoryTokens(), failed: make(map[string]bool), dueAt: now.Add(stopDelay),
	})
}

// stopRun ends a run that was left.
func (f *Forwarder) stopRun(r *leftRun) {
	if m := f.Model(r.service); m == nil || !m.StandbyCopies {
		return // its targets don't move runs
	}
	id, s := r.target.Target.ID, &f.stopper
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string][]*leftRun)
	}
	_, started := s.runs[id]
	s.runs[id] = append(s.runs[id], r)
	if !started {
		time.AfterFunc(stopDelay, func() { f.stopNext(id) })
	}
}

// mayRun reports whether a run that has begun and was left at a target may still go on there.
func (s *runStopper) mayRun(targetID, requestID string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.runs[targetID], func(r *leftRun) bool { return r.requestID == requestID && r.begun })
}

// forget removes the runs of a request that returns to a target: a move can't distinguish them from the
// next one.
func (s *runStopper) forget(targetID, requestID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs[targetID]) > 0 {
		s.runs[targetID] = slices.DeleteFunc(s.runs[targetID], func(r *leftRun) bool { return r.requestID == requestID })
	}
}

// next returns the run at a target that is due first, nil if there is none.
func (s *runStopper) next(targetID string) *leftRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs[targetID]) == 0 {
		delete(s.runs, targetID)
		return nil
	}
	return slices.MinFunc(s.runs[targetID], func(a, b *leftRun) int { return a.dueAt.Compare(b.dueAt) })
}

// remove removes a run that has ended.
func (s *runStopper) remove(r *leftRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.target.Target.ID
	s.runs[id] = slices.DeleteFunc(s.runs[id], func(other *leftRun) bool { return other == r })
}

// stopNext ends the run at a target that is due first, and plans the next request.
func (f *Forwarder) stopNext(targetID string) {
	for r := f.stopper.next(targetID); r != nil; r = f.stopper.next(targetID) {
		if wait := time.Until(r.dueAt); wait > 0 {
			time.AfterFunc(wait, func() { f.stopNext(targetID) })
			return
		}
		ended, wait := f.stopOnce(r)
		if ended {
			f.stopper.remove(r)
		}
		r.dueAt = time.Now().Add(wait)
	}
}

// stopOnce sends one request that ends a run. It reports whether the run has ended, and how
// long to wait until the next request.
func (f *Forwarder) stopOnce(r *leftRun) (ended bool, wait time.Duration) {
	now := time.Now()
	if r.target.Terminated(now) || !r.until.IsZero() && !now.Before(r.until) {
		return true, 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	destination, ok := f.pickStopDestination(now, r)
	if !ok {
		return f.hasEnded(ctx, r), queueInterval
	}
	c, holder, err := f.TargetClient.Move(ctx, r.target.Target, r.requestID, destination)
	switch {
	case err == nil:
		f.Events.Record(event.RunStopped, r.requestID, event.F("target", r.target.Target.ID), event.F("after", time.Since(r.leftAt).String()))
		go f.releaseCopy(r.requestID, r.target.Target, standbyCopy{holder, c, byMove})
		return true, 0
	case errors.Is(err, ErrRunNotFound):
		ended := r.begun || time.Since(r.leftAt) > beginTime && f.hasEnded(ctx, r)
		return ended, queueInterval
	case errors.Is(err, ErrOtherTarget) || errors.Is(err, ErrNotListening):
		return true, 0
	case ctx.Err() == nil && !errors.Is(err, ErrNotSent):
		r.failed[destination.ID] = true // the target answered: this destination won't do
	}
	if time.Since(r.leftAt) > stopPatience {
		return false, maxStopInterval
	}
	return false, stopInterval
}

// pickStopDestination picks the target to which a run that was left is moved. The run is
// stopped even if that target has no room.
func (f *Forwarder) pickStopDestination(now time.Time, r *leftRun) (fleet.Target, bool) {
	exclude := withID(r.failed, r.target.Target.ID)
	t, err := f.Fleet.Pick(now, fleet.Criteria{
		SoftwareVersion: &r.target.Target.SoftwareVersion, Service: r.service, Exclude: exclude, MemoryTokens: r.tokens, ForCopy: true,
	})
	if err == nil {
		return t, true
	}
	for _, other := range f.Fleet.RankByHash(now, r.service, r.requestID, len(exclude)+1) {
		if !exclude[other.ID] {
			return other, true
		}
	}
	clear(r.failed)
	return fleet.Target{}, false
}

// hasEnded reports whether a target's report shows that it neither runs a request nor may
// have it in its queue.
func (f *Forwarder) hasEnded(ctx context.Context, r *leftRun) bool {
	report, err := f.TargetClient.Report(ctx, r.target.Target)
	if err != nil {
		return hasTerminated(r.target.Target, report, err)
	}
	_, running := report.Running[r.requestID]
	return report.Running != nil && !running && report.Queued == 0
}
