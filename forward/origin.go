package forward

import (
	"context"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/origin"
)

// OriginTracker tracks where streams began, for callers who take them up.
type OriginTracker interface {
	// Record records the origin of the stream that a request begins or continues. It does
	// not block.
	Record(requestID string, o origin.Origin)
	// Find returns the origin of the stream of a request, and false if no daemon knows
	// it. It may block until ctx is done.
	Find(ctx context.Context, requestID string) (origin.Origin, bool)
	// Versions returns the software versions that may have begun streams of a service
	// which callers still take up. It may block until ctx is done.
	Versions(ctx context.Context, service string) ([]string, error)
}

// resumes reports whether the caller takes up a stream that began under another request.
func (r *Request) resumes() bool { return r.LastEventID != "" || r.Resumes != "" }

// findOrigin returns where the stream that a caller takes up began. If no daemon knows it,
// the stream can continue only if a single software version may have begun it.
func (f *Forwarder) findOrigin(ctx context.Context, r *Request) (origin.Origin, *failure.Error) {
	if r.Resumes != "" {
		if o, ok := f.Origins.Find(ctx, r.Resumes); ok {
			return o, f.moveToService(r, o.Service)
		}
	}
	versions, err := f.Origins.Versions(ctx, r.Service)
	switch {
	case err != nil:
		return origin.Origin{}, failure.Wrap(err, failure.PlatformUnavailable, failure.NotRun, "find the origin of the stream", "").WithRetryAfter(retryAfterBusy)
	case len(versions) != 1:
		return origin.Origin{}, failure.New(failure.NoTarget, failure.NotRun, "find the origin of the stream", r.Service,
			"no daemon knows request %q, and any of the software versions %q may have begun the stream", r.Resumes, versions)
	}
	f.Events.Record(event.OriginAssumed, r.ID, event.F("resumes", r.Resumes), event.F("version", versions[0]))
	return origin.Origin{Service: r.Service, SoftwareVersion: versions[0]}, nil
}

// moveToService sets the service of a request to the one where its stream began. The
// active configuration must still allow it.
func (f *Forwarder) moveToService(r *Request, service string) *failure.Error {
	if service == r.Service {
		return nil
	}
	if !r.Route.Allows(service) {
		return failure.New(failure.NoTarget, failure.NotRun, "route", service, "the stream began at a service that route %s no longer has", r.Route.Name)
	}
	r.Service = service
	return nil
}

// serveStream answers a request on a streaming route.
func (f *Forwarder) serveStream(ctx context.Context, r *Request, w Responder) {
	s := newStream(f, r, w)
	if r.resumes() {
		o, err := f.findOrigin(ctx, r)
		if err != nil {
			f.failRequest(r, w, err)
			return
		}
		s.version = &o.SoftwareVersion
	}
	s.run(ctx)
}

// beginAt records that the caller receives the first event of this answer, from a target
// of a software version.
func (s *stream) beginAt(version string) {
	s.version, s.originRecorded = &version, true
	s.forwarder.Origins.Record(s.request.ID, origin.Origin{Service: s.request.Service, SoftwareVersion: version})
}
