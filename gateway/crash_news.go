package gateway

import (
	"sync"
	"time"

	"github.com/vanillaroad/vanillaroad/quarantine"
)

const (
	// crashBatchDelay is the time in which crashes are collected for one broadcast: the loss of
	// a place ends many runs at once.
	crashBatchDelay = 30 * time.Millisecond
	// crashReportRepeats is the number of load reports that carry the crash reports besides, for
	// daemons that the broadcast doesn't reach.
	crashReportRepeats = 3
)

// crashNews spreads crash reports in fleets that are too large for a call to each daemon: by
// a broadcast, and with the next load reports, which take another way.
type crashNews struct {
	reports   func([]quarantine.RequestKey) []quarantine.CrashReport
	broadcast func([]quarantine.CrashReport)

	mu       sync.Mutex
	pending  []quarantine.RequestKey       // to be broadcast; not empty while a timer runs
	carrying map[quarantine.RequestKey]int // load reports that are still to carry it
}

func newCrashNews(reports func([]quarantine.RequestKey) []quarantine.CrashReport, broadcast func([]quarantine.CrashReport)) *crashNews {
	return &crashNews{reports: reports, broadcast: broadcast, carrying: make(map[quarantine.RequestKey]int)}
}

// add spreads the crash reports of a request.
func (n *crashNews) add(request quarantine.RequestKey) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.carrying[request] = crashReportRepeats
	n.pending = append(n.pending, request)
	if len(n.pending) == 1 {
		time.AfterFunc(crashBatchDelay, n.send)
	}
}

func (n *crashNews) send() {
	n.mu.Lock()
	pending := n.pending
	n.pending = nil
	n.mu.Unlock()
	if reports := n.reports(pending); len(reports) > 0 {
		n.broadcast(reports)
	}
}

// take returns the crash reports that the next load report carries.
func (n *crashNews) take() []quarantine.CrashReport {
	n.mu.Lock()
	var requests []quarantine.RequestKey
	for request, left := range n.carrying {
		requests = append(requests, request)
		if n.carrying[request] = left - 1; left == 1 {
			delete(n.carrying, request)
		}
	}
	n.mu.Unlock()
	if len(requests) == 0 {
		return nil
	}
	return n.reports(requests)
}
