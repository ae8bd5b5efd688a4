package soak

import (
	"encoding/json"
	"net/http"
	"strings"
)

// endEvents are the events with which a daemon records how a request ended.
var endEvents = []string{"answer_cut_short", "request_answered", "request_failed", "caller_left", "request_unfinished"}

// namedEnds returns, by the address of their daemons, the ids of the requests whose ends the daemons'
// logs name.
func (s *site) namedEnds() map[string]map[string]bool {
	named := make(map[string]map[string]bool)
	for _, d := range s.daemons {
		ids := make(map[string]bool)
		for _, line := range d.logLines(endEvents...) {
			var fields struct {
				Request string `json:"request"`
			}
			if err := json.Unmarshal([]byte(strings.TrimSpace(line)), &fields); err == nil {
				ids[fields.Request] = true
			}
		}
		named[d.callers()] = ids
	}
	return named
}

// mustBeNamed reports whether the log of its daemon must name how a stream ended: it was accepted,
// since an engine has run it, and its connection closed without its end, outside of trouble.
func (s *site) mustBeNamed(a *attempt, runs []run) bool {
	return a.kind == kindStream && a.status == http.StatusOK && !a.complete && a.violation == "" && len(runs) > 0 && !s.troubled(a.sent.Add(-contact), a.ended)
}
