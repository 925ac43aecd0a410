package gateway

import (
	"context"
	"slices"
	"time"

	"sassafrasplank.example/sassafrasplank/internal/common/failure"
	"sassafrasplank.example/sassafrasplank/internal/eventstream"
	"sassafrasplank.example/sassafrasplank/internal/routing"
	"sassafrasplank.example/sassafrasplank/internal/streambuild"
)

// StreamBuilds knows which build of a service began a stream that can be resumed.
type StreamBuilds interface {
	// Usable reports whether streams may begin at a build of a service.
	Usable(service, build string) bool
	// Begin records that the stream of a request begins at a build of a service.
	Begin(service, build, requestID string)
	// Find returns where a stream began that a caller resumes. service is that of the request
	// which resumes it, origin the ID of the one that began it, empty if that isn't known.
	Find(ctx context.Context, service, origin string) (streambuild.Stream, error)
}

const (
	// findTimeout limits the search for the build of a resumed stream, and findDivisor divides
	// the time left to limit it further.
	findTimeout = 1500 * time.Millisecond
	findDivisor = 4
)

// findBuild restricts a request that resumes a stream to the build that began it. It refuses the
// request if that isn't known.
func (r *run) findBuild(ctx context.Context) *failure.Error {
	w := r.work
	if w.Build != nil {
		r.request.Build = w.Build
		return nil
	}
	if r.g.Builds == nil || w.Route.Kind != Stream || w.LastEventID == eventstream.NoID {
		return nil
	}
	findCtx, cancel := context.WithTimeout(ctx, min(findTimeout, w.Deadline.Sub(r.g.Clock.Now())/findDivisor))
	defer cancel()
	stream, err := r.g.Builds.Find(findCtx, w.Service, w.Origin)
	if ctx.Err() != nil {
		return r.contextFailure(ctx)
	}
	if err != nil {
		return failure.Busy(failure.NoTarget, r.retryAfter(), "the stream can't be resumed: %v", err)
	}
	if stream.Service != w.Service {
		if !slices.ContainsFunc(w.Route.Shares, func(s routing.Share) bool { return s.Service == stream.Service }) {
			return failure.Busy(failure.NoTarget, r.retryAfter(), "the stream can't be resumed: it began at service %s, to which the route no longer leads", stream.Service)
		}
		w.Service = stream.Service
		r.request = r.g.placementRequest(w)
	}
	r.request.Build = &stream.Build
	return nil
}
