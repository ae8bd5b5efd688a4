package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/target"
)

// engineStream is the stream of one attempt. It stores its events so that callers
// can attach.
type engineStream struct {
	req          target.GenerateRequest
	memoryTokens int64 // tokens in the KV cache; guarded by Engine.mu

	mu            sync.Mutex
	firstPosition int64 // position of events[0]
	events        []target.StreamEvent
	ended         bool
	stopped       chan struct{} // closed by stop
	changed       chan struct{} // closed and replaced when an event is added
}

// charsPerToken is the simulated number of prompt characters per token.
const charsPerToken = 4

// maxBlocks is the maximum length of the cached prefix of one prompt, in blocks.
const maxBlocks = 4096

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req target.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := &engineStream{req: req, firstPosition: int64(len(req.Forced)), stopped: make(chan struct{}), changed: make(chan struct{})}
	e.mu.Lock()
	if e.models[req.Model] != req.Version {
		e.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if existing := e.streams[req.Stream]; existing != nil {
		e.mu.Unlock()
		e.send(w, r, existing, existing.firstPosition)
		return
	}
	e.streams[req.Stream] = s
	e.counts.Streams++
	e.queue = append(e.queue, s)
	e.schedule()
	e.mu.Unlock()
	e.send(w, r, s, s.firstPosition)
}

func streamID(r *http.Request) target.StreamID {
	attempt, _ := strconv.ParseInt(r.PathValue("attempt"), 10, 64)
	return target.StreamID{Request: r.PathValue("request"), Attempt: attempt}
}

func (e *Engine) attach(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	e.mu.Lock()
	s := e.streams[streamID(r)]
	e.mu.Unlock()
	if s == nil || err != nil || from < s.firstPosition {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.send(w, r, s, from)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[streamID(r)]
	if s == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.counts.Canceled++
	delete(e.streams, s.req.Stream)
	for i, other := range e.queue {
		if other == s {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			break
		}
	}
	s.stop()
}

func (s *engineStream) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stopped:
	default:
		close(s.stopped)
	}
}

func (s *engineStream) add(e target.StreamEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, e)
	s.ended = e.Kind != target.TokenEvent
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the events from a position on, whether the stream has ended, and a
// channel that is closed when there are more events.
func (s *engineStream) read(from int64) ([]target.StreamEvent, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := min(from-s.firstPosition, int64(len(s.events)))
	return s.events[i:], s.ended, s.changed
}

// send writes the events from position from on, with keep-alives while there are none,
// until the stream or the request ends. When the stream is silenced it sends nothing more and keeps the
// connection open.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *engineStream, from int64) {
	opened := time.Now()
	out := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	keepAlive := time.NewTicker(e.settings.KeepAlive)
	defer keepAlive.Stop()
	for {
		events, ended, changed := s.read(from)
		if e.isSilenced(opened) {
			<-r.Context().Done()
			return
		}
		for _, ev := range events {
			_ = out.Encode(ev)
			from++
		}
		_ = flush.Flush()
		if ended {
			return
		}
		select {
		case <-changed:
		case <-s.stopped:
			return
		case <-r.Context().Done():
			return
		case <-keepAlive.C:
			_ = out.Encode(target.StreamEvent{Kind: target.KeepAliveEvent, Position: from})
			_ = flush.Flush()
		}
	}
}

func (e *Engine) isSilenced(opened time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.SilentStreams && opened.Before(e.silencedAt)
}

// decode runs one stream: it waits for the prefill and then generates the tokens.
func (e *Engine) decode(s *engineStream) {
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
		e.memoryTokens -= s.memoryTokens
		e.finish(s.req.Stream)
		e.schedule()
	}()
	if !e.sleepUnlessStopped(s, e.prefillDuration(s)) {
		return
	}
	if strings.Contains(s.req.Prompt, CrashPrompt) {
		e.settings.Crash()
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), uint64(s.req.Seed)))
	previous := s.req.Forced
	for p := s.firstPosition; p < s.req.MaxTokens; p++ {
		if !e.sleepUnlessStopped(s, e.settings.TokenInterval) {
			return
		}
		text := nextToken(random, s.req.Prompt, previous)
		previous = []string{text}
		e.mu.Lock()
		e.counts.DecodeTokens++
		e.addMemoryTokens(s, 1)
		e.mu.Unlock()
		s.add(target.StreamEvent{Kind: target.TokenEvent, Position: p, Text: text})
	}
	s.add(target.StreamEvent{Kind: target.DoneEvent, Position: s.req.MaxTokens})
}

// maxFinishedStreams is the maximum number of finished streams to which callers can
// still attach.
const maxFinishedStreams = 4096

// finish records a finished stream. If there are more than maxFinishedStreams, it
// removes the oldest one. The caller holds the lock.
func (e *Engine) finish(id target.StreamID) {
	e.finished = append(e.finished, id)
	if len(e.finished) > maxFinishedStreams {
		delete(e.streams, e.finished[0])
		e.finished = e.finished[1:]
	}
}

// addMemoryTokens adds to the KV cache use of a stream and of the engine. The caller
// holds the lock.
func (e *Engine) addMemoryTokens(s *engineStream, tokens int64) {
	s.memoryTokens += tokens
	e.memoryTokens += tokens
}

// sleepUnlessStopped waits for d and returns true, or returns false as soon as the
// stream is stopped.
func (e *Engine) sleepUnlessStopped(s *engineStream, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.stopped:
		return false
	}
}

// prefillDuration returns the duration of the prefill of the prompt and the forced
// tokens. Cached tokens need no prefill. It also updates the cache and the counts.
func (e *Engine) prefillDuration(s *engineStream) time.Duration {
	blocks := target.BlockHashes(s.req.Model, s.req.Version, s.req.Prompt, maxBlocks)
	e.mu.Lock()
	defer e.mu.Unlock()
	leading := e.accessBlocks(blocks)
	total := int64(len(s.req.Prompt)/charsPerToken + len(s.req.Forced))
	cached := min(total, int64(leading*target.BlockChars/charsPerToken))
	e.counts.PrefillTokens += total - cached
	e.counts.CachedTokens += cached
	e.addMemoryTokens(s, total)
	return time.Duration(float64(total-cached) / e.settings.PrefillRate * float64(time.Second))
}

// nextToken returns a token of the form "own.previous.prompt": a random tag of its
// own, the tag of the previous token, and a tag of the prompt. The random tags differ
// between generations, so CheckAnswer detects tokens that are missing, repeated, mixed
// from two generations, or from another request.
func nextToken(random *rand.Rand, prompt string, previous []string) string {
	previousTag := firstTag
	if n := len(previous); n > 0 {
		previousTag, _, _ = strings.Cut(previous[n-1], ".")
	}
	return fmt.Sprintf("%s.%s.%s", newTag(random), previousTag, promptTag(prompt))
}

// startTag is used in the first token in place of the tag of a previous token.
const firstTag = "start"

func promptTag(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt)&0xffff, 16)
}

// CheckAnswer returns an error unless tokens are one complete answer to prompt with
// length tokens.
func CheckAnswer(prompt string, tokens []string, length int64) error {
	if int64(len(tokens)) != length {
		return errors.Errorf("answer has %d tokens, want %d", len(tokens), length)
	}
	previousTag := firstTag
	for i, t := range tokens {
		parts := strings.Split(t, ".")
		if len(parts) != 3 {
			return errors.Errorf("token %d is malformed: %q", i, t)
		}
		if parts[2] != promptTag(prompt) {
			return errors.Errorf("token %d belongs to another request", i)
		}
		if parts[1] != previousTag {
			return errors.Errorf("token %d does not follow token %d", i, i-1)
		}
		previousTag = parts[0]
	}
	return nil
}
