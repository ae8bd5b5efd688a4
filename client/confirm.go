package client

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/failure"
)

// ConfirmRequest is one non-idempotent call. The key comes from IssueKey.
type ConfirmRequest struct {
	Key        string            `json:"key"`
	Workspace  string            `json:"workspace"`
	Service    string            `json:"service"`
	Body       string            `json:"body"`
	DeadlineMs int64             `json:"deadline_ms,omitempty"`
	Labels     map[string]string `json:"labels,omitempty"`
}

// Outcome is what is known of a key.
type Outcome struct {
	Key        string          `json:"key"`
	Outcome    failure.Outcome `json:"outcome"`
	Status     int             `json:"status"`
	Answer     string          `json:"answer"`
	RetryAfter int64           `json:"retry_after_ms"`
}

// IssueKey asks a daemon for a fresh idempotency key.
func (c *Client) IssueKey(ctx context.Context) (string, error) {
	var out struct {
		Key string `json:"key"`
	}
	err := c.anywhere(ctx, func(address string) error {
		return c.Ask(ctx, address, http.MethodPost, "/v1/confirmation-keys", nil, &out)
	})
	return out.Key, err
}

// Confirm runs a call at most once. It asks again with the same key, at other
// daemons too, until there is an outcome or ctx ends.
func (c *Client) Confirm(ctx context.Context, r ConfirmRequest) (Outcome, error) {
	var out Outcome
	err := c.anywhere(ctx, func(address string) error {
		return c.exchange(ctx, address, http.MethodPost, "/v1/confirmations", r, &out)
	})
	return out, err
}

// anywhere tries daemons in turn until one gives a final answer.
func (c *Client) anywhere(ctx context.Context, ask func(address string) error) error {
	var last error
	for i := 0; i < c.settings.Attempts && ctx.Err() == nil; i++ {
		addresses := c.Addresses(ctx)
		last = ask(addresses[i%len(addresses)])
		if last == nil || final(last) {
			return last
		}
		if i >= len(addresses)-1 {
			pause(ctx, time.Duration(i)*pauseStep)
		}
	}
	if last == nil {
		last = errors.WithStack(ctx.Err())
	}
	return last
}
