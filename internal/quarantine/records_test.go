package quarantine

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/roster"
)

// newIsolatedTracker returns the tracker of a VM without others, whose clock is *now.
func newIsolatedTracker(now *clock.Instant) *Tracker {
	return New(Config{
		VM: "vm", Now: func() clock.Instant { return *now }, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
		Running:    func(context.Context, *roster.Server) bool { return true },
		Servers:    func() int { return 10 },
		ServersOf:  func(string) int { return 10 },
		PublishOwn: func(gossip.Kind, string, []byte) {}, Publish: func(gossip.Record) {},
	})
}

// quarantineOf returns the record of a quarantine for the remaining time.
func quarantineOf(block, version uint64, remaining time.Duration) gossip.Record {
	value, err := gossip.Encode(quarantineRecord{RemainingMs: remaining.Milliseconds(), Times: 1})
	if err != nil {
		panic(err)
	}
	return gossip.Record{Key: gossip.Key{Kind: gossip.KindQuarantine, Name: traitName(block)}, Version: version, Value: value}
}

func TestNewestDecisionOnABlockHolds(t *testing.T) {
	is := is.New(t)
	now := at(0)
	v := newIsolatedTracker(&now)
	v.ApplyRecord(quarantineOf(7, 3, time.Minute))
	v.ApplyRecord(quarantineOf(7, 2, 0)) // an earlier release
	block, remaining, found := v.Find(Traits{Blocks: []uint64{5, 7}}, now)
	is.True(found)
	is.Equal(block, uint64(7))
	is.Equal(remaining, time.Minute)
	v.ApplyRecord(quarantineOf(7, 4, 0))
	_, _, found = v.Find(Traits{Blocks: []uint64{5, 7}}, now)
	is.True(!found)
}

func TestQuarantineEndsAndIsBounded(t *testing.T) {
	is := is.New(t)
	now := at(0)
	v := newIsolatedTracker(&now)
	v.ApplyRecord(quarantineOf(7, 1, 1000*time.Hour))
	_, remaining, _ := v.Find(Traits{Blocks: []uint64{7}}, now)
	is.Equal(remaining, maxDuration)
	now = now.Add(maxDuration)
	v.Tick(now)
	_, _, found := v.Find(Traits{Blocks: []uint64{7}}, now)
	is.True(!found)
	is.Equal(v.thresholds(&suspect{trait: 7}, minEpisodes, now)[0].crashes, 1) // one more crash is sufficient
	v.RecordSurvival("", Traits{Blocks: []uint64{7}}, now, now.Add(time.Millisecond))
	is.Equal(v.thresholds(&suspect{trait: 7}, minEpisodes, now)[0].crashes, minEpisodes)
}

func TestRequestThatSurvivesReleasesItsBlock(t *testing.T) {
	is := is.New(t)
	now := at(10)
	v := newIsolatedTracker(&now)
	v.ApplyRecord(quarantineOf(7, 1, time.Minute))                  // its first crash was just now
	v.RecordSurvival("", Traits{Blocks: []uint64{7}}, at(1), at(2)) // began before
	_, _, found := v.Find(Traits{Blocks: []uint64{7}}, now)
	is.True(found)
	v.RecordSurvival("", Traits{Blocks: []uint64{7}}, at(10), at(11))
	_, _, found = v.Find(Traits{Blocks: []uint64{7}}, now)
	is.True(!found)
}

// FuzzRecords applies arbitrary records of other VMs: none may crash this one.
func FuzzRecords(f *testing.F) {
	evidence, err := encodeEvidence([]*ownCrash{{address: "a", lost: loss{prompts: []prompt{{Blocks: []uint64{1, 2}, Requests: -1}}}}}, []ownSurvival{{trait: 1}}, at(1))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint8(gossip.KindEvidence), "vm-1", uint64(1), evidence)
	f.Add(uint8(gossip.KindQuarantine), "7", uint64(1), quarantineOf(7, 1, time.Minute).Value)
	f.Add(uint8(gossip.KindQuarantine), "no block", uint64(1), []byte("nonsense"))
	f.Fuzz(func(t *testing.T, kind uint8, name string, version uint64, value []byte) {
		now := at(100)
		v := newIsolatedTracker(&now)
		v.ApplyRecord(gossip.Record{Key: gossip.Key{Kind: gossip.Kind(kind), Name: name}, Version: version, Value: value})
		v.Tick(now)
		for _, s := range v.suspects {
			if s.requests < len(s.times) {
				t.Fatalf("%d requests with block %x in %d crashes", s.requests, s.trait, len(s.times))
			}
		}
	})
}
