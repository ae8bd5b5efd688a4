package crowd

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// Size of the crowds.
const (
	crowdSize = 120
	// manyConns is more than the descriptors that the daemon may use.
	manyConns = 600
)

// silence is the time after which a member of the crowd that can't write any more stays
// connected and writes nothing.
const silence = time.Second

// member is one hostile connection.
type member struct {
	net.Conn
	n int
}

// write writes text. It returns false if the connection is closed or its peer does not read.
func (m member) write(text string) bool {
	for len(text) > 0 {
		_ = m.SetWriteDeadline(time.Now().Add(silence))
		n, err := io.WriteString(m, text[:min(len(text), 64<<10)])
		if err != nil {
			return false
		}
		text = text[n:]
	}
	return true
}

// press runs a crowd: each of its connections does first, and when all have done so, those
// whose first returned true do then. All stay open until the test ends. What the daemon
// answers is not read, unless by these functions.
func press(t *testing.T, address string, size int, first, then func(m member) bool) {
	var firsts, thens sync.WaitGroup
	all := make(chan struct{})
	for n := range size {
		conn, err := net.DialTimeout("tcp", address, silence)
		if err != nil {
			continue // the daemon may accept no more
		}
		t.Cleanup(func() { _ = conn.Close() })
		m := member{conn, n}
		firsts.Add(1)
		thens.Go(func() {
			goesOn := first(m)
			firsts.Done()
			<-all
			if goesOn && then != nil {
				then(m)
			}
		})
	}
	firsts.Wait()
	close(all)
	thens.Wait()
	time.Sleep(silence) // for what the daemon does with what it has
}

// head returns the head of a request of a member with further header lines.
func head(m member, path, lines string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nVanillaroad-Request-Id: crowd-%d\r\n%s\r\n", path, m.n, lines)
}

func contentLength(n int64) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const chunked = "Transfer-Encoding: chunked\r\n"

var legalBody = strings.Repeat("b", maxBody)

// TestWholeBodies guards against a daemon that exceeds the memory of its VM when many
// callers send bodies of the largest legal size at once.
func TestWholeBodies(t *testing.T) {
	s := startSite(t)
	press(t, s.callers(), crowdSize, func(m member) bool {
		return m.write(head(m, "/c/held", contentLength(maxBody)) + legalBody[1:])
	}, func(m member) bool { return m.write("b") })
	s.check()
}

// TestBodiesWithoutTheirLastByte guards against bodies that are never complete and keep
// the memory of what has arrived.
func TestBodiesWithoutTheirLastByte(t *testing.T) {
	s := startSite(t)
	press(t, s.callers(), crowdSize, func(m member) bool {
		return m.write(head(m, "/c/call", contentLength(maxBody)) + legalBody[1:])
	}, nil)
	s.check()
}

// chunksOf returns n bytes in chunks of a size.
func chunksOf(size, n int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("c", size)), n/size)
}

func testChunks(t *testing.T, size int) {
	body := chunksOf(size, maxBody-16)
	s := startSite(t)
	press(t, s.callers(), crowdSize, func(m member) bool { return m.write(head(m, "/c/call", chunked) + body) }, nil)
	s.check()
}

// TestLargeChunksWithoutEnd and TestSmallChunksWithoutEnd guard against bodies without an
// announced length that are never complete.
func TestLargeChunksWithoutEnd(t *testing.T) { testChunks(t, 64<<10) }

func TestSmallChunksWithoutEnd(t *testing.T) { testChunks(t, 16) }

// TestBodiesFarOverTheLimit guards against bodies of many times the limit that are sent in
// chunks or announced.
func TestBodiesFarOverTheLimit(t *testing.T) {
	s := startSite(t)
	chunks := chunksOf(64<<10, 8*maxBody)
	press(t, s.callers(), crowdSize, func(m member) bool {
		if m.n%2 == 0 {
			return m.write(head(m, "/c/call", chunked) + chunks)
		}
		return m.write(head(m, "/c/call", contentLength(8*maxBody)) + strings.Repeat(legalBody, 8))
	}, nil)
	s.check()
}

// TestAnnouncedTebibytes guards against memory that is reserved for an announced length.
func TestAnnouncedTebibytes(t *testing.T) {
	s := startSite(t)
	press(t, s.callers(), crowdSize, func(m member) bool {
		return m.write(head(m, "/c/call", contentLength(1<<40)) + legalBody[1:])
	}, nil)
	s.check()
}

// TestHeadersWithoutEnd guards against headers that are far over the limit, of long lines
// or of very many short ones.
func TestHeadersWithoutEnd(t *testing.T) {
	s := startSite(t)
	press(t, s.callers(), crowdSize, func(m member) bool {
		text := "GET /c/call HTTP/1.1\r\nHost: h.example\r\n"
		if m.n%2 == 0 {
			return m.write(text + "A: " + strings.Repeat("h", 1<<20-100))
		}
		var lines strings.Builder
		for i := 0; lines.Len() < 1<<20-100; i++ {
			fmt.Fprintf(&lines, "%x:\r\n", i)
		}
		return m.write(text + lines.String())
	}, nil)
	s.check()
}

// TestSilentConnections guards against connections that send nothing and use up the
// descriptors.
func TestSilentConnections(t *testing.T) {
	s := startSite(t)
	press(t, s.callers(), manyConns, func(member) bool { return true }, nil)
	s.check()
}

// TestUnreadAnswers guards against large answers that their callers don't read.
func TestUnreadAnswers(t *testing.T) {
	s := startSite(t)
	press(t, s.callers(), crowdSize, func(m member) bool {
		return m.write(head(m, "/c/large", contentLength(0)))
	}, nil)
	s.check()
}

// TestRequestsBehindAnother guards against requests that are sent on a connection while
// another one on it is not answered, so that they wait in the kernel's buffers.
func TestRequestsBehindAnother(t *testing.T) {
	s := startSite(t)
	press(t, s.callers(), crowdSize, func(m member) bool {
		// The first bytes are read fast, so that the kernel enlarges the buffer.
		return m.write(head(m, "/c/held", contentLength(maxBody/2))+legalBody[:maxBody/2]) && m.write(strings.Repeat(legalBody, 2))
	}, nil)
	s.check()
}

// TestSlowUpload guards against limits that refuse a slow upload of the largest legal body
// while nothing else goes on.
func TestSlowUpload(t *testing.T) {
	s := startSite(t)
	testSlowUpload(t, s.callers(), head(member{}, "/c/call", contentLength(maxBody))+legalBody, maxBody)
	s.check()
}

// testPort runs several crowds at a port other than the callers'.
func testPort(t *testing.T, address func(s *site) string, path string) {
	for _, c := range []struct {
		name  string
		size  int
		first func(m member) bool
	}{
		{"silent connections", manyConns, func(member) bool { return true }},
		{"headers without end", crowdSize, func(m member) bool {
			return m.write("GET " + path + " HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("h", 1<<20-100))
		}},
		{"bodies", crowdSize, func(m member) bool { return m.write(head(m, path, contentLength(maxBody)) + legalBody[1:]) }},
		{"unread answers", crowdSize, func(m member) bool {
			return m.write(strings.Repeat("GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n", 50_000))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startSite(t)
			press(t, address(s), c.size, c.first, nil)
			s.await("http://" + address(s) + path)
			s.check()
		})
	}
}

// TestDirectoryPort, TestReadinessPort and TestOperationsPort guard against crowds at the
// other HTTP ports, which hold memory and descriptors of the same process.
func TestDirectoryPort(t *testing.T) {
	testPort(t, (*site).directory, "/-/resolve?name=h.example")
}

func TestReadinessPort(t *testing.T) { testPort(t, (*site).readiness, "/-/readiness") }

func TestOperationsPort(t *testing.T) { testPort(t, (*site).operations, "/metrics") }

// TestPeerPort guards against crowds at the port of the other daemons.
func TestPeerPort(t *testing.T) {
	for _, c := range peerCrowds() {
		t.Run(c.name, func(t *testing.T) {
			s := startSite(t)
			press(t, s.peers(), c.size, c.first, nil)
			s.check()
		})
	}
}
