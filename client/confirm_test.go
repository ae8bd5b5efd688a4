package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/failure"
)

// confirmationDaemon is a fake daemon that answers confirmations with the answers of
// a list in turn and then repeats the last one. It records the keys that it received.
type confirmationDaemon struct {
	mu sync.Mutex
	// answers are JSON bodies. The prefix "503 " or "409 " sets the status; "cut"
	// closes the connection without an answer.
	answers []string
	keys    map[string]bool
	server  *httptest.Server
}

func newConfirmationDaemon(answers ...string) *confirmationDaemon {
	c := &confirmationDaemon{answers: answers, keys: make(map[string]bool)}
	c.server = httptest.NewServer(http.HandlerFunc(c.serve))
	Reset(c.server.Close)
	return c
}

func (c *confirmationDaemon) address() string { return strings.TrimPrefix(c.server.URL, "http://") }

func (c *confirmationDaemon) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/directory" {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var in ConfirmRequest
	_ = json.NewDecoder(r.Body).Decode(&in)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[in.Key] = true
	answer := c.answers[0]
	if len(c.answers) > 1 {
		c.answers = c.answers[1:]
	}
	switch {
	case answer == "cut":
		panic(http.ErrAbortHandler)
	case strings.HasPrefix(answer, "503 "):
		w.WriteHeader(http.StatusServiceUnavailable)
	case strings.HasPrefix(answer, "409 "):
		w.WriteHeader(http.StatusConflict)
	}
	_, _ = w.Write([]byte(strings.TrimPrefix(strings.TrimPrefix(answer, "503 "), "409 ")))
}

func TestConfirm(t *testing.T) {
	const (
		ran          = `{"key":"k","outcome":"ran","status":200,"answer":"booked"}`
		notRun       = `{"key":"k","outcome":"not_run"}`
		pending      = `{"key":"k","outcome":"unknown","retry_after_ms":10}`
		unknownFinal = `{"key":"k","outcome":"unknown","retry_after_ms":0}`
		isolated     = `503 {"code":"isolated","outcome":"unknown","retry_after_ms":10}`
		conflict     = `409 {"code":"conflict","outcome":"not_run"}`
	)
	cases := []struct {
		name    string
		answers []string
		outcome failure.Outcome
		fails   bool
	}{
		{"the call ran", []string{ran}, failure.Ran, false},
		{"not_run is final", []string{notRun, ran}, failure.NotRun, false},
		{"unknown with a retry hint is retried", []string{pending, pending, ran}, failure.Ran, false},
		{"a lost connection is retried", []string{"cut", ran}, failure.Ran, false},
		{"a temporary refusal is retried", []string{isolated, isolated, ran}, failure.Ran, false},
		{"unknown without a retry hint is final", []string{pending, unknownFinal, ran}, failure.Unknown, false},
		{"a conflict with another body is final", []string{conflict, ran}, failure.NotRun, true},
	}
	Convey("Given a daemon with prepared answers", t, func() {
		for _, c := range cases {
			Convey(c.name, func() {
				d := newConfirmationDaemon(c.answers...)
				cl := New(Settings{Addresses: []string{d.address()}})
				defer cl.Close()
				out, err := cl.Confirm(context.Background(), ConfirmRequest{Key: "k"})
				So(out.Outcome, ShouldEqual, c.outcome)
				So(err != nil, ShouldEqual, c.fails)
				So(d.keys, ShouldResemble, map[string]bool{"k": true})
			})
		}
		Convey("when the caller's context ends, the outcome is unknown with a retry hint", func() {
			d := newConfirmationDaemon(isolated)
			cl := New(Settings{Addresses: []string{d.address()}})
			defer cl.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			out, err := cl.Confirm(ctx, ConfirmRequest{Key: "k"})
			So(out.Outcome, ShouldEqual, failure.Unknown)
			So(out.RetryAfter, ShouldBeGreaterThan, 0)
			So(err, ShouldNotBeNil)
			So(d.keys, ShouldResemble, map[string]bool{"k": true})
		})
	})
}
