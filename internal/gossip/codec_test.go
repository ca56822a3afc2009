package gossip

import (
	"runtime"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// Guards against a value of a few bytes that ended the process: an array that states
// more elements than the value has bytes was allocated before it was read.
func TestDecodeAllocatesNoMoreThanTheValueHolds(t *testing.T) {
	is := is.New(t)
	value := []byte{0xdd, 0x01, 0x00, 0x00, 0x00, 0x01} // 16,777,216 elements are stated, one is there
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var list []uint64
	err := Decode(value, &list)
	runtime.ReadMemStats(&after)
	is.True(errorx.IsOfType(err, ErrMalformed))
	is.True(after.TotalAlloc-before.TotalAlloc < 1<<20) // bytes
}
