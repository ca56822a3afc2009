package gateway

import "testing"

// Guards against bounds that exceed the memory of a VM together, on the ports that it has.
func TestBoundsOfAllPortsFitTheVM(t *testing.T) {
	if share := callerKind.Share + forwardKind.Share + controlKind.Share + operatorKind.Share; share > 1.0001 {
		t.Errorf("the ports have %f of the connections", share)
	}
	for memoryMb, descriptors := range map[int64]int{64: 600, 144: 3075, 284: 4100, 1024: 16_000} {
		plain := clientBounds(&Settings{MemoryMB: memoryMb, Descriptors: descriptors})
		b := clientBounds(&Settings{MemoryMB: memoryMb, Descriptors: descriptors, CallerTLSCert: "x", TLSCert: "x"})
		if b.Connections > plain.Connections {
			t.Errorf("%d connections with TLS, %d without", b.Connections, plain.Connections)
		}
		t.Logf("%d MB, %d descriptors: %d connections, receive buffers of %d KB, %d MB unread, %d MB in all", memoryMb, descriptors,
			b.Connections, b.ReceiveBytes>>10, b.UnreadMemory()>>20, b.MostMemory()>>20)
		if most := b.MostMemory(); most > memoryMb<<20 {
			t.Errorf("%d bytes of %d MB", most, memoryMb)
		}
	}
}
