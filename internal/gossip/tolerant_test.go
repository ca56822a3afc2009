package gossip

import (
	"reflect"
	"runtime"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/vmihailenco/msgpack/v5"
)

// The types of two builds, of which the later one added the fields Cold, Started and Lost.
type (
	earlierSummary struct {
		Service string
		Servers int
	}
	laterSummary struct {
		Service string
		Servers int
		Cold    bool
	}
	earlierLoad struct {
		Reports map[string]earlierReport
		Entry   *earlierReport
		List    []earlierReport
	}
	laterLoad struct {
		Reports map[string]laterReport
		Entry   *laterReport
		List    []laterReport
		Lost    []string
	}
	earlierReport struct{ Running int }
	laterReport   struct {
		Running int
		Started int64
	}
)

// Guards against VMs of two builds that rejected each other's records: "number of fields
// in array-encoded struct has changed".
func TestDecodeReadsStructsThatHaveGrown(t *testing.T) {
	earlierSummaries, laterSummaries := []earlierSummary{{"a", 1}, {"b", 2}}, []laterSummary{{"a", 1, true}, {"b", 2, false}}
	earlier := earlierLoad{
		Reports: map[string]earlierReport{"s-1": {1}, "s-2": {2}}, Entry: &earlierReport{3}, List: []earlierReport{{4}, {5}},
	}
	later := laterLoad{
		Reports: map[string]laterReport{"s-1": {1, 10}, "s-2": {2, 20}}, Entry: &laterReport{3, 30}, List: []laterReport{{4, 40}, {5, 50}},
		Lost: []string{"s-3"},
	}
	for name, test := range map[string]struct{ sent, want any }{
		"later build's list":        {laterSummaries, earlierSummaries},
		"earlier build's list":      {earlierSummaries, []laterSummary{{"a", 1, false}, {"b", 2, false}}},
		"later build's value":       {later, earlier},
		"earlier build's value":     {earlier, laterLoad{Reports: map[string]laterReport{"s-1": {1, 0}, "s-2": {2, 0}}, Entry: &laterReport{3, 0}, List: []laterReport{{4, 0}, {5, 0}}}},
		"nil pointer, map and list": {laterLoad{Lost: []string{"s"}}, earlierLoad{}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := Encode(test.sent)
			is.NoErr(err)
			got := reflect.New(reflect.TypeOf(test.want))
			is.NoErr(Decode(data, got.Interface()))
			is.Equal(got.Elem().Interface(), test.want)
		})
	}
}

// Guards against what an earlier attempt or the caller left in the fields that the data
// doesn't have.
func TestDecodeResetsTheTarget(t *testing.T) {
	is := is.New(t)
	data, err := Encode([]earlierSummary{{"a", 1}})
	is.NoErr(err)
	got := []laterSummary{{"b", 2, true}, {"c", 3, true}}
	is.NoErr(Decode(data, &got))
	is.Equal(got, []laterSummary{{"a", 1, false}})
}

// Guards against a value of a few bytes that ends the process, where structs are decoded
// that have grown.
func TestDecodeOfGrownStructsAllocatesNoMoreThanTheValueHolds(t *testing.T) {
	for name, value := range map[string][]byte{
		"list":   {0xdd, 0x01, 0x00, 0x00, 0x00, 0x91, 0xa1, 'a'},
		"map":    {0xdf, 0x01, 0x00, 0x00, 0x00, 0xa1, 'a', 0x91, 0x01},
		"fields": {0x91, 0xdd, 0x01, 0x00, 0x00, 0x00, 0xa1, 'a'},
	} {
		t.Run(name, func(t *testing.T) {
			for _, target := range []any{&[]laterSummary{}, &map[string]laterReport{}} {
				is := is.New(t)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				err := Decode(value, target)
				runtime.ReadMemStats(&after)
				is.True(errorx.IsOfType(err, ErrMalformed))
				is.True(after.TotalAlloc-before.TotalAlloc < 1<<20) // bytes
			}
		})
	}
}

func TestDecodeRefusesFieldsOfAnotherType(t *testing.T) {
	for name, value := range map[string]any{
		"text for a number": []any{[]any{"a", "x", true}},
		"number for a list": 1,
		"nested list":       []any{[]any{[]any{"a"}, 1, true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := Encode(value)
			is.NoErr(err)
			var got []laterSummary
			is.True(errorx.IsOfType(Decode(data, &got), ErrMalformed))
		})
	}
}

// What the library decodes, the decoder of structs that have grown decodes alike, and no
// value ends the process.
func FuzzDecode(f *testing.F) {
	type value struct {
		Load      laterLoad
		Summaries []laterSummary
		Age       time.Duration
		Share     float64
		Data      []byte
		ByNumber  map[uint64][]string
		Renamed   int `msgpack:"n"`
		Skipped   int `msgpack:"-"`
	}
	full := value{
		Load:      laterLoad{Reports: map[string]laterReport{"s": {1, 2}}, Entry: &laterReport{3, 4}, Lost: []string{"l"}},
		Summaries: []laterSummary{{"a", 1, true}}, Age: time.Second, Share: 0.5, Data: []byte{1}, ByNumber: map[uint64][]string{7: {"x"}}, Renamed: 9,
	}
	array, err := Encode(full)
	if err != nil {
		f.Fatal(err)
	}
	named, err := msgpack.Marshal(full)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(array)
	f.Add(named)
	f.Add([]byte{0x91, 0x91, 0xdf, 0x01, 0x00, 0x00, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		var got value
		if Decode(data, &got) != nil {
			return
		}
		var want, tolerant value
		if msgpack.Unmarshal(data, &want) != nil {
			return
		}
		if err := decodeAll(data, &tolerant); err != nil {
			t.Fatalf("%x: %v", data, err)
		}
		again, err := Encode(tolerant)
		if err != nil {
			t.Fatal(err)
		}
		before, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		if len(want.Load.Reports) < 2 && len(want.ByNumber) < 2 && string(again) != string(before) {
			t.Fatalf("%x: %+v, the library decodes %+v", data, tolerant, want)
		}
	})
}

func BenchmarkDecodeSummaries(b *testing.B) {
	var earlier []earlierSummary
	var later []laterSummary
	for range 12 {
		earlier, later = append(earlier, earlierSummary{"service", 3}), append(later, laterSummary{"service", 3, true})
	}
	for name, sent := range map[string]any{"same": later, "grown": earlier} {
		b.Run(name, func(b *testing.B) {
			data, err := Encode(sent)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				var got []laterSummary
				if err := Decode(data, &got); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
