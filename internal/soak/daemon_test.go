package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Bounds of the platform, as in the settings of a process.
const (
	grace       = 8 * time.Second
	contact     = 3 * time.Second
	lossSlack   = 200 * time.Millisecond
	configApply = 2 * time.Second
	// budgetWindow is the window of the retry budget. A daemon has no slack in the first one.
	budgetWindow = 10 * time.Second
)

// restartDelay is the time between the end of a process and its next start.
const restartDelay = 500 * time.Millisecond

// buildGateway builds the gateway once and returns the path of the program.
var buildGateway = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	program := filepath.Join(dir, "vanillaroad-gateway")
	arguments := []string{"build", "-o", program}
	if *raceDetector {
		arguments = append(arguments, "-race")
	}
	output, err := exec.Command("go", append(arguments, "github.com/vanillaroad/vanillaroad/cmd/vanillaroad-gateway")...).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return program, nil
})

// daemon is a gateway process that is started again whenever it ends.
type daemon struct {
	id, ip, dir string
	program     string
	store       string
	seeds       []string
	rollsOut    bool          // the settings have a block for roll-outs
	power       *sync.RWMutex // held while the machines of all daemons are without power

	starting sync.Mutex

	mu      sync.Mutex
	process *os.Process // nil while there is none
	ended   chan struct{}
	stopped bool     // the process was told to end
	ownEnds []string // how processes ended that were not
	starts  []time.Time
}

func (d *daemon) address(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }
func (d *daemon) callers() string         { return d.address(8740) }
func (d *daemon) directory() string       { return d.address(8746) }
func (d *daemon) readiness() string       { return d.address(8749) }
func (d *daemon) peers() string           { return d.address(8748) }
func (d *daemon) settingsPath() string    { return filepath.Join(d.dir, d.id+".json") }
func (d *daemon) logPath() string         { return filepath.Join(d.dir, d.id+".log") }

// writeSettings writes the settings file, as from deploy/gateway.json.tmpl.
func (d *daemon) writeSettings(logLevel string) error {
	values := map[string]any{
		"id": d.id, "place": "p", "region": "r", "callers": d.callers(), "directory": d.directory(), "readiness": d.readiness(),
		"peers": d.peers(), "seeds": d.seeds, "operations": d.address(7200), "relay": d.address(7201), "source": d.ip, "store": d.store, "memory_mb": 284, "log_level": logLevel,
		"retry_budget": map[string]any{"ratio": 0.8, "slack": 150, "window": budgetWindow.String()}, "grace": grace.String(),
		"first_start": d.isFirstStart(),
	}
	if d.rollsOut {
		values["rollout"] = map[string]any{"share": rolloutShare, "slack": rolloutSlack, "rollback_within": rollbackWithin.String()}
	}
	b, err := json.Marshal(values)
	if err != nil {
		return err
	}
	temporary := d.settingsPath() + ".new"
	if err := os.WriteFile(temporary, b, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, d.settingsPath())
}

// start starts the process unless there is one, once its machine has power. Its end closes ended.
func (d *daemon) start() error {
	d.power.RLock()
	defer d.power.RUnlock()
	d.starting.Lock()
	defer d.starting.Unlock()
	if d.runs() {
		return nil
	}
	if !d.isFirstStart() {
		if err := d.writeSettings("info"); err != nil {
			return err
		}
	}
	logFile, err := os.OpenFile(d.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	command := exec.Command(d.program, "-settings", d.settingsPath())
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.process, d.ended, d.stopped, d.starts = command.Process, ended, false, append(d.starts, time.Now())
	d.mu.Unlock()
	go func() {
		err := command.Wait()
		d.mu.Lock()
		d.process = nil
		if !d.stopped {
			d.ownEnds = append(d.ownEnds, fmt.Sprintf("%s ended by itself at %s: %v", d.id, time.Now().UTC().Format(time.RFC3339Nano), err))
		}
		d.mu.Unlock()
		close(ended)
	}()
	return nil
}

// runs reports whether there is a process.
func (d *daemon) runs() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process != nil
}

// isFirstStart reports whether the daemon has never been started.
func (d *daemon) isFirstStart() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.starts) == 0
}

// startedWithin reports whether a process started in a time before t.
func (d *daemon) startedWithin(before time.Duration, t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.starts, func(start time.Time) bool { return !start.After(t) && t.Sub(start) < before })
}

// signal sends a signal to the process and reports whether there is one.
func (d *daemon) signal(s syscall.Signal) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = d.stopped || s == syscall.SIGTERM || s == syscall.SIGKILL
	return d.process != nil && d.process.Signal(s) == nil
}

// awaitEnd waits for the end of the process, for at most limit, and reports whether it
// has ended.
func (d *daemon) awaitEnd(limit time.Duration) bool {
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// logLines returns the lines of the log that contain any of the texts.
func (d *daemon) logLines(texts ...string) (out []string) {
	b, _ := os.ReadFile(d.logPath()) // without a file there are no lines
	for _, line := range strings.Split(string(b), "\n") {
		for _, text := range texts {
			if strings.Contains(line, text) {
				out = append(out, line)
				break
			}
		}
	}
	return out
}

// proxy forwards connections to an address. Its links can be held up and reset.
type proxy struct {
	target string

	mu        sync.Mutex
	heldUntil time.Time
	conns     map[net.Conn]bool
	cuts      map[string]*partition // by the IP of a daemon
}

func startProxy(t *testing.T, address, target string) *proxy {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	p := &proxy{target: target, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				p.reset()
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *proxy) serve(in net.Conn) {
	if !p.admits(in) {
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.mu.Lock()
	p.conns[in], p.conns[out] = true, true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(out, in) })
	copies.Go(func() { p.copy(in, out) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

func (p *proxy) copy(to, from net.Conn) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.awaitCut(to, from)
		p.mu.Lock()
		wait := time.Until(p.heldUntil)
		p.mu.Unlock()
		time.Sleep(wait)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				setLinger(to)
			}
			return
		}
	}
}

// hold delays everything for d.
func (p *proxy) hold(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heldUntil = time.Now().Add(d)
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		setLinger(c)
		_ = c.Close()
	}
}

// setLinger makes the close of a connection reset it.
func setLinger(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
