package edge

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/ingress"
	"github.com/chestnutspring/chestnutspring/internal/mesh"
	"github.com/chestnutspring/chestnutspring/internal/quota"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
	"github.com/chestnutspring/chestnutspring/internal/upstream"
)

// limitFleet are VMs of two regions that exchange units over loopback connections.
type limitFleet struct {
	vms   []*teamLimits
	table atomic.Pointer[ingress.Table]
	// messages counts those between VMs.
	messages atomic.Int64
}

// startLimitFleet starts VMs that know of each other and believe that active VMs exist.
func startLimitFleet(t *testing.T, vms, active int, team *ingress.Team) *limitFleet {
	t.Helper()
	f := &limitFleet{}
	f.setTeam(1, team)
	var members []mesh.Member
	for i := range vms {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
			f.messages.Add(1)
			f.vms[i].ServeHTTP(w, hr)
		}))
		t.Cleanup(server.Close)
		members = append(members, member(fmt.Sprint("vm-", i), []string{"north", "west"}[i%2], "", func(m *mesh.Member) { m.Hops = server.Listener.Addr().String() }))
	}
	settings := &Settings{LimitWindow: 8 * time.Second, LimitOverage: 0.25, LimitSlack: 2000, FirstStart: true}
	for i := range members {
		others := append(append([]mesh.Member{}, members[:i]...), members[i+1:]...)
		f.vms = append(f.vms, newTeamLimits(settings, limitsConfig{
			Self: snapshot.Identity{VM: members[i].VM, Incarnation: fmt.Sprint("process-", i), Region: members[i].Region},
			Now:  clock.Boot, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, Table: f.table.Load,
			Members: func() []mesh.Member { return others }, ActiveVMs: func() int { return active },
			Accepts: func() bool { return true }, Capacity: func() float64 { return 100 }, Pool: upstream.NewPool(clock.Boot, time.Second),
		}))
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	for _, vm := range f.vms {
		go func() { _ = vm.run(ctx); done <- struct{}{} }()
	}
	t.Cleanup(func() {
		stop()
		for range f.vms {
			<-done
		}
	})
	return f
}

// setTeam replaces the configuration by one with the team.
func (f *limitFleet) setTeam(version uint64, team *ingress.Team) {
	f.table.Store(ingress.NewTable(version, nil, nil, ingress.Limits{}, team))
}

// ask sends requests of 10 units for a while, and returns the units that were admitted.
func (f *limitFleet) ask(team *ingress.Team, perSecond int, during time.Duration) (admitted, refused int) {
	start := time.Now()
	for i := range int(during.Seconds() * float64(perSecond) / 10) {
		time.Sleep(time.Until(start.Add(time.Duration(float64(i) * 10 / float64(perSecond) * float64(time.Second)))))
		if _, ok := f.vms[i%len(f.vms)].Admit(context.Background(), team, 10, 250*time.Millisecond); ok {
			admitted += 10
		} else {
			refused += 10
		}
	}
	return admitted, refused
}

// Guards against refusals below the limit and use above the bound, with exchanges between VMs
// and owners, and between VMs and the agents of their regions in a large fleet.
func TestVMsShareLimitOfTeam(t *testing.T) {
	for _, active := range []int{4, 4 * quota.MaxUnsupplied} {
		t.Run(fmt.Sprint(active), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			team := &ingress.Team{Name: "team", Limit: ingress.TeamLimit{PerSecond: 1000, Burst: 1000}}
			// A part of the shares belongs to VMs that don't exist here.
			team.Limit.PerSecond *= float64(active) / 4
			f := startLimitFleet(t, 4, active, team)
			f.ask(team, 200, time.Second)
			_, refused := f.ask(team, 500, 2*time.Second)
			is.Equal(refused, 0)
			admitted, refused := f.ask(team, 4000, 3*time.Second)
			is.True(refused > 0)
			excess := 0.25*(team.Limit.PerSecond*8+team.Limit.Burst) + 2000
			is.True(float64(admitted) <= 1500*3+team.Limit.Burst+excess)
		})
	}
}

// Guards against messages between VMs where no team has a limit, and against limits that hold
// after the configuration has lifted them.
func TestNothingIsSentWithoutLimits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	free := &ingress.Team{Name: "team"}
	f := startLimitFleet(t, 3, 3, free)
	time.Sleep(500 * time.Millisecond)
	is.Equal(f.messages.Load(), int64(0))
	limited := &ingress.Team{Name: "team", Limit: ingress.TeamLimit{PerSecond: 1}}
	f.setTeam(2, limited)
	_, refused := f.ask(limited, 100_000, 500*time.Millisecond)
	is.True(refused > 0)
	f.setTeam(3, free)
	_, refused = f.ask(limited, 10_000, 100*time.Millisecond) // requests by the configuration before
	is.Equal(refused, 0)
	sent := f.messages.Load()
	time.Sleep(300 * time.Millisecond) // exchanges in flight have ended
	sent = max(sent, f.messages.Load())
	time.Sleep(2200 * time.Millisecond)
	is.Equal(f.messages.Load(), sent)
}

// Guards against a VM that stops for malformed messages of another one.
func TestMalformedMessagesAreRefused(t *testing.T) {
	is := is.New(t)
	f := startLimitFleet(t, 1, 1, &ingress.Team{Name: "team", Limit: ingress.TeamLimit{PerSecond: 1}})
	for _, body := range []string{"", "{", `{"vm":"a","shard":7}`, `{"vm":"a","shard":-1,"supply":true}`, `{"shard":0}`, `[]`, strings.Repeat(" ", maxQuotaBytes+1)} {
		w := httptest.NewRecorder()
		f.vms[0].ServeHTTP(w, httptest.NewRequest(http.MethodPost, pathQuota, strings.NewReader(body)))
		is.Equal(w.Code, http.StatusBadRequest)
	}
	w := httptest.NewRecorder()
	body := `{"vm":"a","shard":0,"owner":"process-0","at":-9223372036854775808,"delegateMs":9223372036854775807,"active":-5,"teams":[{"t":"team","w":-1,"l":-1,"u":-1,"r":-1},{"t":"other","w":5}]}`
	f.vms[0].ServeHTTP(w, httptest.NewRequest(http.MethodPost, pathQuota, strings.NewReader(body)))
	is.Equal(w.Code, http.StatusOK)
}
