package event

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

func TestOutputNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &blockedWriter{release: make(chan struct{})}
		o := NewAsyncWriter(reader)
		const extra = 7
		_, _ = fmt.Fprintln(o, "first")
		synctest.Wait() // the goroutine is blocked in writing the first line
		for range maxQueuedLines + extra {
			_, _ = fmt.Fprintln(o, "line")
		}
		close(reader.release)
		time.Sleep(2 * dropReportInterval)
		o.Close()
		got := reader.String()
		if n := strings.Count(got, "line\n"); n != maxQueuedLines {
			t.Errorf("%d lines were written, want maxQueuedLines", n)
		}
		if want := fmt.Sprintf("\"lines\":%d}", extra); !strings.Contains(got, want) {
			t.Errorf("the log does not contain %s", want)
		}
	})
}

func TestRoutineLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		r := NewRecorder("vm", NewClock(time.Now), log.NewJSONLogger(&out), 16)
		r.LimitRoutineLogs(10)
		for range 100 {
			r.Record(RequestAnswered, "r1")
			r.Record(RequestFailed, "r2")
			r.Record(TargetRemoved, "")
		}
		time.Sleep(time.Second)
		r.Record(RequestAnswered, "r1")
		got := out.String()
		for name, want := range map[string]int{"request_answered": 11, "request_failed": 100, "target_gone": 100} {
			if n := strings.Count(got, name); n != want {
				t.Errorf("%d lines of %s were logged, want %d", n, name, want)
			}
		}
		if !strings.Contains(got, "\"left_out\":90") {
			t.Error("the log does not report 90 dropped lines as left_out")
		}
	})
}
