package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow log reader. A busy daemon
	// writes this many in a few seconds.
	maxQueuedLines = 4096
	// dropReportInterval is the period between reports of dropped lines.
	dropReportInterval = time.Second
)

// AsyncWriter is an io.Writer that writes log lines on its own goroutine, so that a
// slow or stopped log reader never blocks the daemon. Lines that do not fit in the
// queue are dropped, and their number is reported in the log every
// dropReportInterval.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{} // closed by Close
	done    chan struct{} // closed when the last line is written
	once    sync.Once
}

// NewAsyncWriter returns an AsyncWriter for w that runs until Close.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{w: w, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// Write implements io.Writer. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer. Later lines are discarded.
func (a *AsyncWriter) Close() {
	a.once.Do(func() { close(a.closing) })
	<-a.done
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-a.lines:
			_, _ = a.w.Write(line) // a failure to write the log cannot be reported anywhere
		case <-a.closing:
			for len(a.lines) > 0 {
				_, _ = a.w.Write(<-a.lines)
			}
			a.reportDropped()
			return
		case <-ticker.C:
			a.reportDropped()
		}
	}
}

func (a *AsyncWriter) reportDropped() {
	if n := a.dropped.Swap(0); n > 0 {
		entry := Lookup(LogLinesLost)
		_, _ = fmt.Fprintf(a.w, "{\"event\":%d,\"level\":\"warn\",\"name\":%q,\"lines\":%d}\n", entry.Number, entry.Name, n)
	}
}
