package target

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// rawTarget is a raw TCP target that reads the head of a request, sends an answer, and closes or
// resets the connection.
func rawTarget(t *testing.T, answer string, reset bool) *Client {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for line := ""; line != "\r\n"; {
					if line, err = r.ReadString('\n'); err != nil {
						return
					}
				}
				_, _ = io.WriteString(c, answer)
				time.Sleep(20 * time.Millisecond) // so that the answer is read first
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	client := NewClient(l.Addr().String())
	t.Cleanup(client.Close)
	return client
}

// TestReplyDuringUpload guards against a part of a reply that passes for the complete one since
// its target answered before it had the whole call, and then reset the connection.
func TestReplyDuringUpload(t *testing.T) {
	for range 20 {
		client := rawTarget(t, "HTTP/1.1 200 OK\r\n\r\npart", true)
		reply, err := client.Call(context.Background(), Call{Body: strings.Repeat("a", 16<<20)})
		if err == nil {
			t.Fatalf("the part %q looks complete", reply.Body)
		}
	}
}

// TestInvalidStatus guards against a reply with a status that HTTP does not have.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "1000", "20x", "", "600"} {
		reply, err := rawTarget(t, "HTTP/1.1 "+status+" OK\r\nContent-Length: 5\r\n\r\nhello", false).Call(context.Background(), Call{})
		if err == nil {
			t.Errorf("status %q is passed on as %d", status, reply.Status)
		}
	}
}
