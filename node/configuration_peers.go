package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/membership"
	"github.com/vanillaroad/vanillaroad/peer"
)

// errVersionReplaced is returned to a peer that requests parts of a version that is
// neither active nor cached.
var errVersionReplaced = errors.New("another version is in force")

// pushRequest carries the head (description) of a configuration version. If NeedsRelay
// is set, the receiver relays it to the daemons on RelayArc, a section of the hash ring.
// Heads are encoded as JSON, the format that defines documents.
type pushRequest struct {
	Head       []byte         `msgpack:"h"`
	RelayArc   membership.Arc `msgpack:"a"`
	NeedsRelay bool           `msgpack:"m,omitempty"`
}

// push relays a head to the daemons on an arc of the hash ring.
func (v *configurationRunner) push(ctx context.Context, head configuration.Head, arc membership.Arc) {
	encoded, err := encodeHead(head)
	if err != nil {
		v.recordRefusal(err)
		return
	}
	v.n.relay(ctx, uint64(head.Version), arc, relayTimeout, func(ctx context.Context, b membership.Branch) error {
		return v.n.transport.Call(ctx, b.Member.PeerAddress, kindPush, pushRequest{encoded, b.RelayArc, b.NeedsRelay}, nil)
	})
}

// claim reports whether this daemon has not relayed version on arc yet, and records it
// as relayed, so that the relay happens only once.
func (v *configurationRunner) claim(version int64, arc membership.Arc) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.pushClaims.Claim(version, arc)
}

func (v *configurationRunner) servePush(_ context.Context, from peer.Identity, req pushRequest) (any, error) {
	head, err := configuration.DecodeHead(req.Head)
	if err != nil {
		return nil, err
	}
	current := v.n.snapshot.Load()
	if head.Version > current.Version {
		if s, err := current.ApplyDelta(head); err == nil {
			v.activate(s, false)
		} else {
			v.n.observeVersion(head.Version, from.PeerAddress)
		}
	}
	if req.NeedsRelay && v.claim(head.Version, req.RelayArc) {
		v.n.membership.run(func(ctx context.Context) { v.push(ctx, head, req.RelayArc) })
	}
	return true, nil
}

// headsRequest requests the heads that lead from KnownVersion to the receiver's active
// version.
type headsRequest struct {
	KnownVersion int64 `msgpack:"v"`
}

// headsReply contains the heads after the known version, oldest first. If one of them
// is no longer kept or has no delta, it contains only the newest head, with the layout
// and the digests of the parts of its document.
type headsReply struct {
	Heads   [][]byte             `msgpack:"h"`
	Layout  configuration.Layout `msgpack:"l"`
	Digests []uint64             `msgpack:"d"`
}

func (v *configurationRunner) serveHeads(_ context.Context, _ peer.Identity, req headsRequest) (any, error) {
	v.mu.Lock()
	heads := headsAfter(v.heads, req.KnownVersion)
	s := v.n.snapshot.Load()
	v.mu.Unlock()
	if len(heads) > 0 {
		return encodeHeads(heads)
	}
	if s.Version <= req.KnownVersion {
		return headsReply{}, nil
	}
	parts, layout, err := v.partCache.partsOf(s)
	if err != nil {
		return nil, err
	}
	reply, err := encodeHeads([]configuration.Head{s.Head})
	reply.Layout, reply.Digests = layout, configuration.Digests(parts)
	return reply, err
}

// headsAfter returns the heads after version. It returns none unless each of them has a
// delta from the version before it.
func headsAfter(heads []configuration.Head, version int64) []configuration.Head {
	for i, h := range heads {
		if h.Delta == nil || h.Delta.From != version {
			continue
		}
		for j := i + 1; j < len(heads); j++ {
			if heads[j].Delta == nil || heads[j].Delta.From != heads[j-1].Version {
				return nil
			}
		}
		return slices.Clone(heads[i:])
	}
	return nil
}

func encodeHeads(heads []configuration.Head) (headsReply, error) {
	var reply headsReply
	for _, h := range heads {
		b, err := encodeHead(h)
		if err != nil {
			return reply, err
		}
		reply.Heads = append(reply.Heads, b)
	}
	return reply, nil
}

// fetchFromPeer gets and activates the newest version of a peer.
func (v *configurationRunner) fetchFromPeer(ctx context.Context, address string) error {
	s := v.n.snapshot.Load()
	var reply headsReply
	if err := v.n.transport.Call(ctx, address, kindHeads, headsRequest{s.Version}, &reply); err != nil {
		return err
	}
	for _, b := range reply.Heads {
		head, err := configuration.DecodeHead(b)
		if err != nil {
			return err
		}
		if len(reply.Digests) > 0 {
			return v.fetchParts(ctx, address, head, reply)
		}
		if s, err = s.ApplyDelta(head); err != nil {
			return err
		}
	}
	if len(reply.Heads) > 0 {
		v.activate(s, false)
	}
	return nil
}

// fetchParts gets and activates the version of head. It fetches only the parts of the
// document whose digests differ from those of the active document.
func (v *configurationRunner) fetchParts(ctx context.Context, address string, head configuration.Head, reply headsReply) error {
	parts, err := configuration.Split(v.n.snapshot.Load().Document, reply.Layout)
	if err != nil || len(parts) != len(reply.Digests) {
		return errors.Wrap(configuration.ErrCorrupt, "layout of a peer")
	}
	for i, digest := range reply.Digests {
		if xxhash.Sum64(parts[i]) == digest {
			continue
		}
		var b []byte
		if err := v.n.transport.Call(ctx, address, kindPart, partRequest{head.Version, i}, &b); err != nil {
			return err
		}
		parts[i] = b
	}
	d, err := configuration.Join(parts)
	if err != nil {
		return err
	}
	s, err := configuration.SnapshotFromHead(head, d)
	if err != nil {
		return err
	}
	v.activate(s, false)
	return nil
}

type partRequest struct {
	Version int64 `msgpack:"v"`
	Index   int   `msgpack:"i"`
}

func (v *configurationRunner) servePart(_ context.Context, _ peer.Identity, req partRequest) (any, error) {
	s := v.n.snapshot.Load()
	if s.Version != req.Version {
		if cached, ok := v.partCache.snapshotOf(req.Version); ok {
			s = cached
		} else {
			return nil, errors.WithStack(errVersionReplaced)
		}
	}
	parts, _, err := v.partCache.partsOf(s)
	if err != nil || req.Index < 0 || req.Index >= len(parts) {
		return nil, errors.Wrapf(errVersionReplaced, "part %d", req.Index)
	}
	return parts[req.Index], nil
}

// partCacheTTL is how long the parts of a replaced version are served to peers that
// are still fetching it.
const partCacheTTL = fetchTimeout

// partCache caches the parts of the last version that peers fetched. It is safe for
// concurrent use.
type partCache struct {
	mu       sync.Mutex
	snapshot *configuration.Snapshot
	layout   configuration.Layout
	parts    [][]byte
	splitAt  time.Time
}

// partsOf returns the parts of s and their layout, and caches them.
func (c *partCache) partsOf(s *configuration.Snapshot) ([][]byte, configuration.Layout, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != nil && c.snapshot.Version == s.Version {
		return c.parts, c.layout, nil
	}
	layout := configuration.LayoutOf(s.Document)
	parts, err := configuration.Split(s.Document, layout)
	if err == nil {
		c.snapshot, c.layout, c.parts, c.splitAt = s, layout, parts, time.Now()
	}
	return parts, layout, err
}

// snapshotOf returns the snapshot of a version if its parts are cached.
func (c *partCache) snapshotOf(version int64) (*configuration.Snapshot, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot == nil || c.snapshot.Version != version || time.Since(c.splitAt) > partCacheTTL {
		return nil, false
	}
	return c.snapshot, true
}
