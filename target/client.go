package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/internal/brokenconn"
)

// Limits of a target client.
const (
	dialTimeout   = time.Second
	answerTimeout = 2 * time.Second // of a call other than Generate, Attach and Call
	maxHeadBytes  = 16 << 10        // of an answer's status and headers
	maxLineBytes  = 64 << 10        // of a stream event
	maxReplyBytes = 1 << 20         // of the body of a Reply
	maxBodyBytes  = 4 << 20         // of any other answer
)

// Client is the HTTP client of one target. It implements Engine and PlainService.
type Client struct {
	base string
	http *http.Client
	dial dialFunc
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

var (
	_ Engine       = (*Client)(nil)
	_ PlainService = (*Client)(nil)
)

// NewClient returns a client of the target at address, an IP:port.
func NewClient(address string) *Client {
	return newClient(address, (&net.Dialer{Timeout: dialTimeout}).DialContext)
}

func newClient(address string, dial dialFunc) *Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return brokenconn.New(conn), nil
		},
		MaxIdleConnsPerHost:    16,
		IdleConnTimeout:        10 * time.Second,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport}, dial: dial}
}

// Close releases idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Generate implements Engine.
func (c *Client) Generate(ctx context.Context, req GenerateRequest) (Stream, error) {
	body, err := generateBody(req)
	if err != nil {
		return nil, err
	}
	return c.stream(ctx, http.MethodPost, "/generate", body)
}

// generateBody returns the body of a request that starts an attempt.
func generateBody(req GenerateRequest) (*requestBody, error) {
	return newRequestBody(struct {
		GenerateRequest
		Prompt *struct{} `json:"prompt,omitempty"` // replaced by text fields
		Forced *struct{} `json:"forced,omitempty"`
	}{GenerateRequest: req}, textField{name: "prompt", texts: []string{req.Prompt}}, textField{name: "forced", texts: req.Forced, array: true})
}

// Attach implements Engine.
func (c *Client) Attach(ctx context.Context, id StreamID, from int64) (Stream, error) {
	return c.stream(ctx, http.MethodGet, fmt.Sprintf("%s?from=%d", streamPath(id), from), nil)
}

func streamPath(id StreamID) string {
	return fmt.Sprintf("/streams/%s/%d", url.PathEscape(id.Request), id.Attempt)
}

func (c *Client) stream(ctx context.Context, method, path string, body *requestBody) (Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	resp, err := c.sendBody(ctx, method, path, body)
	if err != nil {
		cancel()
		return nil, err
	}
	if err := statusError(resp); err != nil {
		cancel()
		_ = resp.Body.Close()
		return nil, err
	}
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(make([]byte, 0, 4096), maxLineBytes)
	return &stream{body: resp.Body, scanner: sc, cancel: cancel}, nil
}

// sendBody is send with a body that may be nil.
func (c *Client) sendBody(ctx context.Context, method, path string, body *requestBody) (*http.Response, error) {
	if body == nil {
		return c.send(ctx, method, path, nil, 0)
	}
	return c.send(ctx, method, path, body, body.length)
}

// send sends one request with a body of the given length. An error is ErrNotSent if the target can't
// have received the request, and ErrLost once a connection was obtained for it.
func (c *Client) send(ctx context.Context, method, path string, body io.Reader, length int64) (*http.Response, error) {
	var gotConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	var content io.Reader
	if body != nil {
		// For a reader of this type net/http sets no GetBody, so it can't resend the
		// request on another connection.
		content = struct{ io.Reader }{body}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, content)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.ContentLength = length
	resp, err := c.http.Do(req)
	if err != nil && gotConn.Load() {
		return nil, errors.Wrap(ErrLost, err.Error())
	}
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		_ = resp.Body.Close()
		return nil, errors.Wrapf(ErrLost, "status %d", resp.StatusCode)
	}
	return resp, nil
}

// maxStatus is the largest status of an answer in HTTP.
const maxStatus = 599

func statusError(resp *http.Response) error {
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return nil
	case resp.StatusCode == http.StatusNotFound:
		return errors.WithStack(ErrNoStream)
	case resp.StatusCode == http.StatusPreconditionFailed:
		return errors.WithStack(ErrFenced)
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return errors.Wrapf(ErrRefused, "status %d", resp.StatusCode)
	default:
		return errors.Wrapf(ErrLost, "status %d", resp.StatusCode)
	}
}

type stream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
	cancel  context.CancelFunc
}

// Next implements Stream.
func (s *stream) Next() (StreamEvent, error) {
	if !s.scanner.Scan() {
		if err := s.scanner.Err(); err != nil {
			return StreamEvent{}, errors.Wrap(ErrLost, err.Error())
		}
		return StreamEvent{}, errors.Wrap(ErrLost, "stream ended early")
	}
	var e StreamEvent
	if err := json.Unmarshal(s.scanner.Bytes(), &e); err != nil {
		return StreamEvent{}, errors.Wrap(ErrLost, "bad stream event: "+err.Error())
	}
	return e, nil
}

// Close implements Stream.
func (s *stream) Close() error {
	s.cancel()
	return s.body.Close()
}

// Cancel implements Engine.
func (c *Client) Cancel(ctx context.Context, id StreamID) error {
	return c.roundTrip(ctx, http.MethodDelete, streamPath(id), nil, nil)
}

// Probe implements Engine. It always opens a new connection, because an existing one can
// stay silent forever while new ones work.
func (c *Client) Probe(ctx context.Context) (uint64, error) {
	probeClient := &Client{base: c.base, http: &http.Client{Transport: &http.Transport{
		DialContext: c.dial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeadBytes,
	}}}
	var l Load
	err := probeClient.roundTrip(ctx, http.MethodGet, "/health", nil, &l)
	return l.Incarnation, err
}

// Load implements Engine and PlainService.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var l Load
	err := c.roundTrip(ctx, http.MethodGet, "/load", nil, &l)
	return l, err
}

// CacheEvents implements Engine.
func (c *Client) CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error) {
	var out []CacheEvent
	err := c.roundTrip(ctx, http.MethodGet, fmt.Sprintf("/cache-events?after=%d", after), nil, &out)
	return out, err
}

// Order implements Engine.
func (c *Client) Order(ctx context.Context, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.WithStack(err)
	}
	return c.roundTrip(ctx, http.MethodPost, "/orders", body, nil)
}

// roundTrip makes one call that must complete within answerTimeout. body may be nil; out
// receives the decoded answer unless it is nil.
func (c *Client) roundTrip(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	return c.sendAndDecode(ctx, method, path, body, out)
}

func (c *Client) sendAndDecode(ctx context.Context, method, path string, body []byte, out any) error {
	var content io.Reader
	if body != nil {
		content = bytes.NewReader(body)
	}
	resp, err := c.send(ctx, method, path, content, int64(len(body)))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(resp); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(out); err != nil {
		return errors.Wrap(ErrLost, err.Error())
	}
	return nil
}

// callBody returns the body of a call.
func callBody(call Call) (*requestBody, error) {
	return newRequestBody(struct {
		Call
		Body *struct{} `json:"body,omitempty"` // replaced by a text field
	}{Call: call}, textField{name: "body", texts: []string{call.Body}})
}

// Call implements PlainService. Only ctx limits how long it waits.
func (c *Client) Call(ctx context.Context, call Call) (Reply, error) {
	body, err := callBody(call)
	if err != nil {
		return Reply{}, errors.Wrap(ErrNotSent, err.Error())
	}
	resp, err := c.sendBody(ctx, http.MethodPost, "/call", body)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return Reply{}, errors.Wrap(ErrLost, err.Error())
	}
	if len(b) > maxReplyBytes {
		return Reply{}, errors.Wrapf(ErrLost, "a reply of more than %d bytes", maxReplyBytes)
	}
	return Reply{Status: resp.StatusCode, Body: string(b)}, nil
}
