package generation

import (
	"context"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/internal/pause"
)

// Peers is how a hub speaks to the hubs of other daemons.
type Peers interface {
	// Claim names this daemon as the one that runs the request and returns the
	// peer address of the one before, or "".
	Claim(ctx context.Context, request string) (string, error)
	// Registrar returns the daemon that keeps the claims of the request now.
	Registrar(request string) string
	// Renew repeats a claim at a keeper that has none of another daemon.
	Renew(ctx context.Context, request string) error
	// Locate asks a daemon for its answer so far.
	Locate(ctx context.Context, daemon string, request LocateRequest) (LocateReply, error)
	// NotifyTakeOver tells a daemon that a caller goes on here.
	NotifyTakeOver(ctx context.Context, daemon string, notice TakeOverNotice) (TakeOverReply, error)
}

// LocateRequest asks for the answer of a request.
type LocateRequest struct {
	Request     string `msgpack:"r"`
	Fingerprint uint64 `msgpack:"f"`
}

// LocateReply is a running answer at a daemon, as far as it is there.
type LocateReply struct {
	Found  bool     `msgpack:"h"` // the daemon runs it
	Tokens []string `msgpack:"t"`
	Cursor Cursor   `msgpack:"c"`
}

// TakeOverNotice is the message by which a daemon tells another that a caller of the
// other came to it.
type TakeOverNotice struct {
	Request string `msgpack:"r"`
	By      string `msgpack:"b"` // peer address of the daemon that goes on
}

// TakeOverReply answers TakeOver.
type TakeOverReply struct {
	StillRead bool `msgpack:"k"` // a caller still reads it there: the stream stays its
}

// takeOverPause is the time between two notices, takeOverTimeout how long one
// may take. A daemon that was paused is told when it wakes.
const (
	takeOverInterval = time.Second
	takeOverTimeout  = time.Second
)

// takeOver tells the daemon before that the caller came here, until that one
// lets go or the answer here is final. Else it would cancel the stream that is
// now read here. While it keeps the stream, this daemon must not cancel it.
func (h *Hub) takeOver(ctx context.Context, request, previous string, tracked *trackedRun) {
	stillRead := false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, takeOverTimeout)
		reply, err := h.deps.Peers.NotifyTakeOver(call, previous, TakeOverNotice{request, h.deps.Self})
		cancel()
		if read := err == nil && reply.StillRead; read != stillRead {
			stillRead = read
			tracked.remoteReaders.Add(readerDelta(stillRead))
		}
		if _, done, _ := tracked.answer.snapshot(); done || err == nil && !reply.StillRead {
			return
		}
		pause.For(ctx, takeOverInterval)
	}
}

// readerDelta is what a daemon adds to the number of keepers when it starts or stops
// to be one.
func readerDelta(started bool) int32 {
	if started {
		return 1
	}
	return -1
}

// HandleTakeOver takes the notice that another daemon goes on with a request. A run
// that no caller reads here ends without canceling its stream.
func (h *Hub) HandleTakeOver(notice TakeOverNotice) TakeOverReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	tracked := h.runs[notice.Request]
	if tracked == nil || !tracked.endedAt.IsZero() {
		return TakeOverReply{}
	}
	if tracked.answer.HasReader() {
		return TakeOverReply{StillRead: true}
	}
	h.deps.Events.Record(event.GenerationTaken, notice.Request, event.F("by", notice.By))
	tracked.send(TakenOver{By: notice.By})
	return TakeOverReply{}
}

// HandleLocate answers another daemon that asks for a running answer.
func (h *Hub) HandleLocate(request LocateRequest) LocateReply {
	h.mu.Lock()
	tracked := h.runs[request.Request]
	h.mu.Unlock()
	if tracked == nil || tracked.fingerprint != request.Fingerprint {
		return LocateReply{}
	}
	tokens, done, err := tracked.answer.snapshot()
	if done && err != nil {
		return LocateReply{}
	}
	return LocateReply{Found: true, Tokens: tokens, Cursor: tracked.answer.CursorAt(int64(len(tokens)))}
}

// Bounds of the search for a run elsewhere: what one call may take, and how
// long a run that has no token yet is waited for.
const (
	claimTimeout   = 200 * time.Millisecond
	locateInterval = 100 * time.Millisecond
	locateTimeout  = time.Minute
)

// locate returns the request as it goes on from a run that another daemon has,
// if one has, and the daemon that claimed the request before. A caller with a
// cursor is known to come from there.
func (h *Hub) locate(ctx context.Context, r Request) (Request, string) {
	previous, err := h.claim(ctx, r.ID)
	if err != nil || previous == "" || previous == h.deps.Self || r.Cursor.Target != "" {
		return r, previous
	}
	for range locateTimeout / locateInterval {
		call, cancel := context.WithTimeout(ctx, claimTimeout)
		reply, err := h.deps.Peers.Locate(call, previous, LocateRequest{r.ID, r.Fingerprint()})
		cancel()
		if err != nil || !reply.Found || !reply.hasPrefix(r.Held) {
			return r, ""
		}
		if len(reply.Tokens) > 0 && reply.Cursor.Target != "" {
			r.Held, r.Cursor = reply.Tokens, reply.Cursor
			return r, previous
		}
		pause.For(ctx, locateInterval)
	}
	return r, ""
}

func (h *Hub) claim(ctx context.Context, request string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return h.deps.Peers.Claim(ctx, request)
}

// renew claims a running request anew when another daemon keeps its claims: the
// members of the site have changed, or were not all known before. It runs under
// the hub's lock.
func (h *Hub) renew(id string, tracked *trackedRun) {
	registrar := h.deps.Peers.Registrar(id)
	if registrar == tracked.registrar {
		return
	}
	tracked.registrar = registrar
	h.spawn(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		_ = h.deps.Peers.Renew(ctx, id)
	})
}

// hasPrefix tells whether the location begins with the tokens held, or has none
// yet.
func (l LocateReply) hasPrefix(held []string) bool {
	if len(l.Tokens) == 0 {
		return len(held) == 0
	}
	if len(l.Tokens) < len(held) {
		return false
	}
	for i, t := range held {
		if l.Tokens[i] != t {
			return false
		}
	}
	return true
}
