// Command standin-2 runs the scripts of the second review: it starts the project's programs, and
// stand-ins of the registry, of backend servers and of callers, on loopback addresses, and checks
// one rule by what callers and servers see.
//
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// testCase is a test of one rule. Prepare is called before the fleet starts. Run returns whether
// the rule was broken; without trouble it leaves the disruption out.
type testCase struct {
	prepare func(f *fleet)
	run     func(f *fleet, trouble bool) (broken bool, err error)
}

var cases = map[string]testCase{
	"crash-wave":  {prepare: prepareCrashWave, run: runCrashWave},
	"cut-failure": {prepare: prepareCutFailure, run: runCutFailure},
	"rare-prompt": {prepare: prepareRarePrompt, run: runRarePrompt},
	"lone-vm":     {prepare: prepareLoneVM, run: runLoneVM},
	"home-prompt": {prepare: prepareRarePrompt, run: runHomePrompt},
}

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "server" {
		if err := serveProcess(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, "server:", err)
		}
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// runCase runs a case and returns the exit code.
func runCase(name, record string, trouble bool) int {
	c, known := cases[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	signal.Ignore(syscall.SIGPIPE) // a reader of the result that leaves may not keep stop from running
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.stop()
		os.Exit(exitNotRun)
	}()
	c.prepare(f)
	if err := f.start(); err != nil {
		f.note("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	broken, err := c.run(f, trouble)
	switch {
	case err != nil:
		f.note("the case can't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		fmt.Println("the rule held")
		return exitHeld
	}
}
