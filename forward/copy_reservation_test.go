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

// TestSearchesOfStreamsThatWereLost guards against runs without a copy beside others that can't have one:
// in a service with a target in each place, a stream that was lost twice has no target left for a copy, and
// a run that was not lost didn't search then. The same held after searches while streams were held.
func TestSearchesOfStreamsThatWereLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := newCopyTargets(1, 1, 200_000, 10)
		s.contend(time.Second)
		chooses := func(id string, tried ...string) bool {
			request := s.request(id, 0, nil)
			stream := newStream(s.Forwarder, request, &fakeResponder{})
			for _, id := range tried {
				stream.tried[id] = true
			}
			c := newCopier(stream, Attempt{Request: request, Target: w.targets["a0:1"]})
			defer c.finish(false)
			return c.chooseTarget(time.Now())
		}
		if chooses("r1", "b0", "c0") {
			t.Error("a stream has a copy at a target that was tried")
		}
		if !chooses("r2") {
			t.Error("no copy of a run that was not lost, after the search of one that was")
		}
		s.Admission.SetPeerHeld("vm-2", map[string][]int{"svc": {1}})
		if chooses("r3") {
			t.Error("a copy is made while streams are held")
		}
		s.Admission.SetPeerHeld("vm-2", nil)
		if !chooses("r4") {
			t.Error("no copy once no stream is held any more")
		}
	})
}

// TestCopyThatIsNotUpdatedIsReleased guards against memory at a holder that no daemon counts: a copy that
// could not be updated stayed there after its run had ended, until the holder discarded it.
func TestCopyThatIsNotUpdatedIsReleased(t *testing.T) {
	for _, intact := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s, w := newCopyTargets(1, 2, 200_000, 10)
			request := s.request("r0", 0, nil)
			c := newCopier(newStream(s.Forwarder, request, &fakeResponder{}), Attempt{Request: request, Target: w.targets["a0:1"]})
			c.start()
			if !c.chooseTarget(time.Now()) {
				t.Fatal("no target for a copy")
			}
			holder := *c.explicitTarget
			name := c.source.Address + "/copy"
			w.store(holder.Address, name, heldCopy{tokens: 6_000, until: time.Now().Add(time.Minute)})
			c.handleResult(copyResult{standbyCopy: standbyCopy{holder, Copy{c.source.Address, "copy"}, byCopy}})
			c.handleResult(copyResult{standbyCopy: standbyCopy{holder: holder}, err: errors.New("no memory")})
			c.finish(intact)
			synctest.Wait()
			time.Sleep(time.Second)
			if w.has(holder.Address, name) == intact {
				t.Errorf("intact %v: the copy is still there: %v", intact, !intact)
			}
		})
	}
}
