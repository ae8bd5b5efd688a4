// Package client is the Go library for callers: it asks the directory which
// daemons to use, resumes generations at another daemon when one is lost, and
// asks again for the outcome of a confirmation with the same key.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/failure"
)

// Settings shape a client. The zero value of a field means its default.
type Settings struct {
	// Addresses are the daemons to ask first, IP:port.
	Addresses []string
	// Place prefers daemons near the caller.
	Place string
	// Key spreads callers over daemons: a stable name of this caller, drawn by
	// chance if empty.
	Key string
	// Attempts bounds the daemons asked for one request.
	Attempts int
	// Silence is how long a stream may stay without any byte.
	Silence time.Duration
}

// Defaults of Settings.
const (
	defaultAddress  = "127.0.0.1:7100"
	defaultAttempts = 8
	defaultSilence  = 1500 * time.Millisecond
	dialTimeout     = time.Second
	askTimeout      = 5 * time.Second
	lookupTimeout   = time.Second // of one daemon's directory
	pauseStep       = 100 * time.Millisecond
)

// Client calls daemons. It is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client

	mu      sync.Mutex
	known   []string
	expires time.Time
	avoided map[string]time.Time // address to when it may be used again
}

// New returns a client. Without addresses it asks a daemon on this VM.
func New(s Settings) *Client {
	if len(s.Addresses) == 0 {
		s.Addresses = []string{defaultAddress}
	}
	if s.Attempts == 0 {
		s.Attempts = defaultAttempts
	}
	if s.Key == "" {
		s.Key = fmt.Sprintf("%016x", rand.Uint64())
	}
	if s.Silence == 0 {
		s.Silence = defaultSilence
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: 64}
	return &Client{settings: s, avoided: make(map[string]time.Time), http: &http.Client{Transport: transport}}
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Addresses returns the daemons to use, asking the directory once the last
// answer has expired. It falls back to what it knew.
func (c *Client) Addresses(ctx context.Context) []string {
	c.mu.Lock()
	known, fresh := c.known, time.Now().Before(c.expires)
	c.mu.Unlock()
	if fresh {
		return known
	}
	for _, a := range c.order(append(append([]string(nil), known...), c.settings.Addresses...)) {
		if got, ttl, err := c.lookup(ctx, a); err == nil && len(got) > 0 {
			c.mu.Lock()
			c.known, c.expires = got, time.Now().Add(ttl)
			c.mu.Unlock()
			return got
		}
	}
	if len(known) > 0 {
		return known
	}
	return c.settings.Addresses
}

// avoidFor is how long a daemon that was lost or refused is asked last.
const avoidFor = 2 * time.Second

// avoid makes next prefer other daemons for a while.
func (c *Client) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for a, until := range c.avoided {
		if now.After(until) {
			delete(c.avoided, a)
		}
	}
	c.avoided[address] = now.Add(avoidFor)
}

// next returns the daemon to ask now.
func (c *Client) next(ctx context.Context) string { return c.order(c.Addresses(ctx))[0] }

// order puts daemons that are avoided last, those avoided the longest first.
func (c *Client) order(addresses []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	until := func(a string) time.Time {
		if t := c.avoided[a]; t.After(now) {
			return t
		}
		return time.Time{}
	}
	out := append([]string(nil), addresses...)
	sort.SliceStable(out, func(i, j int) bool { return until(out[i]).Before(until(out[j])) })
	return out
}

type directoryAnswer struct {
	Addresses []string `json:"addresses"`
	TTLMillis int64    `json:"ttl_ms"`
}

func (c *Client) lookup(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	q := url.Values{"place": {c.settings.Place}, "key": {c.settings.Key}}
	var a directoryAnswer
	if err := c.Ask(ctx, address, http.MethodGet, "/v1/directory?"+q.Encode(), nil, &a); err != nil {
		return nil, 0, err
	}
	return a.Addresses, time.Duration(a.TTLMillis) * time.Millisecond, nil
}

// Ask makes one short JSON call to one daemon. A typed refusal is returned as
// *failure.Error; any other error leaves the outcome unknown.
func (c *Client) Ask(ctx context.Context, address, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return c.exchange(ctx, address, method, path, in, out)
}

func (c *Client) exchange(ctx context.Context, address, method, path string, in, out any) error {
	resp, err := c.send(ctx, address, method, path, in, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return failure.Wrap(err, failure.UnknownOutcome, failure.Unknown, "read answer", address)
	}
	if out == nil || len(b) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, out), "decode answer")
}

func (c *Client) send(ctx context.Context, address, method, path string, in any, header http.Header) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header[k] = v
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, failure.Wrap(err, failure.UnknownOutcome, failure.Unknown, "send", address)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		defer func() { _ = resp.Body.Close() }()
		e := refusal(resp, address)
		c.redirect(e, address)
		return nil, e
	}
	return resp, nil
}

// redirect takes the addresses that a stopping or starting daemon names in
// place of the directory answer that led there.
func (c *Client) redirect(e *failure.Error, from string) {
	if e.Code != failure.Draining && e.Code != failure.Starting && e.Code != failure.Isolated {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := e.Addresses
	if len(known) == 0 {
		known = c.known
	}
	c.known = slices.DeleteFunc(slices.Clone(known), func(a string) bool { return a == from })
	c.expires = time.Time{} // ask the directory again, there first
}

// AskAny makes one JSON call that may be repeated at the configured daemons in
// turn until one answers; each gets at most timeout. A typed refusal is final,
// unless the daemon takes no work or does not reach the platform.
func (c *Client) AskAny(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	var last error
	for _, a := range c.settings.Addresses {
		one, cancel := context.WithTimeout(ctx, timeout)
		last = c.exchange(one, a, method, path, in, out)
		cancel()
		if last == nil || final(last) && !platformDown(last) || ctx.Err() != nil {
			return last
		}
	}
	return last
}

func platformDown(err error) bool {
	var f *failure.Error
	return errors.As(err, &f) && f.Code == failure.PlatformUnavailable
}

type wireFailure struct {
	Code       string   `json:"code"`
	Message    string   `json:"message"`
	Outcome    string   `json:"outcome"`
	RetryAfter int64    `json:"retry_after_ms"`
	Step       string   `json:"step"`
	Peer       string   `json:"peer"`
	Addresses  []string `json:"addresses"`
}

func refusal(resp *http.Response, address string) *failure.Error {
	var w wireFailure
	err := json.NewDecoder(resp.Body).Decode(&w)
	if err != nil || w.Code == "" {
		if resp.StatusCode == http.StatusBadRequest {
			return failure.New(failure.BadRequest, failure.NotRun, "send", address, "bad request: %s", w.Message)
		}
		return failure.New(failure.UnknownOutcome, failure.Unknown, "send", address, "status %d", resp.StatusCode)
	}
	e := failure.New(failure.Code(w.Code), failure.Outcome(w.Outcome), w.Step, w.Peer, "%s", w.Message)
	e.RetryAfter, e.Addresses = time.Duration(w.RetryAfter)*time.Millisecond, w.Addresses
	if e.Peer == "" {
		e.Peer = address
	}
	return e
}
