package gateway

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/fleet"
)

// TestLostPlaceAsksFewDaemons guards against daemons that ask those of a lost place for a
// connection to each of its targets, all at once.
func TestLostPlaceAsksFewDaemons(t *testing.T) {
	l := newLinks(nil, nil)
	for range maxRelayChecks {
		l.checks <- struct{}{}
	}
	if _, err := l.dialThroughPeers(context.Background(), fleet.Target{ID: "i-1"}); err == nil {
		t.Error("a connection was opened through another daemon, beyond the limit")
	}
	if len(l.checks) != maxRelayChecks {
		t.Errorf("%d checks are counted, want %d", len(l.checks), maxRelayChecks)
	}
}

// TestBusyDaemonWaitsForItsOwnConnections guards against a daemon whose processor is busy and
// that opens each connection a second time, through another daemon, which makes it busier.
func TestBusyDaemonWaitsForItsOwnConnections(t *testing.T) {
	for _, c := range []struct {
		name    string
		late    time.Duration
		relayed int64
	}{{"busy", 100 * time.Millisecond, 0}, {"idle", 0, 1}} {
		t.Run(c.name, func(t *testing.T) {
			g := &Gateway{metrics: metrics.NewRegistry()}
			g.settings.Store(&Settings{ID: "a"})
			g.members = newMembers(g)
			g.members.list.Put(time.Now(), exchange.Member{ID: "b", Relay: "127.0.0.1:1"})
			g.members.list.RecordHeartbeat(time.Now(), "b", 1, false)
			l := newLinks(g, func(context.Context, fleet.Target) (net.Conn, error) {
				g.lag.Record(time.Now(), c.late)
				time.Sleep(relayDelay * 3 / 2)
				a, _ := net.Pipe()
				return a, nil
			})
			conn, err := l.DialTarget(t.Context(), fleet.Target{ID: "i-1"})
			if err != nil {
				t.Fatal(err)
			}
			_ = conn.Close()
			if failed := metrics.GetOrRegisterCounter("relay.failures", g.metrics).Count(); failed != c.relayed {
				t.Errorf("%d connections through another daemon were tried, want %d", failed, c.relayed)
			}
		})
	}
}
