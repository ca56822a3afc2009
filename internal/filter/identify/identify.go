// Package identify resolves the team and the service of requests and refuses
// unknown ones.
package identify

import (
	"context"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/pipeline"
	"github.com/chestnutspring/chestnutspring/internal/verdict"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// retryWithoutConfig is the time after which a caller may retry at a gateway that
// has no configuration.
const retryWithoutConfig = time.Second

// New returns the filter. It resolves the service and the call of a service
// request and determines whether the request is idempotent. The model of a model
// request is resolved by package body, after the body was read.
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
		return verdict.Busy(verdict.CodeNoConfiguration, "this gateway has no configuration yet", retryWithoutConfig)
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
	if !isPlainPath(req.Path) {
		return verdict.Refuse(http.StatusBadRequest, verdict.CodeBadRequest, "the path has empty, . or .. parts, or can't be decoded")
	}
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

// isPlainPath reports whether the path is unambiguous. A backend server may
// resolve a segment such as ".." and execute another call than the one matched in
// the configuration.
func isPlainPath(target string) bool {
	escaped, _, _ := strings.Cut(target, "?")
	path, err := url.PathUnescape(escaped)
	if err != nil || strings.ContainsRune(path, '\\') {
		return false
	}
	segments := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for i, segment := range segments {
		isLast := i == len(segments)-1
		if segment == "." || segment == ".." || segment == "" && !isLast {
			return false
		}
	}
	return true
}
