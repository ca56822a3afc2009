package serverlimit

import (
	"fmt"
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// vm is a VM with the limits that its tracker applied.
type vm struct {
	*Tracker
	now      clock.Instant
	limits   map[roster.ServerKey]float64
	unlisted map[roster.ServerKey]bool
	records  []gossip.Record
}

func newVM() *vm {
	v := &vm{now: clock.Instant(time.Hour), limits: map[roster.ServerKey]float64{}, unlisted: map[roster.ServerKey]bool{}}
	v.Tracker = New(Config{
		Kind: gossip.KindRequestLimit, Name: "request limit of a backend server",
		Now: func() clock.Instant { return v.now }, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		Apply: func(key roster.ServerKey, perSecond float64) bool {
			if v.unlisted[key] {
				return false
			}
			v.limits[key] = perSecond
			return true
		},
		Publish: func(r gossip.Record) { v.records = append(v.records, r) },
	})
	return v
}

func serverOf(id string, started int64) *roster.Server {
	return &roster.Server{Entry: roster.Entry{ID: id, Started: started}}
}

func named(value string) Statement { return Statement{Named: true, Value: value} }

// Guards against a limit that is not the one that the server named last.
func TestLimitFollowsTheLastStatement(t *testing.T) {
	is := is.New(t)
	v, s := newVM(), serverOf("a", 5)
	for _, step := range []struct {
		statement Statement
		source    Source
		want      float64
	}{
		{Statement{}, FromResponse, 0},
		{named("2.4"), FromResponse, 2.4},
		{named("0.3"), FromReport, 0.3},
		{Statement{}, FromReport, 0.3}, // reports may leave it out
		{named("7"), FromResponse, 7},
		{Statement{}, FromResponse, 0},
	} {
		v.Record(OfServer(s), step.statement, step.source)
		is.Equal(v.limits[s.Key()], step.want)
	}
}

// Guards against values that are no positive number: they change nothing.
func TestMalformedLimitIsIgnored(t *testing.T) {
	is := is.New(t)
	v, s := newVM(), serverOf("a", 5)
	values := []string{"", " ", "0", "-1", "-0.5", "NaN", "Inf", "+Inf", "1e999", "many", "2,4", "3/s", "0x"}
	for _, value := range values {
		v.Record(OfServer(s), named(value), FromResponse)
		is.Equal(v.limits[s.Key()], 0.0)
	}
	v.Record(OfServer(s), named("2"), FromResponse)
	for _, value := range values {
		v.Record(OfServer(s), named(value), FromResponse)
		is.Equal(v.limits[s.Key()], 2.0)
	}
}

// Guards against a limit that outlives its server: one that starts again under the
// same ID has none, and late records of the earlier incarnation don't count.
func TestLimitEndsWithItsIncarnation(t *testing.T) {
	is := is.New(t)
	v, other := newVM(), newVM()
	before, after := serverOf("a", 5), serverOf("a", 6)
	v.Record(OfServer(before), named("2"), FromResponse)
	v.Tick(v.now)
	is.Equal(v.limits[after.Key()], 0.0)
	v.Record(OfServer(after), named("3"), FromResponse)
	v.Tick(v.now)
	is.Equal(len(v.records), 2)
	is.True(v.records[1].Version > v.records[0].Version)
	other.ApplyRecord(v.records[1])
	other.ApplyRecord(v.records[0])
	is.Equal(other.limits[after.Key()], 3.0)
}

// Guards against VMs that keep a limit that the server has changed or ended, whatever
// order the records of several VMs arrive in.
func TestVMsAgreeOnTheLastLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := []*vm{newVM(), newVM(), newVM(), newVM()}
		store := map[*vm]gossip.Record{}
		s := serverOf("a", 5)
		var inFlight []func()
		// deliver merges a record as a gossip store does.
		deliver := func(to *vm, r gossip.Record) {
			if old, ok := store[to]; ok && (r.Version < old.Version || r.Version == old.Version && string(r.Value) <= string(old.Value)) {
				return
			}
			store[to] = r
			to.ApplyRecord(r)
		}
		step := func(v *vm, statement Statement) {
			v.Record(OfServer(s), statement, FromResponse)
			v.Tick(v.now)
			for _, r := range v.records {
				for _, to := range vms {
					if to == v {
						if old, ok := store[v]; !ok || r.Version > old.Version {
							store[v] = r
						}
						continue
					}
					inFlight = append(inFlight, func() { deliver(to, r) })
				}
			}
			v.records = nil
		}
		flush := func(n int) {
			for ; n > 0 && len(inFlight) > 0; n-- {
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "record")
				inFlight[i]()
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "statements") {
			value := rapid.SampledFrom([]Statement{{}, named("2"), named("3"), named("0.5")}).Draw(t, "statement")
			step(vms[rapid.IntRange(0, 2).Draw(t, "VM")], value)
			flush(rapid.IntRange(0, 4).Draw(t, "delivered"))
		}
		// The server says the same from now on, to the first three VMs.
		for range 4 {
			for _, v := range vms[:3] {
				step(v, named("1"))
			}
			flush(len(inFlight))
		}
		for i, v := range vms {
			if got := v.limits[s.Key()]; got != 1 {
				t.Fatalf("VM %d applies %v", i, got)
			}
		}
	})
}

// Guards against a limit that is lost because the registry lists the server later,
// and against memory that grows with servers that come and go.
func TestLimitsOfUnlistedServersAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	v, s := newVM(), serverOf("a", 5)
	v.unlisted[s.Key()] = true
	v.Record(OfServer(s), named("2"), FromResponse)
	v.now = v.now.Add(unlistedLifetime / 2)
	v.Tick(v.now)
	is.Equal(v.limits[s.Key()], 0.0)
	v.unlisted[s.Key()] = false
	v.Tick(v.now)
	is.Equal(v.limits[s.Key()], 2.0)
	v.unlisted[s.Key()] = true
	v.now = v.now.Add(unlistedLifetime + time.Second)
	v.Tick(v.now)
	is.Equal(len(v.servers), 0)
	for i := range 2 * maxServers {
		v.Record(OfServer(serverOf(fmt.Sprint("s", i), 1)), named("2"), FromResponse)
	}
	is.Equal(len(v.servers), maxServers)
}

// No record of another VM ends the process or sets a limit that isn't a rate.
func FuzzRecord(f *testing.F) {
	for _, limit := range []limitRecord{{Started: 5, PerSecond: 2.5}, {Started: -1, PerSecond: 1e308}, {PerSecond: math.Inf(1)}} {
		data, err := gossip.Encode(limit)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint64(7), data)
	}
	f.Fuzz(func(t *testing.T, version uint64, value []byte) {
		v := newVM()
		v.ApplyRecord(gossip.Record{Key: gossip.Key{Kind: gossip.KindRequestLimit, Name: "a"}, Version: version, Value: value})
		v.Tick(v.now)
		for key, limit := range v.limits {
			if !(limit >= 0) || math.IsInf(limit, 0) {
				t.Errorf("limit of %v: %v", key, limit)
			}
		}
	})
}
