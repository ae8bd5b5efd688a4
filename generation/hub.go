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

// Hub keeps the answers of this daemon by request id, so that a caller that
// comes back joins its own answer instead of starting a second run.
type Hub struct {
	settings Settings
	deps     Deps
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu   sync.Mutex
	runs map[string]*held
}

// held is one answer that the hub keeps, and the run that fills it.
type held struct {
	answer      *Answer
	fingerprint uint64
	orders      chan Input
	keepers     atomic.Int32 // other daemons that keep the stream that was joined
	keeper      string       // of the last claim
	ended       time.Time    // zero while the run goes on
}

// order tells the run something; only the first order counts.
func (n *held) order(in Input) {
	select {
	case n.orders <- in:
	default:
	}
}

// stop ends the run, and its stream too unless that belongs to another daemon.
func (n *held) stop(err *failure.Error) {
	if n.keepers.Load() > 0 {
		n.order(TakenOver{})
		return
	}
	n.order(Cancel{err})
}

// supersede ends a run whose caller holds another or a longer answer. The
// stream of the caller's cursor must stay.
func (n *held) supersede(c Cursor, self string) {
	tokens, _, _ := n.answer.snapshot()
	if n.answer.CursorAt(int64(len(tokens))).Attempt == c.Attempt {
		n.order(TakenOver{self})
		return
	}
	n.order(Cancel{failure.New(failure.Canceled, failure.Ran, "generate", "", "the caller came back with another answer")})
}

// NewHub returns an empty hub.
func NewHub(s Settings, deps Deps) *Hub {
	ctx, cancel := context.WithCancel(context.Background())
	return &Hub{settings: s, deps: deps, ctx: ctx, cancel: cancel, runs: make(map[string]*held)}
}

// Fingerprint tells requests apart that share an id.
func (r Request) Fingerprint() uint64 {
	d := xxhash.New()
	for _, s := range []string{r.Workspace, r.Service, r.Prompt} {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// Reader is one caller's place in an answer. Close must be called.
type Reader struct {
	*Answer
	Position int64 // of the first token to send
	Close    func()
}

// Answer returns a reader of the request's answer. It joins a run that this
// daemon holds and that continues what the caller holds, or starts one.
func (h *Hub) Answer(r Request) (Reader, *failure.Error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.runs[r.ID]
	if old != nil && old.fingerprint != r.Fingerprint() {
		return Reader{}, failure.New(failure.Conflict, failure.NotRun, "join", "", "id %s belongs to another request", r.ID)
	}
	position := max(int64(len(r.Held)), r.Cursor.Held)
	if old != nil && old.answer.continues(r.Held, r.Cursor) {
		tokens, done, err := old.answer.snapshot()
		if !done || err == nil {
			h.deps.Events.Record(event.GenerationJoined, r.ID)
			return Reader{old.answer, position, old.answer.Watch()}, nil
		}
		// It stopped: go on from all that is there.
		c := old.answer.CursorAt(int64(len(tokens)))
		r.Held, r.Cursor = tokens, c
	}
	if r.Cursor.Held > int64(len(r.Held)) {
		return Reader{}, failure.New(failure.Conflict, failure.Unknown, "join", "", "send the %d tokens held: this daemon has no such answer", r.Cursor.Held)
	}
	if old != nil {
		old.supersede(r.Cursor, h.deps.Self)
	}
	return h.start(r, position), nil
}

// attemptBits is how many attempts of one run get numbers of their own.
const attemptBits = 16

// firstAttempt draws the first number of a run, so that two daemons never give
// two attempts of one request the same number.
func firstAttempt() int64 { return (1 + rand.Int64N(1<<46)) << attemptBits }

func (h *Hub) start(r Request, position int64) Reader {
	n := &held{answer: NewAnswer(r.Held, r.Cursor), fingerprint: r.Fingerprint(), orders: make(chan Input, 1), keeper: h.deps.Peers.Registrar(r.ID)}
	h.runs[r.ID] = n
	h.spawn(func(ctx context.Context) {
		h.follow(ctx, r, n)
		h.mu.Lock()
		defer h.mu.Unlock()
		n.ended = time.Now()
	})
	return Reader{n.answer, position, n.answer.Watch()}
}

// follow runs the request, from wherever it was before, to its end.
func (h *Hub) follow(ctx context.Context, r Request, n *held) {
	r, claimed := h.locate(ctx, r)
	for _, daemon := range h.others(r.Cursor.Daemon, claimed) {
		h.deps.Events.Record(event.GenerationContinued, r.ID, event.F("from", daemon))
		h.spawn(func(ctx context.Context) { h.takeOver(ctx, r.ID, daemon, n) })
	}
	n.answer.extend(r.Held, r.Cursor)
	setup := Setup{
		Settings: h.settings, Objective: r.Objective, MaxTokens: r.MaxTokens,
		Held: r.Held, Cursor: r.Cursor, FirstAttempt: firstAttempt(),
	}
	g := &run{Deps: h.deps, request: r, answer: n.answer, left: h.spawn, keepers: &n.keepers, joined: r.Cursor.Attempt}
	g.follow(ctx, setup, n.orders)
}

// others returns the daemons beside this one, each once.
func (h *Hub) others(daemons ...string) []string {
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

// Cancel ends a request's run, if this daemon holds one.
func (h *Hub) Cancel(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := h.runs[id]
	if n == nil {
		return false
	}
	n.stop(failure.New(failure.Canceled, failure.Unknown, "cancel", "", "canceled by the caller"))
	return true
}

// Active returns the number of answers that are not final or still read.
func (h *Hub) Active() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	var n int
	for _, r := range h.runs {
		if r.ended.IsZero() || r.answer.Watched() {
			n++
		}
	}
	return n
}

// Sweep ends runs that nobody reads and forgets final answers whose retention
// is over or that exceed the bounds, the oldest first.
func (h *Hub) Sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var kept []string
	var bytes int64
	for id, n := range h.runs {
		switch {
		case n.ended.IsZero():
			h.sweepRun(now, n)
			h.renew(id, n)
		case n.answer.Watched():
		case now.Sub(n.ended) > h.settings.Retention.Std():
			delete(h.runs, id)
		default:
			kept = append(kept, id)
			bytes += n.answer.size()
		}
	}
	sort.Slice(kept, func(i, j int) bool { return h.runs[kept[i]].ended.Before(h.runs[kept[j]].ended) })
	for _, id := range kept {
		if len(h.runs) <= h.settings.MaxRetained && bytes <= h.settings.MaxRetainedBytes {
			return
		}
		bytes -= h.runs[id].answer.size()
		delete(h.runs, id)
	}
}

func (h *Hub) sweepRun(now time.Time, n *held) {
	if limit := h.settings.Unwatched.Std(); n.answer.unwatched(now) > limit {
		n.stop(failure.New(failure.Canceled, failure.Ran, "generate", "", "no caller read the answer for %s", limit))
	}
}

// Close cancels all runs and waits for them.
func (h *Hub) Close() {
	h.cancel()
	h.wg.Wait()
}
