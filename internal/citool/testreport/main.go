// Command testreport reads the JSON output of "go test -json", prints the
// failed tests and the totals, and fails unless every failed test is listed in
// KNOWN-RED.txt.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
)

// event is one line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// report collects the outcome of a run.
type report struct {
	passed, skipped int
	failed          []string
	output          map[string][]string
}

func main() {
	known := flag.String("known", "KNOWN-RED.txt", "list of tests that may fail")
	flag.Parse()
	r, err := read(flag.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "testreport:", err)
		os.Exit(2)
	}
	os.Exit(r.print(readKnown(*known)))
}

func read(path string) (*report, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	r := &report{output: map[string][]string{}}
	scan := bufio.NewScanner(f)
	scan.Buffer(make([]byte, 1<<20), 16<<20)
	for scan.Scan() {
		var e event
		if json.Unmarshal(scan.Bytes(), &e) != nil {
			fmt.Println(scan.Text())
			continue
		}
		r.add(e)
	}
	return r, scan.Err()
}

func (r *report) add(e event) {
	name := e.Package + " " + e.Test
	switch e.Action {
	case "output", "build-output":
		r.output[name] = append(r.output[name], e.Output)
	case "pass":
		if e.Test != "" {
			r.passed++
		}
		delete(r.output, name)
	case "skip":
		if e.Test != "" {
			r.skipped++
		}
	case "fail", "build-fail":
		r.failed = append(r.failed, name)
	}
}

// print writes the failures and the totals and returns the exit code. A
// package fails along with its tests; it counts on its own only where no test
// of it failed, as when it did not build.
func (r *report) print(known []string) int {
	packagesWithFailedTests := map[string]bool{}
	for _, name := range r.failed {
		if pkg, test, _ := strings.Cut(name, " "); test != "" {
			packagesWithFailedTests[pkg] = true
		}
	}
	code, failures := 0, 0
	for _, name := range r.failed {
		pkg, test, _ := strings.Cut(name, " ")
		if test == "" && packagesWithFailedTests[pkg] {
			continue
		}
		failures++
		if isKnown(known, test) {
			fmt.Println("KNOWN RED:", name)
			continue
		}
		code = 1
		fmt.Println("FAIL:", name)
		for _, line := range r.output[name] {
			fmt.Print(line)
		}
	}
	for _, line := range r.output[" "] {
		fmt.Print(line)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, failures, r.skipped)
	return code
}

func isKnown(known []string, test string) bool {
	for _, k := range known {
		if test != "" && (test == k || strings.HasPrefix(k, test+"/")) {
			return true
		}
	}
	return false
}

// readKnown returns the first word of each line that isn't a comment.
func readKnown(path string) []string {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	var names []string
	for line := range strings.SplitSeq(string(data), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 0 && !strings.HasPrefix(fields[0], "#") {
			names = append(names, fields[0])
		}
	}
	return names
}
