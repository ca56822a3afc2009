package residency

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
)

// unreadable is a body that fails the test when it is read.
type unreadable struct{ t *testing.T }

func (u unreadable) Read([]byte) (int, error) {
	u.t.Error("the body was read")
	return 0, errors.New("unreadable")
}

func restrictedRequest(t *testing.T, region string) *pipeline.Request {
	set := objects.NewSet()
	set.ResidencyRules["kr"] = &objects.ResidencyRule{Name: "kr", Spec: objects.ResidencyRuleSpec{Regions: []string{"jeju"}}}
	set.Teams["bound"] = &objects.Team{Name: "bound", Spec: objects.TeamSpec{Home: "jeju", Residency: "kr"}}
	set.Index()
	members := map[string]*snapshot.Member{
		"jeju-1":  {Identity: snapshot.Identity{VM: "jeju-1", Region: "jeju"}, CallerAddress: "127.0.0.1:1"},
		"jeju-2":  {Identity: snapshot.Identity{VM: "jeju-2", Region: "jeju"}, CallerAddress: "127.0.0.1:2", Leaving: true},
		"busan-1": {Identity: snapshot.Identity{VM: "busan-1", Region: "busan"}, CallerAddress: "127.0.0.1:3"},
	}
	snap := &snapshot.Snapshot{Self: snapshot.Identity{Region: region}, Config: set, Members: members}
	return &pipeline.Request{Hop: pipeline.HopEntry, Team: "bound", Snapshot: snap, RawBody: unreadable{t}}
}

func TestWrongEntryIsRefusedBeforeTheBodyIsRead(t *testing.T) {
	is := is.New(t)
	handler := pipeline.Chain(pipeline.HandlerFunc(func(context.Context, *pipeline.Request, pipeline.Response) *verdict.Refusal {
		t.Error("the request passed")
		return nil
	}), New())
	refusal := handler.Handle(context.Background(), restrictedRequest(t, "busan"), nil)
	is.Equal(refusal.Status, http.StatusMisdirectedRequest)
	is.Equal(refusal.Verdict, verdict.NotRun)
	is.Equal(refusal.Entries, []string{"127.0.0.1:1"})
}

func TestHopReceiverChecksItsOwnConfiguration(t *testing.T) {
	is := is.New(t)
	req := restrictedRequest(t, "busan")
	req.Hop = pipeline.HopRegion
	refusal := New()(nil).Handle(context.Background(), req, nil)
	is.Equal(refusal.Code, verdict.CodeResidency)
	is.Equal(refusal.Verdict, verdict.NotRun)
}
