package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/target"
)

// newFastEngine returns an engine that streams the tokens of each request as fast as
// they are read.
func newFastEngine() *httptest.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"slots":1000,"models":{"writer":"1"},"incarnation":1}`)
	})
	mux.HandleFunc("POST /generate", func(w http.ResponseWriter, r *http.Request) {
		var req target.GenerateRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		for i := range req.MaxTokens {
			_, _ = fmt.Fprintf(w, "{\"kind\":\"token\",\"position\":%d,\"text\":\"0123abcd.89ef0123.abcd\"}\n", i)
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = fmt.Fprintf(w, "{\"kind\":\"done\",\"position\":%d}\n", req.MaxTokens)
	})
	return httptest.NewServer(mux)
}

// BenchmarkTraffic streams one answer of b.N tokens through a daemon. The time
// includes the engine's and the caller's work, which BenchmarkTrafficDirect measures
// separately.
func BenchmarkTraffic(b *testing.B) {
	engine := newFastEngine()
	defer engine.Close()
	f, err := newFleet(58, 1)
	if err != nil {
		b.Fatal(err)
	}
	defer f.close()
	d := configuration.Document{
		Services:   []configuration.Service{{Name: "pisar", Kind: configuration.Generation, Selector: "s=pisar", Model: "writer", Version: "1", NewShare: 100}},
		Workspaces: []configuration.Workspace{{Name: "fair"}},
		Targets: []configuration.Target{{
			Name: "e", Address: strings.TrimPrefix(engine.URL, "http://"), Place: "p", Permits: 64, Labels: map[string]string{"s": "pisar"},
		}},
	}
	if _, err := f.apply(0, d, 0, 0); err != nil {
		b.Fatal(err)
	}
	waitUntil(func() bool { return f.allActive(1) })
	body := fmt.Sprintf(`{"id":"r","workspace":"fair","service":"pisar","prompt":"p","max_tokens":%d}`, b.N)
	b.ResetTimer()
	readAll(b, f.nodes[0].self.APIAddress, "/v1/generations", body)
}

// BenchmarkTrafficDirect reads the same stream directly from the engine.
func BenchmarkTrafficDirect(b *testing.B) {
	engine := newFastEngine()
	defer engine.Close()
	body := fmt.Sprintf(`{"max_tokens":%d}`, b.N)
	b.ResetTimer()
	readAll(b, strings.TrimPrefix(engine.URL, "http://"), "/generate", body)
}

// readAll posts body to address and reads the streamed answer, which must have at least
// b.N lines.
func readAll(b *testing.B, address, path, body string) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(err, resp)
	}
	defer func() { _ = resp.Body.Close() }()
	lines := 0
	for s := bufio.NewScanner(resp.Body); s.Scan(); {
		lines++
	}
	if lines < b.N {
		b.Fatalf("read %d lines of the answer, want at least one for each of %d tokens", lines, b.N)
	}
}
