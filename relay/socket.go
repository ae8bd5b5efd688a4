package relay

import (
	"net"

	"golang.org/x/sys/unix"
)

// reset lets the next close break the connection.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// undelivered reports whether bytes that were written to a connection have not arrived.
func undelivered(c net.Conn) bool {
	n := 0
	control(c, func(fd int) { n, _ = unix.IoctlGetInt(fd, unix.TIOCOUTQ) }) // 0 if the connection is closed
	return n > 0
}

// isReset reports whether the peer has reset a connection, or closed it and nothing is left to be
// read. It reads nothing.
func isReset(c net.Conn) (ended bool) {
	control(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err != nil || info.State != unix.BPF_TCP_ESTABLISHED
	})
	return ended
}

// control calls f with the descriptor of a TCP connection, unless it is closed.
func control(c net.Conn, f func(fd int)) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // not called if the connection is closed
}
