package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

// Timeouts and limits of a connection.
const (
	dialTimeout    = time.Second
	writeTimeout   = 2 * time.Second
	pingInterval   = 500 * time.Millisecond
	silenceTimeout = 2 * time.Second // for the answer to a ping and for the rest of a frame
	// pingWindow is how long after its last message a dialed connection is pinged.
	// After that, an unused connection causes no traffic until it is closed after
	// idleTimeout.
	pingWindow = 3 * time.Second
	// oneWayPingInterval is the minimum time between two pings while no call waits for
	// its reply. A broken connection may then be detected later, which delays no
	// caller. The interval is two ticks, less a margin for the jitter of the ticker.
	oneWayPingInterval = 2*pingInterval - pingInterval/5
	idleTimeout        = 10 * time.Second
	// inboundIdleTimeout is how long an accepted connection may stay without a frame.
	inboundIdleTimeout = 2 * idleTimeout
	sendQueueLen       = 256 // frames
	readBufferBytes    = 4 << 10
	maxHandlers        = 512 // concurrent handlers of one connection
)

// errRetired means that a connection was closed as idle before it sent a call.
var errRetired = errors.New("connection retired")

// conn is an open connection. A daemon sends its calls on connections that it dialed,
// and receives the replies on the same connection.
type conn struct {
	transport    *Transport
	nc           net.Conn
	remote       Identity
	remoteHost   string // address that the connection comes from
	sendQueue    chan *envelope
	done         chan struct{}
	closeOnce    sync.Once
	handlerSlots chan struct{}

	dialed bool // this side dialed it, and therefore pings and retires it

	mu              sync.Mutex
	err             error
	pendingCalls    map[uint64]chan *envelope
	lastCallID      uint64
	lastUsed        time.Time
	received        time.Time // time of the last frame
	lastPing        time.Time // time of the last ping, zero if none
	unansweredSince time.Time // time of the first ping since the last received frame, zero if none
	retired         bool      // closed as idle; accepts no further calls
}

func newConn(transport *Transport, nc net.Conn, remote Identity) *conn {
	return &conn{
		transport: transport, nc: nc, remote: remote, remoteHost: hostOf(nc), received: time.Now(),
		sendQueue:    make(chan *envelope, sendQueueLen),
		done:         make(chan struct{}),
		handlerSlots: make(chan struct{}, maxHandlers),
		pendingCalls: make(map[uint64]chan *envelope),
		lastUsed:     time.Now(),
	}
}

// markUsed restarts the idle timeout. It returns false if the connection is retired.
func (c *conn) markUsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = time.Now()
	return !c.retired
}

// run reads and writes frames until the connection fails or is closed.
func (c *conn) run() {
	c.transport.wg.Add(1)
	go func() {
		defer c.transport.wg.Done()
		c.writeLoop()
	}()
	c.readLoop()
}

func (c *conn) close(err error) {
	c.closeOnce.Do(func() {
		c.mu.Lock()
		c.err = err
		c.mu.Unlock()
		close(c.done)
		_ = c.nc.Close()
		c.transport.removeConn(c)
	})
}

// unusable reports whether the connection accepts no further calls.
func (c *conn) unusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired || c.err != nil
}

func (c *conn) cause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

func (c *conn) writeLoop() {
	pings := time.NewTicker(pingInterval)
	defer pings.Stop()
	for {
		var e *envelope
		select {
		case <-c.done:
			return
		case e = <-c.sendQueue:
		case <-pings.C:
			if !c.dialed {
				continue
			}
			ping, err := c.tick(time.Now())
			if err != nil {
				c.close(err)
				return
			}
			if !ping {
				continue
			}
			e = &envelope{Kind: kindPing}
		}
		if err := c.writeEnvelope(e); err != nil {
			c.close(err)
			return
		}
	}
}

func (c *conn) writeEnvelope(e *envelope) error {
	e.Time = c.transport.timestamp()
	if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.WithStack(err)
	}
	n, err := writeFrame(c.nc, e)
	c.transport.countTraffic(e.Kind, n)
	return err
}

func (c *conn) readLoop() {
	r := bufio.NewReaderSize(c.nc, readBufferBytes)
	for {
		if err := c.awaitFrame(r); err != nil {
			c.close(err)
			return
		}
		first := time.Now()
		var memory *membudget.Share
		if c.transport.Buffers != nil {
			memory = c.transport.Buffers.NewShare()
		}
		e, err := readCountedFrame(r, maxFrameBytes, memory, func() { _ = c.nc.Close() })
		if err != nil {
			c.close(silenceError(err))
			return
		}
		e.arrival = Arrival{First: first, Last: time.Now()}
		c.markAlive()
		c.transport.countTraffic(e.Kind, e.size)
		c.transport.observeTime(e.Time)
		c.handle(e)
	}
}

// awaitFrame waits for the first byte of a frame and sets the deadline for the rest of
// it. On a dialed connection the wait has no deadline, since tick detects silence by
// unanswered pings.
func (c *conn) awaitFrame(r *bufio.Reader) error {
	var deadline time.Time
	if !c.dialed {
		deadline = time.Now().Add(inboundIdleTimeout)
	}
	if err := c.nc.SetReadDeadline(deadline); err != nil {
		return errors.WithStack(err)
	}
	if _, err := r.Peek(1); err != nil {
		return silenceError(err)
	}
	return errors.WithStack(c.nc.SetReadDeadline(time.Now().Add(silenceTimeout)))
}

// tick runs every pingInterval on a dialed connection. It reports whether to send a
// ping. It returns ErrSilent if pings stay unanswered for silenceTimeout, and for as much
// longer as this daemon itself was late, and errRetired if the connection is idle; both close
// the connection.
func (c *conn) tick(now time.Time) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now.Sub(c.lastUsed)
	switch {
	case !c.unansweredSince.IsZero() && now.Sub(c.unansweredSince) >= silenceTimeout+c.transport.lateness(c.unansweredSince, now):
		return false, errors.WithStack(ErrSilent)
	case len(c.pendingCalls) == 0 && now.Sub(c.lastPing) < oneWayPingInterval:
		return false, nil
	case len(c.pendingCalls) > 0 || idle < pingWindow:
		c.lastPing = now
		if c.unansweredSince.IsZero() {
			c.unansweredSince = now
		}
		return true, nil
	case idle >= idleTimeout:
		c.retired = true
		return false, errors.WithStack(errRetired)
	}
	return false, nil
}

// markAlive records that a frame arrived from the peer.
func (c *conn) markAlive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unansweredSince = time.Time{}
	c.received = time.Now()
}

// lastReceived returns the time of the last frame.
func (c *conn) lastReceived() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received
}

// silenceError returns ErrSilent for an error of a passed read deadline, else err.
func silenceError(err error) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return errors.WithStack(ErrSilent)
	}
	return err
}

func (c *conn) handle(e *envelope) {
	switch {
	case e.Kind == kindPing:
		e.release()
		c.enqueue(&envelope{Kind: kindPong})
	case e.Kind == kindPong:
		e.release()
	case e.Reply:
		defer e.release() // its call decodes it at once
		c.mu.Lock()
		ch := c.pendingCalls[e.ID]
		delete(c.pendingCalls, e.ID)
		c.mu.Unlock()
		if ch != nil {
			ch <- e
		}
	default:
		c.serve(e)
	}
}

// serve runs the handler of e in a new goroutine. While maxHandlers of them run, it
// blocks, and so the connection is not read.
func (c *conn) serve(e *envelope) {
	if c.transport.handlers[e.Kind] == nil {
		e.release()
		if e.ID != 0 {
			c.enqueue(&envelope{Kind: e.Kind, ID: e.ID, Reply: true, Error: ErrNoHandler.Error()})
		}
		return
	}
	select {
	case c.handlerSlots <- struct{}{}:
	case <-c.done:
		e.release()
		return
	}
	c.transport.wg.Add(1)
	go func() {
		defer c.transport.wg.Done()
		defer func() { <-c.handlerSlots }()
		defer e.release()
		ctx, cancel := context.WithCancel(context.WithValue(c.transport.ctx, arrivalKey{}, e.arrival))
		defer cancel()
		body, err := c.transport.dispatch(ctx, c.remote, e.Kind, e.Body)
		if e.ID == 0 {
			return
		}
		reply := &envelope{Kind: e.Kind, ID: e.ID, Reply: true}
		if err == nil && body != nil {
			reply.Body, err = msgpack.Marshal(body)
		}
		if err != nil {
			reply.Error, reply.Body = err.Error(), nil
		}
		c.enqueue(reply)
	}()
}

// enqueue appends a frame to the send queue. It returns false if the queue is full or the
// connection is closed.
func (c *conn) enqueue(e *envelope) bool {
	select {
	case c.sendQueue <- e:
		return true
	case <-c.done:
		return false
	default:
		return false
	}
}

// call sends a request and waits for its reply.
func (c *conn) call(ctx context.Context, kind Kind, body []byte) (*envelope, error) {
	ch := make(chan *envelope, 1)
	c.mu.Lock()
	if c.retired {
		c.mu.Unlock()
		return nil, errors.WithStack(errRetired)
	}
	c.lastUsed = time.Now()
	c.lastCallID++
	id := c.lastCallID
	c.pendingCalls[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pendingCalls, id)
		c.mu.Unlock()
	}()
	if !c.enqueue(&envelope{Kind: kind, ID: id, Body: body}) {
		return nil, errors.WithStack(ErrQueueFull)
	}
	select {
	case e := <-ch:
		return e, nil
	case <-c.done:
		return nil, c.cause()
	case <-ctx.Done():
		return nil, errors.WithStack(ctx.Err())
	}
}
