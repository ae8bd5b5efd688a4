package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillaroad/vanillaroad/event"
)

// Handler answers one message. A nil reply with a nil error is an empty reply.
// The body is only valid during the call.
type Handler func(ctx context.Context, from Identity, body []byte) (any, error)

// Transport talks to other daemons. It dials on demand and shares one
// connection per address among all calls.
type Transport struct {
	self   Identity
	events *event.Recorder
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	ln     net.Listener

	mu           sync.Mutex
	handlers     map[Kind]Handler
	conns        map[string]*conn
	inbound      map[*conn]struct{}
	pendingDials map[string]*pendingDial
	blockFilter  func(address string) bool

	traffic [kindRangeCount]atomic.Int64
}

// kindRanges is the number of ranges of message kinds, rangeSize their size.
const (
	kindRangeCount = 8
	kindRangeSize  = 100
)

// Traffic returns the bytes of frames sent and received in the range of kind.
// Replies count in the range of their request.
func (t *Transport) Traffic(kind Kind) int64 {
	return t.traffic[int(kind/kindRangeSize)%kindRangeCount].Load()
}

func (t *Transport) countTraffic(kind Kind, bytes int) {
	t.traffic[int(kind/kindRangeSize)%kindRangeCount].Add(int64(bytes))
}

type pendingDial struct {
	done chan struct{}
	conn *conn
	err  error
}

// Listen returns a transport that accepts connections at self.PeerAddress.
func Listen(self Identity, events *event.Recorder) (*Transport, error) {
	ln, err := net.Listen("tcp", self.PeerAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers at %s", self.PeerAddress)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		self: self, events: events, ctx: ctx, cancel: cancel, ln: ln,
		handlers: make(map[Kind]Handler), conns: make(map[string]*conn),
		inbound: make(map[*conn]struct{}), pendingDials: make(map[string]*pendingDial),
	}
	HandleTyped(t, kindBroadcast, t.handleBroadcast)
	return t, nil
}

// Self returns this daemon's identity.
func (t *Transport) Self() Identity { return t.self }

// Handle registers the handler of a kind. It must be called before Serve.
func (t *Transport) Handle(kind Kind, h Handler) { t.handlers[kind] = h }

// HandleTyped registers fn for messages of a kind whose bodies are an M. It must be called
// before Serve. A body of another shape is answered with an error.
func HandleTyped[M any](t *Transport, kind Kind, fn func(ctx context.Context, from Identity, m M) (any, error)) {
	t.Handle(kind, func(ctx context.Context, from Identity, body []byte) (any, error) {
		var m M
		if err := msgpack.Unmarshal(body, &m); err != nil {
			return nil, errors.Wrapf(err, "decode %T", m)
		}
		return fn(ctx, from, m)
	})
}

// Block makes the transport refuse traffic with the addresses for which fn
// returns true. It lets fault tests cut single links.
func (t *Transport) Block(fn func(address string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.blockFilter = fn
}

func (t *Transport) isBlocked(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.blockFilter != nil && t.blockFilter(address)
}

// Serve accepts connections until Close.
func (t *Transport) Serve() {
	for {
		nc, err := t.ln.Accept()
		if err != nil {
			return
		}
		if !t.addGoroutine() {
			_ = nc.Close()
			return
		}
		go func() {
			defer t.wg.Done()
			t.accept(nc)
		}()
	}
}

func (t *Transport) accept(nc net.Conn) {
	remote, err := t.handshake(nc)
	if err != nil || t.isBlocked(remote.PeerAddress) {
		_ = nc.Close()
		return
	}
	c := newConn(t, nc, remote)
	t.mu.Lock()
	t.inbound[c] = struct{}{}
	t.mu.Unlock()
	if t.ctx.Err() != nil {
		c.close(ErrClosed)
		return
	}
	c.run()
}

// handshake exchanges hellos. Both sides write first, so neither waits. Closing the
// transport ends it, also where the other side is silent.
func (t *Transport) handshake(nc net.Conn) (Identity, error) {
	stop := context.AfterFunc(t.ctx, func() { _ = nc.Close() })
	defer stop()
	if err := nc.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return Identity{}, errors.WithStack(err)
	}
	body, err := msgpack.Marshal(hello{Version: ProtocolVersion, Self: t.self})
	if err != nil {
		return Identity{}, errors.WithStack(err)
	}
	if _, err := writeFrame(nc, &envelope{Kind: kindHello, Body: body, Time: t.timestamp()}); err != nil {
		return Identity{}, err
	}
	e, err := readFrame(nc)
	if err != nil {
		return Identity{}, err
	}
	var h hello
	if err := msgpack.Unmarshal(e.Body, &h); err != nil {
		return Identity{}, errors.Wrap(err, "decode hello")
	}
	if h.Version != ProtocolVersion {
		return Identity{}, errors.Wrapf(ErrVersion, "%d, not %d", h.Version, ProtocolVersion)
	}
	return h.Self, nil
}

// Call sends req to the daemon at address and decodes its reply into resp,
// which may be nil. On error the peer may have handled the request.
func (t *Transport) Call(ctx context.Context, address string, kind Kind, req, resp any) error {
	body, err := msgpack.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	e, err := t.callOnce(ctx, address, kind, body)
	if errors.Is(err, errRetired) {
		e, err = t.callOnce(ctx, address, kind, body) // it never left: dial anew
	}
	if err != nil {
		return errors.Wrapf(err, "call %d at %s", kind, address)
	}
	if e.Error != "" {
		return &RemoteError{Address: address, Message: e.Error}
	}
	if resp == nil || len(e.Body) == 0 {
		return nil
	}
	return errors.Wrap(msgpack.Unmarshal(e.Body, resp), "decode reply")
}

func (t *Transport) callOnce(ctx context.Context, address string, kind Kind, body []byte) (*envelope, error) {
	c, err := t.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, kind, body)
}

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Address string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Address + ": " + e.Message }

// Send queues a one-way message and does not wait for it to leave.
func (t *Transport) Send(ctx context.Context, address string, kind Kind, msg any) error {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	c, err := t.conn(ctx, address)
	if err != nil {
		return err
	}
	if !c.markUsed() {
		if c, err = t.conn(ctx, address); err != nil {
			return err
		}
	}
	if !c.enqueue(&envelope{Kind: kind, Body: body}) {
		return errors.WithStack(ErrQueueFull)
	}
	return nil
}

// conn returns the open connection to address, or dials one. Concurrent
// callers share one dial.
func (t *Transport) conn(ctx context.Context, address string) (*conn, error) {
	if t.isBlocked(address) {
		return nil, errors.Wrapf(ErrSilent, "link to %s is cut", address)
	}
	t.mu.Lock()
	if t.ctx.Err() != nil { // Close waits for the goroutines begun before
		t.mu.Unlock()
		return nil, errors.WithStack(ErrClosed)
	}
	if c := t.conns[address]; c != nil && !c.unusable() {
		t.mu.Unlock()
		return c, nil
	}
	d := t.pendingDials[address]
	if d == nil {
		d = &pendingDial{done: make(chan struct{})}
		t.pendingDials[address] = d
		t.wg.Add(1)
		go t.dial(address, d)
	}
	t.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
}

func (t *Transport) dial(address string, d *pendingDial) {
	defer t.wg.Done()
	c, err := t.open(address)
	t.mu.Lock()
	d.conn, d.err = c, err
	delete(t.pendingDials, address)
	if err == nil {
		t.conns[address] = c
	}
	t.mu.Unlock()
	close(d.done)
	if err != nil {
		return
	}
	if t.ctx.Err() != nil {
		c.close(ErrClosed)
	}
	c.run()
}

func (t *Transport) open(address string) (*conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	nc, err := dialer.DialContext(t.ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial peer %s", address)
	}
	remote, err := t.handshake(nc)
	if err != nil {
		_ = nc.Close()
		return nil, errors.Wrapf(err, "greet peer %s", address)
	}
	c := newConn(t, nc, remote)
	c.dialed = true
	return c, nil
}

func (t *Transport) dispatch(ctx context.Context, from Identity, kind Kind, body []byte) (any, error) {
	if t.isBlocked(from.PeerAddress) {
		return nil, errors.WithStack(ErrSilent)
	}
	h := t.handlers[kind]
	if h == nil {
		return nil, errors.WithStack(ErrNoHandler)
	}
	return h(ctx, from, body)
}

func (t *Transport) removeConn(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inbound, c)
	for a, o := range t.conns {
		if o == c {
			delete(t.conns, a)
		}
	}
}

func (t *Transport) timestamp() int64 {
	if t.events == nil {
		return 0
	}
	return int64(t.events.Clock().Now())
}

func (t *Transport) observeTime(timestamp int64) {
	if t.events != nil && timestamp > 0 {
		t.events.Clock().Observe(event.Time(timestamp))
	}
}

// addGoroutine counts one more goroutine unless the transport is closed.
func (t *Transport) addGoroutine() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return false
	}
	t.wg.Add(1)
	return true
}

// Close ends all connections and waits for every goroutine of the transport.
func (t *Transport) Close() {
	t.cancel()
	_ = t.ln.Close()
	t.mu.Lock()
	all := make([]*conn, 0, len(t.conns)+len(t.inbound))
	for _, c := range t.conns {
		all = append(all, c)
	}
	for c := range t.inbound {
		all = append(all, c)
	}
	t.mu.Unlock()
	for _, c := range all {
		c.close(ErrClosed)
	}
	t.wg.Wait()
}
