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

// engines simulates the engines of all replicas. The host of a request names
// the replica.
type engines struct {
	state         map[string]*Report
	checksFencing bool
	orders        []Order
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
	if e.checksFencing && o.Fence < r.Fence {
		w.WriteHeader(http.StatusConflict)
		return w.Result(), nil
	}
	r.Fence = max(r.Fence, o.Fence)
	e.orders = append(e.orders, o)
	e.apply(r, o)
	return w.Result(), nil
}

func (e *engines) apply(r *Report, o Order) {
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

// newReconciler returns a Reconciler of a gateway in the given region, and its
// clock. Region home has the weight store, and regions home and away have one
// replica each.
func newReconciler(region, version string, e *engines, confirm func() error) (*Reconciler, *clock.Instant) {
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
		s.Config, s.ConfigUnconfirmed = set, false
		s.RegionLastHeartbeat = map[string]clock.Instant{"home": now, "away": now}
	})
	return New(Config{
		Self: self, Publisher: p, Now: func() clock.Instant { return now }, Log: slog.New(slog.DiscardHandler),
		HTTP: e, Confirm: func(context.Context) error { return confirm() },
	}), &now
}

func confirmed() error { return nil }

func TestNewVersionIsLoadedBeforeOldIsUnloaded(t *testing.T) {
	is := is.New(t)
	e := &engines{state: map[string]*Report{"home": {Loaded: []string{"m@1"}, Role: RoleServe}}}
	r, _ := newReconciler("home", "2", e, confirmed)
	r.Reconcile(t.Context())
	is.Equal(e.state["home"].Loaded, []string{"m@2"})
	is.Equal(len(e.orders), 2)
	is.Equal(e.orders[0], Order{Fence: 5, Kind: KindLoad, Model: "m", Version: "2"})
	is.Equal(e.orders[1].Kind, KindUnload)
	r.Reconcile(t.Context())
	is.Equal(len(e.orders), 2) // the replica has the desired state
}

func TestNoOrderWithoutConfirmedConfiguration(t *testing.T) {
	is := is.New(t)
	e := &engines{state: map[string]*Report{"home": {Loaded: []string{"m@1"}, Role: RoleServe}}}
	r, _ := newReconciler("home", "2", e, func() error { return errors.New("configuration service unavailable") })
	r.Reconcile(t.Context())
	is.Equal(len(e.orders), 0)
}

// An engine that checks fencing refuses the orders of a gateway with an old
// configuration.
func TestOldFencingTokenIsRefused(t *testing.T) {
	is := is.New(t)
	e := &engines{checksFencing: true, state: map[string]*Report{"home": {Loaded: []string{"m@3"}, Role: RoleServe, Fence: 6}}}
	r, _ := newReconciler("home", "2", e, confirmed)
	r.Reconcile(t.Context())
	is.Equal(e.state["home"].Loaded, []string{"m@3"})
}

// A gateway with an old configuration can change the state of an engine that
// doesn't check fencing. The designated gateway corrects it with its next
// reconciliation.
func TestWrongStateIsCorrectedByNextReconciliation(t *testing.T) {
	is := is.New(t)
	e := &engines{state: map[string]*Report{"home": {Loaded: []string{"m@2"}, Role: RoleServe}}}
	r, _ := newReconciler("home", "2", e, confirmed)
	r.Reconcile(t.Context())
	is.Equal(len(e.orders), 0)
	e.state["home"] = &Report{Loaded: []string{"m@1"}, Role: "standby", Fence: 4}
	r.Reconcile(t.Context())
	is.Equal(*e.state["home"], Report{Loaded: []string{"m@2"}, Role: RoleServe, Fence: 5})
}

func TestOnlyDesignatedGatewaySendsOrders(t *testing.T) {
	is := is.New(t)
	orders := 0
	for _, vm := range []string{"gw", "gw-2"} {
		e := &engines{state: map[string]*Report{"home": {Role: RoleServe}}}
		r, _ := newReconciler("home", "2", e, confirmed)
		r.Self.VM = vm
		r.Publisher.Update(func(s *snapshot.Snapshot) {
			s.Self.VM = vm
			s.Members = map[string]*snapshot.Member{}
			for _, name := range []string{"gw", "gw-2"} {
				s.Members[name] = &snapshot.Member{Identity: snapshot.Identity{VM: name, Region: "home"}, Reachable: true}
			}
		})
		r.Reconcile(t.Context())
		orders += len(e.orders)
	}
	is.Equal(orders, 1)
}

func TestRegionsLoadInSequenceAndOnlyWithContactToStore(t *testing.T) {
	is := is.New(t)
	e := &engines{state: map[string]*Report{"away": {Loaded: []string{"m@1"}, Role: RoleServe}}}
	r, now := newReconciler("away", "2", e, confirmed)
	r.Reconcile(t.Context())
	is.Equal(len(e.orders), 0) // the store's region loads first, for 10 s
	*now = now.Add(11 * time.Second)
	r.Reconcile(t.Context())
	is.Equal(len(e.orders), 0) // no recent contact with the store's region
	is.Equal(strings.Join(e.state["away"].Loaded, ","), "m@1")
	r.Publisher.Update(func(s *snapshot.Snapshot) { s.RegionLastHeartbeat = map[string]clock.Instant{"home": *now} })
	r.Reconcile(t.Context())
	is.Equal(e.state["away"].Loaded, []string{"m@2"})
}
