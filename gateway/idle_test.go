package gateway

import (
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

func TestIdleConnectionsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newIdleTracker()
		a, b := net.Pipe()
		tracker.stateChanged(a, http.StateIdle)
		time.Sleep(10 * time.Second)
		tracker.stateChanged(b, http.StateIdle)
		if got := tracker.removeExpired(time.Now(), 15*time.Second); len(got) != 0 {
			t.Fatal("a connection expired before it was idle for the limit")
		}
		tracker.stateChanged(a, http.StateActive)
		time.Sleep(15 * time.Second)
		if got := tracker.removeExpired(time.Now(), 15*time.Second); len(got) != 1 || got[0] != b {
			t.Fatalf("expired connections %v, want only the one that stayed idle", got)
		}
	})
}
