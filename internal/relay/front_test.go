package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
)

// deadlineRecorder records the write deadline of a connection.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	write time.Time
}

func (*deadlineRecorder) SetReadDeadline(time.Time) error { return nil }

func (d *deadlineRecorder) SetWriteDeadline(t time.Time) error {
	d.write = t
	return nil
}

// deadlineProtocol reads requests with a deadline.
type deadlineProtocol struct {
	anyProtocol
	deadline time.Duration
}

func (p deadlineProtocol) Accept(_ *http.Request, now clock.Instant) (*Request, error) {
	req := &Request{ID: "q", Host: "h", Path: "/a/x"}
	if p.deadline > 0 {
		req.Deadline = now.Add(p.deadline)
	}
	return req, nil
}

// The writes of a response are bounded by the request's deadline or, without one, by its
// route's timeout, which may be longer than the default.
func TestWritesAreBoundedByDeadlineOrTimeout(t *testing.T) {
	is := is.New(t)
	x := hopTransaction(1)
	x.Config.Refusing = func() bool { return false }
	route := &ingress.Route{Name: "a", Host: "h", Prefix: "/a/", Timeout: time.Hour}
	x.Config.Table = func() *ingress.Table { return ingress.NewTable(1, []*ingress.Route{route}, nil, ingress.Limits{}) }
	for _, c := range []struct{ timeout, deadline, want time.Duration }{
		{time.Hour, 0, time.Hour}, {0, 0, defaultTimeout}, {time.Hour, time.Second, time.Second},
	} {
		route.Timeout = c.timeout
		x.Protocol = deadlineProtocol{deadline: c.deadline}
		w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
		_, refusal := x.readRequest(w, httptest.NewRequest(http.MethodGet, "/a/x", nil), nil)
		is.True(refusal == nil)
		is.Equal(time.Until(w.write).Round(100*time.Millisecond), c.want+writeMargin)
	}
}

// Guards against issue 45 (LOST): the response to a request that came before the shutdown left
// its connection open, so that its caller sent the next request to a VM that shuts down.
func TestResponseThatBeginsDuringAShutdownClosesItsConnection(t *testing.T) {
	is := is.New(t)
	r, leaving := hopTransaction(1).Relay, false
	r.Protocol = deadlineProtocol{deadline: time.Minute}
	r.Leaving = func() bool { return leaving }
	r.Refusing = func() bool { return false }
	r.Table = func() *ingress.Table {
		defer func() { leaving = true }() // after the request has arrived
		return nil
	}
	w := httptest.NewRecorder()
	r.CallerHandler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/a/x", nil))
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Connection"), "close")
}
