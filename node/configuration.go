package node

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/internal/pause"
	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/objectstore"
	"github.com/vanillaroad/vanillaroad/peer"
	"github.com/vanillaroad/vanillaroad/trace"
)

// Message kinds of configuration.
const (
	kindPush    = peer.ConfigurationBase + iota // pushRequest
	kindHeads                                   // headsRequest, answered by headsReply
	kindPart                                    // partRequest, answered by bytes
	kindInForce                                 // inForceRequest, answered by []string
)

// Timing of the configuration's spread.
const (
	watchRetry    = 500 * time.Millisecond
	watchRetryMax = 5 * time.Second
	// roleCheck is how often a daemon that does not read looks whether it should.
	roleCheck = 500 * time.Millisecond
	// fetchTimeout bounds one fetch of a version, parts included.
	fetchTimeout = 10 * time.Second
)

// headsKept is the number of newest heads that are kept for peers that lag.
const headsKept = 64

// versions connects the configuration's spread to platform and peers.
type versions struct {
	n      *Node
	spread *configuration.Spread // owned by the control loop

	mu     sync.Mutex // held while a version is put in force
	heads  []configuration.Head
	claims membership.RelayClaims // arcs of pushes
	split  splitCache
}

func (n *Node) buildConfiguration() {
	empty, _ := configuration.NewSnapshot(0, configuration.Document{}) // no selectors to fail on
	n.snapshot.Store(empty)
	made := configuration.SpreadMade{Seed: rand.Uint64()}
	v := &versions{n: n, spread: configuration.NewSpread(made)}
	n.versions = v
	n.trace.RecordInit(configuration.Slice, n.self.ID, time.Now(), made)
	peer.HandleTyped(n.transport, kindPush, v.servePush)
	peer.HandleTyped(n.transport, kindHeads, v.serveHeads)
	peer.HandleTyped(n.transport, kindPart, v.servePart)
	peer.HandleTyped(n.transport, kindInForce, v.serveInForce)
	n.loop.Every(configuration.TickPeriod, func(now time.Time) { v.step(now, configuration.SpreadTick{}) })
}

func (n *Node) runConfiguration(ctx context.Context) {
	n.spawn(func() { n.versions.watch(ctx) })
}

// step runs on the control loop.
func (v *versions) step(now time.Time, in configuration.SpreadInput) {
	decisions := v.spread.Step(now, in)
	if _, quiet := in.(configuration.SpreadTick); !quiet || len(decisions) > 0 {
		trace.Record(v.n.trace, configuration.Slice, v.n.self.ID, now, in, decisions)
	}
	for _, d := range decisions {
		switch d := d.(type) {
		case configuration.Fetch:
			v.n.members.run(func(ctx context.Context) { v.fetch(ctx, d.Peer) })
		case configuration.Relay:
			v.n.members.run(v.pushAll)
		}
	}
}

// pushAll pushes the version in force to all daemons.
func (v *versions) pushAll(ctx context.Context) {
	head := v.n.snapshot.Load().Head
	if v.claim(head.Version, membership.FullRing()) {
		v.push(ctx, head, membership.FullRing())
	}
}

func (v *versions) tell(in configuration.SpreadInput) {
	_ = v.n.loop.Post(func(now time.Time) { v.step(now, in) })
}

// learnVersion notes that the daemon at address has a version in force.
func (n *Node) learnVersion(version int64, address string) {
	if version > n.snapshot.Load().Version {
		n.versions.tell(configuration.Told{Version: version, Peer: address})
	}
}

// watch reads heads from the platform while this daemon is a reader, or reaches
// none.
func (v *versions) watch(ctx context.Context) {
	var since int64
	backoff := watchRetry
	for ctx.Err() == nil {
		if !v.n.members.listing.watching() {
			pause.For(ctx, roleCheck)
			continue
		}
		objects, revision, err := v.n.platform.Watch(ctx, configuration.ObjectKind, since)
		if ctx.Err() != nil {
			return
		}
		v.n.notePlatform(err)
		if err != nil {
			pause.For(ctx, jitter(backoff))
			backoff = min(2*backoff, watchRetryMax)
			continue
		}
		since, backoff = revision, watchRetry
		v.n.members.tell(membership.PlatformSeen{})
		for _, o := range objects {
			v.readHead(ctx, o)
		}
	}
}

func (v *versions) readHead(ctx context.Context, o objectstore.Object) {
	if o.Name != configuration.HeadName || o.Deleted {
		return
	}
	head, err := configuration.DecodeHead(o.Value)
	if err == nil {
		err = v.load(ctx, head)
	}
	if err != nil {
		v.refuse(err)
		v.tell(configuration.Told{Version: head.Version})
	}
}

func (v *versions) refuse(err error) {
	v.n.events.Record(event.ConfigurationRefused, "", event.F("error", err.Error()))
}

// load puts the version of head in force, reading from the platform what the
// head's delta does not tell.
func (v *versions) load(ctx context.Context, head configuration.Head) error {
	have := v.n.snapshot.Load()
	if head.Version <= have.Version {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s, err := configuration.Load(ctx, v.n.platform, head, have)
	if err != nil {
		return err
	}
	v.adopt(s, true)
	return nil
}

// adopt puts a snapshot in force unless a newer one is. It returns whether it did.
func (v *versions) adopt(s *configuration.Snapshot, root bool) bool {
	v.mu.Lock()
	newer := s.Version > v.n.snapshot.Load().Version
	if newer {
		v.n.snapshot.Store(s)
		v.heads = append(v.heads, s.Head)
		if len(v.heads) > headsKept {
			v.heads = append([]configuration.Head(nil), v.heads[len(v.heads)-headsKept:]...)
		}
	}
	v.mu.Unlock()
	if newer {
		v.n.events.Record(event.ConfigurationActivated, "", event.F("version", strconv.FormatInt(s.Version, 10)))
		if v.n.served.Load() {
			v.n.members.tell(membership.InForce{Version: s.Version})
		}
		v.tell(configuration.Arrived{Version: s.Version, Root: root})
	}
	return newer
}

// fetch gets the newest version from a peer, or from the platform.
func (v *versions) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var err error
	before := v.n.snapshot.Load().Version
	if address != "" {
		err = v.fetchPeer(ctx, address)
	} else {
		err = v.fetchPlatform(ctx)
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, objectstore.ErrUnavailable) {
		v.refuse(errors.Wrapf(err, "fetch from %q", address))
	}
	if v.n.snapshot.Load().Version == before {
		v.tell(configuration.FetchEnded{})
	}
}

func (v *versions) fetchPlatform(ctx context.Context) error {
	head, _, err := configuration.ReadHead(ctx, v.n.platform)
	v.n.notePlatform(err)
	if err != nil {
		return err
	}
	return v.load(ctx, head)
}

// platformState remembers whether the platform answered last.
type platformState struct{ down atomic.Bool }

// notePlatform records when the platform is lost and when it is back.
func (n *Node) notePlatform(err error) {
	down := errors.Is(err, objectstore.ErrUnavailable) || errors.Is(err, objectstore.ErrUnknown)
	if n.platformState.down.Swap(down) == down {
		return
	}
	if down {
		n.events.Record(event.PlatformLost, "", event.F("error", err.Error()))
	} else {
		n.events.Record(event.PlatformRecovered, "")
	}
}
