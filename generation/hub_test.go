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

const all = int64(1 << 40)

// longTokens makes an answer so long that its engine still runs it when the test
// kills it, also on a busy machine.
const longTokens = 2000

func TestHub(t *testing.T) {
	Convey("Given a daemon and three engines", t, func() {
		s := newSite(3)
		h := s.hub("daemon-a")
		Reset(func() {
			h.Close()
			s.close()
			So(s.permitsTaken(), ShouldEqual, 0)
		})
		whole := func(tokens []string, n int64) { So(standin.CheckAnswer(testPrompt, tokens, n), ShouldBeNil) }

		Convey("an answer is whole, and its permit is given back", func() {
			r := ask(h, wish("1", 20))
			defer r.Close()
			tokens, end := read(r, all)
			So(end.Err, ShouldBeNil)
			whole(tokens, 20)
			h.Close()
			So(s.done, ShouldEqual, 1)
		})
		Convey("an answer goes on when its engine is killed, and the trace replays", func() {
			r := ask(h, wish("1", longTokens))
			defer r.Close()
			tokens, _ := read(r, 10)
			s.engines[0].kill()
			r.Position = int64(len(tokens))
			more, end := read(r, all)
			So(end.Err, ShouldBeNil)
			whole(append(tokens, more...), longTokens)
			h.Close()
			So(s.lost, ShouldResemble, []string{"engine-0"})
			steps, err := trace.Replay(bytes.NewReader(s.traces["daemon-a"].Bytes()), map[string]trace.Maker{TraceSlice: Maker})
			So(err, ShouldBeNil)
			So(steps, ShouldBeGreaterThan, 100)
		})
		Convey("an answer goes on from the engine's own stream when its connection is silent", func() {
			r := ask(h, wish("1", 400))
			defer r.Close()
			tokens, _ := read(r, 10)
			s.engines[0].engine.SetFaults(standin.EngineFaults{SilentStreams: true})
			r.Position = int64(len(tokens))
			more, end := read(r, all)
			So(end.Err, ShouldBeNil)
			whole(append(tokens, more...), 400)
			So(s.engines[0].engine.Work().Streams, ShouldEqual, 1)
		})
		Convey("a caller that comes back joins the same run, from where it wants", func() {
			first := ask(h, wish("1", 60))
			tokens, _ := read(first, 10)
			again := wish("1", 60)
			again.Held = tokens[:4]
			second := ask(h, again)
			rest, _ := read(second, all)
			whole(append(append([]string(nil), tokens[:4]...), rest...), 60)
			first.Close()
			second.Close()
			late := ask(h, again)
			rest, _ = read(late, all)
			late.Close()
			whole(append(append([]string(nil), tokens[:4]...), rest...), 60)
			byCursor := wish("1", 60)
			byCursor.Cursor = late.CursorAt(4)
			cursorOnly := ask(h, byCursor)
			rest, _ = read(cursorOnly, all)
			cursorOnly.Close()
			whole(append(append([]string(nil), tokens[:4]...), rest...), 60)
			So(s.engines[0].engine.Work().Streams, ShouldEqual, 1)
		})
		Convey("an id that belongs to another request is a conflict", func() {
			r := ask(h, wish("1", 5))
			defer r.Close()
			other := wish("1", 5)
			other.Prompt = "another"
			_, err := h.Answer(other)
			So(err.Code, ShouldEqual, failure.Conflict)
			read(r, all)
		})
		Convey("a caller that holds another beginning is never given this one's rest", func() {
			r := ask(h, wish("1", 40))
			defer r.Close()
			read(r, 5)
			other := wish("1", 40)
			other.Held = []string{"aaaaaaaa.start.x", "bbbbbbbb.aaaaaaaa.x"}
			second := ask(h, other)
			defer second.Close()
			rest, end := read(second, all)
			So(end.Err, ShouldBeNil)
			So(rest[0], ShouldContainSubstring, ".bbbbbbbb.")
		})
		Convey("a cursor without the tokens, of an answer that is not here, is refused", func() {
			r := wish("1", 40)
			r.Cursor = Cursor{Held: 7, Target: "engine-0", Attempt: 5}
			_, err := h.Answer(r)
			So(err.Code, ShouldEqual, failure.Conflict)
		})
		Convey("a cancel frees the engine", func() {
			r := ask(h, wish("1", 100000))
			defer r.Close()
			read(r, 5)
			So(h.Cancel("1"), ShouldBeTrue)
			_, end := read(r, all)
			So(end.Err.Code, ShouldEqual, failure.Canceled)
			h.Close()
			So(s.engines[0].engine.Work().Canceled, ShouldEqual, 1)
		})
		Convey("an answer that nobody reads is ended after the stated time, not before", func() {
			r := ask(h, wish("1", 100000))
			read(r, 5)
			h.Sweep(time.Now().Add(time.Hour))
			read(r, 10)
			r.Close()
			h.Sweep(time.Now())
			So(h.Active(), ShouldEqual, 1)
			h.Sweep(time.Now().Add(h.settings.Unwatched.Std() + time.Second))
			_, end := read(r, all)
			So(end.Err.Code, ShouldEqual, failure.Canceled)
			Convey("and a caller that comes back later goes on from what was kept", func() {
				h.Cancel("1")
				again := wish("1", 20)
				again.MaxTokens = 30
				late := ask(h, again)
				tokens, _ := read(late, all)
				late.Close()
				whole(tokens, int64(max(30, len(tokens))))
			})
		})
		Convey("final answers are bounded in number, bytes and time", func() {
			h.settings.MaxRetained = 3
			for i := range 6 {
				r := ask(h, wish(strconv.Itoa(i), 3))
				read(r, all)
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
			s.refuse = failure.New(failure.Quarantined, failure.NotRun, "quarantine", "", "")
			r := ask(h, wish("1", 5))
			defer r.Close()
			_, end := read(r, all)
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
		s := newSite(3)
		a, b := s.hub("daemon-a"), s.hub("daemon-b")
		Reset(func() {
			a.Close()
			b.Close()
			s.close()
			So(s.permitsTaken(), ShouldEqual, 0)
		})
		first := ask(a, wish("1", 300))
		tokens, _ := read(first, 10)
		tokens = append([]string(nil), tokens[:10]...)
		again := wish("1", 300)
		again.Held, again.Cursor = tokens, first.CursorAt(10)

		Convey("the second joins the running stream; the first lets go of it without canceling", func() {
			first.Close()
			second := ask(b, again)
			defer second.Close()
			rest, end := read(second, all)
			So(end.Err, ShouldBeNil)
			So(standin.CheckAnswer(testPrompt, append(tokens, rest...), 300), ShouldBeNil)
			a.Close()
			b.Close()
			work := s.engines[0].engine.Work()
			So(work.Streams, ShouldEqual, 1)
			So(work.Canceled, ShouldEqual, 0)
		})
		Convey("a first daemon that is still read does not stop for the notice", func() {
			So(a.HandleTakeOver(TakeOverNotice{Request: "1", By: "daemon-b"}).Kept, ShouldBeTrue)
			first.Position = 0
			rest, end := read(first, all)
			So(end.Err, ShouldBeNil)
			So(standin.CheckAnswer(testPrompt, rest, 300), ShouldBeNil)
			first.Close()
		})
		Convey("the same id without a cursor joins the running stream as a guest", func() {
			second := ask(b, wish("1", 300))
			got, _ := read(second, 20)
			second.Close()
			for b.runs["1"].keepers.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			b.Sweep(time.Now().Add(time.Hour))
			read(second, all)
			first.Position = 0
			rest, end := read(first, all)
			first.Close()
			So(end.Err, ShouldBeNil)
			So(standin.CheckAnswer(testPrompt, rest, 300), ShouldBeNil)
			So(got, ShouldResemble, rest[:len(got)])
			So(s.engines[0].engine.Work().Streams, ShouldEqual, 1)
			So(s.engines[0].engine.Work().Canceled, ShouldEqual, 0)
		})
		Convey("the same id without a cursor, and with the whole answer already there", func() {
			first.Position = 0
			rest, _ := read(first, all)
			first.Close()
			second := ask(b, wish("1", 300))
			got, end := read(second, all)
			second.Close()
			So(end.Err, ShouldBeNil)
			So(got, ShouldResemble, rest)
			So(s.engines[0].engine.Work().Streams, ShouldEqual, 1)
		})
		Convey("with the engine lost as well, the second goes on from the tokens held", func() {
			s.engines[0].kill()
			second := ask(b, again)
			rest, end := read(second, all)
			second.Close()
			first.Close()
			So(end.Err, ShouldBeNil)
			So(standin.CheckAnswer(testPrompt, append(tokens, rest...), 300), ShouldBeNil)
		})
		Convey("back at the first with nothing more, the stream is joined again, and the second lets go", func() {
			first.Close()
			second := ask(b, again)
			read(second, 40)
			second.Close()
			So(waitEnded(a), ShouldBeTrue)
			third := ask(a, again)
			rest, end := read(third, all)
			third.Close()
			So(end.Err, ShouldBeNil)
			So(standin.CheckAnswer(testPrompt, append(tokens, rest...), 300), ShouldBeNil)
			So(waitEnded(b), ShouldBeTrue)
			So(s.engines[0].engine.Work().Streams, ShouldEqual, 1)
			So(s.engines[0].engine.Work().Canceled, ShouldEqual, 0)
		})
		Convey("back at the first with more than it has, the caller's own answer goes on", func() {
			first.Close()
			second := ask(b, again)
			more, _ := read(second, 40)
			second.Close()
			back := wish("1", 300)
			back.Held = append(append([]string(nil), tokens...), more...)
			back.Cursor = second.CursorAt(int64(len(back.Held)))
			third := ask(a, back)
			rest, end := read(third, all)
			third.Close()
			So(end.Err, ShouldBeNil)
			So(standin.CheckAnswer(testPrompt, append(back.Held, rest...), 300), ShouldBeNil)
		})
	})
}
