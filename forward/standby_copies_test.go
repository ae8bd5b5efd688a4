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
			s, w := newCopyTargets(1, 8, capacity, 300)
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

// latestAttempt returns the latest attempt of the first request, and how many there were.
func (w *copyTargets) latestAttempt() (Attempt, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	sent := w.sent["r0"]
	if len(sent) == 0 {
		return Attempt{}, 0
	}
	return sent[len(sent)-1], len(sent)
}

// awaitRun waits until the nth attempt of the first request has sent its first event, and returns it.
func (w *copyTargets) awaitRun(n int) Attempt {
	for {
		a, sent := w.latestAttempt()
		w.mu.Lock()
		begun := w.begun[a.Target.Address+"/r0"]
		w.mu.Unlock()
		if sent >= n && begun {
			return a
		}
		time.Sleep(time.Millisecond)
	}
}

// placeOfCopy returns the place of a target that holds a copy of the first request's run, and was not
// its latest target; empty if there is none.
func (w *copyTargets) placeOfCopy() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	for address, memory := range w.memory {
		for _, c := range memory {
			if !c.until.IsZero() && !w.dark[w.targets[address].Place] {
				return w.targets[address].Place
			}
		}
	}
	return ""
}

// vanishNoticed makes the targets of a place vanish, at which other streams run: these have them probed.
func (w *copyTargets) vanishNoticed(s *fixture, place string) {
	w.vanish(place)
	for _, t := range w.targets {
		if t.Place == place {
			s.Prober.Check(t)
		}
	}
}

// fill leaves no memory for copies on the targets outside of a place until release is called.
func (w *copyTargets) fill(s *fixture, place string) (release func()) {
	var releases []func()
	for _, t := range w.targets {
		if t.Place != place {
			releases = append(releases, s.Fleet.ReserveCopy(t.ID, w.capacity-6000))
		}
	}
	return func() {
		for _, r := range releases {
			r()
		}
	}
}

// TestSecondLossSoonAfterAResume guards against streams that prefill their prompt again when they are
// lost a second time soon after a resume from a copy, with three places that vanish in turn.
func TestSecondLossSoonAfterAResume(t *testing.T) {
	cases := []struct {
		name     string
		lostAt   []time.Duration // from the event in question to the second loss
		scenario func(s *fixture, w *copyTargets, lostAt time.Duration)
	}{
		{"after the resume", []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second, 2 * time.Second}, func(_ *fixture, w *copyTargets, lostAt time.Duration) {
			w.vanish(w.awaitRun(1).Target.Place)
			second := w.awaitRun(2)
			time.Sleep(lostAt)
			w.vanish(second.Target.Place)
			third := w.awaitRun(3)
			time.Sleep(2 * time.Second) // the first place is back
			w.vanish(third.Target.Place)
		}},
		{"after the resume, and memory for a copy is free 0.2 s after that", []time.Duration{600 * time.Millisecond, time.Second, 2 * time.Second}, func(s *fixture, w *copyTargets, lostAt time.Duration) {
			first := w.awaitRun(1)
			time.Sleep(100 * time.Millisecond)
			release := w.fill(s, "")
			w.vanish(first.Target.Place)
			second := w.awaitRun(2)
			time.Sleep(200 * time.Millisecond)
			release()
			time.Sleep(lostAt - 200*time.Millisecond)
			w.vanish(second.Target.Place)
		}},
		{"after the resume, at which only the run's place had memory for a copy", []time.Duration{2 * time.Second, 2500 * time.Millisecond}, func(s *fixture, w *copyTargets, lostAt time.Duration) {
			first := w.awaitRun(1)
			time.Sleep(100 * time.Millisecond)
			release := w.fill(s, w.placeOfCopy())
			w.vanish(first.Target.Place)
			second := w.awaitRun(2)
			time.Sleep(200 * time.Millisecond)
			release()
			time.Sleep(lostAt - 200*time.Millisecond)
			w.vanish(second.Target.Place)
		}},
		{"after the holder of the copy has vanished", []time.Duration{1300 * time.Millisecond, 1600 * time.Millisecond, 2 * time.Second, 3 * time.Second}, func(s *fixture, w *copyTargets, lostAt time.Duration) {
			first := w.awaitRun(1)
			time.Sleep(400 * time.Millisecond)
			w.vanishNoticed(s, w.placeOfCopy())
			time.Sleep(lostAt)
			w.vanish(first.Target.Place)
		}},
		{"after the holder of the copy has vanished, which returns, and no other target has memory", []time.Duration{1300 * time.Millisecond, 2 * time.Second}, func(s *fixture, w *copyTargets, lostAt time.Duration) {
			first := w.awaitRun(1)
			time.Sleep(400 * time.Millisecond)
			w.fill(s, "")
			w.vanishNoticed(s, w.placeOfCopy())
			time.Sleep(lostAt)
			w.vanish(first.Target.Place)
		}},
		{"after memory is free elsewhere, and the explicit copy is in the run's place", []time.Duration{600 * time.Millisecond, time.Second}, func(s *fixture, w *copyTargets, lostAt time.Duration) {
			first := w.awaitRun(1)
			time.Sleep(400 * time.Millisecond)
			release := w.fill(s, first.Target.Place)
			w.vanishNoticed(s, w.placeOfCopy())
			time.Sleep(2 * time.Second)
			release()
			time.Sleep(lostAt)
			w.vanish(first.Target.Place)
		}},
	}
	const seeds = 20 // of the sample of targets
	for _, c := range cases {
		for _, lostAt := range c.lostAt {
			for seed := range uint64(seeds) {
				t.Run(fmt.Sprint(lostAt, " ", c.name, ", seed ", seed), inBubble(func(t *testing.T) {
					s, w := newCopyTargets(seed, 2, 60_000, 250)
					go c.scenario(s, w, lostAt)
					got := s.serveMany(t, 1, streamRoute)[0]
					if !got.receivedAll(250) {
						t.Errorf("%d events, ended %v, error %v", len(got.events), got.ended, got.err)
					}
					if fromCopy, without := w.counts(); fromCopy == 0 || without > 0 || got.longest > streamRoute.MaxEventGap {
						t.Errorf("%d attempts resumed from a copy, %d without; the longest pause was %v", fromCopy, without, got.longest)
					}
					time.Sleep(2 * copyRetention)
					synctest.Wait()
				}))
			}
		}
	}
}

// TestServiceWithoutCopiesAsksForNone guards against copies, searches for their holders and moves in a
// service whose targets don't copy their runs.
func TestServiceWithoutCopiesAsksForNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, w := newCopyTargets(1, 2, 200_000, 300)
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
