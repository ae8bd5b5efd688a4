package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/ingress"
	"github.com/vanillaroad/vanillaroad/internal/membudget"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/origin"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

// simDaemon is one incarnation of a daemon.
type simDaemon struct {
	*forward.Forwarder
	id          string
	incarnation uint64
	tracker     *crashTracker
	sender      *crashReportSender
	ctx         context.Context // done when the incarnation ends
	kill        context.CancelFunc

	mu      sync.Mutex
	members *exchange.MemberList
}

// live reports whether another daemon has sent a heartbeat recently.
func (d *simDaemon) live(m exchange.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members.Live(time.Now(), m.ID)
}

// receiveHeartbeat handles a heartbeat that another daemon sent to d.
func (s *poisonFleet) receiveHeartbeat(d, from *simDaemon) {
	now := time.Now()
	from.mu.Lock()
	heardAgain := from.members.HeardAgain(now)
	from.mu.Unlock()
	d.mu.Lock()
	_, update := d.members.RecordHeartbeat(now, from.id, from.incarnation, false)
	update = d.members.RecordHeardAgain(now, from.id, heardAgain) || update
	d.mu.Unlock()
	if requests := d.tracker.requests(); update && len(requests) > 0 {
		d.sender.send(exchange.Member{ID: from.id, Peers: from.id}, requests...)
	}
	if sound := d.tracker.soundSuspects(); update && len(sound) > 0 && !s.silent(from.id) {
		from.tracker.applySound(d.id, sound)
	}
}

// tick does at each heartbeat what the daemons do.
func (s *poisonFleet) tick(ctx context.Context) {
	for pause.For(ctx, heartbeatInterval) {
		for _, d := range s.running() {
			d.tracker.resolveLosses(time.Now())
			for _, other := range s.running() {
				if other != d && !s.silent(other.id) {
					s.receiveHeartbeat(other, d)
				}
			}
		}
	}
}

// running returns the incarnations of the daemons that run now.
func (s *poisonFleet) running() []*simDaemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.daemons)
}

// restartDaemons ends a number of daemons, with the requests that they serve, and starts new
// incarnations after a time.
func (s *poisonFleet) restartDaemons(n int, downtime time.Duration) (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := s.daemons[:min(n, len(s.daemons))]
	s.daemons = slices.Clone(s.daemons[len(ended):])
	for _, d := range ended {
		d.kill()
		ids = append(ids, d.id)
	}
	time.AfterFunc(downtime, func() {
		for _, id := range ids {
			s.startDaemon(id)
		}
	})
	return ids
}

// startDaemon starts an incarnation of a daemon, which knows all engines.
func (s *poisonFleet) startDaemon(id string) {
	d := s.newDaemon(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		if !e.replaced {
			d.Fleet.Put(e.target)
		}
	}
	s.daemons = append(s.daemons, d)
}

func (s *poisonFleet) newDaemon(id string) *simDaemon {
	now := time.Now()
	d := &simDaemon{id: id, incarnation: uint64(now.UnixNano())}
	d.members = exchange.NewMemberList(id, d.incarnation)
	for i := range maxSimDaemons {
		other := fmt.Sprint("vm-", i)
		d.members.Put(now, exchange.Member{ID: other, Peers: other})
	}
	d.ctx, d.kill = context.WithCancel(context.Background())
	events := event.NewRecorder(id, event.NewClock(time.Now), log.NewNopLogger(), 16)
	f := fleet.New("place-0", uint64(s.randomDuration(time.Hour)))
	d.sender = newCrashReportSender(func() []exchange.Member { return s.others(d) }, d.live,
		func(requests []quarantine.RequestKey) []quarantine.CrashReport { return d.tracker.reportsOn(requests) },
		func(ctx context.Context, address string, reports []quarantine.CrashReport) error {
			return s.deliver(ctx, d, address, reports)
		})
	d.sender.ctx = d.ctx
	var v *verdicts
	d.tracker = newCrashTracker(events, d.sender.sendToAll, func(request quarantine.RequestKey) { v.save(request) })
	v = newVerdicts(&s.store, events, d.tracker)
	d.tracker.saveParts = v.saveParts
	d.tracker.runsTrials = func(b quarantine.Blame) bool {
		var ids []string
		for i := range maxSimDaemons {
			ids = append(ids, fmt.Sprint("vm-", i))
		}
		return trialDaemon(b, ids) == id
	}
	d.tracker.sendSound = func(parts soundParts) { s.sendSound(d, parts) }
	v.ctx = d.ctx
	go v.load(d.ctx)
	d.Forwarder = &forward.Forwarder{
		TargetClient: s, Fleet: f, Events: events, Metrics: metrics.NewRegistry(), CrashTracker: d.tracker, Origins: singleVersion{},
		Prober: forward.NewProber(s, f, events), CacheLocator: forward.NewCacheLocator(s), PlacementLimiter: forward.NewPlacementLimiter(),
		RetryBudget: forward.NewRetryBudget(time.Now().Add(-time.Minute), forward.RetryBudgetSettings{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}),
		Buffers:     membudget.New(forward.MaxBufferedBytes),
		Model:       func(string) *ingress.Model { return nil },
	}
	d.RetryBudget.SetDaemons(1)
	return d
}

// others returns the members other than d.
func (s *poisonFleet) others(d *simDaemon) (out []exchange.Member) {
	for _, other := range s.running() {
		if other.id != d.id {
			out = append(out, exchange.Member{ID: other.id, Peers: other.id})
		}
	}
	return out
}

// deliver makes a call with crash reports to the daemon at address.
func (s *poisonFleet) deliver(ctx context.Context, from *simDaemon, address string, reports []quarantine.CrashReport) error {
	for _, d := range s.running() {
		if d.id != address {
			continue
		}
		if s.silent(d.id) {
			<-ctx.Done()
			return ctx.Err()
		}
		time.Sleep(s.randomDuration(maxLatency))
		d.tracker.applyReports(from.id, reports)
		return nil
	}
	return errNotListening
}

// sendSound sends the parts of requests that run well to the other daemons.
func (s *poisonFleet) sendSound(from *simDaemon, parts soundParts) {
	for _, d := range s.running() {
		if d.id != from.id && !s.silent(d.id) {
			time.AfterFunc(s.randomDuration(maxLatency), func() { d.tracker.applySound(from.id, parts) })
		}
	}
}

// silence lets the link to a daemon lose all messages for a time.
func (s *poisonFleet) silence(id string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentUntil[id] = time.Now().Add(d)
}

// silent reports whether the link to a daemon loses messages now.
func (s *poisonFleet) silent(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.silentUntil[id])
}

// singleVersion is the forward.OriginTracker of daemons whose targets all have one software
// version.
type singleVersion struct{}

func (singleVersion) Record(string, origin.Origin) {}
func (singleVersion) Find(_ context.Context, _, service string) (origin.Origin, bool, error) {
	return origin.Origin{Service: service}, true, nil
}
