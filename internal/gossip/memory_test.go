package gossip

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"
)

// liveHeap returns the bytes of the heap that are in use.
func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what has finalizers
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against VMs above the memory that issue 22 allows at 300 VMs and 200 servers: the log
// of a store kept the values of records that had been replaced or deleted.
func TestStoreKeepsNoValuesOfReplacedRecords(t *testing.T) {
	is := is.New(t)
	const records, valueBytes = 100, 10_000
	const kept = records * valueBytes / 5 // by the entries themselves
	before := liveHeap()
	s := NewStore()
	put := func(version uint64, size int) {
		for i := range records {
			s.Merge(Record{Key: Key{Kind: KindLoad, Name: fmt.Sprint("vm-", i)}, Version: version, Value: make([]byte, size)})
		}
	}
	put(1, valueBytes)
	is.True(liveHeap()-before >= records*valueBytes)
	put(2, 1)
	is.True(liveHeap()-before <= kept)
	put(3, valueBytes)
	for i := range records {
		s.Delete(Key{Kind: KindLoad, Name: fmt.Sprint("vm-", i)})
	}
	is.True(liveHeap()-before <= kept)
	runtime.KeepAlive(s)
}
