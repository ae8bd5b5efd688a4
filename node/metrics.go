package node

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/vanillaroad/vanillaroad/internal/exposition"
	"github.com/vanillaroad/vanillaroad/peer"
)

// serveMetrics serves the daemon's metrics in the Prometheus text format.
func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", exposition.ContentType)
	var out bytes.Buffer
	n.writeGauges(&out)
	n.writeLimits(&out)
	exposition.WriteEvents(&out, n.events.Counts())
	n.writePeerTraffic(&out)
	exposition.WriteRegistry(&out, n.metrics)
	_, _ = w.Write(out.Bytes())
}

// writePeerTraffic writes the number of bytes exchanged with other daemons, by slice.
func (n *Node) writePeerTraffic(out *bytes.Buffer) {
	const name = exposition.Prefix + "peer_bytes"
	kinds := []struct {
		slice string
		first peer.Kind
	}{
		{"connection", 0}, {"membership", peer.MembershipBase}, {"configuration", peer.ConfigurationBase},
		{"confirmation", peer.ConfirmationBase}, {"admission", peer.AdmissionBase},
		{"generation", peer.GenerationBase}, {"quarantine", peer.QuarantineBase},
	}
	_, _ = fmt.Fprintf(out, "# TYPE %s counter\n", name)
	for _, k := range kinds {
		_, _ = fmt.Fprintf(out, "%s{slice=\"%s\"} %d\n", name, k.slice, n.transport.Traffic(k.first))
	}
}

// writeGauges writes the metrics that are read from the daemon's current state.
func (n *Node) writeGauges(out *bytes.Buffer) {
	gauge := func(name string, v any) { exposition.WriteValue(out, name, "gauge", v) }
	gauge("generations_active", n.hub.Active())
	gauge("requests_in_flight", n.requests.Load())
	gauge("draining", boolGauge(n.draining.Load()))
	exposition.WriteValue(out, "process_cpu_micros", "counter", processMicros())
	gauge("process_resident_bytes", residentBytes())
	read, written := ioBytes()
	exposition.WriteValue(out, "process_read_bytes", "counter", read)
	exposition.WriteValue(out, "process_written_bytes", "counter", written)
}

func boolGauge(b bool) int {
	if b {
		return 1
	}
	return 0
}
