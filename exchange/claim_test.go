package exchange

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

// TestClaimsDontHideTheStore guards against daemons that wait for a reader which never
// sends its update: its claims may postpone a read, but not beyond three periods after
// the last match.
func TestClaimsDontHideTheStore(t *testing.T) {
	Convey("Given a daemon whose peers claim one read after the other and send no update", t, func() {
		const period = time.Second
		for seed := range uint64(20) {
			d := NewDataset("k", period, seed)
			d.ApplyRead(start, []objectstore.Object{object("a", 1)}, at(1))
			for now := start; now.Before(start.Add(5 * period)); now = now.Add(period / 10) {
				before := d.NextRead()
				d.ApplyClaim(now, Claim{Kind: "k", Duration: 10 * time.Second})
				So(d.NextRead(), ShouldHappenOnOrBefore, start.Add(3*period))
				So(d.NextRead(), ShouldHappenOnOrAfter, before)
			}
		}
	})
	Convey("A claim does not postpone the first read of a daemon", t, func() {
		d := NewDataset("k", time.Second, 1)
		d.ApplyClaim(start, Claim{Kind: "k", Duration: time.Second})
		So(d.NextRead(), ShouldHappenOnOrBefore, start)
	})
}

// TestSlowReadsStayFew guards against daemons that read the store at the same time
// because a read takes long: with a configuration of 377 kB, 25 of 91 daemons began to
// read it before the first reader's update reached them.
func TestSlowReadsStayFew(t *testing.T) {
	const seconds, readersPerRound = 10, 3
	for seed := range uint64(5) {
		Convey(fmt.Sprintf("Given 91 daemons and a value that takes 0.3 s to read, fewer than three read it per round, seed %d", seed), t, func() {
			f := newSimFleet(seed, simConfiguration(1, 1660))
			f.run(f.now.Add(5 * time.Second))
			before := f.reads
			f.run(f.now.Add(seconds * time.Second))
			So(f.reads-before, ShouldBeLessThan, readersPerRound*int(seconds*time.Second/simPeriod))
		})
	}
}

// TestSlowReadIsClaimedWhileItRuns guards against many concurrent reads of a configuration that
// has grown: reads were claimed only if the last one, of the smaller value, had taken long.
func TestSlowReadIsClaimedWhileItRuns(t *testing.T) {
	const period, readersPerRound = maxSpread / 5, 3
	for seed := range uint64(20) {
		Convey(fmt.Sprintf("Given 91 daemons on links of 10 Mbit/s, fewer than three read a change that adds 1,600 routes per round, seed %d", seed), t, func() {
			f := newSimFleetWithPeriod(seed, simConfiguration(1, 60), period)
			f.run(f.now.Add(5 * time.Second))
			before := f.reads
			f.store(simConfiguration(2, 1660))
			f.run(f.now.Add(maxSpread))
			So(f.outdated(), ShouldEqual, 0)
			So(f.reads-before, ShouldBeLessThan, readersPerRound*int(maxSpread/period))
		})
	}
}
