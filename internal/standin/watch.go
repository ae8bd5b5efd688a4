package standin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/vanillaroad/vanillaroad/objectstore"
)

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait := p.watchTimeout
	if waitMillis, err := strconv.Atoi(r.URL.Query().Get("wait_ms")); err == nil {
		wait = min(wait, time.Duration(waitMillis)*time.Millisecond)
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	era := p.currentEra()
	for waiting := true; ; {
		objects, at, changed := p.changedSince(r.PathValue("kind"), since)
		if at.Revision < since || at.Era != era {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(objects) > 0 || !waiting {
			writeJSON(w, watchAnswer(objects, at.Revision))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout.C:
			waiting = false
		}
		if p.currentFaults().Down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
}

type watchEvent struct {
	Object  objectJSON `json:"object"`
	Deleted bool       `json:"deleted"`
}

func watchAnswer(objects []objectstore.Object, revision int64) any {
	events := []watchEvent{}
	for _, o := range objects {
		events = append(events, watchEvent{toJSON(o), o.Deleted})
	}
	return struct {
		Events []watchEvent `json:"events"`
		At     int64        `json:"at"`
	}{events, revision}
}
