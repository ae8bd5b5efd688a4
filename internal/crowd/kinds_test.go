package crowd

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// endlessBytes is what a member sends of a head that has no end. It is far over every limit of a
// head.
const endlessBytes = 1 << 20

// endlessHeads returns heads of requests without an end, by name.
func endlessHeads(path string) map[string]string {
	head := "POST " + path + " HTTP/1.1\r\nHost: h.example\r\n"
	var fields strings.Builder
	for i := 0; fields.Len() < endlessBytes; i++ {
		_, _ = fmt.Fprintf(&fields, "%x:\r\n", i)
	}
	return map[string]string{
		"many fields":    head + fields.String(),
		"a long field":   head + "A: " + strings.Repeat("h", endlessBytes),
		"empty lines":    strings.Repeat("\r\n", endlessBytes/2),
		"a request line": "POST /" + strings.Repeat("h", endlessBytes),
	}
}

// frame returns a frame of the protocol of daemons with a body, of which a part is sent.
func frame(body string, sent int) string {
	return string(binary.BigEndian.AppendUint32(nil, uint32(len(body)))) + body[:sent]
}

// greet takes up a connection to the port of the daemons: it returns the daemon's own hello.
func greet(m member) bool {
	_ = m.SetReadDeadline(time.Now().Add(silence))
	var prefix [4]byte
	if _, err := io.ReadFull(m, prefix[:]); err != nil {
		return false
	}
	hello := make([]byte, min(binary.BigEndian.Uint32(prefix[:]), 4<<10))
	if _, err := io.ReadFull(m, hello); err != nil {
		return false
	}
	return m.write(string(prefix[:]) + string(hello))
}

// peerCrowd is a crowd at the port of the other daemons.
type peerCrowd struct {
	name  string
	size  int
	first func(m member) bool
}

func peerCrowds() []peerCrowd {
	largest := strings.Repeat("f", 4<<20)
	// A call without a handler, whose responses are not read: {"k": 999, "i": 1}.
	call := frame("\x82\xa1k\xcd\x03\xe7\xa1i\x01", 9)
	return []peerCrowd{
		{"silent connections", manyConns, func(member) bool { return true }},
		{"connections after their hello", manyConns, greet},
		{"frames without their last byte", crowdSize, func(m member) bool { return greet(m) && m.write(frame(largest, len(largest)-1)) }},
		{"unread answers", crowdSize, func(m member) bool { return greet(m) && m.write(strings.Repeat(call, 200_000)) }},
	}
}

// testSlowUpload sends a request with a body of the given size in parts, with pauses that are
// longer than any stall, and expects it to be served.
func testSlowUpload(t *testing.T, address, request string, body int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	m := member{conn, 0}
	sent := 0
	for _, end := range []int{10, 100_000, body / 4, body / 2, len(request) - 100_000, len(request) - 1, len(request)} {
		if !m.write(request[sent:end]) {
			t.Fatalf("the connection is closed after %d bytes", sent)
		}
		sent = end
		time.Sleep(2 * silence)
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		t.Errorf("status %d, want 200", answer.StatusCode)
	}
}
