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
		idle := newIdleTracker()
		a, b := net.Pipe()
		idle.stateChanged(a, http.StateIdle)
		time.Sleep(10 * time.Second)
		idle.stateChanged(b, http.StateIdle)
		if got := idle.removeExpired(time.Now(), 15*time.Second); len(got) != 0 {
			t.Fatal("a connection was closed before its limit")
		}
		idle.stateChanged(a, http.StateActive)
		time.Sleep(15 * time.Second)
		if got := idle.removeExpired(time.Now(), 15*time.Second); len(got) != 1 || got[0] != b {
			t.Fatalf("expired: %v", got)
		}
	})
}
