package edge

import (
	"testing"

	"github.com/chestnutspring/chestnutspring/internal/listenlimit"
)

// Guards against bounds that exceed the memory of a VM together, on the ports that it has.
func TestBoundsOfAllPortsFitTheVM(t *testing.T) {
	share := 0.0
	for _, k := range portKinds(0) {
		share += k.Share
	}
	if share > 1 {
		t.Errorf("the ports have %f of the connections", share)
	}
	for _, vm := range []struct {
		memoryMb    int64
		descriptors int
	}{{64, 600}, {144, 3075}, {160, 4100}, {184, 4100}, {284, 4100}, {424, 10250}, {536, 8192}} {
		b := (&listenlimit.Settings{}).Resolve(vm.memoryMb<<20, vm.descriptors, portKinds(0)...)
		t.Logf("%d MB, %d descriptors: %d connections, %d outgoing, receive buffers of %d KB, %d MB pending, %d MB unread, %d MB in all", vm.memoryMb, vm.descriptors,
			b.Connections, b.Outgoing, b.ReceiveBytes>>10, b.PendingBytes>>20, b.UnreadMemory()>>20, b.MostMemory()>>20)
		if most := b.MostMemory(); most > vm.memoryMb<<20 {
			t.Errorf("%d bytes of %d MB", most, vm.memoryMb)
		}
	}
}
