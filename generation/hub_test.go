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

const allTokens = int64(1 << 40)

// longTokens makes an answer so long that its engine still runs it when the test
// kills it, also on a busy machine.
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

		Convey("an answer is whole, and its permit is given back", func() {
			r := openReader(h, newRequest("1", 20))
			defer r.Close()
			tokens, end := readTokens(r, allTokens)
			So(end.Err, ShouldBeNil)
			checkComplete(tokens, 20)
			h.Close()
			So(s.completed, ShouldEqual, 1)
		})
		Convey("an answer goes on when its engine is killed, and the trace replays", func() {
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
			steps, err := trace.Replay(bytes.NewReader(s.traces["daemon-a"].Bytes()), map[string]trace.Maker{TraceSlice: Maker})
			So(err, ShouldBeNil)
			So(steps, ShouldBeGreaterThan, 100)
		})
		Convey("an answer goes on from the engine's own stream when its connection is silent", func() {
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
		Convey("a caller that comes back joins the same run, from where it wants", func() {
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
		Convey("an id that belongs to another request is a conflict", func() {
			r := openReader(h, newRequest("1", 5))
			defer r.Close()
			other := newRequest("1", 5)
			other.Prompt = "another"
			_, err := h.Answer(other)
			So(err.Code, ShouldEqual, failure.Conflict)
			readTokens(r, allTokens)
		})
		Convey("a caller that holds another beginning is never given this one's rest", func() {
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
		Convey("a cursor without the tokens, of an answer that is not here, is refused", func() {
			r := newRequest("1", 40)
			r.Cursor = Cursor{Held: 7, Target: "engine-0", Attempt: 5}
			_, err := h.Answer(r)
			So(err.Code, ShouldEqual, failure.Conflict)
		})
		Convey("a cancel frees the engine", func() {
			r := openReader(h, newRequest("1", 100000))
			defer r.Close()
			readTokens(r, 5)
			So(h.Cancel("1"), ShouldBeTrue)
			_, end := readTokens(r, allTokens)
			So(end.Err.Code, ShouldEqual, failure.Canceled)
			h.Close()
			So(s.engines[0].engine.Work().Canceled, ShouldEqual, 1)
		})
		Convey("an answer that nobody reads is ended after the stated time, not before", func() {
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
			Convey("and a caller that comes back later goes on from what was kept", func() {
				h.Cancel("1")
				reconnect := newRequest("1", 20)
				reconnect.MaxTokens = 30
				reader := openReader(h, reconnect)
				tokens, _ := readTokens(reader, allTokens)
				reader.Close()
				checkComplete(tokens, int64(max(30, len(tokens))))
			})
		})
		Convey("final answers are bounded in number, bytes and time", func() {
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

// waitEnded waits until no run goes on.
func waitEnded(h *Hub) bool {
	for h.Active() > 0 {
		time.Sleep(time.Millisecond)
	}
	return true
}

func TestTwoDaemons(t *testing.T) {
	Convey("Given two daemons, and a caller that has part of an answer from the first", t, func() {
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

		Convey("the second joins the running stream; the first lets go of it without canceling", func() {
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
		Convey("a first daemon that is still read does not stop for the notice", func() {
			So(a.HandleTakeOver(TakeOverNotice{Request: "1", By: "daemon-b"}).StillRead, ShouldBeTrue)
			first.Position = 0
			rest, end := readTokens(first, allTokens)
			So(end.Err, ShouldBeNil)
			So(standin.CheckAnswer(testPrompt, rest, 300), ShouldBeNil)
			first.Close()
		})
		Convey("the same id without a cursor joins the running stream as a guest", func() {
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
		Convey("the same id without a cursor, and with the whole answer already there", func() {
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
		Convey("with the engine lost as well, the second goes on from the tokens held", func() {
			s.engines[0].kill()
			second := openReader(b, reconnect)
			rest, end := readTokens(second, allTokens)
			second.Close()
			first.Close()
			So(end.Err, ShouldBeNil)
			So(standin.CheckAnswer(testPrompt, append(tokens, rest...), 300), ShouldBeNil)
		})
		Convey("back at the first with nothing more, the stream is joined again, and the second lets go", func() {
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
		Convey("back at the first with more than it has, the caller's own answer goes on", func() {
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
