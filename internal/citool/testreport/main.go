// Command testreport reads a file with the output of "go test -json" and prints
// the failed tests and the totals. It exits with status 1 unless every failed
// test is listed in KNOWN-RED.txt, and with 2 if the file can't be read. It also
// fails if go test did without reporting a failed test, or if the tests of a
// package ended early with status 0.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
)

// event is one line of the output of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// report is the outcome of a test run. Tests are named by package and test,
// separated by a space; the test is empty for a package's own events.
type report struct {
	passed, skipped int
	failed          []string
	// passedPackages are the packages that passed, and completed those whose test
	// program reported its end.
	passedPackages []string
	completed      map[string]bool
	// output has the output of each test that hasn't passed.
	output map[string][]string
}

func main() {
	knownPath := flag.String("known", "KNOWN-RED.txt", "list of tests that may fail")
	status := flag.Int("status", 0, "exit status of go test")
	flag.Parse()
	r, err := readReport(flag.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, "testreport:", err)
		os.Exit(2)
	}
	os.Exit(r.print(readKnown(*knownPath), *status))
}

// readReport reads the events from a file. Lines that aren't JSON, such as
// messages of the go command, are printed.
func readReport(path string) (*report, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	r := &report{output: map[string][]string{}, completed: map[string]bool{}}
	scanner := bufio.NewScanner(f)
	scanner.Buffer(make([]byte, 1<<20), 16<<20)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		r.add(e)
	}
	return r, scanner.Err()
}

func (r *report) add(e event) {
	name := e.Package + " " + e.Test
	switch e.Action {
	case "output", "build-output":
		r.output[name] = append(r.output[name], e.Output)
		if e.Output == "PASS\n" {
			r.completed[e.Package] = true
		}
	case "pass":
		if e.Test != "" {
			r.passed++
		} else {
			r.passedPackages = append(r.passedPackages, e.Package)
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

// print prints the failures and the totals and returns the exit code. The status is
// that of go test. A failed package is counted only if none of its tests failed, for example because it
// didn't build: go test also reports the package of a failed test as failed.
func (r *report) print(known []string, status int) int {
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
	for _, pkg := range r.passedPackages {
		if !r.completed[pkg] {
			code = 1
			failures++
			fmt.Println("FAIL:", pkg, "ended with status 0 before its tests were complete")
		}
	}
	if status != 0 && len(r.failed) == 0 {
		code = 1
		failures++
		fmt.Println("FAIL: go test ended with status", status, "without reporting a failed test")
	}
	for _, line := range r.output[" "] {
		fmt.Print(line)
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, failures, r.skipped)
	return code
}

// isKnown reports whether the test, or a subtest of it, is in the list.
func isKnown(known []string, test string) bool {
	for _, k := range known {
		if test != "" && (test == k || strings.HasPrefix(k, test+"/")) {
			return true
		}
	}
	return false
}

// readKnown returns the names of the tests that may fail: the first word of each
// line that isn't a comment. The list is empty if the file can't be read.
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
