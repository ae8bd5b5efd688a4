package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// site is a small deployment on loopback addresses: gateway daemons as separate processes,
// and stand-ins of the store and the engines in this process.
type site struct {
	dir     string
	record  *record
	store   *store
	daemons []*daemon
	closers []func()
}

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// note writes one line with the time since the start.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// conclude writes one line to the record and to standard output.
func (r *record) conclude(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// daemon is a gateway process.
type daemon struct {
	id, ip   string
	settings string
	process  *exec.Cmd
	ended    chan struct{}
}

// Ports of a daemon; each daemon has an address of its own, drawn by subnet.
const (
	callersPort   = 8740
	directoryPort = 8746
	peersPort     = 8748
	readyPort     = 8749
)

func (d *daemon) address(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }

// newSite starts the store. Daemons are started by startDaemons.
func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, record: rec, store: newStore()}
	s.closers = append(s.closers, func() { _ = os.RemoveAll(dir) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s.store}
	go func() { _ = server.Serve(l) }()
	s.store.address = l.Addr().String()
	s.closers = append(s.closers, func() { _ = server.Close() })
	return s, nil
}

// freeSubnet returns a B such that the daemons' addresses 127.B.1.x are free.
func freeSubnet() (int, error) {
	for b := 20 + os.Getpid()%200; b < 250; b++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", b, callersPort))
		if err == nil {
			return b, l.Close()
		}
	}
	return 0, errors.New("no free loopback subnet")
}

// startDaemons starts n daemons with settings as deploy/gateway.json.tmpl writes them, and
// waits until all are ready.
func (s *site) startDaemons(n int) error {
	subnet, err := freeSubnet()
	if err != nil {
		return err
	}
	var seeds []string
	for i := range n {
		s.daemons = append(s.daemons, &daemon{id: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("127.%d.1.%d", subnet, i+1)})
		if len(seeds) < 3 {
			seeds = append(seeds, s.daemons[i].address(peersPort))
		}
	}
	for _, d := range s.daemons {
		b, err := json.MarshalIndent(map[string]any{
			"id": d.id, "place": "paviljon-jug", "region": "osrednja", "callers": d.address(callersPort), "directory": d.address(directoryPort),
			"readiness": d.address(readyPort), "peers": d.address(peersPort), "seeds": seeds, "operations": d.address(7200), "relay": d.address(7215),
			"store": s.store.address, "memory_mb": 284, "retry_budget": map[string]any{"ratio": 0.8, "slack": 150, "window": "10s"}, "grace": "8s",
		}, "", "  ")
		if err != nil {
			return err
		}
		d.settings = filepath.Join(s.dir, d.id+".json")
		if err := os.WriteFile(d.settings, b, 0o600); err != nil {
			return err
		}
		if err := s.startDaemon(d); err != nil {
			return err
		}
	}
	for _, d := range s.daemons {
		if err := s.awaitReady(d); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon starts the program of the deploy file in the repository's root.
func (s *site) startDaemon(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(s.dir, d.id+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join("target", "vanillaroad-gateway"), "-settings", d.settings)
	cmd.Dir = os.Getenv("REPOSITORY")
	if !filepath.IsAbs(cmd.Path) {
		cmd.Path = filepath.Join(cmd.Dir, "target", "vanillaroad-gateway")
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.process, d.ended = cmd, ended
	s.record.note("%s started", d.id)
	go func() {
		err := cmd.Wait()
		s.record.note("%s ended: %v", d.id, err)
		close(ended)
	}()
	return nil
}

func (s *site) awaitReady(d *daemon) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + d.address(readyPort) + "/-/readiness")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", d.id)
}

// close ends all processes and servers. Logs of the daemons are kept if KEEP names a folder.
func (s *site) close() {
	for _, d := range s.daemons {
		if d.process != nil {
			_ = d.process.Process.Kill()
			<-d.ended
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, d := range s.daemons {
			if b, err := os.ReadFile(filepath.Join(s.dir, d.id+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, d.id+".log"), b, 0o600)
			}
		}
	}
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]*object
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name        string   `json:"name"`
	Revision    int64    `json:"revision"`
	Created     int64    `json:"created"`
	Finalizers  []string `json:"finalizers"`
	Terminating bool     `json:"terminating"`
}

func newStore() *store { return &store{revision: 1, kinds: make(map[string]map[string]*object)} }

// put writes an object as the operator or an engine does.
func (s *store) put(kind, name string, spec any) {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, b)
}

func (s *store) write(kind, name string, spec json.RawMessage) *object {
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]*object)
	}
	o := s.kinds[kind][name]
	switch {
	case o == nil:
		s.revision++
		o = &object{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}}
	case bytes.Equal(o.Spec, spec):
		return o
	default:
		s.revision++
		copied := *o
		o = &copied
	}
	o.Spec, o.Metadata.Revision = spec, s.revision
	s.kinds[kind][name] = o
	return o
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kinds[kind][name] != nil {
		s.revision++
		delete(s.kinds[kind], name)
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // an answer takes so long
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	var sent object
	if r.Method == http.MethodPut || r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	status, body := s.call(r, kind, name, sent)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) call(r *http.Request, kind, name string, sent object) (status int, body any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	existing := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodGet && name == "":
		items := make([]*object, 0)
		for _, o := range s.kinds[kind] {
			items = append(items, o)
		}
		return http.StatusOK, map[string]any{"items": items, "has_more": false, "at": s.revision}
	case r.Method == http.MethodGet && existing == nil:
		return http.StatusNotFound, nil
	case r.Method == http.MethodGet:
		return http.StatusOK, existing
	case r.Method == http.MethodPost && s.kinds[kind][sent.Metadata.Name] != nil:
		return http.StatusConflict, s.kinds[kind][sent.Metadata.Name]
	case r.Method == http.MethodPost:
		return http.StatusOK, s.write(kind, sent.Metadata.Name, sent.Spec)
	case existing == nil:
		return http.StatusNotFound, nil
	case r.Method == http.MethodPut && sent.Metadata.Revision != 0 && sent.Metadata.Revision != existing.Metadata.Revision:
		return http.StatusConflict, existing
	case r.Method == http.MethodPut:
		return http.StatusOK, s.write(kind, name, sent.Spec)
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.kinds[kind], name)
		return http.StatusOK, existing
	}
	return http.StatusMethodNotAllowed, nil
}
