package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// TestReservationsOfReplacedCopies guards against memory that stays reserved at targets without a copy,
// while a copy in the place of its run is replaced: at each target that refuses the next one, and at
// the holder of an explicit copy that was released.
func TestReservationsOfReplacedCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := newCopyTargets(1, 4, 200_000, 10)
		request := s.request("r0", 0, nil)
		source, misplaced := w.targets["a0:1"], w.targets["a1:1"]
		stream := newStream(s.Forwarder, request, &fakeResponder{})
		c := newCopier(stream, Attempt{Request: request, Target: source, CopyTo: &misplaced})
		c.begun = true
		check := func(when string, targets int) {
			t.Helper()
			if loads := s.Fleet.OwnLoads(); len(loads) != targets {
				t.Errorf("%s: memory is reserved at %d targets, want %d: %v", when, len(loads), targets, loads)
			}
		}
		refuse := func() {
			time.Sleep(failedCopyTime)
			for range 8 {
				time.Sleep(copySearchInterval)
				if !c.chooseTarget(time.Now()) {
					t.Fatal("no target for a copy")
				}
				c.handleResult(copyResult{standbyCopy: standbyCopy{holder: *c.explicitTarget}, err: errors.New("no memory")})
			}
		}
		refuse()
		check("all targets refuse, the continuous copy stays", 1)
		c.explicit = true
		refuse()
		check("all targets refuse, the explicit copy stays", 1)
		time.Sleep(failedCopyTime)
		if !c.chooseTarget(time.Now()) {
			t.Fatal("no target for a copy")
		}
		check("a copy is in progress", 2)
		c.handleResult(copyResult{standbyCopy: standbyCopy{*c.explicitTarget, Copy{c.explicitTarget.Address, "copy"}, byCopy}})
		check("the copy was replaced, and the former one released", 1)
		c.finish(true)
		check("the run has ended", 0)
		synctest.Wait()
	})
}
