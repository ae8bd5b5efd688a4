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
	kindProbe   = peer.MembershipBase + iota // Message, answered by Message
	kindRelay                                // probeRequest, answered by bool
	kindSync                                 // Digest, answered by []Rumor
	kindListing                              // listingRequest, answered by listingReply
	kindNotice                               // notice
)

// members connects the membership machine to the transport.
type members struct {
	n        *Node
	machine  *membership.Machine // owned by the control loop
	revision int64               // of the published view; owned by the control loop
	listing  listingReader
	ctx      atomic.Pointer[context.Context]
}

func (n *Node) buildMembership() {
	made := membership.Made{Self: n.self, Settings: n.settings.Membership, Seed: rand.Uint64()}
	m := &members{n: n, machine: membership.New(made), revision: -1}
	m.listing.init(n)
	n.members = m
	n.trace.RecordInit(membership.Slice, n.self.ID, time.Now(), made)
	n.view.Store(m.machine.View())
	peer.HandleTyped(n.transport, kindProbe, m.serveProbe)
	peer.HandleTyped(n.transport, kindRelay, m.serveRelay)
	peer.HandleTyped(n.transport, kindSync, m.serveSync)
	peer.HandleTyped(n.transport, kindListing, m.listing.serve)
	peer.HandleTyped(n.transport, kindNotice, m.serveNotice)
	n.loop.Every(membership.ProbePeriod, func(now time.Time) { m.step(now, membership.Tick{}) })
}

func (n *Node) runMembership(ctx context.Context) {
	n.members.ctx.Store(&ctx)
	n.spawn(func() { n.members.listing.run(ctx) })
	n.spawn(func() { n.members.askSeeds(ctx) })
}

// step runs on the control loop: it feeds the machine, publishes the view and
// starts what was decided. It returns the reply that was decided, if any.
func (m *members) step(now time.Time, in membership.Input) *membership.Message {
	decisions := m.machine.Step(now, in)
	trace.Record(m.n.trace, membership.Slice, m.n.self.ID, now, in, decisions)
	if r := m.machine.Revision(); r != m.revision {
		m.revision = r
		view := m.machine.View()
		m.n.view.Store(view)
		m.measure(view)
	}
	var reply *membership.Message
	for _, d := range decisions {
		if r, ok := d.(membership.Reply); ok {
			reply = &r.Message
			continue
		}
		m.carryOut(d)
	}
	return reply
}

// measure updates the gauges of the members.
func (m *members) measure(v *membership.View) {
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

// tell posts an input to the control loop.
func (m *members) tell(in membership.Input) {
	_ = m.n.loop.Post(func(now time.Time) { m.step(now, in) })
}

func (m *members) carryOut(d membership.Decision) {
	switch d := d.(type) {
	case membership.Probe:
		m.run(func(ctx context.Context) { m.probe(ctx, d) })
	case membership.ProbeVia:
		m.run(func(ctx context.Context) { m.probeVia(ctx, d) })
	case membership.Sync:
		m.run(func(ctx context.Context) { m.sync(ctx, d.Address) })
	case membership.Changed:
		m.record(d)
		if d.What == membership.Ready {
			self := m.machine.Self()
			m.run(func(ctx context.Context) { m.notify(ctx, self, membership.FullRing()) })
		}
	}
}

// run starts work off the control loop; before Run and after Close there is none.
func (m *members) run(fn func(ctx context.Context)) {
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

func (m *members) record(c membership.Changed) {
	m.n.events.Record(changeEvents[c.What], "", event.F("member", c.ID))
}

func (m *members) probe(ctx context.Context, p membership.Probe) {
	ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	var reply membership.Message
	err := m.n.transport.Call(ctx, p.Address, kindProbe, p.Message, &reply)
	if err == nil {
		m.hear(reply)
	}
	m.tell(membership.Probed{ID: p.ID, OK: err == nil})
}

// hear takes a message that needs no answer.
func (m *members) hear(msg membership.Message) {
	m.tell(membership.Heard{Message: msg})
	m.n.learnVersion(msg.From.Version, msg.From.PeerAddress)
}

// probeRequest asks a daemon to probe another one.
type probeRequest struct {
	ID      string `msgpack:"i"`
	Address string `msgpack:"a"`
}

func (m *members) probeVia(ctx context.Context, p membership.ProbeVia) {
	ctx, cancel := context.WithTimeout(ctx, membership.IndirectTimeout)
	defer cancel()
	var ok bool
	err := m.n.transport.Call(ctx, p.ViaAddress, kindRelay, probeRequest{p.ID, p.Address}, &ok)
	m.tell(membership.Probed{ID: p.ID, Via: p.Via, Asked: err == nil, OK: err == nil && ok})
}

func (m *members) sync(ctx context.Context, address string) bool {
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
	m.tell(membership.Synced{Rumors: rumors})
	return true
}

// seedRetry is the pause between two rounds of asking the seeds.
const seedRetry = 2 * time.Second

// askSeeds asks the configured seeds for the members until one answered or
// the platform's VM list named some.
func (m *members) askSeeds(ctx context.Context) {
	for ctx.Err() == nil && len(m.n.view.Load().Members) < 2 {
		for _, s := range m.n.settings.Membership.Seeds {
			if s != m.n.self.PeerAddress && m.sync(ctx, s) {
				return
			}
		}
		pause.For(ctx, seedRetry)
	}
}

func (m *members) serveProbe(ctx context.Context, from peer.Identity, msg membership.Message) (any, error) {
	m.n.learnVersion(msg.From.Version, from.PeerAddress)
	return control.Call(ctx, m.n.loop, func(now time.Time) *membership.Message {
		return m.step(now, membership.Heard{Message: msg})
	})
}

func (m *members) serveRelay(ctx context.Context, _ peer.Identity, req probeRequest) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, membership.ProbeTimeout)
	defer cancel()
	own, err := control.Call(ctx, m.n.loop, func(time.Time) membership.Message {
		return membership.Message{From: m.machine.Self()}
	})
	if err != nil {
		return nil, err
	}
	var reply membership.Message
	if m.n.transport.Call(ctx, req.Address, kindProbe, own, &reply) != nil {
		return false, nil
	}
	m.hear(reply)
	return reply.From.ID == req.ID, nil
}

func (m *members) serveSync(ctx context.Context, _ peer.Identity, theirs membership.Digest) (any, error) {
	return control.Call(ctx, m.n.loop, func(time.Time) []membership.Rumor { return m.machine.DifferingRumors(theirs) })
}

// notice spreads what a daemon says of itself to the members on an arc.
type notice struct {
	Rumor membership.Rumor `msgpack:"r"`
	Rest  membership.Arc   `msgpack:"a"`
	More  bool             `msgpack:"m,omitempty"`
}

func (m *members) serveNotice(_ context.Context, _ peer.Identity, msg notice) (any, error) {
	m.tell(membership.Synced{Rumors: []membership.Rumor{msg.Rumor}})
	if msg.More {
		m.run(func(ctx context.Context) { m.notify(ctx, msg.Rumor, msg.Rest) })
	}
	return true, nil
}

func (m *members) notify(ctx context.Context, r membership.Rumor, arc membership.Arc) {
	m.n.relay(ctx, r.Incarnation+r.Counter, arc, relayTimeout, func(ctx context.Context, b membership.Branch) error {
		return m.n.transport.Call(ctx, b.Member.PeerAddress, kindNotice, notice{r, b.RelayArc, b.NeedsRelay}, nil)
	})
}

// leave announces a planned stop to every member and returns when each has
// answered or failed to.
func (m *members) leave(ctx context.Context) {
	own, err := control.Call(ctx, m.n.loop, func(now time.Time) membership.Rumor {
		m.step(now, membership.Leave{})
		return m.machine.Self()
	})
	if err == nil {
		m.notify(ctx, own, membership.FullRing())
	}
}
