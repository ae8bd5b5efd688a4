package confirmation

import (
	"github.com/vanillaroad/vanillaroad/peer"
)

// Peer message kinds of this slice.
const (
	kindAsk peer.Kind = peer.ConfirmationBase + iota
	kindProbe
	kindMap
	kindShard
	kindPush
	kindIntent
	kindIntentAck
	kindSealed
	kindCopy
	kindCopyAck
	kindSync
	kindSyncAck
	kindClaim
	kindGranted
	kindRenew
	kindHandOver
	kindRetire
	kindIssue
)

// askMessage carries a caller's request to one daemon of the pair. Ask documents
// FirstLost and LookupOnly.
type askMessage struct {
	To         Ref     `msgpack:"to"`
	Request    Request `msgpack:"request"`
	FirstLost  bool    `msgpack:"first_lost"`
	LookupOnly bool    `msgpack:"lookup_only"`
}

// probeReply states which incarnation of a daemon answered a probe, and whether
// the daemon is leaving.
type probeReply struct {
	Ref     Ref  `msgpack:"ref"`
	Leaving bool `msgpack:"leaving"`
}

// shardRequest requests the newest assignment of one shard that the receiver
// knows.
type shardRequest struct {
	Number int `msgpack:"number"`
}

// shardsMessage carries assignments. Epochs that are not newer than the known
// one are ignored.
type shardsMessage struct {
	Shards []Shard `msgpack:"shards"`
}

// messageHeader returns the shard, epoch and sender of a message between the
// daemons of a shard, and its kind on the wire.
func messageHeader(m Input) (shard int, epoch int64, from Ref, kind peer.Kind) {
	switch m := m.(type) {
	case Intent:
		return m.Shard, m.Epoch, m.From, kindIntent
	case IntentAck:
		return m.Shard, m.Epoch, m.From, kindIntentAck
	case Sealed:
		return m.Shard.Number, m.Epoch, m.From, kindSealed
	case Copy:
		return m.Shard, m.Epoch, m.From, kindCopy
	case CopyAck:
		return m.Shard, m.Epoch, m.From, kindCopyAck
	case Sync:
		return m.Shard, m.Epoch, m.From, kindSync
	case SyncAck:
		return m.Shard, m.Epoch, m.From, kindSyncAck
	case Claim:
		return m.Shard.Number, m.Shard.Epoch, m.From, kindClaim
	case Granted:
		return m.Shard, m.Epoch, m.From, kindGranted
	case Renew:
		return m.Shard, m.Epoch, m.From, kindRenew
	case HandOver:
		return m.Shard, m.Epoch, m.From, kindHandOver
	case Retire:
		return m.Shard, m.Epoch, m.From, kindRetire
	}
	return 0, 0, Ref{}, 0
}
