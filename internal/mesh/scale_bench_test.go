package mesh

import (
	"context"
	"fmt"
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/balance"
	"github.com/chestnutspring/chestnutspring/internal/gossip"
)

// hundredsOfVMs returns the VMs of a fleet of 3 regions with 2 failure domains
// each, 294 VMs in all.
func hundredsOfVMs() []vm {
	var vms []vm
	for _, region := range []string{"east", "north", "west"} {
		for _, domain := range []string{"a", "b"} {
			for i := range 49 {
				vms = append(vms, vm{fmt.Sprintf("%s-%s-%02d", region, domain, i), region, region + "-" + domain, float64(100 + 100*(i%4))})
			}
		}
	}
	return vms
}

// newLargeMesh returns the mesh of one VM of hundredsOfVMs, which knows the others.
func newLargeMesh() *Mesh {
	vms := hundredsOfVMs()
	return fleetFor(vms, vms[0])
}

func BenchmarkTickFullSize(b *testing.B) {
	m := newLargeMesh()
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // links don't connect
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		m.tick(ctx, n)
	}
}

func BenchmarkServerRankFullSize(b *testing.B) {
	m := newLargeMesh()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		m.ServerRank(fmt.Sprint("server-", n%96), "east-a")
	}
}

func BenchmarkApplyLoadFullSize(b *testing.B) {
	m := newLargeMesh()
	m.OnLoad = func(Load) {}
	load := Load{Usage: map[string]balance.Usage{}, Reports: map[string]balance.Report{}}
	for i := range 3 {
		load.Usage[fmt.Sprint("server-", i)] = balance.Usage{Active: 5, PrefillBacklogUs: 1000, Memory: 10000, TokenUs: 5000}
		load.Reports[fmt.Sprint("server-", i)] = balance.Report{Running: 5, MemoryUsed: 10000, MemoryTotal: 100000}
	}
	for i := range 12 {
		load.CachedBlocks = append(load.CachedBlocks, balance.CachedBlock{Block: uint64(i) * 1e17})
	}
	data, err := gossip.Encode(load)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		m.apply(gossip.Record{Key: gossip.Key{Kind: gossip.KindLoad, Name: "east-a-07"}, Version: uint64(n + 1), Value: data})
	}
}

func BenchmarkPeerUsageFullSize(b *testing.B) {
	m := newLargeMesh()
	for vm, o := range m.members {
		if o.Region == "east" {
			usage := map[string]balance.Usage{}
			for i := range 3 {
				usage[fmt.Sprint("server-", i)] = balance.Usage{Active: 5}
			}
			m.usages[vm] = usageReport{usage: usage, receivedAt: m.Now()}
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		m.PeerUsage()
	}
}
