package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Names of the small deployment.
const (
	host    = "stojnica.example"
	key     = "xd9dnn2ctnfzs989anu6"
	tenant  = "huka270"
	booking = "sejemski-vpis"
)

// route returns a route as the operator writes it.
func route(name, prefix, kind, service string, timeoutMillis, sloMillis, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMillis, "slo_ms": sloMillis, "priority": 2,
		"service": service, "max_attempts": attempts, "public": false, "sticky": false, "resumable": false,
	}
}

// bookingRoutes are those of the lease confirmations and of the spot checks.
func bookingRoutes() []any {
	return []any{
		route("zakup-stojnice", "/zakup/", "non_idempotent", booking, 800, 100, 1),
		route("prosto-mesto", "/prosto/", "idempotent", booking, 800, 100, 2),
	}
}

// bookingService is the entry of the booking service.
func bookingService() any {
	return map[string]any{"name": booking, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false}
}

// configuration returns a config as the operator writes it.
func configuration(version int, tenants any, routes, services []any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// oneTenant is the tenant list of the small deployment.
func oneTenant() any {
	return []any{map[string]any{"name": tenant, "api_keys": []string{key}}}
}

// answer is what a client attempt ended with; status 0 is a channel without an answer.
type answer struct {
	status     int
	header     http.Header
	body       []byte
	cut        bool // the channel ended after the head, without the end of the body
	retryAfter time.Duration
}

// client sends requests over kept channels to the daemons.
type client struct {
	addresses []string
	record    *record

	mu   sync.Mutex
	kept map[string][]*channel
	ids  int
}

type channel struct {
	net.Conn
	reader *bufio.Reader
	usedAt time.Time
}

func newClient(s *site) *client {
	c := &client{record: s.record, kept: make(map[string][]*channel)}
	for _, d := range s.daemons {
		c.addresses = append(c.addresses, d.address(callersPort))
	}
	return c
}

// newID returns a request id that no other client attempt has.
func (c *client) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), c.ids)
}

// take returns a channel to a daemon, kept or new.
func (c *client) take(address string) (*channel, error) {
	c.mu.Lock()
	for list := c.kept[address]; len(list) > 0; list = c.kept[address] {
		ch := list[len(list)-1]
		c.kept[address] = list[:len(list)-1]
		if time.Since(ch.usedAt) < 12*time.Second { // four fifths of the idle timeout
			c.mu.Unlock()
			return ch, nil
		}
		_ = ch.Close()
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// drop closes the kept channels, so that the next requests use new ones.
func (c *client) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, list := range c.kept {
		for _, ch := range list {
			_ = ch.Close()
		}
	}
	clear(c.kept)
}

func (c *client) keep(address string, ch *channel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch.usedAt = time.Now()
	c.kept[address] = append(c.kept[address], ch)
}

// attempt makes one client attempt at a daemon drawn by chance.
func (c *client) attempt(ctx context.Context, id, method, path, apiKey, body string, limit time.Duration) answer {
	return c.attemptAt(ctx, c.addresses[rand.IntN(len(c.addresses))], id, method, path, apiKey, body, limit)
}

// attemptAt makes one client attempt at a daemon.
func (c *client) attemptAt(ctx context.Context, address, id, method, path, apiKey, body string, limit time.Duration) answer {
	ch, err := c.take(address)
	if err != nil {
		c.record.note("%s %s not sent: %v", id, path, err)
		return answer{}
	}
	stop := context.AfterFunc(ctx, func() { _ = ch.Close() })
	defer stop()
	_ = ch.SetDeadline(time.Now().Add(limit))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, host, headerRequest, id, headerDeadline, limit.Milliseconds())
	if apiKey != "" {
		fmt.Fprintf(&head, "Authorization: Bearer %s\r\n", apiKey)
	}
	if strings.HasPrefix(path, draftPrefix) { // 1,460 prompt tokens, of which its own part has 1,260
		fmt.Fprintf(&head, "Vanillaroad-Model: m\r\nVanillaroad-Token-Usage: 1460,1120\r\nVanillaroad-Prompt-Prefix: 5c1e07a2:200,%s:1260\r\n", id)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	c.record.note("%s %s %s sent to %s", id, method, path, address)
	if _, err := io.WriteString(ch, head.String()+"\r\n"+body); err != nil {
		_ = ch.Close()
		c.record.note("%s no answer: %v", id, err)
		return answer{}
	}
	resp, err := http.ReadResponse(ch.reader, &http.Request{Method: method})
	if err != nil {
		_ = ch.Close()
		c.record.note("%s no answer: %v", id, err)
		return answer{}
	}
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		_ = ch.Close()
		c.record.note("%s answered %d, body cut after %d bytes: %v", id, resp.StatusCode, len(content), err)
		return answer{cut: true}
	}
	a := answer{status: resp.StatusCode, header: resp.Header, body: content}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	c.record.note("%s answered %d, stamp %q", id, a.status, resp.Header.Get(headerStamp))
	if resp.Close {
		_ = ch.Close()
	} else {
		c.keep(address, ch)
	}
	return a
}

// promised reports whether a status promises that the request has not run and never will.
func promised(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// every calls f in a new goroutine at random times, at a rate of so many a second, for d. It
// returns once all calls have ended.
func every(perSecond float64, d time.Duration, f func()) {
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		wg.Go(f)
	}
	wg.Wait()
}
