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
	// directoryMargin is added to the time for which callers cache directory answers.
	// It covers the transfer of the answer and a request that is being sent when the
	// answer expires.
	directoryMargin = 500 * time.Millisecond
)

// Drain starts a planned stop but doesn't end the process. It announces the stop to
// all daemons, which then omit this one from their directory answers. Once earlier
// answers have expired, this daemon refuses new work and the returned channel is
// closed. Further calls return the same channel.
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

// drain refuses new work and waits until the running requests have completed, at
// most for the DrainLimit of the settings. A caller that hangs is disconnected at that
// limit, or earlier when a write to it or a read from it times out.
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
