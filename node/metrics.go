package node

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// metricPrefix starts the name of every metric.
const metricPrefix = "vanillaroad_"

// quantiles of histograms and timers that are written out.
var quantiles = []float64{0.5, 0.95, 0.99}

// serveMetrics writes the registry in the Prometheus text format. Timers are
// in nanoseconds.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	var out bytes.Buffer
	n.gauges(&out)
	n.metrics.Each(func(name string, m any) { writeMetric(&out, metricName(name), m) })
	_, _ = w.Write(out.Bytes())
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
	case metrics.Meter:
		writeValue(out, name, "counter", m.Count())
	case metrics.Histogram:
		h := m.Snapshot()
		writeSummary(out, name, h.Count(), float64(h.Sum()), h.Percentiles(quantiles))
	case metrics.Timer:
		t := m.Snapshot()
		writeSummary(out, name, t.Count(), float64(t.Sum()), t.Percentiles(quantiles))
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
	view, snapshot := n.view.Load(), n.snapshot.Load()
	gauge := func(name string, v any) { writeValue(out, metricPrefix+name, "gauge", v) }
	gauge("generations_active", n.hub.Active())
	gauge("requests_in_flight", n.requests.Load())
	gauge("configuration_version", snapshot.Version)
	gauge("draining", flag(n.draining.Load()))
	gauge("isolated", flag(view.Isolated))
	gauge("members", len(view.Members))
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
