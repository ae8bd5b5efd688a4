package crowd

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
)

// apiHead returns the head of a member's request to the API.
func apiHead(path, lines string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Type: application/json\r\n%s\r\n", path, lines)
}

const generations = "/v1/generations"

// legalAPIBody is the body of a generation of the largest legal size, but for the id.
var legalAPIBody = generationBody("crowd", maxAPIBody)

// legalGeneration returns the same body with the id of a member.
func legalGeneration(m member) string {
	id := fmt.Sprintf("%05d", m.n)
	return strings.Replace(legalAPIBody, "crowd", id, 1)
}

// TestNodeWholeBodies guards against a daemon that exceeds the memory of its VM when many
// callers send requests of the largest legal size at once.
func TestNodeWholeBodies(t *testing.T) {
	s := startNode(t)
	press(t, s.api(), crowdSize, func(m member) bool {
		return m.write(apiHead(generations, contentLength(maxAPIBody))) && m.write(legalGeneration(m))
	}, nil)
	s.check()
}

// TestNodeWholeConfirmations is TestNodeWholeBodies with calls of a plain service, which is idempotent,
// since a single daemon issues no keys.
func TestNodeWholeConfirmations(t *testing.T) {
	s := startNode(t)
	text := strings.Repeat("b", maxAPIBody-1000)
	press(t, s.api(), crowdSize, func(m member) bool {
		head := fmt.Sprintf(`{"key":"crowd-%d","workspace":"fair","service":"sejemski-vpis","body":"`, m.n)
		length := contentLength(int64(len(head) + len(text) + 2))
		return m.write(apiHead("/v1/confirmations", length)+head) && m.write(text) && m.write(`"}`)
	}, nil)
	s.check()
}

// TestNodeBodiesWithoutTheirLastByte guards against bodies that are never complete and keep
// the memory of what has arrived.
func TestNodeBodiesWithoutTheirLastByte(t *testing.T) {
	s := startNode(t)
	press(t, s.api(), crowdSize, func(m member) bool {
		return m.write(apiHead(generations, contentLength(maxAPIBody))) && m.write(legalAPIBody[:maxAPIBody-1])
	}, nil)
	s.check()
}

// chunksFrom returns a body in chunks of a size, without the last chunk.
func chunksFrom(body string, size int) string {
	var b strings.Builder
	for len(body) > 0 {
		n := min(size, len(body))
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return b.String()
}

func testNodeChunks(t *testing.T, size int) {
	s := startNode(t)
	body := chunksFrom(legalAPIBody[:maxAPIBody-1], size)
	press(t, s.api(), crowdSize, func(m member) bool { return m.write(apiHead(generations, chunked)) && m.write(body) }, nil)
	s.check()
}

// TestNodeLargeChunksWithoutEnd and TestNodeSmallChunksWithoutEnd guard against bodies without
// an announced length that are never complete.
func TestNodeLargeChunksWithoutEnd(t *testing.T) { testNodeChunks(t, 64<<10) }

func TestNodeSmallChunksWithoutEnd(t *testing.T) { testNodeChunks(t, 16) }

// TestNodeSmallElements guards against bodies of very many small elements, whose decoded form
// takes far more memory than the body.
func TestNodeSmallElements(t *testing.T) {
	prefix := `{"id":"%05d","workspace":"fair","service":"pisar","max_tokens":4,"prompt":"p",`
	repeated := func(element string) string { return strings.Repeat(element, (maxAPIBody-200)/len(element)) }
	var labels strings.Builder
	for i := 0; labels.Len() < maxAPIBody-200; i++ {
		_, _ = fmt.Fprintf(&labels, `"%x":"",`, i)
	}
	for _, c := range []struct{ name, path, head, elements, tail string }{
		{"held tokens", generations, prefix + `"held":[`, repeated(`"",`), `""]}`},
		{"labels", generations, prefix + `"labels":{`, labels.String(), `"z":""}}`},
		{"a configuration", "/v1/configuration", `{"base_version":%d,"document":[`, repeated(`{},`), `{}]}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startNode(t)
			press(t, s.api(), crowdSize, func(m member) bool {
				head := fmt.Sprintf(c.head, m.n)
				length := contentLength(int64(len(head) + len(c.elements) + len(c.tail)))
				return m.write(apiHead(c.path, length)+head) && m.write(c.elements) && m.write(c.tail)
			}, nil)
			s.check()
		})
	}
}

// TestNodeCallersThatLeave guards against requests whose callers leave once they have sent them,
// and come back with others: a request that is being served keeps its memory.
func TestNodeCallersThatLeave(t *testing.T) {
	s := startNode(t)
	for wave := range 4 {
		press(t, s.api(), crowdSize/2, func(m member) bool {
			m.n += wave * crowdSize
			sent := m.write(apiHead(generations, contentLength(maxAPIBody))) && m.write(legalGeneration(m))
			_ = m.Close()
			return sent
		}, nil)
	}
	s.check()
}

// TestNodeRetainedAnswers guards against final answers of very many empty tokens that are kept for
// callers who could reconnect: each caller holds all tokens of its answer already, so that it ends
// at once.
func TestNodeRetainedAnswers(t *testing.T) {
	s := startNode(t)
	held := strings.Repeat(`"",`, 100_000) + `""`
	for n := range 3 * crowdSize { // one after the other, so that none is refused
		body := fmt.Sprintf(`{"id":"held-%d","workspace":"fair","service":"pisar","max_tokens":1,"prompt":"p","held":[`, n) + held + "]}"
		s.attempt(func(ctx context.Context, _ int) bool { return s.generate(ctx, body) })
	}
	s.check()
}

// TestNodeHeadersWithoutEnd guards against heads that never end: long or many header fields,
// empty lines before a request, and a long request line.
func TestNodeHeadersWithoutEnd(t *testing.T) {
	for name, text := range endlessHeads(generations) {
		t.Run(name, func(t *testing.T) {
			s := startNode(t)
			press(t, s.api(), crowdSize, func(m member) bool { return m.write(text) }, nil)
			s.check()
		})
	}
}

// TestNodeSilentConnections guards against connections that send nothing and use up the
// descriptors.
func TestNodeSilentConnections(t *testing.T) {
	s := startNode(t)
	press(t, s.api(), manyConns, func(member) bool { return true }, nil)
	s.check()
}

// TestNodeTricklingBodies is TestTricklingBodies for a daemon of the API.
func TestNodeTricklingBodies(t *testing.T) {
	s := startNode(t)
	press(t, s.api(), manyConns, func(m member) bool { return trickle(m, apiHead(generations, contentLength(maxAPIBody))) }, nil)
	s.check()
}

// TestNodeUnreadAnswers guards against answers that their callers don't read.
func TestNodeUnreadAnswers(t *testing.T) {
	long := strings.Replace(generationBody("crowd", 200), `"max_tokens":4`, `"max_tokens":100000`, 1)
	for _, c := range []struct {
		name  string
		first func(m member) bool
	}{
		{"of generations", func(m member) bool {
			body := strings.Replace(long, "crowd", fmt.Sprintf("%05d", m.n), 1)
			return m.write(apiHead(generations, contentLength(int64(len(body)))) + body)
		}},
		{"of the status", func(m member) bool {
			return m.write(strings.Repeat("GET /v1/status HTTP/1.1\r\nHost: h\r\n\r\n", 50_000))
		}},
		{"of the events", func(m member) bool {
			return m.write(strings.Repeat("GET /v1/events HTTP/1.1\r\nHost: h\r\n\r\n", 50_000))
		}},
		{"of the metrics", func(m member) bool {
			return m.write(strings.Repeat("GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 50_000))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startNode(t)
			press(t, s.api(), crowdSize, c.first, nil)
			s.check()
		})
	}
}

// TestNodeUnreadEvents guards against long answers for operators that very many callers ask for and
// don't read.
func TestNodeUnreadEvents(t *testing.T) {
	s := newNode(t)
	s.maxFDs = 4100
	s.start("vanillaroadd", s.writeNodeSettings(map[string]any{"max_fds": s.maxFDs}))
	s.awaitServing()
	for range 1000 { // fill the list of events
		s.ordinaryRequest()
	}
	press(t, s.api(), manyConns, func(m member) bool {
		return m.write(strings.Repeat("GET /v1/events HTTP/1.1\r\nHost: h\r\n\r\n", 1000))
	}, nil)
	s.attempt(func(ctx context.Context, n int) bool {
		return requestServed(ctx, "http://"+s.api()+"/v1/events", n, nil)
	})
	s.check()
}

// TestNodePeerPort guards against crowds at the port of the other daemons.
func TestNodePeerPort(t *testing.T) {
	for _, c := range peerCrowds() {
		t.Run(c.name, func(t *testing.T) {
			s := startNode(t)
			press(t, s.peers(), c.size, c.first, nil)
			s.check()
		})
	}
}

// TestNodeMixedCrowd guards against several kinds of misbehaviour at once.
func TestNodeMixedCrowd(t *testing.T) {
	s := startNode(t)
	heads := endlessHeads(generations)
	chunks := chunksFrom(legalAPIBody[:maxAPIBody-1], 64<<10)
	press(t, s.api(), 2*crowdSize, func(m member) bool {
		switch m.n % 6 {
		case 0:
			return m.write(apiHead(generations, contentLength(maxAPIBody))) && m.write(legalGeneration(m))
		case 1:
			return m.write(apiHead(generations, contentLength(maxAPIBody))) && m.write(legalAPIBody[:maxAPIBody-1])
		case 2:
			return m.write(apiHead(generations, chunked)) && m.write(chunks)
		case 3:
			return m.write(heads["empty lines"])
		case 4:
			return m.write(heads["many fields"])
		}
		return true
	}, nil)
	s.check()
}

// TestNodeSlowUpload guards against limits that refuse a slow upload of the largest legal body
// while nothing else goes on.
func TestNodeSlowUpload(t *testing.T) {
	s := startNode(t)
	body := generationBody("slow", maxAPIBody)
	testSlowUpload(t, s.api(), apiHead(generations, contentLength(maxAPIBody))+body, maxAPIBody)
	s.check()
}

// TestNodeStopsBesideACrowd guards against a stop that waits for callers who never complete their
// requests.
func TestNodeStopsBesideACrowd(t *testing.T) {
	s := startNode(t)
	press(t, s.api(), crowdSize, func(m member) bool {
		if m.n%2 == 0 {
			return m.write(endlessHeads(generations)["empty lines"])
		}
		return m.write(apiHead(generations, contentLength(maxAPIBody))) && m.write(legalAPIBody[:maxAPIBody-1])
	}, nil)
	s.ordinaryRequest()
	_ = s.process.Signal(syscall.SIGTERM)
	press(t, s.api(), crowdSize, func(m member) bool {
		return m.write(apiHead(generations, contentLength(maxAPIBody))) && m.write(legalAPIBody[:maxAPIBody-1])
	}, nil)
	<-s.ended
	s.checkBounds()
}
