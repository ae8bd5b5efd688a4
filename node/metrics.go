package node

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/peer"
)

// metricPrefix starts the name of every metric.
const metricPrefix = "vanillaroad_"

// quantiles of histograms and timers that are written out.
var quantiles = []float64{0.5, 0.95, 0.99}

// serveMetrics writes the registry in the Prometheus text format.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	var out bytes.Buffer
	n.gauges(&out)
	n.eventCounts(&out)
	n.peerTraffic(&out)
	all := make(map[string]any)
	n.metrics.Each(func(name string, m any) { all[name] = m })
	for _, name := range slices.Sorted(maps.Keys(all)) {
		writeMetric(&out, metricName(name), all[name])
	}
	_, _ = w.Write(out.Bytes())
}

// eventCounts writes how often each event was recorded.
func (n *Node) eventCounts(out *bytes.Buffer) {
	const name = metricPrefix + "events_total"
	_, _ = fmt.Fprintf(out, "# TYPE %s counter\n", name)
	counts := n.events.Counts()
	for _, number := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(out, "%s{number=\"%d\",name=\"%s\"} %d\n", name, number, event.Lookup(number).Name, counts[number])
	}
}

// peerTraffic writes the bytes exchanged with other daemons, by slice.
func (n *Node) peerTraffic(out *bytes.Buffer) {
	const name = metricPrefix + "peer_bytes"
	kinds := []struct {
		slice string
		first peer.Kind
	}{
		{"connection", 0}, {"membership", peer.MembershipKinds}, {"configuration", peer.ConfigurationBase},
		{"confirmation", peer.ConfirmationBase}, {"admission", peer.AdmissionBase},
		{"generation", peer.GenerationBase}, {"quarantine", peer.QuarantineBase},
	}
	_, _ = fmt.Fprintf(out, "# TYPE %s counter\n", name)
	for _, k := range kinds {
		_, _ = fmt.Fprintf(out, "%s{slice=\"%s\"} %d\n", name, k.slice, n.transport.Traffic(k.first))
	}
}

func metricName(name string) string {
	return metricPrefix + strings.NewReplacer(".", "_", "-", "_", "/", "_").Replace(name)
}

func writeMetric(out *bytes.Buffer, name string, m any) {
	switch m := m.(type) {
	case metrics.Counter:
		writeValue(out, name, "counter", m.Count())
	case metrics.Gauge:
		writeValue(out, name, "gauge", m.Value())
	case metrics.GaugeFloat64:
		writeValue(out, name, "gauge", m.Value())
	case metrics.Histogram:
		h := m.Snapshot()
		writeSummary(out, name, h.Count(), float64(h.Sum()), h.Percentiles(quantiles))
	}
}

func writeValue(out *bytes.Buffer, name, kind string, value any) {
	_, _ = fmt.Fprintf(out, "# TYPE %s %s\n%s %v\n", name, kind, name, value)
}

func writeSummary(out *bytes.Buffer, name string, count int64, sum float64, values []float64) {
	_, _ = fmt.Fprintf(out, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		_, _ = fmt.Fprintf(out, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	_, _ = fmt.Fprintf(out, "%s_sum %g\n%s_count %d\n", name, sum, name, count)
}

// gauges writes what is read from the daemon's state at this moment.
func (n *Node) gauges(out *bytes.Buffer) {
	gauge := func(name string, v any) { writeValue(out, metricPrefix+name, "gauge", v) }
	gauge("generations_active", n.hub.Active())
	gauge("requests_in_flight", n.requests.Load())
	gauge("draining", flag(n.draining.Load()))
	writeValue(out, metricPrefix+"process_cpu_micros", "counter", processMicros())
	gauge("process_resident_bytes", residentBytes())
	read, written := transferred()
	writeValue(out, metricPrefix+"process_read_bytes", "counter", read)
	writeValue(out, metricPrefix+"process_written_bytes", "counter", written)
}

func flag(b bool) int {
	if b {
		return 1
	}
	return 0
}
