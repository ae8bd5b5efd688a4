package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/failure"
)

// newStubDaemon starts a daemon that answers every path with status and body. It
// returns the server and its address.
func newStubDaemon(status int, body any) (*httptest.Server, string) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	return s, strings.TrimPrefix(s.URL, "http://")
}

func TestAddresses(t *testing.T) {
	live, liveAddress := newStubDaemon(http.StatusOK, map[string]any{"addresses": []string{"other"}, "ttl_ms": 60000})
	defer live.Close()
	dead, deadAddress := newStubDaemon(http.StatusOK, nil)
	dead.Close()
	ctx := context.Background()
	Convey("Given a client whose first daemon is down", t, func() {
		c := New(Settings{Addresses: []string{deadAddress, liveAddress}})
		Reset(c.Close)
		Convey("it queries the directory at the next daemon", func() {
			So(c.Addresses(ctx), ShouldResemble, []string{"other"})
		})
		Convey("CallAny tries the next daemon", func() {
			var out map[string]any
			So(c.CallAny(ctx, time.Minute, http.MethodGet, "/", nil, &out), ShouldBeNil)
			So(out["ttl_ms"], ShouldEqual, 60000)
		})
	})
	cases := []struct {
		name      string
		code      failure.Code
		triesNext bool
	}{
		{"is draining", failure.Draining, true},
		{"has no configuration", failure.Starting, true},
		{"is isolated", failure.Isolated, true},
		{"reports that another version won", failure.Conflict, false},
		{"rejects the request", failure.BadRequest, false},
		{"can't reach the platform", failure.PlatformUnavailable, true},
	}
	for _, k := range cases {
		Convey("A daemon that "+k.name, t, func() {
			s, address := newStubDaemon(http.StatusServiceUnavailable, map[string]any{"code": k.code, "outcome": "not_run", "addresses": []string{"third"}})
			Reset(s.Close)
			c := New(Settings{Addresses: []string{address, liveAddress}})
			Reset(c.Close)
			err := c.CallAny(ctx, time.Minute, http.MethodPost, "/", nil, nil)
			So(err == nil, ShouldEqual, k.triesNext)
		})
	}
	Convey("The addresses from a draining daemon replace the cached directory answer", t, func() {
		s, address := newStubDaemon(http.StatusServiceUnavailable, map[string]any{"code": failure.Draining, "outcome": "not_run", "addresses": []string{"third"}})
		Reset(s.Close)
		c := New(Settings{Addresses: []string{address}})
		Reset(c.Close)
		c.directory, c.directoryExpires = []string{address, "other"}, time.Now().Add(time.Hour)
		_ = c.Call(ctx, address, http.MethodGet, "/", nil, nil)
		So(c.directory, ShouldResemble, []string{"third"})
		So(c.directoryExpires.IsZero(), ShouldBeTrue)
	})
}
