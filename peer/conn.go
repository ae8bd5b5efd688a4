package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Deadlines and bounds of one connection.
const (
	dialTimeout  = time.Second
	writeTimeout = 2 * time.Second
	pingInterval = 500 * time.Millisecond
	silenceLimit = 2 * time.Second
	// useWindow is how long after its last request a dialed connection is
	// pinged; after idleClose it is closed. A connection nobody uses costs
	// nothing.
	useWindow = 3 * time.Second
	// oneWayPing is the time between two pings where no call waits for its answer:
	// two ticks, less what tickers vary. Nobody waits then for a loss to show.
	oneWayPing = 2*pingInterval - pingInterval/5
	idleClose  = 10 * time.Second
	// idleLimit is how long an accepted connection may stay silent.
	idleLimit    = 2 * idleClose
	sendQueueLen = 1024
	maxHandlers  = 512
)

// errRetired tells that a connection closed for idleness before it took a call.
var errRetired = errors.New("connection retired")

// conn is one open connection. Calls go out on connections that this side
// dialed; replies come back on the same connection.
type conn struct {
	t      *Transport
	nc     net.Conn
	remote Identity
	out    chan *envelope
	done   chan struct{}
	once   sync.Once
	slots  chan struct{}

	dialed bool // this side dialed, pings and retires it

	mu         sync.Mutex
	err        error
	calls      map[uint64]chan *envelope
	next       uint64
	used       time.Time
	pinged     time.Time // last ping
	unanswered time.Time // first ping since the last frame that arrived
	retired    bool
}

func newConn(t *Transport, nc net.Conn, remote Identity) *conn {
	return &conn{
		t: t, nc: nc, remote: remote,
		out:   make(chan *envelope, sendQueueLen),
		done:  make(chan struct{}),
		slots: make(chan struct{}, maxHandlers),
		calls: make(map[uint64]chan *envelope),
		used:  time.Now(),
	}
}

// touch marks a use. It returns false when the connection was retired.
func (c *conn) touch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = time.Now()
	return !c.retired
}

// run serves the connection until it fails or closes.
func (c *conn) run() {
	c.t.wg.Add(1)
	go func() {
		defer c.t.wg.Done()
		c.write()
	}()
	c.read()
}

func (c *conn) close(err error) {
	c.once.Do(func() {
		c.mu.Lock()
		c.err = err
		c.mu.Unlock()
		close(c.done)
		_ = c.nc.Close()
		c.t.forget(c)
	})
}

// gone tells that the connection takes no further call.
func (c *conn) gone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired || c.err != nil
}

func (c *conn) cause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

func (c *conn) write() {
	pings := time.NewTicker(pingInterval)
	defer pings.Stop()
	for {
		var e *envelope
		select {
		case <-c.done:
			return
		case e = <-c.out:
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
		if err := c.writeOne(e); err != nil {
			c.close(err)
			return
		}
	}
}

func (c *conn) writeOne(e *envelope) error {
	e.Time = c.t.stamp()
	if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.WithStack(err)
	}
	n, err := writeFrame(c.nc, e)
	c.t.count(e.Kind, n)
	return err
}

func (c *conn) read() {
	r := bufio.NewReaderSize(c.nc, 32<<10)
	for {
		if err := c.awaitFrame(r); err != nil {
			c.close(err)
			return
		}
		e, err := readFrame(r)
		if err != nil {
			c.close(silent(err))
			return
		}
		c.answered()
		c.t.count(e.Kind, e.size)
		c.t.observe(e.Time)
		c.receive(e)
	}
}

// awaitFrame waits for the first byte of a frame and sets the deadline for the
// rest of it. Silence of a dialed connection is judged by its pings.
func (c *conn) awaitFrame(r *bufio.Reader) error {
	var until time.Time
	if !c.dialed {
		until = time.Now().Add(idleLimit)
	}
	if err := c.nc.SetReadDeadline(until); err != nil {
		return errors.WithStack(err)
	}
	if _, err := r.Peek(1); err != nil {
		return silent(err)
	}
	return errors.WithStack(c.nc.SetReadDeadline(time.Now().Add(silenceLimit)))
}

// tick runs once a pingInterval on a dialed connection. It returns whether to
// ping, or an error that ends the connection.
func (c *conn) tick(now time.Time) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now.Sub(c.used)
	switch {
	case !c.unanswered.IsZero() && now.Sub(c.unanswered) >= silenceLimit:
		return false, errors.WithStack(ErrSilent)
	case len(c.calls) == 0 && now.Sub(c.pinged) < oneWayPing:
		return false, nil
	case len(c.calls) > 0 || idle < useWindow:
		c.pinged = now
		if c.unanswered.IsZero() {
			c.unanswered = now
		}
		return true, nil
	case idle >= idleClose:
		c.retired = true
		return false, errors.WithStack(errRetired)
	}
	return false, nil
}

// answered notes that the other side lives.
func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unanswered = time.Time{}
}

// silent names a read deadline that passed.
func silent(err error) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return errors.WithStack(ErrSilent)
	}
	return err
}

func (c *conn) receive(e *envelope) {
	switch {
	case e.Kind == kindPing:
		c.enqueue(&envelope{Kind: kindPong})
	case e.Kind == kindPong:
	case e.Reply:
		c.mu.Lock()
		ch := c.calls[e.ID]
		delete(c.calls, e.ID)
		c.mu.Unlock()
		if ch != nil {
			ch <- e
		}
	default:
		c.serve(e)
	}
}

// serve runs the handler of e on a goroutine of its own; the number of those
// is bounded, and a peer that exceeds it waits.
func (c *conn) serve(e *envelope) {
	select {
	case c.slots <- struct{}{}:
	case <-c.done:
		return
	}
	c.t.wg.Add(1)
	go func() {
		defer c.t.wg.Done()
		defer func() { <-c.slots }()
		ctx, cancel := context.WithCancel(c.t.ctx)
		defer cancel()
		body, err := c.t.dispatch(ctx, c.remote, e.Kind, e.Body)
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

func (c *conn) enqueue(e *envelope) bool {
	select {
	case c.out <- e:
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
	c.used = time.Now()
	c.next++
	id := c.next
	c.calls[id] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.calls, id)
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
