package node

import (
	"time"

	"github.com/pkg/errors"

	"github.com/vanillaroad/vanillaroad/admission"
	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/routing"
	"github.com/vanillaroad/vanillaroad/trace"
)

var _ admission.Placer = (*admitter)(nil)

// allowedTargets returns the names of the targets that the service's rules allow for
// a request, or nil if they allow all.
func allowedTargets(request routing.Request) map[string]bool {
	targets := request.Service.TargetsFor(request.Labels)
	if len(targets) == len(request.Service.Targets) {
		return nil
	}
	out := make(map[string]bool, len(targets))
	for _, t := range targets {
		out[t.Name] = true
	}
	return out
}

// Place implements admission.Placer. The scheduler chooses the target.
func (a *admitter) Place(now time.Time, t admission.Ticket, free func(string) bool) (string, admission.PlacementResult) {
	p := a.pending[t.ID]
	if p == nil {
		return "", admission.NoneEligible
	}
	if a.plan.snapshot != a.n.snapshot.Load() && len(a.plan.lanes[t.Lane]) == 0 {
		return "", admission.AllBusy // the plan for the new configuration is still being computed
	}
	choice := routing.Choose{Request: p.request, Candidates: a.candidates(now, t.Lane, p, free), Seed: t.ID<<32 ^ uint64(now.UnixNano())}
	chosen, err := choice.Pick(a.scheduler)
	if a.n.trace != nil {
		trace.Record(a.n.trace, routing.TraceSlice, "", now, choice, []routing.Chosen{routing.NewChosen(chosen, err)})
	}
	switch {
	case errors.Is(err, routing.ErrBusy):
		return "", admission.AllBusy
	case err != nil:
		return "", admission.NoneEligible
	}
	return chosen.Target.Name, admission.Placed
}

func (a *admitter) candidates(now time.Time, lane string, p *pendingRequest, free func(string) bool) []routing.Candidate {
	targets := a.plan.lanes[lane]
	out := make([]routing.Candidate, 0, len(targets))
	for i := range targets {
		if p.allowedTargets == nil || p.allowedTargets[targets[i].Name] {
			out = append(out, a.candidate(now, &targets[i], p, free))
		}
	}
	return out
}

func (a *admitter) candidate(now time.Time, t *configuration.Target, p *pendingRequest, free func(string) bool) routing.Candidate {
	report, _ := a.loads.Report(t.Name)
	return routing.Candidate{
		Target: *t, Free: free(t.Name), InFlight: a.controller.InFlight(t.Name), Estimated: a.loads.Estimate(t.Name),
		Slots: report.Slots, Version: report.Models[p.request.Service.Model], Leaving: a.isLeaving(t, report.Leaving),
		Down: a.loads.Down(t.Name), CachedBlocks: a.prefixes.CachedPrefixBlocks(now, t.Name, p.request.Blocks),
		Near: a.proximity(t.Place),
	}
}

// isLeaving reports whether a target is marked as leaving by its own report, the
// configuration or the VM list.
func (a *admitter) isLeaving(t *configuration.Target, reported bool) bool {
	return reported || t.Leaving || (t.VM != "" && a.n.view.Load().LeavingVMs[t.VM])
}

func (a *admitter) proximity(place string) routing.Proximity {
	switch {
	case place == a.n.self.Place:
		return routing.SamePlace
	case a.plan.regions[place] == a.n.self.Region:
		return routing.SameRegion
	}
	return routing.Far
}
