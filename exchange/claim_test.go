package exchange

import (
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
