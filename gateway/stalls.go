package gateway

import (
	"context"
	"runtime"
	"runtime/metrics"
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
)

// A daemon stalls if it gets no processor time for a while, or has more to do than it gets.
// All its streams pause meanwhile, and nothing else is logged.
const (
	stallCheckInterval = 250 * time.Millisecond
	// stallAbove is how late a check is that is reported.
	stallAbove = 250 * time.Millisecond
)

// Names of runtime metrics.
const (
	metricGCCycles = "/gc/cycles/total:gc-cycles"
	metricGCTime   = "/cpu/classes/gc/total:cpu-seconds"
	metricHeap     = "/memory/classes/heap/objects:bytes"
	metricMapped   = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
)

// stallWatch reports stalls of the daemon.
type stallWatch struct {
	events  *event.Recorder
	probes  func() int64 // number of probes of targets so far
	samples []metrics.Sample
}

func newStallWatch(events *event.Recorder, probes func() int64) *stallWatch {
	w := &stallWatch{events: events, probes: probes}
	for _, name := range []string{metricGCCycles, metricGCTime, metricHeap, metricMapped, metricReleased} {
		w.samples = append(w.samples, metrics.Sample{Name: name})
	}
	return w
}

// run checks until ctx is done.
func (w *stallWatch) run(ctx context.Context) {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	last, probes := time.Now(), w.probes()
	metrics.Read(w.samples)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		late := now.Sub(last) - stallCheckInterval
		last = now
		if late < stallAbove {
			continue
		}
		cycles, gcTime := w.samples[0].Value.Uint64(), w.samples[1].Value.Float64()
		metrics.Read(w.samples)
		probesBefore := probes
		probes = w.probes()
		const mb = 1 << 20
		w.events.Record(event.DaemonStalled, "", event.F("late", late.Round(time.Millisecond).String()),
			event.F("probes", strconv.FormatInt(probes-probesBefore, 10)), event.F("goroutines", strconv.Itoa(runtime.NumGoroutine())),
			event.F("gc_cycles", strconv.FormatUint(w.samples[0].Value.Uint64()-cycles, 10)),
			event.F("gc_ms", strconv.FormatInt(int64((w.samples[1].Value.Float64()-gcTime)*1000), 10)),
			event.F("heap_mb", strconv.FormatUint(w.samples[2].Value.Uint64()/mb, 10)),
			event.F("memory_mb", strconv.FormatUint((w.samples[3].Value.Uint64()-w.samples[4].Value.Uint64())/mb, 10)))
	}
}
