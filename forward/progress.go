package forward

import "github.com/vanillaroad/vanillaroad/failure"

// maxIdleBytes bounds the events of a run that bring its stream no further, between two
// events that do. Events of a run that begins before the caller's last event don't count,
// as long as their ids increase.
const maxIdleBytes = 16 << 10

// isProgress reports whether an event brings the stream further. Events without an id and
// events that the caller has received already don't.
func (s *stream) isProgress(e Event) bool { return e.ID > s.lastEventID }

// handleIdleEvent handles an event that is no progress, so that the run counts as silent.
// An event without an id is passed on with the next numbered event, or with the end of the
// stream: if the run is lost before, the next run begins after the last numbered event.
func (a *streamAttempt) handleIdleEvent(e Event) (attemptEnd, bool) {
	switch {
	case e.ID < 0:
		a.unnumbered = append(a.unnumbered, e.Raw...)
	case e.ID >= a.nextRepeated:
		a.nextRepeated = e.ID + 1
		return 0, false
	}
	if a.idleBytes += len(e.Raw); a.idleBytes > maxIdleBytes {
		return a.abandonFaulty("events bring the stream no further"), true
	}
	return 0, false
}

// endStream passes on what is left of a complete stream.
func (a *streamAttempt) endStream() attemptEnd {
	if rest := a.takeUnnumbered(nil); rest != nil {
		if err := a.stream.responder.Event(rest); err != nil {
			a.stream.lastErr = failure.Wrap(err, failure.Canceled, failure.Unknown, "answer the caller", "")
			return endCanceled
		}
	}
	return endComplete
}

// takeUnnumbered returns the events without an id that were not passed on, followed by
// raw.
func (a *streamAttempt) takeUnnumbered(raw []byte) []byte {
	if len(a.unnumbered) > 0 {
		raw = append(a.unnumbered, raw...)
	}
	a.unnumbered, a.idleBytes = nil, 0
	return raw
}
