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
	o := &AsyncWriter{w: w, lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go o.run()
	return o
}

// Write implements io.Writer. It never blocks and never fails.
func (o *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), line...):
	default:
		o.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer. Later lines are discarded.
func (o *AsyncWriter) Close() {
	o.once.Do(func() { close(o.closing) })
	<-o.done
}

func (o *AsyncWriter) run() {
	defer close(o.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-o.lines:
			_, _ = o.w.Write(line) // a failure to write the log cannot be reported anywhere
		case <-o.closing:
			for len(o.lines) > 0 {
				_, _ = o.w.Write(<-o.lines)
			}
			o.reportDropped()
			return
		case <-ticker.C:
			o.reportDropped()
		}
	}
}

func (o *AsyncWriter) reportDropped() {
	if n := o.dropped.Swap(0); n > 0 {
		entry := Lookup(LogLinesLost)
		_, _ = fmt.Fprintf(o.w, "{\"event\":%d,\"level\":\"warn\",\"name\":%q,\"lines\":%d}\n", entry.Number, entry.Name, n)
	}
}
