package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestRollouts guards against a view in which an order that a daemon doesn't follow, or a daemon
// that takes no part, looks like a daemon without an order.
func TestRollouts(t *testing.T) {
	var lines []string
	for _, answer := range []string{
		`{"daemon":"vm-1","enabled":true,"rollouts":[{"service":"s","target":"v2","age_s":3.21,"duration_s":12,"phase":"watch","verdict":"good","requests":100,"sent":7,"failures":1}],"invalid":[{"service":"t","error":"the order has no target"}]}`,
		`{"daemon":"vm-2","enabled":true,"rollouts":[]}`, `{"daemon":"vm-3","enabled":false,"rollouts":[]}`,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/rollouts" {
				_, _ = w.Write([]byte(answer))
			}
		}))
		defer s.Close()
		var out bytes.Buffer
		c := newRoot(&options{})
		c.SetOut(&out)
		c.SetArgs([]string{"rollouts", s.Listener.Addr().String()})
		if err := c.Execute(); err != nil {
			t.Fatal(err)
		}
		for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
			lines = append(lines, strings.Join(strings.Fields(line), " "))
		}
	}
	want := []string{"vm-1 s to v2 3.2s of 12s watch good 7 of 100 requests 1 failed", "vm-1 t invalid the order has no target", "vm-2 no order", "vm-3 no roll-outs in its settings"}
	if strings.Join(lines, "|") != strings.Join(want, "|") {
		t.Errorf("got %q, want %q", lines, want)
	}
}
