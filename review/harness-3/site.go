// Command harness-3 runs the scripts of the review cases 11 to 14. It starts the store's
// stand-in and gateway daemons as separate processes and plays engines, callers and the
// operator itself, all on loopback addresses.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, in the words of the users' settings.
const (
	heartbeat = 1200 * time.Millisecond // heartbeat_ms
	contact   = 3 * time.Second         // contact_ms
	memoryMB  = 284                     // limits.memory_mb
	maxFDs    = 4100                    // limits.max_fds
)

// apiKey is the key of the only tenant.
const apiKey = "xd9dnn2ctnfzs989anu6"

const host = "site.example"

// site is a store with some daemons.
type site struct {
	dir     string
	store   string // IP:port
	daemons []*daemon
	http    *http.Client
	started time.Time

	mu      sync.Mutex
	record  []recordLine
	version int64
}

type recordLine struct {
	at   time.Duration
	text string
}

// daemon is a gateway process.
type daemon struct {
	site      *site
	id        string
	callers   string
	directory string
	readiness string
	settings  string
	process   *exec.Cmd
}

// note adds a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record = append(s.record, recordLine{time.Since(s.started), fmt.Sprintf(format, args...)})
}

// writeRecord writes the record to a file, in the order of time.
func (s *site) writeRecord(path string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	sort.SliceStable(s.record, func(i, j int) bool { return s.record[i].at < s.record[j].at })
	var b bytes.Buffer
	for _, l := range s.record {
		fmt.Fprintf(&b, "%9.3f %s\n", l.at.Seconds(), l.text)
	}
	return os.WriteFile(path, b.Bytes(), 0o644)
}

// freeAddress returns a loopback address with a free port, which is not one that the system gives
// to outgoing connections. It is in a block of ports that no other harness uses at the same time.
func freeAddress() string {
	const first, size, blocks = 20000, 100, 100
	for range blocks {
		if blockLock != nil {
			break
		}
		start := first + size*rand.IntN(blocks)
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", start)); err == nil {
			blockLock, nextPort, endPort = l, start+1, start+size
		}
	}
	for ; blockLock != nil && nextPort < endPort; nextPort++ {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			nextPort++
			return address
		}
	}
	fail(fmt.Errorf("no free port"))
	return ""
}

var (
	blockLock         net.Listener // at the first port of the block, until this process ends
	nextPort, endPort int
)

// unable is the exit status if a case couldn't run.
const unable = 2

func fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	current.stop()
	os.Exit(unable)
}

// current is the site of this process.
var current *site

// newSite starts the store.
func newSite() *site {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	s := &site{dir: dir, store: freeAddress(), started: time.Now(), http: &http.Client{Timeout: 5 * time.Second}}
	current = s
	s.start("store", "bin/review-3/standin", "platform", "--listen", s.store)
	for end := time.Now().Add(10 * time.Second); ; {
		if _, status := s.call(http.MethodGet, "/-/objects/config", nil); status == http.StatusOK {
			return s
		}
		if time.Now().After(end) {
			fail(fmt.Errorf("the store does not answer"))
		}
		time.Sleep(50 * time.Millisecond)
	}
}

var (
	processMu sync.Mutex
	processes []*exec.Cmd
)

// start starts a process that ends with this one.
func (s *site) start(name, program string, args ...string) *exec.Cmd {
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err)
	}
	c := exec.Command(program, args...)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		fail(err)
	}
	_ = log.Close()
	processMu.Lock()
	defer processMu.Unlock()
	processes = append(processes, c)
	return c
}

// stop ends all processes.
func (s *site) stop() {
	processMu.Lock()
	defer processMu.Unlock()
	for _, c := range processes {
		_ = c.Process.Kill()
	}
	for _, c := range processes {
		_ = c.Wait()
	}
	processes = nil
	if s != nil {
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			_ = os.RemoveAll(keep)
			_ = os.Rename(s.dir, keep)
			return
		}
		_ = os.RemoveAll(s.dir)
	}
}

// call makes a call to the store.
func (s *site) call(method, path string, body any) ([]byte, int) {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			fail(err)
		}
		reader = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+s.store+path, reader)
	if err != nil {
		fail(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.http.Do(req)
	if err != nil {
		return nil, 0
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return b, resp.StatusCode
}

type object struct {
	Metadata struct {
		Name string `json:"name"`
	} `json:"metadata"`
	Spec any `json:"spec"`
}

// put writes an object: it is replaced, or created if there is none.
func (s *site) put(kind, name string, spec any) int {
	o := object{Spec: spec}
	o.Metadata.Name = name
	_, status := s.call(http.MethodPut, "/-/objects/"+kind+"/"+name, o)
	if status == http.StatusNotFound {
		_, status = s.call(http.MethodPost, "/-/objects/"+kind, o)
	}
	return status
}

// configure writes the next version of the configuration.
func (s *site) configure(routes, services []map[string]any) {
	s.version += 3
	status := s.put("config", "main", map[string]any{
		"version": s.version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "huka270", "api_keys": []string{apiKey}, "priority": 1}},
	})
	if status != http.StatusOK {
		fail(fmt.Errorf("the configuration was answered with %d", status))
	}
}

// startDaemons starts n daemons and waits until all are ready.
func (s *site) startDaemons(n int) {
	zones := []string{"bloem-a", "bloem-b", "kroon-hall", "welkom-hall"}
	var seeds []string
	type addresses struct{ peers, operations, relay string }
	var all []addresses
	for range n {
		a := addresses{freeAddress(), freeAddress(), freeAddress()}
		all = append(all, a)
		if len(seeds) < 3 {
			seeds = append(seeds, a.peers)
		}
	}
	for i := range n {
		id := fmt.Sprintf("front-%d", i+1)
		d := &daemon{site: s, id: id, callers: freeAddress(), directory: freeAddress(), readiness: freeAddress(), settings: filepath.Join(s.dir, id+".json")}
		// As from deploy/gateway.json.tmpl, with the bounds of the small deployments.
		settings, err := json.Marshal(map[string]any{
			"id": id, "place": zones[i%len(zones)], "region": "free-state", "callers": d.callers, "directory": d.directory, "readiness": d.readiness,
			"peers": all[i].peers, "seeds": seeds, "operations": all[i].operations, "relay": all[i].relay, "store": s.store,
			"memory_mb": memoryMB, "max_fds": maxFDs, "first_start": true,
			"retry_budget": map[string]any{"ratio": 0.8, "slack": 150, "window": "10s"}, "grace": "8s",
		})
		if err != nil {
			fail(err)
		}
		if err := os.WriteFile(d.settings, settings, 0o600); err != nil {
			fail(err)
		}
		d.process = s.start(id, "target/vanillaroad-gateway", "-settings", d.settings)
		s.daemons = append(s.daemons, d)
	}
	s.awaitReady()
}

// awaitReady waits until all daemons are ready.
func (s *site) awaitReady() {
	for _, d := range s.daemons {
		for end := time.Now().Add(20 * time.Second); !d.ready(); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				fail(fmt.Errorf("%s is not ready", d.id))
			}
		}
	}
}

// kill ends the process at once.
func (d *daemon) kill() { _ = d.process.Process.Kill() }

// startAgain starts the process again. It isn't the first start of the whole system any more.
func (d *daemon) startAgain() {
	_ = d.process.Wait()
	text, err := os.ReadFile(d.settings)
	if err == nil {
		err = os.WriteFile(d.settings, bytes.Replace(text, []byte(`"first_start":true`), []byte(`"first_start":false`), 1), 0o600)
	}
	if err != nil {
		fail(err)
	}
	d.process = d.site.start(d.id, "target/vanillaroad-gateway", "-settings", d.settings)
}

func (d *daemon) ready() bool {
	resp, err := d.site.http.Get("http://" + d.readiness + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
