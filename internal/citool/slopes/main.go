// Command slopes reads the output of "go test -bench" from standard input and
// fits a line by linear regression to the results of each benchmark that ran at
// several sizes. The size is taken from sub-benchmark names such as
// "BenchmarkPick/replicas=139-10".
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

// benchmarkLine matches a line of output. Its groups are the benchmark's name,
// the name and value of the size, and the results.
var benchmarkLine = regexp.MustCompile(`^Benchmark(\S+?)/(\w+)=(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

// series holds the results of one benchmark in one unit: y[i] is the result at
// size x[i].
type series struct {
	name, sizeName, unit string
	x, y                 []float64
}

func main() {
	all, err := readSeries(os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
	fmt.Println()
	for _, s := range all {
		s.print(os.Stdout)
	}
}

// readSeries collects the series from in and copies all lines to out.
func readSeries(in io.Reader, out io.Writer) ([]*series, error) {
	var all []*series
	byKey := map[string]*series{}
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		fmt.Fprintln(out, scanner.Text())
		m := benchmarkLine.FindStringSubmatch(scanner.Text())
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
			if byKey[key] == nil {
				byKey[key] = &series{name: m[1], sizeName: m[2], unit: fields[i+1]}
				all = append(all, byKey[key])
			}
			byKey[key].x = append(byKey[key].x, size)
			byKey[key].y = append(byKey[key].y, value)
		}
	}
	return all, scanner.Err()
}

// print writes the line's offset and slope and the root mean square error of the
// fit. It writes nothing for a series with only one size.
func (s *series) print(out io.Writer) {
	if !s.hasSeveralSizes() {
		return
	}
	offset, slope := stat.LinearRegression(s.x, s.y, nil, false)
	sum := 0.0
	for i := range s.x {
		sum += math.Pow(s.y[i]-offset-slope*s.x[i], 2)
	}
	rms := math.Sqrt(sum / float64(len(s.x)))
	fmt.Fprintf(out, "%s: %.4g + %.4g x %s %s, %d points, error %.2g\n", s.name, offset, slope, s.sizeName, s.unit, len(s.x), rms)
}

// hasSeveralSizes reports whether the series has at least two different sizes.
func (s *series) hasSeveralSizes() bool {
	for _, x := range s.x {
		if x != s.x[0] {
			return true
		}
	}
	return false
}
