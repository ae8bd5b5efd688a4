// Package client is the Go library for callers. It queries the directory for the
// daemons to use, resumes a generation at another daemon when the connection to
// one is lost, and retries a confirmation with the same key until its outcome is
// final.
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

// Settings configure a client. The zero value of a field means its default.
type Settings struct {
	// Addresses are the daemons, IP:port, that are queried for the directory and
	// called by CallAny. The default is the daemon on this VM, 127.0.0.1:7100.
	Addresses []string
	// Place is the caller's place. The directory prefers daemons in it.
	Place string
	// CallerID is a stable name of this caller, by which the directory spreads
	// callers over daemons. The default is random.
	CallerID string
	// MaxAttempts limits the attempts of Generate and IssueKey; each attempt uses
	// one daemon. In Generate an attempt that receives a token restarts the count at
	// one. The default is 8.
	MaxAttempts int
	// StreamIdleTimeout is the longest time that a stream may stay open without
	// receiving a line; keep-alive comments count. The default is 1.5 s.
	StreamIdleTimeout time.Duration
}

// Defaults of Settings, and timeouts.
const (
	defaultAddress           = "127.0.0.1:7100"
	defaultMaxAttempts       = 8
	defaultStreamIdleTimeout = 1500 * time.Millisecond
	dialTimeout              = time.Second
	callTimeout              = 5 * time.Second
	directoryTimeout         = time.Second            // of a directory query to one daemon
	backoffStep              = 100 * time.Millisecond // added to the backoff with each attempt
)

// Client calls daemons. It is safe for concurrent use.
type Client struct {
	settings Settings
	http     *http.Client

	mu               sync.Mutex
	directory        []string
	directoryExpires time.Time
	avoidUntil       map[string]time.Time // by address; until then the daemon is tried after all others
}

// New returns a client. Without addresses it uses the daemon on this VM.
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

// Addresses returns the daemons to use, IP:port. It queries the directory when the
// cached answer has expired. If no daemon answers, it returns the expired answer,
// or the addresses of the settings if there is none.
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

// avoidDuration is the time after a failed attempt at a daemon during which it is
// tried only after all others.
const avoidDuration = 2 * time.Second

// avoid makes nextDaemon prefer other daemons for avoidDuration.
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

// nextDaemon returns the address of the daemon for the next attempt.
func (c *Client) nextDaemon(ctx context.Context) string {
	return c.sortAvoidedLast(c.Addresses(ctx))[0]
}

// sortAvoidedLast returns addresses with the avoided daemons last. Among these, the
// daemon that is avoided for the shortest further time comes first.
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

// directoryAnswer is the JSON body of a directory answer.
type directoryAnswer struct {
	Addresses []string `json:"addresses"`
	TTLMillis int64    `json:"ttl_ms"`
}

// queryDirectory returns the directory answer of one daemon and the time for which it
// is valid.
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

// Call makes one JSON call to one daemon, with a timeout of 5 s. An error response
// is returned as *failure.Error; after any other error it is unknown whether the
// call ran.
func (c *Client) Call(ctx context.Context, address, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.exchange(ctx, address, method, path, in, out)
}

// exchange makes one JSON call to one daemon, limited only by ctx.
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

// send makes one HTTP request to one daemon. It returns a status of 300 or above as
// *failure.Error. The caller closes the body of the response.
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

// redirect replaces the cached directory answer after an error from a daemon that
// is draining, starting or isolated. The new answer holds the addresses in the error,
// or the cached ones if the error has none. The daemon itself is removed from them.
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
	c.directoryExpires = time.Time{} // query the directory again, at these addresses first
}

// CallAny makes one JSON call at the daemons of the settings in turn until one
// answers, with a timeout for each. The call may be sent several times, so it must
// be idempotent. CallAny returns a typed error without trying another daemon, unless
// the error means that the daemon is draining, starting or isolated, that it can't
// reach the platform, or that the call had an internal error, was canceled or has an
// unknown outcome.
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

// wireFailure is the JSON body of an error response.
type wireFailure struct {
	Code       string   `json:"code"`
	Message    string   `json:"message"`
	Outcome    string   `json:"outcome"`
	RetryAfter int64    `json:"retry_after_ms"`
	Step       string   `json:"step"`
	Peer       string   `json:"peer"`
	Addresses  []string `json:"addresses"`
}

// responseError converts an error response of the daemon at address. If the body holds
// no typed error, status 400 becomes BadRequest and any other status UnknownOutcome.
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
