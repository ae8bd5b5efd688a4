package callers

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

// TestSlowReadersDoNotStall guards against a caller that loses its answer because it reads
// one part of 64 KiB in more than stallTime, and against one that reads nothing and does not
// count as stalled.
func TestSlowReadersDoNotStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := NewLimits(Resources{FDs: 1000}, 1<<20).NewPool(1, func() int { return 1 << 20 })
		caller, accepted := net.Pipe()
		conn := &Conn{Conn: accepted}
		if !pool.admit(conn, time.Now()) {
			t.Fatal("the connection is not admitted")
		}
		conn.guard.setPhase(phaseServed)
		go func() { _, _ = conn.Write(make([]byte, 64<<10)) }()
		for range 4 {
			time.Sleep(stallTime * 3 / 4)
			if d := conn.guard.StalledFor(time.Now()); d != 0 {
				t.Errorf("a caller that reads 16 KiB each %v stalls for %v", stallTime*3/4, d)
			}
			if _, err := io.ReadFull(caller, make([]byte, writePartBytes)); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		go func() { _, _ = conn.Write([]byte("a")) }()
		time.Sleep(5 * time.Second)
		if d := conn.guard.StalledFor(time.Now()); d != 5*time.Second {
			t.Errorf("a caller that reads nothing for 5s stalls for %v", d)
		}
		_ = caller.Close()
		synctest.Wait()
	})
}
