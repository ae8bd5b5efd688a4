package load

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/client"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/target"
)

// caller sends single requests and waits for their results.
type caller interface {
	generate(ctx context.Context, req PlannedRequest, onToken func(time.Time)) (client.Answer, error)
	// confirm returns the idempotency key of the request, empty if none was issued.
	confirm(ctx context.Context, req PlannedRequest) (string, failure.Outcome, error)
	close()
}

// daemonCaller sends requests through the daemons. It acts as callerCount independent
// callers that send in turn.
type daemonCaller struct {
	site    Site
	clients []*client.Client
	next    atomic.Uint64
}

// callerCount is the number of callers of a daemonCaller. Each has its own connections
// and its own cached directory answer.
const callerCount = 16

func newDaemonCaller(s Site) *daemonCaller {
	c := &daemonCaller{site: s}
	for i := range callerCount {
		place := ""
		if len(s.Places) > 0 {
			place = s.Places[i%len(s.Places)]
		}
		first := i % len(s.Daemons)
		addresses := append(append([]string(nil), s.Daemons[first:]...), s.Daemons[:first]...)
		c.clients = append(c.clients, client.New(client.Settings{Addresses: addresses, Place: place, CallerID: "caller-" + strconv.Itoa(i)}))
	}
	return c
}

func (c *daemonCaller) client() *client.Client { return c.clients[c.next.Add(1)%callerCount] }

func (c *daemonCaller) generate(ctx context.Context, req PlannedRequest, onToken func(time.Time)) (client.Answer, error) {
	r := client.GenerateRequest{
		ID: req.ID, Workspace: req.Workspace, Service: c.site.GenerationService, Prompt: req.Prompt, MaxTokens: req.MaxTokens, Seed: 1,
	}
	return c.client().Generate(ctx, r, func(t client.Token) { onToken(t.ReceivedAt) })
}

func (c *daemonCaller) confirm(ctx context.Context, req PlannedRequest) (string, failure.Outcome, error) {
	cl := c.client()
	key, err := cl.IssueKey(ctx)
	if err != nil {
		return "", failure.NotRun, err
	}
	r := client.ConfirmRequest{Key: key, Workspace: req.Workspace, Service: c.site.PlainService, Body: req.Body}
	o, err := cl.Confirm(ctx, r)
	if err == nil {
		return key, o.Outcome, nil
	}
	var f *failure.Error
	if errors.As(err, &f) {
		return key, f.Outcome, err
	}
	return key, failure.Unknown, err
}

func (c *daemonCaller) close() {
	for _, cl := range c.clients {
		cl.Close()
	}
}

// directCaller sends requests straight to the targets in turn, as a baseline for
// comparison.
type directCaller struct {
	site     Site
	engines  []*target.Client
	bookings []*target.Client
	next     atomic.Uint64
}

func newDirectCaller(s Site) *directCaller {
	return &directCaller{site: s, engines: targetClients(s.Engines), bookings: targetClients(s.Bookings)}
}

func targetClients(addresses []string) []*target.Client {
	var out []*target.Client
	for _, a := range addresses {
		out = append(out, target.NewClient(a))
	}
	return out
}

func (c *directCaller) pick(clients []*target.Client) *target.Client {
	return clients[c.next.Add(1)%uint64(len(clients))]
}

func (c *directCaller) generate(ctx context.Context, req PlannedRequest, onToken func(time.Time)) (client.Answer, error) {
	var a client.Answer
	s, err := c.pick(c.engines).Generate(ctx, target.GenerateRequest{
		Stream: target.StreamID{Request: req.ID, Attempt: 1}, Model: c.site.Model, Version: c.site.ModelVersion,
		Prompt: req.Prompt, Seed: 1, MaxTokens: req.MaxTokens, Priority: target.Normal, Workspace: req.Workspace,
	})
	if err != nil {
		return a, err
	}
	defer func() { _ = s.Close() }()
	for {
		e, err := s.Next()
		switch {
		case err != nil:
			return a, err
		case e.Kind == target.TokenEvent:
			a.Tokens = append(a.Tokens, e.Text)
			onToken(time.Now())
		case e.Kind == target.DoneEvent:
			return a, nil
		case e.Kind == target.ErrorEvent:
			return a, errors.New(e.Message)
		}
	}
}

func (c *directCaller) confirm(ctx context.Context, req PlannedRequest) (string, failure.Outcome, error) {
	key := "direct-" + req.ID
	_, err := c.pick(c.bookings).Call(ctx, target.Call{Key: key, Workspace: req.Workspace, Body: req.Body})
	switch {
	case err == nil:
		return key, failure.Ran, nil
	case errors.Is(err, target.ErrNotSent):
		return key, failure.NotRun, err
	default:
		return key, failure.Unknown, err
	}
}

func (c *directCaller) close() {
	for _, t := range append(append([]*target.Client(nil), c.engines...), c.bookings...) {
		t.Close()
	}
}
