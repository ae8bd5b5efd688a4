package load

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/vanillaroad/vanillaroad/client"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/standin"
)

func TestPlan(t *testing.T) {
	Convey("equal shapes have equal plans", t, func() {
		s := DefaultShape()
		So(Plan(s, "a"), ShouldResemble, Plan(s, "a"))
		s.Seed++
		So(Plan(s, "a"), ShouldNotResemble, Plan(DefaultShape(), "a"))
	})
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultShape()
		s.Seed = rapid.Uint64().Draw(t, "seed")
		last := time.Duration(0)
		for _, req := range Plan(s, "p") {
			if req.Offset < last || req.Offset >= s.Duration {
				t.Fatalf("request %s arrives at %s, want a time from %s (the previous arrival) to the end of the load", req.ID, req.Offset, last)
			}
			if req.Kind == Generation && (req.MaxTokens < minTokens || req.MaxTokens > s.LongMax) {
				t.Fatalf("request %s has %d tokens, want a number from minTokens to LongMax", req.ID, req.MaxTokens)
			}
			last = req.Offset
		}
	})
}

func TestJudge(t *testing.T) {
	const prompt = "p"
	complete := answerOf(t, prompt, 4)
	other := answerOf(t, prompt, 4)
	refused := failure.New(failure.Overloaded, failure.NotRun, "admit", "", "full")
	cases := []struct {
		name   string
		tokens []string
		err    error
		want   Generations
	}{
		{"complete", complete, nil, Generations{Complete: 1}},
		{"a token is missing at the end", complete[:3], nil, Generations{Wrong: 1}},
		{"a token is missing in the middle", append(append([]string{}, complete[:1]...), complete[2:]...), nil, Generations{Wrong: 1}},
		{"a token is repeated", append(append([]string{}, complete[:2]...), complete[1:3]...), nil, Generations{Wrong: 1}},
		{"two generations are mixed", append(append([]string{}, complete[:2]...), other[2:]...), nil, Generations{Wrong: 1}},
		{"another request's answer", answerOf(t, "q", 4), nil, Generations{Wrong: 1}},
		{"truncated with a typed error", complete[:2], failure.New(failure.TargetLost, failure.Ran, "resume", "", "lost"), Generations{Incomplete: 1}},
		{"mixed answer with a typed error", append(append([]string{}, complete[:1]...), other[1]), refused, Generations{Wrong: 1}},
		{"refused", nil, refused, Generations{Refused: 1}},
		{"an untyped error", complete[:2], errors.New("deadline"), Generations{Failed: 1}},
		{"a lost stream", complete[:2], failure.New(failure.UnknownOutcome, failure.Unknown, "read", "", "lost"), Generations{Failed: 1}},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			m := newMeter(time.Second)
			m.recordGeneration(PlannedRequest{Prompt: prompt, MaxTokens: 4}, time.Time{}, nil, client.Answer{Tokens: c.tokens}, c.err)
			got := m.generations
			got.Faults = nil
			So(got, ShouldResemble, c.want)
		})
	}
}

// answerOf returns an answer that an engine stand-in generated.
func answerOf(t *testing.T, prompt string, length int64) []string {
	site := newTargets(t)
	c := newDirectCaller(site)
	defer c.close()
	a, err := c.generate(context.Background(), PlannedRequest{ID: "a", Prompt: prompt, MaxTokens: length}, func(time.Time) {})
	if err != nil {
		t.Fatal(err)
	}
	return a.Tokens
}

// newTargets starts two engines with a short token interval and a booking service.
func newTargets(t *testing.T) Site {
	s := standin.DefaultEngineSettings()
	s.TokenInterval = time.Millisecond
	serve := func(h http.Handler) string {
		server := httptest.NewServer(h)
		t.Cleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}
	return Site{
		Engines:  []string{serve(standin.NewEngine(s).Handler()), serve(standin.NewEngine(s).Handler())},
		Bookings: []string{serve(standin.NewBooking(0).Handler())}, Model: "writer", ModelVersion: "1",
	}
}

func TestCompare(t *testing.T) {
	cases := []struct {
		name     string
		reported failure.Outcome
		runs     int
		want     LedgerCheck
	}{
		{"ran once", failure.Ran, 1, LedgerCheck{Read: true}},
		{"ran twice", failure.Ran, 2, LedgerCheck{Read: true, Doubled: 1}},
		{"reported as ran, did not run", failure.Ran, 0, LedgerCheck{Read: true, FalseRan: 1}},
		{"did not run", failure.NotRun, 0, LedgerCheck{Read: true}},
		{"reported as not_run, ran", failure.NotRun, 1, LedgerCheck{Read: true, FalseNotRun: 1}},
		{"reported as not_run, ran twice", failure.NotRun, 2, LedgerCheck{Read: true, Doubled: 1}},
		{"unknown, did not run", failure.Unknown, 0, LedgerCheck{Read: true}},
		{"unknown, ran", failure.Unknown, 1, LedgerCheck{Read: true, UnknownRan: 1}},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			So(compareLedger(map[string]failure.Outcome{"k": c.reported}, map[string]int{"k": c.runs}), ShouldResemble, c.want)
		})
	}
	Convey("a ledger that could not be read is a fault", t, func() {
		p := Phase{Confirmations: Confirmations{Ran: 1}, Ledger: compareLedger(nil, nil)}
		So(p.Faults(), ShouldHaveLength, 1)
	})
}

func TestCounters(t *testing.T) {
	Convey("the increase includes the counts of all incarnations of a process", t, func() {
		c := newCounters()
		for _, v := range []int64{5, 9, 2, 4, 1} {
			c.observe(map[string]int64{"n": v})
		}
		So(c.increase()["n"], ShouldEqual, (9-5)+4+1)
	})
}

func TestRunDirect(t *testing.T) {
	site := newTargets(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	Convey("every answer is complete and every confirmation ran once", t, func() {
		s := DefaultShape()
		s.Duration, s.Rate, s.LongMin, s.LongMax = 200*time.Millisecond, 100, 20, 40
		p := RunDirect(context.Background(), s, site, Options{Deadline: time.Minute, InterruptionGap: time.Second})
		So(p.Faults(), ShouldBeEmpty)
		So(p.NotComplete(), ShouldEqual, 0)
		So(p.Generations.Complete+p.Confirmations.Ran, ShouldEqual, p.Requests)
		So(p.Work.DecodeTokens, ShouldEqual, p.Tokens)
	})
}
