package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// simDialTimeout is how long a send waits for a connection to a silent target.
const simDialTimeout = 400 * time.Millisecond

// simProcess is one process of a target.
type simProcess struct {
	fleet.Target
	ended       bool
	endedAt     time.Time
	silent      chan struct{} // closed when the process goes on; nil if it is not silent
	broken      chan struct{} // closed when its connections break
	refusing    bool          // it refuses requests with 503
	unreachable bool          // no new connection can be opened
	runs        map[string]*simRun
	copies      map[string]bool
	reported    map[string]RunStatus // its report, which is older than its state
	queued      int                  // runs that wait, in the same report
}

// simRun is one run of a request, or a request that was received and neither refused
// nor begun.
type simRun struct {
	request *simRequest
	process *simProcess
	began   bool
	waits   bool // its target has preempted it
	events  int
	framed  bool          // its answer, see Answer.Framed
	stop    chan struct{} // closed by a move
	limit   time.Time     // when its target stops work; zero for never
	end     runEnd
}

// runEnd is how a run ended.
type runEnd string

const (
	runComplete runEnd = "complete"
	runBroken   runEnd = "broken off by its target"
	runFailed   runEnd = "answered with a server error"
	runRefused  runEnd = "refused" // not begun
	runCanceled runEnd = "canceled by the forwarder"
	runMoved    runEnd = "stopped by a move"
	runExpired  runEnd = "stopped at its time limit"
)

// simulation is a set of simulated targets on a virtual clock. It implements
// TargetClient.
type simulation struct {
	versions  int // software versions of the targets
	started   int // processes
	mu        sync.Mutex
	start     time.Time
	processes map[string]*simProcess // by address
	requests  map[string]*simRequest
	faults    []string // violations seen by the targets
	log       []string

	reservations simReservations
}

func (w *simulation) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%9.4f ", time.Since(w.start).Seconds())+fmt.Sprintf(format, args...))
}

// process returns the process that listens at an address, or nil.
func (w *simulation) process(address string) *simProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.processes[address]; p != nil && !p.ended {
		return p
	}
	return nil
}

// awake waits until a process is not silent. It returns false if its connections break
// or ctx ends first.
func (w *simulation) awake(ctx context.Context, p *simProcess, broken <-chan struct{}) bool {
	for {
		w.mu.Lock()
		silent := p.silent
		w.mu.Unlock()
		if silent == nil {
			select {
			case <-broken:
				return false
			default:
				return ctx.Err() == nil
			}
		}
		select {
		case <-silent:
		case <-broken:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// dial opens a connection. It fails like the dialer of package platform.
func (w *simulation) dial(ctx context.Context, address string, always bool) (*simProcess, <-chan struct{}, error) {
	p := w.process(address)
	if p == nil {
		return nil, nil, &simDialError{notListening: true}
	}
	w.mu.Lock()
	unreachable, silent, broken := p.unreachable, p.silent, p.broken
	w.mu.Unlock()
	if unreachable || always && silent != nil {
		ctx, cancel := context.WithTimeout(ctx, simDialTimeout)
		defer cancel()
		if unreachable || !w.awake(ctx, p, broken) {
			<-ctx.Done()
			return nil, nil, &simDialError{}
		}
	}
	return p, broken, nil
}

type simDialError struct{ notListening bool }

func (e *simDialError) Error() string { return "dial" }
func (e *simDialError) Is(target error) bool {
	return target == ErrNotSent || e.notListening && target == ErrNotListening
}

// Send implements TargetClient.
func (w *simulation) Send(ctx context.Context, a Attempt) (*Answer, error) {
	time.Sleep(time.Nanosecond) // the previous run has noticed its cancellation
	q, sentAt := w.requests[a.Request.ID], time.Now()
	p, broken, err := w.dial(ctx, a.Target.Address, q.plan.newConnections)
	if err != nil {
		if ctx.Err() != nil {
			return nil, errors.Wrap(ErrNoAnswer, "canceled")
		}
		return nil, err
	}
	w.mu.Lock()
	r := &simRun{request: q, process: p, framed: q.plan.framed(len(q.runs)), stop: make(chan struct{})}
	if a.TimeLeft > 0 {
		r.limit = time.Now().Add(max(time.Millisecond, a.TimeLeft.Truncate(time.Millisecond)))
	}
	w.useReservation(a)
	q.arrivals = append(q.arrivals, simArrival{sentAt, p.ID})
	q.runs = append(q.runs, r)
	w.logf("%s arrives at %s after event %q, from a copy: %v", q.ID, p.ID, a.LastEventID, a.Resume != (Copy{}))
	w.mu.Unlock()
	if !w.awake(ctx, p, broken) {
		w.finishRun(ctx, r, broken)
		return nil, errors.Wrap(ErrNoAnswer, "canceled or broken")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch _, hasCopy := p.copies[a.Resume.Name]; {
	case p.ID != a.Target.ID:
		r.end = runRefused
		return simRefusal(http.StatusMisdirectedRequest), nil
	case p.refusing || a.Resume != (Copy{}) && !hasCopy:
		r.end = runRefused
		return simRefusal(http.StatusServiceUnavailable), nil
	}
	w.beginRun(r, a)
	pr, pw := io.Pipe()
	answer := &Answer{Status: http.StatusOK, Signed: true, Framed: r.framed, Header: http.Header{"X-Target": {p.ID}}, Body: pr}
	if q.plan.serverErrors[len(q.runs)-1] {
		answer.Status = http.StatusInternalServerError
	}
	if q.stream() && answer.Status == http.StatusOK {
		go w.streamEvents(ctx, r, a, broken, pw)
		return answer, nil
	}
	go w.answerCall(ctx, r, answer.Status, broken, pw)
	if q.plan.headLast { // the head arrives with the body
		w.mu.Unlock()
		b, err := io.ReadAll(pr)
		w.mu.Lock()
		if err != nil {
			return nil, errors.Wrap(ErrNoAnswer, err.Error())
		}
		answer.Body = io.NopCloser(strings.NewReader(string(b)))
	}
	return answer, nil
}

func simRefusal(status int) *Answer {
	return &Answer{Status: status, NotRun: true, OtherTarget: status == http.StatusMisdirectedRequest, Header: http.Header{}, Body: http.NoBody}
}

// beginRun starts a run and checks what must hold for it.
func (w *simulation) beginRun(r *simRun, a Attempt) {
	q := r.request
	r.began = true
	q.active++
	q.started++
	if q.active > 1 {
		w.faults = append(w.faults, q.ID+" runs on two targets at once")
	}
	if q.started > 1 && !q.Route.Repeatable() {
		w.faults = append(w.faults, q.ID+" must not be repeated and ran twice")
	}
	r.process.runs[q.ID] = r
	if a.CopyTo != nil {
		if p := w.processes[a.CopyTo.Address]; p != nil && !p.ended {
			p.copies[q.ID] = true
		}
	}
}

// finishRun records how a run ended that is not complete.
func (w *simulation) finishRun(ctx context.Context, r *simRun, broken <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-broken:
		r.end = runBroken
	default:
		select {
		case <-r.stop:
			r.end = runMoved
		default:
			if r.expired() {
				r.end = runExpired
				break
			}
			r.end = runCanceled
			if ctx.Err() == nil {
				w.faults = append(w.faults, r.request.ID+": a run ended for no reason")
			}
		}
	}
	w.leaveRun(r)
}

// leaveRun removes an ended run from its process.
func (w *simulation) leaveRun(r *simRun) {
	w.logf("%s at %s: %s after %d events", r.request.ID, r.process.ID, r.end, r.events)
	if !r.began {
		return
	}
	r.request.active--
	if r.process.runs[r.request.ID] == r {
		delete(r.process.runs, r.request.ID)
	}
}

// work waits for d and until the process is not silent. It returns false if the run ends
// first.
func (w *simulation) work(ctx context.Context, r *simRun, broken <-chan struct{}, d time.Duration) bool {
	if !r.limit.IsZero() {
		d = min(d, time.Until(r.limit))
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		if r.expired() {
			return false
		}
	case <-ctx.Done():
		return false
	case <-broken:
		return false
	case <-r.stop:
		return false
	}
	if !w.awake(ctx, r.process, broken) {
		return false
	}
	select {
	case <-r.stop:
		return false
	default:
		return true
	}
}

// streamEvents produces the events that follow the last one of the attempt.
func (w *simulation) streamEvents(ctx context.Context, r *simRun, a Attempt, broken <-chan struct{}, pw *io.PipeWriter) {
	plan := r.request.plan
	next := 0
	if a.LastEventID != "" {
		_, _ = fmt.Sscan(a.LastEventID, &next)
		next++
	}
	wait := plan.prefill
	if a.Resume != (Copy{}) {
		wait = 10 * time.Millisecond
	}
	for ; next <= plan.lastEvent; next++ {
		if plan.waitsAt > 0 && next == plan.waitsAt && r == r.request.runs[0] {
			wait += plan.waits
			w.setWaiting(r, true)
		}
		if !w.work(ctx, r, broken, wait) {
			w.finishRun(ctx, r, broken)
			w.cutStream(r, next, pw)
			return
		}
		wait = plan.gap
		w.mu.Lock()
		r.waits = false
		r.events++
		w.mu.Unlock()
		if _, err := io.WriteString(pw, simEvent(r.request.ID, next)); err != nil {
			break // the forwarder has closed the body
		}
	}
	if next <= plan.lastEvent {
		<-ctx.Done()
		w.finishRun(ctx, r, broken)
		return
	}
	w.completeRun(r, runComplete)
	_ = pw.Close()
}

func simEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

// simBody is the body of the answer to a call.
func simBody(id string) string { return "the answer to " + id }

// answerCall produces the answer to a call in two parts.
func (w *simulation) answerCall(ctx context.Context, r *simRun, status int, broken <-chan struct{}, pw *io.PipeWriter) {
	body := simBody(r.request.ID)
	for _, part := range []string{body[:5], body[5:]} {
		if !w.work(ctx, r, broken, r.request.plan.gap) {
			w.finishRun(ctx, r, broken)
			w.cutCall(r, pw)
			return
		}
		if _, err := io.WriteString(pw, part); err != nil {
			<-ctx.Done()
			w.finishRun(ctx, r, broken)
			return
		}
	}
	if status == http.StatusOK {
		w.completeRun(r, runComplete)
	} else {
		w.completeRun(r, runFailed)
	}
	_ = pw.Close()
}

func (w *simulation) completeRun(r *simRun, end runEnd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.end = end
	w.leaveRun(r)
}
