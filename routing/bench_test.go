package routing

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/target"
)

// warmViews returns the loads and prefix caches of targets that all hold the same
// prompt, and the blocks of that prompt.
func warmViews(targets, blocks int) (*Loads, *Prefixes, []uint64) {
	l, p := NewLoads(), NewPrefixes()
	prompt := make([]uint64, blocks)
	events := make([]target.CacheEvent, blocks)
	for i := range prompt {
		prompt[i] = uint64(i) * 0x9e3779b97f4a7c15
		events[i] = blockAdded(int64(i+1), prompt[i])
	}
	for i := range targets {
		name := fmt.Sprint("e", i)
		l.ApplyReport(start, name, target.Load{Running: i % 7, Slots: 16})
		p.Apply(start, name, events)
	}
	return l, p, prompt
}

// BenchmarkPick measures one choice, from the construction of the candidates to the
// pick.
func BenchmarkPick(b *testing.B) {
	for _, targets := range []int{6, 24, 53} {
		b.Run(fmt.Sprint("targets=", targets), func(b *testing.B) {
			l, p, prompt := warmViews(targets, 512)
			s, random := Default(), rand.New(rand.NewPCG(1, 1))
			names := make([]string, targets)
			for i := range names {
				names[i] = fmt.Sprint("e", i)
			}
			r := &Request{Blocks: prompt, System: configuration.NewSystem}
			b.ReportAllocs()
			for b.Loop() {
				cs := make([]Candidate, 0, targets)
				for _, name := range names {
					report, _ := l.Report(name)
					cs = append(cs, Candidate{
						Target: configuration.Target{Name: name, Permits: 16}, Free: true, Estimated: l.Estimate(name),
						Slots: report.Slots, CachedBlocks: p.CachedPrefixBlocks(start, name, prompt),
					})
				}
				if _, err := s.Pick(r, cs, random); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPoll measures the cost of applying one poll in the control loop.
func BenchmarkPoll(b *testing.B) {
	for _, events := range []int{0, 20, 200} {
		b.Run(fmt.Sprint("events=", events), func(b *testing.B) {
			l, p, _ := warmViews(53, 4096)
			sequence := int64(4096)
			batch := make([]target.CacheEvent, events)
			b.ReportAllocs()
			for b.Loop() {
				for i := range batch {
					sequence++
					batch[i] = blockAdded(sequence, uint64(sequence))
				}
				l.ApplyReport(start, "e1", target.Load{Running: 3, Slots: 16})
				p.Apply(start, "e1", batch)
			}
		})
	}
}

// BenchmarkViewMemory reports the memory in bytes per target with a full prefix view.
func BenchmarkViewMemory(b *testing.B) {
	const targets = 50
	var m runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&m)
		before := m.HeapAlloc
		l, p, _ := warmViews(targets, maxViewBlocks)
		runtime.GC()
		runtime.ReadMemStats(&m)
		b.ReportMetric(float64(m.HeapAlloc-before)/targets, "B/target")
		runtime.KeepAlive(l)
		runtime.KeepAlive(p)
	}
}
