package crowd

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	// Imported so that go test doesn't reuse results of other daemons.
	_ "github.com/vanillaroad/vanillaroad/gateway"
	_ "github.com/vanillaroad/vanillaroad/node"
)

// buildDaemons builds the daemons once and returns the folder of the programs.
var buildDaemons = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		return "", err
	}
	const commands = "github.com/vanillaroad/vanillaroad/cmd/"
	output, err := exec.Command("go", "build", "-o", dir+"/", commands+"vanillaroad-gateway", commands+"vanillaroadd").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, output)
	}
	return dir, nil
})

// daemon is one process of the system.
type daemon struct {
	t           *testing.T
	ip          string
	logPath     string
	process     *os.Process
	ended       chan struct{}
	stopMeasure func()
	maxFDs      int64                                 // bound of the descriptors
	ordinary    func(ctx context.Context, n int) bool // sends the nth ordinary request, and reports whether it was served

	peakMemory atomic.Int64 // resident memory and unread or unsent bytes of the sockets
	peakFDs    atomic.Int64
}

// newDaemon returns a daemon that is not started yet.
func newDaemon(t *testing.T, ip string) *daemon {
	return &daemon{t: t, ip: ip, maxFDs: maxFDs, ended: make(chan struct{}), logPath: filepath.Join(t.TempDir(), "log")}
}

// Limits that the tests lower, so that a small crowd shows the fault.
const (
	memoryMB  = 96
	maxFDs    = 450
	maxBody   = 4 << 20
	maxHeader = 16 << 10
)

// start runs a program of the system with a settings file.
func (d *daemon) start(program, settings string) {
	dir, err := buildDaemons()
	if err != nil {
		d.t.Fatal(err)
	}
	d.run(exec.Command(filepath.Join(dir, program), "-settings", settings))
}

// run starts the process.
func (d *daemon) run(command *exec.Cmd) {
	logFile, err := os.Create(d.logPath)
	if err != nil {
		d.t.Fatal(err)
	}
	defer func() { _ = logFile.Close() }()
	command.Stdout, command.Stderr = logFile, logFile
	// No cleanup runs when a test ends by its time limit.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.process = command.Process
	go func() {
		_ = command.Wait()
		close(d.ended)
	}()
	d.t.Cleanup(func() {
		_ = d.process.Kill()
		<-d.ended
	})
}

// attempt repeats do until it returns true or the process has ended. The test's own time limit
// applies.
func (d *daemon) attempt(do func(ctx context.Context, n int) bool) {
	d.t.Helper()
	for n := 0; ; n++ {
		// A caller gives an attempt up after some time. The test fails only if none succeeds.
		ctx, cancel := context.WithTimeout(d.t.Context(), 10*time.Second)
		ok := do(ctx, n)
		cancel()
		if ok {
			return
		}
		select {
		case <-d.ended:
			b, _ := os.ReadFile(d.logPath)
			d.t.Fatalf("the daemon ended: %s", b[max(0, len(b)-2000):])
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// ordinaryRequest sends ordinary requests until one is served.
func (d *daemon) ordinaryRequest() {
	d.t.Helper()
	d.attempt(d.ordinary)
}

// measure samples the memory and the descriptors of the process until stopMeasure is called.
func (d *daemon) measure() {
	done, stopped := make(chan struct{}), make(chan struct{})
	d.stopMeasure = sync.OnceFunc(func() {
		close(done)
		<-stopped
	})
	d.t.Cleanup(d.stopMeasure)
	go func() {
		defer close(stopped)
		for {
			d.peakMemory.Store(max(d.peakMemory.Load(), d.residentBytes()+d.queuedBytes()))
			files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.process.Pid))
			d.peakFDs.Store(max(d.peakFDs.Load(), int64(len(files))))
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
}

func (d *daemon) residentBytes() int64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", d.process.Pid))
	fields := strings.Fields(string(b))
	if len(fields) < 2 {
		return 0 // the process has ended
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// queuedBytes returns what the kernel holds for the daemon's connections: bytes that it has
// not read, or that its peers have not read. They count on a VM as the process does.
func (d *daemon) queuedBytes() (sum int64) {
	ip := net.ParseIP(d.ip).To4()
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
func (d *daemon) check() {
	d.t.Helper()
	d.ordinaryRequest()
	select {
	case <-d.ended:
		d.t.Error("the daemon ended")
	default:
	}
	d.checkBounds()
}

// checkBounds reports whether the daemon has kept the bounds.
func (d *daemon) checkBounds() {
	d.t.Helper()
	d.stopMeasure()
	memory, fds := d.peakMemory.Load(), d.peakFDs.Load()
	d.t.Logf("peak: %.1f MB, %d descriptors", float64(memory)/(1<<20), fds)
	if memory > memoryMB<<20 {
		d.t.Errorf("the daemon used %d MB, the VM has %d MB", memory>>20, memoryMB)
	}
	if fds > d.maxFDs {
		d.t.Errorf("the daemon used %d descriptors, the VM allows %d", fds, d.maxFDs)
	}
}
