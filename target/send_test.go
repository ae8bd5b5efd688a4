package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// oneAnswer is a server that answers the first request on each connection and
// closes the connection once the second one has arrived whole.
type oneAnswer struct {
	listener net.Listener
	seen     atomic.Int64
}

func newOneAnswer() *oneAnswer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	s := &oneAnswer{listener: l}
	go s.serve()
	Reset(func() { _ = l.Close() })
	return s
}

func (s *oneAnswer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *oneAnswer) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for answered := false; ; answered = true {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.seen.Add(1)
		if answered {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// idempotencyHeader makes net/http believe that a request may be repeated.
type idempotencyHeader struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (h idempotencyHeader) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	again := r.Clone(r.Context())
	again.Header.Set("Idempotency-Key", "k")
	again.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(newReader(body)), nil }
	again.Body, _ = again.GetBody()
	return h.RoundTripper.RoundTrip(again)
}

func newReader(b []byte) io.Reader { return &chunk{b} }

type chunk struct{ b []byte }

// Read implements io.Reader.
func (c *chunk) Read(p []byte) (int, error) {
	if len(c.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.b)
	c.b = c.b[n:]
	return n, nil
}

func TestNoSilentResend(t *testing.T) {
	Convey("Given a target that closes a reused connection once a call has arrived", t, func() {
		s := newOneAnswer()
		c := NewClient(s.listener.Addr().String())
		defer c.Close()
		call := func() error {
			_, err := c.Call(context.Background(), Call{Key: "k", Body: "stand 12"})
			return err
		}
		So(call(), ShouldBeNil)
		Convey("the call is lost and was sent once", func() {
			So(errors.Is(call(), ErrLost), ShouldBeTrue)
			So(s.seen.Load(), ShouldEqual, 2)
		})
		Convey("a client that lets net/http repeat it is caught", func() {
			c.http.Transport = idempotencyHeader{c.http.Transport}
			_ = call()
			So(s.seen.Load(), ShouldBeGreaterThan, 2)
		})
	})
	Convey("A call to an address where nobody listens was not sent", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := l.Addr().String()
		So(l.Close(), ShouldBeNil)
		c := NewClient(address)
		defer c.Close()
		_, err = c.Call(context.Background(), Call{Key: "k"})
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
	})
}
