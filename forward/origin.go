package forward

import (
	"context"
	"time"

	"github.com/vanillaroad/vanillaroad/event"
	"github.com/vanillaroad/vanillaroad/failure"
	"github.com/vanillaroad/vanillaroad/origin"
)

// OriginTracker tracks where streams began, for callers who take them up.
type OriginTracker interface {
	// Record records the origin of the stream that a request begins or continues. It does
	// not block.
	Record(requestID string, o origin.Origin)
	// Find returns the origin of the stream of a service that a request began. requestID is
	// empty if the caller names none. assumed means that no daemon knows it and only one
	// origin is possible; if several are, Find returns an error. It may block until ctx is
	// done.
	Find(ctx context.Context, requestID, service string) (o origin.Origin, assumed bool, err error)
}

// resumes reports whether the caller takes up a stream that began under another request.
func (r *Request) resumes() bool { return r.LastEventID != "" || r.Resumes != "" }

// findOrigin returns where the stream that a caller takes up began.
func (f *Forwarder) findOrigin(ctx context.Context, r *Request) (origin.Origin, *failure.Error) {
	o, assumed, err := f.Origins.Find(ctx, r.Resumes, r.Service)
	if err != nil {
		return origin.Origin{}, failure.Wrap(err, failure.NoTarget, failure.NotRun, "find the origin of the stream", r.Service).WithRetryAfter(retryAfterBusy)
	}
	if assumed {
		f.Events.Record(event.OriginAssumed, r.ID, event.F("resumes", r.Resumes), event.F("version", o.SoftwareVersion))
	}
	return o, f.moveToService(r, o.Service)
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
		s.version, s.succession.version = &o.SoftwareVersion, &o.SoftwareVersion
		s.markBegun()
	}
	if !r.resumes() {
		if err := s.admit(ctx); err != nil {
			s.admitted()
			s.lastErr = err
			s.finish(ctx)
			return
		}
	}
	if s.admitted != nil {
		defer s.admitted()
	}
	s.run(ctx)
}

// beginAt records that the caller receives the first event of this answer, from a target
// of a software version.
func (s *stream) beginAt(version string) {
	s.version, s.succession.version, s.originRecorded = &version, &version, true
	s.markBegun()
	s.forwarder.Origins.Record(s.request.ID, origin.Origin{Service: s.request.Service, SoftwareVersion: version})
}

// markBegun records that the stream has begun, until markEnded. It has precedence for retry budget
// then.
func (s *stream) markBegun() {
	if !s.succession.begun {
		s.succession.begun = true
		s.forwarder.RetryBudget.AddStreams(time.Now(), s.request.Service, 1)
	}
}

// markEnded records that the stream has ended.
func (s *stream) markEnded() {
	if s.succession.begun {
		s.forwarder.RetryBudget.AddStreams(time.Now(), s.request.Service, -1)
		s.forwarder.RetryBudget.unwant(retry{request: s.request})
	}
}
