package generation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/target"
)

// formatDecision formats a decision for the tables below.
func formatDecision(d Decision) string {
	switch d := d.(type) {
	case Route:
		s := fmt.Sprintf("route %d", d.Attempt)
		if d.Target != "" {
			s += " to " + d.Target
		}
		if len(d.Exclude) > 0 {
			s += " not " + strings.Join(d.Exclude, ",")
		}
		if d.Version != "" {
			s += " version " + d.Version
		}
		return s
	case Open:
		return fmt.Sprintf("open %d/%d forced %d", d.Attempt, d.Connection, len(d.Forced))
	case Attach:
		return fmt.Sprintf("attach %d/%d from %d", d.Attempt, d.Connection, d.From)
	case Probe:
		return fmt.Sprintf("probe %d/%d", d.Attempt, d.Connection)
	case End:
		return fmt.Sprintf("end %d %s", d.Attempt, d.Cause)
	case Emit:
		if d.Resumed > 0 {
			return fmt.Sprintf("emit %d after %s", d.Position, d.Resumed)
		}
		return fmt.Sprintf("emit %d", d.Position)
	case Drop:
		return fmt.Sprintf("drop %d", d.Position)
	case Finish:
		if d.Err != nil {
			return fmt.Sprintf("finish %d %s %s", d.Position, d.Err.Code, d.Err.Outcome)
		}
		return fmt.Sprintf("finish %d complete", d.Position)
	}
	return "?"
}

func formatDecisions(ds []Decision) string {
	var out []string
	for _, d := range ds {
		out = append(out, formatDecision(d))
	}
	return strings.Join(out, "; ")
}

func streamEvent(attempt, connection int64, kind target.EventKind, position int64) Input {
	return Received{attempt, connection, target.StreamEvent{Kind: kind, Position: position, Text: fmt.Sprint("t", position)}}
}

func token(attempt, connection, position int64) Input {
	return streamEvent(attempt, connection, target.TokenEvent, position)
}

func done(attempt, connection, position int64) Input {
	return streamEvent(attempt, connection, target.DoneEvent, position)
}

func keepAlive(attempt, connection int64) Input {
	return streamEvent(attempt, connection, target.KeepAliveEvent, 0)
}

func routedTo(attempt int64, name string) Input { return Routed{attempt, name, "1", 0} }

var noTarget = failure.New(failure.NoTarget, failure.NotRun, "route", "", "none")

// step is one input and the expected decisions.
type step struct {
	delay time.Duration // since the previous step
	in    Input
	want  string
}

const ms = time.Millisecond

// startedSteps are the first steps of an answer that has two tokens from target a.
var startedSteps = []step{
	{0, routedTo(1, "a"), "open 1/1 forced 0"},
	{20 * ms, token(1, 1, 0), "emit 0"},
	{20 * ms, token(1, 1, 1), "emit 1"},
}

// faultCase is a sequence of inputs with the decisions expected from the machine.
type faultCase struct {
	name           string
	objective      configuration.Objective
	held           int // number of tokens that the caller holds
	cursor         Cursor
	startDecisions string // expected from Machine.Start; empty for "route 1"
	started        bool   // startedSteps come before steps
	steps          []step
}

const (
	latency   = configuration.LatencyFirst
	resources = configuration.ResourcesFirst
)

var faultCases = []faultCase{
	{name: "no fault", steps: []step{
		{0, routedTo(1, "a"), "open 1/1 forced 0"},
		{20 * ms, keepAlive(1, 1), ""},
		{20 * ms, token(1, 1, 0), "emit 0"},
		{20 * ms, done(1, 1, 1), "end 1 completed; finish 1 complete"},
		{20 * ms, token(1, 1, 1), "drop 1"},
	}},
	{name: "target killed, resources first: the target is probed, then a new target gets the complete prefix", objective: resources, started: true, steps: []step{
		{5 * ms, Broken{1, 1, BreakLost}, "probe 1/2"},
		{1 * ms, Probed{1, 2, false, 0}, "end 1 died; route 2 not a version 1"},
		{1 * ms, Routed{2, "b", "1", 0}, "open 2/3 forced 2"},
		{1 * ms, token(1, 1, 2), "drop 2"},
		{9 * ms, token(2, 3, 2), "emit 2 after 17ms"},
		{9 * ms, done(2, 3, 3), "end 2 completed; finish 3 complete"},
	}},
	{name: "target killed, latency first: the probe fails at once, so no standby is requested", objective: latency, started: true, steps: []step{
		{5 * ms, Broken{1, 1, BreakLost}, "probe 1/2"},
		{1 * ms, Probed{1, 2, false, 0}, "end 1 died; route 2 not a version 1"},
		{1 * ms, Routed{2, "b", "1", 0}, "open 2/3 forced 2"},
		{9 * ms, token(2, 3, 2), "emit 2 after 16ms"},
	}},
	{name: "target's VM lost, latency first: a standby is requested while the probe hangs", objective: latency, started: true, steps: []step{
		{5 * ms, Broken{1, 1, BreakLost}, "probe 1/2"},
		{40 * ms, Tick{}, ""},
		{10 * ms, Tick{}, "route 2 not a version 1"},
		{1 * ms, Routed{2, "b", "1", 0}, "open 2/3 forced 2"},
		{949 * ms, Probed{1, 2, false, 0}, "end 1 died"},
		{9 * ms, token(2, 3, 2), "emit 2 after 1.014s"},
	}},
	{name: "target paused, latency first: the standby sends a token before the probe ends and is promoted", objective: latency, started: true, steps: []step{
		{400 * ms, Tick{}, "probe 1/2; route 2 not a version 1"},
		{1 * ms, Routed{2, "b", "1", 0}, "open 2/3 forced 2"},
		{50 * ms, token(2, 3, 2), "end 1 silent; emit 2 after 451ms"},
		{1 * ms, Probed{1, 2, true, 0}, ""},
		{1 * ms, token(1, 1, 2), "drop 2"},
		{1 * ms, token(2, 3, 3), "emit 3"},
	}},
	{name: "target paused and resumed while the standby starts: the first stream continues", objective: latency, started: true, steps: []step{
		{400 * ms, Tick{}, "probe 1/2; route 2 not a version 1"},
		{1 * ms, Routed{2, "b", "1", 0}, "open 2/3 forced 2"},
		{50 * ms, token(1, 1, 2), "end 2 superseded; emit 2"},
		{1 * ms, token(2, 3, 2), "drop 2"},
	}},
	{name: "target paused and resumed before the standby is granted: the late grant is released", objective: latency, started: true, steps: []step{
		{400 * ms, Tick{}, "probe 1/2; route 2 not a version 1"},
		{50 * ms, token(1, 1, 2), "emit 2"},
		{1 * ms, Routed{2, "b", "1", 0}, "end 2 superseded"},
	}},
	{name: "target paused, resources first: the answer moves once the probe times out", objective: resources, started: true, steps: []step{
		{400 * ms, Tick{}, "probe 1/2"},
		{900 * ms, Tick{}, ""},
		{200 * ms, Tick{}, "end 1 silent; route 2 not a version 1"},
	}},
	{name: "this daemon was paused: the silence during the pause does not count against the target", objective: latency, started: true, steps: []step{
		{5 * time.Second, Woken{}, ""},
		{1 * ms, Tick{}, ""},
		{1 * ms, token(1, 1, 2), "emit 2"},
		{400 * ms, Tick{}, "probe 1/2; route 2 not a version 1"},
		{5 * time.Second, Woken{}, ""},
		{1 * ms, token(1, 1, 3), "emit 3"},
	}},
	{name: "this daemon is constantly overloaded: it still detects a silent target", objective: resources, started: true, steps: []step{
		{900 * ms, Woken{}, ""},
		{0, Tick{}, ""},
		{900 * ms, Woken{}, ""},
		{0, Tick{}, "probe 1/2"},
	}},
	{name: "silent connection: the running stream is read on a new connection", objective: resources, started: true, steps: []step{
		{400 * ms, Tick{}, "probe 1/2"},
		{1 * ms, Probed{1, 2, true, 7}, "attach 1/3 from 2"},
		{1 * ms, token(1, 1, 2), "drop 2"},
		{1 * ms, token(1, 3, 2), "emit 2 after 403ms"},
	}},
	{name: "silent connection, latency first: a token of the attached stream ends the standby", objective: latency, started: true, steps: []step{
		{400 * ms, Tick{}, "probe 1/2; route 2 not a version 1"},
		{1 * ms, Routed{2, "b", "1", 0}, "open 2/3 forced 2"},
		{1 * ms, Probed{1, 2, true, 7}, "attach 1/4 from 2"},
		{1 * ms, token(1, 4, 2), "end 2 superseded; emit 2 after 403ms"},
	}},
	{name: "the tolerated silence depends on the gaps of the stream", objective: resources, steps: []step{
		{0, routedTo(1, "a"), "open 1/1 forced 0"},
		{200 * ms, token(1, 1, 0), "emit 0"},
		{200 * ms, token(1, 1, 1), "emit 1"},
		{700 * ms, Tick{}, ""},
		{150 * ms, Tick{}, "probe 1/2"},
	}},
	{name: "the keep-alives of a queued request are tolerated until the stall limit", objective: resources, steps: []step{
		{0, routedTo(1, "a"), "open 1/1 forced 0"},
		{900 * ms, keepAlive(1, 1), ""},
		{59 * time.Second, keepAlive(1, 1), ""},
		{200 * ms, Tick{}, "end 1 stalled; route 2 not a version 1"},
	}},
	{name: "target restarted at the same address: the probe returns another incarnation", objective: resources, steps: []step{
		{0, Routed{1, "a", "1", 5}, "open 1/1 forced 0"},
		{1 * ms, token(1, 1, 0), "emit 0"},
		{1 * ms, Broken{1, 1, BreakLost}, "probe 1/2"},
		{1 * ms, Probed{1, 2, true, 6}, "end 1 died; route 2 not a version 1"},
	}},
	{name: "target restarted, incarnation unknown: the attach finds no stream", objective: resources, started: true, steps: []step{
		{1 * ms, Broken{1, 1, BreakLost}, "probe 1/2"},
		{1 * ms, Probed{1, 2, true, 6}, "attach 1/3 from 2"},
		{1 * ms, NoStream{1, 3}, "end 1 stream_lost; route 2 not a version 1"},
	}},
	{name: "connection failures after an attach: each is probed, a bounded number of times", objective: resources, started: true, steps: []step{
		{1 * ms, Broken{1, 1, BreakLost}, "probe 1/2"},
		{1 * ms, Probed{1, 2, true, 6}, "attach 1/3 from 2"},
		{1 * ms, Broken{1, 3, BreakLost}, "probe 1/4"},
		{1 * ms, Probed{1, 4, true, 6}, "attach 1/5 from 2"},
		{1 * ms, Broken{1, 5, BreakNotSent}, "probe 1/6"},
		{1 * ms, Probed{1, 6, true, 6}, "attach 1/7 from 2"},
		{1 * ms, Broken{1, 7, BreakLost}, "probe 1/8"},
		{1 * ms, Probed{1, 8, true, 6}, "end 1 stream_lost; route 2 not a version 1"},
	}},
	{name: "second target crashes during the resume", objective: resources, started: true, steps: []step{
		{1 * ms, Broken{1, 1, BreakLost}, "probe 1/2"},
		{1 * ms, Probed{1, 2, false, 0}, "end 1 died; route 2 not a version 1"},
		{1 * ms, Routed{2, "b", "1", 0}, "open 2/3 forced 2"},
		{1 * ms, keepAlive(2, 3), ""},
		{1 * ms, Broken{2, 3, BreakLost}, "probe 2/4"},
		{1 * ms, Probed{2, 4, false, 0}, "end 2 died; route 3 not a,b version 1"},
		{1 * ms, Routed{3, "c", "1", 0}, "open 3/5 forced 2"},
		{1 * ms, token(3, 5, 2), "emit 2 after 8ms"},
	}},
	{name: "current target and standby fail together, latency first", objective: latency, started: true, steps: []step{
		{1 * ms, Broken{1, 1, BreakLost}, "probe 1/2"},
		{50 * ms, Tick{}, "route 2 not a version 1"},
		{1 * ms, Routed{2, "b", "1", 0}, "open 2/3 forced 2"},
		{1 * ms, Broken{2, 3, BreakLost}, "end 2 stream_lost"},
		{1 * ms, Probed{1, 2, false, 0}, "end 1 died; route 3 not a,b version 1"},
	}},
	{name: "target has no capacity: this is not a loss, and another target is requested", steps: []step{
		{0, routedTo(1, "a"), "open 1/1 forced 0"},
		{1 * ms, Broken{1, 1, BreakRefused}, "end 1 refused; route 2 not a version 1"},
		{1 * ms, Routed{2, "b", "1", 0}, "open 2/2 forced 0"},
		{1 * ms, Broken{2, 2, BreakNotSent}, "end 2 refused; route 3 not a,b version 1"},
		{1 * ms, RouteFailed{3, noTarget}, "finish 0 no_target not_run"},
	}},
	{name: "first Route refused: the answer ends with the error of the router", steps: []step{
		{0, RouteFailed{1, noTarget}, "finish 0 no_target not_run"},
	}},
	{name: "no target with the version: the Route is retried until the resume deadline, then the answer ends with an error", objective: resources, started: true, steps: []step{
		{1 * ms, Broken{1, 1, BreakLost}, "probe 1/2"},
		{1 * ms, Probed{1, 2, false, 0}, "end 1 died; route 2 not a version 1"},
		{1 * ms, RouteFailed{2, noTarget}, ""},
		{50 * ms, Tick{}, ""},
		{50 * ms, Tick{}, "route 2 version 1"},
		{1 * ms, Routed{2, "b", "2", 0}, "end 2 refused; route 3 not b version 1"},
		{5 * time.Second, RouteFailed{3, noTarget}, "finish 2 target_lost ran"},
		{1 * ms, Routed{3, "c", "1", 0}, "end 3 superseded"},
	}},
	{name: "a Route has no result: the answer ends at the resume deadline", objective: resources, started: true, steps: []step{
		{1 * ms, Broken{1, 1, BreakLost}, "probe 1/2"},
		{1 * ms, Probed{1, 2, false, 0}, "end 1 died; route 2 not a version 1"},
		{5 * time.Second, Tick{}, "finish 2 target_lost ran"},
	}},
	{name: "a request in quarantine ends at once", objective: resources, started: true, steps: []step{
		{1 * ms, Broken{1, 1, BreakLost}, "probe 1/2"},
		{1 * ms, Probed{1, 2, false, 0}, "end 1 died; route 2 not a version 1"},
		{1 * ms, RouteFailed{2, failure.New(failure.Quarantined, failure.NotRun, "quarantine", "a", "")}, "finish 2 quarantined ran"},
	}},
	{name: "late and misdirected inputs are ignored", objective: resources, started: true, steps: []step{
		{1 * ms, token(1, 1, 1), "drop 1"},
		{1 * ms, token(9, 1, 2), "drop 2"},
		{1 * ms, done(9, 1, 2), ""},
		{1 * ms, Broken{9, 1, BreakLost}, ""},
		{1 * ms, Broken{1, 9, BreakLost}, ""},
		{1 * ms, Probed{1, 1, false, 0}, ""},
		{1 * ms, NoStream{1, 9}, ""},
		{1 * ms, Routed{1, "z", "1", 0}, "end 1 superseded"},
	}},
	{name: "positions skipped by the connection are fetched on a new one", objective: resources, started: true, steps: []step{
		{1 * ms, token(1, 1, 3), "drop 3; attach 1/2 from 2"},
		{1 * ms, token(1, 2, 2), "emit 2 after 1ms"},
		{1 * ms, done(1, 2, 5), "attach 1/3 from 3"},
	}},
	{name: "a done event before the end of the accepted tokens belongs to another answer", objective: resources, started: true, steps: []step{
		{1 * ms, done(1, 1, 1), "end 1 stream_lost; route 2 not a version 1"},
	}},
	{name: "the target sends an error event", objective: resources, started: true, steps: []step{
		{1 * ms, streamEvent(1, 1, target.ErrorEvent, 0), "end 1 stream_lost; route 2 not a version 1"},
	}},
	{name: "a cancellation ends both attempts", objective: latency, started: true, steps: []step{
		{400 * ms, Tick{}, "probe 1/2; route 2 not a version 1"},
		{1 * ms, Routed{2, "b", "1", 0}, "open 2/3 forced 2"},
		{1 * ms, Cancel{failure.New(failure.Canceled, failure.Ran, "cancel", "", "")}, "end 2 superseded; end 1 canceled; finish 2 canceled ran"},
	}},
	{name: "another daemon continues the answer: the stream is not canceled", started: true, steps: []step{
		{1 * ms, TakenOver{"d"}, "end 1 taken_over; finish 2 canceled ran"},
	}},
	{name: "caller from another daemon: the running stream is joined", held: 2, cursor: Cursor{Held: 2, Target: "a", Version: "1", Attempt: 9},
		startDecisions: "route 9 to a version 1", steps: []step{
			{0, Routed{9, "a", "1", 0}, "attach 9/1 from 2"},
			{1 * ms, token(9, 1, 2), "emit 2 after 1ms"},
		}},
	{name: "caller from another daemon: its stream no longer exists", held: 2, cursor: Cursor{Held: 2, Target: "a", Version: "1", Attempt: 9},
		startDecisions: "route 9 to a version 1", steps: []step{
			{0, Routed{9, "a", "1", 0}, "attach 9/1 from 2"},
			{1 * ms, NoStream{9, 1}, "end 9 stream_lost; route 1 not a version 1"},
			{1 * ms, Routed{1, "b", "1", 0}, "open 1/2 forced 2"},
		}},
	{name: "caller from another daemon: that daemon and the target have failed", objective: resources, held: 2, cursor: Cursor{Held: 2, Target: "a", Version: "1", Attempt: 9},
		startDecisions: "route 9 to a version 1", steps: []step{
			{0, Routed{9, "a", "1", 0}, "attach 9/1 from 2"},
			{1 * ms, Broken{9, 1, BreakNotSent}, "probe 9/2"},
			{1 * ms, Probed{9, 2, false, 0}, "end 9 died; route 1 not a version 1"},
		}},
	{name: "caller from another daemon: the target of its stream is no longer configured", held: 2, cursor: Cursor{Held: 2, Target: "a", Version: "1", Attempt: 9},
		startDecisions: "route 9 to a version 1", steps: []step{
			{0, RouteFailed{9, noTarget}, "route 1 version 1"},
		}},
	{name: "caller already holds every token", held: 100, startDecisions: "finish 100 complete"},
}

func TestMachineFaults(t *testing.T) {
	for _, c := range faultCases {
		Convey(c.name, t, func() {
			held := make([]string, c.held)
			m := NewMachine(Setup{Settings: DefaultSettings(), Objective: c.objective, MaxTokens: 100, Held: held, Cursor: c.cursor, FirstAttempt: 1})
			now := time.Unix(1000, 0)
			want := c.startDecisions
			if want == "" {
				want = "route 1"
			}
			So(formatDecisions(m.Start(now)), ShouldEqual, want)
			steps := c.steps
			if c.started {
				steps = append(append([]step(nil), startedSteps...), steps...)
			}
			for _, s := range steps {
				now = now.Add(s.delay)
				So(formatDecisions(m.Step(now, s.in)), ShouldEqual, s.want)
			}
		})
	}
}
