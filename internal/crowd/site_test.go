package crowd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	_ "github.com/vanillaroad/vanillaroad/gateway" // so that go test doesn't reuse results of another daemon
	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/platform"
)

// buildGateway builds the gateway once and returns the path of the program.
var buildGateway = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, "vanillaroad-gateway")
	output, err := exec.Command("go", "build", "-o", program, "github.com/vanillaroad/vanillaroad/cmd/vanillaroad-gateway").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return program, nil
})

// Limits that the tests lower, so that a small crowd shows the fault.
const (
	memoryMB  = 96
	maxFDs    = 450
	maxBody   = 4 << 20
	maxHeader = 16 << 10
)

// answerBytes is the size of the target's answer to requests for /c/large.
const answerBytes = 8 << 20

// site is one gateway process with a store and a target.
type site struct {
	t           *testing.T
	ip          string
	logPath     string
	process     *os.Process
	ended       chan struct{}
	stopMeasure func()

	peakMemory atomic.Int64 // resident memory and unread or unsent bytes of the sockets
	peakFDs    atomic.Int64
}

func (s *site) callers() string    { return s.ip + ":8740" }
func (s *site) directory() string  { return s.ip + ":8746" }
func (s *site) peers() string      { return s.ip + ":8748" }
func (s *site) readiness() string  { return s.ip + ":8749" }
func (s *site) operations() string { return s.ip + ":7200" }

// target answers calls with their request id and signature. A call of /c/large gets a large
// answer, and one of /c/held is answered when its caller gives up.
func target(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, "/c/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/c/held" {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Vanillaroad-Request-Id", r.Header.Get("Vanillaroad-Request-Id"))
	w.Header().Set("Vanillaroad-Upstream-Stamp", "s")
	body := []byte("done")
	if r.URL.Path == "/c/large" {
		body = make([]byte, answerBytes)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func startSite(t *testing.T) *site {
	store := startServer(t, standin.NewPlatform().Handler())
	service := startServer(t, http.HandlerFunc(target))
	fillStore(t, store.URL, []object{
		{platform.TargetKind, "i-1", map[string]any{"service": "calls", "address": service.Listener.Addr().String(), "zone": "p", "version": "v1", "slots": 1000, "state": "ready", "cold_left_ms": 0, "seq": 1}},
		configuration(map[string]any{
			"name": "calls", "host": "h.example", "path_prefix": "/c/", "kind": "non_idempotent", "service": "calls", "public": true,
			"timeout_ms": 600_000, "slo_ms": 1000, "max_attempts": 1,
		}),
	})
	s := startProcess(t, "vm-1", network()+".1", store, nil)
	s.awaitReady()
	s.ordinaryRequest()
	s.measure()
	return s
}

// network returns the first three numbers of the addresses of a site. Other tests use networks
// below 127.251.
func network() string { return fmt.Sprintf("127.%d.%d", 251+rand.IntN(4), rand.IntN(250)) }

func startServer(t *testing.T, handler http.Handler) *httptest.Server {
	s := httptest.NewServer(handler)
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return s
}

// startProcess starts a gateway process with further settings.
func startProcess(t *testing.T, id, ip string, store *httptest.Server, further map[string]any) *site {
	program, err := buildGateway()
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	s := &site{t: t, ip: ip, ended: make(chan struct{}), logPath: filepath.Join(dir, "log")}
	values := map[string]any{
		"id": id, "place": "p", "region": "r", "callers": s.callers(), "directory": s.directory(), "readiness": s.readiness(),
		"peers": s.peers(), "operations": s.operations(), "store": store.Listener.Addr().String(), "memory_mb": memoryMB, "max_fds": maxFDs,
		"retry_budget": map[string]any{"ratio": 0.8, "slack": 150, "window": "10s"}, "grace": "1s",
	}
	maps.Copy(values, further)
	settings, err := json.Marshal(values)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	s.start(program, path)
	return s
}

// awaitReady waits until the daemon is ready and its directory answers.
func (s *site) awaitReady() {
	s.await("http://"+s.readiness()+"/-/readiness", nil)
	s.await("http://"+s.directory()+"/-/resolve?name=h.example", nil)
}

// object is an object of the store.
type object struct {
	kind, name string
	value      any
}

// configuration returns a configuration with one route, to the service calls.
func configuration(route map[string]any) object {
	return object{platform.ConfigurationKind, platform.ConfigurationName, map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "calls"}}, "routes": []any{route},
		"limits": map[string]any{"max_header_bytes": maxHeader, "max_body_bytes": maxBody, "header_timeout_ms": 60_000, "idle_timeout_ms": 60_000},
	}}
}

func fillStore(t *testing.T, store string, objects []object) {
	client := platform.NewClient(store, metrics.NewRegistry())
	t.Cleanup(client.Close)
	for _, o := range objects {
		b, err := json.Marshal(o.value)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := client.Put(context.Background(), o.kind, o.name, b, 0); err != nil {
			t.Fatal(err)
		}
	}
}

func (s *site) start(program, settings string) {
	logFile, err := os.Create(s.logPath)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = logFile.Close() }()
	command := exec.Command(program, "-settings", settings)
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.process = command.Process
	go func() {
		_ = command.Wait()
		close(s.ended)
	}()
	s.t.Cleanup(func() {
		_ = s.process.Kill()
		<-s.ended
	})
}

// await repeats a request as an ordinary caller does, until it is answered with status 200 or
// the process has ended. The test's own time limit applies.
func (s *site) await(url string, body []byte) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		method := http.MethodGet
		if body != nil {
			method = http.MethodPost
		}
		// A caller gives an attempt up after some time. The test fails only if none succeeds.
		ctx, cancel := context.WithTimeout(s.t.Context(), 10*time.Second)
		req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			s.t.Fatal(err)
		}
		req.Host = "h.example"
		req.Header.Set("Vanillaroad-Request-Id", "ordinary-"+strconv.Itoa(i))
		resp, err := client.Do(req)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK {
				cancel()
				return
			}
		}
		cancel()
		select {
		case <-s.ended:
			b, _ := os.ReadFile(s.logPath)
			s.t.Fatalf("the daemon ended: %s", b[max(0, len(b)-2000):])
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// ordinaryRequest sends one ordinary call until it is answered.
func (s *site) ordinaryRequest() {
	s.await("http://"+s.callers()+"/c/call", bytes.Repeat([]byte("a"), 60_000))
}

// measure samples the memory and the descriptors of the process until stopMeasure is called.
func (s *site) measure() {
	done, stopped := make(chan struct{}), make(chan struct{})
	s.stopMeasure = sync.OnceFunc(func() {
		close(done)
		<-stopped
	})
	s.t.Cleanup(s.stopMeasure)
	go func() {
		defer close(stopped)
		for {
			s.peakMemory.Store(max(s.peakMemory.Load(), s.residentBytes()+s.queuedBytes()))
			files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.process.Pid))
			s.peakFDs.Store(max(s.peakFDs.Load(), int64(len(files))))
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
}

func (s *site) residentBytes() int64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", s.process.Pid))
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0 // the process has ended
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// queuedBytes returns what the kernel holds for the daemon's connections: bytes that it has
// not read, or that its peers have not read. They count on a VM as the process does.
func (s *site) queuedBytes() (sum int64) {
	ip := net.ParseIP(s.ip).To4()
	prefix := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0]) // both platforms are little-endian
	b, _ := os.ReadFile("/proc/net/tcp")
	for _, line := range strings.Split(string(b), "\n") {
		fields := strings.Fields(line)
		const local, state, queues = 1, 3, 4
		if len(fields) <= queues || !strings.HasPrefix(fields[local], prefix) || fields[state] == "0A" {
			continue // another process's, or a listener
		}
		sent, received, _ := strings.Cut(fields[queues], ":")
		for _, text := range []string{sent, received} {
			n, _ := strconv.ParseInt(text, 16, 64)
			sum += n
		}
	}
	return sum
}

// check reports whether the daemon lives, answers an ordinary request and has kept the bounds.
func (s *site) check() {
	s.t.Helper()
	s.ordinaryRequest()
	s.stopMeasure()
	select {
	case <-s.ended:
		s.t.Error("the daemon ended")
	default:
	}
	memory, fds := s.peakMemory.Load(), s.peakFDs.Load()
	s.t.Logf("peak: %.1f MB, %d descriptors", float64(memory)/(1<<20), fds)
	if memory > memoryMB<<20 {
		s.t.Errorf("the daemon used %d MB, the VM has %d MB", memory>>20, memoryMB)
	}
	if fds > maxFDs {
		s.t.Errorf("the daemon used %d descriptors, the VM allows %d", fds, maxFDs)
	}
}
