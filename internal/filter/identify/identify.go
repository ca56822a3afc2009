// Package identify refuses requests of unknown teams and unknown services.
package identify

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// retryWithoutConfig is when a caller may try a gateway again that has no
// configuration.
const retryWithoutConfig = time.Second

// New returns the filter. It resolves the service and the call of a service
// request and decides whether the request is idempotent. The model of a model
// request is known only after its body was read.
func New() pipeline.Filter {
	return func(next pipeline.Handler) pipeline.Handler {
		return pipeline.HandlerFunc(func(ctx context.Context, req *pipeline.Request, w pipeline.Response) *verdict.Refusal {
			if refusal := identify(req); refusal != nil {
				return refusal
			}
			return next.Handle(ctx, req, w)
		})
	}
}

func identify(req *pipeline.Request) *verdict.Refusal {
	config := req.Snapshot.Config
	if config.Revision == 0 {
		return verdict.Busy(verdict.CodeUnknownConfigured, "this gateway has no configuration yet", retryWithoutConfig)
	}
	if config.Teams[req.Team] == nil {
		return verdict.Refuse(http.StatusForbidden, verdict.CodeUnknownTeam, "the header "+wire.HeaderTeam+" names no known team")
	}
	if strings.HasPrefix(req.Path, wire.PathServices) {
		return identifyService(req)
	}
	req.Idempotent = true
	return nil
}

func identifyService(req *pipeline.Request) *verdict.Refusal {
	name, rest, _ := strings.Cut(strings.TrimPrefix(req.Path, wire.PathServices), "/")
	service := req.Snapshot.Config.Services[name]
	if service == nil {
		return verdict.Refuse(http.StatusNotFound, verdict.CodeUnknownService, "no service has this name")
	}
	path, _, _ := strings.Cut("/"+rest, "?")
	call := req.Snapshot.Config.CallOf(name, req.Method, path)
	if call == nil {
		return verdict.Refuse(http.StatusNotFound, verdict.CodeUnknownService, "the service has no such call")
	}
	req.Target, req.Service, req.Call = name, service, call
	req.Path = "/" + rest
	req.Idempotent = call.Idempotent
	if req.Idempotent {
		req.Key = ""
		return nil
	}
	if req.Key == "" {
		return verdict.Refuse(http.StatusBadRequest, verdict.CodeKeyMissing, "this call needs the header "+wire.HeaderIdempotencyKey)
	}
	return nil
}
