package relay

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
)

// relayThrough starts a server whose connections to targets are made by connect.
func relayThrough(t *testing.T, connect func(context.Context, Target) (net.Conn, error), linksWork bool) (*Server, string) {
	s := &Server{Connect: connect, LinksWork: func(context.Context, Target) bool { return linksWork }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() {
		_ = l.Close()
		s.Close()
	})
	return s, l.Addr().String()
}

// targetPair returns a connection to a target and the target's end of it.
func targetPair(t *testing.T) (conn, target net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if conn, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if target, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = conn.Close()
		_ = target.Close()
	})
	return conn, target
}

func TestRelay(t *testing.T) {
	Convey("Given a relayed connection to a target", t, func() {
		conn, target := targetPair(t)
		server, address := relayThrough(t, func(context.Context, Target) (net.Conn, error) { return conn, nil }, true)
		closed := 0
		relayed, err := Dial(t.Context(), address, Target{ID: "i-1", Address: "10.0.0.1:1"}, func() { closed++ })
		So(err, ShouldBeNil)
		defer func() { _ = relayed.Close() }()

		Convey("bytes pass in both directions, and an orderly end is one", func() {
			_, err := io.WriteString(relayed, "request")
			So(err, ShouldBeNil)
			got := make([]byte, len("request"))
			_, err = io.ReadFull(target, got)
			So(err, ShouldBeNil)
			So(string(got), ShouldEqual, "request")
			answer := make([]byte, 3*maxFrameBytes)
			_, err = target.Write(answer)
			So(err, ShouldBeNil)
			So(target.Close(), ShouldBeNil)
			received, err := io.ReadAll(relayed)
			So(err, ShouldBeNil)
			So(len(received), ShouldEqual, len(answer))
		})
		Convey("the end of the relaying daemon breaks the connection: no answer looks complete", func() {
			_, err := io.WriteString(target, "part")
			So(err, ShouldBeNil)
			_, err = io.ReadFull(relayed, make([]byte, len("part")))
			So(err, ShouldBeNil)
			server.Close()
			_, err = relayed.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
			So(errors.Is(err, io.EOF), ShouldBeFalse)
		})
		Convey("a reset by the target is no orderly end", func() {
			So(target.(*net.TCPConn).SetLinger(0), ShouldBeNil)
			So(target.Close(), ShouldBeNil)
			_, err := io.ReadAll(relayed)
			So(err, ShouldNotBeNil)
		})
		Convey("closing it closes the connection to the target once", func() {
			So(relayed.Close(), ShouldBeNil)
			_ = relayed.Close()
			So(closed, ShouldEqual, 1)
			_, err := target.Read(make([]byte, 1))
			So(err, ShouldNotBeNil)
		})
		Convey("a server that stops accepts no further ones, and this one goes on", func() {
			server.Stop()
			_, err := Dial(t.Context(), address, Target{ID: "i-1"}, func() {})
			So(err, ShouldNotBeNil)
			_, err = io.WriteString(target, "x")
			So(err, ShouldBeNil)
			_, err = io.ReadFull(relayed, make([]byte, 1))
			So(err, ShouldBeNil)
		})
	})
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	for _, c := range []struct {
		name      string
		err       error
		linksWork bool
		want      error
	}{
		{"refused while other targets are reached", refused, true, ErrNotListening},
		{"refused while no other target is reached", refused, false, ErrUnreachable},
		{"in time not connected", context.DeadlineExceeded, true, ErrUnreachable},
		{"not registered", ErrRejected, true, ErrRejected},
	} {
		Convey("A target that is "+c.name, t, func() {
			_, address := relayThrough(t, func(context.Context, Target) (net.Conn, error) { return nil, c.err }, c.linksWork)
			_, err := Dial(t.Context(), address, Target{ID: "i-1"}, func() {})
			So(errors.Is(err, c.want), ShouldBeTrue)
		})
	}
	Convey("No connection of the relaying daemon counts as a refusal by the target", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(l.Close(), ShouldBeNil)
		_, err = Dial(t.Context(), l.Addr().String(), Target{ID: "i-1"}, func() {})
		So(err, ShouldNotBeNil)
		So(errors.Is(err, syscall.ECONNREFUSED), ShouldBeFalse)
	})
	Convey("Bytes that are no request are rejected", t, func() {
		_, address := relayThrough(t, func(context.Context, Target) (net.Conn, error) { return nil, ErrRejected }, true)
		raw, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		defer func() { _ = raw.Close() }()
		_, err = io.WriteString(raw, "GET / HTTP/1.1\r\n\r\n")
		So(err, ShouldBeNil)
		So(raw.SetReadDeadline(time.Now().Add(time.Minute)), ShouldBeNil)
		_, err = raw.Read(make([]byte, 1))
		So(err, ShouldNotBeNil)
	})
}
