package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/vanillaroad/vanillaroad/platform"
)

// getWithKey sends a request for a path with an API key. It returns the status, 0 without an answer.
func getWithKey(address, path, key string) int {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "h"
	req.Header.Set("Vanillaroad-Request-Id", fmt.Sprint("r", requestCount.Add(1)))
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// putText writes an object whose value is a JSON text, overwriting any existing one.
func (e *testEnv) putText(kind, name, text string) {
	ctx := context.Background()
	old, _ := e.storeClient.Get(ctx, kind, name) // version 0 if there is none
	if _, err := e.storeClient.Put(ctx, kind, name, []byte(text), old.Version); err != nil {
		e.t.Fatal(err)
	}
}

// configureKeys writes a configuration with a route that requires one of some keys. timeout is the
// JSON of the route's timeout in milliseconds, and keys that of the list.
func (e *testEnv) configureKeys(version, timeout, keys string) {
	e.putText(platform.ConfigurationKind, platform.ConfigurationName, fmt.Sprintf(`{"version":%s,"routes":[
		{"name":"a","host":"h","path_prefix":"/a/","kind":"idempotent","timeout_ms":%s,"max_attempts":2,"service":"s"}],
		"tenants":[{"name":"w","api_keys":%s}]}`, version, timeout, keys))
}

// TestKeyIsDroppedInAnyFormOfNumbers guards against a key that still works because the
// configuration that drops it has a number in another form of JSON.
func TestKeyIsDroppedInAnyFormOfNumbers(t *testing.T) {
	e := newTestEnv(t)
	e.configureKeys("1", "1200", `["k1","k2"]`)
	e.registerTarget("i-1", e.target)
	s, _ := e.startDaemon("vm-1", e.store.Listener.Addr().String())
	eventually(func() bool { return getWithKey(s.Callers, "/a/x", "k1") == 200 })
	e.configureKeys("2.0", "1.2000e3", `["k2"]`)
	eventually(func() bool { return getWithKey(s.Callers, "/a/x", "k1") == 401 })
	if status := getWithKey(s.Callers, "/a/x", "k2"); status != 200 {
		t.Errorf("a request with the other key got %d, want 200", status)
	}
}

// TestTargetIsUsedInAnyFormOfNumbers guards against a target that gets no requests because its
// entry has a number in another form of JSON.
func TestTargetIsUsedInAnyFormOfNumbers(t *testing.T) {
	e := newTestEnv(t)
	e.configure(1, "/a/")
	e.putText(platform.TargetKind, "i-1", fmt.Sprintf(`{"service":"s","address":%q,"zone":"p","version":"v","slots":4.0,
		"state":"ready","cold_left_ms":12.5,"seq":1e0,"born":1.7e12}`, e.target.Listener.Addr().String()))
	s, _ := e.startDaemon("vm-1", e.store.Listener.Addr().String())
	eventually(func() bool { status, _ := get(s.Callers, "/a/x"); return status == 200 })
}
