package client

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/pause"
)

// GenerateRequest is one generation. ID must be unique to the request.
type GenerateRequest struct {
	ID         string            `json:"id"`
	Workspace  string            `json:"workspace"`
	Service    string            `json:"service"`
	Prompt     string            `json:"prompt"`
	MaxTokens  int64             `json:"max_tokens"`
	Seed       int64             `json:"seed"`
	Priority   string            `json:"priority,omitempty"`
	DeadlineMs int64             `json:"deadline_ms,omitempty"`
	Labels     map[string]string `json:"labels,omitempty"`
	Held       []string          `json:"held,omitempty"`
}

// Token is one accepted token and when it arrived.
type Token struct {
	Position   int64
	Text       string
	ReceivedAt time.Time
}

// Answer is the end of a generation.
type Answer struct {
	Tokens []string
	// Moves is how often the answer went on at another daemon.
	Moves int
}

// streamEnd tells how one daemon's stream ended.
type streamEnd struct {
	done bool
	err  error
}

// Generate streams a generation through whichever daemons live, resuming from
// the tokens it holds. onToken sees every position once and in order. On error
// the tokens received so far are returned with it.
func (c *Client) Generate(ctx context.Context, r GenerateRequest, onToken func(Token)) (Answer, error) {
	s := &session{client: c, request: r, onToken: onToken}
	var lastErr error
	moves := -1
	// Attempts bounds the daemons asked since the last one that brought a token.
	for i := 0; i < c.settings.MaxAttempts && ctx.Err() == nil; i++ {
		moves++
		held := len(s.request.Held)
		address := c.nextDaemon(ctx)
		end := s.readStream(ctx, address)
		if end.done || isFinalError(end.err) {
			return Answer{Tokens: s.request.Held, Moves: moves}, end.err
		}
		lastErr = end.err
		c.avoid(address)
		if len(s.request.Held) > held {
			i = 0
		}
		pause.For(ctx, time.Duration(i)*backoffStep)
	}
	if ctx.Err() != nil {
		lastErr = ctx.Err()
	}
	return Answer{Tokens: s.request.Held, Moves: max(moves, 0)}, lastErr
}

// isFinalError tells whether asking another daemon is no use.
func isFinalError(err error) bool {
	var f *failure.Error
	if !errors.As(err, &f) {
		return false
	}
	switch f.Code {
	case failure.Draining, failure.Starting, failure.Isolated, failure.UnknownOutcome, failure.Internal, failure.Canceled:
		return false
	}
	return true
}

type session struct {
	client      *Client
	request     GenerateRequest
	lastEventID string
	onToken     func(Token)
}

// readStream reads one daemon's stream to its end, its loss or its silence.
func (s *session) readStream(ctx context.Context, address string) streamEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(s.client.settings.StreamIdleTimeout, cancel)
	defer watchdog.Stop()
	header := http.Header{}
	if s.lastEventID != "" {
		header.Set("Last-Event-ID", s.lastEventID)
	}
	resp, err := s.client.send(ctx, address, http.MethodPost, "/v1/generations", s.request, header)
	if err != nil {
		return streamEnd{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	var e serverEvent
	for lines.Scan() {
		watchdog.Reset(s.client.settings.StreamIdleTimeout)
		if !e.addLine(lines.Text()) {
			continue
		}
		if end, ended := s.handleEvent(e, address); ended {
			return end
		}
		e = serverEvent{}
	}
	return streamEnd{err: failure.New(failure.UnknownOutcome, failure.Unknown, "read stream", address, "stream lost")}
}

// serverEvent collects the fields of one server-sent event.
type serverEvent struct{ id, kind, data string }

// addLine takes one line and tells whether the event is complete.
func (e *serverEvent) addLine(text string) bool {
	name, value, _ := strings.Cut(text, ":")
	value = strings.TrimPrefix(value, " ")
	switch name {
	case "id":
		e.id = value
	case "event":
		e.kind = value
	case "data":
		e.data = value
	case "":
		return text == "" && e.kind != ""
	}
	return false
}

type eventData struct {
	Position   int64  `json:"position"`
	Text       string `json:"text"`
	Code       string `json:"code"`
	Message    string `json:"message"`
	Outcome    string `json:"outcome"`
	RetryAfter int64  `json:"retry_after_ms"`
	Step       string `json:"step"`
	Peer       string `json:"peer"`
}

func (s *session) handleEvent(e serverEvent, address string) (streamEnd, bool) {
	var d eventData
	if err := json.Unmarshal([]byte(e.data), &d); err != nil {
		return streamEnd{err: errors.Wrap(err, "decode event from "+address)}, true
	}
	held := int64(len(s.request.Held))
	switch e.kind {
	case "token":
		if d.Position < held {
			return streamEnd{}, false
		}
		if d.Position > held {
			return streamEnd{err: errors.Errorf("position %d from %s where %d was next", d.Position, address, held)}, true
		}
		s.request.Held = append(s.request.Held, d.Text)
		s.lastEventID = e.id
		s.onToken(Token{Position: d.Position, Text: d.Text, ReceivedAt: time.Now()})
	case "done":
		return streamEnd{done: true}, true
	case "incomplete":
		f := failure.New(failure.Code(d.Code), failure.Outcome(d.Outcome), d.Step, d.Peer, "answer incomplete: %s", d.Message)
		return streamEnd{err: f.WithRetryAfter(time.Duration(d.RetryAfter) * time.Millisecond)}, true
	}
	return streamEnd{}, false
}
