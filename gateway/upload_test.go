package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/membudget"
	"github.com/vanillaroad/vanillaroad/platform"
)

// uploadBytes is the size of a body that the kernel's buffers can't hold.
const uploadBytes = 8 << 20

// uploadLimitMillis is the time until the answer is due.
const uploadLimitMillis = 500

// startReluctantTarget starts a target that reads the head of each request, sends answer, and
// then reads at most one KiB of the body each interval; nothing if the interval is 0. received
// counts the heads.
func startReluctantTarget(t *testing.T, answer string, interval time.Duration) (address string, received *atomic.Int64) {
	received = new(atomic.Int64)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
			t.Cleanup(func() { _ = c.Close() })
			go func() {
				r := bufio.NewReaderSize(c, 1<<10)
				for line := ""; line != "\r\n"; {
					if line, err = r.ReadString('\n'); err != nil {
						return
					}
				}
				received.Add(1)
				_, _ = io.WriteString(c, answer)
				for buffer := make([]byte, 1<<10); interval > 0 && err == nil; time.Sleep(interval) {
					_, err = r.Read(buffer)
				}
			}()
		}
	}()
	return l.Addr().String(), received
}

// TestUploadsToReluctantTargetsEnd guards against uploads that a target reads slowly or not at
// all and that hold the memory budget for good, and against a status which promises that such a
// request has not run.
func TestUploadsToReluctantTargetsEnd(t *testing.T) {
	body := make([]byte, uploadBytes)
	const head = "HTTP/1.1 200 OK\r\nVanillaroad-Request-Id: r\r\nVanillaroad-Upstream-Stamp: s\r\nContent-Length: 10\r\n\r\n"
	for _, target := range []struct {
		name, answer string
		interval     time.Duration
	}{
		{"reads nothing", "", 0},
		{"reads slowly", "", time.Millisecond},
		{"reads nothing and sends a part of an answer", head + "part", 0},
	} {
		for _, c := range []struct{ kind, limit string }{
			{"non_idempotent", "the route's timeout"}, {"non_idempotent", "the caller's deadline"}, {"idempotent", "the route's timeout"}, {"streaming", "the caller's deadline"},
		} {
			t.Run(target.name+", "+c.kind+", "+c.limit, func(t *testing.T) {
				e := newTestEnv(t)
				e.change = func(s *Settings) { s.MemoryMB = 512 }
				route := map[string]any{"name": "a", "host": "h", "path_prefix": "/a", "kind": c.kind, "timeout_ms": 600_000, "max_attempts": 2, "service": "s", "public": true}
				if c.limit == "the route's timeout" {
					route["timeout_ms"] = uploadLimitMillis
				}
				e.put(platform.ConfigurationKind, platform.ConfigurationName, map[string]any{
					"version": 1, "routes": []any{route}, "limits": map[string]any{"max_body_bytes": uploadBytes},
				})
				address, received := startReluctantTarget(t, target.answer, target.interval)
				e.put(platform.TargetKind, "i-1", map[string]any{
					"service": "s", "address": address, "zone": "p", "version": "v", "slots": 4, "state": "ready", "cold_left_ms": 0, "seq": 1,
				})
				s, _ := e.startDaemon("d1", e.store.Listener.Addr().String())
				g := e.gateways["d1"]
				eventually(func() bool { return g.table.Load() != nil && g.fleet.Has("i-1") })
				req, err := http.NewRequest(http.MethodPost, "http://"+s.Callers+"/a", bytes.NewReader(body))
				if err != nil {
					t.Fatal(err)
				}
				req.Host = "h"
				req.Header.Set("Vanillaroad-Request-Id", "r")
				if c.limit == "the caller's deadline" {
					req.Header.Set("Vanillaroad-Deadline-Ms", strconv.Itoa(uploadLimitMillis))
				}
				resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
				if err != nil {
					t.Fatal(err)
				}
				_ = resp.Body.Close()
				want := http.StatusGatewayTimeout
				switch {
				case received.Load() == 0:
					want = http.StatusServiceUnavailable // the time had passed before the send
				case target.answer != "" && c.kind == "streaming":
					want = http.StatusBadGateway // a stream that ends before its first event
				}
				if resp.StatusCode != want {
					t.Errorf("status %d, want %d", resp.StatusCode, want)
				}
				eventually(func() bool { return g.limits.Budget.Used() <= membudget.ConnBytes })
			})
		}
	}
}
