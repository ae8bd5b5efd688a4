package node

import (
	"context"
	"time"

	"github.com/vanillaroad/vanillaroad/configuration"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/generation"
	"github.com/vanillaroad/vanillaroad/routing"
	"github.com/vanillaroad/vanillaroad/target"
)

// router grants permits on targets to generation runs.
type router struct{ n *Node }

var _ generation.Router = (*router)(nil)

// defaultRetryAfter is the retry-after time of refusals without a better estimate.
const defaultRetryAfter = time.Second

// maxPrefixBlocks bounds the blocks of a prompt that are looked up in the prefix
// caches of targets.
const maxPrefixBlocks = 512

// Route implements generation.Router.
func (r *router) Route(ctx context.Context, req generation.Request, heldTokens int64, exclude []string, version string) (generation.Grant, *failure.Error) {
	snapshot := r.n.snapshot.Load()
	svc, ok := snapshot.Service(req.Service)
	if !ok || svc.Kind != configuration.Generation {
		return generation.Grant{}, failure.New(failure.NotFound, failure.NotRun, "route", "", "no generation service %q", req.Service)
	}
	workspace, refusal := r.n.workspace(req.Workspace)
	if refusal != nil {
		return generation.Grant{}, refusal
	}
	q := permitRequest{
		request: routing.Request{
			ID: req.ID, Service: svc, Labels: req.Labels, Version: version, Exclude: make(map[string]bool),
			System: svc.SystemFor(req.ID), FromPlace: r.n.self.Place,
			Blocks: target.BlockHashes(svc.Model, svc.Version, req.Prompt, maxPrefixBlocks),
		},
		workspace: req.Workspace, priority: req.Priority, bytes: int64(len(req.Prompt)),
		retry: heldTokens > 0 || len(exclude) > 0, maxWait: r.n.firstTokenWait(req.Deadline, workspace),
	}
	if q.retry {
		q.maxWait = r.n.settings.Generation.ResumeDeadline.Std()
	}
	for _, t := range exclude {
		q.request.Exclude[t] = true
	}
	p, refusal := r.n.admit(ctx, q)
	if refusal != nil {
		return generation.Grant{}, refusal
	}
	return r.n.newGrant(p, svc, version), nil
}

// newGrant returns the grant that gives a generation run the permit p. An empty version
// selects the version in the service's configuration.
func (n *Node) newGrant(p *permit, svc *configuration.ServiceView, version string) generation.Grant {
	if version == "" {
		version = svc.Version
	}
	return generation.Grant{
		Target: p.target.Name, Model: svc.Model, Version: version,
		Engine:  &permitEngine{Engine: n.targets.client(p.target.Address), permit: p},
		Release: p.release,
	}
}

// ReportLoss implements generation.Router.
func (r *router) ReportLoss(_, name string) { r.n.suspectTarget(name) }

// workspace returns the named workspace, or a refusal if it doesn't exist.
func (n *Node) workspace(name string) (configuration.Workspace, *failure.Error) {
	w, ok := n.snapshot.Load().Workspace(name)
	if !ok {
		return w, failure.New(failure.BadRequest, failure.NotRun, "admit", "", "no workspace %q", name)
	}
	return w, nil
}

// firstTokenWait returns how long a request may wait for its first token: the
// requested time if it is positive, else the deadline of its workspace if it has one,
// else the daemon's setting.
func (n *Node) firstTokenWait(requested time.Duration, w configuration.Workspace) time.Duration {
	switch {
	case requested > 0:
		return requested
	case w.Deadline > 0:
		return w.Deadline.Std()
	}
	return n.settings.Admission.FirstTokenDeadline.Std()
}
