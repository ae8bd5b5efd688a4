package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// attempt is one request of a client, as the client saw it.
type attempt struct {
	id, kind, daemon string // daemon is its address for callers
	work             task
	reused           bool      // sent on a connection that had served a request
	begun            time.Time // before the first byte was sent
	sent             time.Time // after the last byte was sent; zero if it wasn't
	ended            time.Time
	deadline         time.Time
	status           int // 0 without an answer
	complete         bool
	err              error
	reset            bool   // the daemon closed the connection with bytes that it had not read
	violation        string // what the client itself found wrong
	events           int    // received
	resumes          string // attempt that brought the first event of the stream; empty if none has
	beganAt          string // version of that event
}

// progress is what a client has received of a stream over its attempts.
type progress struct {
	lastEvent int
	version   string // of the software that made the events; empty before the first
	began     string // attempt that brought the first event
}

// refused reports whether the answer promises that the request was not run.
func (a *attempt) refused() bool {
	return a.complete && (a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421)
}

// unread reports whether the daemon closed the connection without having read the
// request, or so soon that it doesn't count.
func (a *attempt) unread(runs []run) bool {
	return !a.complete && (a.sent.IsZero() || len(runs) == 0 && (a.reset || a.ended.Sub(a.sent) <= lossSlack))
}

// record collects the attempts of all clients.
type record struct {
	mu       sync.Mutex
	attempts []*attempt
	outcomes map[string]int // of requests over all their attempts, by kind and outcome
}

func (r *record) add(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, a)
}

func (r *record) count(kind, outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[kind+" "+outcome]++
}

// clientConn is a kept connection to a daemon.
type clientConn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	usedAt  time.Time // zero before the first answer
}

// client sends one request at a time, as the platform's clients do.
type client struct {
	name      string
	rng       *rand.Rand
	record    *record
	directory []string // addresses to ask for daemons
	// patience is how long an answer of the directory is kept, in multiples of its TTL.
	patience int
	// stubborn clients use open connections until they are closed, whatever the
	// directory and Connection: close say.
	stubborn bool
	// idleTimeout is the configured limit in nanoseconds. Clients use connections that
	// have been idle for up to four fifths of it.
	idleTimeout *atomic.Int64
	ledger      *ledger
	// persistent clients wait longer and try more often while no daemon accepts connections.
	persistent bool

	addresses []string
	expires   time.Time
	pool      []*clientConn
	sequence  int
}

// Kinds of requests, which are also the first element of their path.
const (
	kindStream = "stream"
	kindBook   = "book" // non-idempotent
	kindRead   = "read" // idempotent
)

// Limits of clients, from the platform's protocol.
const (
	dialTimeout      = time.Second
	directoryTimeout = time.Second
	streamDeadline   = 25 * time.Second
	callDeadline     = 6 * time.Second
	maxTries         = 4

	persistentTries = 12
	persistentWait  = time.Second
)

// run sends requests until done is closed.
func (c *client) run(done <-chan struct{}, kinds []string) {
	defer c.close()
	for {
		select {
		case <-done:
			return
		case <-time.After(upTo(c.rng, 300*time.Millisecond)):
		}
		c.request(kinds[c.rng.IntN(len(kinds))])
	}
}

func (c *client) close() {
	for _, conn := range c.pool {
		_ = conn.Close()
	}
}

// request sends a request until it is answered, it must not be sent again, or its time
// is used up.
func (c *client) request(kind string) {
	c.sequence++
	key := fmt.Sprintf("%s-%d", c.name, c.sequence)
	work, deadline := drawCall(c.rng, key), time.Now().Add(callDeadline)
	if kind == kindStream {
		work, deadline = drawStream(c.rng, key), time.Now().Add(streamDeadline)
	}
	failed := make(map[string]bool)
	var received progress
	tries, unconnectedWait := maxTries, 50*time.Millisecond
	if c.persistent {
		tries, unconnectedWait = persistentTries, persistentWait
	}
	for try := range tries {
		conn, reused, err := c.connect(try == 0, failed)
		if err != nil {
			c.record.count(kind, "unconnected")
			if !c.wait(unconnectedWait, deadline) {
				break
			}
			continue
		}
		if time.Until(deadline) < time.Millisecond {
			_ = conn.Close() // the time was used up by the directory or the connection
			break
		}
		a := &attempt{id: fmt.Sprintf("%s.%d", key, try), kind: kind, daemon: conn.address, work: work, reused: reused, deadline: deadline, resumes: received.began, beganAt: received.version}
		retryAfter := c.exchange(conn, a, &received)
		a.ended = time.Now()
		c.record.add(a)
		if a.complete && a.status == http.StatusOK {
			c.record.count(kind, "served")
			return
		}
		failed[conn.address] = true
		repeatable := kind != kindBook || a.refused() || a.unread(c.ledger.of(a.id))
		if !repeatable || a.violation != "" || !c.wait(retryAfter, deadline) {
			break
		}
	}
	c.record.count(kind, "failed")
}

// wait waits for d, at most a third of the time left, and reports whether there is time
// left.
func (c *client) wait(d time.Duration, deadline time.Time) bool {
	time.Sleep(min(d, time.Until(deadline)/3))
	return time.Now().Before(deadline)
}

// connect returns a kept connection or a new one.
func (c *client) connect(keptAllowed bool, failed map[string]bool) (conn *clientConn, reused bool, err error) {
	c.resolve()
	idleLimit := time.Duration(c.idleTimeout.Load()) * 4 / 5
	if len(c.pool) > 0 {
		kept := c.pool[:0]
		for _, p := range c.pool {
			if time.Since(p.usedAt) < idleLimit && !p.closed() && (c.stubborn || contains(c.addresses, p.address)) {
				kept = append(kept, p)
			} else {
				_ = p.Close()
			}
		}
		c.pool = kept
	}
	if keptAllowed && len(c.pool) > 0 && c.rng.IntN(5) > 0 {
		i := c.rng.IntN(len(c.pool))
		conn := c.pool[i]
		c.pool = append(c.pool[:i], c.pool[i+1:]...)
		return conn, true, nil
	}
	var candidates []string
	for _, a := range c.addresses {
		if !failed[a] {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		candidates = c.addresses
	}
	if len(candidates) == 0 {
		return nil, false, errors.New("no address")
	}
	address := candidates[c.rng.IntN(len(candidates))]
	raw, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		failed[address] = true
		return nil, false, err
	}
	return &clientConn{Conn: raw, address: address, reader: bufio.NewReader(raw)}, false, nil
}

// closed reports whether the daemon has closed the connection.
func (c *clientConn) closed() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	return !errors.Is(err, os.ErrDeadlineExceeded)
}

// wasReset reports whether the daemon reset the connection. The kernel does so if a
// process closes it with bytes that it has not read, or if bytes arrive later.
func (c *clientConn) wasReset() bool {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && reset
}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}

// resolve asks up to three daemons for addresses once the last answer has expired.
func (c *client) resolve() {
	if time.Now().Before(c.expires) {
		return
	}
	asker := &http.Client{Timeout: directoryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, i := range c.rng.Perm(len(c.directory))[:min(3, len(c.directory))] {
		resp, err := asker.Get("http://" + c.directory[i] + "/-/resolve?name=h.example&region=r&zone=p")
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			c.addresses = answer.Addresses
			c.expires = time.Now().Add(time.Duration(c.patience) * time.Duration(answer.TTL*float64(time.Second)))
			return
		}
	}
}

// exchange sends a request and reads its answer. It keeps the connection if it may be
// used again, and returns the time to wait before a retry.
func (c *client) exchange(conn *clientConn, a *attempt, received *progress) (retryAfter time.Duration) {
	keep := false
	defer func() {
		if keep {
			conn.usedAt = time.Now()
			c.pool = append(c.pool, conn)
		} else {
			_ = conn.Close()
		}
	}()
	defer func() { a.reset = a.err != nil && conn.wasReset() }()
	a.begun = time.Now()
	_ = conn.SetDeadline(a.deadline.Add(time.Second))
	if a.err = c.send(conn, a, received.lastEvent); a.err != nil {
		return 0
	}
	a.sent = time.Now()
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		a.err = err
		return 0
	}
	a.status = resp.StatusCode
	if echoed := resp.Header.Get("Vanillaroad-Request-Id"); echoed != a.id && (echoed != "" || a.status < 300) {
		a.violation = fmt.Sprintf("MIXED: an answer to %q", echoed)
	}
	if stamp := resp.Header.Get("Vanillaroad-Upstream-Stamp"); a.status < 300 && !strings.HasSuffix(stamp, "/"+a.id) {
		a.violation = fmt.Sprintf("MIXED: stamp %q", stamp)
	}
	if a.kind == kindStream && a.status == http.StatusOK {
		a.err = readStream(resp.Body, a, received)
	} else {
		var body []byte
		body, a.err = io.ReadAll(resp.Body)
		if a.err == nil && a.status == http.StatusOK && !bytes.Equal(body, a.work.answer()) {
			a.violation = fmt.Sprintf("MIXED: a body of %d bytes", len(body))
		}
	}
	a.complete = a.err == nil
	keep = a.complete && (c.stubborn || !resp.Close)
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return retryAfter
}

// send writes the request, one in four in two parts.
func (c *client) send(conn net.Conn, a *attempt, lastEvent int) error {
	var head, body bytes.Buffer
	method, path := http.MethodPost, "/"+a.kind+"/x"
	if a.kind == kindRead {
		method, path = http.MethodGet, "/read/"+a.work.String()
	} else {
		fmt.Fprintf(&body, "%s\n%s", a.work, strings.Repeat("x", c.rng.IntN(5000)))
	}
	now := time.Now()
	left := a.deadline.Sub(now).Truncate(time.Millisecond)
	a.deadline = now.Add(left) // as the daemon gets it
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: h.example\r\nVanillaroad-Request-Id: %s\r\nVanillaroad-Deadline-Ms: %d\r\n", method, path, a.id, left.Milliseconds())
	if lastEvent > 0 {
		fmt.Fprintf(&head, "Resumes: %s\r\nLast-Event-Id: %d\r\n", a.resumes, lastEvent)
	}
	data := body.Bytes()
	switch {
	case a.kind == kindRead:
	case c.rng.IntN(2) == 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
		data = fmt.Appendf(nil, "%x\r\n%s\r\n0\r\n\r\n", len(data), data)
	default:
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(data))
	}
	head.WriteString("\r\n")
	message := append(head.Bytes(), data...)
	if c.rng.IntN(4) == 0 {
		cut := c.rng.IntN(len(message))
		if _, err := conn.Write(message[:cut]); err != nil {
			return err
		}
		time.Sleep(upTo(c.rng, 30*time.Millisecond))
		message = message[cut:]
	}
	_, err := conn.Write(message)
	return err
}

// readStream reads the events of a stream and checks that they follow those received, which
// it advances, and come from the same version.
func readStream(body io.Reader, a *attempt, received *progress) error {
	reader := bufio.NewReader(body)
	for {
		var event strings.Builder
		for !strings.HasSuffix(event.String(), "\n\n") {
			line, err := reader.ReadString('\n')
			if err != nil {
				if err != io.EOF {
					return err
				}
				if line != "" || event.Len() > 0 {
					a.violation = "MIXED: a stream that looks complete ends within an event"
				} else if received.lastEvent != a.work.events {
					a.violation = fmt.Sprintf("ORDER: a stream that looks complete ends after event %d of %d", received.lastEvent, a.work.events)
				}
				return nil
			}
			event.WriteString(line)
		}
		text := event.String()
		version := text[strings.LastIndex(text, " ")+1 : len(text)-2]
		if want := a.work.event(received.lastEvent+1, version); text != want {
			a.violation = fmt.Sprintf("ORDER: event %q where %q is due", text, want)
			return errors.New("wrong event")
		}
		if received.lastEvent == 0 {
			received.began, received.version = a.id, version
		}
		if version != received.version {
			a.violation = fmt.Sprintf("ORDER: event %q of a stream that %s began at %s", text, received.began, received.version)
			return errors.New("event of another version")
		}
		received.lastEvent++
		a.events++
	}
}
