package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// endlessServer answers each request with start and then with repeat, until its connection
// is closed. Its connections are in memory and don't buffer, so that it can write only
// what is read.
type endlessServer struct {
	start, repeat string
	written       atomic.Int64
	open          atomic.Int64 // connections
}

func (s *endlessServer) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	s.open.Add(1)
	go s.serve(server)
	return client, nil
}

func (s *endlessServer) serve(c net.Conn) {
	defer s.open.Add(-1)
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	go func() { _, _ = io.Copy(io.Discard, req.Body) }()
	block := strings.Repeat(s.repeat, 1+readBufferBytes/len(s.repeat))
	for text := s.start; ; text = block {
		n, err := io.WriteString(c, text)
		s.written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// readBufferBytes is the size of net/http's read buffer of a connection.
const readBufferBytes = 4 << 10

// TestAnswersWithoutEnd guards against answers of targets that use up the memory of the
// daemon, or that look complete although they go on.
func TestAnswersWithoutEnd(t *testing.T) {
	readStream := func(s Stream, err error) error {
		if err != nil {
			return err
		}
		defer func() { _ = s.Close() }()
		_, err = s.Next()
		return err
	}
	calls := map[string]struct {
		call  func(context.Context, *Client) error
		limit int // of the body
	}{
		"generate": {func(ctx context.Context, c *Client) error { return readStream(c.Generate(ctx, GenerateRequest{})) }, maxLineBytes},
		"attach":   {func(ctx context.Context, c *Client) error { return readStream(c.Attach(ctx, StreamID{}, 0)) }, maxLineBytes},
		"probe": {func(ctx context.Context, c *Client) error {
			_, err := c.Probe(ctx)
			return err
		}, maxBodyBytes},
		"load": {func(ctx context.Context, c *Client) error {
			_, err := c.Load(ctx)
			return err
		}, maxBodyBytes},
		"cache events": {func(ctx context.Context, c *Client) error {
			_, err := c.CacheEvents(ctx, 0)
			return err
		}, maxBodyBytes},
		"call": {func(ctx context.Context, c *Client) error {
			_, err := c.Call(ctx, Call{})
			return err
		}, maxReplyBytes},
	}
	answers := map[string]struct{ start, repeat string }{
		"no head": {"", "garbage"}, "a header": {"HTTP/1.1 200 OK\r\nX-Long: ", "a"}, "headers": {"HTTP/1.1 200 OK\r\n", "X-More: a\r\n"},
		"interim heads": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"a string":      {"HTTP/1.1 200 OK\r\n\r\n\"", "a"}, "spaces": {"HTTP/1.1 200 OK\r\n\r\n", " "}, "a list": {"HTTP/1.1 200 OK\r\n\r\n[", "{},"},
	}
	for name, c := range calls {
		for kind, answer := range answers {
			t.Run(name+" "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					server := &endlessServer{start: answer.start, repeat: answer.repeat}
					if err := c.call(t.Context(), newClient("10.0.0.1:1", server.dial)); !errors.Is(err, ErrLost) {
						t.Errorf("error %v, want ErrLost", err)
					}
					if got, limit := server.written.Load(), int64(max(maxHeadBytes, c.limit)+2*readBufferBytes); got > limit {
						t.Errorf("%d bytes were read, want at most %d", got, limit)
					}
					time.Sleep(time.Millisecond)
					synctest.Wait()
					if n := server.open.Load(); n != 0 {
						t.Errorf("%d connections are open, want none", n)
					}
				})
			})
		}
	}
}
