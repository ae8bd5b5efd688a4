package forward

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/ingress"
)

// vanishInTurn makes the places vanish one after the other until done is closed.
func (w *copyTargets) vanishInTurn(done <-chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-time.After(vanishInterval):
		case <-done:
			return
		}
		w.vanish(fmt.Sprintf("place-%c", 'a'+i%3))
	}
}

// TestCopiesOutlastPlacesThatVanishInTurn guards against streams that are lost a second time before
// they have another copy: it was in the place of the run, or was refused while the target made
// another one, or was not asked for again once no target had room. 10 to 21 of 100 resumes were
// without a copy.
func TestCopiesOutlastPlacesThatVanishInTurn(t *testing.T) {
	for capacity, name := range map[int]string{200_000: "much memory", 60_000: "little memory"} {
		t.Run(name, inBubble(func(t *testing.T) {
			s, w := newCopyTargets(3, 8, capacity, 300)
			done := make(chan struct{})
			go w.vanishInTurn(done)
			got := s.serveMany(t, 48, streamRoute)
			close(done)
			for i, c := range got {
				if !c.receivedAll(300) {
					t.Errorf("stream %d: %d events, ended %v, error %v", i, len(c.events), c.ended, c.err)
				}
			}
			if fromCopy, without := w.counts(); without > fromCopy/20 {
				t.Errorf("%d attempts resumed from a copy, %d without", fromCopy, without)
			}
			time.Sleep(2 * copyRetention)
			synctest.Wait()
		}))
	}
}

// TestServiceWithoutCopiesAsksForNone guards against copies, searches for their holders and moves in a
// service whose targets don't copy their runs.
func TestServiceWithoutCopiesAsksForNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := newCopyTargets(3, 2, 200_000, 300)
		s.Model = func(string) *ingress.Model { return &ingress.Model{KVCacheTokens: 200_000} }
		done := make(chan struct{})
		go w.vanishInTurn(done)
		got := s.serveMany(t, 6, streamRoute)
		close(done)
		for i, c := range got {
			if !c.receivedAll(300) {
				t.Errorf("stream %d: %d events, ended %v, error %v", i, len(c.events), c.ended, c.err)
			}
		}
		for id, sent := range w.sent {
			for _, a := range sent {
				if a.CopyTo != nil || a.Resume != (Copy{}) {
					t.Errorf("%s is sent to %s with a copy to %v, from %v", id, a.Target.ID, a.CopyTo, a.Resume)
				}
			}
		}
		if w.requests > 0 || w.copied[true]+w.copied[false] > 0 {
			t.Errorf("%d copies or moves were requested", w.requests)
		}
		time.Sleep(vanishInterval)
		synctest.Wait()
	})
}
