package resume

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/gossip"
)

const (
	// memoryTarget is the memory in bytes of a VM's process among 300 VMs and 200 servers. Half
	// of it is for requests, the collector lets the heap grow to twice what is live, and the
	// streams are one of fleetParts parts of what a VM knows of the fleet.
	memoryTarget = 40 << 20
	fleetParts   = 5
)

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what has finalizers
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against VMs above the memory that issue 22 allows at 300 VMs and 200 servers: each of
// the fleet's streams was kept with the names of its service and its software version.
func TestStreamsOfALargeFleetStayWithinTheirMemory(t *testing.T) {
	is := is.New(t)
	const vms, streamsPerSecond = 300, 6
	f := newFleet()
	m := f.start("vm-0", true, "v1")
	before := liveHeap()
	for vm := 1; vm < vms; vm++ {
		for part := range slots - 1 {
			r := streamsRecord{Origins: []Origin{{"writer", "v1"}}}
			for n := range streamsPerSecond * int(slotWidth.Seconds()) {
				r.Hashes = binary.LittleEndian.AppendUint64(r.Hashes, hashOf(fmt.Sprint(vm, part, n)))
				r.Which = append(r.Which, 0)
			}
			data, err := gossip.Encode(r)
			is.NoErr(err)
			m.ApplyRecord(gossip.Record{Key: gossip.Key{Kind: gossip.KindStreams, Name: fmt.Sprint("vm-", vm, "/", part)}, Version: 1, Value: data})
		}
	}
	used := liveHeap() - before
	t.Logf("%d KB for %d streams", used>>10, m.count())
	is.True(used <= memoryTarget/2/2/fleetParts)
	is.Equal(m.count(), (vms-1)*(slots-1)*streamsPerSecond*int(slotWidth.Seconds()))
}
