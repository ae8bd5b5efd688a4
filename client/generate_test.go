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

// cut sends tokens and ends the connection.
func cut(from, to int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) { sendTokens(w, from, to) }
}

// silent sends tokens and then nothing, on a connection that stays open.
func silent(from, to int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		sendTokens(w, from, to)
		<-r.Context().Done()
	}
}

func whole(from, to int) func(http.ResponseWriter, *http.Request) {
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
	all := []string{"t0", "t1", "t2", "t3", "t4", "t5"}
	cases := []struct {
		name   string
		first  []func(http.ResponseWriter, *http.Request)
		second []func(http.ResponseWriter, *http.Request)
		held   int    // what the second daemon is told
		cursor string // and from where
		moves  int
	}{
		{"one daemon answers", []func(http.ResponseWriter, *http.Request){whole(0, 6)}, nil, 0, "", 0},
		{"the stream is cut", []func(http.ResponseWriter, *http.Request){cut(0, 3)},
			[]func(http.ResponseWriter, *http.Request){whole(3, 6)}, 3, "c3", 1},
		{"the stream goes silent", []func(http.ResponseWriter, *http.Request){silent(0, 3)},
			[]func(http.ResponseWriter, *http.Request){whole(3, 6)}, 3, "c3", 1},
		{"the daemon never answers", []func(http.ResponseWriter, *http.Request){silent(0, 0)},
			[]func(http.ResponseWriter, *http.Request){whole(0, 6)}, 0, "", 1},
		{"the daemon is draining", []func(http.ResponseWriter, *http.Request){refuse(http.StatusServiceUnavailable, draining)},
			[]func(http.ResponseWriter, *http.Request){whole(0, 6)}, 0, "", 1},
		{"the second daemon repeats what is held", []func(http.ResponseWriter, *http.Request){cut(0, 3)},
			[]func(http.ResponseWriter, *http.Request){whole(1, 6)}, 3, "c3", 1},
		{"the second daemon leaves one out; the first has it", []func(http.ResponseWriter, *http.Request){cut(0, 3), whole(3, 6)},
			[]func(http.ResponseWriter, *http.Request){whole(4, 6)}, 3, "c3", 2},
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
			cl := s.client(Settings{Addresses: addresses, Silence: 200 * time.Millisecond})
			defer cl.Close()
			var seen []int64
			a, err := cl.Generate(context.Background(), GenerateRequest{ID: "1", Prompt: "p", MaxTokens: 6}, func(t Token) { seen = append(seen, t.Position) })
			Convey(c.name, t, func() {
				So(err, ShouldBeNil)
				So(a.Tokens, ShouldResemble, all)
				So(seen, ShouldResemble, []int64{0, 1, 2, 3, 4, 5})
				So(a.Moves, ShouldEqual, c.moves)
				if second != nil {
					So(second.asked[0].Held, ShouldHaveLength, c.held)
					So(second.cursors[0], ShouldEqual, c.cursor)
				}
			})
		})
	}
	alone := func(name string, set Settings, script func(http.ResponseWriter, *http.Request), check func(*daemon, Answer, error)) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite()
			d := s.daemon(script)
			defer d.stop()
			set.Addresses = []string{d.address}
			cl := s.client(set)
			defer cl.Close()
			a, err := cl.Generate(context.Background(), GenerateRequest{ID: "1"}, func(Token) {})
			Convey(name, t, func() { check(d, a, err) })
		})
	}
	alone("keep-alive comments hold a stream that brings no token yet", Settings{Silence: 2 * time.Second}, func(w http.ResponseWriter, _ *http.Request) {
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
		So(a.Tokens, ShouldResemble, all)
	})
	alone("an incomplete answer is final, and tells when to come back", Settings{}, func(w http.ResponseWriter, _ *http.Request) {
		sendTokens(w, 0, 2)
		_, _ = fmt.Fprint(w, "id: c2\nevent: incomplete\ndata: {\"position\":2,\"code\":\"target_lost\",\"outcome\":\"ran\",\"retry_after_ms\":1000,\"step\":\"resume\",\"peer\":\"a\"}\n\n")
	}, func(d *daemon, a Answer, err error) {
		f := failure.From(err)
		So(f.Code, ShouldEqual, failure.TargetLost)
		So(f.RetryAfter, ShouldEqual, time.Second)
		So(a.Tokens, ShouldHaveLength, 2)
		So(d.asked, ShouldHaveLength, 1)
	})
	alone("no daemon answers: the client gives up after its attempts", Settings{Attempts: 3}, refuse(http.StatusServiceUnavailable, draining), func(d *daemon, _ Answer, err error) {
		So(failure.From(err).Code, ShouldEqual, failure.Draining)
		So(d.asked, ShouldHaveLength, 3)
	})
}
