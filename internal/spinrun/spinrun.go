// Package spinrun runs the model checker Spin on a Promela specification in
// tests.
package spinrun

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"testing"
	"time"
)

const (
	// modelFile is the specification's file name in the verifier's directory.
	modelFile = "model.pml"
	// defaultMaxDepth is the maximum length of a path, in steps.
	defaultMaxDepth = 1_000_000
	// maxMemoryMB is the memory limit of the search, in megabytes.
	maxMemoryMB = 2048
	// defaultTimeout bounds each of the three commands: generate, compile and
	// check.
	defaultTimeout = 5 * time.Minute
	// maxTraceSteps is the maximum number of steps of a counterexample's trace.
	maxTraceSteps = 400
)

// Options selects what is checked. The zero value searches all states for
// violated assertions and invalid end states.
type Options struct {
	// Defines are preprocessor definitions, such as "ACCEPT_LOWER" or
	// "MEMBERS=3".
	Defines []string
	// Claim is the name of the LTL formula to check; "" means none.
	Claim string
	// Liveness searches for acceptance cycles under weak fairness. It is
	// required for formulas that state that something eventually happens.
	Liveness bool
	// Compile are additional compiler flags, such as "-DCOLLAPSE".
	Compile []string
	// MaxDepth is the maximum length of a path, in steps; zero means 1,000,000.
	MaxDepth int
	// Timeout bounds each command that Check runs; zero means five minutes.
	Timeout time.Duration
}

// Result is the outcome of a check.
type Result struct {
	// Errors is the number of errors found: 0 or 1, as the search stops at the
	// first.
	Errors int
	// States is the number of distinct states stored.
	States int
	// Transitions is the number of transitions explored.
	Transitions int
	// Depth is the length of the longest path, in steps.
	Depth int
	// Truncated means that the search hit the depth or memory limit before it
	// covered all states. It is false if an error was found.
	Truncated bool
	// Trace is the counterexample; empty if no error was found.
	Trace string
}

// Check generates, compiles and runs the verifier of the specification file in
// a temporary directory. It fails the test if spin, gcc or the verifier can't be
// run or exits with an error, or if a command exceeds the timeout. Errors
// found in the specification don't fail the test; they are in the result.
func Check(t testing.TB, specification string, options Options) Result {
	t.Helper()
	options = withDefaults(options)
	r := runner{t: t, dir: t.TempDir(), timeout: options.Timeout}
	r.copy(specification)
	r.run("spin", append(defineFlags(options.Defines), "-a", modelFile)...)
	r.run("gcc", compileFlags(options)...)
	output := r.run("./pan", checkFlags(options)...)
	result, err := parse(output)
	if err != nil {
		t.Fatalf("spin on %s: %v\n%s", specification, err, output)
	}
	if result.Errors > 0 {
		result.Trace = r.trace(options)
	}
	return result
}

func withDefaults(o Options) Options {
	if o.MaxDepth == 0 {
		o.MaxDepth = defaultMaxDepth
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	return o
}

func defineFlags(defines []string) []string {
	flags := make([]string, 0, len(defines))
	for _, d := range defines {
		flags = append(flags, "-D"+d)
	}
	return flags
}

func compileFlags(o Options) []string {
	flags := []string{"-O2", "-w", fmt.Sprintf("-DMEMLIM=%d", maxMemoryMB)}
	if !o.Liveness {
		flags = append(flags, "-DSAFETY")
	}
	if o.Claim == "" {
		flags = append(flags, "-DNOCLAIM")
	}
	flags = append(flags, o.Compile...)
	return append(flags, "-o", "pan", "pan.c")
}

func checkFlags(o Options) []string {
	flags := []string{fmt.Sprintf("-m%d", o.MaxDepth)}
	if o.Liveness {
		flags = append(flags, "-a", "-f")
	}
	if o.Claim != "" {
		flags = append(flags, "-N", o.Claim)
	}
	return flags
}

// runner runs commands in one directory and fails the test on an error.
type runner struct {
	t       testing.TB
	dir     string
	timeout time.Duration
}

func (r *runner) run(name string, args ...string) string {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), r.timeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, name, args...)
	cmd.Dir = r.dir
	output, err := cmd.CombinedOutput()
	if err != nil {
		r.t.Fatalf("%s %v: %v\n%s", name, args, err, output)
	}
	return string(output)
}

// trace replays the counterexample and returns the output. With a claim the
// verifier replays it, since spin can't select one of several claims.
func (r *runner) trace(o Options) string {
	r.t.Helper()
	if o.Claim != "" {
		return r.run("./pan", "-r", "-N", o.Claim)
	}
	args := append(defineFlags(o.Defines), "-t", "-p", "-g", fmt.Sprintf("-u%d", maxTraceSteps))
	return r.run("spin", append(args, modelFile)...)
}

// copy copies the specification to modelFile in the directory.
func (r *runner) copy(specification string) {
	r.t.Helper()
	data, err := os.ReadFile(specification)
	if err != nil {
		r.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(r.dir, modelFile), data, 0o600); err != nil {
		r.t.Fatal(err)
	}
}

var (
	errorsPattern      = regexp.MustCompile(`depth reached (\d+), errors: (\d+)`)
	statesPattern      = regexp.MustCompile(`(?m)^\s*(\S+) states, stored`)
	transitionsPattern = regexp.MustCompile(`(?m)^\s*(\S+) transitions`)
	truncatedPattern   = regexp.MustCompile(`max search depth too small|Search not completed|out of memory|memory limit`)
)

// parse parses the verifier's report.
func parse(output string) (Result, error) {
	errors := errorsPattern.FindStringSubmatch(output)
	states := statesPattern.FindStringSubmatch(output)
	transitions := transitionsPattern.FindStringSubmatch(output)
	if errors == nil || states == nil || transitions == nil {
		return Result{}, fmt.Errorf("verifier report lacks the numbers of errors, states or transitions")
	}
	return Result{
		Depth: parseCount(errors[1]), Errors: parseCount(errors[2]),
		States: parseCount(states[1]), Transitions: parseCount(transitions[1]),
		Truncated: truncatedPattern.MatchString(output) && parseCount(errors[2]) == 0,
	}, nil
}

// parseCount parses a number such as 6210 or 1.2e+06. It returns 0 for text that
// isn't a number.
func parseCount(text string) int {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return int(value)
}
