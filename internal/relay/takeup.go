package relay

import (
	"context"
	"slices"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/resume"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// retryUnknownStream is the time after which a caller may ask again for a stream of
// which this VM doesn't know where it began.
const retryUnknownStream = time.Second

// mayResume reports whether the route's streams go on after they broke off.
func (x *transaction) mayResume() bool { return x.route.Kind == ingress.Stream && x.route.Resumable }

// takeUp binds a stream that its caller takes up again to where it began. It returns a
// refusal if that isn't known, or no longer among the route's services.
func (x *transaction) takeUp(ctx context.Context) *verdict.Refusal {
	if !x.mayResume() || x.req.LastEventID == "" {
		return nil
	}
	origin, known := x.Streams.Find(ctx, x.req.ResumedID, x.service.Name)
	if !known {
		if ctx.Err() != nil {
			// The caller may name this request when it takes the stream up elsewhere.
			x.Streams.FindLater(x.req.ID, x.req.ResumedID, x.service.Name)
		}
		return verdict.Busy(verdict.CodeUnknownStream, "it is not known at which software version the stream began", jitter(retryUnknownStream))
	}
	if !slices.ContainsFunc(x.route.TrafficSplit, func(s ingress.WeightedService) bool { return s.Service == origin.Service }) {
		return verdict.Busy(verdict.CodeUnknownStream, "the route no longer uses the service at which the stream began", jitter(retryUnknownStream))
	}
	x.setService(origin.Service)
	x.origin = &origin
	// The caller may name this request when it takes the stream up once more.
	x.Streams.Begin(x.req.ID, origin)
	return nil
}

// beginStream binds a stream whose response begins to the service and version of its
// server. It returns false if the stream began at another version.
func (x *transaction) beginStream(softwareVersion string) bool {
	switch {
	case !x.mayResume():
		return true
	case x.origin != nil:
		return x.origin.SoftwareVersion == softwareVersion
	}
	x.origin = &resume.Origin{Service: x.service.Name, SoftwareVersion: softwareVersion}
	if x.req.Entry == "" {
		x.Streams.Begin(x.req.ID, *x.origin)
	}
	return true
}
