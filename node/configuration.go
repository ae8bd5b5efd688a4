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
	kindLagging                                 // laggingRequest, answered by []string
)

// Timing of watching and fetching the configuration.
const (
	minWatchBackoff = 500 * time.Millisecond
	maxWatchBackoff = 5 * time.Second
	// roleCheckInterval is how often a daemon that does not watch the configuration
	// checks whether it has to start watching.
	roleCheckInterval = 500 * time.Millisecond
	// fetchTimeout bounds one fetch of a version, including its parts.
	fetchTimeout = 10 * time.Second
)

// maxHeads is the number of newest versions whose heads (descriptions of versions, see
// configuration.Head) are kept for lagging peers.
const maxHeads = 64

// configurationRunner connects configuration.Spread to the platform and to peers.
type configurationRunner struct {
	n      *Node
	spread *configuration.Spread // owned by the control loop

	mu         sync.Mutex             // guards heads and pushClaims; held while a version is activated
	heads      []configuration.Head   // of the newest versions, oldest first
	pushClaims membership.RelayClaims // arcs of the hash ring on which versions were already relayed
	partCache  partCache
}

func (n *Node) buildConfiguration() {
	empty, _ := configuration.NewSnapshot(0, configuration.Document{}) // can't fail without selectors
	n.snapshot.Store(empty)
	args := configuration.SpreadMade{Seed: rand.Uint64()}
	v := &configurationRunner{n: n, spread: configuration.NewSpread(args)}
	n.configuration = v
	n.trace.RecordInit(configuration.TraceSlice, n.self.ID, time.Now(), args)
	peer.HandleTyped(n.transport, kindPush, v.servePush)
	peer.HandleTyped(n.transport, kindHeads, v.serveHeads)
	peer.HandleTyped(n.transport, kindPart, v.servePart)
	peer.HandleTyped(n.transport, kindLagging, v.serveLagging)
	n.loop.Every(configuration.TickPeriod, func(now time.Time) { v.step(now, configuration.SpreadTick{}) })
}

func (n *Node) runConfiguration(ctx context.Context) {
	n.spawn(func() { n.configuration.watch(ctx) })
}

// step passes an input to v.spread and executes its decisions. It must run on the
// control loop.
func (v *configurationRunner) step(now time.Time, in configuration.SpreadInput) {
	decisions := v.spread.Step(now, in)
	if _, isTick := in.(configuration.SpreadTick); !isTick || len(decisions) > 0 {
		trace.Record(v.n.trace, configuration.TraceSlice, v.n.self.ID, now, in, decisions)
	}
	for _, d := range decisions {
		switch d := d.(type) {
		case configuration.Fetch:
			v.n.membership.run(func(ctx context.Context) { v.fetch(ctx, d.Peer) })
		case configuration.Relay:
			v.n.membership.run(v.pushAll)
		}
	}
}

// pushAll pushes the active version to all daemons.
func (v *configurationRunner) pushAll(ctx context.Context) {
	head := v.n.snapshot.Load().Head
	if v.claimRelay(head.Version, membership.FullRing()) {
		v.push(ctx, head, membership.FullRing())
	}
}

// post posts an input to the control loop.
func (v *configurationRunner) post(in configuration.SpreadInput) {
	_ = v.n.loop.Post(func(now time.Time) { v.step(now, in) })
}

// observeVersion handles the information that the daemon at address has activated a
// version.
func (n *Node) observeVersion(version int64, address string) {
	if version > n.snapshot.Load().Version {
		n.configuration.post(configuration.Told{Version: version, Peer: address})
	}
}

// watch watches the platform for new configuration versions and loads them. It does so
// only while this daemon reads the VM list for others or no such reader answers it; see
// vmListReader.watchesConfiguration.
func (v *configurationRunner) watch(ctx context.Context) {
	var sinceRevision int64
	backoff := minWatchBackoff
	for ctx.Err() == nil {
		if !v.n.membership.vmList.watchesConfiguration() {
			pause.For(ctx, roleCheckInterval)
			continue
		}
		objects, revision, err := v.n.platform.Watch(ctx, configuration.ObjectKind, sinceRevision)
		if errors.Is(err, objectstore.ErrHistoryGone) { // it was discarded, or the store was restored from an older copy
			var position objectstore.Position
			objects, position, err = v.n.platform.List(ctx, configuration.ObjectKind)
			revision = position.Revision
		}
		if ctx.Err() != nil {
			return
		}
		v.n.recordPlatformState(err)
		if err != nil {
			pause.For(ctx, jitter(backoff))
			backoff = min(2*backoff, maxWatchBackoff)
			continue
		}
		sinceRevision, backoff = revision, minWatchBackoff
		v.n.membership.post(membership.PlatformSeen{})
		for _, o := range objects {
			v.readHead(ctx, o)
		}
	}
}

func (v *configurationRunner) readHead(ctx context.Context, o objectstore.Object) {
	if o.Name != configuration.HeadName || o.Deleted {
		return
	}
	head, err := configuration.DecodeHead(o.Value)
	if err == nil {
		err = v.load(ctx, head)
	}
	if err != nil {
		v.recordRefusal(err)
		v.post(configuration.Told{Version: head.Version})
	}
}

func (v *configurationRunner) recordRefusal(err error) {
	v.n.events.Record(event.ConfigurationRefused, "", event.F("error", err.Error()))
}

// load activates the version of head. It reads from the platform what can't be
// derived from the active version and the head's delta.
func (v *configurationRunner) load(ctx context.Context, head configuration.Head) error {
	current := v.n.snapshot.Load()
	if head.Version <= current.Version {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s, err := configuration.Load(ctx, v.n.platform, head, current)
	if err != nil {
		return err
	}
	v.activate(s, true)
	return nil
}

// activate makes s the active snapshot unless the active version is the same or newer.
// It reports whether s became active. root means that s came from the platform, not
// from a peer.
func (v *configurationRunner) activate(s *configuration.Snapshot, root bool) bool {
	v.mu.Lock()
	newer := s.Version > v.n.snapshot.Load().Version
	if newer {
		v.n.snapshot.Store(s)
		v.heads = append(v.heads, s.Head)
		if len(v.heads) > maxHeads {
			v.heads = append([]configuration.Head(nil), v.heads[len(v.heads)-maxHeads:]...)
		}
	}
	v.mu.Unlock()
	if newer {
		v.n.events.Record(event.ConfigurationActivated, "", event.F("version", strconv.FormatInt(s.Version, 10)))
		if v.n.wasReady.Load() {
			v.n.membership.post(membership.InForce{Version: s.Version})
		}
		v.post(configuration.Arrived{Version: s.Version, Root: root})
	}
	return newer
}

// fetch gets the newest version from the peer at address, or from the platform if
// address is empty.
func (v *configurationRunner) fetch(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var err error
	previousVersion := v.n.snapshot.Load().Version
	if address != "" {
		err = v.fetchFromPeer(ctx, address)
	} else {
		err = v.fetchFromPlatform(ctx)
	}
	if err != nil && ctx.Err() == nil && !errors.Is(err, objectstore.ErrUnavailable) {
		v.recordRefusal(errors.Wrapf(err, "fetch from %q", address))
	}
	if v.n.snapshot.Load().Version == previousVersion {
		v.post(configuration.FetchEnded{})
	}
}

func (v *configurationRunner) fetchFromPlatform(ctx context.Context) error {
	head, _, err := configuration.ReadHead(ctx, v.n.platform)
	v.n.recordPlatformState(err)
	if err != nil {
		return err
	}
	return v.load(ctx, head)
}

// platformState records whether the last call to the platform failed.
type platformState struct{ down atomic.Bool }

// recordPlatformState handles the result of a call to the platform. It records an
// event when the platform becomes unavailable and when it recovers.
func (n *Node) recordPlatformState(err error) {
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
