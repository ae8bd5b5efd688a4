package exchange

import "time"

// Claim is the message in which a daemon tells its peers that it begins a read of the
// store that takes long, so that they leave the read to it.
type Claim struct {
	Kind     string        `msgpack:"k"`
	Duration time.Duration `msgpack:"d"` // expected duration of the read
}

// Claims of reads.
const (
	// ClaimAbove is the duration from which a read is claimed: while it runs, and the next
	// one before it begins. A shorter read is over before many others begin.
	ClaimAbove = 50 * time.Millisecond
	// claimMarginPeriods is how long, in periods, an update may take beyond the claimed
	// duration before another daemon reads the store.
	claimMarginPeriods = 0.25
)

// ClaimRead returns the claim of a read that begins, and after which time it is sent unless the
// read has ended by then: at once if the read is expected to take long, because the last one
// did, or else once it does, as the first read of a value that has grown.
func ClaimRead(kind string, expected, period time.Duration) (c Claim, after time.Duration) {
	if expected >= ClaimAbove {
		return Claim{Kind: kind, Duration: expected}, 0
	}
	return Claim{Kind: kind, Duration: period}, ClaimAbove
}

// ApplyClaim postpones the read of this daemon until a peer that has claimed it should
// have sent its update. It never postpones the read beyond the longest delay that a read
// has without claims.
func (d *Dataset) ApplyClaim(now time.Time, c Claim) {
	margin := time.Duration(claimMarginPeriods * float64(d.period))
	until := now.Add(min(c.Duration, d.period) + margin + d.drawJitter()/2)
	latest := d.freshAt.Add((1 + maxJitterPeriods) * d.period)
	if until.After(latest) {
		until = latest
	}
	if d.Loaded() && until.After(d.nextRead) {
		d.nextRead = until
	}
}
