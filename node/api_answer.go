package node

import (
	"net/http"

	"github.com/vanillaroad/vanillaroad/callers"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/internal/membudget"
)

// Memory of a part of an answer, in its decoded and its encoded form.
const (
	eventAnswerBytes  = 1 << 10 // of an event
	memberAnswerBytes = 1 << 10 // of a daemon
	targetAnswerBytes = 2 << 10 // of a target, a service or a workspace of a document
	otherAnswerBytes  = 128 << 10
)

// withAnswer counts the memory of an answer that is encoded as a whole before it is sent, until its
// caller has read it. If the memory is used up by callers who don't read, they are disconnected;
// otherwise the request is refused.
func (n *Node) withAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			next.ServeHTTP(w, r)
			return
		}
		var holder membudget.Holder
		if guard := callers.GuardOf(r.Context()); guard != nil {
			holder = guard
		}
		share := n.limits.Budget.NewQueueShare(holder)
		defer share.Release()
		bytes := min(n.answerBytes(r.URL.Path), n.limits.Budget.AnswersLimit())
		if err := share.Grow(int(bytes), func() {}); err != nil {
			n.limits.CountRefusal()
			n.writeRefusal(w, r, failure.Wrap(err, failure.Overloaded, failure.NotRun, "answer", "").WithRetryAfter(exhaustedRetryAfter))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// answerBytes returns the most that the answer of a GET call uses until it is sent.
func (n *Node) answerBytes(path string) int64 {
	switch path {
	case "/v1/events":
		return eventAnswerBytes * int64(n.settings.EventRing)
	case "/v1/configuration":
		document := n.snapshot.Load().Document
		return otherAnswerBytes + targetAnswerBytes*int64(len(document.Targets)+len(document.Services)+len(document.Workspaces))
	case "/v1/status", "/metrics":
		return otherAnswerBytes + memberAnswerBytes*int64(len(n.view.Load().Members))
	}
	return 0 // short ones
}
