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

// GenerateRequest is one generation. ID must be unique to the request. DeadlineMs is
// the longest wait for the first token, in milliseconds; 0 means the default of the
// workspace. Held holds the tokens that the caller has already received.
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

// Token is one accepted token. Positions start at 0.
type Token struct {
	Position   int64
	Text       string
	ReceivedAt time.Time
}

// Answer is the result of a generation.
type Answer struct {
	Tokens []string
	// Moves is the number of attempts after the first one.
	Moves int
}

// streamEnd is the result of the stream from one daemon: done if the answer is
// complete, otherwise err.
type streamEnd struct {
	done bool
	err  error
}

// Generate streams a generation. When the stream from a daemon fails, it resumes
// at another daemon after the tokens received so far. onToken is called for every
// position once and in order. On error the answer holds the tokens received so far.
func (c *Client) Generate(ctx context.Context, r GenerateRequest, onToken func(Token)) (Answer, error) {
	s := &session{client: c, request: r, onToken: onToken}
	var lastErr error
	moves := -1
	// i is the number of previous attempts. An attempt that received a token restarts
	// the count at one.
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

// isFinalError reports whether err is a typed error after which no other daemon is
// tried.
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

// session is a generation across the daemons that serve it in turn.
type session struct {
	client      *Client
	request     GenerateRequest
	lastEventID string
	onToken     func(Token)
}

// readStream reads the stream of one daemon until the answer ends, the connection
// is lost or StreamIdleTimeout passes without a line.
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

// addLine parses one line and reports whether the event is complete.
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

// eventData is the data of an event: position and text of a token, or the error of
// an incomplete answer.
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

// handleEvent applies one event. If the event ends the stream, it returns the result
// of the stream and true.
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
			return streamEnd{err: errors.Errorf("received position %d from %s, expected position %d", d.Position, address, held)}, true
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
