package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/platform"
	"github.com/vanillaroad/vanillaroad/quota"
)

// memberKind is the kind of the store objects in which daemons register their
// addresses.
const memberKind = "members"

// members registers this daemon in the store and tracks the other daemons.
type members struct {
	g           *Gateway
	self        exchange.Member
	incarnation uint64 // of this daemon, see peer.Identity
	registering atomic.Bool

	mu   sync.Mutex
	list *exchange.MemberList
}

func newMembers(g *Gateway) *members {
	s, incarnation := g.settings.Load(), uint64(time.Now().UnixNano())
	return &members{g: g, incarnation: incarnation, list: exchange.NewMemberList(s.ID, incarnation), self: exchange.Member{
		ID: s.ID, Place: s.Place, Region: s.Region, Callers: s.Callers, Peers: s.Peers, Relay: s.Relay,
	}}
}

// registerAtStart registers this daemon once it knows the entries of the others, or can't get
// them. The entry contains only settings, so a restart with the same settings writes nothing.
func (m *members) registerAtStart(ctx context.Context) {
	select {
	case <-m.g.startup.loaded:
	case <-ctx.Done():
		return
	case <-time.After(registerDelay):
	}
	m.mu.Lock()
	registered := m.list.Registered(m.self)
	m.mu.Unlock()
	if registered {
		return
	}
	if m.g.datasets.isLoaded(memberKind) && m.createEntry(ctx) == nil {
		if m.g.settings.Load().FirstStart {
			m.g.forwarder.RetryBudget.MarkFirstStart(membersKnownWithin)
			m.g.origins.markFirstStart(ctx)
		}
		return
	}
	m.register(ctx)
}

// registerDelay is how long a daemon that starts waits for the entries of the others.
const registerDelay = 2 * seedTimeout

// membersKnownWithin is the time after their start within which daemons that start together know
// of each other: a daemon that hears nothing of the others' reads needs three read periods.
const membersKnownWithin = registerDelay + 3*memberReadPeriod

// createEntry writes the entry of a daemon that has none. It fails if there is one, as of an earlier
// process of this daemon.
func (m *members) createEntry(ctx context.Context) error {
	value, err := json.Marshal(m.self)
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	_, err = m.g.store.Put(ctx, memberKind, m.self.ID, value, 0)
	return err
}

// register writes this daemon's entry to the store and retries until it succeeds or
// ctx is done.
func (m *members) register(ctx context.Context) {
	if !m.registering.CompareAndSwap(false, true) {
		return
	}
	defer m.registering.Store(false)
	retryStore(ctx, m.writeEntry)
}

// writeEntry writes the entry unless the store already has it. It overwrites any other
// value, because only this daemon writes the entry.
func (m *members) writeEntry(ctx context.Context) error {
	object, err := m.g.store.Get(ctx, memberKind, m.self.ID)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	var stored exchange.Member
	if err == nil && json.Unmarshal(object.Value, &stored) == nil && stored == m.self {
		return nil
	}
	value, err := json.Marshal(m.self)
	if err != nil {
		return errors.Wrap(err, "encode member")
	}
	_, err = m.g.store.Put(ctx, memberKind, m.self.ID, value, object.Version)
	return err
}

// maxRegistrationDelay bounds the random delay before a daemon writes its entry again, so
// that many daemons don't write at once.
const maxRegistrationDelay = time.Second

// registerAgain writes this daemon's entry again after a random delay.
func (m *members) registerAgain() {
	if m.registering.Load() {
		return
	}
	ctx := m.g.peers.ctx
	if pause.For(ctx, rand.N(maxRegistrationDelay)) {
		m.register(ctx)
		m.g.events.Record(event.EntryWrittenAgain, "", event.F("kind", memberKind))
	}
}

// applyChange applies changed and removed entries of daemons. mayReturn is true if
// entries may be missing only because of an outage or a restoration of the store.
func (m *members) applyChange(c exchange.Change, mayReturn bool) {
	for _, e := range c.Changed {
		var member exchange.Member
		if err := json.Unmarshal(e.Value, &member); err != nil || member.ID != e.Name {
			m.g.events.Record(event.EntryRefused, "", event.F("member", e.Name))
			continue
		}
		m.mu.Lock()
		joined := m.list.Put(time.Now(), member)
		m.mu.Unlock()
		if joined {
			m.g.events.Record(event.MemberJoined, "", event.F("member", member.ID), event.F("place", member.Place))
		}
	}
	for _, id := range c.Removed {
		m.mu.Lock()
		m.list.Remove(time.Now(), id, mayReturn)
		m.mu.Unlock()
		m.g.events.Record(event.MemberRemoved, "", event.F("member", id), event.F("may_return", strconv.FormatBool(mayReturn)))
	}
	m.mu.Lock()
	registered := m.list.Registered(m.self)
	m.mu.Unlock()
	if c.NewEra && !registered || slices.Contains(c.Removed, m.self.ID) {
		go m.registerAgain()
	}
	m.applyCount()
}

// expire removes the daemons whose missing entries did not return.
func (m *members) expire() {
	m.mu.Lock()
	expired := m.list.Expire(time.Now())
	m.mu.Unlock()
	for _, id := range expired {
		m.g.events.Record(event.MemberRemoved, "", event.F("member", id), event.F("may_return", "false"))
	}
	if len(expired) > 0 {
		m.applyCount()
	}
}

// applyCount passes the number of daemons to the components that depend on it.
func (m *members) applyCount() {
	m.mu.Lock()
	n := m.list.Len()
	m.mu.Unlock()
	m.g.forwarder.RetryBudget.SetDaemons(n)
	m.g.forwarder.Prober.SetDaemons(n)
	m.g.forwarder.Admission.SetDaemons(n)
	m.g.fleet.SetStaleness(loadInterval(n - 1))
	if interval, ok := m.usesReporters(); ok {
		m.g.fleet.SetReportAge(interval + digestInterval)
	} else {
		m.g.fleet.SetReportAge(loadInterval(n - 1))
	}
	m.g.datasets.setReaders(n)
}

// usesReporters reports whether the fleet is so large that daemons report through
// reporters, see exchange.MemberList, and how often.
func (m *members) usesReporters() (interval time.Duration, ok bool) {
	above := m.g.settings.Load().ReportersAbove
	m.mu.Lock()
	defer m.mu.Unlock()
	ok = m.list.Len() > above
	m.list.UseReporters(ok)
	return m.list.ReportInterval(), ok
}

// afterSelf rotates a list of other daemons, sorted by id, so that it begins after this
// daemon.
func (m *members) afterSelf(list []exchange.Member) []exchange.Member {
	i, _ := slices.BinarySearchFunc(list, m.self.ID, func(o exchange.Member, id string) int { return strings.Compare(o.ID, id) })
	return slices.Concat(list[i:], list[:i])
}

// heardAlive records that a reporter heard a daemon. It reports whether this daemon should
// bring the other one up to date.
func (m *members) heardAlive(r exchange.MemberReport) (update bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.RecordAlive(time.Now(), r.ID, r.Incarnation)
}

// identity returns the identity of a registered daemon's incarnation.
func (m *members) identity(id string, incarnation uint64) (peer.Identity, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.list.Member(id)
	return peer.Identity{ID: id, Incarnation: incarnation, Place: o.Place, Region: o.Region, APIAddress: o.Callers, PeerAddress: o.Peers}, ok
}

// recordHeartbeat records a heartbeat of a daemon. It reports whether this daemon should
// bring the other one up to date, see exchange.MemberList.
func (m *members) recordHeartbeat(from peer.Identity, report loadReport) (update bool) {
	now := time.Now()
	m.mu.Lock()
	presence, update := m.list.RecordHeartbeat(now, from.ID, from.Incarnation, report.Leaving)
	asked := m.list.RecordHeardAgain(now, from.ID, report.HeardAgain)
	m.list.MarkBuild(from.ID, !report.KnowsReporters)
	m.list.MarkShort(from.ID, report.Short)
	m.mu.Unlock()
	if presence != exchange.Continuing {
		m.g.events.Record(event.MemberReturned, "", event.F("member", from.ID))
	}
	return update || asked
}

// heardAgain returns the daemons that this one has just heard again after a silence.
func (m *members) heardAgain() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.HeardAgain(time.Now())
}

func (m *members) others() []exchange.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list.Others()
}

// live reports whether another daemon is registered at its address and has sent a
// heartbeat recently.
func (m *members) live(member exchange.Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.list.Member(member.ID)
	return ok && o.ID != m.self.ID && o.Peers == member.Peers && m.list.Live(time.Now(), member.ID)
}

// othersByLiveness returns the other daemons, split into those with a recent heartbeat
// and the rest.
func (m *members) othersByLiveness() (live, silent []exchange.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, o := range m.list.Others() {
		if m.list.Live(now, o.ID) {
			live = append(live, o)
		} else {
			silent = append(silent, o)
		}
	}
	return live, silent
}

// hearsMost reports whether more than half of the registered daemons are live, this one
// included.
func (m *members) hearsMost() bool {
	live, silent := m.othersByLiveness()
	registered := len(live) + len(silent) + 1
	return 2*(len(live)+1) > registered
}

// mostExperienced returns the peer addresses of at most limit daemons: the live ones that
// have run longest. A daemon that has just started knows of none; it gets other registered
// daemons or the seeds.
func (m *members) mostExperienced(limit int) (addresses []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := m.list.LongestRunning(time.Now(), limit)
	if len(candidates) == 0 {
		candidates = slices.Clone(m.list.Others())
		rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	}
	for _, o := range candidates {
		addresses = append(addresses, o.Peers)
	}
	if len(addresses) == 0 {
		addresses = slices.DeleteFunc(slices.Clone(m.g.settings.Load().Seeds), func(seed string) bool { return seed == m.self.Peers })
	}
	return addresses[:min(limit, len(addresses))]
}

// address returns the address of another registered daemon for its peers.
func (m *members) address(id string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.list.Member(id)
	return o.Peers, ok && id != m.self.ID
}

// registered reports whether a daemon has an entry.
func (m *members) registered(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.list.Member(id)
	return ok
}

// hasEnded reports whether a daemon is neither registered nor live. The entry of a live one may come
// later than its first reports.
func (m *members) hasEnded(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, registered := m.list.Member(id)
	return !registered && !m.list.Live(time.Now(), id)
}

// activeOthers returns the other daemons that are live and don't leave.
func (m *members) activeOthers() (out []exchange.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	active, _ := m.list.Active(time.Now())
	for _, id := range active {
		if o, ok := m.list.Member(id); ok && id != m.self.ID {
			out = append(out, o)
		}
	}
	return out
}

// view returns what this daemon knows of the daemons.
func (m *members) view() quota.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	active, heard := m.list.Active(time.Now())
	if m.g.draining.Load() {
		active = slices.DeleteFunc(active, func(id string) bool { return id == m.self.ID })
	}
	return quota.View{Self: m.self.ID, Active: active, Heard: heard, Registered: m.list.Len()}
}

// directory returns the addresses that callers should connect to.
func (m *members) directory() []string { return addressesOf(m.directoryMembers()) }

// directoryFor returns the addresses that a caller should connect to, as many as it uses, and the
// number of daemons that were left out because they are short of capacity.
func (m *members) directoryFor(q platform.DirectoryQuery) (addresses []string, leftOut int) {
	m.mu.Lock()
	list, leftOut := m.list.DirectoryForCallers(time.Now(), m.g.draining.Load())
	m.mu.Unlock()
	return addressesOf(exchange.SelectForCaller(list, q.Caller, q.Place, platform.MaxDirectoryAddresses)), leftOut
}

func (m *members) directoryMembers() []exchange.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := m.list.Directory(time.Now())
	if m.g.draining.Load() {
		out = slices.DeleteFunc(out, func(o exchange.Member) bool { return o.ID == m.self.ID })
	}
	return out
}

// markShort records whether a daemon is short of capacity.
func (m *members) markShort(id string, short bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list.MarkShort(id, short)
}

func addressesOf(list []exchange.Member) (out []string) {
	for _, o := range list {
		out = append(out, o.Callers)
	}
	return out
}
