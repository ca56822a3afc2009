package identify

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

func deskRequest(path string) *pipeline.Request {
	set := objects.NewSet()
	set.Revision = 1
	set.Teams["team-1"] = &objects.Team{Name: "team-1"}
	set.Services["desk"] = &objects.Service{Name: "desk", Spec: objects.ServiceSpec{Calls: []objects.Call{
		{Method: http.MethodPost, PathPrefix: "/search", Idempotent: true},
		{Method: http.MethodPost, PathPrefix: "/bookings"},
	}}}
	set.Index()
	return &pipeline.Request{
		Snapshot: &snapshot.Snapshot{Config: set}, Team: "team-1", Method: http.MethodPost,
		Path: wire.PathServices + "desk" + path,
	}
}

// Guards against duplicate execution: a path that a backend server could resolve
// to a non-idempotent call must not match an idempotent one, which may be sent
// more than once.
func TestAmbiguousPathsAreRefused(t *testing.T) {
	for _, path := range []string{
		"/search/../bookings", "/search/%2e%2e/bookings", "/search/%2E./bookings", "/./bookings",
		"//bookings", "/search//x", "/search\\..\\bookings", "/search/%5c..%5cbookings", "/search/%zz",
	} {
		is := is.New(t)
		refusal := identify(deskRequest(path))
		is.True(refusal != nil) // refused
		is.Equal(refusal.Code, verdict.CodeBadRequest)
	}
}

func TestPlainPathsKeepTheirQuery(t *testing.T) {
	is := is.New(t)
	req := deskRequest("/search/spots/?near=..//x")
	is.Equal(identify(req), nil)
	is.True(req.Idempotent)
	is.Equal(req.Path, "/search/spots/?near=..//x")
}
