package gateway

import (
	"context"
	"testing"

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
