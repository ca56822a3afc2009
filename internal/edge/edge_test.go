package edge

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/mesh"
	"github.com/chestnutspring/chestnutspring/internal/revision"
	"github.com/chestnutspring/chestnutspring/internal/roster"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

func member(vm, region, domain string, edit func(m *mesh.Member)) mesh.Member {
	m := mesh.Member{
		Identity:  snapshot.Identity{VM: vm, Region: region, FailureDomain: domain},
		Addresses: mesh.Addresses{Callers: vm}, Ready: true, Reachable: true,
	}
	if edit != nil {
		edit(&m)
	}
	return m
}

func TestDirectoryListsNearestVMsThatAcceptRequests(t *testing.T) {
	leaving := func(m *mesh.Member) { m.Leaving, m.Ready = true, false }
	closing := func(m *mesh.Member) { m.Leaving, m.Closing, m.Ready = true, true, false }
	unreachable := func(m *mesh.Member) { m.Reachable = false }
	tests := []struct {
		name    string
		members []mesh.Member
		at      callerLocation
		want    string
	}{
		{"own failure domain", []mesh.Member{
			member("a1", "n", "n-a", nil), member("a2", "n", "n-a", nil), member("b1", "n", "n-b", nil),
		}, callerLocation{region: "n", domain: "n-a"}, "a1 a2"},
		{"single VM in failure domain", []mesh.Member{
			member("a1", "n", "n-a", nil), member("b1", "n", "n-b", nil), member("w", "w", "w-a", nil),
		}, callerLocation{region: "n", domain: "n-a"}, "a1 b1"},
		{"not ready, leaving or unreachable", []mesh.Member{
			member("a1", "n", "n-a", leaving), member("a2", "n", "n-a", unreachable), member("b1", "n", "n-b", nil),
		}, callerLocation{region: "n", domain: "n-a"}, "b1"},
		{"home region before other regions", []mesh.Member{
			member("w", "w", "w-a", nil), member("s", "s", "s-a", nil),
		}, callerLocation{region: "n", domain: "n-a", homes: []string{"n", "w"}, restricted: true}, "w"},
		{"home region VM that is shutting down before other regions", []mesh.Member{
			member("a1", "n", "n-a", leaving), member("w", "w", "w-a", closing), member("s", "s", "s-a", nil),
		}, callerLocation{region: "n", domain: "n-a", homes: []string{"n", "w"}, restricted: true}, "a1"},
		{"any region", []mesh.Member{member("s", "s", "s-a", nil)}, callerLocation{region: "n", domain: "n-a"}, "s"},
		{"no VM accepts requests", []mesh.Member{member("s", "s", "s-a", closing)}, callerLocation{region: "n", domain: "n-a"}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			list, _ := selectEntries(test.members, test.at)
			is.Equal(strings.Join(list, " "), test.want)
		})
	}
}

func TestCheckListsEveryFault(t *testing.T) {
	is := is.New(t)
	err := (&Settings{Region: "n", FailureDomain: "n-a", Regions: map[string]string{"n-a": "other"}, Seeds: []string{"x"}, RetrySlack: -1}).Check()
	is.True(err != nil)
	for _, want := range []string{"VM is missing", "callers", "registry", `"x"`, "not listed in region n", "grace time", "below 0"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in %v", want, err)
		}
	}
	good := &Settings{
		VM: "a", Region: "n", FailureDomain: "n-a", Regions: map[string]string{"n-a": "n"},
		CallerListen: "10.0.0.1:1", ReadyListen: "10.0.0.1:2", ControlListen: "10.0.0.1:3", HopListen: "10.0.0.1:4", OperatorListen: "10.0.0.1:5",
		RegistryAddress: "10.0.0.2:1", Grace: 8 * time.Second, RetryWindow: 10 * time.Second,
	}
	is.NoErr(good.Check())
}

func TestDirectoryRepeatsVMsByCapacity(t *testing.T) {
	is := is.New(t)
	size := func(capacity float64) func(*mesh.Member) { return func(m *mesh.Member) { m.Capacity = capacity } }
	list, _ := selectEntries([]mesh.Member{
		member("large", "n", "n-a", size(800)), member("small", "n", "n-a", size(100)), member("medium", "n", "n-a", size(250)),
	}, callerLocation{region: "n", domain: "n-a"})
	is.Equal(strings.Join(list, " "), "large small medium large large large large large large large medium")
	// If the capacity of any VM is unknown, each VM is listed once.
	list, _ = selectEntries([]mesh.Member{member("large", "n", "n-a", size(800)), member("other", "n", "n-a", nil)}, callerLocation{region: "n", domain: "n-a"})
	is.Equal(strings.Join(list, " "), "large other")
}

func TestDirectoryListsEveryVMUpToMaxEntries(t *testing.T) {
	is := is.New(t)
	var others []mesh.Member
	for i := range maxEntries - 2 {
		others = append(others, member(fmt.Sprint("small", i), "n", "n-a", func(m *mesh.Member) { m.Capacity = 10 }))
	}
	self := member("large", "n", "n-a", func(m *mesh.Member) { m.Capacity = 1000 })
	list, _ := selectEntries(append([]mesh.Member{self}, others...), callerLocation{region: "n", domain: "n-a"})
	is.Equal(len(list), maxEntries)
	for _, o := range others {
		is.True(slices.Contains(list, o.Callers))
	}
}

// TestFewVMsPollSuspectEngine guards against every VM of a large region polling an
// engine that is already overloaded: all of them notice that it does not respond
// and suspect it.
func TestFewVMsPollSuspectEngine(t *testing.T) {
	is := is.New(t)
	const vms, rounds = 30, 40
	now := clock.Instant(time.Hour)
	server := &roster.Server{Entry: roster.Entry{ID: "writer0", Started: 1}, Revision: 7}
	polls := 0
	for rank := range vms {
		b := balance.New("n", "n-a", balance.Bounds{}, balance.DefaultTuning, nil)
		b.Load(server.Key()).MarkSuspect(now)
		p := &poller{balancer: b, now: func() clock.Instant { return now }, serverRank: func(string, string) (int, int) { return vms, rank }}
		for p.rounds = range rounds {
			if p.shouldPoll(server) {
				polls++
			}
		}
	}
	is.Equal(polls, rounds*suspectPollers+(vms-suspectPollers)*rounds/suspectPollRounds)
}

// TestCalmEngineIsPolledLess covers a day of light load: engines of which the last
// report shows free capacity are polled half as often, and each busy, suspect or
// silent one in every round.
func TestCalmEngineIsPolledLess(t *testing.T) {
	now := clock.Instant(time.Hour)
	server := &roster.Server{Entry: roster.Entry{ID: "writer0", Started: 1, Slots: 16}, Revision: 7}
	calm := balance.Report{Running: 3, MemoryUsed: 10, MemoryTotal: 100, ReceivedAt: now}
	busy, queueing, full, old := calm, calm, calm, calm
	busy.Running, queueing.Queued, full.MemoryUsed, old.ReceivedAt = 9, 1, 60, now.Add(-time.Minute)
	const rounds = 40
	for name, c := range map[string]struct {
		prepare func(l *balance.Load)
		polls   int
	}{
		"no report": {func(*balance.Load) {}, rounds},
		"calm":      {func(l *balance.Load) { l.RecordPollReport(calm) }, rounds / calmPollRounds},
		"busy":      {func(l *balance.Load) { l.RecordPollReport(busy) }, rounds},
		"queueing":  {func(l *balance.Load) { l.RecordPollReport(queueing) }, rounds},
		"full":      {func(l *balance.Load) { l.RecordPollReport(full) }, rounds},
		"old":       {func(l *balance.Load) { l.RecordPollReport(old) }, rounds},
		"suspect":   {func(l *balance.Load) { l.RecordPollReport(calm); l.MarkSuspect(now) }, rounds},
		"silent": {func(l *balance.Load) {
			l.RecordPollReport(calm)
			l.Begin(&balance.Demand{}, &balance.Estimate{}, now.Add(-time.Second)).RecordFirstByte(now.Add(-time.Second))
		}, rounds},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := balance.New("n", "n-a", balance.Bounds{}, balance.DefaultTuning, nil)
			c.prepare(b.Load(server.Key()))
			p := &poller{balancer: b, now: func() clock.Instant { return now }, serverRank: func(string, string) (int, int) { return 7, 0 }}
			polls := 0
			for p.rounds = range rounds {
				if p.shouldPoll(server) {
					polls++
				}
			}
			is.Equal(polls, c.polls)
		})
	}
}

// Guards against RECOVER (issue 42): callers were directed to a VM that reaches few servers,
// although another one of its region reaches all.
func TestDirectoryLeavesOutVMsThatReachFewServers(t *testing.T) {
	is := is.New(t)
	e := newSilentEdge() // VM vm-1 in region r
	for n := range 4 {
		e.roster.Put(roster.Entry{ID: fmt.Sprint("i-", n), Service: "writer", Address: "10.0.0.1:1", FailureDomain: "d", Region: "r", Slots: 4, Started: 1}, revision.Revision(n+1), roster.Event, e.now())
	}
	self := member("vm-1", "r", "d", nil)
	is.Equal(len(e.soundEntries(self)), 1)
	e.mesh.SetUnreached([]string{"i-0", "i-1"})
	is.True(e.reachesMost(&self)) // half of them
	e.mesh.SetUnreached([]string{"i-0", "i-1", "i-2"})
	is.True(!e.reachesMost(&self))
	is.Equal(len(e.soundEntries(self)), 1) // there is no other VM
	sound := member("vm-2", "r", "d", nil)
	is.True(e.reachesMost(&sound))
}
