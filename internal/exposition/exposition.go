// Package exposition writes metrics in the Prometheus text format.
package exposition

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/vanillaroad/vanillaroad/event"
)

// Prefix is the prefix of every metric name.
const Prefix = "vanillaroad_"

// ContentType is the media type of the Prometheus text format.
const ContentType = "text/plain; version=0.0.4"

// quantiles are the quantiles written for histograms.
var quantiles = []float64{0.5, 0.95, 0.99}

// WriteRegistry writes all metrics of a registry, sorted by name.
func WriteRegistry(out *bytes.Buffer, r metrics.Registry) {
	metricsByName := make(map[string]any)
	r.Each(func(name string, m any) { metricsByName[name] = m })
	for _, name := range slices.Sorted(maps.Keys(metricsByName)) {
		writeMetric(out, metricName(name), metricsByName[name])
	}
}

// WriteEvents writes the number of times that each event was recorded, as one counter with
// the labels number and name.
func WriteEvents(out *bytes.Buffer, counts map[event.Number]int64) {
	const name = Prefix + "events_total"
	_, _ = fmt.Fprintf(out, "# TYPE %s counter\n", name)
	for _, number := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(out, "%s{number=\"%d\",name=\"%s\"} %d\n", name, number, event.Lookup(number).Name, counts[number])
	}
}

// metricName returns name with Prefix and with "_" in place of characters that
// Prometheus rejects.
func metricName(name string) string {
	return Prefix + strings.NewReplacer(".", "_", "-", "_", "/", "_").Replace(name)
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

// WriteValue writes one metric named Prefix plus name. kind is the Prometheus type.
func WriteValue(out *bytes.Buffer, name, kind string, value any) {
	writeValue(out, Prefix+name, kind, value)
}

// WriteLabeled writes one metric named Prefix plus name with a value for each value of a label.
func WriteLabeled(out *bytes.Buffer, name, kind, label string, values map[string]float64) {
	_, _ = fmt.Fprintf(out, "# TYPE %s%s %s\n", Prefix, name, kind)
	for _, key := range slices.Sorted(maps.Keys(values)) {
		_, _ = fmt.Fprintf(out, "%s%s{%s=%q} %g\n", Prefix, name, label, key, values[key])
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
