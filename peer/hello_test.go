package peer

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/vanillaroad/vanillaroad/event"
)

// TestHelloWithoutEnd guards against a handshake that reads up to the limit of all frames
// from whatever answers at a daemon's address.
func TestHelloWithoutEnd(t *testing.T) {
	transport, err := Listen(Identity{ID: "a", PeerAddress: "127.0.0.1:0"}, event.NewRecorder("a", event.NewClock(time.Now), log.NewNopLogger(), 16))
	if err != nil {
		t.Fatal(err)
	}
	defer transport.Close()
	prefix := func(n uint32) string { return string(binary.BigEndian.AppendUint32(nil, n)) }
	for name, start := range map[string]string{
		"text": "garbage", "a frame of the size of others": prefix(maxFrameBytes), "a hello that is none": prefix(maxHelloBytes),
	} {
		t.Run(name, func(t *testing.T) {
			conn, peer := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, peer) }()
			written := make(chan int)
			go func() {
				total := 0
				for text := start; ; text = strings.Repeat("a", 1<<10) {
					n, err := io.WriteString(peer, text)
					total += n
					if err != nil {
						written <- total
						return
					}
				}
			}()
			if _, err := transport.handshake(conn); err == nil {
				t.Error("the handshake returned no error")
			}
			_ = conn.Close()
			if got, limit := <-written, headerBytes+maxHelloBytes; got > limit {
				t.Errorf("%d bytes were read, want at most %d", got, limit)
			}
		})
	}
}
