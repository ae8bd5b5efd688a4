package event

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of an Output.
const (
	// maxQueuedLines is the number of lines that wait for a slow reader: some seconds of
	// a busy daemon.
	maxQueuedLines = 4096
	// dropReportInterval is how often lines that were left out are told.
	dropReportInterval = time.Second
)

// AsyncWriter writes log lines on a goroutine of its own, so that a reader that is slow
// or stopped never holds up the daemon. Lines that find no room are left out and
// counted; the count is written once there is room. It implements io.Writer.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Int64
	closing chan struct{} // closed by Close
	done    chan struct{} // closed when the last line is written
	once    sync.Once
}

// NewAsyncWriter returns an output to w that runs until Close.
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

// Close writes what waits and ends the output. Lines that come later are dropped.
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
			_, _ = o.w.Write(line) // there is nowhere to tell that the log can't be written
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
