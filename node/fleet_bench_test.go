package node

import (
	"fmt"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/peer"
)

// Load of one measured fleet.
const (
	benchTargets    = 4
	benchWorkspaces = 500
	benchChanges    = 40
	benchSettle     = 15 * time.Second // until the rumors of the start have ended
	benchIdle       = 20 * time.Second
	// benchPause paces changes as 75,000 changes a day do.
	benchPause = 1152 * time.Millisecond
)

// cost is what a fleet has spent so far.
type cost struct {
	at     time.Time
	cpu    time.Duration
	member int64
	config int64
	calls  map[string]int64
}

func (f *fleet) cost() cost {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	c := cost{at: time.Now(), cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano()), calls: f.platform.Calls()}
	for _, n := range f.nodes {
		c.member += n.transport.Traffic(peer.MembershipBase)
		c.config += n.transport.Traffic(peer.ConfigurationBase)
		c.member += n.transport.Traffic(0) // hellos and pings
	}
	return c
}

func report(b *testing.B, phase string, nodes int, from, to cost) {
	seconds := to.at.Sub(from.at).Seconds()
	each := seconds * float64(nodes)
	b.ReportMetric(float64(to.cpu-from.cpu)/1e6/each, phase+"-cpu-ms/s/node")
	b.ReportMetric(float64(to.member-from.member)/each, phase+"-membership-B/s/node")
	b.ReportMetric(float64(to.config-from.config)/each, phase+"-configuration-B/s/node")
	for _, kind := range []string{"get", "watch", "vms", "put", "delete"} {
		b.ReportMetric(float64(to.calls[kind]-from.calls[kind])/seconds, phase+"-"+kind+"-calls/s")
	}
}

// BenchmarkFleet measures what daemons spend when idle and while the
// configuration changes 75,000 times a day, and the time until a change is in
// force on all: go test ./node -run '^$' -bench Fleet -benchtime 1x
func BenchmarkFleet(b *testing.B) {
	for i, n := range []int{8, 16, 32, 64, 128, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchFleet(b, 60+i, n) })
	}
}

func benchFleet(b *testing.B, subnet, n int) {
	f, err := newFleet(subnet, n)
	if err != nil {
		b.Fatal(err)
	}
	defer f.close()
	if _, err := f.apply(0, f.benchDocument(), 0, 0); err != nil {
		b.Fatal(err)
	}
	await(func() bool { return f.inForce(1) && f.acquainted() })
	time.Sleep(benchSettle)
	for b.Loop() {
		before := f.cost()
		time.Sleep(benchIdle)
		idle := f.cost()
		report(b, "idle", n, before, idle)
		spans := f.change(b)
		report(b, "changes", n, idle, f.cost())
		slices.Sort(spans)
		b.ReportMetric(float64(spans[len(spans)/2].Microseconds())/1000, "in-force-p50-ms")
		b.ReportMetric(float64(spans[len(spans)-1].Microseconds())/1000, "in-force-max-ms")
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		b.ReportMetric(float64(mem.HeapInuse)/float64(n)/(1<<20), "heap-MB/node")
	}
}

// benchDocument has few targets, so that polling them costs next to nothing.
func (f *fleet) benchDocument() configuration.Document {
	d := f.document(benchTargets)
	for i := range benchWorkspaces {
		d.Workspaces = append(d.Workspaces, configuration.Workspace{Name: fmt.Sprintf("w%05d", i), Weight: 1})
	}
	return d
}

// change applies changes through the daemons in turn and returns the time from
// asking until in force on all, each.
func (f *fleet) change(b *testing.B) []time.Duration {
	var spans []time.Duration
	d := f.benchDocument()
	version := f.nodes[0].snapshot.Load().Version
	for i := range benchChanges {
		d.Workspaces[i].Weight = 1 + int(version)%100
		began := time.Now()
		if _, err := f.apply(i%len(f.nodes), d, version, 0); err != nil {
			b.Fatal(err)
		}
		version++
		await(func() bool { return f.inForce(version) })
		spans = append(spans, time.Since(began))
		time.Sleep(benchPause - time.Since(began))
	}
	return spans
}

// Phases of a measured outage.
const (
	benchOutage = 30 * time.Second
	benchReturn = 15 * time.Second
	benchSample = 500 * time.Millisecond
)

// BenchmarkOutage measures the calls that daemons make before, in and after an
// outage of the platform: go test ./node -run '^$' -bench Outage -benchtime 1x
func BenchmarkOutage(b *testing.B) {
	for i, n := range []int{8, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchOutageOf(b, 68+i, n) })
	}
}

func benchOutageOf(b *testing.B, subnet, n int) {
	f, err := newFleet(subnet, n)
	if err != nil {
		b.Fatal(err)
	}
	defer f.close()
	if _, err := f.apply(0, f.benchDocument(), 0, 0); err != nil {
		b.Fatal(err)
	}
	await(func() bool { return f.inForce(1) && f.acquainted() })
	for b.Loop() {
		b.ReportMetric(f.peakCalls(benchReturn), "before-peak-calls/s")
		f.platform.SetFaults(standin.PlatformFaults{Down: true})
		b.ReportMetric(f.peakCalls(benchOutage), "outage-peak-calls/s")
		f.platform.SetFaults(standin.PlatformFaults{})
		b.ReportMetric(f.peakCalls(benchReturn), "return-peak-calls/s")
	}
}

// peakCalls returns the highest rate of calls in any sample of a phase.
func (f *fleet) peakCalls(phase time.Duration) float64 {
	total := func() (sum int64) {
		for _, v := range f.platform.Calls() {
			sum += v
		}
		return sum
	}
	var peak int64
	last := total()
	for end := time.Now().Add(phase); time.Now().Before(end); {
		time.Sleep(benchSample)
		now := total()
		peak = max(peak, now-last)
		last = now
	}
	return float64(peak) / benchSample.Seconds()
}
