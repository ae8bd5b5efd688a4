package peer

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/event"
)

func listen(id string) *Transport {
	events := event.NewRecorder(id, event.NewClock(time.Now), log.NewNopLogger(), 16)
	t, err := Listen(Identity{ID: id, Incarnation: 1, PeerAddress: "127.0.0.1:0"}, events)
	So(err, ShouldBeNil)
	t.self.PeerAddress = t.ln.Addr().String()
	go t.Serve()
	return t
}

const testKind Kind = 999

func TestTransport(t *testing.T) {
	Convey("Given two transports", t, func() {
		a, b := listen("a"), listen("b")
		Reset(func() {
			a.Close()
			b.Close()
		})
		HandleTyped(b, testKind, func(_ context.Context, from Identity, s string) (any, error) {
			return from.ID + " said " + s, nil
		})
		Convey("a call is answered, and its handler knows the sender", func() {
			var got string
			So(a.Call(context.Background(), b.self.PeerAddress, testKind, "hello", &got), ShouldBeNil)
			So(got, ShouldEqual, "a said hello")
		})
		Convey("a body that does not decode is an error, and the handler is not called", func() {
			err := a.Call(context.Background(), b.self.PeerAddress, testKind, 7, nil)
			So(err, ShouldHaveSameTypeAs, &RemoteError{})
		})
		Convey("a kind without a handler is an error that names the peer", func() {
			err := a.Call(context.Background(), b.self.PeerAddress, 1000, "hello", nil)
			So(err, ShouldHaveSameTypeAs, &RemoteError{})
		})
		Convey("calls over a blocked link fail, and succeed once it is unblocked", func() {
			a.Block(func(address string) bool { return address == b.self.PeerAddress })
			So(a.Call(context.Background(), b.self.PeerAddress, testKind, "x", nil), ShouldNotBeNil)
			a.Block(nil)
			So(a.Call(context.Background(), b.self.PeerAddress, testKind, "x", nil), ShouldBeNil)
		})
	})
}

// TestCloseEndsHandshakes guards against a stopping daemon that waits for the handshake
// timeout of a silent peer.
func TestCloseEndsHandshakes(t *testing.T) {
	Convey("Given a peer that accepts connections and sends nothing", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		accepted := make(chan net.Conn, 1)
		go func() {
			c, err := listener.Accept()
			if err == nil {
				accepted <- c
			}
		}()
		a := listen("a")
		sent := make(chan error, 1)
		go func() { sent <- a.Send(context.Background(), listener.Addr().String(), testKind, "x") }()
		c := <-accepted
		a.Close()
		Convey("closing the transport aborts the handshake before its timeout", func() {
			var ne net.Error
			err := <-sent
			So(err, ShouldNotBeNil)
			So(errors.As(err, &ne) && ne.Timeout(), ShouldBeFalse)
			So(c.Close(), ShouldBeNil)
			So(listener.Close(), ShouldBeNil)
		})
	})
}

func FuzzReadFrame(f *testing.F) {
	var valid bytes.Buffer
	if _, err := writeFrame(&valid, &envelope{Kind: testKind, ID: 7, Body: []byte{0xc0}}); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Fuzz(func(t *testing.T, b []byte) {
		e, err := readFrame(bytes.NewReader(b), maxFrameBytes)
		if err == nil && e == nil {
			t.Fatal("readFrame returned neither a frame nor an error, want one of them")
		}
	})
}

func TestCallsAfterClose(t *testing.T) {
	Convey("A closed transport refuses messages, also those sent while it closes", t, func() {
		a, b := listen("a"), listen("b")
		var calls sync.WaitGroup
		for range 50 {
			calls.Go(func() { _ = a.Send(context.Background(), b.self.PeerAddress, testKind, "x") })
		}
		a.Close()
		calls.Wait()
		err := a.Send(context.Background(), b.self.PeerAddress, testKind, "x")
		So(errors.Is(err, ErrClosed), ShouldBeTrue)
		b.Close()
	})
}
