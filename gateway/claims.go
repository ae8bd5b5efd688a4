package gateway

import (
	"time"

	"github.com/vanillaroad/vanillaroad/exchange"
)

// claim claims a read that begins, see exchange.ClaimRead. The returned function is called at
// its end. While the store is down for this daemon, it claims nothing that would keep others
// from reading.
func (d *datasets) claim(kind string, expected time.Duration) (end func()) {
	claim, after := exchange.ClaimRead(kind, expected, readPeriods(d.g.settings.Load())[kind])
	switch {
	case after == 0:
		d.g.peers.broadcast(kindClaim, claim)
	case !d.storeFailed():
		timer := time.AfterFunc(after, func() { d.g.peers.broadcast(kindClaim, claim) })
		return func() { timer.Stop() }
	}
	return func() {}
}
