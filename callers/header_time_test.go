package callers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/pipelistener"
)

// headerPort is a callers' port of one connection, without a network.
type headerPort struct {
	caller net.Conn
	served int // requests that reached the handler
	limits *HeaderLimits
	stop   func()
}

func newHeaderPort(timeout time.Duration) *headerPort {
	p := &headerPort{limits: &HeaderLimits{Timeout: func() time.Duration { return timeout }}}
	tracker := NewTracker()
	listener := pipelistener.New()
	server := &http.Server{ConnState: tracker.ConnState, ReadHeaderTimeout: MaxHeaderTimeout, IdleTimeout: 2 * time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		p.served++
		_, _ = io.Copy(io.Discard, r.Body)
	})}
	go func() { _ = server.Serve(Listener{Listener: listener, Header: p.limits}) }()
	caller, accepted := net.Pipe()
	listener.Conns <- accepted
	p.caller, p.stop = caller, func() {
		_ = caller.Close()
		_ = server.Close()
	}
	return p
}

// TestLateHeadersAreRefused guards against headers that never end and hold a connection, and
// against an answer other than 408, after which the request may not run.
func TestLateHeadersAreRefused(t *testing.T) {
	for _, first := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			p := newHeaderPort(3 * time.Second)
			defer p.stop()
			answers, before := bufio.NewReader(p.caller), 0
			if !first {
				_, _ = io.WriteString(p.caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				if _, err := http.ReadResponse(answers, nil); err != nil {
					t.Fatal(err)
				}
				before = 1
				time.Sleep(20 * time.Second)
			}
			start := time.Now()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, err := io.WriteString(p.caller, "GET / HTTP/1.1\r\nHost: h\r\n")
				for ; err == nil; time.Sleep(10 * time.Millisecond) { // it makes progress, but has no end
					_, err = io.WriteString(p.caller, "A: b\r\n")
				}
			}()
			answer, err := http.ReadResponse(answers, nil)
			if err != nil || answer.StatusCode != http.StatusRequestTimeout || !answer.Close {
				t.Fatalf("answer %+v, error %v, want 408 and the end of the connection", answer, err)
			}
			if after := time.Since(start); after < 3*time.Second || after > 3*time.Second+2*lateHeaderTime {
				t.Errorf("the answer comes after %v, want 3s", after)
			}
			if _, err := answers.ReadByte(); err == nil {
				t.Error("bytes follow the answer")
			}
			<-ended // the writer gets an error
			synctest.Wait()
			if p.served != before || p.limits.Refused() != 1 {
				t.Errorf("%d requests ran and %d were refused, want %d and 1", p.served, p.limits.Refused(), before)
			}
		})
	}
}

// TestHeadersInTimeAreServed guards against callers within the limits that are refused: with
// slow headers, bodies that take longer, requests behind others, and pauses between requests.
func TestHeadersInTimeAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newHeaderPort(3 * time.Second)
		defer p.stop()
		answers := bufio.NewReader(p.caller)
		time.Sleep(9 * time.Second) // no byte of a header was sent
		const body = 5
		for range 3 {
			for _, part := range []string{"POST / HTTP/1.1\r\n", "Host: h\r\nContent-Length: 5\r\n", "\r\n"} {
				if _, err := io.WriteString(p.caller, part); err != nil {
					t.Fatal(err)
				}
				time.Sleep(1400 * time.Millisecond) // after the last part, of the body's time
			}
			for range body {
				time.Sleep(4 * time.Second)
				if _, err := io.WriteString(p.caller, "x"); err != nil {
					t.Fatal(err)
				}
			}
			answer, err := http.ReadResponse(answers, nil)
			if err != nil || answer.StatusCode != http.StatusOK {
				t.Fatalf("answer %+v, error %v, want 200", answer, err)
			}
			time.Sleep(30 * time.Second)
		}
		if p.served != 3 || p.limits.Refused() != 0 {
			t.Errorf("%d requests ran and %d were refused, want 3 and none", p.served, p.limits.Refused())
		}
	})
}

// TestHeadersWithoutALimit guards against an answer of 408 where none is configured, and for
// connections that send nothing; both are closed after HeaderTimeout, as before.
func TestHeadersWithoutALimit(t *testing.T) {
	for timeout, sent := range map[time.Duration]string{0: "GET / HTTP/1.1\r\n", time.Second: ""} {
		synctest.Test(t, func(t *testing.T) {
			p := newHeaderPort(timeout)
			defer p.stop()
			start := time.Now()
			go func() { _, _ = io.WriteString(p.caller, sent) }()
			got, err := io.ReadAll(p.caller)
			if after := time.Since(start); len(got) > 0 || err != nil || after < HeaderTimeout || after > HeaderTimeout+2*lateHeaderTime {
				t.Errorf("%q and error %v after %v, want the end of the connection after %v", got, err, after, HeaderTimeout)
			}
		})
	}
}
