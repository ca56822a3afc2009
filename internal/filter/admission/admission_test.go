package admission

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

func TestLimitIsChargedOnceAndRefusalHasRetryAfter(t *testing.T) {
	is := is.New(t)
	set := objects.NewSet()
	set.Teams["team"] = &objects.Team{Spec: objects.TeamSpec{Limits: "limits"}}
	set.Limits["limits"] = &objects.Limits{Spec: objects.LimitsSpec{RequestsPerSecond: 1}}
	now := clock.Instant(time.Hour)
	served := 0
	handler := New(Config{Now: func() clock.Instant { return now }})(pipeline.HandlerFunc(
		func(context.Context, *pipeline.Request, pipeline.Response) *verdict.Refusal {
			served++
			return nil
		}))
	send := func(hop pipeline.Hop) *verdict.Refusal {
		s := &snapshot.Snapshot{Self: snapshot.Identity{VM: "gw", Region: "a"}, Config: set}
		return handler.Handle(context.Background(), &pipeline.Request{Snapshot: s, Team: "team", Hop: hop}, nil)
	}
	is.True(send(pipeline.HopEntry) == nil)
	is.True(send(pipeline.HopOwner) == nil) // the limit allows a burst of two seconds
	refusal := send(pipeline.HopEntry)
	is.Equal(refusal.Status, http.StatusTooManyRequests)
	is.Equal(refusal.Verdict, verdict.NotRun)
	is.True(refusal.RetryAfter > 0 && refusal.RetryAfter <= time.Second)
	is.True(send(pipeline.HopRegion) == nil) // counted by its sender
	now = now.Add(refusal.RetryAfter)
	is.True(send(pipeline.HopEntry) == nil) // allowed again after RetryAfter
	is.Equal(served, 4)
}
