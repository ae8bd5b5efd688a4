package standin_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
)

// baseURL returns the implementation under test: what the environment variable
// names, or a stand-in that is served for this test.
func baseURL(t *testing.T, variable string, h http.Handler) string {
	if u := os.Getenv(variable); u != "" {
		return strings.TrimSuffix(u, "/")
	}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func host(base string) string { return strings.TrimPrefix(base, "http://") }

// send makes one raw call and returns status and body.
func send(t *testing.T, method, url, body string, header ...string) (int, string) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// setFaults puts faults in force at a stand-in, or at an implementation that
// offers the same switch.
func setFaults(t *testing.T, base, faults string) {
	if status, _ := send(t, http.MethodPut, base+"/faults", faults); status != http.StatusOK {
		t.Fatalf("faults %s: status %d", faults, status)
	}
}

// eventually waits for a state that must come; the test's own limit ends it.
func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}
