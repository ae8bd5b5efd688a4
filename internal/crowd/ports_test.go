package crowd

import (
	"encoding/binary"
	"syscall"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/vanillaroad/vanillaroad/relay"
)

// TestEmptyLinesAtEachPort guards against empty lines without an end before a request, which are
// part of no header.
func TestEmptyLinesAtEachPort(t *testing.T) {
	for name, address := range map[string]func(s *site) string{
		"callers": (*site).callers, "directory": (*site).directory, "readiness": (*site).readiness, "operations": (*site).operations,
	} {
		t.Run(name, func(t *testing.T) {
			s := startSite(t)
			lines := endlessHeads("/")["empty lines"]
			press(t, address(s), crowdSize, func(m member) bool { return m.write(lines) }, func(m member) bool { return m.write(lines) })
			s.check()
		})
	}
}

// misbehave is what a member of a mixed crowd does at the callers' port, by its number.
func misbehave(m member) bool {
	heads := endlessHeads("/c/call")
	switch m.n % 7 {
	case 0:
		return m.write(head(m, "/c/held", contentLength(maxBody))) && m.write(legalBody)
	case 1:
		return m.write(head(m, "/c/call", contentLength(maxBody))) && m.write(legalBody[1:])
	case 2:
		return m.write(head(m, "/c/call", chunked)) && m.write(chunksOf(64<<10, maxBody-16))
	case 3:
		return m.write(heads["empty lines"])
	case 4:
		return m.write(heads["many fields"])
	case 5:
		return m.write(head(m, "/c/large", contentLength(0)))
	}
	return true
}

// TestMixedCrowd guards against several kinds of misbehaviour at once, at all ports, by callers that
// come back in waves.
func TestMixedCrowd(t *testing.T) {
	s := startSite(t)
	for range 3 {
		press(t, s.callers(), 2*crowdSize, misbehave, nil)
		press(t, s.directory(), crowdSize/4, func(m member) bool { return m.write(endlessHeads("/")["empty lines"]) }, nil)
		press(t, s.operations(), crowdSize/4, func(m member) bool { return m.write(endlessHeads("/")["a long field"]) }, nil)
		press(t, s.peers(), crowdSize/4, greet, nil)
	}
	s.check()
}

// TestCrowdDuringReload guards against bounds that are lost when the settings change.
func TestCrowdDuringReload(t *testing.T) {
	s := startSite(t)
	for range 3 {
		press(t, s.callers(), crowdSize, misbehave, func(m member) bool {
			if m.n == 0 {
				_ = s.process.Signal(syscall.SIGHUP)
			}
			return m.write("b")
		})
	}
	s.check()
}

// TestCrowdDuringStop guards against a stop that waits for callers who never complete their requests.
func TestCrowdDuringStop(t *testing.T) {
	s := startSite(t)
	press(t, s.callers(), crowdSize, misbehave, nil)
	s.ordinaryRequest()
	_ = s.process.Signal(syscall.SIGTERM)
	press(t, s.callers(), crowdSize, misbehave, nil)
	<-s.ended
	s.checkBounds()
}

// TestRelayPort guards against crowds at the port at which a daemon relays connections.
func TestRelayPort(t *testing.T) {
	relayTo := func(m member, target string) bool {
		body, err := msgpack.Marshal(relay.Target{ID: targetID, Address: target})
		if err != nil {
			return false
		}
		var status [1]byte
		_ = m.SetReadDeadline(time.Now().Add(silence))
		if !m.write(string(binary.BigEndian.AppendUint16(nil, uint16(len(body)))) + string(body)) {
			return false
		}
		_, err = m.Read(status[:])
		return err == nil
	}
	for _, c := range []struct {
		name  string
		size  int
		first func(m member, target string) bool
	}{
		{"silent connections", manyConns, func(member, string) bool { return true }},
		{"bodies without their last byte", crowdSize, func(m member, target string) bool {
			return relayTo(m, target) && m.write(head(m, "/c/call", contentLength(maxBody))) && m.write(legalBody[1:])
		}},
		{"unread answers", crowdSize, func(m member, target string) bool {
			return relayTo(m, target) && m.write(head(m, "/c/large", contentLength(0)))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			relayAddress := network() + ".1:7201"
			s, target := startSiteWith(t, map[string]any{"relay": relayAddress})
			press(t, relayAddress, c.size, func(m member) bool { return c.first(m, target) }, nil)
			s.check()
		})
	}
}

// trickle sends the head of a request and a part of its body, and then a byte at a time until the
// connection is closed.
func trickle(m member, head string) bool {
	if !m.write(head + legalBody[:100]) {
		return false
	}
	go func() {
		for m.write("b") {
			time.Sleep(silence / 2)
		}
	}()
	return true
}

// TestTricklingBodies guards against callers who hold descriptors with bodies that hardly grow.
func TestTricklingBodies(t *testing.T) {
	s := startSite(t)
	press(t, s.callers(), manyConns, func(m member) bool { return trickle(m, head(m, "/c/call", contentLength(maxBody))) }, nil)
	s.check()
}
