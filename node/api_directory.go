package node

import (
	"context"

	gen "github.com/vanillaroad/vanillaroad/gen/directory"
)

type directoryAPI struct{ n *Node }

func deref[T any](p *T) T {
	var zero T
	if p == nil {
		return zero
	}
	return *p
}

// Lookup implements the directory service.
func (a *directoryAPI) Lookup(_ context.Context, p *gen.LookupPayload) (*gen.DirectoryAnswer, error) {
	view := a.n.view.Load()
	return &gen.DirectoryAnswer{
		Addresses: view.Directory(deref(p.Place), deref(p.Key)),
		TTLMs:     a.n.settings.Membership.DirectoryTTL.Std().Milliseconds(),
	}, nil
}
