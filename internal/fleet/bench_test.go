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

// The design size of the system.
const (
	fullSizeRegions           = 18
	fullSizeMembersPerRegion  = 20 // in each region
	fullSizeBackendsPerRegion = 139
	fullSizeModels            = 10
)

// newFullSizeFleet returns a Fleet that has merged the records of a system of the
// design size, and those records.
func newFullSizeFleet(b *testing.B) (*Fleet, []gossip.Record) {
	var regions []string
	for i := range fullSizeRegions {
		regions = append(regions, fmt.Sprintf("region-%02d", i))
	}
	bed := newTestCluster(b, newMemNet(), regions, 0)
	s := fleetSize{regions: fullSizeRegions, members: fullSizeMembersPerRegion, models: fullSizeModels}
	var addresses []string
	for i := range fullSizeRegions * fullSizeBackendsPerRegion {
		addresses = append(addresses, fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250))
	}
	bed.addBackends(regions, s, addresses)
	n := bed.add(regions[0], 0)
	f := n.Fleet
	f.config = bed.set
	f.tracker.Sync(bed.set, f.cfg.Now())
	records := fullSizeRecords(f, regions)
	for start := 0; start < len(records); start += 500 {
		f.mergeRecords(peer.Hello{VM: vmName(regions[0], 1)}, records[start:min(start+500, len(records))])
	}
	return f, records
}

func fullSizeRecords(f *Fleet, regions []string) []gossip.Record {
	var records []gossip.Record
	add := func(kind gossip.Kind, name string, value any) {
		records = append(records, gossip.Record{Key: gossip.Key{Kind: kind, Name: name}, Version: 1 << 30, Value: f.encode(value)})
	}
	for r, region := range regions {
		for i := range fullSizeMembersPerRegion {
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
		for i := range fullSizeModels {
			add(gossip.KindSummary, regionRecordName(region, fmt.Sprintf("model-%d", i)), summary{Healthy: 13, Free: 50, DecitokensPerSecond: 400})
		}
		for i := range carriersPerRegion {
			add(gossip.KindRegion, regionRecordName(region, vmName(region, i)), membership.RegionHeartbeat{})
		}
	}
	for _, name := range f.tracker.Names() {
		add(gossip.KindListing, name, membership.Listing{VM: published.VM{Name: name, Region: regions[0], Role: published.RoleBackend, State: published.StateLive}})
		add(gossip.KindState, name, health.State{Healthy: true, Loaded: []string{"model-1@2026-11"}})
		add(gossip.KindLoad, name, health.Load{Running: 7, Queued: 1, DecitokensPerSecond: 320})
	}
	return records
}

// BenchmarkPublishFullSize measures publishing a complete snapshot, which happens
// twice a second.
func BenchmarkPublishFullSize(b *testing.B) {
	f, _ := newFullSizeFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		f.stale = staleViews{members: true, backends: true, regions: true}
		f.publish(true)
	}
}

// BenchmarkPublishLoadFullSize measures publishing changed load.
func BenchmarkPublishLoadFullSize(b *testing.B) {
	f, _ := newFullSizeFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		f.stale = staleViews{backends: true}
		f.publish(false)
	}
}

// BenchmarkRolesFullSize measures assigning the roles, which happens twice a
// second.
func BenchmarkRolesFullSize(b *testing.B) {
	f, _ := newFullSizeFleet(b)
	b.ReportAllocs()
	for b.Loop() {
		now := f.cfg.Now()
		f.assignRoles(f.table.Members(now), now)
	}
}

// BenchmarkTakeLoad measures merging one load record from a peer.
func BenchmarkTakeLoad(b *testing.B) {
	f, _ := newFullSizeFleet(b)
	name := f.tracker.Names()[0]
	version := uint64(1 << 30)
	b.ReportAllocs()
	for b.Loop() {
		version++
		r := gossip.Record{Key: gossip.Key{Kind: gossip.KindLoad, Name: name}, Version: version, Value: f.encode(health.Load{Running: 5})}
		f.mergeRecords(peer.Hello{VM: vmName("region-00", 1)}, []gossip.Record{r})
	}
}

// BenchmarkHeapFullSize reports the heap size of a Fleet's records and published
// snapshot, without the configuration.
func BenchmarkHeapFullSize(b *testing.B) {
	for b.Loop() {
		f, records := newFullSizeFleet(b)
		f.publish(true)
		count := len(records)
		records = nil
		before := heapBytes()
		f.store, f.table, f.tracker = nil, nil, nil
		f.cfg.Publisher.Update(clearFleetViews)
		b.ReportMetric((before-heapBytes())/1024, "heap-KB")
		b.ReportMetric(float64(count), "records")
		runtime.KeepAlive(f)
	}
}

func clearFleetViews(next *snapshot.Snapshot) {
	next.Members, next.Backends, next.Summaries = nil, nil, nil
}
