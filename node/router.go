package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/control"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/generation"
	"github.com/vanillaroad/vanillaroad/routing"
)

// router grants targets to generations.
type router struct{ n *Node }

var _ generation.Router = (*router)(nil)

// retryAfter is told to callers that were refused for want of capacity.
const retryAfter = time.Second

func (n *Node) buildRouting() { n.targets = newTargetPool() }

func (n *Node) runRouting(context.Context) {}

// Route implements generation.Router.
func (r *router) Route(ctx context.Context, req generation.Request, _ int64, exclude []string, version string) (generation.Grant, *failure.Error) {
	snapshot := r.n.snapshot.Load()
	svc, ok := snapshot.Service(req.Service)
	if !ok || svc.Kind != configuration.Generation {
		return generation.Grant{}, failure.New(failure.NotFound, failure.NotRun, "route", "", "no generation service %q", req.Service)
	}
	want := routing.Request{
		ID: req.ID, Service: svc, Labels: req.Labels, Version: version,
		Exclude: make(map[string]bool), Pinned: svc.Side(req.ID), FromPlace: r.n.self.Place,
	}
	for _, t := range exclude {
		want.Exclude[t] = true
	}
	chosen, err := r.n.pick(ctx, want)
	if err != nil {
		return generation.Grant{}, err
	}
	return generation.Grant{
		Target: chosen.Target.Name, Model: svc.Model, Version: svc.Version,
		Engine:  r.n.targets.client(chosen.Target.Address),
		Release: func(bool) { r.n.release(chosen.Target.Name) },
	}, nil
}

// Lost implements generation.Router.
func (r *router) Lost(string, string) {}

// pick chooses a target with a free permit and takes the permit.
func (n *Node) pick(ctx context.Context, want routing.Request) (routing.Candidate, *failure.Error) {
	type picked struct {
		candidate routing.Candidate
		err       error
	}
	p, err := control.Ask(ctx, n.loop, func(time.Time) picked {
		c, err := routing.Default().Pick(want, n.candidates(want), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		if err == nil {
			n.inFlight[c.Target.Name]++
		}
		return picked{c, err}
	})
	if err != nil {
		return routing.Candidate{}, failure.Wrap(err, failure.Canceled, failure.NotRun, "route", "")
	}
	if p.err != nil {
		return routing.Candidate{}, failure.Wrap(p.err, failure.NoTarget, failure.NotRun, "route", "").After(retryAfter)
	}
	return p.candidate, nil
}

// candidates runs on the control loop.
func (n *Node) candidates(want routing.Request) []routing.Candidate {
	view := n.view.Load()
	var out []routing.Candidate
	for _, t := range want.Service.For(want.Labels) {
		if n.inFlight[t.Name] >= t.Permits {
			continue
		}
		out = append(out, routing.Candidate{
			Target: t, InFlight: n.inFlight[t.Name],
			Leaving: t.Leaving || (t.VM != "" && view.LeavingVMs[t.VM]),
		})
	}
	return out
}

func (n *Node) release(name string) {
	_ = n.loop.Post(func(time.Time) { n.inFlight[name]-- })
}
