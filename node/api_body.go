package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"github.com/vanillaroad/vanillaroad/callers"
	"github.com/vanillaroad/vanillaroad/failure"
	operationsserver "github.com/vanillaroad/vanillaroad/gen/http/operations/server"
	gen "github.com/vanillaroad/vanillaroad/gen/operations"
	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

const (
	jsonMedia = "application/json"
	// elementBytes is the memory of a JSON element, apart from its text: an entry of a list or of
	// a map.
	elementBytes = 128
	// exhaustedRetryAfter is the delay after which a caller may retry that was refused for want
	// of memory. Callers that stall lose their memory after two seconds.
	exhaustedRetryAfter = time.Second
	// closingTime bounds the rest of a refused body that net/http reads before it closes the
	// connection, so that a caller that still writes reads the answer.
	closingTime = 500 * time.Millisecond
)

// requestMemory is the part of the budget that a request uses. It is released once the handler
// and a run that the request started have ended.
type requestMemory struct {
	share *membudget.Share
	users atomic.Int32
}

func (m *requestMemory) retain() (release func()) {
	m.users.Add(1)
	return m.release
}

func (m *requestMemory) release() {
	if m.users.Add(-1) == 0 {
		m.share.Release()
	}
}

type memoryKey struct{}

// retainMemory returns generation.Request.Retain for the request of ctx.
func retainMemory(ctx context.Context) func() (release func()) {
	if m, ok := ctx.Value(memoryKey{}).(*requestMemory); ok {
		return m.retain
	}
	return nil
}

// bufferedBody is the complete body of a request, until it is decoded.
type bufferedBody struct {
	io.Reader
	bytes []byte
}

// Close implements io.Closer.
func (*bufferedBody) Close() error { return nil }

// take returns the body, which the request doesn't keep.
func (b *bufferedBody) take() []byte {
	taken := b.bytes
	b.Reader, b.bytes = bytes.NewReader(nil), nil
	return taken
}

// withBody reads the body of a request completely before next serves it. A body for which there
// is no memory is refused before the request has run.
func (n *Node) withBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		if e := n.earlyRefusal(r); e != nil {
			n.writeRefusal(w, r, e)
			return
		}
		memory := &requestMemory{share: n.limits.Budget.NewBodyShare()}
		defer memory.retain()()
		body, refusal := n.readBody(w, r, memory.share)
		if refusal != nil {
			n.writeRefusal(w, r, refusal)
			return
		}
		r = r.WithContext(context.WithValue(r.Context(), memoryKey{}, memory))
		r.Body = &bufferedBody{bytes.NewReader(body), body}
		next.ServeHTTP(w, r)
	})
}

// Paths of the calls that a daemon refuses while it serves no callers.
const (
	generationsPath   = "/v1/generations"
	confirmationsPath = "/v1/confirmations"
)

// earlyRefusal returns why a request can't be served, whatever its body is, or nil.
func (n *Node) earlyRefusal(r *http.Request) *failure.Error {
	if r.Method != http.MethodPost || r.URL.Path != generationsPath && r.URL.Path != confirmationsPath {
		return nil
	}
	return n.refusal()
}

// readBody reads the body of a request, and counts what its decoded form may use.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, share *membudget.Share) ([]byte, *failure.Error) {
	const step = "read request"
	limit := n.limits.Budget.BodyLimit()
	if 2*r.ContentLength > limit && r.ContentLength <= maxBodyBytes {
		return nil, failure.New(failure.TooLarge, failure.NotRun, step, "", "a body of %d bytes takes more memory than this daemon has for requests", r.ContentLength)
	}
	guard := callers.GuardOf(r.Context())
	var holder membudget.Holder
	if guard != nil {
		holder = guard
		guard.BodyBegins(r.ContentLength)
		defer guard.BodyEnds()
	}
	body, err := share.ReadBody(deadlineBody{r.Body, http.NewResponseController(w), guard}, maxBodyBytes, r.ContentLength, holder)
	if err == nil {
		cost := decodedBytes(body)
		if int64(len(body))+cost > limit {
			return nil, failure.New(failure.TooLarge, failure.NotRun, step, "", "a body of %d bytes with so many elements takes more memory than this daemon has for requests", len(body))
		}
		err = share.Grow(int(cost), func() {})
	}
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, membudget.ErrTooLong):
		return nil, failure.Wrap(err, failure.TooLarge, failure.NotRun, step, "")
	case errors.Is(err, membudget.ErrExhausted), errors.Is(err, os.ErrDeadlineExceeded) && guard != nil && guard.Evicted():
		if guard != nil {
			guard.BodyRefused()
		}
		n.limits.CountRefusal()
		return nil, failure.Wrap(err, failure.Overloaded, failure.NotRun, step, "").WithRetryAfter(exhaustedRetryAfter)
	}
	return nil, failure.Wrap(err, failure.BadRequest, failure.NotRun, step, "")
}

// writeRefusal answers a request that is refused before a handler, and closes its connection: its
// body may not be read.
func (n *Node) writeRefusal(w http.ResponseWriter, r *http.Request, e *failure.Error) {
	if r.URL.Path == confirmationsPath {
		e.Outcome = failure.Unknown // of the key, as in confirmRefusal
	}
	f := gen.Failure(wireFailure(e))
	w.Header().Set("Content-Type", jsonMedia)
	w.Header().Set("Connection", "close")
	w.Header().Set("goa-error", f.Name)
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(refusalStatus(e))
	_ = json.NewEncoder(w).Encode(operationsserver.NewApplyBadRequestResponseBody(&f)) // the same type for all errors
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(closingTime))
}

// refusalStatus returns the HTTP status of a refusal, as design states it for the classes of errors.
func refusalStatus(e *failure.Error) int {
	switch {
	case e.Code == failure.TooLarge:
		return http.StatusRequestEntityTooLarge
	case errorClass(e) == classOverloaded:
		return http.StatusTooManyRequests
	case errorClass(e) == classUnavailable:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

// decodedBytes returns the most that the decoded form of a JSON text uses.
func decodedBytes(body []byte) int64 {
	elements := 0
	inText := false
	for i := 0; i < len(body); i++ {
		switch c := body[i]; {
		case inText && c == '\\':
			i++
		case c == '"':
			inText = !inText
		case !inText && (c == ',' || c == '{' || c == '['):
			elements++
		}
	}
	return int64(len(body)) + elementBytes*int64(elements)
}

// requestDecoder decodes JSON bodies without another buffer. Other media types are refused.
func requestDecoder(r *http.Request) goahttp.Decoder {
	media := r.Header.Get("Content-Type")
	if parsed, _, err := mime.ParseMediaType(media); err == nil {
		media = parsed
	}
	return jsonDecoder{r, media}
}

type jsonDecoder struct {
	r     *http.Request
	media string
}

// Decode implements goahttp.Decoder. It lets go of the body.
func (d jsonDecoder) Decode(v any) error {
	if d.media != "" && d.media != jsonMedia {
		return goa.UnsupportedMediaTypeError(d.media)
	}
	body, ok := d.r.Body.(*bufferedBody)
	if !ok {
		return io.EOF
	}
	text := body.take()
	if len(text) == 0 {
		return io.EOF
	}
	return json.Unmarshal(text, v)
}
