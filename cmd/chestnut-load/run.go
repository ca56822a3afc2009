package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/chestnutspring/chestnutspring/internal/experiment"
	"github.com/chestnutspring/chestnutspring/internal/report"
)

type runCommand struct {
	Files    []string `arg:"" help:"Experiment specifications in YAML." type:"existingfile"`
	Bin      string   `help:"Directory of the program binaries." default:"bin"`
	Out      string   `help:"Directory for the results." default:"out"`
	Policies []string `help:"Names of the policies to run; all by default."`
	Seed     uint64   `help:"Overrides the seed of the experiment; zero keeps it."`
	Classes  bool     `help:"Also print the statistics of each request class."`
	Parallel int      `help:"Number of policies to run in parallel, each in its own deployment." default:"3"`
	LogDir   string   `help:"Directory for the gateways' logs; not kept by default."`
}

// Run executes the command.
func (c *runCommand) Run(ctx context.Context) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	runner := experiment.Runner{
		GatewayBinary: filepath.Join(c.Bin, "chestnut-gateway"),
		LogDir:        c.LogDir, Parallel: c.Parallel, Log: logger(),
	}
	violations := 0
	for _, file := range c.Files {
		result, err := c.runFile(ctx, &runner, file)
		if err != nil {
			return err
		}
		for _, run := range result.Runs {
			violations += len(run.Violations)
		}
	}
	if violations > 0 {
		return fmt.Errorf("%d guarantee violations", violations)
	}
	return nil
}

func (c *runCommand) runFile(ctx context.Context, runner *experiment.Runner, file string) (*experiment.Result, error) {
	spec, err := experiment.ReadSpec(file)
	if err != nil {
		return nil, err
	}
	if c.Seed != 0 {
		spec.Seed = c.Seed
	}
	if len(c.Policies) > 0 {
		spec.KeepPolicies(c.Policies)
	}
	result, err := runner.Run(ctx, spec)
	if err != nil {
		return nil, err
	}
	result.WriteTable(os.Stdout)
	if c.Classes {
		result.WriteClassTable(os.Stdout)
	}
	for _, run := range result.Runs {
		run.WriteViolations(os.Stdout)
	}
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file))
	if err := result.Write(filepath.Join(c.Out, name+".json")); err != nil {
		return nil, err
	}
	return result, writePage(filepath.Join(c.Out, name+".html"), result)
}

// writePage writes the report of a result as an HTML page.
func writePage(name string, result *experiment.Result) error {
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := report.Write(file, result); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

type compareCommand struct {
	Before string `arg:"" help:"Result file in JSON to compare with." type:"existingfile"`
	After  string `arg:"" help:"Result file in JSON to compare." type:"existingfile"`
}

// Run executes the command.
func (c *compareCommand) Run() error {
	before, err := experiment.ReadResult(c.Before)
	if err != nil {
		return err
	}
	after, err := experiment.ReadResult(c.After)
	if err != nil {
		return err
	}
	experiment.WriteComparison(os.Stdout, before, after)
	return nil
}

type summaryCommand struct {
	Files []string `arg:"" help:"Result files in JSON." type:"existingfile"`
}

// Run executes the command.
func (c *summaryCommand) Run() error {
	var results []*experiment.Result
	for _, file := range c.Files {
		result, err := experiment.ReadResult(file)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	experiment.WriteSummary(os.Stdout, results)
	experiment.WriteTargets(os.Stdout, results)
	return nil
}
