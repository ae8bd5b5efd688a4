package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// TestSlowTargetsHoldNoRelayedConnection guards against relayed connections that stay open
// because a target doesn't read, after the daemon that asked for them has closed them.
func TestSlowTargetsHoldNoRelayedConnection(t *testing.T) {
	conn, _ := targetPair(t)
	server, address := relayThrough(t, func(context.Context, Target) (net.Conn, error) { return conn, nil }, true)
	relayed, err := Dial(t.Context(), address, Target{ID: "i-1"}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	// More than the kernel holds: the write ends when the connection is closed.
	written := make(chan error, 1)
	go func() {
		_, err := relayed.Write(make([]byte, 64<<20))
		written <- err
	}()
	time.Sleep(50 * time.Millisecond) // so that the relaying daemon waits for the target
	_ = relayed.Close()
	if err := <-written; err == nil {
		t.Fatal("the target's connection takes 64 MiB that nobody reads")
	}
	for server.Open() > 0 { // the test's own time limit applies
		time.Sleep(10 * time.Millisecond)
	}
}

// TestSlowUploadsAreRelayedWhole guards against an upload that is cut or changed because its
// target pauses for longer than the relaying daemon waits between two checks.
func TestSlowUploadsAreRelayedWhole(t *testing.T) {
	const size = 16 << 20
	conn, target := targetPair(t)
	_, address := relayThrough(t, func(context.Context, Target) (net.Conn, error) { return conn, nil }, true)
	relayed, err := Dial(t.Context(), address, Target{ID: "i-1"}, func() {})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = relayed.Close() }()
	go func() {
		block := make([]byte, 64<<10)
		for sent := 0; sent < size; sent += len(block) {
			for i := range block {
				block[i] = byte((sent + i) % 251)
			}
			if _, err := relayed.Write(block); err != nil {
				return
			}
		}
	}()
	time.Sleep(2*callerCheckInterval + callerCheckInterval/2)
	block := make([]byte, 64<<10)
	for received := 0; received < size; received += len(block) {
		if _, err := io.ReadFull(target, block); err != nil {
			t.Fatalf("after %d bytes: %v", received, err)
		}
		for i := range block {
			if block[i] != byte((received+i)%251) {
				t.Fatalf("byte %d is not the one that was sent", received+i)
			}
		}
	}
}

// TestRelayedConnectionsAreBounded guards against relayed connections that use more memory or
// descriptors than the VM has for them, and against a bound that doesn't free its places.
func TestRelayedConnectionsAreBounded(t *testing.T) {
	const bound = 2
	server, address := relayThrough(t, func(context.Context, Target) (net.Conn, error) {
		conn, _ := targetPair(t)
		return conn, nil
	}, true)
	server.mu.Lock()
	server.MaxConns = bound
	server.mu.Unlock()
	dial := func() (net.Conn, error) {
		return Dial(t.Context(), address, Target{ID: "i-1"}, func() {})
	}
	for range 2 {
		var conns []net.Conn
		for range bound {
			conn, err := dial()
			if err != nil {
				t.Fatal(err)
			}
			conns = append(conns, conn)
		}
		rejected := server.Rejected()
		if _, err := dial(); err == nil || server.Rejected() != rejected+1 {
			t.Errorf("error %v at the bound, %d rejected, want one more than %d", err, server.Rejected(), rejected)
		}
		for _, c := range conns {
			_ = c.Close()
		}
		for server.Open() > 0 { // the test's own time limit applies
			time.Sleep(time.Millisecond)
		}
	}
}
