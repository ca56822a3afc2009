package mesh

import (
	"os"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/gossip/gossiptest"
)

// Guards against VMs of two builds that rejected each other's records while a fleet was upgraded.
func TestRecordsOfEarlierBuilds(t *testing.T) {
	gossiptest.CheckForms[announcement](t, "member")
	gossiptest.CheckForms[Load](t, "load")
	gossiptest.CheckForms[[]balance.Summary](t, "summaries")
}

// Guards against records whose fields an earlier build knows by other names.
func TestRecordsHaveTheNamesOfEarlierBuilds(t *testing.T) {
	gossiptest.CheckNames[announcement](t, "member")
	gossiptest.CheckNames[Load](t, "load")
	gossiptest.CheckNames[[]balance.Summary](t, "summaries")
}

// Guards against a region without servers that served nothing while VMs of an earlier build
// were replaced: these rejected the summaries of the later one. What they read are arrays
// of exactly their own fields, and names.
func TestEarlierBuildsReadLoadsAndSummaries(t *testing.T) {
	for landing, summaries := range map[string]any{
		"0984de7": &[]struct {
			Service                                                     string
			Servers, Slots                                              int
			Active, PrefillBacklogMs, Memory, MemoryTotal               float64
			StallingPerSecond, MinActive, ErrorShare, Slowdown, TokenMs float64
			Limited                                                     bool
		}{},
		"c32ccf6": &[]balance.Summary{},
	} {
		t.Run(landing, func(t *testing.T) {
			is := is.New(t)
			m := fleetFor([]vm{{"a", "north", "north-a", 1}}, vm{"a", "north", "north-a", 1})
			earlier, err := os.ReadFile("testdata/forms/member-fc854cb.msgpack")
			is.NoErr(err)
			m.mu.Lock()
			m.apply(gossip.Record{Key: gossip.Key{Kind: gossip.KindMember, Name: "b"}, Version: 1, Value: earlier})
			m.updateView()
			m.mu.Unlock()
			m.SetSummaries([]balance.Summary{{Service: "s", Servers: 2, TokenMs: 1.5, Cold: true}})
			m.SetLoad(Load{Usage: map[string]balance.Usage{"i-1": {Active: 3}}, Lost: []string{"i-2"}})

			sent, _ := m.store.Get(gossip.Key{Kind: gossip.KindSummary, Name: "north/a"})
			is.NoErr(msgpack.Unmarshal(sent.Value, summaries))
			first := reflect.ValueOf(summaries).Elem().Index(0)
			is.Equal(first.FieldByName("Servers").Interface(), 2)
			is.Equal(first.FieldByName("TokenMs").Interface(), 1.5)

			sent, _ = m.store.Get(gossip.Key{Kind: gossip.KindLoad, Name: "a"})
			var load struct {
				Usage    map[string]struct{ Active, Memory int }
				Suspects []string
			}
			is.NoErr(msgpack.Unmarshal(sent.Value, &load))
			is.Equal(load.Usage["i-1"].Active, 3)
		})
	}
}

// Names take twice the bytes, which a fleet of one build doesn't need.
func TestLoadsAndSummariesHaveNoNamesInAFleetOfOneBuild(t *testing.T) {
	is := is.New(t)
	vms := []vm{{"a", "north", "north-a", 1}, {"b", "north", "north-a", 1}}
	m, other := fleetFor(vms, vms[0]), fleetFor(vms, vms[1])
	other.mu.Lock()
	other.announce()
	announced, _ := other.store.Get(gossip.Key{Kind: gossip.KindMember, Name: "b"})
	other.mu.Unlock()
	m.mu.Lock()
	m.apply(announced)
	m.updateView()
	m.mu.Unlock()
	list := []balance.Summary{{Service: "s", Servers: 2, Cold: true}}
	m.SetSummaries(list)
	want, err := gossip.Encode(list)
	is.NoErr(err)
	sent, _ := m.store.Get(gossip.Key{Kind: gossip.KindSummary, Name: "north/a"})
	is.Equal(sent.Value, want)
}
