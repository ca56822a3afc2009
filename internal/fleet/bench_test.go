package fleet

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
	"github.com/chestnutspring/chestnutspring/internal/health"
	"github.com/chestnutspring/chestnutspring/internal/membership"
	"github.com/chestnutspring/chestnutspring/internal/peer"
	"github.com/chestnutspring/chestnutspring/internal/published"
	"github.com/chestnutspring/chestnutspring/internal/snapshot"
)

// The size to design for.
const (
	fullRegions  = 18
	fullMembers  = 20 // in each region
	fullBackends = 139
	fullModels   = 10
)

// fullSize returns a fleet that knows a fleet of the size to design for, and
// the records from which it does.
func fullSize(b *testing.B) (*Fleet, []gossip.Record) {
	var regions []string
	for i := range fullRegions {
		regions = append(regions, fmt.Sprintf("region-%02d", i))
	}
	bed := newBed(b, newMemNet(), regions, 0)
	s := shape{regions: fullRegions, members: fullMembers, models: fullModels}
	var addresses []string
	for i := range fullRegions * fullBackends {
		addresses = append(addresses, fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250))
	}
	bed.addBackends(regions, s, addresses)
	n := bed.add(regions[0], 0)
	f := n.Fleet
	f.set = bed.set
	f.tracker.Sync(bed.set, f.cfg.Now())
	records := fullRecords(f, regions)
	for start := 0; start < len(records); start += 500 {
		f.take(peer.Hello{VM: vmName(regions[0], 1)}, records[start:min(start+500, len(records))])
	}
	return f, records
}

func fullRecords(f *Fleet, regions []string) []gossip.Record {
	var records []gossip.Record
	add := func(kind gossip.Kind, name string, value any) {
		records = append(records, gossip.Record{Key: gossip.Key{Kind: kind, Name: name}, Version: 1 << 30, Value: f.encode(value)})
	}
	for r, region := range regions {
		for i := range fullMembers {
			vm := vmName(region, i)
			add(gossip.KindMember, vm, membership.Announcement{
				Incarnation: "0123456789abcdef", Region: region, FailureDomain: region + "-a",
				CallerAddress: "10.0.0.1:8443", ForwardAddress: "10.0.0.1:8444", ControlAddress: "10.0.0.1:8445",
			})
			add(gossip.KindListing, vm, membership.Listing{VM: published.VM{
				Name: vm, Region: region, FailureDomain: region + "-a", Role: published.RoleEntry, State: published.StateLive,
				CallerAddress: "10.0.0.1:8443", ForwardAddress: "10.0.0.1:8444", ControlAddress: "10.0.0.1:8445",
			}})
			if r == 0 {
				add(gossip.KindHeartbeat, vm, membership.Heartbeat{Revision: 14000})
			}
		}
		for i := range fullModels {
			add(gossip.KindSummary, regionName(region, fmt.Sprintf("model-%d", i)), summary{Healthy: 13, Free: 50, DecitokensPerSecond: 400})
		}
		for i := range carriers {
			add(gossip.KindRegion, regionName(region, vmName(region, i)), membership.RegionHeartbeat{})
		}
	}
	for _, name := range f.tracker.Names() {
		add(gossip.KindListing, name, membership.Listing{VM: published.VM{Name: name, Region: regions[0], Role: published.RoleBackend, State: published.StateLive}})
		add(gossip.KindState, name, health.State{Healthy: true, Loaded: []string{"model-1@2026-11"}})
		add(gossip.KindLoad, name, health.Load{Running: 7, Queued: 1, DecitokensPerSecond: 320})
	}
	return records
}

// BenchmarkPublishFullSize is the cost of a whole new snapshot, twice a second.
func BenchmarkPublishFullSize(b *testing.B) {
	f, _ := fullSize(b)
	b.ReportAllocs()
	for b.Loop() {
		f.stale = staleParts{members: true, backends: true, regions: true}
		f.publish(true)
	}
}

// BenchmarkPublishLoadFullSize is the cost of publishing changed load.
func BenchmarkPublishLoadFullSize(b *testing.B) {
	f, _ := fullSize(b)
	b.ReportAllocs()
	for b.Loop() {
		f.stale = staleParts{backends: true}
		f.publish(false)
	}
}

// BenchmarkRolesFullSize is the cost of working out the roles, twice a second.
func BenchmarkRolesFullSize(b *testing.B) {
	f, _ := fullSize(b)
	b.ReportAllocs()
	for b.Loop() {
		now := f.cfg.Now()
		f.assign(f.table.Members(now), now)
	}
}

// BenchmarkTakeLoad is the cost of one neighbour's load record.
func BenchmarkTakeLoad(b *testing.B) {
	f, _ := fullSize(b)
	name := f.tracker.Names()[0]
	version := uint64(1 << 30)
	b.ReportAllocs()
	for b.Loop() {
		version++
		r := gossip.Record{Key: gossip.Key{Kind: gossip.KindLoad, Name: name}, Version: version, Value: f.encode(health.Load{Running: 5})}
		f.take(peer.Hello{VM: vmName("region-00", 1)}, []gossip.Record{r})
	}
}

// BenchmarkHeapFullSize reports the heap of what a fleet knows, with its
// published snapshot and without the configuration.
func BenchmarkHeapFullSize(b *testing.B) {
	for b.Loop() {
		f, records := fullSize(b)
		f.publish(true)
		count := len(records)
		records = nil
		with := heap()
		f.store, f.table, f.tracker = nil, nil, nil
		f.cfg.Publisher.Update(clearFleetPart)
		b.ReportMetric((with-heap())/1024, "heap-KB")
		b.ReportMetric(float64(count), "records")
		runtime.KeepAlive(f)
	}
}

func clearFleetPart(next *snapshot.Snapshot) {
	next.Members, next.Backends, next.Summaries = nil, nil, nil
}
