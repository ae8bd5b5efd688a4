package crowd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/node"
	"github.com/vanillaroad/vanillaroad/objectstore"
)

// maxAPIBody is the largest body that the API accepts.
const maxAPIBody = 8 << 20

// nodeSite is one vanillaroadd process with a platform, an engine and a booking service.
type nodeSite struct {
	*daemon
	configuration []byte // the request that applies it
	sent          atomic.Int64
}

func (s *nodeSite) api() string   { return s.ip + ":7100" }
func (s *nodeSite) peers() string { return s.ip + ":7200" }

func startNode(t *testing.T) *nodeSite {
	s := newNode(t)
	s.start("vanillaroadd", s.writeNodeSettings(nil))
	s.awaitServing()
	return s
}

func newNode(t *testing.T) *nodeSite {
	s := &nodeSite{daemon: newDaemon(t, network()+".1")}
	s.ordinary = func(ctx context.Context, _ int) bool {
		return s.generate(ctx, generationBody(fmt.Sprint("ordinary-", s.sent.Add(1)), 60_000))
	}
	return s
}

// awaitServing applies the configuration, awaits an answer and starts to measure.
func (s *nodeSite) awaitServing() {
	s.attempt(func(ctx context.Context, n int) bool {
		return requestServed(ctx, "http://"+s.api()+"/v1/configuration", n, s.configuration)
	})
	s.ordinaryRequest()
	s.measure()
}

// writeNodeSettings starts the outside systems of a daemon and writes its settings file.
func (s *nodeSite) writeNodeSettings(further map[string]any) string {
	platform := standin.NewPlatform()
	platform.SetVMs([]objectstore.VM{{ID: "vm-1", Address: s.ip, Place: "p", Region: "r", Labels: map[string]string{node.RoleLabel: node.EntryRole}}})
	engine := standin.DefaultEngineSettings()
	engine.TokenInterval, engine.PrefillRate = time.Millisecond, 1e9
	address := func(h http.Handler) string { return startServer(s.t, h).Listener.Addr().String() }
	document := map[string]any{
		"services": []any{
			map[string]any{"name": "pisar", "kind": "generation", "selector": "service=pisar", "model": "writer", "version": "1", "new_share": 100},
			map[string]any{"name": "sejemski-vpis", "kind": "plain", "selector": "service=sejemski-vpis", "new_share": 100, "idempotent": true},
		},
		"workspaces": []any{map[string]any{"name": "fair"}},
		"targets": []any{
			map[string]any{"name": "engine-1", "address": address(standin.NewEngine(engine).Handler()), "place": "p", "labels": map[string]any{"service": "pisar"}, "permits": 16},
			map[string]any{"name": "booking-1", "address": address(standin.NewBooking(0).Handler()), "place": "p", "labels": map[string]any{"service": "sejemski-vpis"}, "permits": 64},
		},
	}
	settings := writeSettings(s.t, map[string]any{
		"id": "vm-1", "place": "p", "region": "r", "api_address": s.api(), "peer_address": s.peers(), "log_level": "info",
		"platform": "http://" + address(platform.Handler()), "memory_mb": memoryMB, "max_fds": maxFDs,
		"membership": map[string]any{"directory_ttl": "100ms", "drain_limit": "2s"},
	}, further)
	var err error
	if s.configuration, err = json.Marshal(map[string]any{"document": document, "base_version": 0, "author": "crowd", "write_id": "crowd-1"}); err != nil {
		s.t.Fatal(err)
	}
	return settings
}

// generationBody returns the body of a request for a generation with the given number of bytes, of
// which the prompt takes the most.
func generationBody(id string, size int) string {
	body := fmt.Sprintf(`{"id":%q,"workspace":"fair","service":"pisar","max_tokens":4,"prompt":"`, id)
	return body + strings.Repeat("b", size-len(body)-2) + `"}`
}

// generate requests a generation, and reports whether it came to its end.
func (s *nodeSite) generate(ctx context.Context, body string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.api()+"/v1/generations", strings.NewReader(body))
	if err != nil {
		return false
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.Contains(string(answer), "event: done")
}
