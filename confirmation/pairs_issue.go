package confirmation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/peer"
)

// Bounds of issuing a key.
const (
	maxIssueNonces = 4096 // nonces tried until one belongs to a shard of this daemon
	maxIssuePeers  = 3    // daemons queried for a key by a daemon that owns no shard
)

// ErrNoShard is returned by a daemon that owns no shard.
var ErrNoShard = errors.New("this daemon acts for no shard")

// IssueKey implements Service. The key belongs to a shard that this daemon
// owns, so that a caller that stays with this daemon is served without another
// hop, by a daemon that knows the shard's epoch. A daemon without a shard may
// know only past epochs, whose keys may be answered "unknown". It therefore
// requests the key from a daemon that owns a shard.
func (p *PairService) IssueKey(ctx context.Context) (string, *failure.Error) {
	key, err := p.issueLocalKey()
	if err == nil {
		return key, nil
	}
	for i, m := range p.otherDaemons() {
		if i == maxIssuePeers || ctx.Err() != nil {
			break
		}
		if key, err = p.requestKey(ctx, m.PeerAddress); err == nil {
			return key, nil
		}
	}
	return "", failure.Wrap(err, failure.Isolated, failure.NotRun, "issue key", p.self.ID).WithRetryAfter(retryAfter)
}

func (p *PairService) requestKey(ctx context.Context, address string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var key string
	err := p.Transport.Call(ctx, address, kindIssue, struct{}{}, &key)
	return key, err
}

// serveIssue issues a key for another daemon.
func (p *PairService) serveIssue(context.Context, peer.Identity, []byte) (any, error) {
	return p.issueLocalKey()
}

// issueLocalKey issues a key of a shard that this daemon owns.
func (p *PairService) issueLocalKey() (string, error) {
	m, issueShards := p.shards.Load(), *p.issueShards.Load()
	if m == nil {
		return "", errors.WithStack(ErrNoMap)
	}
	epochs := make(map[int]int64, len(issueShards))
	for _, s := range issueShards {
		epochs[s.Number] = s.Epoch
	}
	for range maxIssueNonces {
		nonce := fmt.Sprintf("%016x", rand.Uint64())
		if epoch, ok := epochs[ShardOf(nonce, len(m.Shards))]; ok {
			return FormatKey(time.Now(), epoch, nonce), nil
		}
	}
	return "", errors.WithStack(ErrNoShard)
}
