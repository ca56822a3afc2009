package main

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestLineFitOfBenchmarkSizes(t *testing.T) {
	is := is.New(t)
	all, err := readSeries(strings.NewReader(`
goos: linux
BenchmarkPick/replicas=100-10    1000   300 ns/op   8 B/op
BenchmarkPick/replicas=200-10    1000   500 ns/op   8 B/op
BenchmarkOther-10                1000   500 ns/op
`), io.Discard)
	is.NoErr(err)
	is.Equal(len(all), 2)
	var out strings.Builder
	all[0].print(&out)
	is.Equal(out.String(), "Pick: 100 + 2 x replicas ns/op, 2 points, error 0\n")
}
