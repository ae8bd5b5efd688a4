package peer

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

func TestTick(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	Convey("Given a dialed connection that was just used", t, func() {
		c := newConn(&Transport{}, nil, Identity{})
		c.dialed, c.lastUsed = true, start
		Convey("it is pinged within pingWindow, not pinged after that, and retired after idleTimeout", func() {
			ping, err := c.tick(at(pingWindow / 2))
			So(ping, ShouldBeTrue)
			So(err, ShouldBeNil)
			c.markAlive()
			ping, err = c.tick(at(pingWindow + time.Second))
			So(ping, ShouldBeFalse)
			So(err, ShouldBeNil)
			_, err = c.tick(at(idleTimeout))
			So(errors.Is(err, errRetired), ShouldBeTrue)
			_, err = c.call(context.Background(), testKind, nil)
			So(errors.Is(err, errRetired), ShouldBeTrue)
		})
		Convey("while no call is pending it is pinged at every other tick", func() {
			pings := 0
			for i := range 4 {
				ping, err := c.tick(at(time.Duration(i+1) * pingInterval))
				So(err, ShouldBeNil)
				if ping {
					pings++
				}
			}
			So(pings, ShouldEqual, 2)
		})
		Convey("while a call is pending it is pinged and never retired", func() {
			c.pendingCalls[1] = make(chan *envelope, 1)
			ping, err := c.tick(at(10 * idleTimeout))
			So(ping, ShouldBeTrue)
			So(err, ShouldBeNil)
			Convey("and an unanswered ping closes it", func() {
				_, err := c.tick(at(10*idleTimeout + silenceTimeout))
				So(errors.Is(err, ErrSilent), ShouldBeTrue)
			})
		})
	})
	Convey("A call is sent on a new connection if the existing one is retired", t, func() {
		a, b := listen("a"), listen("b")
		Reset(func() {
			a.Close()
			b.Close()
		})
		b.handlers[testKind] = func(context.Context, Identity, []byte) (any, error) { return "here", nil }
		So(a.Call(context.Background(), b.self.PeerAddress, testKind, "x", nil), ShouldBeNil)
		c, err := a.conn(context.Background(), b.self.PeerAddress)
		So(err, ShouldBeNil)
		c.mu.Lock()
		c.retired = true
		c.mu.Unlock()
		So(a.Call(context.Background(), b.self.PeerAddress, testKind, "x", nil), ShouldBeNil)
		c.close(errRetired)
	})
}

// TestBusyDaemonKeepsItsConnections guards against a daemon that was busy for two seconds and
// then closes its connections to all others, whose answers it has not read yet.
func TestBusyDaemonKeepsItsConnections(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	const late = time.Second
	c := newConn(&Transport{Lateness: func(time.Time, time.Time) time.Duration { return late }}, nil, Identity{})
	c.dialed, c.lastUsed = true, start
	for _, step := range []struct {
		after time.Duration
		want  error
	}{{pingInterval, nil}, {pingInterval + silenceTimeout, nil}, {pingInterval + silenceTimeout + late, ErrSilent}} {
		if _, err := c.tick(start.Add(step.after)); !errors.Is(err, step.want) {
			t.Errorf("%v after its last use, the connection is closed by %v, want %v", step.after, err, step.want)
		}
	}
}
