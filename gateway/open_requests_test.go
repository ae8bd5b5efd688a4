package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"github.com/vanillaroad/vanillaroad/callers"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/internal/pipelistener"
	"github.com/vanillaroad/vanillaroad/platform"
)

// TestPanicNamesItsRequest guards against connections that a failure of their handler closes without
// a line of the log that names the request.
func TestPanicNamesItsRequest(t *testing.T) {
	g := &Gateway{events: event.NewRecorder("vm", event.NewClock(time.Now), log.NewNopLogger(), 16), forwarder: &forward.Forwarder{}}
	defer func() {
		if p := recover(); p == nil {
			t.Error("net/http doesn't see the panic, and ends the answer as if it were complete")
		}
		if got := g.events.Events("r1", 0); len(got) != 1 || got[0].Number != event.RequestUnfinished {
			t.Errorf("the log has the events %v, want the end of the request", got)
		}
	}()
	g.serve(&http.Request{}, &forward.Request{ID: "r1", Route: &ingress.Route{Name: "a"}}, nil) // panics for want of a retry budget
}

// TestEndOfAStopNamesEveryRequest guards against streams that are cut by the end of the process
// without a line of the log that names them: their callers don't read, so that their handlers see
// the stop once the connection is closed, or later.
func TestEndOfAStopNamesEveryRequest(t *testing.T) {
	for name, c := range map[string]struct {
		handlerTime time.Duration // from the end of the connection to the line of the handler
		want        event.Number
	}{
		"the handler ends":        {handlerEndTime / 2, event.AnswerTruncated},
		"the handler has no time": {time.Minute, event.RequestUnfinished},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &Gateway{events: event.NewRecorder("vm", event.NewClock(time.Now), log.NewNopLogger(), 16), idleConns: callers.NewTracker(), cancelAnswerTime: cancelAnswerTime}
				g.requestCtx, g.cancelRequests = context.WithCancelCause(context.Background())
				table := ingress.NewTable(ingress.Document{Version: 1, Routes: []ingress.Route{{
					Name: "a", Host: "h", Prefix: "/a/", Kind: ingress.Streaming, Services: []ingress.WeightedService{{Service: "svc", Weight: 1}},
				}}})
				handler := &platform.CallerHandler{
					Table: func() *ingress.Table { return table }, Closing: g.draining.Load, OnRefused: func(string, *failure.Error) {},
					PickService: func(r *ingress.Route) string { return r.PickService(0) },
					Serve: func(_ *http.Request, req *forward.Request, w forward.Responder) {
						defer g.requests.add(req)()
						for w.Event(make([]byte, 8<<10)) == nil {
							continue // until the connection is closed
						}
						time.Sleep(c.handlerTime)
						g.events.Record(event.AnswerTruncated, req.ID)
					},
				}
				listener := pipelistener.New()
				s := &server{Server: &http.Server{ConnState: g.idleConns.ConnState, Handler: handler}, listener: callers.Listener{Listener: listener}}
				g.servers = append(g.servers, s)
				go func() { _ = s.Serve(s.listener) }()
				caller, accepted := net.Pipe()
				listener.Conns <- accepted
				if _, err := io.WriteString(caller, "GET /a/x HTTP/1.1\r\nHost: h\r\nVanillaroad-Request-Id: r1\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				synctest.Wait() // the handler writes, and the caller doesn't read
				g.endRequests()
				if got := g.events.Events("r1", 0); len(got) != 1 || got[0].Number != c.want {
					t.Errorf("the process ends after the events %v, want one with number %d", got, c.want)
				}
				_ = caller.Close()
				time.Sleep(2 * time.Minute)
			})
		})
	}
}
