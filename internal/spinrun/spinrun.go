// Package spinrun runs the model checker spin on a specification, for tests.
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
	// model is the specification's name in the verifier's directory.
	model = "model.pml"
	// defaultDepth bounds the length of a path, in steps.
	defaultDepth = 1_000_000
	// defaultMemory bounds the memory of the search, in megabytes.
	defaultMemory = 2048
	// defaultTimeout bounds each of the steps generate, compile and check.
	defaultTimeout = 5 * time.Minute
	// traceSteps is how many steps of a counterexample are kept.
	traceSteps = 400
)

// Options choose what is checked. The zero value checks assertions, invalid
// end states and all states.
type Options struct {
	// Defines are passed to the preprocessor, such as "MUTATION_LOWER" or
	// "MEMBERS=3".
	Defines []string
	// Claim is the name of an ltl formula; "" means none.
	Claim string
	// Liveness looks for acceptance cycles, with weak fairness. It is needed
	// for formulas that say that something happens at last.
	Liveness bool
	// Compile holds further flags of the compiler, such as "-DCOLLAPSE".
	Compile []string
	// MaxDepth bounds the length of a path in steps; zero means a million.
	MaxDepth int
	// Timeout bounds each step; zero means five minutes.
	Timeout time.Duration
}

// Result is the outcome of a check.
type Result struct {
	// Errors is how many errors were found; the search stops at the first.
	Errors int
	// States is how many different states were stored.
	States int
	// Transitions is how many steps were taken.
	Transitions int
	// Depth is the longest path, in steps.
	Depth int
	// Truncated says that the search did not cover all states.
	Truncated bool
	// Trace is the counterexample, when there is one.
	Trace string
}

// Check generates, compiles and runs the verifier of the specification in a
// directory of its own. A missing program or a failing step fails the test.
func Check(t testing.TB, specification string, options Options) Result {
	t.Helper()
	options = withDefaults(options)
	r := runner{t: t, dir: t.TempDir(), timeout: options.Timeout}
	r.copy(specification)
	r.run("spin", append(defineFlags(options.Defines), "-a", model)...)
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
		o.MaxDepth = defaultDepth
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
	flags := []string{"-O2", "-w", fmt.Sprintf("-DMEMLIM=%d", defaultMemory)}
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

// runner runs programs in one directory.
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

// trace replays the counterexample. With a claim the verifier does it, for
// spin can't choose among several.
func (r *runner) trace(o Options) string {
	r.t.Helper()
	if o.Claim != "" {
		return r.run("./pan", "-r", "-N", o.Claim)
	}
	args := append(defineFlags(o.Defines), "-t", "-p", "-g", fmt.Sprintf("-u%d", traceSteps))
	return r.run("spin", append(args, model)...)
}

// copy puts the specification into the directory, as model.
func (r *runner) copy(specification string) {
	r.t.Helper()
	data, err := os.ReadFile(specification)
	if err != nil {
		r.t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(r.dir, model), data, 0o600); err != nil {
		r.t.Fatal(err)
	}
}

var (
	errorsPattern      = regexp.MustCompile(`depth reached (\d+), errors: (\d+)`)
	statesPattern      = regexp.MustCompile(`(?m)^\s*(\S+) states, stored`)
	transitionsPattern = regexp.MustCompile(`(?m)^\s*(\S+) transitions`)
	truncatedPattern   = regexp.MustCompile(`max search depth too small|Search not completed|out of memory|memory limit`)
)

// parse reads the report of the verifier.
func parse(output string) (Result, error) {
	found := errorsPattern.FindStringSubmatch(output)
	states := statesPattern.FindStringSubmatch(output)
	transitions := transitionsPattern.FindStringSubmatch(output)
	if found == nil || states == nil || transitions == nil {
		return Result{}, fmt.Errorf("the report has no figures")
	}
	return Result{
		Depth: number(found[1]), Errors: number(found[2]),
		States: number(states[1]), Transitions: number(transitions[1]),
		Truncated: truncatedPattern.MatchString(output) && number(found[2]) == 0,
	}, nil
}

// number reads a figure such as 6210 or 1.2e+06.
func number(text string) int {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return int(value)
}
