package forward

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// simFraming says which answers to a request are framed, see Answer.Framed.
type simFraming int

const (
	framedAlways simFraming = iota
	framedNever
	framedFirst // that of the first run only
	framedLater // those of all runs but the first
)

func (p simPlan) framed(run int) bool {
	switch p.framing {
	case framedNever:
		return false
	case framedFirst:
		return run == 0
	case framedLater:
		return run > 0
	}
	return true
}

// simCut is how an answer breaks off. An answer that isn't framed can end like a complete
// one, but only at a target that knows no better: its process has ended, or the run was
// stopped. In the other cases the stream ends within an event, or the connection is reset.
type simCut int

const (
	cutByReset simCut = iota
	cutWithinEvent
	cutBetweenEvents
)

// cutStream ends the answer of a run that broke off at the event next.
func (w *simulation) cutStream(r *simRun, next int, pw *io.PipeWriter) {
	cut, err := r.request.plan.cut, error(io.EOF)
	if r.framed || cut == cutByReset {
		err = io.ErrUnexpectedEOF
	}
	if cut != cutBetweenEvents || !r.framed && !w.endsAnywhere(r) {
		_, _ = fmt.Fprintf(pw, "id: %d\nda", next)
	}
	_ = pw.CloseWithError(err)
}

// cutCall ends the answer to a call that broke off.
func (w *simulation) cutCall(r *simRun, pw *io.PipeWriter) {
	err := error(io.EOF)
	if r.framed || r.request.plan.cut == cutByReset || !w.endsAnywhere(r) {
		err = io.ErrUnexpectedEOF
	}
	_ = pw.CloseWithError(err)
}

// endsAnywhere reports whether a run that broke off may end between two events.
func (w *simulation) endsAnywhere(r *simRun) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return r.process.ended || r.end == runMoved || r.end == runExpired
}

// expired reports whether the time limit of a run has passed.
func (r *simRun) expired() bool { return !r.limit.IsZero() && !time.Now().Before(r.limit) }

// stopByMove ends a run.
func (r *simRun) stopByMove() {
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
}

// moveLate carries out a move that a silent target has received, once it goes on.
func (w *simulation) moveLate(source fleet.Target, id string) {
	p := w.process(source.Address)
	if p == nil || p.ID != source.ID {
		return
	}
	w.mu.Lock()
	broken := p.broken
	w.mu.Unlock()
	if !w.awake(context.Background(), p, broken) {
		return
	}
	time.Sleep(w.requests[id].plan.moveDelay)
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := p.runs[id]; r != nil && !p.ended {
		w.logf("%s at %s: a late move", id, p.ID)
		r.stopByMove()
	}
}
