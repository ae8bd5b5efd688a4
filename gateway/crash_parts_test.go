package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vanillaroad/vanillaroad/exchange"
	"github.com/vanillaroad/vanillaroad/fleet"
	"github.com/vanillaroad/vanillaroad/forward"
	"github.com/vanillaroad/vanillaroad/quarantine"
)

// requestWithParts returns a request that was sent to a target a second ago.
func requestWithParts(id string, parts ...string) *forward.Request {
	return &forward.Request{ID: id, Body: []byte(id), Prompt: forward.Prompt{Parts: parts}, SentAt: time.Now().Add(-time.Second)}
}

// crashUnderPart lets targets crash in turn under different requests with a part.
func crashUnderPart(tracker *crashTracker, part string) {
	for i := range 4 {
		time.Sleep(2 * time.Second)
		id := fmt.Sprint(part, i)
		tracker.ReportCrash(requestWithParts(id, part, "other-"+id), fleet.Target{ID: "i-" + id}, true)
	}
}

// TestBlamesAreStored guards against parts of prompts that crash targets again after a
// restart of all daemons, and against blame that comes back after it was cleared.
func TestBlamesAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &simStore{}
		first, _ := newTestVerdicts(t, store)
		crashUnderPart(first, "x")
		time.Sleep(time.Second)
		if names := store.names(); len(names) != 1 {
			t.Fatalf("stored: %v", names)
		}
		second, v := newTestVerdicts(t, store)
		v.load(t.Context())
		if second.Check(t.Context(), requestWithParts("new", "a", "x")) == nil {
			t.Error("a daemon that starts later doesn't refuse requests with the part")
		}
		if err := second.Check(t.Context(), requestWithParts("new", "a", "other-x1")); err != nil {
			t.Errorf("a request with another part is refused: %v", err)
		}
		second.ReportCompletion(requestWithParts("sound", "x"))
		if err := second.Check(t.Context(), requestWithParts("new", "a", "x")); err != nil {
			t.Errorf("a request is refused after one with the part ran well: %v", err)
		}
		time.Sleep(quarantineSettings().Decay.Std())
		crashUnderPart(second, "y")
		time.Sleep(time.Second)
		if names := store.names(); len(names) != 1 || names[0] != blameName(quarantine.Blame{Parts: []string{"y"}}) {
			t.Errorf("stored after the crashes have decayed: %v", names)
		}
	})
}

// TestOneDaemonRunsTrials guards against several daemons that try a part of prompts which
// crashes targets, or none that tries one which is sound.
func TestOneDaemonRunsTrials(t *testing.T) {
	const daemons = 8
	ran := make(map[int]bool)
	for round := range 40 {
		b, runners := quarantine.Blame{Parts: []string{"x"}, Rounds: round}, 0
		for i := range daemons {
			m := &members{self: exchange.Member{ID: fmt.Sprint("vm-", i)}, list: exchange.NewMemberList(fmt.Sprint("vm-", i), 1)}
			for j := range daemons {
				id := fmt.Sprint("vm-", j)
				m.list.Put(time.Now(), exchange.Member{ID: id, Peers: id})
			}
			if m.runsTrials(b) {
				runners++
				ran[i] = true
			}
		}
		if runners != 1 {
			t.Errorf("%d daemons run the trials of round %d, want 1", runners, round)
		}
	}
	if len(ran) < daemons/2 {
		t.Errorf("only %d of %d daemons run trials", len(ran), daemons)
	}
}
