package standin_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/target"
)

// plainEnv is the environment variable with the URL of a plain service to test
// instead of the stand-in.
const plainEnv = "VANILLAROAD_TEST_PLAIN"

func newPlain(t *testing.T) (*target.Client, string) {
	base := baseURL(t, plainEnv, standin.NewBooking(0).Handler())
	c := target.NewClient(host(base))
	t.Cleanup(c.Close)
	t.Cleanup(func() { setFaults(t, base, `{}`) })
	return c, base
}

func countRuns(t *testing.T, base, key string) int {
	_, body := send(t, http.MethodGet, base+"/ledger", "")
	var ledger map[string]int
	if err := json.Unmarshal([]byte(body), &ledger); err != nil {
		t.Fatal(err)
	}
	return ledger[key]
}

func TestPlainService(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name, faults string
		status       int   // status of the answer; 0 if there is no answer
		err          error // error if there is no answer, otherwise nil
		runs         int
	}{
		{"runs", `{}`, http.StatusOK, nil, 1},
		{"runs after a delay", `{"slow_ms":1}`, http.StatusOK, nil, 1},
		{"refuses the call and does not run it", `{"refuse":true}`, http.StatusServiceUnavailable, nil, 0},
		{"runs the call, but its answer is lost", `{"lose_answers":true}`, 0, target.ErrLost, 1},
	}
	for _, s := range cases {
		Convey("a plain service "+s.name, t, func() {
			c, base := newPlain(t)
			setFaults(t, base, s.faults)
			reply, err := c.Call(ctx, target.Call{Key: s.name, Workspace: "w", Body: "b"})
			So(errors.Is(err, s.err), ShouldBeTrue)
			So(reply.Status, ShouldEqual, s.status)
			So(countRuns(t, base, s.name), ShouldEqual, s.runs)
		})
	}
	Convey("a plain service does not deduplicate calls", t, func() {
		c, base := newPlain(t)
		for range 2 {
			_, err := c.Call(ctx, target.Call{Key: "twice"})
			So(err, ShouldBeNil)
		}
		So(countRuns(t, base, "twice"), ShouldEqual, 2)
	})
	Convey("a plain service that never answers has still run the call", t, func() {
		c, base := newPlain(t)
		setFaults(t, base, `{"silent":true}`)
		bounded, cancel := context.WithCancel(ctx)
		result := make(chan error)
		go func() {
			_, err := c.Call(bounded, target.Call{Key: "silent"})
			result <- err
		}()
		eventually(func() bool { return countRuns(t, base, "silent") == 1 })
		cancel()
		So(errors.Is(<-result, target.ErrLost), ShouldBeTrue)
	})
	Convey("a call to an unreachable plain service reports that it was not sent", t, func() {
		l, err := net.Listen("tcp", "127.90.9.1:0")
		So(err, ShouldBeNil)
		address := l.Addr().String()
		So(l.Close(), ShouldBeNil)
		_, err = target.NewClient(address).Call(ctx, target.Call{Key: "k"})
		So(errors.Is(err, target.ErrNotSent), ShouldBeTrue)
	})
	Convey("a plain service reports its load and that it is leaving", t, func() {
		c, base := newPlain(t)
		setFaults(t, base, `{"leaving":true}`)
		l, err := c.Load(ctx)
		So(err, ShouldBeNil)
		So(l.Leaving, ShouldBeTrue)
	})
}
