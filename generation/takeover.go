package generation

import (
	"context"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/internal/pause"
)

// Peers sends messages to the hubs of other daemons.
type Peers interface {
	// Claim records at the registrar that this daemon runs the request. It returns
	// the peer address of the daemon of the previous claim, or "".
	Claim(ctx context.Context, request string) (string, error)
	// Registrar returns the peer address of the daemon that currently stores the
	// claims of the request.
	Registrar(request string) string
	// Renew repeats the claim at the registrar, unless the registrar has a claim of
	// another daemon.
	Renew(ctx context.Context, request string) error
	// Locate requests a daemon's answer so far.
	Locate(ctx context.Context, daemon string, request LocateRequest) (LocateReply, error)
	// NotifyTakeOver notifies a daemon that this daemon continues one of its
	// requests.
	NotifyTakeOver(ctx context.Context, daemon string, notice TakeOverNotice) (TakeOverReply, error)
}

// LocateRequest requests a daemon's answer to a generation request.
type LocateRequest struct {
	Request     string `msgpack:"r"`
	Fingerprint uint64 `msgpack:"f"`
}

// LocateReply is a daemon's answer so far.
type LocateReply struct {
	Found  bool     `msgpack:"h"` // the daemon has the answer
	Tokens []string `msgpack:"t"`
	Cursor Cursor   `msgpack:"c"`
}

// TakeOverNotice notifies a daemon that a caller of its run has connected to
// another daemon.
type TakeOverNotice struct {
	Request string `msgpack:"r"`
	By      string `msgpack:"b"` // peer address of the daemon that continues the request
}

// TakeOverReply answers a TakeOverNotice.
type TakeOverReply struct {
	StillRead bool `msgpack:"k"` // a caller still reads the answer at the notified daemon, so the stream must not be canceled
}

// takeOverInterval is the time between two notices of takeOver. takeOverTimeout is the
// timeout of one notice. Notices are repeated so that a paused daemon receives one
// once it runs again.
const (
	takeOverInterval = time.Second
	takeOverTimeout  = time.Second
)

// takeOver notifies the previous daemon that the caller has connected to this
// daemon, until the previous daemon gives up the stream or the answer of this
// daemon is final. Without the notice the previous daemon would cancel the stream,
// which this daemon now reads. While callers of the previous daemon still read the
// stream, this daemon must not cancel it.
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

// readerDelta returns the change of remoteReaders when the callers of a daemon
// start or stop reading the stream.
func readerDelta(started bool) int32 {
	if started {
		return 1
	}
	return -1
}

// HandleTakeOver handles the notice that another daemon continues a request. If
// no caller reads the answer of this daemon, the run ends without canceling its
// stream.
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
	h.deps.Events.Record(event.GenerationTakenOver, notice.Request, event.F("by", notice.By))
	tracked.send(TakenOver{By: notice.By})
	return TakeOverReply{}
}

// HandleLocate answers a LocateRequest of another daemon.
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

// claimTimeout is the timeout of one Claim, Renew or Locate call to another daemon. If
// the run located at another daemon has no token yet, Locate is repeated every
// locateInterval for at most locateTimeout.
const (
	claimTimeout   = 200 * time.Millisecond
	locateInterval = 100 * time.Millisecond
	locateTimeout  = time.Minute
)

// locate claims the request for this daemon. If the daemon of the previous claim has a
// run of the request, locate returns the request with the tokens and cursor of that
// run, and the address of that daemon. Otherwise it returns the request unchanged and
// "". If the caller's cursor names a target, the cursor already identifies the stream
// to join. locate then returns the request unchanged and the daemon of the previous
// claim, without a query.
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

// renew repeats the claim of a running request if its registrar has changed,
// because the members of the site changed or were not all known before. The
// caller must hold h.mu.
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

// hasPrefix reports whether the located answer begins with the tokens held.
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
