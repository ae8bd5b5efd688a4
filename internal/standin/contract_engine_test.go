package standin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/internal/standin"
	"github.com/vanillaroad/vanillaroad/target"
)

// engineEnv is the environment variable with the URL of an engine to test instead of
// the stand-in. The engine must serve model "writer" version "1" with a batch size of
// one.
const engineEnv = "VANILLAROAD_TEST_ENGINE"

func newEngine(t *testing.T, configure func(*standin.EngineSettings)) (*target.Client, string) {
	s := standin.DefaultEngineSettings()
	s.Slots, s.TokenInterval, s.KeepAlive, s.LoadLag = 1, time.Millisecond, 5*time.Millisecond, 0
	if configure != nil {
		configure(&s)
	}
	base := baseURL(t, engineEnv, standin.NewEngine(s).Handler())
	c := target.NewClient(host(base))
	t.Cleanup(c.Close)
	return c, base
}

// unlimitedTokens is larger than the number of tokens that any test reads.
const unlimitedTokens = 1 << 30

func request(name string, tokens int64) target.GenerateRequest {
	return target.GenerateRequest{
		Stream: target.StreamID{Request: name, Attempt: 1}, Model: "writer", Version: "1",
		Prompt: "prompt of " + name, Seed: 1, MaxTokens: tokens, Priority: target.Normal, Workspace: "w",
	}
}

func startStream(c *target.Client, r target.GenerateRequest) target.Stream {
	s, err := c.Generate(context.Background(), r)
	So(err, ShouldBeNil)
	return s
}

// nextEvent returns the next event of a kind and skips others.
func nextEvent(s target.Stream, kind target.EventKind) target.StreamEvent {
	for {
		e, err := s.Next()
		So(err, ShouldBeNil)
		if e.Kind == kind {
			return e
		}
	}
}

// readTokens reads a stream to its end and returns its tokens by position.
func readTokens(s target.Stream) (map[int64]string, error) {
	tokens := make(map[int64]string)
	for {
		e, err := s.Next()
		switch {
		case err != nil:
			return tokens, err
		case e.Kind == target.TokenEvent:
			tokens[e.Position] = e.Text
		case e.Kind == target.DoneEvent:
			return tokens, nil
		}
	}
}

// tokensInOrder returns the tokens at the positions from, from+1, ... to-1. tokens must
// hold exactly these positions.
func tokensInOrder(from, to int64, tokens map[int64]string) []string {
	var out []string
	for p := from; p < to; p++ {
		text, ok := tokens[p]
		So(ok, ShouldBeTrue)
		out = append(out, text)
	}
	So(tokens, ShouldHaveLength, to-from)
	return out
}

func TestEngineStream(t *testing.T) {
	ctx := context.Background()
	Convey("an engine", t, func() {
		c, _ := newEngine(t, nil)
		r := request("a", 5)
		s := startStream(c, r)
		tokens, err := readTokens(s)
		So(err, ShouldBeNil)
		first := tokensInOrder(0, 5, tokens)

		Convey("generates one complete answer with positions from 0", func() {
			So(standin.CheckAnswer(r.Prompt, first, 5), ShouldBeNil)
		})
		Convey("continues after a forced prefix", func() {
			f := r
			f.Stream.Attempt, f.Forced, f.MaxTokens = 2, first[:3], 7
			tokens, err := readTokens(startStream(c, f))
			So(err, ShouldBeNil)
			answer := append(append([]string{}, first[:3]...), tokensInOrder(3, 7, tokens)...)
			So(standin.CheckAnswer(r.Prompt, answer, 7), ShouldBeNil)
		})
		Convey("lets callers attach to a finished attempt at any position", func() {
			s, err := c.Attach(ctx, r.Stream, 2)
			So(err, ShouldBeNil)
			tokens, err := readTokens(s)
			So(err, ShouldBeNil)
			So(tokensInOrder(2, 5, tokens), ShouldResemble, first[2:])
		})
		Convey("runs an attempt once, even if it is requested again", func() {
			tokens, err := readTokens(startStream(c, r))
			So(err, ShouldBeNil)
			So(tokensInOrder(0, 5, tokens), ShouldResemble, first)
		})
		Convey("returns an error for attempts that never ran", func() {
			_, err := c.Attach(ctx, target.StreamID{Request: "a", Attempt: 9}, 0)
			So(errors.Is(err, target.ErrNoStream), ShouldBeTrue)
			So(errors.Is(c.Cancel(ctx, target.StreamID{Request: "b", Attempt: 1}), target.ErrNoStream), ShouldBeTrue)
		})
		Convey("does not return tokens of the forced prefix", func() {
			f := r
			f.Stream.Attempt, f.Forced = 3, first[:3]
			_, err := readTokens(startStream(c, f))
			So(err, ShouldBeNil)
			_, err = c.Attach(ctx, f.Stream, 1)
			So(errors.Is(err, target.ErrNoStream), ShouldBeTrue)
		})
		Convey("refuses a model version that it does not serve", func() {
			f := request("v", 1)
			f.Version = "2"
			_, err := c.Generate(ctx, f)
			So(errors.Is(err, target.ErrRefused), ShouldBeTrue)
		})
	})
}

func TestEngineRunningStream(t *testing.T) {
	ctx := context.Background()
	Convey("a running attempt", t, func() {
		c, base := newEngine(t, nil)
		r := request("a", unlimitedTokens)
		s := startStream(c, r)
		firstToken := nextEvent(s, target.TokenEvent)
		Reset(func() { _ = c.Cancel(ctx, r.Stream) })

		Convey("continues after its caller has disconnected, and callers can attach to it", func() {
			So(s.Close(), ShouldBeNil)
			reattached, err := c.Attach(ctx, r.Stream, 0)
			So(err, ShouldBeNil)
			So(nextEvent(reattached, target.TokenEvent), ShouldResemble, firstToken)
		})
		Convey("ends without a done event when it is canceled", func() {
			So(c.Cancel(ctx, r.Stream), ShouldBeNil)
			_, err := readTokens(s)
			So(errors.Is(err, target.ErrLost), ShouldBeTrue)
			_, err = c.Attach(ctx, r.Stream, 0)
			So(errors.Is(err, target.ErrNoStream), ShouldBeTrue)
			eventually(func() bool {
				l, err := c.Load(ctx)
				return err == nil && l.Running == 0
			})
		})
		Convey("delays queued attempts, which get keep-alives meanwhile", func() {
			q := request("q", 1)
			waiting := startStream(c, q)
			e, err := waiting.Next()
			So(err, ShouldBeNil)
			So(e, ShouldResemble, target.StreamEvent{Kind: target.KeepAliveEvent})
		})
		Convey("can become silent on its connection while new connections work", func() {
			setFaults(t, base, `{"silent_streams":true}`)
			decoded := decodeTokens(t, base)
			lastPosition := make(chan int64)
			go func() { // read the silent connection until it is closed
				last := int64(-1)
				for {
					e, err := s.Next()
					if err != nil {
						lastPosition <- last
						return
					}
					last = max(last, e.Position)
				}
			}()
			attached, err := c.Attach(ctx, r.Stream, decoded+100)
			So(err, ShouldBeNil)
			So(nextEvent(attached, target.TokenEvent).Position, ShouldEqual, decoded+100)
			So(s.Close(), ShouldBeNil)
			So(<-lastPosition, ShouldBeLessThan, decoded+100)
		})
	})
}

func decodeTokens(t *testing.T, base string) int64 {
	_, body := send(t, http.MethodGet, base+"/work", "")
	var w standin.WorkCounts
	if err := json.Unmarshal([]byte(body), &w); err != nil {
		t.Fatal(err)
	}
	return w.DecodeTokens
}

func TestEnginePriority(t *testing.T) {
	ctx := context.Background()
	Convey("waiting attempts start in order of priority, then of arrival", t, func() {
		c, _ := newEngine(t, nil)
		active := request("busy", unlimitedTokens)
		nextEvent(startStream(c, active), target.TokenEvent)
		started := make(chan string)
		enqueue := func(name string, p target.Priority, position int) {
			r := request(name, unlimitedTokens)
			r.Priority = p
			s := startStream(c, r)
			go func() {
				for {
					e, err := s.Next()
					if err != nil || e.Kind == target.TokenEvent {
						started <- name
						return
					}
				}
			}()
			eventually(func() bool {
				l, err := c.Load(ctx)
				return err == nil && l.Queued == position
			})
		}
		enqueue("batch", target.Batch, 1)
		enqueue("normal-1", target.Normal, 2)
		enqueue("normal-2", target.Normal, 3)
		enqueue("urgent", target.Urgent, 4)
		running := "busy"
		for _, want := range []string{"urgent", "normal-1", "normal-2", "batch"} {
			So(c.Cancel(ctx, request(running, 0).Stream), ShouldBeNil)
			running = <-started
			So(running, ShouldEqual, want)
		}
		So(c.Cancel(ctx, request(running, 0).Stream), ShouldBeNil)
	})
}

func TestEngineLoadReport(t *testing.T) {
	ctx := context.Background()
	Convey("a load report can be old; a probe returns the current state", t, func() {
		c, base := newEngine(t, func(s *standin.EngineSettings) { s.LoadLag = time.Hour })
		idle, err := c.Load(ctx)
		So(err, ShouldBeNil)
		r := request("a", unlimitedTokens)
		nextEvent(startStream(c, r), target.TokenEvent)
		lagged, err := c.Load(ctx)
		So(err, ShouldBeNil)
		So(lagged.Running, ShouldEqual, idle.Running)
		So(lagged.AgeMillis, ShouldBeGreaterThanOrEqualTo, 0)
		var now target.Load
		_, body := send(t, http.MethodGet, base+"/health", "")
		So(json.Unmarshal([]byte(body), &now), ShouldBeNil)
		So(now.Running, ShouldEqual, 1)
		So(now.MemoryTokens, ShouldBeGreaterThan, 0)
		incarnation, err := c.Probe(ctx)
		So(err, ShouldBeNil)
		So(incarnation, ShouldEqual, now.Incarnation)
		setFaults(t, base, `{"leaving":true}`)
		_, body = send(t, http.MethodGet, base+"/health", "")
		So(json.Unmarshal([]byte(body), &now), ShouldBeNil)
		So(now.Leaving, ShouldBeTrue)
		So(c.Cancel(ctx, r.Stream), ShouldBeNil)
	})
}

func TestEngineCacheEvents(t *testing.T) {
	ctx := context.Background()
	Convey("cache events", t, func() {
		c, base := newEngine(t, func(s *standin.EngineSettings) { s.CacheBlocks = 4 })
		run := func(name string, blocks int) target.GenerateRequest {
			r := request(name, 1)
			for len(r.Prompt) < blocks*target.BlockChars {
				r.Prompt += fmt.Sprintf(" %s %d", name, len(r.Prompt))
			}
			r.Prompt = r.Prompt[:blocks*target.BlockChars]
			_, err := readTokens(startStream(c, r))
			So(err, ShouldBeNil)
			return r
		}
		Convey("report each block that was added or dropped, in sequence", func() {
			r := run("a", 4)
			run("b", 1)
			events, err := c.CacheEvents(ctx, 0)
			So(err, ShouldBeNil)
			hashes := target.BlockHashes(r.Model, r.Version, r.Prompt, 10)
			So(hashes, ShouldHaveLength, 4)
			for i, h := range hashes {
				So(events[i], ShouldResemble, target.CacheEvent{Sequence: int64(i) + 1, Block: h})
			}
			So(events[5], ShouldResemble, target.CacheEvent{Sequence: 6, Block: hashes[0], Dropped: true})
			newer, err := c.CacheEvents(ctx, 4)
			So(err, ShouldBeNil)
			So(newer, ShouldResemble, events[4:])
		})
		Convey("can be delayed", func() {
			setFaults(t, base, `{"cache_lag_ms":3600000}`)
			run("a", 3)
			events, err := c.CacheEvents(ctx, 0)
			So(err, ShouldBeNil)
			So(events, ShouldBeEmpty)
			setFaults(t, base, `{}`)
			events, err = c.CacheEvents(ctx, 0)
			So(err, ShouldBeNil)
			So(events, ShouldHaveLength, 3)
		})
		Convey("can be lost, which shows as a gap in the sequence", func() {
			setFaults(t, base, `{"cache_gap_every":2}`)
			run("a", 4)
			events, err := c.CacheEvents(ctx, 0)
			So(err, ShouldBeNil)
			So(events, ShouldHaveLength, 2)
			So([]int64{events[0].Sequence, events[1].Sequence}, ShouldResemble, []int64{1, 3})
		})
	})
}

func TestEngineOrders(t *testing.T) {
	ctx := context.Background()
	for _, checks := range []bool{true, false} {
		Convey(fmt.Sprintf("an engine that checks fencing numbers: %v", checks), t, func() {
			c, _ := newEngine(t, func(s *standin.EngineSettings) { s.ChecksFencing = checks })
			sendOrder := func(number int64, version string) error {
				return c.Order(ctx, target.Order{FencingNumber: number, Models: map[string]string{"writer": version}})
			}
			waitForVersion := func(version string) {
				eventually(func() bool {
					l, err := c.Load(ctx)
					return err == nil && l.Models["writer"] == version
				})
			}
			So(sendOrder(5, "2"), ShouldBeNil)
			waitForVersion("2")
			l, err := c.Load(ctx)
			So(err, ShouldBeNil)
			So(l.FencingNumber, ShouldEqual, 5)
			So(sendOrder(5, "2"), ShouldBeNil)
			err = sendOrder(4, "1")
			if checks {
				So(errors.Is(err, target.ErrFenced), ShouldBeTrue)
				waitForVersion("2")
			} else {
				So(err, ShouldBeNil)
				waitForVersion("1")
			}
			So(sendOrder(6, "3"), ShouldBeNil)
			waitForVersion("3")
			_, err = c.Generate(ctx, request("old", 1))
			So(errors.Is(err, target.ErrRefused), ShouldBeTrue)
		})
	}
}
