package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/trace"
)

// Message kinds of membership.
const (
	kindProbe         = peer.MembershipBase + iota // Message, answered by Message
	kindIndirectProbe                              // probeRequest, answered by bool
	kindSync                                       // Digest, answered by []Rumor
	kindVMList                                     // vmListRequest, answered by vmListReply
	kindNotice                                     // notice
)

// membershipRunner connects the membership state machine to the transport.
type membershipRunner struct {
	n        *Node
	machine  *membership.Machine // owned by the control loop
	revision int64               // of the published view; owned by the control loop
	vmList   vmListReader
	ctx      atomic.Pointer[context.Context] // nil until the daemon runs
}

func (n *Node) buildMembership() {
	args := membership.Made{Self: n.self, Settings: n.settings.Membership, Seed: rand.Uint64()}
	m := &membershipRunner{n: n, machine: membership.New(args), revision: -1}
	m.vmList.init(n)
	n.membership = m
	n.trace.RecordInit(membership.TraceSlice, n.self.ID, time.Now(), args)
	n.view.Store(m.machine.View())
	peer.HandleTyped(n.transport, kindProbe, m.serveProbe)
	peer.HandleTyped(n.transport, kindIndirectProbe, m.serveIndirectProbe)
	peer.HandleTyped(n.transport, kindSync, m.serveSync)
	peer.HandleTyped(n.transport, kindVMList, m.vmList.serve)
	peer.HandleTyped(n.transport, kindNotice, m.serveNotice)
	n.loop.Every(membership.ProbePeriod, func(now time.Time) { m.step(now, membership.Tick{}) })
}

func (n *Node) runMembership(ctx context.Context) {
	n.membership.ctx.Store(&ctx)
	n.spawn(func() { n.membership.vmList.run(ctx) })
	n.spawn(func() { n.membership.syncWithSeeds(ctx) })
}

// step passes an input to the machine, publishes the view and executes the decisions.
// It returns the reply among the decisions, if any. It must run on the control loop.
func (m *membershipRunner) step(now time.Time, in membership.Input) *membership.Message {
	decisions := m.machine.Step(now, in)
	trace.Record(m.n.trace, membership.TraceSlice, m.n.self.ID, now, in, decisions)
	if r := m.machine.Revision(); r != m.revision {
		m.revision = r
		view := m.machine.View()
		m.n.view.Store(view)
		m.updateMetrics(view)
	}
	var reply *membership.Message
	for _, d := range decisions {
		if r, ok := d.(membership.Reply); ok {
			reply = &r.Message
			continue
		}
		m.execute(d)
	}
	return reply
}

// updateMetrics updates the gauges of membership, configuration and peer traffic.
func (m *membershipRunner) updateMetrics(v *membership.View) {
	gauge := func(name string, value int64) { metrics.GetOrRegisterGauge(name, m.n.metrics).Update(value) }
	counts := make(map[membership.State]int64)
	for _, member := range v.Members {
		counts[member.State]++
	}
	for _, s := range []membership.State{membership.Alive, membership.Starting, membership.Suspect, membership.Leaving} {
		gauge("membership."+string(s), counts[s])
	}
	isolated := int64(0)
	if v.Isolated {
		isolated = 1
	}
	gauge("membership.isolated", isolated)
	gauge("configuration.version", m.n.snapshot.Load().Version)
	gauge("peer.bytes.membership", m.n.transport.Traffic(peer.MembershipBase))
	gauge("peer.bytes.configuration", m.n.transport.Traffic(peer.ConfigurationBase))
}

// post posts an input to the control loop.
func (m *membershipRunner) post(in membership.Input) {
	_ = m.n.loop.Post(func(now time.Time) { m.step(now, in) })
}

func (m *membershipRunner) execute(d membership.Decision) {
	switch d := d.(type) {
	case membership.Probe:
		m.run(func(ctx context.Context) { m.probe(ctx, d) })
	case membership.ProbeVia:
		m.run(func(ctx context.Context) { m.probeVia(ctx, d) })
	case membership.Sync:
		m.run(func(ctx context.Context) { m.sync(ctx, d.Address) })
	case membership.Changed:
		m.recordChange(d)
		if d.What == membership.Ready {
			self := m.machine.Self()
			m.run(func(ctx context.Context) { m.broadcast(ctx, self, membership.FullRing()) })
		}
	}
}

// run runs fn on a goroutine of its own. It does nothing before the daemon runs and
// after it stopped.
func (m *membershipRunner) run(fn func(ctx context.Context)) {
	ctx := m.ctx.Load()
	if ctx == nil || (*ctx).Err() != nil {
		return
	}
	m.n.spawn(func() { fn(*ctx) })
}

var changeEvents = map[membership.Change]event.Number{
	membership.Joined: event.MemberJoined, membership.Suspected: event.MemberLost,
	membership.Returned: event.MemberReturned, membership.LeaveAnnounced: event.MemberLeaving,
	membership.Ready: event.MemberReady, membership.Ended: event.MemberRemoved, membership.Isolated: event.Isolated, membership.Rejoined: event.Rejoined,
}

func (m *membershipRunner) recordChange(c membership.Changed) {
	m.n.events.Record(changeEvents[c.What], "", event.F("member", c.ID))
}

func (m *membershipRunner) probe(ctx context.Context, p membership.Probe) {
	ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	var reply membership.Message
	err := m.n.transport.Call(ctx, p.Address, kindProbe, p.Message, &reply)
	if err == nil {
		m.handleMessage(reply)
	}
	m.post(membership.Probed{ID: p.ID, OK: err == nil})
}

// handleMessage handles a message that needs no reply.
func (m *membershipRunner) handleMessage(msg membership.Message) {
	m.post(membership.Heard{Message: msg})
	m.n.observeVersion(msg.From.Version, msg.From.PeerAddress)
}

// probeRequest requests that the receiver probes another daemon.
type probeRequest struct {
	ID      string `msgpack:"i"`
	Address string `msgpack:"a"`
}

func (m *membershipRunner) probeVia(ctx context.Context, p membership.ProbeVia) {
	ctx, cancel := context.WithTimeout(ctx, membership.IndirectTimeout)
	defer cancel()
	var ok bool
	err := m.n.transport.Call(ctx, p.ViaAddress, kindIndirectProbe, probeRequest{p.ID, p.Address}, &ok)
	m.post(membership.Probed{ID: p.ID, Via: p.Via, Asked: err == nil, OK: err == nil && ok})
}

func (m *membershipRunner) sync(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, membership.IndirectTimeout)
	defer cancel()
	digest, err := control.Call(ctx, m.n.loop, func(time.Time) membership.Digest { return m.machine.Digest() })
	if err != nil {
		return false
	}
	var rumors []membership.Rumor
	if err := m.n.transport.Call(ctx, address, kindSync, digest, &rumors); err != nil {
		return false
	}
	m.post(membership.Synced{Rumors: rumors})
	return true
}

// seedRetryInterval is the pause after a sync with each of the seeds has failed.
const seedRetryInterval = 2 * time.Second

// syncWithSeeds gets the members from the configured seeds, until one answers or the
// platform's VM list contains members.
func (m *membershipRunner) syncWithSeeds(ctx context.Context) {
	for ctx.Err() == nil && len(m.n.view.Load().Members) < 2 {
		for _, seed := range m.n.settings.Membership.Seeds {
			if seed != m.n.self.PeerAddress && m.sync(ctx, seed) {
				return
			}
		}
		pause.For(ctx, seedRetryInterval)
	}
}

func (m *membershipRunner) serveProbe(ctx context.Context, from peer.Identity, msg membership.Message) (any, error) {
	m.n.observeVersion(msg.From.Version, from.PeerAddress)
	return control.Call(ctx, m.n.loop, func(now time.Time) *membership.Message {
		return m.step(now, membership.Heard{Message: msg})
	})
}

func (m *membershipRunner) serveIndirectProbe(ctx context.Context, _ peer.Identity, req probeRequest) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	self, err := control.Call(ctx, m.n.loop, func(time.Time) membership.Message {
		return membership.Message{From: m.machine.Self()}
	})
	if err != nil {
		return nil, err
	}
	var reply membership.Message
	if m.n.transport.Call(ctx, req.Address, kindProbe, self, &reply) != nil {
		return false, nil
	}
	m.handleMessage(reply)
	return reply.From.ID == req.ID, nil
}

func (m *membershipRunner) serveSync(ctx context.Context, _ peer.Identity, digest membership.Digest) (any, error) {
	return control.Call(ctx, m.n.loop, func(time.Time) []membership.Rumor { return m.machine.DifferingRumors(digest) })
}

// notice carries a daemon's rumor about itself. If NeedsRelay is set, the receiver relays
// it to the members on RelayArc, a section of the hash ring.
type notice struct {
	Rumor      membership.Rumor `msgpack:"r"`
	RelayArc   membership.Arc   `msgpack:"a"`
	NeedsRelay bool             `msgpack:"m,omitempty"`
}

func (m *membershipRunner) serveNotice(_ context.Context, _ peer.Identity, msg notice) (any, error) {
	m.post(membership.Synced{Rumors: []membership.Rumor{msg.Rumor}})
	if msg.NeedsRelay {
		m.run(func(ctx context.Context) { m.broadcast(ctx, msg.Rumor, msg.RelayArc) })
	}
	return true, nil
}

// broadcast sends a rumor to the members on an arc of the hash ring.
func (m *membershipRunner) broadcast(ctx context.Context, r membership.Rumor, arc membership.Arc) {
	m.n.relay(ctx, r.Incarnation+r.Counter, arc, relayTimeout, func(ctx context.Context, b membership.Branch) error {
		return m.n.transport.Call(ctx, b.Member.PeerAddress, kindNotice, notice{r, b.RelayArc, b.NeedsRelay}, nil)
	})
}

// leave announces a planned stop to every member. It returns when each call has
// succeeded or failed.
func (m *membershipRunner) leave(ctx context.Context) {
	self, err := control.Call(ctx, m.n.loop, func(now time.Time) membership.Rumor {
		m.step(now, membership.Leave{})
		return m.machine.Self()
	})
	if err == nil {
		m.broadcast(ctx, self, membership.FullRing())
	}
}
