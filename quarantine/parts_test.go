package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// partScene plays runs of requests against a PartLedger.
type partScene struct {
	*PartLedger
	now      time.Time
	contents uint64
	targets  int
	trials   bool // are run by this daemon
}

func (s *partScene) runsTrials(Blame) bool { return s.trials }

func newPartScene() *partScene {
	return &partScene{PartLedger: NewPartLedger(DefaultPartSettings(DefaultSettings())), now: time.Unix(1000, 0)}
}

const runTime = time.Second

// crash lets a target crash, runTime after requests began there, each given by its parts.
func (s *partScene) crash(requests ...[]string) {
	s.targets++
	s.now = s.now.Add(runTime + 10*time.Millisecond)
	for _, parts := range requests {
		s.contents++
		s.ReportCrash(s.now, CrashReport{Request: RequestKey{ID: fmt.Sprint(s.contents), Fingerprint: s.contents}, Target: fmt.Sprint("t-", s.targets), AtStart: true, Parts: parts, Ran: runTime})
	}
	s.now = s.now.Add(s.settings.SettleTime)
}

func (s *partScene) refuses(parts ...string) bool {
	return s.Refusal(s.now, fmt.Sprint(parts), parts, s.runsTrials) != nil
}

func (s *partScene) check(t *testing.T, want bool, parts ...string) {
	t.Helper()
	if s.refuses(parts...) != want {
		t.Errorf("a request with parts %v is refused: %v, want %v (blamed: %+v)", parts, !want, want, s.Blamed(s.now))
	}
}

// TestPartIsBlamed guards against a part of prompts that crashes targets under requests of
// which no two are alike, and against refusing what only stood beside it.
func TestPartIsBlamed(t *testing.T) {
	tests := map[string]func(t *testing.T, s *partScene){
		"three crashes of different requests": func(t *testing.T, s *partScene) {
			s.crash([]string{"a", "x"})
			s.crash([]string{"b", "x"})
			s.check(t, false, "c", "x")
			s.crash([]string{"a", "x"})
			s.check(t, true, "c", "x")
			s.check(t, true, "x")
			s.check(t, false, "a", "b")
		},
		"requests beside it": func(t *testing.T, s *partScene) {
			for i := range 6 {
				s.crash([]string{"a", "x"}, []string{"a", fmt.Sprint("m", i)}, []string{"n"})
				s.ReportSound(s.now.Add(runTime), []string{"n"})
			}
			s.ReportSound(s.now.Add(runTime), []string{"a"})
			s.check(t, true, "a", "x")
			s.check(t, false, "a", "m")
			s.check(t, false, "n")
		},
		"parts that can't be told apart": func(t *testing.T, s *partScene) {
			for range 4 {
				s.crash([]string{"a", "x"})
			}
			s.check(t, true, "a", "x")
			s.check(t, false, "a")
			s.check(t, false, "b", "x")
			s.crash([]string{"b", "x"})
			s.check(t, true, "c", "x")
			s.check(t, false, "a", "c")
		},
		"parts that still can't": func(t *testing.T, s *partScene) {
			for range s.settings.MaxAmbiguous {
				s.crash([]string{"a", "x"}, []string{"m"})
			}
			s.check(t, true, "b", "x")
			s.ReportSound(s.now, []string{"m"})
			s.check(t, false, "m")
		},
		"a request that runs well clears its parts": func(t *testing.T, s *partScene) {
			for range 4 {
				s.crash([]string{"a", "x"})
			}
			s.ReportSound(s.now.Add(time.Millisecond), []string{"a", "y"})
			s.check(t, true, "b", "x")
			s.check(t, false, "a", "y")
			s.ReportSound(s.now.Add(time.Millisecond), []string{"x"})
			s.check(t, false, "a", "x")
		},
		"a crash that is reported after a later sound run": func(t *testing.T, s *partScene) {
			s.ReportSound(s.now.Add(time.Minute), []string{"x"})
			for range 4 {
				s.crash([]string{"x"})
			}
			s.check(t, false, "x")
		},
		"a part that ran well before needs more crashes": func(t *testing.T, s *partScene) {
			s.ReportSound(s.now, []string{"a"})
			for range 4 {
				s.crash([]string{"a"})
			}
			s.check(t, false, "a")
			s.crash([]string{"a"})
			s.check(t, true, "a")
		},
		"one request alone": func(t *testing.T, s *partScene) {
			for range 4 {
				s.contents = 0
				s.crash([]string{"x"})
			}
			s.check(t, false, "x")
		},
		"one request alone, and another beside a crash whose reports are on their way": func(t *testing.T, s *partScene) {
			for range 4 {
				s.contents = 0
				s.crash([]string{"x", "m"})
			}
			s.contents = 1
			s.crash([]string{"m"})
			s.now = s.now.Add(-s.settings.SettleTime)
			s.check(t, false, "m")
		},
		"targets that fail together": func(t *testing.T, s *partScene) {
			for range 8 {
				at := s.now
				s.crash([]string{"a"})
				s.now = at
			}
			s.now = s.now.Add(runTime)
			s.check(t, false, "a")
			s.ReportSound(s.now.Add(runTime), []string{"a"})
			s.now = s.now.Add(s.settings.ConfirmTime)
			s.check(t, false, "a")
		},
		"requests that arrive together": func(t *testing.T, s *partScene) {
			for range 8 {
				at := s.now
				s.crash([]string{"x"})
				s.now = at
			}
			s.now = s.now.Add(2 * runTime)
			s.check(t, false, "x")
			s.now = s.now.Add(s.settings.ConfirmTime)
			s.check(t, true, "x")
		},
		"two of them at the same time": func(t *testing.T, s *partScene) {
			for range 3 {
				s.crash([]string{"a", "x"}, []string{"m"})
				s.crash([]string{"a", "y"}, []string{"m"})
			}
			s.ReportSound(s.now, []string{"a"})
			s.ReportSound(s.now, []string{"m"})
			s.check(t, true, "a", "x")
			s.check(t, true, "b", "y")
			s.check(t, false, "m")
		},
		"reports of one crash": func(t *testing.T, s *partScene) {
			for range 4 {
				s.crash([]string{"a", "x"})
				s.targets--
			}
			s.now = s.now.Add(time.Second)
			s.check(t, false, "a", "x")
		},
		"trials": func(t *testing.T, s *partScene) {
			for range 4 {
				s.crash([]string{"x"})
			}
			delay := 4 * s.settings.TrialDelay // after four rounds
			s.now = s.now.Add(delay)
			s.check(t, true, "a", "x")
			s.trials = true
			s.now = s.now.Add(-time.Second)
			s.check(t, true, "a", "x")
			s.now = s.now.Add(time.Second)
			s.check(t, false, "a", "x")
			s.check(t, false, "a", "x") // the same request, when it is sent
			s.check(t, true, "b", "x")
			s.crash([]string{"a", "x"})
			s.check(t, true, "a", "x")
			s.now = s.now.Add(2*delay - time.Second)
			s.check(t, true, "b", "x")
			s.now = s.now.Add(time.Second)
			s.check(t, false, "b", "x")
			s.ReportSound(s.now, []string{"b", "x"})
			s.check(t, false, "c", "x")
		},
		"crashes decay": func(t *testing.T, s *partScene) {
			for range 4 {
				s.crash([]string{"x"})
			}
			s.now = s.now.Add(s.settings.Decay + time.Second)
			s.check(t, false, "x")
			if !s.Empty() {
				t.Error("crashes are kept after they have decayed")
			}
		},
		"a daemon that gets the evidence": func(t *testing.T, s *partScene) {
			for range 4 {
				s.crash([]string{"a", "x"}, []string{"m"})
				s.crash([]string{"b", "x"})
			}
			other := newPartScene()
			other.now = s.now
			for _, r := range s.Evidence(s.now, s.Blamed(s.now)[0]) {
				other.ReportCrash(s.now, r)
			}
			other.check(t, true, "c", "x")
			other.check(t, false, "a", "b")
		},
		"other crashes don't evict its own": func(t *testing.T, s *partScene) {
			for range 4 {
				s.crash([]string{"a", "x"}, []string{"m"})
			}
			at := s.now
			for i := range 2 * s.settings.MaxRecorded {
				s.crash([]string{fmt.Sprint("other-", i)})
				s.now = at
			}
			s.check(t, true, "m", "a", "x")
			if len(s.crashes) > s.settings.MaxRecorded {
				t.Errorf("%d crashes are kept", len(s.crashes))
			}
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(t, newPartScene()) })
	}
}

// TestBlameAmongSoundRequests guards against blame for parts that sound requests share with
// those that crash targets, whatever runs beside them, and against a part that isn't blamed
// after a few crashes.
func TestBlameAmongSoundRequests(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 0))
		s := newPartScene()
		part := func(kind string, n int) string { return fmt.Sprint(kind, random.IntN(n)) }
		sound := func() []string { return []string{part("first", 5), part("middle", 20), part("rare", 5000)} }
		crashes := 0
		for range 40 {
			deadly := slices.Insert(sound(), random.IntN(4), "deadly")
			if !s.refuses(deadly...) {
				crashes++
				requests := [][]string{deadly}
				for range random.IntN(8) {
					requests = append(requests, sound())
				}
				s.crash(requests...)
				for _, parts := range requests[1:] {
					if random.IntN(4) > 0 { // it runs well at another target
						s.ReportSound(s.now.Add(time.Duration(random.Int64N(int64(2*runTime)))), parts)
					}
				}
			}
			for range random.IntN(3) {
				if parts := sound(); s.refuses(parts...) {
					t.Fatalf("seed %d: a sound request with %v is refused: %+v", seed, parts, s.Blamed(s.now))
				} else {
					s.ReportSound(s.now, parts)
				}
			}
		}
		if crashes > 5 {
			t.Errorf("seed %d: %d targets crashed", seed, crashes)
		}
	}
}
