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
	sendQueueLen = 1024
	maxHandlers  = 512
)

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

	mu    sync.Mutex
	err   error
	calls map[uint64]chan *envelope
	next  uint64
}

func newConn(t *Transport, nc net.Conn, remote Identity) *conn {
	return &conn{
		t: t, nc: nc, remote: remote,
		out:   make(chan *envelope, sendQueueLen),
		done:  make(chan struct{}),
		slots: make(chan struct{}, maxHandlers),
		calls: make(map[uint64]chan *envelope),
	}
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

func (c *conn) cause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

func (c *conn) write() {
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for {
		var e *envelope
		select {
		case <-c.done:
			return
		case e = <-c.out:
		case <-ping.C:
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
	return writeFrame(c.nc, e)
}

func (c *conn) read() {
	r := bufio.NewReaderSize(c.nc, 32<<10)
	for {
		if err := c.nc.SetReadDeadline(time.Now().Add(silenceLimit)); err != nil {
			c.close(errors.WithStack(err))
			return
		}
		e, err := readFrame(r)
		if err != nil {
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				err = errors.WithStack(ErrSilent)
			}
			c.close(err)
			return
		}
		c.t.observe(e.Time)
		c.receive(e)
	}
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
