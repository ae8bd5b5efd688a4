package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/platform"
)

// operations returns the answer to a request of an operator.
func (e *testEnv) operations(s Settings, path string) string {
	resp, err := http.Get("http://" + s.Operations + path)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return string(b)
}

// refusal returns what a daemon says of a version that it can't use.
func (e *testEnv) refusal(s Settings) *refusalView {
	var view configurationView
	if err := json.Unmarshal([]byte(e.operations(s, "/configuration")), &view); err != nil {
		e.t.Fatal(err)
	}
	return view.Refused
}

// TestRefusedVersionDropsItsKeys guards against keys that still work because the version that takes
// them away has an error elsewhere, against keys that are dropped by a version whose keys can't be
// read, and against a refusal that operators can't see.
func TestRefusedVersionDropsItsKeys(t *testing.T) {
	for _, c := range []struct {
		name, timeout, keys string
		statuses            [2]int // of requests with k1 and k2
	}{
		{"a key that is dropped", "1200.5", `["k2"]`, [2]int{401, 200}},
		{"a key that is added", "1200.5", `["k1","k2","k3"]`, [2]int{200, 200}},
		{"all keys that are dropped", "1200.5", `[]`, [2]int{401, 401}},
		{"keys that can't be read", "1200", `"k2"`, [2]int{200, 200}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newTestEnv(t)
			e.registerTarget("i-1", e.target)
			e.configureKeys("1", "1200", `["k1","k2"]`)
			store := e.store.Listener.Addr().String()
			first, _ := e.startDaemon("vm-1", store)
			eventually(func() bool { return getWithKey(first.Callers, "/a/x", "k1") == 200 })
			e.configureKeys("2", c.timeout, c.keys)
			eventually(func() bool { return e.refusal(first) != nil })
			second, _ := e.startDaemon("vm-2", store, first.Peers) // gets version 1 from the other one
			eventually(func() bool { status, _ := get(second.Readiness, "/-/readiness"); return status == 200 })
			for _, s := range []Settings{first, second} {
				if statuses := [2]int{getWithKey(s.Callers, "/a/x", "k1"), getWithKey(s.Callers, "/a/x", "k2")}; statuses != c.statuses {
					t.Errorf("at %s, requests with k1 and k2 got %v, want %v", s.ID, statuses, c.statuses)
				}
				if status := getWithKey(s.Callers, "/a/x", "k3"); status != 401 {
					t.Errorf("at %s, a request with a key that no active version has got %d, want 401", s.ID, status)
				}
				if r := e.refusal(s); r == nil || r.Version != 2 || !strings.Contains(r.Error, ".") {
					t.Errorf("at %s, the refused version is described as %+v", s.ID, r)
				}
				if body := e.operations(s, "/metrics"); !strings.Contains(body, "vanillaroad_configuration_refused 1\n") || !strings.Contains(body, "vanillaroad_configuration_version 1\n") {
					t.Errorf("at %s, the metrics don't show the refused version", s.ID)
				}
				if n := e.gateways[s.ID].events.Counts()[event.ConfigurationRefused]; n != 1 {
					t.Errorf("at %s, %d log lines about one refused version", s.ID, n)
				}
			}
			e.configureKeys("3", "1200", `["k1"]`)
			for _, s := range []Settings{first, second} {
				eventually(func() bool {
					return getWithKey(s.Callers, "/a/x", "k1") == 200 && getWithKey(s.Callers, "/a/x", "k2") == 401 && e.refusal(s) == nil
				})
			}
		})
	}
}

// TestRefusalAgreesWithTheCheck guards against a version that the check of configurations accepts
// and a daemon refuses, or the other way round, and against keys in its error.
func TestRefusalAgreesWithTheCheck(t *testing.T) {
	e := newTestEnv(t)
	e.registerTarget("i-1", e.target)
	e.configureKeys("1", "1200", `["secret"]`)
	s, _ := e.startDaemon("vm-1", e.store.Listener.Addr().String())
	eventually(func() bool { return getWithKey(s.Callers, "/a/x", "secret") == 200 })
	for i, c := range []struct{ timeout, keys, path string }{
		{"1200.5", `["secret"]`, "routes[0].timeout_ms"}, {"1e3", `["secret"]`, ""}, {`"1200"`, `["secret"]`, "routes[0].timeout_ms"},
		{"12", `["secret"],"priority":0.1`, "tenants[0].priority"}, {"1200", `["secret"],"unknown":{"x":[1.5]}`, ""}, {"1e99", `["secret"]`, "routes[0].timeout_ms"},
	} {
		version := int64(i + 2)
		e.configureKeys(fmt.Sprint(version), c.timeout, c.keys)
		var view configurationView
		eventually(func() bool {
			view = e.gateways["vm-1"].describeConfiguration()
			return view.Version == version || view.Refused != nil && view.Refused.Version == version
		})
		o, err := e.storeClient.Get(t.Context(), platform.ConfigurationKind, platform.ConfigurationName)
		if err != nil {
			t.Fatal(err)
		}
		if refused := view.Refused != nil; refused != platform.CheckDocument(o.Value).HasErrors() || refused != (c.path != "") {
			t.Errorf("timeout %s, keys %s: refused by the daemon: %t, the check has errors: %t", c.timeout, c.keys, refused, !refused)
			continue
		}
		if c.path != "" && (!strings.Contains(view.Refused.Error, c.path) || strings.Contains(view.Refused.Error, "secret")) {
			t.Errorf("timeout %s, keys %s: error %q, want one with the path %s", c.timeout, c.keys, view.Refused.Error, c.path)
		}
	}
}
