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
	// CallerID spreads callers over daemons: a stable name of this caller, drawn by
	// chance if empty.
	CallerID string
	// MaxAttempts bounds the daemons asked for one request.
	MaxAttempts int
	// StreamIdleTimeout is how long a stream may stay without any byte.
	StreamIdleTimeout time.Duration
}

// Defaults of Settings.
const (
	defaultAddress           = "127.0.0.1:7100"
	defaultMaxAttempts       = 8
	defaultStreamIdleTimeout = 1500 * time.Millisecond
	dialTimeout              = time.Second
	callTimeout              = 5 * time.Second
	directoryTimeout         = time.Second // of one daemon's directory
	backoffStep              = 100 * time.Millisecond
)

// Client calls daemons. It is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client

	mu               sync.Mutex
	directory        []string
	directoryExpires time.Time
	avoidUntil       map[string]time.Time // address to when it may be used again
}

// New returns a client. Without addresses it asks a daemon on this VM.
func New(s Settings) *Client {
	if len(s.Addresses) == 0 {
		s.Addresses = []string{defaultAddress}
	}
	if s.MaxAttempts == 0 {
		s.MaxAttempts = defaultMaxAttempts
	}
	if s.CallerID == "" {
		s.CallerID = fmt.Sprintf("%016x", rand.Uint64())
	}
	if s.StreamIdleTimeout == 0 {
		s.StreamIdleTimeout = defaultStreamIdleTimeout
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: 64}
	return &Client{settings: s, avoidUntil: make(map[string]time.Time), http: &http.Client{Transport: transport}}
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Addresses returns the daemons to use, asking the directory once the last
// answer has expired. It falls back to what it knew.
func (c *Client) Addresses(ctx context.Context) []string {
	c.mu.Lock()
	directory, fresh := c.directory, time.Now().Before(c.directoryExpires)
	c.mu.Unlock()
	if fresh {
		return directory
	}
	for _, a := range c.sortAvoidedLast(append(append([]string(nil), directory...), c.settings.Addresses...)) {
		if addresses, ttl, err := c.queryDirectory(ctx, a); err == nil && len(addresses) > 0 {
			c.mu.Lock()
			c.directory, c.directoryExpires = addresses, time.Now().Add(ttl)
			c.mu.Unlock()
			return addresses
		}
	}
	if len(directory) > 0 {
		return directory
	}
	return c.settings.Addresses
}

// avoidDuration is how long a daemon that was lost or refused is asked last.
const avoidDuration = 2 * time.Second

// avoid makes next prefer other daemons for a while.
func (c *Client) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for a, until := range c.avoidUntil {
		if now.After(until) {
			delete(c.avoidUntil, a)
		}
	}
	c.avoidUntil[address] = now.Add(avoidDuration)
}

// nextDaemon returns the daemon to ask now.
func (c *Client) nextDaemon(ctx context.Context) string {
	return c.sortAvoidedLast(c.Addresses(ctx))[0]
}

// sortAvoidedLast puts daemons that are avoided last, those avoided the longest first.
func (c *Client) sortAvoidedLast(addresses []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	until := func(a string) time.Time {
		if t := c.avoidUntil[a]; t.After(now) {
			return t
		}
		return time.Time{}
	}
	sorted := append([]string(nil), addresses...)
	sort.SliceStable(sorted, func(i, j int) bool { return until(sorted[i]).Before(until(sorted[j])) })
	return sorted
}

type directoryAnswer struct {
	Addresses []string `json:"addresses"`
	TTLMillis int64    `json:"ttl_ms"`
}

func (c *Client) queryDirectory(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	q := url.Values{"place": {c.settings.Place}, "key": {c.settings.CallerID}}
	var a directoryAnswer
	if err := c.Call(ctx, address, http.MethodGet, "/v1/directory?"+q.Encode(), nil, &a); err != nil {
		return nil, 0, err
	}
	return a.Addresses, time.Duration(a.TTLMillis) * time.Millisecond, nil
}

// Call makes one short JSON call to one daemon. A typed refusal is returned as
// *failure.Error; any other error leaves the outcome unknown.
func (c *Client) Call(ctx context.Context, address, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
		e := responseError(resp, address)
		c.redirect(e, address)
		return nil, e
	}
	return resp, nil
}

// redirect takes the addresses that a stopping or starting daemon names in
// place of the directory answer that led there.
func (c *Client) redirect(e *failure.Error, address string) {
	if e.Code != failure.Draining && e.Code != failure.Starting && e.Code != failure.Isolated {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := e.Addresses
	if len(addresses) == 0 {
		addresses = c.directory
	}
	c.directory = slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == address })
	c.directoryExpires = time.Time{} // ask the directory again, there first
}

// CallAny makes one JSON call that may be repeated at the configured daemons in
// turn until one answers; each gets at most timeout. A typed refusal is final,
// unless the daemon takes no work or does not reach the platform.
func (c *Client) CallAny(ctx context.Context, timeout time.Duration, method, path string, in, out any) error {
	var lastErr error
	for _, a := range c.settings.Addresses {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		lastErr = c.exchange(callCtx, a, method, path, in, out)
		cancel()
		if lastErr == nil || isFinalError(lastErr) && !isPlatformUnavailable(lastErr) || ctx.Err() != nil {
			return lastErr
		}
	}
	return lastErr
}

func isPlatformUnavailable(err error) bool {
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

func responseError(resp *http.Response, address string) *failure.Error {
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
