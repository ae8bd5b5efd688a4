package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/vanillaroad/vanillaroad/fleet"
)

// TestPrintTargets guards against a view of a large fleet in which the place in trouble is
// hard to find.
func TestPrintTargets(t *testing.T) {
	var out bytes.Buffer
	err := printTargets(&out, []fleet.Description{
		{ID: "i-1", Service: "llm", Place: "a", State: fleet.Ready},
		{ID: "i-2", Service: "llm", Place: "b", State: fleet.Leaving, LeavingStated: true},
		{ID: "i-3", Service: "llm", Place: "b", State: fleet.Ready, Limit: 2.5},
		{ID: "i-4", Service: "llm", Place: "c", State: fleet.Avoided, PauseMillis: 1500},
	}, false)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		lines = append(lines, strings.Join(strings.Fields(line), " "))
	}
	want := []string{
		"c llm 0 of 1 ready", "i-4 avoided 0 running wants no requests for 1.5s",
		"b llm 1 of 2 ready", "i-2 leaving 0 running states that it leaves", "i-3 ready 0 running takes 2.5 requests a second",
		"a llm 1 of 1 ready",
	}
	if strings.Join(lines, "|") != strings.Join(want, "|") {
		t.Errorf("got %q, want %q", lines, want)
	}
}
