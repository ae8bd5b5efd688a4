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

// baseURL returns the URL of the implementation under test: the value of the
// environment variable, or a stand-in that is started for this test.
func baseURL(t *testing.T, variable string, h http.Handler) string {
	if u := os.Getenv(variable); u != "" {
		return strings.TrimSuffix(u, "/")
	}
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func host(base string) string { return strings.TrimPrefix(base, "http://") }

// send makes one HTTP call and returns status and body. header holds names and values
// in turn.
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

// setFaults sets the faults of a stand-in, or of an implementation with the same
// endpoint.
func setFaults(t *testing.T, base, faults string) {
	if status, _ := send(t, http.MethodPut, base+"/faults", faults); status != http.StatusOK {
		t.Fatalf("set faults %s: status %d, want 200", faults, status)
	}
}

// eventually waits until condition holds. It has no time limit but that of the test.
func eventually(condition func() bool) {
	for !condition() {
		time.Sleep(time.Millisecond)
	}
}
