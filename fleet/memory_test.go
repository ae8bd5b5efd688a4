package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// memoryDaemon is one of many daemons that choose among the same targets.
type memoryDaemon struct {
	*Fleet
	id      string
	delay   time.Duration // until the others know of its load
	runs    []memoryRun
	reports []memoryReport
}

// memoryRun is a request at a target until its end.
type memoryRun struct {
	request *ActiveRequest
	end     time.Time
}

// memoryReport is a load that reaches the other daemons at a time.
type memoryReport struct {
	at    time.Time
	loads map[string]DaemonLoad
}

const targetTokens = 55_000

// newMemoryDaemons returns daemons whose reports are 100 to 750 ms old.
func newMemoryDaemons(daemons, targets int, random *rand.Rand) []*memoryDaemon {
	out := make([]*memoryDaemon, daemons)
	for i := range out {
		f := New(fmt.Sprint("p", i%6), random.Uint64())
		f.SetStaleness(500 * time.Millisecond)
		f.SetReportAge(750 * time.Millisecond)
		f.SetDaemons(i, daemons)
		for j := range targets {
			f.Put(Target{ID: fmt.Sprintf("t%03d", j), Service: "s", Address: fmt.Sprint("10.0.0.1:", j), Place: fmt.Sprint("p", j%6), Slots: 16, StartMillis: 1})
		}
		out[i] = &memoryDaemon{Fleet: f, id: fmt.Sprint("vm-", i), delay: 100*time.Millisecond + time.Duration(random.IntN(650))*time.Millisecond}
	}
	return out
}

// exchange ends runs, and sends and delivers reports that are due.
func exchange(now time.Time, daemons []*memoryDaemon, used map[string]int) {
	for _, d := range daemons {
		kept := d.runs[:0]
		for _, r := range d.runs {
			if now.Before(r.end) {
				kept = append(kept, r)
				continue
			}
			used[r.request.targetID] -= r.request.demand.MemoryTokens
			r.request.Done(now, false)
		}
		d.runs = kept
		d.reports = append(d.reports, memoryReport{now.Add(d.delay), d.OwnLoads()})
		for len(d.reports) > 0 && !now.Before(d.reports[0].at) {
			for _, other := range daemons {
				if other != d {
					other.SetPeerLoads(d.id, d.reports[0].loads)
				}
			}
			d.reports = d.reports[1:]
		}
	}
}

// send sends a request to the target that the daemon chooses.
func (d *memoryDaemon) send(t *testing.T, now time.Time, tokens int, end time.Time, used map[string]int) (target string) {
	criteria, demand := promptOf(tokens)
	got, err := d.Pick(now, criteria)
	if err != nil {
		t.Fatal(err)
	}
	used[got.ID] += tokens
	d.runs = append(d.runs, memoryRun{d.Begin(now, got.ID, demand), end})
	return got.ID
}

// leastUsed returns the used memory of the target with the most room.
func leastUsed(used map[string]int, targets int) int {
	least := targetTokens
	for j := range targets {
		least = min(least, used[fmt.Sprintf("t%03d", j)])
	}
	return least
}

// round is the time between two requests of each daemon, reportInterval that between its reports.
const (
	round          = time.Second
	reportInterval = 500 * time.Millisecond
)

// overfill lets all daemons choose at the same time, once per round, and returns how many
// requests were sent, and how many exceeded the memory of their target while another one had room.
func overfill(t *testing.T, targets, rounds int, seed uint64) (sent, over int) {
	const daemons = 90
	random := rand.New(rand.NewPCG(seed, uint64(targets)))
	fleet, used := newMemoryDaemons(daemons, targets, random), make(map[string]int)
	// A run takes until half of the memory is in use.
	length := time.Duration(0.5 * float64(targets) * targetTokens / 12_500 / daemons * float64(round))
	for now := start; now.Before(start.Add(time.Duration(rounds) * round)); now = now.Add(reportInterval) {
		exchange(now, fleet, used)
		if now.Sub(start)%round != 0 {
			continue
		}
		for _, i := range random.Perm(daemons) {
			tokens := 5000 + random.IntN(15_001)
			hadRoom := leastUsed(used, targets)+tokens <= targetTokens
			id := fleet[i].send(t, now, tokens, now.Add(length/2+time.Duration(random.Int64N(int64(length)))), used)
			sent++
			if used[id] > targetTokens && hadRoom {
				over++
			}
		}
	}
	return sent, over
}

// TestSimultaneousRequestsFit guards against targets that crash because many daemons choose the
// same one at the same moment, while others have room.
func TestSimultaneousRequestsFit(t *testing.T) {
	for _, targets := range []int{45, 60, 90, 180, 300} {
		for seed := range uint64(20) {
			if sent, over := overfill(t, targets, 1, seed); over > 0 {
				t.Errorf("%d targets, seed %d: %d of %d requests exceeded the memory of their target while another one had room", targets, seed, over, sent)
			}
		}
	}
}

// TestTargetsGetNoMoreThanTheirMemory guards against the same while targets are in use.
func TestTargetsGetNoMoreThanTheirMemory(t *testing.T) {
	for _, targets := range []int{90, 180} {
		t.Run(fmt.Sprint(targets, " targets"), func(t *testing.T) {
			sum := 0
			for seed := range uint64(2) {
				_, over := overfill(t, targets, 12, seed)
				sum += over
			}
			if sum > 0 {
				t.Errorf("%d requests exceeded the memory of their target while another one had room", sum)
			}
		})
	}
}

// TestRestartedTargetIsNotFilledAtOnce guards against a target that crashed with its memory full
// and gets the same load again when it has just restarted.
func TestRestartedTargetIsNotFilledAtOnce(t *testing.T) {
	const targets = 90
	random := rand.New(rand.NewPCG(1, 1))
	fleet, used := newMemoryDaemons(90, targets, random), make(map[string]int)
	entry := Target{ID: "t007", Service: "s", Address: "10.0.0.1:7", Place: "p1", Slots: 16, StartMillis: 2}
	for _, d := range fleet {
		d.SetPeerLoads("other", map[string]DaemonLoad{"t007": {Running: 4, MemoryTokens: targetTokens}})
		d.SetPeerLoads("other", nil)
		d.Put(entry)
	}
	send := func(now time.Time) {
		for range 2 {
			for _, d := range fleet {
				d.send(t, now, 5000+random.IntN(8000), now.Add(time.Hour), used)
			}
		}
	}
	send(start)
	if used["t007"] > targetTokens/2 {
		t.Errorf("a target that has just crashed has %d of %d tokens after its restart", used["t007"], targetTokens)
	}
	now := start.Add(restartTime + time.Second)
	if got := fleet[0].targets["t007"].usableMemory(now, targetTokens); got != targetTokens {
		t.Errorf("%d tokens of the target are used %v after its restart, want all", got, now.Sub(start))
	}
}

// TestUnknownMemoryChangesNoChoice guards against other choices for services whose targets state
// no memory.
func TestUnknownMemoryChangesNoChoice(t *testing.T) {
	f := newTestFleet(6)
	f.SetStaleness(500 * time.Millisecond)
	f.SetDaemons(0, 3)
	for _, c := range []Criteria{{Service: "s"}, {Service: "s", MemoryTokens: 9000}, {Service: "s", MemoryTokens: 1, CapacityTokens: targetTokens}, {Service: "s", MemoryTokens: 9000, CapacityTokens: targetTokens, ForCopy: true}} {
		own, others := f.byMemory(start, &c, f.candidates(start, c, false))
		if len(own)+len(others[0])+len(others[1]) > 0 {
			t.Errorf("%+v restricts the choice by memory", c)
		}
	}
}
