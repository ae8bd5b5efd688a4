package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/vanillaroad/vanillaroad/callers"
	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/internal/membudget"
	"github.com/vanillaroad/vanillaroad/membership"
)

// TestDecodedBytes guards against texts that count as elements, and elements that don't count.
func TestDecodedBytes(t *testing.T) {
	for text, elements := range map[string]int{
		``: 0, `"a,b{[\",{"`: 0, `{"a":[1,2,{}]}`: 5, `["\\",""]`: 2, `[[[[`: 4,
	} {
		if got, want := decodedBytes([]byte(text)), int64(len(text)+elementBytes*elements); got != want {
			t.Errorf("%s: %d bytes, want %d", text, got, want)
		}
	}
}

// TestBodies guards against bodies that are refused although there is memory, against refusals that
// don't state that the request has not run, and against memory that stays counted.
func TestBodies(t *testing.T) {
	const budget = 1 << 20
	text := func(n int) string { return `"` + strings.Repeat("a", n-2) + `"` }
	for _, c := range []struct {
		name, path, body string
		used             int // by other bodies
		status           int
		code, outcome    string
	}{
		{"small", "/v1/generations", text(100), budget, http.StatusOK, "", ""},
		{"large", "/v1/generations", text(budget / 4), 0, http.StatusOK, "", ""},
		{"without memory", "/v1/generations", text(budget / 4), budget / 2, http.StatusTooManyRequests, "overloaded", "not_run"},
		{"a confirmation without memory", "/v1/confirmations", text(budget / 4), budget / 2, http.StatusTooManyRequests, "overloaded", "unknown"},
		{"too large for the memory", "/v1/generations", text(budget / 2), 0, http.StatusRequestEntityTooLarge, "too_large", "not_run"},
		{"too many elements for the memory", "/v1/configuration", "[" + strings.Repeat("{},", 4000) + "{}]", 0, http.StatusRequestEntityTooLarge, "too_large", "not_run"},
		{"over the limit", "/v1/configuration", text(maxBodyBytes + 1), 0, http.StatusRequestEntityTooLarge, "too_large", "not_run"},
	} {
		for _, length := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, with a length: %t", c.name, length), func(t *testing.T) {
				n := &Node{limits: callers.NewLimits(callers.Resources{}, budget)}
				others := n.limits.Budget.NewBodyShare()
				if c.used > 0 {
					if err := others.Grow(min(c.used, budget/2)+membudget.FreeBytes, func() {}); err != nil {
						t.Fatal(err)
					}
				}
				before := n.limits.Budget.Used()
				n.view.Store(&membership.View{})
				n.snapshot.Store(&configuration.Snapshot{Version: 1})
				served := false
				handler := n.withBody(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					var got string
					err := requestDecoder(r).Decode(&got)
					if served = err == nil && `"`+got+`"` == c.body; !served {
						t.Errorf("decoded %d bytes, error %v", len(got), err)
					}
				}))
				r := httptest.NewRequest(http.MethodPost, c.path, struct{ io.Reader }{strings.NewReader(c.body)})
				r.ContentLength = -1
				if length {
					r.ContentLength = int64(len(c.body))
				}
				w := httptest.NewRecorder()
				handler.ServeHTTP(w, r)
				var refusal struct{ Code, Outcome string }
				if !served {
					if err := json.Unmarshal(w.Body.Bytes(), &refusal); err != nil {
						t.Fatal(err)
					}
				}
				if w.Code != c.status || refusal.Code != c.code || refusal.Outcome != c.outcome {
					t.Errorf("status %d, %+v, want %d, %s, %s", w.Code, refusal, c.status, c.code, c.outcome)
				}
				if retry := w.Header().Get("Retry-After") != ""; retry != (c.code == "overloaded") {
					t.Errorf("a time to come back: %t", retry)
				}
				if used := n.limits.Budget.Used(); used != before {
					t.Errorf("%d bytes count at the end, %d did before", used, before)
				}
			})
		}
	}
}

// TestMemoryOfARunStays guards against memory that a run still uses and that counts no more because
// its caller has left.
func TestMemoryOfARunStays(t *testing.T) {
	n := &Node{limits: callers.NewLimits(callers.Resources{}, 1<<20)}
	var release func()
	handler := n.withBody(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		release = retainMemory(r.Context())()
	}))
	handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPut, "/", strings.NewReader(strings.Repeat("a", 100_000))))
	if n.limits.Budget.Used() < 100_000 {
		t.Errorf("%d bytes count while the run goes on", n.limits.Budget.Used())
	}
	release()
	if used := n.limits.Budget.Used(); used != 0 {
		t.Errorf("%d bytes count after the end", used)
	}
}

// TestMediaTypes guards against a decoder whose memory is not bounded.
func TestMediaTypes(t *testing.T) {
	for media, want := range map[string]bool{"": true, "application/json": true, "application/json; charset=utf-8": true, "application/gob": false, "application/xml": false} {
		r := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
		r.Header.Set("Content-Type", media)
		r.Body = &bufferedBody{nil, []byte(`"a"`)}
		var got string
		if err := requestDecoder(r).Decode(&got); (err == nil) != want {
			t.Errorf("%q: error %v", media, err)
		}
	}
}
