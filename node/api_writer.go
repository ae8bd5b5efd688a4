package node

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/callers"
)

// callerWriteTimeout bounds one write to a caller, which blocks while the caller
// doesn't read.
const callerWriteTimeout = 10 * time.Second

// deadlineWriter sets a deadline before each write. It keeps the first error,
// because the generated event stream ignores write errors.
type deadlineWriter struct {
	http.ResponseWriter
	control       *http.ResponseController
	headerWritten bool
	err           error
}

func newDeadlineWriter(w http.ResponseWriter) *deadlineWriter {
	return &deadlineWriter{ResponseWriter: w, control: http.NewResponseController(w)}
}

// WriteHeader implements http.ResponseWriter. Only the first call has an effect: a
// keep-alive may be written before the generated stream writes its header.
func (b *deadlineWriter) WriteHeader(status int) {
	if b.headerWritten {
		return
	}
	b.headerWritten = true
	b.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (b *deadlineWriter) Write(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	_ = b.control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	n, err := b.ResponseWriter.Write(p)
	b.err = err
	return n, err
}

// FlushError flushes and keeps the first error. http.ResponseController calls it.
func (b *deadlineWriter) FlushError() error {
	if b.err == nil {
		b.err = b.control.Flush()
	}
	return b.err
}

// Unwrap returns the wrapped writer to http.ResponseController.
func (b *deadlineWriter) Unwrap() http.ResponseWriter { return b.ResponseWriter }

type writerKey struct{}

func withWriter(ctx context.Context, w *deadlineWriter) context.Context {
	return context.WithValue(ctx, writerKey{}, w)
}

// writeError returns the first write error of the caller's connection.
func writeError(ctx context.Context) error {
	if w, ok := ctx.Value(writerKey{}).(*deadlineWriter); ok {
		return w.err
	}
	return nil
}

// writeComment writes a comment line of the event stream. Callers ignore its text,
// but it shows them that the daemon is alive.
func writeComment(ctx context.Context, text string) error {
	w, ok := ctx.Value(writerKey{}).(*deadlineWriter)
	if !ok {
		return nil
	}
	h := w.Header()
	if h.Get("Content-Type") == "" {
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-cache")
	}
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte(": " + text + "\n\n"))
	return w.FlushError()
}

// bodyTimeout bounds each read of a request's body.
const bodyTimeout = 10 * time.Second

// deadlineBody sets a deadline before each read of a request's body, so that a
// caller that stops sending is disconnected. At the end of the body it clears the
// deadline.
type deadlineBody struct {
	io.ReadCloser
	control *http.ResponseController
	guard   *callers.Guard // of the connection; nil if it is not bounded
}

// Read implements io.Reader.
func (b deadlineBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	if b.guard != nil && b.guard.Evicted() {
		return 0, os.ErrDeadlineExceeded // the deadline above may have replaced that of the eviction
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}
