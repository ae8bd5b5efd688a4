package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"
)

// lateSend is how long after a SIGTERM a request may have been sent whose answer may be
// cut at the end of the grace period, while its engine works.
const lateSend = 3 * time.Second

// maxOverlap is how long an engine may still work on a request that another one continues.
const maxOverlap = 400 * time.Millisecond

// keptCutLimit is the number of requests from kept connections that a daemon may pass on
// and cut at any time.
const keptCutLimit = 3

// deniedLimit is the number of proper requests out of n that may be answered with a 4xx.
func deniedLimit(n int) int { return 5 + n/500 }

// verdict is what the rules say of a request that got no complete answer.
type verdict int

const (
	answered verdict = iota
	unread           // the daemon has not read it, or closed the connection at once
	timedOut
	excused   // by trouble, or by the end of the grace period
	brokenOff // by its engine, and there was no time, attempt or retry budget left to continue it
	noneBegan // while it waited, no other engine could begin it before its daemon stopped
	lost      // around planned work
	cut       // at another time
)

// check returns the broken rules, each with its trace.
func (s *site) check() (broken []string) {
	report := func(rule string, a *attempt) { broken = append(broken, rule+"\n"+s.trace(a)) }
	counts, keptCuts, denied, breaks := make(map[verdict]int), make(map[string]int), 0, 0
	statuses, named := make(map[string]int), s.namedEnds()
	for _, a := range s.record.attempts {
		statuses[fmt.Sprint(a.kind, " ", a.status, map[bool]string{false: " cut"}[a.complete])]++
		if a.violation != "" {
			report(a.violation, a)
		}
		runs := s.ledger.of(a.id)
		if a.kind == kindBook && len(runs) > 1 {
			report("TWICE", a)
		}
		if a.kind == kindBook && a.refused() && len(runs) > 0 {
			report("REFUSED", a)
		}
		if a.complete && a.status >= 300 && a.status < 500 && !a.refused() {
			denied++
		}
		if both := s.overlap(runs); both > maxOverlap {
			report("TWICE: two engines at work for "+both.String(), a)
		}
		if s.mustBeNamed(a, runs) && !named[a.daemon][a.id] {
			report("UNNAMED: no line of the daemon says how the stream ended", a)
		}
		v, reason := s.judge(a, runs)
		counts[v]++
		for _, r := range runs {
			if r.end == runBrokenOff {
				breaks++
			}
		}
		if v == lost {
			report("LOST "+reason, a)
		}
		if (v == unread || v == timedOut) && *keepLogs != "" {
			s.t.Logf("unread or timed out:\n%s", s.trace(a))
		}
		if v == cut {
			s.t.Logf("cut outside of planned work:\n%s", s.trace(a))
			if a.reused {
				keptCuts[a.daemon]++
			}
		}
	}
	for daemon, n := range keptCuts {
		if n > keptCutLimit {
			broken = append(broken, fmt.Sprintf("LOST: %s cut %d requests from kept connections", daemon, n))
		}
	}
	for _, e := range s.engines {
		broken = append(broken, e.checkLimits()...)
	}
	broken = append(broken, s.checkCuts()...)
	broken = append(broken, s.checkRollout()...)
	for _, d := range s.daemons {
		d.mu.Lock()
		for _, end := range d.ownEnds {
			broken = append(broken, "FAULT: "+end+"\n"+strings.Join(d.logLines("panic", "goroutine ", "fatal"), "\n"))
		}
		d.mu.Unlock()
	}
	if denied > deniedLimit(len(s.record.attempts)) {
		broken = append(broken, fmt.Sprintf("DENIED: %d requests", denied))
	}
	s.t.Logf("%s: %d attempts, %d SIGTERM; unread %d, timed out %d, excused %d, begun nowhere %d, lost %d, cut at other times %d, broken off by engines %d of %d; %d broken rules", s.t.Name(), len(s.record.attempts),
		s.countPlanned("SIGTERM"), counts[unread], counts[timedOut], counts[excused], counts[noneBegan], counts[lost], counts[cut], counts[brokenOff], breaks, len(broken))
	s.t.Logf("attempts %v; requests %v", statuses, s.record.outcomes)
	if s.backup != nil {
		s.t.Log(s.describeTakenUp())
	}
	if s.waits {
		s.t.Log(s.describeAllWaits())
	}
	return broken
}

func (s *site) countPlanned(kind string) (n int) {
	for _, p := range s.planned {
		if p.kind == kind {
			n++
		}
	}
	return n
}

// judge applies the rule LOST to one request.
func (s *site) judge(a *attempt, runs []run) (v verdict, reason string) {
	if a.complete || a.violation != "" {
		return answered, ""
	}
	if a.unread(runs) {
		return unread, ""
	}
	var timeout net.Error
	if errors.As(a.err, &timeout) && timeout.Timeout() || !a.ended.Before(a.deadline) {
		return timedOut, ""
	}
	if s.troubled(a.sent.Add(-contact), a.ended) {
		return excused, ""
	}
	broken := a.events > 0 && brokenByEngine(runs)
	for _, p := range s.planned {
		if p.kind != "SIGTERM" || s.callersOf(p.daemon) != a.daemon {
			continue
		}
		if cutAtEndOfGrace(a, runs, p.from) {
			return excused, ""
		}
		if engines, waited := s.couldBegin(a, runs, p.from); waited && cutByEndOfGrace(a, p.from) {
			if len(engines) == 0 {
				return noneBegan, ""
			}
			return lost, fmt.Sprintf("at the end of the stop of %s, while %v could have begun it", p.daemon, engines)
		}
		if broken && cutByEndOfGrace(a, p.from) {
			return brokenOff, ""
		}
	}
	if broken && (len(runs) >= streamAttempts || s.lacksRetryBudget(a)) {
		return brokenOff, ""
	}
	if broken {
		return lost, "after an engine broke it off: it was not continued"
	}
	for _, p := range s.planned {
		if p.daemon != "" && s.callersOf(p.daemon) != a.daemon || a.ended.Before(p.from) {
			continue
		}
		around := false
		switch p.kind {
		case "SIGTERM":
			around = !a.ended.After(p.from.Add(grace + time.Second))
		case "SIGHUP":
			around = !a.sent.After(p.until)
		case "configuration":
			around = !a.ended.After(p.until)
		}
		if around {
			return lost, fmt.Sprintf("around %s of %s at %.3f s", p.kind, p.daemon, p.from.Sub(s.start).Seconds())
		}
	}
	return cut, ""
}

// cutAtEndOfGrace reports whether an engine was still at work on a request near the end
// of the grace period of a daemon that got a SIGTERM, and the request was not sent late. An
// engine is not at work on a run that waits.
func cutAtEndOfGrace(a *attempt, runs []run, signaled time.Time) bool {
	if len(runs) == 0 || a.kind == kindStream && runs[len(runs)-1].firstEvent.IsZero() || a.ended.Before(signaled) || a.ended.After(signaled.Add(grace+time.Second)) {
		return false
	}
	return a.sent.Sub(signaled) <= lateSend && !runs[len(runs)-1].lastWork().Before(signaled.Add(grace*5/6))
}

// cutByEndOfGrace reports whether a request ended about when the daemon had to.
func cutByEndOfGrace(a *attempt, signaled time.Time) bool {
	return !a.ended.Before(signaled.Add(grace*5/6)) && !a.ended.After(signaled.Add(grace+time.Second))
}

// brokenByEngine reports whether a stream has made no event since an engine broke it off.
func brokenByEngine(runs []run) bool {
	for _, r := range slices.Backward(runs) {
		if r.end == runBrokenOff || r.brokeOff || !r.firstEvent.IsZero() {
			return r.end == runBrokenOff || r.brokeOff
		}
	}
	return false
}

// lacksRetryBudget reports whether a daemon that has just started had no retry budget for a
// request.
func (s *site) lacksRetryBudget(a *attempt) bool {
	for _, d := range s.daemons {
		if d.callers() == a.daemon && d.startedWithin(budgetWindow, a.ended) {
			return slices.ContainsFunc(d.logLines(`"`+a.id+`"`), func(line string) bool { return strings.Contains(line, `"retry_denied"`) })
		}
	}
	return false
}

// troubled reports whether there was trouble between two times.
func (s *site) troubled(from, until time.Time) bool {
	for _, t := range s.troubles {
		if !t.until.Before(from) && !t.from.After(until) {
			return true
		}
	}
	return false
}

func (s *site) callersOf(id string) string {
	for _, d := range s.daemons {
		if d.id == id {
			return d.callers()
		}
	}
	return ""
}

// trace returns what is known about a request.
func (s *site) trace(a *attempt) string {
	at := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return fmt.Sprintf("%.3f s", t.Sub(s.start).Seconds())
	}
	var lines []string
	add := func(format string, args ...any) { lines = append(lines, "    "+fmt.Sprintf(format, args...)) }
	for _, d := range s.daemons {
		if d.callers() == a.daemon {
			add("%s %s to %s, reused connection: %t", a.kind, a.id, d.id, a.reused)
		}
	}
	add("begun %s, sent %s, ended %s; status %d (%s), complete: %t, %d events of %d; error %v, reset: %t", at(a.begun), at(a.sent), at(a.ended),
		a.status, http.StatusText(a.status), a.complete, a.events, a.work.events, a.err, a.reset)
	for _, r := range s.ledger.of(a.id) {
		add("run at %s from %s to %s, first event %s, %v%s", r.engine, at(r.began), at(r.ended), at(r.firstEvent), r.end, r.describeWaits(at))
	}
	for _, p := range slices.Concat(s.planned, s.quiet, s.troubles, s.stalls) {
		concerned := p.daemon == "" || s.callersOf(p.daemon) == a.daemon
		if concerned && !p.until.Before(a.begun.Add(-contact)) && !p.from.After(a.ended) {
			add("%s %s from %s to %s", p.kind, p.daemon, at(p.from), at(p.until))
		}
	}
	for _, d := range s.daemons {
		for _, line := range d.logLines(`"` + a.id + `"`) {
			add("%s: %s", d.id, line)
		}
		if d.callers() == a.daemon {
			for _, line := range d.logLines(`"daemon_`, `"node_`) {
				add("%s: %s", d.id, line)
			}
		}
	}
	return strings.Join(lines, "\n")
}

// overlap returns the longest time for which two engines worked on a request, apart from
// trouble. An engine that is silent works on nothing, and nothing reaches it. No engine works on
// a run that waits.
func (s *site) overlap(runs []run) (longest time.Duration) {
	for i, one := range runs {
		for _, other := range runs[:i] {
			from, until := one.began, one.ended
			if other.began.After(from) {
				from = other.began
			}
			if other.ended.Before(until) {
				until = other.ended
			}
			if !s.troubled(from.Add(-contact), until) {
				longest = max(longest, until.Sub(from)-s.silentTime(one.engine, from, until)-s.silentTime(other.engine, from, until)-waitTime(from, until, one, other))
			}
		}
	}
	return longest
}

// silentTime returns for how long an engine was silent between two times.
func (s *site) silentTime(engine string, from, until time.Time) (silent time.Duration) {
	for _, sp := range s.planned { // sorted by the end
		if sp.kind != silenceOf(engine) {
			continue
		}
		begin, end := sp.from, sp.until
		if begin.Before(from) {
			begin = from
		}
		if end.After(until) {
			end = until
		}
		if end.After(begin) {
			silent += end.Sub(begin)
			from = end // overlapping silences count once
		}
	}
	return silent
}

// sortedBroken returns the broken rules in a fixed order.
func sortedBroken(broken []string) []string {
	sort.Strings(broken)
	return broken
}
