package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// keepAlive detects a silent daemon after about two seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// Dial opens a connection to a target through the daemon that relays at address. onClose is
// called once when the connection is closed.
func Dial(ctx context.Context, address string, t Target, onClose func()) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		// Not wrapped: a refusal by the daemon must not look like one by the target.
		return nil, errors.Errorf("connect to relay %s: %s", address, err.Error())
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	s, err := handshake(raw, t)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil {
		err = s.err()
	}
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrapf(err, "relay %s to %s", address, t.ID)
	}
	return &conn{Conn: raw, onClose: sync.OnceFunc(onClose)}, nil
}

// handshake sends the request and reads its status.
func handshake(raw net.Conn, t Target) (status, error) {
	if err := writeRequest(raw, t); err != nil {
		return 0, errors.New(err.Error())
	}
	var s [1]byte
	if _, err := io.ReadFull(raw, s[:]); err != nil {
		return 0, errors.New("no status: " + err.Error())
	}
	return status(s[0]), nil
}
