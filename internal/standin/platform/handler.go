package platform

import (
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	wire "github.com/chestnutspring/chestnutspring/internal/published"
)

// maxWait is the maximum duration of a watch.
const maxWait = time.Minute

// Handler returns the HTTP handler for the readers of a region.
func (p *Platform) Handler(region string) http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/values/*", func(w http.ResponseWriter, req *http.Request) {
		p.countCall(region)
		p.serve(w, req, region, chi.URLParam(req, "*"))
	})
	return r
}

func (p *Platform) serve(w http.ResponseWriter, req *http.Request, region, name string) {
	after, wait, err := parseWatch(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s := p.read(region, name)
		if s.outage == OutageError {
			http.Error(w, "the service is down", http.StatusServiceUnavailable)
			return
		}
		if s.outage == OutageNone {
			if wait == 0 || (s.exists && s.version.revision > after) {
				writeValue(w, s)
				return
			}
		}
		select {
		case <-s.changed:
		case <-req.Context().Done():
			return
		case <-expiry(timer, s.outage):
			if s.exists {
				w.Header().Set(wire.HeaderRevision, strconv.FormatUint(s.version.revision, 10))
			}
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// expiry returns the channel that ends a watch, or nil during an outage without
// responses.
func expiry(timer *time.Timer, outage Outage) <-chan time.Time {
	if outage == OutageHang {
		return nil
	}
	return timer.C
}

func writeValue(w http.ResponseWriter, s readState) {
	if !s.exists {
		http.Error(w, "no such value", http.StatusNotFound)
		return
	}
	w.Header().Set(wire.HeaderRevision, strconv.FormatUint(s.version.revision, 10))
	_, _ = w.Write(s.version.data)
}

func parseWatch(req *http.Request) (after uint64, wait time.Duration, err error) {
	q := req.URL.Query()
	if q.Get("wait") == "" {
		return 0, 0, nil
	}
	if wait, err = time.ParseDuration(q.Get("wait")); err != nil {
		return 0, 0, err
	}
	if q.Get("after") != "" {
		after, err = strconv.ParseUint(q.Get("after"), 10, 64)
	}
	return after, max(0, min(wait, maxWait)), err
}
