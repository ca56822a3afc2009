package gossip

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

// Guards against issue 45 for peers: a frame of arrays in arrays took 128 MB of stack.
func TestNestedArraysTakeLittleStack(t *testing.T) {
	for name, data := range map[string][]byte{
		"arrays":       bytes.Repeat([]byte{0x91}, 1<<20),
		"long arrays":  bytes.Repeat([]byte{0xdd, 0, 0, 0, 1}, 1<<20/5),
		"maps":         bytes.Repeat([]byte{0x81, 0xc0}, 1<<19),
		"small arrays": bytes.Repeat([]byte{0x91}, MaxValueBytes),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var delta Delta
			is.True(errorx.IsOfType(Decode(data, &delta), ErrMalformed))
			runtime.ReadMemStats(&after)
			if grown := int64(after.StackSys) - int64(before.StackSys); grown > 16<<20 {
				t.Errorf("the stack grew by %d bytes", grown)
			}
		})
	}
}

// Large values of the usual depth are decoded.
func TestLargeValuesAreDecoded(t *testing.T) {
	is := is.New(t)
	want := Delta{Names: []string{"a"}, Records: []Item{{Kind: KindServer, Version: 3, Value: bytes.Repeat([]byte("x"), 10*MaxValueBytes)}}}
	data, err := Encode(want)
	is.NoErr(err)
	var got Delta
	is.NoErr(Decode(data, &got))
	is.Equal(got, want)
	var any map[string]int
	large := map[string]int{}
	for i := range 5000 {
		large[string(rune('a'+i%26))+string(rune(0x4e00+i))] = i
	}
	data, err = Encode(large)
	is.NoErr(err)
	is.True(len(data) > MaxValueBytes)
	is.NoErr(Decode(data, &any))
	is.Equal(any, large)
}
