package admission

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/target"
)

// roundRobinPlacer places tickets on free targets in rotation. It is cheap, so that
// benchmarks measure the controller.
type roundRobinPlacer struct {
	names []string
	next  int
}

func (p *roundRobinPlacer) Place(_ time.Time, _ Ticket, free func(string) bool) (string, PlacementResult) {
	for i := range p.names {
		if name := p.names[(p.next+i)%len(p.names)]; free(name) {
			p.next += i + 1
			return name, Placed
		}
	}
	return "", AllBusy
}

// loadedController returns a controller whose permits are all in use, with queued
// tickets of several workspaces. It also returns the last ticket ID.
func loadedController(targets, workspaces, queued int) (*Controller, uint64) {
	s := DefaultSettings()
	s.MaxQueued, s.MaxQueuedBytes = 1<<30, 1<<50
	p := &roundRobinPlacer{}
	m := Configure{Lanes: make(map[string][]string)}
	for i := range targets {
		name := fmt.Sprint("e", i)
		p.names = append(p.names, name)
		m.Targets = append(m.Targets, TargetLimit{Name: name, Permits: 4})
	}
	m.Lanes[testLane] = p.names
	c := NewController(s, p)
	c.Step(start, m)
	var id uint64
	for range 4*targets + queued {
		id++
		c.Step(start, Submit{benchTicket(id, workspaces)})
	}
	return c, id
}

func benchTicket(id uint64, workspaces int) Ticket {
	return Ticket{
		ID: id, Request: "r", Workspace: fmt.Sprint("w", id%uint64(workspaces)), Lane: testLane, Priority: target.Normal,
		Deadline: start.Add(time.Hour), Bytes: 1000, Weight: 1, MaxQueued: 1 << 30,
	}
}

// BenchmarkGrant measures one request under load: the request is submitted and
// queued, a permit is released, and a queued ticket is granted.
func BenchmarkGrant(b *testing.B) {
	for _, targets := range []int{24, 53, 106} {
		for _, workspaces := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("targets=%d/workspaces=%d", targets, workspaces), func(b *testing.B) {
				c, id := loadedController(targets, workspaces, 2000)
				permitID := uint64(1)
				b.ReportAllocs()
				for b.Loop() {
					id++
					c.Step(start, Submit{benchTicket(id, workspaces)})
					for c.permits[permitID] == nil {
						permitID = anyPermit(c)
					}
					c.Step(start, Release{permitID, true})
				}
			})
		}
	}
}

func anyPermit(c *Controller) uint64 {
	for id := range c.permits {
		return id
	}
	return 0
}

// BenchmarkTick measures a Tick with queued tickets.
func BenchmarkTick(b *testing.B) {
	for _, queued := range []int{0, 500, 4096} {
		b.Run(fmt.Sprint("queued=", queued), func(b *testing.B) {
			c, _ := loadedController(53, 100, queued)
			for b.Loop() {
				c.Step(start, Tick{})
			}
		})
	}
}

// BenchmarkShares measures the computation of all shares after a change of the
// fleet.
func BenchmarkShares(b *testing.B) {
	for _, fleetSize := range []int{8, 190, 760} {
		b.Run(fmt.Sprintf("daemons=%d/targets=10000", fleetSize), func(b *testing.B) {
			live := daemonIDs(fleetSize)
			for b.Loop() {
				f := NewFleet("vm-0", live)
				for i := range 10000 {
					f.Share(fmt.Sprint("e", i), 16, 2)
				}
			}
		})
	}
}

func heapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory reports heap bytes per queued ticket, per target and per queued
// workspace.
func BenchmarkMemory(b *testing.B) {
	cases := []struct {
		name                       string
		targets, workspaces, queue int
		count                      float64
	}{
		{"B/ticket", 1, 1, 20000, 20000},
		{"B/target", 10000, 1, 0, 10000},
		{"B/queued-workspace", 1, 10000, 10000, 10000},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			var controller *Controller
			for b.Loop() {
				controller = nil
				heapBefore := heapBytes()
				controller, _ = loadedController(c.targets, c.workspaces, c.queue)
				b.ReportMetric((heapBytes()-heapBefore)/c.count, c.name)
			}
			runtime.KeepAlive(controller)
		})
	}
}
