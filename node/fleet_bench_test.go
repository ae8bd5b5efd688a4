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

// Parameters of the fleet benchmark.
const (
	benchTargets    = 4
	benchWorkspaces = 500
	benchChanges    = 40
	benchSettle     = 15 * time.Second // until the rumors sent at the start have spread
	benchIdle       = 20 * time.Second
	// benchChangeInterval is the mean interval of 75,000 changes per day.
	benchChangeInterval = 1152 * time.Millisecond
)

// resourceUsage is the cumulative resource usage of a fleet.
type resourceUsage struct {
	measuredAt         time.Time
	cpu                time.Duration
	membershipBytes    int64
	configurationBytes int64
	calls              map[string]int64 // to the platform, by method
}

func (f *fleet) resourceUsage() resourceUsage {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	c := resourceUsage{measuredAt: time.Now(), cpu: time.Duration(u.Utime.Nano() + u.Stime.Nano()), calls: f.platform.Calls()}
	for _, n := range f.nodes {
		c.membershipBytes += n.transport.Traffic(peer.MembershipBase)
		c.configurationBytes += n.transport.Traffic(peer.ConfigurationBase)
		c.membershipBytes += n.transport.Traffic(0) // hellos and pings
	}
	return c
}

func reportUsage(b *testing.B, phase string, nodes int, from, to resourceUsage) {
	seconds := to.measuredAt.Sub(from.measuredAt).Seconds()
	nodeSeconds := seconds * float64(nodes)
	b.ReportMetric(float64(to.cpu-from.cpu)/1e6/nodeSeconds, phase+"-cpu-ms/s/node")
	b.ReportMetric(float64(to.membershipBytes-from.membershipBytes)/nodeSeconds, phase+"-membership-B/s/node")
	b.ReportMetric(float64(to.configurationBytes-from.configurationBytes)/nodeSeconds, phase+"-configuration-B/s/node")
	for _, kind := range []string{"get", "watch", "vms", "put", "delete"} {
		b.ReportMetric(float64(to.calls[kind]-from.calls[kind])/seconds, phase+"-"+kind+"-calls/s")
	}
}

// BenchmarkFleet measures the resource usage of daemons that are idle and while the
// configuration changes 75,000 times per day, and the time until a change is active
// on all daemons: go test ./node -run '^$' -bench Fleet -benchtime 1x
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
	waitUntil(func() bool { return f.allActive(1) && f.allMembersAlive() })
	time.Sleep(benchSettle)
	for b.Loop() {
		initial := f.resourceUsage()
		time.Sleep(benchIdle)
		idle := f.resourceUsage()
		reportUsage(b, "idle", n, initial, idle)
		durations := f.applyChanges(b)
		reportUsage(b, "changes", n, idle, f.resourceUsage())
		slices.Sort(durations)
		b.ReportMetric(float64(durations[len(durations)/2].Microseconds())/1000, "in-force-p50-ms")
		b.ReportMetric(float64(durations[len(durations)-1].Microseconds())/1000, "in-force-max-ms")
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		b.ReportMetric(float64(mem.HeapInuse)/float64(n)/(1<<20), "heap-MB/node")
	}
}

// benchDocument returns a document with few targets, so that the cost of polling them
// is negligible.
func (f *fleet) benchDocument() configuration.Document {
	d := f.document(benchTargets)
	for i := range benchWorkspaces {
		d.Workspaces = append(d.Workspaces, configuration.Workspace{Name: fmt.Sprintf("w%05d", i), Weight: 1})
	}
	return d
}

// applyChanges applies changes through the daemons in turn. It returns for each the
// time from the request until the change was active on all daemons.
func (f *fleet) applyChanges(b *testing.B) []time.Duration {
	var durations []time.Duration
	d := f.benchDocument()
	version := f.nodes[0].snapshot.Load().Version
	for i := range benchChanges {
		d.Workspaces[i].Weight = 1 + int(version)%100
		start := time.Now()
		if _, err := f.apply(i%len(f.nodes), d, version, 0); err != nil {
			b.Fatal(err)
		}
		version++
		waitUntil(func() bool { return f.allActive(version) })
		durations = append(durations, time.Since(start))
		time.Sleep(benchChangeInterval - time.Since(start))
	}
	return durations
}

// Durations of the outage benchmark.
const (
	benchOutage   = 30 * time.Second
	benchRecovery = 15 * time.Second
	benchSample   = 500 * time.Millisecond // of the call rate, see peakCalls
)

// BenchmarkOutage measures the rate of calls to the platform before, during and after
// an outage of the platform: go test ./node -run '^$' -bench Outage -benchtime 1x
func BenchmarkOutage(b *testing.B) {
	for i, n := range []int{8, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { benchPlatformOutage(b, 68+i, n) })
	}
}

func benchPlatformOutage(b *testing.B, subnet, n int) {
	f, err := newFleet(subnet, n)
	if err != nil {
		b.Fatal(err)
	}
	defer f.close()
	if _, err := f.apply(0, f.benchDocument(), 0, 0); err != nil {
		b.Fatal(err)
	}
	waitUntil(func() bool { return f.allActive(1) && f.allMembersAlive() })
	for b.Loop() {
		b.ReportMetric(f.peakCalls(benchRecovery), "before-peak-calls/s")
		f.platform.SetFaults(standin.PlatformFaults{Down: true})
		b.ReportMetric(f.peakCalls(benchOutage), "outage-peak-calls/s")
		f.platform.SetFaults(standin.PlatformFaults{})
		b.ReportMetric(f.peakCalls(benchRecovery), "return-peak-calls/s")
	}
}

// peakCalls returns the highest rate of calls per second in any sample of a phase.
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
