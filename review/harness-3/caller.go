package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// caller sends requests to one daemon on kept channels.
type caller struct {
	site   *site
	daemon *daemon
	http   *http.Client
}

func newCaller(s *site, d *daemon) *caller {
	return &caller{s, d, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

var (
	idMu sync.Mutex
	ids  int
)

// newID returns the id of a client attempt.
func newID() string {
	idMu.Lock()
	defer idMu.Unlock()
	ids++
	return fmt.Sprintf("%08x%04d", rand.Uint32(), ids)
}

// outcome is what a caller saw of a client attempt.
type outcome struct {
	id, path string
	daemon   string
	sent     time.Time
	status   int // 0 if the channel ended without an answer
	body     string
	lastID   int // of a stream
	complete bool
	took     time.Duration
	err      error
}

// send sends one client attempt and reads its answer.
func (c *caller) send(method, path string, limit time.Duration, header map[string]string, body string) (o outcome) {
	defer func() { o.took = time.Since(o.sent) }()
	o = outcome{id: newID(), path: path, daemon: c.daemon.id, sent: time.Now(), lastID: -1}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.daemon.callers+path, strings.NewReader(body))
	if err != nil {
		fail(err)
	}
	req.Host = host
	req.Header.Set("Vanillaroad-Request-Id", o.id)
	req.Header.Set("Vanillaroad-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o.status = resp.StatusCode
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		b, err := io.ReadAll(resp.Body)
		o.body, o.err, o.complete = string(b), err, err == nil
		return o
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			o.lastID, _ = strconv.Atoi(id)
		}
	}
	o.err = lines.Err()
	o.complete = o.err == nil
	return o
}

func (o outcome) String() string {
	text := fmt.Sprintf("%s by %s, %s, took %v: status %d, complete %t", o.id, o.daemon, o.path, o.took.Round(time.Millisecond), o.status, o.complete)
	if o.lastID >= 0 {
		text += fmt.Sprintf(", last event %d", o.lastID)
	}
	if o.err != nil {
		text += ", " + o.err.Error()
	} else if o.status != http.StatusOK {
		text += ", " + strings.TrimSpace(o.body)
	}
	return text
}
