package generation

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/trace"
)

// allTokens is a position beyond the end of every answer.
const allTokens = int64(1 << 40)

// longTokens is the length in tokens of an answer that its engine still generates
// when the test kills the engine, even on a busy machine.
const longTokens = 2000

func TestHub(t *testing.T) {
	Convey("Given a daemon and three engines", t, func() {
		s := newTestSite(3)
		h := s.hub("daemon-a")
		Reset(func() {
			h.Close()
			s.close()
			So(s.permitCount(), ShouldEqual, 0)
		})
		checkComplete := func(tokens []string, n int64) { So(standin.CheckAnswer(testPrompt, tokens, n), ShouldBeNil) }

		Convey("an answer is complete, and its permit is released", func() {
			r := openReader(h, newRequest("1", 20))
			defer r.Close()
			tokens, end := readTokens(r, allTokens)
			So(end.Err, ShouldBeNil)
			checkComplete(tokens, 20)
			h.Close()
			So(s.completed, ShouldEqual, 1)
		})
		Convey("an answer is resumed when its engine is killed, and the trace replays", func() {
			r := openReader(h, newRequest("1", longTokens))
			defer r.Close()
			tokens, _ := readTokens(r, 10)
			s.engines[0].kill()
			r.Position = int64(len(tokens))
			more, end := readTokens(r, allTokens)
			So(end.Err, ShouldBeNil)
			checkComplete(append(tokens, more...), longTokens)
			h.Close()
			So(s.crashed, ShouldResemble, []string{"engine-0"})
			steps, err := trace.Replay(bytes.NewReader(s.traces["daemon-a"].Bytes()), map[string]trace.MachineFactory{TraceSlice: NewReplay})
			So(err, ShouldBeNil)
			So(steps, ShouldBeGreaterThan, 100)
		})
		Convey("an answer continues from the same stream of the engine when its connection is silent", func() {
			r := openReader(h, newRequest("1", 400))
			defer r.Close()
			tokens, _ := readTokens(r, 10)
			s.engines[0].engine.SetFaults(standin.EngineFaults{SilentStreams: true})
			r.Position = int64(len(tokens))
			more, end := readTokens(r, allTokens)
			So(end.Err, ShouldBeNil)
			checkComplete(append(tokens, more...), 400)
			So(s.engines[0].engine.Work().Streams, ShouldEqual, 1)
		})
		Convey("a caller that reconnects joins the same run at the position it requests", func() {
			first := openReader(h, newRequest("1", 60))
			tokens, _ := readTokens(first, 10)
			reconnect := newRequest("1", 60)
			reconnect.Held = tokens[:4]
			second := openReader(h, reconnect)
			rest, _ := readTokens(second, allTokens)
			checkComplete(append(append([]string(nil), tokens[:4]...), rest...), 60)
			first.Close()
			second.Close()
			third := openReader(h, reconnect)
			rest, _ = readTokens(third, allTokens)
			third.Close()
			checkComplete(append(append([]string(nil), tokens[:4]...), rest...), 60)
			byCursor := newRequest("1", 60)
			byCursor.Cursor = third.CursorAt(4)
			cursorOnly := openReader(h, byCursor)
			rest, _ = readTokens(cursorOnly, allTokens)
			cursorOnly.Close()
			checkComplete(append(append([]string(nil), tokens[:4]...), rest...), 60)
			So(s.engines[0].engine.Work().Streams, ShouldEqual, 1)
		})
		Convey("a request with the id of another request is refused as a conflict", func() {
			r := openReader(h, newRequest("1", 5))
			defer r.Close()
			other := newRequest("1", 5)
			other.Prompt = "another"
			_, err := h.Answer(other)
			So(err.Code, ShouldEqual, failure.Conflict)
			readTokens(r, allTokens)
		})
		Convey("a caller that holds different tokens does not get the rest of this answer", func() {
			r := openReader(h, newRequest("1", 40))
			defer r.Close()
			readTokens(r, 5)
			other := newRequest("1", 40)
			other.Held = []string{"aaaaaaaa.start.x", "bbbbbbbb.aaaaaaaa.x"}
			second := openReader(h, other)
			defer second.Close()
			rest, end := readTokens(second, allTokens)
			So(end.Err, ShouldBeNil)
			So(rest[0], ShouldContainSubstring, ".bbbbbbbb.")
		})
		Convey("a cursor without tokens is refused when the daemon does not have the answer", func() {
			r := newRequest("1", 40)
			r.Cursor = Cursor{Held: 7, Target: "engine-0", Attempt: 5}
			_, err := h.Answer(r)
			So(err.Code, ShouldEqual, failure.Conflict)
		})
		Convey("a cancellation cancels the stream at the engine", func() {
			r := openReader(h, newRequest("1", 100000))
			defer r.Close()
			readTokens(r, 5)
			So(h.Cancel("1"), ShouldBeTrue)
			_, end := readTokens(r, allTokens)
			So(end.Err.Code, ShouldEqual, failure.Canceled)
			h.Close()
			So(s.engines[0].engine.Work().Canceled, ShouldEqual, 1)
		})
		Convey("an answer that no caller reads is stopped after Settings.Unwatched, not before", func() {
			r := openReader(h, newRequest("1", 100000))
			readTokens(r, 5)
			h.Sweep(time.Now().Add(time.Hour))
			readTokens(r, 10)
			r.Close()
			h.Sweep(time.Now())
			So(h.Active(), ShouldEqual, 1)
			h.Sweep(time.Now().Add(h.settings.Unwatched.Std() + time.Second))
			_, end := readTokens(r, allTokens)
			So(end.Err.Code, ShouldEqual, failure.Canceled)
			Convey("and a caller that reconnects later continues from the retained tokens", func() {
				h.Cancel("1")
				reconnect := newRequest("1", 20)
				reconnect.MaxTokens = 30
				reader := openReader(h, reconnect)
				tokens, _ := readTokens(reader, allTokens)
				reader.Close()
				checkComplete(tokens, int64(max(30, len(tokens))))
			})
		})
		Convey("final answers are bounded in number and bytes", func() {
			h.settings.MaxRetained = 3
			for i := range 6 {
				r := openReader(h, newRequest(strconv.Itoa(i), 3))
				readTokens(r, allTokens)
				r.Close()
			}
			So(waitEnded(h), ShouldBeTrue)
			h.Sweep(time.Now())
			So(len(h.runs), ShouldEqual, 3)
			h.settings.MaxRetainedBytes = 1
			h.Sweep(time.Now())
			So(len(h.runs), ShouldEqual, 0)
		})
		Convey("a request in quarantine is refused before it reaches an engine", func() {
			s.refusal = failure.New(failure.Quarantined, failure.NotRun, "quarantine", "", "")
			r := openReader(h, newRequest("1", 5))
			defer r.Close()
			_, end := readTokens(r, allTokens)
			So(end.Err.Code, ShouldEqual, failure.Quarantined)
			So(s.engines[0].engine.Work().Streams, ShouldEqual, 0)
		})
	})
}

// TestQuarantineWhileQueued guards against a request that runs although its content was
// quarantined while it waited for a permit.
func TestQuarantineWhileQueued(t *testing.T) {
	Convey("A request that is quarantined in the queue reaches no engine and returns its permit", t, func() {
		s := newTestSite(1)
		defer s.close()
		h := s.hub("daemon-a")
		s.onRoute = func() { s.refusal = failure.New(failure.Quarantined, failure.NotRun, "quarantine", "", "") }
		r := openReader(h, newRequest("1", 5))
		_, end := readTokens(r, allTokens)
		r.Close()
		So(end.Err, ShouldNotBeNil)
		So(end.Err.Code, ShouldEqual, failure.Quarantined)
		So(s.engines[0].engine.Work().Streams, ShouldEqual, 0)
		So(waitEnded(h), ShouldBeTrue)
		So(s.permitCount(), ShouldEqual, 0)
	})
}

// waitEnded waits until no run is active and no caller reads an answer.
func waitEnded(h *Hub) bool {
	for h.Active() > 0 {
		time.Sleep(time.Millisecond)
	}
	return true
}

func TestTwoDaemons(t *testing.T) {
	Convey("Given two daemons, and a caller that has a part of an answer from the first daemon", t, func() {
		s := newTestSite(3)
		a, b := s.hub("daemon-a"), s.hub("daemon-b")
		Reset(func() {
			a.Close()
			b.Close()
			s.close()
			So(s.permitCount(), ShouldEqual, 0)
		})
		first := openReader(a, newRequest("1", 300))
		tokens, _ := readTokens(first, 10)
		tokens = append([]string(nil), tokens[:10]...)
		reconnect := newRequest("1", 300)
		reconnect.Held, reconnect.Cursor = tokens, first.CursorAt(10)

		Convey("the second daemon joins the running stream, and the first daemon gives the stream up without canceling it", func() {
			first.Close()
			second := openReader(b, reconnect)
			defer second.Close()
			rest, end := readTokens(second, allTokens)
			So(end.Err, ShouldBeNil)
			So(standin.CheckAnswer(testPrompt, append(tokens, rest...), 300), ShouldBeNil)
			a.Close()
			b.Close()
			work := s.engines[0].engine.Work()
			So(work.Streams, ShouldEqual, 1)
			So(work.Canceled, ShouldEqual, 0)
		})
		Convey("the first daemon ignores a take-over notice while a caller reads its answer", func() {
			So(a.HandleTakeOver(TakeOverNotice{Request: "1", By: "daemon-b"}).StillRead, ShouldBeTrue)
			first.Position = 0
			rest, end := readTokens(first, allTokens)
			So(end.Err, ShouldBeNil)
			So(standin.CheckAnswer(testPrompt, rest, 300), ShouldBeNil)
			first.Close()
		})
		Convey("a caller at the second daemon with the same request id and no cursor joins the running stream, which the second daemon must not cancel", func() {
			second := openReader(b, newRequest("1", 300))
			got, _ := readTokens(second, 20)
			second.Close()
			for b.runs["1"].remoteReaders.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			b.Sweep(time.Now().Add(time.Hour))
			readTokens(second, allTokens)
			first.Position = 0
			rest, end := readTokens(first, allTokens)
			first.Close()
			So(end.Err, ShouldBeNil)
			So(standin.CheckAnswer(testPrompt, rest, 300), ShouldBeNil)
			So(got, ShouldResemble, rest[:len(got)])
			So(s.engines[0].engine.Work().Streams, ShouldEqual, 1)
			So(s.engines[0].engine.Work().Canceled, ShouldEqual, 0)
		})
		Convey("a caller at the second daemon with the same request id and no cursor gets the answer that the first daemon has completed", func() {
			first.Position = 0
			rest, _ := readTokens(first, allTokens)
			first.Close()
			second := openReader(b, newRequest("1", 300))
			got, end := readTokens(second, allTokens)
			second.Close()
			So(end.Err, ShouldBeNil)
			So(got, ShouldResemble, rest)
			So(s.engines[0].engine.Work().Streams, ShouldEqual, 1)
		})
		Convey("if the engine has failed, the second daemon resumes from the caller's tokens", func() {
			s.engines[0].kill()
			second := openReader(b, reconnect)
			rest, end := readTokens(second, allTokens)
			second.Close()
			first.Close()
			So(end.Err, ShouldBeNil)
			So(standin.CheckAnswer(testPrompt, append(tokens, rest...), 300), ShouldBeNil)
		})
		Convey("a caller that returns to the first daemon without further tokens joins the stream again, and the second daemon gives the stream up", func() {
			first.Close()
			second := openReader(b, reconnect)
			readTokens(second, 40)
			second.Close()
			So(waitEnded(a), ShouldBeTrue)
			third := openReader(a, reconnect)
			rest, end := readTokens(third, allTokens)
			third.Close()
			So(end.Err, ShouldBeNil)
			So(standin.CheckAnswer(testPrompt, append(tokens, rest...), 300), ShouldBeNil)
			So(waitEnded(b), ShouldBeTrue)
			So(s.engines[0].engine.Work().Streams, ShouldEqual, 1)
			So(s.engines[0].engine.Work().Canceled, ShouldEqual, 0)
		})
		Convey("a caller that returns to the first daemon with more tokens than that daemon has continues from its own tokens", func() {
			first.Close()
			second := openReader(b, reconnect)
			more, _ := readTokens(second, 40)
			second.Close()
			returning := newRequest("1", 300)
			returning.Held = append(append([]string(nil), tokens...), more...)
			returning.Cursor = second.CursorAt(int64(len(returning.Held)))
			third := openReader(a, returning)
			rest, end := readTokens(third, allTokens)
			third.Close()
			So(end.Err, ShouldBeNil)
			So(standin.CheckAnswer(testPrompt, append(returning.Held, rest...), 300), ShouldBeNil)
		})
	})
}
