package gateway

import (
	"runtime"
	"runtime/metrics"
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
)

// stallAbove is how late the daemon is that is reported. All its streams pause meanwhile, and
// nothing else is logged.
const stallAbove = 250 * time.Millisecond

// Names of runtime metrics, in the order of stallWatch.samples.
const (
	metricGCCycles = "/gc/cycles/total:gc-cycles"
	metricGCTime   = "/cpu/classes/gc/total:cpu-seconds"
	metricHeap     = "/memory/classes/heap/objects:bytes"
	metricMapped   = "/memory/classes/total:bytes"
	metricReleased = "/memory/classes/heap/released:bytes"
)

// stallWatch reports that the daemon was late, because it got no processor time for a while
// or had more to do than it gets.
type stallWatch struct {
	events     *event.Recorder
	probes     func() int64     // number of probes of targets so far
	samples    []metrics.Sample // at the last report
	lastProbes int64            // at the last report
}

func newStallWatch(events *event.Recorder, probes func() int64) *stallWatch {
	w := &stallWatch{events: events, probes: probes}
	for _, name := range []string{metricGCCycles, metricGCTime, metricHeap, metricMapped, metricReleased} {
		w.samples = append(w.samples, metrics.Sample{Name: name})
	}
	metrics.Read(w.samples)
	return w
}

// report reports that the daemon was late, with what happened since the last report.
func (w *stallWatch) report(late time.Duration) {
	cycles, gcTime, lastProbes := w.samples[0].Value.Uint64(), w.samples[1].Value.Float64(), w.lastProbes
	metrics.Read(w.samples)
	w.lastProbes = w.probes()
	const mb = 1 << 20
	w.events.Record(event.DaemonStalled, "", event.F("late", late.Round(time.Millisecond).String()),
		event.F("probes", strconv.FormatInt(w.lastProbes-lastProbes, 10)), event.F("goroutines", strconv.Itoa(runtime.NumGoroutine())),
		event.F("gc_cycles", strconv.FormatUint(w.samples[0].Value.Uint64()-cycles, 10)),
		event.F("gc_ms", strconv.FormatInt(int64((w.samples[1].Value.Float64()-gcTime)*1000), 10)),
		event.F("heap_mb", strconv.FormatUint(w.samples[2].Value.Uint64()/mb, 10)),
		event.F("memory_mb", strconv.FormatUint((w.samples[3].Value.Uint64()-w.samples[4].Value.Uint64())/mb, 10)))
}
