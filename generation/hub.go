package generation

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
)

// Hub holds the answers of this daemon by request id, so that a caller that
// reconnects joins its existing answer instead of starting a second run.
type Hub struct {
	settings Settings
	deps     Deps
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu   sync.Mutex
	runs map[string]*trackedRun
}

// trackedRun is one answer of the hub and the state of the run that fills it.
type trackedRun struct {
	answer        *Answer
	fingerprint   uint64       // of the request
	commands      chan Input   // Cancel or TakenOver for the run
	remoteReaders atomic.Int32 // number of other daemons whose callers still read the stream that the run joined
	registrar     string       // daemon to which the last claim of the request was sent; see Claims
	endedAt       time.Time    // zero while the run is active
}

// send sends a Cancel or TakenOver to the run. It drops the input if an earlier one is
// still queued.
func (t *trackedRun) send(in Input) {
	select {
	case t.commands <- in:
	default:
	}
}

// stop ends the run. It also cancels the stream, unless callers of another daemon
// still read it.
func (t *trackedRun) stop(err *failure.Error) {
	if t.remoteReaders.Load() > 0 {
		t.send(TakenOver{})
		return
	}
	t.send(Cancel{err})
}

// supersede ends a run whose caller holds a different or a longer answer. If the run
// reads the stream that the caller's cursor c names, that stream is not canceled.
func (t *trackedRun) supersede(c Cursor, self string) {
	tokens, _, _ := t.answer.snapshot()
	if t.answer.CursorAt(int64(len(tokens))).Attempt == c.Attempt {
		t.send(TakenOver{self})
		return
	}
	t.send(Cancel{failure.New(failure.Canceled, failure.Ran, "generate", "", "the caller came back with another answer")})
}

// NewHub returns an empty hub.
func NewHub(s Settings, deps Deps) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	return &Hub{settings: s, deps: deps, ctx: ctx, cancel: cancel, runs: make(map[string]*trackedRun)}
}

// Fingerprint returns a hash of the workspace, service and prompt. It
// distinguishes requests that use the same id.
func (r Request) Fingerprint() uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Workspace, r.Service, r.Prompt} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Reader is one caller's read position in an answer. Close must be called.
type Reader struct {
	*Answer
	Position int64 // of the first token to send
	Close    func()
}

// Answer returns a reader of the request's answer. If this daemon has a run of the
// request whose answer begins with the tokens that the caller holds, the reader joins
// that run. Otherwise Answer starts a run.
func (h *Hub) Answer(r Request) (Reader, *failure.Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	existing := h.runs[r.ID]
	if existing != nil && existing.fingerprint != r.Fingerprint() {
		return Reader{}, failure.New(failure.Conflict, failure.NotRun, "join", "", "id %s belongs to another request", r.ID)
	}
	position := max(int64(len(r.Held)), r.Cursor.Held)
	if existing != nil && existing.answer.hasPrefix(r.Held, r.Cursor) {
		tokens, done, err := existing.answer.snapshot()
		if !done || err == nil {
			h.deps.Events.Record(event.GenerationJoined, r.ID)
			return h.addReader(existing.answer, position), nil
		}
		// The run failed: start a new one from all tokens that it produced.
		c := existing.answer.CursorAt(int64(len(tokens)))
		r.Held, r.Cursor = tokens, c
	}
	if r.Cursor.Held > int64(len(r.Held)) {
		return Reader{}, failure.New(failure.Conflict, failure.Unknown, "join", "", "send the %d tokens held: this daemon has no such answer", r.Cursor.Held)
	}
	if existing != nil {
		existing.supersede(r.Cursor, h.deps.Self)
	}
	return h.start(r, position), nil
}

// attemptNumberBits is the number of low bits of an attempt number that count
// the attempts of one run. The bits above are drawn at random for each run.
const attemptNumberBits = 16

// randomFirstAttempt draws the first attempt number of a run. The random bits
// keep two daemons from giving the same number to two attempts of one request.
func randomFirstAttempt() int64 { return (1 + rand.Int64N(1<<46)) << attemptNumberBits }

func (h *Hub) start(r Request, position int64) Reader {
	tracked := &trackedRun{answer: NewAnswer(r.Held, r.Cursor), fingerprint: r.Fingerprint(), commands: make(chan Input, 1), registrar: h.deps.Peers.Registrar(r.ID)}
	h.runs[r.ID] = tracked
	release := func() {}
	if r.Retain != nil {
		release = r.Retain()
	}
	h.spawn(func(ctx context.Context) {
		defer release()
		h.execute(ctx, r, tracked)
		h.mu.Lock()
		defer h.mu.Unlock()
		tracked.endedAt = time.Now()
		if tracked.answer.size() >= largeAnswerBytes {
			h.limitRetained()
		}
	})
	return h.addReader(tracked.answer, position)
}

// execute runs the request to its end. It continues from the run of another
// daemon if there is one.
func (h *Hub) execute(ctx context.Context, r Request, tracked *trackedRun) {
	r, previous := h.locate(ctx, r)
	for _, daemon := range h.otherDaemons(r.Cursor.Daemon, previous) {
		h.deps.Events.Record(event.GenerationContinued, r.ID, event.F("from", daemon))
		h.spawn(func(ctx context.Context) { h.takeOver(ctx, r.ID, daemon, tracked) })
	}
	tracked.answer.extend(r.Held, r.Cursor)
	setup := Setup{
		Settings: h.settings, Objective: r.Objective, MaxTokens: r.MaxTokens,
		Held: r.Held, Cursor: r.Cursor, FirstAttempt: randomFirstAttempt(),
	}
	g := &run{Deps: h.deps, request: r, answer: tracked.answer, spawnDetached: h.spawn, remoteReaders: &tracked.remoteReaders, joinedAttempt: r.Cursor.Attempt}
	g.execute(ctx, setup, tracked.commands)
}

// otherDaemons returns the daemons other than this one, without empty strings and
// duplicates.
func (h *Hub) otherDaemons(daemons ...string) []string {
	var out []string
	for _, d := range daemons {
		if d != "" && d != h.deps.Self && !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

func (h *Hub) spawn(fn func(context.Context)) {
	h.wg.Add(1)
	go func() {
		defer h.wg.Done()
		fn(h.ctx)
	}()
}

// Cancel cancels the run of a request. It reports whether this daemon has the
// request.
func (h *Hub) Cancel(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	tracked := h.runs[id]
	if tracked == nil {
		return false
	}
	tracked.stop(failure.New(failure.Canceled, failure.Unknown, "cancel", "", "canceled by the caller"))
	return true
}

// Active returns the number of answers that are not final or that a caller still
// reads.
func (h *Hub) Active() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	var n int
	for _, r := range h.runs {
		if r.endedAt.IsZero() || r.answer.HasReader() {
			n++
		}
	}
	return n
}

// Sweep stops runs that no caller has read for Settings.Unwatched and removes
// final answers that no caller reads once their retention has expired, or before if
// there is too much of them, see limitRetained.
func (h *Hub) Sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, tracked := range h.runs {
		switch {
		case tracked.endedAt.IsZero():
			h.stopUnread(now, tracked)
			h.renew(id, tracked)
		case tracked.answer.HasReader():
		case now.Sub(tracked.endedAt) > h.settings.Retention.Std():
			delete(h.runs, id)
		}
	}
	h.limitRetained()
}

// limitRetained removes final answers without a reader, oldest first, while the hub
// has more than MaxRetained answers, running ones included, or such answers exceed
// MaxRetainedBytes. The caller holds mu.
func (h *Hub) limitRetained() {
	var retained []string
	var bytes int64
	for id, tracked := range h.runs {
		if !tracked.endedAt.IsZero() && !tracked.answer.HasReader() {
			retained = append(retained, id)
			bytes += tracked.answer.size()
		}
	}
	sort.Slice(retained, func(i, j int) bool { return h.runs[retained[i]].endedAt.Before(h.runs[retained[j]].endedAt) })
	for _, id := range retained {
		if len(h.runs) <= h.settings.MaxRetained && bytes <= h.settings.MaxRetainedBytes {
			return
		}
		bytes -= h.runs[id].answer.size()
		delete(h.runs, id)
	}
}

// largeAnswerBytes is the size from which an answer counts as soon as it has no reader, and not
// only at the next sweep.
const largeAnswerBytes = 64 << 10

// addReader returns a reader of an answer.
func (h *Hub) addReader(answer *Answer, position int64) Reader {
	remove := answer.AddReader()
	return Reader{answer, position, func() {
		remove()
		if answer.size() < largeAnswerBytes {
			return
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.limitRetained()
	}}
}

func (h *Hub) stopUnread(now time.Time, tracked *trackedRun) {
	if limit := h.settings.Unwatched.Std(); tracked.answer.unreadFor(now) > limit {
		tracked.stop(failure.New(failure.Canceled, failure.Ran, "generate", "", "no caller read the answer for %s", limit))
	}
}

// Close cancels all runs and waits until they have ended.
func (h *Hub) Close() {
	h.cancel()
	h.wg.Wait()
}
