package client

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"

	"github.com/vanillaroad/vanillaroad/failure"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func sendTokens(w http.ResponseWriter, from, to int) {
	for i := from; i < to; i++ {
		_, _ = fmt.Fprintf(w, "id: c%d\nevent: token\ndata: {\"position\":%d,\"text\":\"t%d\"}\n\n", i+1, i, i)
	}
	_ = http.NewResponseController(w).Flush()
}

func sendDone(w http.ResponseWriter) {
	_, _ = fmt.Fprint(w, "id: c\nevent: done\ndata: {\"position\":6}\n\n")
}

// truncated sends tokens and ends the response without a final event.
func truncated(from, to int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) { sendTokens(w, from, to) }
}

// silent sends tokens and then keeps the connection open without sending anything.
func silent(from, to int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		sendTokens(w, from, to)
		<-r.Context().Done()
	}
}

// complete sends tokens and the final event.
func complete(from, to int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		sendTokens(w, from, to)
		sendDone(w)
	}
}

func refuse(status int, body string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}
}

const draining = `{"name":"unavailable","code":"draining","message":"stopping","outcome":"not_run","retry_after_ms":1000,"step":"accept","peer":"vm-1"}`

func TestGenerate(t *testing.T) {
	allTokens := []string{"t0", "t1", "t2", "t3", "t4", "t5"}
	cases := []struct {
		name string
		// first and second are the handlers of the two daemons, one per request. A nil
		// second means that there is only one daemon.
		first       []func(http.ResponseWriter, *http.Request)
		second      []func(http.ResponseWriter, *http.Request)
		held        int    // number of tokens held, as sent to the second daemon
		lastEventID string // as sent to the second daemon
		moves       int
	}{
		{"one daemon answers", []func(http.ResponseWriter, *http.Request){complete(0, 6)}, nil, 0, "", 0},
		{"the stream is truncated", []func(http.ResponseWriter, *http.Request){truncated(0, 3)},
			[]func(http.ResponseWriter, *http.Request){complete(3, 6)}, 3, "c3", 1},
		{"the stream becomes silent", []func(http.ResponseWriter, *http.Request){silent(0, 3)},
			[]func(http.ResponseWriter, *http.Request){complete(3, 6)}, 3, "c3", 1},
		{"the daemon never answers", []func(http.ResponseWriter, *http.Request){silent(0, 0)},
			[]func(http.ResponseWriter, *http.Request){complete(0, 6)}, 0, "", 1},
		{"the daemon is draining", []func(http.ResponseWriter, *http.Request){refuse(http.StatusServiceUnavailable, draining)},
			[]func(http.ResponseWriter, *http.Request){complete(0, 6)}, 0, "", 1},
		{"the second daemon repeats tokens that the client holds", []func(http.ResponseWriter, *http.Request){truncated(0, 3)},
			[]func(http.ResponseWriter, *http.Request){complete(1, 6)}, 3, "c3", 1},
		{"the second daemon omits a token; the first daemon sends it", []func(http.ResponseWriter, *http.Request){truncated(0, 3), complete(3, 6)},
			[]func(http.ResponseWriter, *http.Request){complete(4, 6)}, 3, "c3", 2},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			s := newSite()
			first := s.daemon(c.first...)
			defer first.stop()
			addresses := []string{first.address}
			var second *daemon
			if c.second != nil {
				second = s.daemon(c.second...)
				defer second.stop()
				addresses = append(addresses, second.address)
			}
			cl := s.client(Settings{Addresses: addresses, StreamIdleTimeout: 200 * time.Millisecond})
			defer cl.Close()
			var positions []int64
			a, err := cl.Generate(context.Background(), GenerateRequest{ID: "1", Prompt: "p", MaxTokens: 6}, func(t Token) { positions = append(positions, t.Position) })
			Convey(c.name, t, func() {
				So(err, ShouldBeNil)
				So(a.Tokens, ShouldResemble, allTokens)
				So(positions, ShouldResemble, []int64{0, 1, 2, 3, 4, 5})
				So(a.Moves, ShouldEqual, c.moves)
				if second != nil {
					So(second.requests[0].Held, ShouldHaveLength, c.held)
					So(second.lastEventIDs[0], ShouldEqual, c.lastEventID)
				}
			})
		})
	}
	runWithOneDaemon := func(name string, settings Settings, handler func(http.ResponseWriter, *http.Request), check func(*daemon, Answer, error)) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite()
			d := s.daemon(handler)
			defer d.stop()
			settings.Addresses = []string{d.address}
			cl := s.client(settings)
			defer cl.Close()
			a, err := cl.Generate(context.Background(), GenerateRequest{ID: "1"}, func(Token) {})
			Convey(name, t, func() { check(d, a, err) })
		})
	}
	runWithOneDaemon("keep-alive comments keep a stream without tokens open", Settings{StreamIdleTimeout: 2 * time.Second}, func(w http.ResponseWriter, _ *http.Request) {
		for range 10 {
			_, _ = fmt.Fprint(w, ": keep-alive\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(250 * time.Millisecond)
		}
		sendTokens(w, 0, 6)
		sendDone(w)
	}, func(_ *daemon, a Answer, err error) {
		So(err, ShouldBeNil)
		So(a.Moves, ShouldEqual, 0)
		So(a.Tokens, ShouldResemble, allTokens)
	})
	runWithOneDaemon("an incomplete answer is final and has a retry hint", Settings{}, func(w http.ResponseWriter, _ *http.Request) {
		sendTokens(w, 0, 2)
		_, _ = fmt.Fprint(w, "id: c2\nevent: incomplete\ndata: {\"position\":2,\"code\":\"target_lost\",\"outcome\":\"ran\",\"retry_after_ms\":1000,\"step\":\"resume\",\"peer\":\"a\"}\n\n")
	}, func(d *daemon, a Answer, err error) {
		f := failure.From(err)
		So(f.Code, ShouldEqual, failure.TargetLost)
		So(f.RetryAfter, ShouldEqual, time.Second)
		So(a.Tokens, ShouldHaveLength, 2)
		So(d.requests, ShouldHaveLength, 1)
	})
	runWithOneDaemon("no daemon accepts the request: the client stops after MaxAttempts", Settings{MaxAttempts: 3}, refuse(http.StatusServiceUnavailable, draining), func(d *daemon, _ Answer, err error) {
		So(failure.From(err).Code, ShouldEqual, failure.Draining)
		So(d.requests, ShouldHaveLength, 3)
	})
}
