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

// router grants targets to generations.
type router struct{ n *Node }

var _ generation.Router = (*router)(nil)

// retryAfter is told to callers when nothing better is known.
const retryAfter = time.Second

// maxPrefixBlocks bounds the blocks of a prompt that are looked up in caches.
const maxPrefixBlocks = 512

// Route implements generation.Router.
func (r *router) Route(ctx context.Context, req generation.Request, held int64, exclude []string, version string) (generation.Grant, *failure.Error) {
	snapshot := r.n.snapshot.Load()
	svc, ok := snapshot.Service(req.Service)
	if !ok || svc.Kind != configuration.Generation {
		return generation.Grant{}, failure.New(failure.NotFound, failure.NotRun, "route", "", "no generation service %q", req.Service)
	}
	workspace, refused := r.n.workspace(req.Workspace)
	if refused != nil {
		return generation.Grant{}, refused
	}
	q := ask{
		want: routing.Request{
			ID: req.ID, Service: svc, Labels: req.Labels, Version: version, Exclude: make(map[string]bool),
			System: svc.SystemFor(req.ID), FromPlace: r.n.self.Place,
			Blocks: target.BlockHashes(svc.Model, svc.Version, req.Prompt, maxPrefixBlocks),
		},
		workspace: req.Workspace, priority: req.Priority, bytes: int64(len(req.Prompt)),
		retry: held > 0 || len(exclude) > 0, wait: r.n.firstTokenWait(req.Deadline, workspace),
	}
	if q.retry {
		q.wait = r.n.settings.Generation.ResumeDeadline.Std()
	}
	for _, t := range exclude {
		q.want.Exclude[t] = true
	}
	p, refused := r.n.admit(ctx, q)
	if refused != nil {
		return generation.Grant{}, refused
	}
	return r.n.grant(p, svc, version), nil
}

// grant makes a generation's grant of a permit.
func (n *Node) grant(p *permit, svc *configuration.ServiceView, version string) generation.Grant {
	if version == "" {
		version = svc.Version
	}
	return generation.Grant{
		Target: p.target.Name, Model: svc.Model, Version: version,
		Engine:  &grantedEngine{Engine: n.targets.client(p.target.Address), permit: p},
		Release: p.release,
	}
}

// ReportLoss implements generation.Router.
func (r *router) ReportLoss(_, name string) { r.n.suspect(name) }

// workspace returns the named workspace, or a refusal if there is none.
func (n *Node) workspace(name string) (configuration.Workspace, *failure.Error) {
	w, ok := n.snapshot.Load().Workspace(name)
	if !ok {
		return w, failure.New(failure.BadRequest, failure.NotRun, "admit", "", "no workspace %q", name)
	}
	return w, nil
}

// firstTokenWait is how long a request may wait: what it asks for, what its
// workspace says, or the daemon's setting.
func (n *Node) firstTokenWait(asked time.Duration, w configuration.Workspace) time.Duration {
	switch {
	case asked > 0:
		return asked
	case w.Deadline > 0:
		return w.Deadline.Std()
	}
	return n.settings.Admission.FirstTokenDeadline.Std()
}
