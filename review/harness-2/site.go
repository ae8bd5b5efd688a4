// Command harness-2 runs the cases of the second review: it starts gateway daemons as processes of
// their own, with stand-ins of the platform's store, the servers and the clients on loopback
// addresses.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// arrival is a request that has reached an engine.
type arrival struct {
	engine, id string
	at         time.Time
	ran        bool
}

// daemon is one gateway process.
type daemon struct {
	id, zone, source                                          string
	front, directory, ready, control, relay, operations, file string
	process                                                   *exec.Cmd
}

// site is one deployment on loopback addresses.
type site struct {
	dir, root string
	store     *store
	storeAddr string
	daemons   []*daemon
	began     time.Time

	mu       sync.Mutex
	out      *bufio.Writer
	arrivals []arrival
}

// record writes a line to record.txt.
func (s *site) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.out, "%8.3f "+format+"\n", append([]any{time.Since(s.began).Seconds()}, args...)...)
}

func (s *site) arrived(a arrival) {
	ran := "not run"
	if a.ran {
		ran = "run"
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	_, _ = fmt.Fprintf(s.out, "%8.3f request %s at %s, %s\n", a.at.Sub(s.began).Seconds(), a.id, a.engine, ran)
	s.mu.Unlock()
}

// givenPorts are the ports that freeAddress has returned.
var givenPorts = make(map[int]bool)

// freeAddress returns a free loopback address, outside of the range of ports that the system uses
// for outgoing channels.
func freeAddress() string {
	for {
		port := 12000 + rand.IntN(18000)
		if givenPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		givenPorts[port] = true
		return l.Addr().String()
	}
}

// newSite starts the store and prepares daemons in as many zones as given.
func newSite(root, recordFile string, daemons, zones int) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, root: root, store: newStore(), began: time.Now(), out: bufio.NewWriter(f)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, s.store) }()
	for i := range daemons {
		s.daemons = append(s.daemons, &daemon{
			id: fmt.Sprintf("front-%d", i+1), source: fmt.Sprintf("127.0.0.%d", 11+i), zone: fmt.Sprintf("zone-%d", i%zones+1), front: freeAddress(), directory: freeAddress(), ready: freeAddress(),
			control: freeAddress(), relay: freeAddress(), operations: freeAddress(), file: filepath.Join(dir, fmt.Sprintf("front-%d.json", i+1)),
		})
	}
	return s, nil
}

// startDaemon writes the settings file of a daemon, as the template of the deploy file gives it, and
// starts the process.
func (s *site) startDaemon(d *daemon, first bool) error {
	var seeds []string
	for _, o := range s.daemons[:min(3, len(s.daemons))] {
		seeds = append(seeds, o.control)
	}
	settings := map[string]any{
		"id": d.id, "place": d.zone, "region": "region-1", "callers": d.front, "directory": d.directory, "readiness": d.ready, "peers": d.control,
		"seeds": seeds, "operations": d.operations, "relay": d.relay, "store": s.storeAddr, "memory_mb": 284, "max_fds": 4100,
		"source": d.source, "retry_budget": map[string]any{"ratio": 0.8, "slack": 150, "window": "10s"}, "grace": "8s",
	}
	if first {
		settings["first_start"] = true
	}
	body, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.file, body, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(strings.TrimSuffix(d.file, ".json")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.process = exec.Command(filepath.Join(s.root, "target", "vanillaroad-gateway"), "-settings", d.file)
	d.process.Stdout, d.process.Stderr, d.process.Dir = log, log, s.root
	s.record("daemon %s starts", d.id)
	if err := d.process.Start(); err != nil {
		return err
	}
	startedMu.Lock()
	defer startedMu.Unlock()
	started = append(started, d.process)
	return nil
}

// started are the processes of all daemons.
var (
	startedMu sync.Mutex
	started   []*exec.Cmd
)

// endProcesses ends the daemons of a case that didn't come to its end.
func endProcesses() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, p := range started {
		_ = p.Process.Kill()
	}
}

// isReady reports whether a daemon is ready.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (s *site) awaitReady() bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range s.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(s.daemons) {
			return true
		}
	}
	return false
}

// close ends all processes and closes the record. KEEP=1 keeps the daemons' logs.
func (s *site) close() {
	for _, d := range s.daemons {
		if d.process != nil && d.process.Process != nil {
			_ = d.process.Process.Kill()
			_ = d.process.Wait()
		}
	}
	s.mu.Lock()
	_ = s.out.Flush()
	s.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}
