package configuration

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
)

// benchDocument returns a document of the size given in docs/ROADMAP.md, divided by
// divisor.
func benchDocument(divisor int) Document {
	targets, workspaces, models := 10_000/divisor, 9_200/divisor, 16
	d := Document{}
	for i := range models {
		d.Services = append(d.Services, Service{Name: fmt.Sprintf("model-%02d", i), Kind: Generation, Selector: fmt.Sprintf("model=m%02d", i), NewShare: 100})
	}
	for i := range targets {
		d.Targets = append(d.Targets, Target{
			Name: fmt.Sprintf("engine-%05d", i), Address: fmt.Sprintf("10.20.%d.%d:8000", i/250, i%250), Place: fmt.Sprint("place-", i%14), VM: fmt.Sprintf("target-vm-%05d", i),
			Labels: map[string]string{"model": fmt.Sprintf("m%02d", i%models), "rack": fmt.Sprint(i % 300)}, Permits: 64, Reserved: 4, Wanted: map[string]string{"writer": "1"},
		})
	}
	for i := range workspaces {
		d.Workspaces = append(d.Workspaces, Workspace{Name: fmt.Sprintf("workspace-%05d", i), Weight: 1 + i%9, MaxInFlight: 100})
	}
	return d.Canonical()
}

// BenchmarkDocument measures operations on documents of a tenth, a half and all of
// the size given in docs/ROADMAP.md.
func BenchmarkDocument(b *testing.B) {
	for _, divisor := range []int{10, 2, 1} {
		d := benchDocument(divisor)
		name := func(op string) string { return fmt.Sprintf("%s/%d", op, len(d.Targets)) }
		b.Run(name("validate"), func(b *testing.B) {
			for b.Loop() {
				if err := d.Validate(); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(name("split"), func(b *testing.B) {
			size := 0
			for b.Loop() {
				split, err := Split(d, LayoutOf(d))
				if err != nil {
					b.Fatal(err)
				}
				size = 0
				for _, p := range split {
					size += len(p)
				}
			}
			b.ReportMetric(float64(size), "B/document")
		})
		b.Run(name("adopt-whole"), func(b *testing.B) { benchSnapshotFromHead(b, d) })
		b.Run(name("adopt-change"), func(b *testing.B) { benchApplyDelta(b, d) })
	}
}

func benchSnapshotFromHead(b *testing.B, d Document) {
	head := Head{Version: 1, Sum: d.Sum()}
	var memBefore, memAfter runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memBefore)
	snapshot, err := SnapshotFromHead(head, d)
	if err != nil {
		b.Fatal(err)
	}
	runtime.GC()
	runtime.ReadMemStats(&memAfter)
	for b.Loop() {
		if _, err := SnapshotFromHead(head, d); err != nil {
			b.Fatal(err)
		}
	}
	runtime.KeepAlive(snapshot)
	b.ReportMetric(float64(memAfter.HeapAlloc-memBefore.HeapAlloc)/(1<<20), "MB-of-indexes")
}

func benchApplyDelta(b *testing.B, d Document) {
	s, err := SnapshotFromHead(Head{Version: 1, Sum: d.Sum()}, d)
	if err != nil {
		b.Fatal(err)
	}
	changed := d
	changed.Targets = slices.Clone(d.Targets)
	changed.Targets[len(d.Targets)/2].Permits = 7
	delta := Diff(d, changed)
	delta.From = 1
	head := Head{Version: 2, Sum: changed.Sum(), Delta: &delta}
	for b.Loop() {
		if _, err := s.ApplyDelta(head); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(encodeJSON(head))), "B/head")
}
