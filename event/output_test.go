package event

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// stopped is a reader of the log that takes nothing until it is let go.
type stopped struct {
	bytes.Buffer
	free chan struct{}
}

func (s *stopped) Write(b []byte) (int, error) {
	<-s.free
	return s.Buffer.Write(b)
}

func TestOutputNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader := &stopped{free: make(chan struct{})}
		o := NewOutput(reader)
		const extra = 7
		_, _ = fmt.Fprintln(o, "first")
		synctest.Wait() // the writer holds the first line
		for range outputLines + extra {
			_, _ = fmt.Fprintln(o, "line")
		}
		close(reader.free)
		time.Sleep(2 * lostReport)
		o.Close()
		got := reader.String()
		if n := strings.Count(got, "line\n"); n != outputLines {
			t.Errorf("%d lines were written", n)
		}
		if want := fmt.Sprintf("\"lines\":%d}", extra); !strings.Contains(got, want) {
			t.Errorf("%s is not told", want)
		}
	})
}
