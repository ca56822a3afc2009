// Command slopes reads the output of "go test -bench" and lays a straight line
// through the points of each benchmark that ran at several sizes. The size is
// taken from names such as "BenchmarkPick/replicas=139-10".
package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"os"
	"regexp"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// benchmarkLine splits a line of output into the name, the size's unit and
// value, and the measured values.
var benchmarkLine = regexp.MustCompile(`^Benchmark(\S+?)/(\w+)=(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

// series is one measured value of one benchmark at several sizes.
type series struct {
	name, size, unit string
	x, y             []float64
}

func main() {
	all, err := read(os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
	fmt.Println()
	for _, s := range all {
		s.print(os.Stdout)
	}
}

// read collects the series and passes all lines on.
func read(in io.Reader, out io.Writer) ([]*series, error) {
	var all []*series
	known := map[string]*series{}
	scan := bufio.NewScanner(in)
	for scan.Scan() {
		fmt.Fprintln(out, scan.Text())
		m := benchmarkLine.FindStringSubmatch(scan.Text())
		if m == nil {
			continue
		}
		size, err := strconv.ParseFloat(m[3], 64)
		if err != nil {
			return nil, err
		}
		fields := strings.Fields(m[4])
		for i := 0; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, err
			}
			key := m[1] + " " + fields[i+1]
			if known[key] == nil {
				known[key] = &series{name: m[1], size: m[2], unit: fields[i+1]}
				all = append(all, known[key])
			}
			known[key].x = append(known[key].x, size)
			known[key].y = append(known[key].y, value)
		}
	}
	return all, scan.Err()
}

// print writes the line's offset and slope, and the root mean square of the
// points' distance from it. A series at one size has no line.
func (s *series) print(out io.Writer) {
	if !s.hasSizes() {
		return
	}
	offset, slope := stat.LinearRegression(s.x, s.y, nil, false)
	sum := 0.0
	for i := range s.x {
		sum += math.Pow(s.y[i]-offset-slope*s.x[i], 2)
	}
	rms := math.Sqrt(sum / float64(len(s.x)))
	fmt.Fprintf(out, "%s: %.4g + %.4g x %s %s, %d points, error %.2g\n", s.name, offset, slope, s.size, s.unit, len(s.x), rms)
}

func (s *series) hasSizes() bool {
	for _, x := range s.x {
		if x != s.x[0] {
			return true
		}
	}
	return false
}
