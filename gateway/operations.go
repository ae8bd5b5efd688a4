package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/exposition"
)

// operationsHandler serves the metrics and the state of the configuration, the targets and the
// roll-outs for operators.
func (g *Gateway) operationsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", exposition.ContentType)
		var out bytes.Buffer
		exposition.WriteValue(&out, "requests_in_flight", "gauge", g.requests.len())
		exposition.WriteValue(&out, "targets", "gauge", g.fleet.Len())
		g.writeConfigurationMetrics(&out)
		if spreads := g.fleet.LoadSpreads(time.Now()); len(spreads) > 0 {
			exposition.WriteLabeled(&out, "fleet_load_spread", "gauge", "service", spreads)
		}
		g.limits.writeMetrics(&out)
		g.capacity.writeMetrics(&out)
		exposition.WriteEvents(&out, g.events.Counts())
		exposition.WriteRegistry(&out, g.metrics)
		_, _ = w.Write(out.Bytes()) // a client that disconnected repeats the request
	})
	mux.HandleFunc("GET /targets", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.fleet.Describe(time.Now())) // a client that disconnected repeats the request
	})
	mux.HandleFunc("GET /configuration", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.describeConfiguration()) // a client that disconnected repeats the request
	})
	mux.HandleFunc("GET /rollouts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(g.rollouts.describe(g.members.self.ID)) // a client that disconnected repeats the request
	})
	return limitConcurrency(mux, maxOperations)
}

// maxOperations is the number of requests of operators that are answered at a time. An answer
// may take megabytes until it was read.
const maxOperations = 4

// limitConcurrency returns h with at most n requests at a time. Others wait.
func limitConcurrency(h http.Handler, n int) http.Handler {
	slots := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			h.ServeHTTP(w, r)
		case <-r.Context().Done():
		}
	})
}
