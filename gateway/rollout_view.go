package gateway

import (
	"cmp"
	"slices"
	"time"
)

// RolloutView is what a daemon knows of one roll-out, for operators.
type RolloutView struct {
	Service        string  `json:"service"`
	Target         string  `json:"target"`
	Presumed       bool    `json:"presumed,omitempty"` // the version was seen before an order
	AgeSeconds     float64 `json:"age_s"`
	LimitSeconds   float64 `json:"duration_s,omitempty"`
	Phase          string  `json:"phase"`
	Verdict        string  `json:"verdict"`
	Reason         string  `json:"reason,omitempty"`
	VerdictBy      string  `json:"verdict_by,omitempty"`   // another daemon
	State          string  `json:"state,omitempty"`        // of the order, as last seen in the store
	StateTarget    string  `json:"state_target,omitempty"` // the version that it is about
	Judges         string  `json:"judges,omitempty"`
	Requests       int     `json:"requests"` // of this daemon's callers, since the order
	Sent           int     `json:"sent"`     // of them, to the version
	Failures       int     `json:"failures"` // of those
	CreditsLeft    int     `json:"credits_left"`
	LittleEvidence bool    `json:"little_evidence,omitempty"`
}

// InvalidOrder is an order that a daemon doesn't follow.
type InvalidOrder struct {
	Service string `json:"service"`
	Error   string `json:"error"`
}

// RolloutsView is what a daemon knows of all roll-outs.
type RolloutsView struct {
	Daemon   string         `json:"daemon"`
	Enabled  bool           `json:"enabled"` // the settings have a block for roll-outs
	Rollouts []RolloutView  `json:"rollouts"`
	Invalid  []InvalidOrder `json:"invalid,omitempty"`
}

// describe returns what this daemon knows of the roll-outs, sorted by service and version.
func (r *rollouts) describe(daemon string) RolloutsView {
	view := RolloutsView{Daemon: daemon, Enabled: r != nil, Rollouts: []RolloutView{}}
	if r == nil {
		return view
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, all := range r.snapshot() {
		for _, o := range all {
			order, d := o.machine.Order(), o.decision
			v := RolloutView{
				Service: order.Service, Target: order.Target, Presumed: order.Presumed(), AgeSeconds: now.Sub(order.Created).Seconds(), LimitSeconds: order.Duration.Seconds(),
				Phase: string(d.Phase), Verdict: string(d.Verdict), Reason: o.reason, VerdictBy: o.verdictSource, Judges: o.judges, Failures: o.failures, LittleEvidence: d.LittleEvidence,
			}
			v.Requests, v.Sent, v.CreditsLeft = o.machine.Usage(now)
			if o.writer != nil {
				state, target, _ := o.writer.Stored()
				v.State, v.StateTarget = string(state), target
			}
			view.Rollouts = append(view.Rollouts, v)
		}
	}
	for name, err := range r.refused {
		view.Invalid = append(view.Invalid, InvalidOrder{name, err})
	}
	slices.SortFunc(view.Rollouts, func(a, b RolloutView) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
	})
	slices.SortFunc(view.Invalid, func(a, b InvalidOrder) int { return cmp.Compare(a.Service, b.Service) })
	return view
}
