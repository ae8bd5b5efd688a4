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

// oneAnswerServer answers the first request on each connection. Once a second request has
// arrived completely, it closes the connection.
type oneAnswerServer struct {
	listener net.Listener
	requests atomic.Int64
}

func newOneAnswerServer() *oneAnswerServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	s := &oneAnswerServer{listener: l}
	go s.serve()
	Reset(func() { _ = l.Close() })
	return s
}

func (s *oneAnswerServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *oneAnswerServer) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for answered := false; ; answered = true {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.requests.Add(1)
		if answered {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// idempotentTransport is deliberately wrong: it marks requests as idempotent, so that
// net/http resends them. The test must detect this.
type idempotentTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (h idempotentTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	repeatable := r.Clone(r.Context())
	repeatable.Header.Set("Idempotency-Key", "k")
	repeatable.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(newPlainReader(body)), nil }
	repeatable.Body, _ = repeatable.GetBody()
	return h.RoundTripper.RoundTrip(repeatable)
}

func newPlainReader(b []byte) io.Reader { return &plainReader{b} }

// plainReader reads b. Unlike for a bytes.Reader, net/http sets no GetBody for it.
type plainReader struct{ b []byte }

// Read implements io.Reader.
func (c *plainReader) Read(p []byte) (int, error) {
	if len(c.b) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.b)
	c.b = c.b[n:]
	return n, nil
}

func TestNoSilentResend(t *testing.T) {
	Convey("Given a target that closes a reused connection once a call has arrived", t, func() {
		s := newOneAnswerServer()
		c := NewClient(s.listener.Addr().String())
		defer c.Close()
		call := func() error {
			_, err := c.Call(context.Background(), Call{Key: "k", Body: "stand 12"})
			return err
		}
		So(call(), ShouldBeNil)
		Convey("the call returns ErrLost and was sent once", func() {
			So(errors.Is(call(), ErrLost), ShouldBeTrue)
			So(s.requests.Load(), ShouldEqual, 2)
		})
		Convey("the server detects a client whose transport resends the call", func() {
			c.http.Transport = idempotentTransport{c.http.Transport}
			_ = call()
			So(s.requests.Load(), ShouldBeGreaterThan, 2)
		})
	})
	Convey("A call to an address without a listener was not sent", t, func() {
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
