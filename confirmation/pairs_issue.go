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

// Bounds of the issue of keys.
const (
	maxIssueNonces = 4096 // nonces tried for a shard of this daemon
	maxIssuePeers  = 3    // daemons asked for a key by one that acts for no shard
)

// ErrNoShard is returned by a daemon that acts for no shard.
var ErrNoShard = errors.New("this daemon acts for no shard")

// IssueKey implements Service. The key falls into a shard of which this daemon
// is the first, so that a caller that stays here is served without a further
// hop, by a daemon that knows the shard's epoch. A daemon without a shard asks
// one that has some: a key of an epoch that is over may be answered "unknown".
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

// issueLocalKey issues a key of a shard that this daemon acts for.
func (p *PairService) issueLocalKey() (string, error) {
	m, owned := p.shards.Load(), *p.owned.Load()
	if m == nil {
		return "", errors.WithStack(ErrNoMap)
	}
	epochs := make(map[int]int64, len(owned))
	for _, s := range owned {
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
