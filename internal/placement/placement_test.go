package placement

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/objects"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// engines answers for all replicas; the host of a request is the replica.
type engines struct {
	state  map[string]*Report
	checks bool
	orders []Order
}

func (e *engines) Do(req *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	r := e.state[req.URL.Host]
	if req.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(r)
		return w.Result(), nil
	}
	var o Order
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		return nil, err
	}
	if e.checks && o.Fence < r.Fence {
		w.WriteHeader(http.StatusConflict)
		return w.Result(), nil
	}
	r.Fence = max(r.Fence, o.Fence)
	e.orders = append(e.orders, o)
	e.carryOut(r, o)
	return w.Result(), nil
}

func (e *engines) carryOut(r *Report, o Order) {
	name := o.Model + "@" + o.Version
	switch o.Kind {
	case KindLoad:
		r.Loaded = append(r.Loaded, name)
	case KindUnload:
		r.Loaded = slices.DeleteFunc(r.Loaded, func(l string) bool { return l == name })
	case KindRole:
		r.Role = o.Role
	}
}

// newOrderer has region home with the weight store and region away, and one
// replica in each; the gateway is in the given region.
func newOrderer(region, version string, e *engines, confirm func() error) (*Reconciler, *clock.Instant) {
	set := objects.NewSet()
	set.Revision = 5
	for _, name := range []string{"home", "away"} {
		set.Regions[name] = &objects.Region{Name: name, Spec: objects.RegionSpec{
			WeightStore: name == "home", Links: []objects.Link{{MegabitsPerSecond: 80}}}}
		set.FailureDomains[name] = &objects.FailureDomain{Name: name, Spec: objects.FailureDomainSpec{Region: name}}
		set.BackendServers[name] = &objects.BackendServer{Name: name, Spec: objects.BackendServerSpec{
			Address: name, FailureDomain: name, Model: "m", Role: RoleServe}}
	}
	set.Models["m"] = &objects.Model{Name: "m", Spec: objects.ModelSpec{Version: version, WeightMegabytes: 100}}
	set.Index()
	self := snapshot.Identity{VM: "gw", Region: region}
	now := clock.Instant(time.Hour)
	p := snapshot.NewPublisher(self)
	p.Update(func(s *snapshot.Snapshot) {
		s.Config, s.Unconfirmed = set, false
		s.RegionHeard = map[string]clock.Instant{"home": now, "away": now}
	})
	return New(Config{
		Self: self, Publisher: p, Now: func() clock.Instant { return now }, Log: slog.New(slog.DiscardHandler),
		HTTP: e, Confirm: func(context.Context) error { return confirm() },
	}), &now
}

func sure() error { return nil }

func TestANewVersionIsLoadedBeforeTheOldOneGoes(t *testing.T) {
	is := is.New(t)
	e := &engines{state: map[string]*Report{"home": {Loaded: []string{"m@1"}, Role: RoleServe}}}
	o, _ := newOrderer("home", "2", e, sure)
	o.Reconcile(t.Context())
	is.Equal(e.state["home"].Loaded, []string{"m@2"})
	is.Equal(len(e.orders), 2)
	is.Equal(e.orders[0], Order{Fence: 5, Kind: KindLoad, Model: "m", Version: "2"})
	is.Equal(e.orders[1].Kind, KindUnload)
	o.Reconcile(t.Context())
	is.Equal(len(e.orders), 2) // nothing more to order
}

func TestNoOrderWithoutAFreshConfirmation(t *testing.T) {
	is := is.New(t)
	e := &engines{state: map[string]*Report{"home": {Loaded: []string{"m@1"}, Role: RoleServe}}}
	o, _ := newOrderer("home", "2", e, func() error { return errors.New("the service is down") })
	o.Reconcile(t.Context())
	is.Equal(len(e.orders), 0)
}

// A gateway that wakes with an old set is refused by an engine that checks.
func TestAnOldFenceIsRefused(t *testing.T) {
	is := is.New(t)
	e := &engines{checks: true, state: map[string]*Report{"home": {Loaded: []string{"m@3"}, Role: RoleServe, Fence: 6}}}
	o, _ := newOrderer("home", "2", e, sure)
	o.Reconcile(t.Context())
	is.Equal(e.state["home"].Loaded, []string{"m@3"})
}

// What a gateway with an old view did to an engine that doesn't check is
// corrected by the designated one with the next round.
func TestAWrongStateIsCorrectedInTheNextRound(t *testing.T) {
	is := is.New(t)
	e := &engines{state: map[string]*Report{"home": {Loaded: []string{"m@2"}, Role: RoleServe}}}
	o, _ := newOrderer("home", "2", e, sure)
	o.Reconcile(t.Context())
	is.Equal(len(e.orders), 0)
	e.state["home"] = &Report{Loaded: []string{"m@1"}, Role: "standby", Fence: 4}
	o.Reconcile(t.Context())
	is.Equal(*e.state["home"], Report{Loaded: []string{"m@2"}, Role: RoleServe, Fence: 5})
}

func TestOnlyTheDesignatedGatewayOrders(t *testing.T) {
	is := is.New(t)
	orders := 0
	for _, vm := range []string{"gw", "gw-2"} {
		e := &engines{state: map[string]*Report{"home": {Role: RoleServe}}}
		o, _ := newOrderer("home", "2", e, sure)
		o.Self.VM = vm
		o.Publisher.Update(func(s *snapshot.Snapshot) {
			s.Self.VM = vm
			s.Members = map[string]*snapshot.Member{}
			for _, name := range []string{"gw", "gw-2"} {
				s.Members[name] = &snapshot.Member{Identity: snapshot.Identity{VM: name, Region: "home"}, Reachable: true}
			}
		})
		o.Reconcile(t.Context())
		orders += len(e.orders)
	}
	is.Equal(orders, 1)
}

func TestLoadsTakeTurnsAndStopWithoutTheStore(t *testing.T) {
	is := is.New(t)
	e := &engines{state: map[string]*Report{"away": {Loaded: []string{"m@1"}, Role: RoleServe}}}
	o, now := newOrderer("away", "2", e, sure)
	o.Reconcile(t.Context())
	is.Equal(len(e.orders), 0) // the store's region loads first, for 10 s
	*now = now.Add(11 * time.Second)
	o.Reconcile(t.Context())
	is.Equal(len(e.orders), 0) // the store's region has been silent
	is.Equal(strings.Join(e.state["away"].Loaded, ","), "m@1")
	o.Publisher.Update(func(s *snapshot.Snapshot) { s.RegionHeard = map[string]clock.Instant{"home": *now} })
	o.Reconcile(t.Context())
	is.Equal(e.state["away"].Loaded, []string{"m@2"})
}
