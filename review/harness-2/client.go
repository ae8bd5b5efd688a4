package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// result is what a client saw of one request.
type result struct {
	id, daemon, kind string
	sentAt, endedAt  time.Time
	status           int // 0 without an answer
	stamp            string
	leaving          bool
	retryAfter       string
	body             string
	err              error
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1000+lastID.Add(1)) }

// send sends one request to a daemon, on a channel of a client that keeps channels open.
func (s *site) send(c *http.Client, d *daemon, method, path, kind, body string, limit time.Duration) result {
	id := newID()
	r := result{id: id, daemon: d.id, kind: kind, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		panic(err)
	}
	req.Host = "booking.example"
	req.GetBody = nil
	req.Header.Set("Vanillaroad-Request-Id", id)
	req.Header.Set("Vanillaroad-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	req.Header.Set("Authorization", "Bearer key-1")
	resp, err := c.Do(req)
	if err == nil {
		r.status, r.stamp, r.leaving, r.retryAfter = resp.StatusCode, resp.Header.Get("Vanillaroad-Upstream-Stamp"), resp.Header.Get("Server-Leaving") != "", resp.Header.Get("Retry-After")
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.body = string(b)
	}
	r.err, r.endedAt = err, time.Now()
	s.record("client: request %s (%s) to %s sent at %.3f, answer %d, stamp %q, leaving %v, error %v", id, kind, d.id, r.sentAt.Sub(s.began).Seconds(), r.status, r.stamp, r.leaving, err)
	return r
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 3 * time.Second}}
}

// load sends requests at a steady rate to each daemon until stop is closed, and returns the results.
type load struct {
	mu      sync.Mutex
	results []result
	wg      sync.WaitGroup
}

func (l *load) add(r result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, r)
}

// run sends perSecond requests a second to a daemon, two idempotent ones for each that isn't.
func (l *load) run(s *site, d *daemon, perSecond int, stop <-chan struct{}) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		c, n := newClient(), 0
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			n++
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				if n%3 == 0 {
					l.add(s.send(c, d, http.MethodPost, "/lease/"+strconv.Itoa(n), "non_idempotent", "lease", 2500*time.Millisecond))
				} else {
					l.add(s.send(c, d, http.MethodGet, "/spot/"+strconv.Itoa(n), "idempotent", "", 2500*time.Millisecond))
				}
			}()
		}
	}()
}
