package node

import (
	"context"
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
)

// Timing of a planned stop.
const (
	drainPollInterval = 50 * time.Millisecond
	// announceTimeout bounds the announcement of a planned stop to all daemons.
	announceTimeout = 3 * time.Second
	// directoryMargin is added to the time that directory answers are kept: the
	// way to the caller, and a request that it is just sending.
	directoryMargin = 500 * time.Millisecond
)

// Drain starts a planned stop without ending the process: all daemons hear of
// it and drop this one from their directory answers; once old answers have
// expired it refuses new work. The channel is closed then.
func (n *Node) Drain() <-chan struct{} {
	if !n.draining.CompareAndSwap(false, true) {
		return n.refusalStarted
	}
	n.events.Record(event.NodeDraining, "")
	n.startShardHandover()
	n.spawn(func() {
		ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
		defer cancel()
		n.membership.leave(ctx)
		time.Sleep(n.settings.Membership.DirectoryTTL.Std() + directoryMargin)
		n.server.SetKeepAlivesEnabled(false)
		n.refusing.Store(true)
		close(n.refusalStarted)
	})
	return n.refusalStarted
}

// drain stops taking work and waits until what runs has ended, at most for the
// drain limit of the settings. A caller that hangs is cut then, or when a
// write to it or a read from it has timed out.
func (n *Node) drain() {
	refusalStarted := n.Drain()
	n.placement.releaseLeases()
	<-refusalStarted
	n.awaitShardHandover()
	deadline := time.Now().Add(n.settings.Membership.DrainLimit.Std())
	for n.requests.Load() > 0 || n.hub.Active() > 0 {
		if time.Now().After(deadline) {
			n.events.Record(event.DrainTimedOut, "", event.F("requests", strconv.FormatInt(n.requests.Load(), 10)))
			return
		}
		time.Sleep(drainPollInterval)
	}
}
