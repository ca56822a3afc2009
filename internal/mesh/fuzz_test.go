package mesh

import (
	"context"
	"log/slog"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// No record of another VM ends the process, whatever its kind and value.
func FuzzRecord(f *testing.F) {
	for kind, value := range map[gossip.Kind]any{
		gossip.KindMember:    announcement{Incarnation: "1", Region: "north", FailureDomain: "north-a", Capacity: -1},
		gossip.KindHeartbeat: "x",
		gossip.KindLoad:      Load{Usage: map[string]balance.Usage{"i-1": {Active: -1}}, Suspects: []string{""}},
		gossip.KindSummary:   []balance.Summary{{Service: "s", Servers: -1}},
	} {
		data, err := gossip.Encode(value)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(kind), "north/vm-2", uint64(1), data)
	}
	f.Fuzz(func(_ *testing.T, kind uint8, name string, version uint64, value []byte) {
		m := New(Config{
			Self: snapshot.Identity{VM: "vm-1", Incarnation: "1", Region: "north", FailureDomain: "north-a"},
			Now:  clock.Boot, Log: slog.New(slog.DiscardHandler), OnLoad: func(Load) {}, OnRecord: func(gossip.Record) {},
			Configuration: func() (uint64, []byte) { return 0, nil }, OnNewerConfiguration: func(uint64, func(context.Context) ([]byte, error)) {},
		})
		m.mu.Lock()
		m.apply(gossip.Record{Key: gossip.Key{Kind: gossip.Kind(kind), Name: name}, Version: version, Value: value})
		m.mu.Unlock()
		m.Members()
		m.Regions("s")
		m.PeerUsage()
	})
}
