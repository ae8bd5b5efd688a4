package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

// crashReportSender delivers crash reports to the other daemons. For each daemon it
// keeps the requests whose reports are to be delivered and makes one call at a time. A
// failed call is repeated while the daemon is live; a daemon that was silent gets all
// reports when it returns.
type crashReportSender struct {
	members func() []exchange.Member // the other daemons
	live    func(exchange.Member) bool
	reports func([]quarantine.RequestKey) []quarantine.CrashReport
	call    func(ctx context.Context, address string, reports []quarantine.CrashReport) error

	ctx context.Context // nothing is sent once it is done

	mu      sync.Mutex
	pending map[string]map[quarantine.RequestKey]struct{} // by address of the daemon; present while deliver runs
}

func newCrashReportSender(members func() []exchange.Member, live func(exchange.Member) bool, reports func([]quarantine.RequestKey) []quarantine.CrashReport,
	call func(ctx context.Context, address string, reports []quarantine.CrashReport) error,
) *crashReportSender {
	return &crashReportSender{
		members: members, live: live, reports: reports, call: call, ctx: context.Background(), pending: make(map[string]map[quarantine.RequestKey]struct{}),
	}
}

// sendToAll delivers the crash reports of a request to all other daemons, without
// waiting.
func (s *crashReportSender) sendToAll(request quarantine.RequestKey) {
	for _, m := range s.members() {
		s.send(m, request)
	}
}

// send delivers the crash reports of some requests to one daemon, without waiting.
func (s *crashReportSender) send(m exchange.Member, requests ...quarantine.RequestKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending, delivering := s.pending[m.Peers]
	if !delivering {
		pending = make(map[quarantine.RequestKey]struct{})
		s.pending[m.Peers] = pending
		go s.deliver(m)
	}
	for _, r := range requests {
		pending[r] = struct{}{}
	}
}

// deliver sends what is pending for a daemon until nothing is left.
func (s *crashReportSender) deliver(m exchange.Member) {
	for {
		requests := s.take(m.Peers)
		if requests == nil {
			return
		}
		reports := s.reports(requests)
		if len(reports) == 0 || s.callWithTimeout(m.Peers, reports) == nil || !s.live(m) {
			continue
		}
		s.send(m, requests...)
		pause.For(s.ctx, heartbeatInterval)
	}
}

func (s *crashReportSender) callWithTimeout(address string, reports []quarantine.CrashReport) error {
	ctx, cancel := context.WithTimeout(s.ctx, peerTimeout)
	defer cancel()
	return s.call(ctx, address, reports)
}

// take removes and returns what is pending for a daemon. It returns nil, and drops the
// daemon's entry, if nothing is pending or ctx is done.
func (s *crashReportSender) take(address string) []quarantine.RequestKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.pending[address]
	if len(pending) == 0 || s.ctx.Err() != nil {
		delete(s.pending, address)
		return nil
	}
	s.pending[address] = make(map[quarantine.RequestKey]struct{})
	return slices.Collect(maps.Keys(pending))
}
