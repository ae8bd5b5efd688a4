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
	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

// Handler handles one message and returns its reply. A nil reply with a nil error is an
// empty reply. The body is valid only during the call.
type Handler func(ctx context.Context, from Identity, body []byte) (any, error)

// Transport exchanges messages with other daemons. It dials on demand and uses one
// connection per address for all calls.
type Transport struct {
	self   Identity
	events *event.Recorder
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	ln     net.Listener

	// Lateness returns how late this daemon was at most from a time on, because its
	// processor was busy; answers may have waited here then. It may be nil, and must be set
	// before use.
	Lateness func(since, now time.Time) time.Duration

	// MaxInbound bounds the accepted connections, and Buffers what received frames hold until
	// they are handled, apart from membudget.FreeBytes of each. They may be 0 and nil for no
	// bound, and must be set before use.
	MaxInbound int
	Buffers    *membudget.Budget

	mu           sync.Mutex
	handlers     map[Kind]Handler
	conns        map[string]*conn
	inbound      map[*conn]struct{}
	greeting     map[net.Conn]time.Time // accepted connections in their handshake, with its start
	rejected     int64                  // accepted connections that were closed because there were too many
	pendingDials map[string]*pendingDial
	blockFilter  func(address string) bool

	traffic [kindRangeCount]atomic.Int64
}

// Traffic is counted by ranges of message kinds: kindRangeCount ranges of kindRangeSize
// kinds each.
const (
	kindRangeCount = 8
	kindRangeSize  = 100
)

// Traffic returns the number of bytes of frames sent and received with kinds in the range
// of kind. A reply counts for the kind of its request.
func (t *Transport) Traffic(kind Kind) int64 {
	return t.traffic[int(kind/kindRangeSize)%kindRangeCount].Load()
}

func (t *Transport) countTraffic(kind Kind, bytes int) {
	t.traffic[int(kind/kindRangeSize)%kindRangeCount].Add(int64(bytes))
}

// pendingDial is a dial in progress, which all callers of an address wait for. Its other
// fields are valid once done is closed.
type pendingDial struct {
	done chan struct{}
	conn *conn
	err  error
}

// Listen returns a transport that listens at self.PeerAddress. Serve accepts its
// connections.
func Listen(self Identity, events *event.Recorder) (*Transport, error) {
	ln, err := net.Listen("tcp", self.PeerAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers at %s", self.PeerAddress)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		self: self, events: events, ctx: ctx, cancel: cancel, ln: ln,
		handlers: make(map[Kind]Handler), conns: make(map[string]*conn),
		inbound: make(map[*conn]struct{}), greeting: make(map[net.Conn]time.Time), pendingDials: make(map[string]*pendingDial),
	}
	HandleTyped(t, kindBroadcast, t.handleBroadcast)
	return t, nil
}

// Self returns this daemon's identity.
func (t *Transport) Self() Identity { return t.self }

// Handle registers the handler of a message kind. It must be called before Serve.
func (t *Transport) Handle(kind Kind, h Handler) { t.handlers[kind] = h }

// HandleTyped registers fn as the handler of a message kind whose bodies decode to an M.
// It must be called before Serve. A body that does not decode is answered with an error.
func HandleTyped[M any](t *Transport, kind Kind, fn func(ctx context.Context, from Identity, m M) (any, error)) {
	t.Handle(kind, func(ctx context.Context, from Identity, body []byte) (any, error) {
		var m M
		if err := msgpack.Unmarshal(body, &m); err != nil {
			return nil, errors.Wrapf(err, "decode %T", m)
		}
		return fn(ctx, from, m)
	})
}

// Block makes the transport refuse traffic with the peer addresses for which fn returns
// true. A nil fn blocks no address. Fault tests simulate partitions with it.
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
		t.makeRoom(nc)
		go func() {
			defer t.wg.Done()
			t.accept(nc)
		}()
	}
}

func (t *Transport) accept(nc net.Conn) {
	remote, err := t.handshake(nc)
	c := newConn(t, nc, remote)
	t.mu.Lock()
	delete(t.greeting, nc)
	if err == nil {
		t.inbound[c] = struct{}{}
	}
	t.mu.Unlock()
	if err != nil {
		_ = nc.Close()
		return
	}
	if t.isBlocked(remote.PeerAddress) {
		c.close(ErrSilent)
		return
	}
	if t.ctx.Err() != nil {
		c.close(ErrClosed)
		return
	}
	c.run()
}

// handshake exchanges hello messages and returns the peer's identity. Both sides write
// before they read, so neither waits for the other. Closing the transport aborts the
// handshake, also while the peer is silent.
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
	e, err := readFrame(nc, maxHelloBytes)
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

// Call sends req to the daemon at address and decodes the reply into resp, which may be
// nil. It returns a RemoteError if the peer answered with an error. On any error the peer
// may have handled the request.
func (t *Transport) Call(ctx context.Context, address string, kind Kind, req, resp any) error {
	body, err := msgpack.Marshal(req)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	e, err := t.callOnce(ctx, address, kind, body)
	if errors.Is(err, errRetired) {
		e, err = t.callOnce(ctx, address, kind, body) // it was not sent: dial a new connection
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

// RemoteError is an error that the peer at Address answered a call with.
type RemoteError struct {
	Address string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Address + ": " + e.Message }

// Send queues a one-way message for the daemon at address. It may wait for a dial, but
// not for the message to be sent.
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

// conn returns the open connection to address, or dials a new one. Concurrent callers
// share one dial.
func (t *Transport) conn(ctx context.Context, address string) (*conn, error) {
	if t.isBlocked(address) {
		return nil, errors.Wrapf(ErrSilent, "link to %s is blocked", address)
	}
	t.mu.Lock()
	// Checked under mu, since Close waits only for goroutines that were added before it.
	if t.ctx.Err() != nil {
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

// lateness returns how late this daemon was at most from a time on.
func (t *Transport) lateness(since, now time.Time) time.Duration {
	if t.Lateness == nil {
		return 0
	}
	return t.Lateness(since, now)
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

// addGoroutine adds a goroutine to those that Close waits for. It returns false if the
// transport is closed.
func (t *Transport) addGoroutine() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return false
	}
	t.wg.Add(1)
	return true
}

// Close closes all connections and waits for every goroutine of the transport.
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
