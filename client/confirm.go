package client

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/pause"
)

// ConfirmRequest is a non-idempotent call of a service. Key is an idempotency key
// from IssueKey. DeadlineMs is the longest time, in milliseconds, that a daemon waits
// for the outcome of the call; 0 means the daemon's default.
type ConfirmRequest struct {
	Key        string            `json:"key"`
	Workspace  string            `json:"workspace"`
	Service    string            `json:"service"`
	Body       string            `json:"body"`
	DeadlineMs int64             `json:"deadline_ms,omitempty"`
	Labels     map[string]string `json:"labels,omitempty"`
}

// Outcome is what is known about the call of an idempotency key. Status and Answer are
// the HTTP status and the body of the service's answer. An unknown outcome with a
// RetryAfter, in milliseconds, may still become known: retry with the same key.
// Without RetryAfter an unknown outcome is final: no daemon can find out whether
// the call ran, so check with the service that was called.
type Outcome struct {
	Key        string          `json:"key"`
	Outcome    failure.Outcome `json:"outcome"`
	Status     int             `json:"status"`
	Answer     string          `json:"answer"`
	RetryAfter int64           `json:"retry_after_ms"`
}

// isFinal reports whether the outcome can't change any more.
func (o Outcome) isFinal() bool { return o.Outcome != failure.Unknown || o.RetryAfter == 0 }

// maxConfirmBackoff limits the backoff between two requests for one key.
const maxConfirmBackoff = 500 * time.Millisecond

// IssueKey requests a new idempotency key from a daemon.
func (c *Client) IssueKey(ctx context.Context) (string, error) {
	var out struct {
		Key string `json:"key"`
	}
	err := c.tryDaemons(ctx, func(address string) error {
		return c.Call(ctx, address, http.MethodPost, "/v1/confirmation-keys", nil, &out)
	})
	return out.Key, err
}

// Confirm runs a call at most once. It retries with the same key, also at other
// daemons, until the outcome is final or ctx ends; it never uses a second key. If
// the outcome is still unknown when ctx ends, Confirm returns the error of the last
// attempt, or nil if that attempt did not fail. A call that is refused with the
// outcome not_run did not run and will never run under this key.
func (c *Client) Confirm(ctx context.Context, r ConfirmRequest) (Outcome, error) {
	return c.pollOutcome(ctx, r.Key, func(ctx context.Context, address string, out *Outcome) error {
		return c.exchange(ctx, address, http.MethodPost, "/v1/confirmations", r, out)
	})
}

// Outcome looks up the outcome of a key until it is final or ctx ends. It never
// runs a call.
func (c *Client) Outcome(ctx context.Context, key string) (Outcome, error) {
	return c.pollOutcome(ctx, key, func(ctx context.Context, address string, out *Outcome) error {
		return c.exchange(ctx, address, http.MethodGet, "/v1/confirmations/"+url.PathEscape(key), nil, out)
	})
}

// pollOutcome calls poll for one daemon after another until the outcome is final,
// a daemon returns a final refusal, or ctx ends.
func (c *Client) pollOutcome(ctx context.Context, key string, poll func(context.Context, string, *Outcome) error) (Outcome, error) {
	latest := Outcome{Key: key, Outcome: failure.Unknown, RetryAfter: maxConfirmBackoff.Milliseconds()}
	var err error
	for i := 0; ctx.Err() == nil; i++ {
		addresses := c.Addresses(ctx)
		if len(addresses) == 0 {
			return latest, errors.New("no daemon address is known")
		}
		var out Outcome
		err = c.pollOnce(ctx, addresses[i%len(addresses)], &out, poll)
		switch {
		case err == nil && out.isFinal():
			return out, nil
		case err == nil:
			latest = out
		case isFinalRefusal(err):
			return Outcome{Key: key, Outcome: failure.From(err).Outcome}, err
		}
		if err == nil || i >= len(addresses)-1 {
			pause.For(ctx, min(time.Duration(i+1)*backoffStep, maxConfirmBackoff))
		}
	}
	if err == nil {
		return latest, nil
	}
	return latest, err
}

// pollOnce calls poll for one daemon. The timeout of 10 s is the daemon's default
// deadline of 5 s and a margin.
func (c *Client) pollOnce(ctx context.Context, address string, out *Outcome, poll func(context.Context, string, *Outcome) error) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	return poll(ctx, address, out)
}

// isFinalRefusal reports whether err is a refusal that a retry can't change.
func isFinalRefusal(err error) bool {
	var f *failure.Error
	if !errors.As(err, &f) {
		return false
	}
	switch f.Code {
	case failure.BadRequest, failure.Conflict:
		return f.RetryAfter == 0
	case failure.NotFound:
		return true
	}
	return f.Outcome == failure.NotRun && f.RetryAfter == 0
}

// tryDaemons calls daemons in turn until one succeeds or returns a final error, at
// most MaxAttempts times.
func (c *Client) tryDaemons(ctx context.Context, call func(address string) error) error {
	var lastErr error
	for i := 0; i < c.settings.MaxAttempts && ctx.Err() == nil; i++ {
		addresses := c.Addresses(ctx)
		lastErr = call(addresses[i%len(addresses)])
		if lastErr == nil || isFinalError(lastErr) {
			return lastErr
		}
		if i >= len(addresses)-1 {
			pause.For(ctx, time.Duration(i)*backoffStep)
		}
	}
	if lastErr == nil {
		lastErr = errors.WithStack(ctx.Err())
	}
	return lastErr
}
