package gateway

import (
	"bufio"
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
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/internal/pipelistener"
	"github.com/vanillaroad/vanillaroad/platform"
)

// TestStopAwaitsAnswers guards against requests that are lost because the daemon stops
// between the end of their handler and the send of their answer.
func TestStopAwaitsAnswers(t *testing.T) {
	for name, path := range map[string]string{"served": "/a/x", "refused before it is forwarded": "/none/"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &Gateway{events: event.NewRecorder("vm", event.NewClock(time.Now), log.NewNopLogger(), 16), idleConns: callers.NewTracker(), links: newLinks(nil, nil)}
				g.requestCtx, g.cancelRequests = context.WithCancelCause(context.Background())
				g.stopping.Store(&stopPlan{}) // refuses all requests
				table := ingress.NewTable(ingress.Document{Version: 1, Routes: []ingress.Route{{
					Name: "a", Host: "h", Prefix: "/a/", Kind: ingress.Idempotent, Services: []ingress.WeightedService{{Service: "svc", Weight: 1}},
				}}})
				handler := &platform.CallerHandler{
					Table: func() *ingress.Table { return table }, Serve: g.serve, Closing: g.draining.Load,
					OnRefused:   func(string, *failure.Error) {},
					PickService: func(r *ingress.Route) string { return r.PickService(0) },
				}
				listener := pipelistener.New()
				server := &http.Server{ConnState: g.idleConns.ConnState, Handler: handler}
				go func() { _ = server.Serve(callers.Listener{Listener: listener}) }()
				caller, accepted := net.Pipe()
				listener.Conns <- accepted
				if _, err := io.WriteString(caller, "GET "+path+" HTTP/1.1\r\nHost: h\r\nVanillaroad-Request-Id: r1\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				synctest.Wait() // the handler has returned, the answer is not sent yet
				go func() {     // the end of Run
					g.awaitRequests(time.Now().Add(cancelAnswerTime))
					_ = server.Close()
				}()
				time.Sleep(cancelAnswerTime / 2)
				answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
				if err != nil {
					t.Error("the connection ended without an answer:", err)
				} else {
					_ = answer.Body.Close()
				}
				_ = caller.Close()
				time.Sleep(time.Second)
			})
		})
	}
}
