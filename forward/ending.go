package forward

import "github.com/pkg/errors"

// An answer that is not framed ends with its connection. Its end looks the same whether
// the target has sent all of it, the target's process has ended, or the run was stopped.

// errNoEvents means that a connection ended before the first event of an answer without a
// frame.
var errNoEvents = errors.New("the answer ends without an event")

// mayBeComplete reports whether a stream that ends between two events may be complete. The
// answer to a request for the events after one may have none.
func (a *streamAttempt) mayBeComplete() bool {
	return a.framed || a.stream.lastEventID >= 0 || len(a.unnumbered) > 0
}
