package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chestnutspring/chestnutspring/platform/platformtest"
)

const (
	// refusalBytes is the stated length of the body of a stalled refusal, of which one
	// byte is sent every trickleInterval.
	refusalBytes    = 4096
	trickleInterval = 500 * time.Millisecond
	// routeTimeout is the routes' timeout, and requestDeadline how long the clients
	// wait, as for the booking requests of the small deployments.
	routeTimeout    = 3 * time.Second
	requestDeadline = 6 * time.Second
	// troubleShare is the share of the requests that the replica in trouble fails,
	// and troubleTime how long.
	troubleShare = 0.45
	troubleTime  = time.Second
	// bookingReplicas is the number of booking replicas in a zone.
	bookingReplicas = 2
)

func init() { cases["stalled-refusal"] = stalledRefusal }

// stallingReplica is a replica that, while it is in trouble, refuses some of its
// requests and sends the body of the refusal a byte now and then.
type stallingReplica struct {
	replica, full *platformtest.Replica
	inTrouble     atomic.Bool
	stalled       atomic.Int64
}

func (s *stallingReplica) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if strings.HasPrefix(hr.URL.Path, "/-/") || !s.inTrouble.Load() || rand.Float64() >= troubleShare {
		s.replica.ServeHTTP(w, hr)
		return
	}
	refusal := httptest.NewRecorder()
	s.full.ServeHTTP(refusal, hr)
	for name, values := range refusal.Header() {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(refusalBytes))
	w.WriteHeader(refusal.Code)
	s.stalled.Add(1)
	for hr.Context().Err() == nil {
		_, _ = w.Write([]byte("."))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(trickleInterval)
	}
}

// startStalling starts a booking replica whose trouble can be switched on.
func (r *run) startStalling(id, zone string) (*stallingReplica, error) {
	stalling := &stallingReplica{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	stalling.replica, err = r.StartBehindProxy(id, platformtest.PlainService, zone, func(string) (string, error) { return l.Addr().String(), nil })
	if err != nil {
		return nil, err
	}
	stalling.full = &platformtest.Replica{ID: id, Service: platformtest.PlainService, Zone: zone, Executions: r.Executions}
	stalling.full.SetFaults(platformtest.Faults{Shed: true})
	go func() { _ = http.Serve(l, stalling) }()
	return stalling, nil
}

// stalledRefusal checks that requests are answered at their route's timeout while the
// booking replicas fail some of their requests.
func stalledRefusal(r *run) (bool, error) {
	r.Configure(func(config map[string]any) {
		for _, route := range config["routes"].([]any) {
			route.(map[string]any)["timeoutMs"] = routeTimeout.Milliseconds()
		}
	})
	var replicas []*stallingReplica
	for _, zone := range zones {
		if _, err := r.Start("e-"+zone, platformtest.EngineService, zone, ""); err != nil {
			return false, err
		}
		for i := range bookingReplicas {
			s, err := r.startStalling(fmt.Sprintf("d-%s-%d", zone, i+1), zone)
			if err != nil {
				return false, err
			}
			replicas = append(replicas, s)
		}
	}
	if err := r.startVMs(2); err != nil {
		return false, err
	}
	if r.trouble {
		time.AfterFunc(2*time.Second, func() {
			r.note("the booking replicas fail %.0f%% of their requests", 100*troubleShare)
			for _, s := range replicas {
				s.inTrouble.Store(true)
			}
		})
		time.AfterFunc(2*time.Second+troubleTime, func() {
			r.note("the booking replicas are sound again")
			for _, s := range replicas {
				s.inTrouble.Store(false)
			}
		})
	}
	r.load(10, 12*time.Second, func(_ *vm, rng *rand.Rand) platformtest.Call {
		path := platformtest.PathUnsafe + "x"
		if rng.Float64() < 0.4 {
			path = platformtest.PathSafe + "x"
		}
		id := r.nextID()
		return platformtest.Call{Path: path, ID: id, Body: "a booking of " + id, Deadline: requestDeadline}
	})
	for _, s := range replicas {
		r.note("%s stalled %d refusals", s.replica.ID, s.stalled.Load())
	}
	return r.checkTimeouts(routeTimeout), nil
}

// timeoutMargin is the time after a route's timeout by which a request has to be
// answered. The rule is broken if at least minLate requests, and more than a quarter of
// those without an answer at the timeout, have none by then.
const (
	timeoutMargin = 500 * time.Millisecond
	minLate       = 8
)

// checkTimeouts reports whether requests got no answer at their route's timeout.
func (r *run) checkTimeouts(timeout time.Duration) bool {
	open, late, never := 0, 0, 0
	for _, res := range r.results {
		took := res.endedAt.Sub(res.sentAt)
		if took <= timeout {
			continue
		}
		open++
		if took > timeout+timeoutMargin {
			late++
		}
		if res.answer.Status == 0 {
			never++
		}
	}
	r.note("%d requests; %d without an answer after %v; %d of them without one %v later; %d never answered", len(r.results), open, timeout, late, timeoutMargin, never)
	return late >= minLate && 4*late > open
}
