package node

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// serveMetrics writes the registry in the Prometheus text format.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	n.metrics.Each(func(name string, m any) {
		name = "vanillaroad_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		switch m := m.(type) {
		case metrics.Counter:
			_, _ = fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
		case metrics.Gauge:
			_, _ = fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
		case metrics.GaugeFloat64:
			_, _ = fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", name, name, m.Value())
		}
	})
}
