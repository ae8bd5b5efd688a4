package node

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	gen "github.com/vanillaroad/vanillaroad/gen/generations"
	generationsserver "github.com/vanillaroad/vanillaroad/gen/http/generations/server"
	"github.com/vanillaroad/vanillaroad/generation"
	"github.com/vanillaroad/vanillaroad/internal/jsontime"
	"github.com/vanillaroad/vanillaroad/settings"
)

// recordingStream records events and writes their kinds as the generated stream does.
type recordingStream struct {
	gen.GenerateServerStream
	w    *deadlineWriter
	sent []*gen.GenerationEvent
}

func (s *recordingStream) Send(e *gen.GenerationEvent) error {
	s.sent = append(s.sent, e)
	s.w.WriteHeader(200)
	body := generationsserver.NewGenerateResponseBody(e)
	_, err := io.WriteString(s.w, "event: "+body.Kind+"\n\n")
	return err
}

// refusingRouter refuses every request once wait is closed.
type refusingRouter struct{ wait chan struct{} }

func (g refusingRouter) Route(ctx context.Context, _ generation.Request, _ int64, _ []string, _ string) (generation.Grant, *failure.Error) {
	select {
	case <-g.wait:
	case <-ctx.Done():
	}
	return generation.Grant{}, failure.New(failure.NoTarget, failure.NotRun, "route", "", "none").WithRetryAfter(time.Second)
}

func (refusingRouter) ReportLoss(string, string) {}

func (g refusingRouter) Join(ctx context.Context, r generation.Request, _ string) (generation.Grant, *failure.Error) {
	return g.Route(ctx, r, 0, nil, "")
}

// noopGuard implements generation.Guard and generation.Peers. It allows every request
// and knows no other daemons.
type noopGuard struct{}

func (noopGuard) Check(context.Context, generation.Request) *failure.Error { return nil }
func (noopGuard) ReportCrash(generation.Request, string, int64, bool)      {}
func (noopGuard) ReportProgress(generation.Request)                        {}
func (noopGuard) ReportCompletion(generation.Request)                      {}
func (noopGuard) Claim(context.Context, string) (string, error)            { return "", nil }
func (noopGuard) Registrar(string) string                                  { return "" }
func (noopGuard) Renew(context.Context, string) error                      { return nil }
func (noopGuard) Locate(context.Context, string, generation.LocateRequest) (generation.LocateReply, error) {
	return generation.LocateReply{}, nil
}
func (noopGuard) NotifyTakeOver(context.Context, string, generation.TakeOverNotice) (generation.TakeOverReply, error) {
	return generation.TakeOverReply{}, nil
}

func TestSender(t *testing.T) {
	Convey("Given a daemon and a caller", t, func() {
		s := settings.Default()
		s.Generation.CallerKeepAlive = jsontime.Duration(time.Millisecond)
		events := event.NewRecorder("vm-1", event.NewClock(time.Now), log.NewNopLogger(), 16)
		router := refusingRouter{make(chan struct{})}
		hub := generation.NewHub(s.Generation, generation.Deps{Router: router, Joiner: router, Guard: noopGuard{}, Peers: noopGuard{}, Events: events})
		n := &Node{settings: s, events: events, hub: hub, metrics: metrics.NewRegistry()}
		Reset(hub.Close)
		w := httptest.NewRecorder()
		stream := &recordingStream{w: newDeadlineWriter(w)}
		ctx := withWriter(context.Background(), stream.w)
		newSender := func() *sender {
			reader, err := hub.Answer(generation.Request{ID: "1", MaxTokens: 5})
			So(err, ShouldBeNil)
			return &sender{api: &generationsAPI{n}, reader: reader, id: "1", stream: stream, metrics: newTokenMetrics(n.metrics, false)}
		}
		Convey("a refusal before the first byte is an HTTP error", func() {
			close(router.wait)
			n.settings.Generation.CallerKeepAlive = jsontime.Duration(time.Minute)
			snd := newSender()
			defer snd.reader.Close()
			err := snd.run(ctx)
			f, isFailure := err.(*gen.Failure)
			So(isFailure, ShouldBeTrue)
			So(f.Code, ShouldEqual, string(failure.NoTarget))
			So(f.Outcome, ShouldEqual, string(failure.NotRun))
			So(f.RetryAfterMs, ShouldEqual, 1000)
			So(w.Body.Len(), ShouldEqual, 0)
		})
		Convey("an idle stream gets keep-alives, and a later refusal is sent as an event with its outcome", func() {
			snd := newSender()
			defer snd.reader.Close()
			state, err := snd.reader.Next(ctx, 0, time.Millisecond)
			So(err, ShouldBeNil)
			So(state.Idle, ShouldBeTrue)
			So(snd.send(ctx, state), ShouldBeNil)
			close(router.wait)
			So(snd.run(ctx), ShouldBeNil)
			So(w.Body.String(), ShouldStartWith, ": keep-alive\n\n")
			So(w.Header().Get("Content-Type"), ShouldEqual, "text/event-stream")
			last := stream.sent[len(stream.sent)-1]
			So(last.Kind, ShouldEqual, "incomplete")
			So(*last.Data.Outcome, ShouldEqual, string(failure.NotRun))
			So(*last.Data.RetryAfterMs, ShouldEqual, 1000)
			So(strings.Count(w.Body.String(), "event: "), ShouldEqual, 1)
		})
		Convey("the cursor of each token counts this token and those before it", func() {
			snd := newSender()
			defer snd.reader.Close()
			So(snd.send(ctx, generation.State{Tokens: []string{"a", "b"}}), ShouldBeNil)
			for i, e := range stream.sent {
				c, err := generation.DecodeCursor(e.Cursor)
				So(err, ShouldBeNil)
				So(c.Held, ShouldEqual, i+1)
			}
		})
		Convey("a caller that reads too slowly after the answer has ended is disconnected", func() {
			n.settings.Generation.CallerLag = 0
			snd := newSender()
			defer snd.reader.Close()
			So(snd.send(ctx, generation.State{Tokens: []string{"a"}, Done: true}), ShouldEqual, errSlowCaller)
		})
		Convey("the stream ends when the caller has disconnected", func() {
			callerCtx, cancel := context.WithCancel(ctx)
			cancel()
			n.settings.Generation.CallerKeepAlive = jsontime.Duration(time.Minute)
			snd := newSender()
			defer snd.reader.Close()
			So(snd.run(callerCtx), ShouldBeNil)
			So(stream.sent, ShouldBeEmpty)
		})
	})
}
