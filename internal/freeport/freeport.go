// Package freeport returns free ports of the loopback interface to tests that have to know an
// address before the listener exists.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
)

// The ports are below the range from which systems choose the ports of outgoing connections and of
// listeners without a port (Linux: 32768 on). A port of that range that was free may be in use
// by a connection of another process when its listener is opened.
const (
	first = 20000
	count = 12000
)

var next atomic.Uint32

func init() { next.Store(rand.Uint32N(count)) }

// Address returns a free address of the loopback interface. It returns no address twice.
func Address() (string, error) {
	for range count {
		address := fmt.Sprintf("127.0.0.1:%d", first+next.Add(1)%count)
		l, err := net.Listen("tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("no free port from %d to %d", first, first+count-1)
}
