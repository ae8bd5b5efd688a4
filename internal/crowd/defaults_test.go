package crowd

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestDefaultDescriptors guards against a daemon whose settings don't state how many descriptors it
// may use, and which can't serve ordinary requests once callers hold all that the system allows.
func TestDefaultDescriptors(t *testing.T) {
	store, _ := startOutside(t)
	s := newSite(t, "vm-1", network()+".1", store, map[string]any{"max_fds": nil})
	s.run(withFewDescriptors(t, "vanillaroad-gateway", s.settingsPath))
	s.awaitServing()
	press(t, s.callers(), manyConns, func(m member) bool { return trickle(m, head(m, "/c/call", contentLength(maxBody))) }, nil)
	s.check()
}

// TestNodeDefaultDescriptors is TestDefaultDescriptors for a daemon of the API.
func TestNodeDefaultDescriptors(t *testing.T) {
	s := newNode(t)
	s.run(withFewDescriptors(t, "vanillaroadd", s.writeNodeSettings(map[string]any{"max_fds": nil})))
	s.awaitServing()
	press(t, s.api(), manyConns, func(m member) bool { return trickle(m, apiHead(generations, contentLength(maxAPIBody))) }, nil)
	s.check()
}

// withFewDescriptors returns the command of a daemon for which the system allows maxFDs descriptors.
func withFewDescriptors(t *testing.T, program, settings string) *exec.Cmd {
	dir, err := buildDaemons()
	if err != nil {
		t.Fatal(err)
	}
	return exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, maxFDs), filepath.Join(dir, program), "-settings", settings)
}

// TestDefaultMemory guards against a daemon whose settings don't state the memory of its VM, and
// which then bounds nothing: it takes what the system states.
func TestDefaultMemory(t *testing.T) {
	check := func(d *daemon, metrics string) {
		t.Helper()
		var got float64
		d.attempt(func(ctx context.Context, _ int) bool {
			got = metric(ctx, metrics, "vanillaroad_memory_limit_bytes")
			return got >= 0
		})
		if got == 0 || got > systemMemory(t) {
			t.Errorf("the daemon takes %.0f bytes as its memory, the system has %.0f", got, systemMemory(t))
		}
	}
	store, _ := startOutside(t)
	s := startProcess(t, "vm-1", network()+".1", store, map[string]any{"memory_mb": nil, "max_fds": nil})
	check(s.daemon, "http://"+s.operations()+"/metrics")
	n := newNode(t)
	n.start("vanillaroadd", n.writeNodeSettings(map[string]any{"memory_mb": nil, "max_fds": nil}))
	check(n.daemon, "http://"+n.api()+"/metrics")
}

// metric returns the value of a metric; 0 if the daemon has none of that name, and -1 if it doesn't
// answer.
func metric(ctx context.Context, url, name string) (value float64) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return -1
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return -1
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			_, _ = fmt.Sscan(text, &value)
		}
	}
	return value
}

// systemMemory returns the memory that the system states, in bytes.
func systemMemory(t *testing.T) float64 {
	b, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		t.Fatal(err)
	}
	var kib float64
	if _, err := fmt.Sscanf(string(b), "MemTotal: %f kB", &kib); err != nil {
		t.Fatal(err)
	}
	return kib * 1024
}
