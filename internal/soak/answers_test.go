package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
)

// manner is how an engine sends its answer to one request.
type manner struct {
	unframed bool // with neither a length nor chunks; it ends with its connection
	breakOff bool
	reset    bool    // breaks off with a reset
	inside   bool    // breaks off inside an event, or inside the body of a call
	at       float64 // how far into the answer it breaks off, as a fraction
}

// drawManner draws how an engine answers a request, the same for the same ids. One answer
// in three is unframed. A faulty engine breaks off one in eight, in a way that shows: the
// end of the connection breaks off an unframed answer only inside an event, or before the
// head.
func drawManner(engine, request string, faulty, stream bool) manner {
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, engine+"/"+request)
	rng := rand.New(rand.NewPCG(hash.Sum64(), 4))
	m := manner{unframed: rng.IntN(3) == 0, breakOff: faulty && rng.IntN(8) == 0, reset: rng.IntN(2) == 0, inside: rng.IntN(2) == 0, at: rng.Float64()}
	if m.unframed && !m.reset {
		m.inside = stream
	}
	return m
}

// breakOff ends a connection before the answer on it is complete.
func breakOff(w http.ResponseWriter, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the caller has closed it
	}
	if reset {
		setLinger(conn)
	}
	_ = conn.Close()
}

// closedWriter is the answer of an engine that goes on after it has broken its connection, which
// net/http's writer can't be used for.
type closedWriter struct{ http.ResponseWriter }

// Write implements http.ResponseWriter.
func (closedWriter) Write(p []byte) (int, error) { return len(p), nil }

// FlushError is called by http.ResponseController.
func (closedWriter) FlushError() error { return nil }

// writePart sends the first half of data.
func writePart(w http.ResponseWriter, data string) error {
	_, err := io.WriteString(w, data[:len(data)/2])
	return errors.Join(err, http.NewResponseController(w).Flush())
}

// call answers a call and returns the run's end.
func (e *engine) call(w http.ResponseWriter, r *http.Request, work task, m manner) runEnd {
	if !e.pause(r, work.first) {
		return runCanceled
	}
	body := work.answer()
	if !m.unframed {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	if m.breakOff {
		if m.inside && writePart(w, string(body)) != nil {
			return runCanceled
		}
		breakOff(w, m.reset)
		return runBrokenOff
	}
	if _, err := w.Write(body); err != nil {
		return runCanceled
	}
	return runComplete
}

// unframedWriter sends an answer that ends with its connection. net/http's server frames
// all answers to HTTP/1.1 requests.
type unframedWriter struct {
	conn     net.Conn
	header   http.Header
	headSent bool
}

// unframe takes the connection of a request over. The returned request's context ends with
// the connection, which the caller of unframe closes to end the answer.
func unframe(w http.ResponseWriter, r *http.Request) (*unframedWriter, *http.Request, error) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	go func() {
		defer cancel()
		_, _ = io.Copy(io.Discard, conn)
	}()
	return &unframedWriter{conn: conn, header: make(http.Header)}, r.WithContext(ctx), nil
}

// Header implements http.ResponseWriter.
func (u *unframedWriter) Header() http.Header { return u.header }

// WriteHeader implements http.ResponseWriter. The status is always 200.
func (u *unframedWriter) WriteHeader(int) {}

// Write implements http.ResponseWriter.
func (u *unframedWriter) Write(p []byte) (int, error) {
	if err := u.FlushError(); err != nil {
		return 0, err
	}
	return u.conn.Write(p)
}

// FlushError sends the head, if it was not sent.
func (u *unframedWriter) FlushError() error {
	if u.headSent {
		return nil
	}
	u.headSent = true
	head := bytes.NewBufferString("HTTP/1.1 200 OK\r\n")
	_ = u.header.Write(head) // a buffer accepts all
	head.WriteString("\r\n")
	_, err := u.conn.Write(head.Bytes())
	return err
}

// Hijack implements http.Hijacker.
func (u *unframedWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) { return u.conn, nil, nil }
