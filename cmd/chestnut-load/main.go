// Command chestnut-load sends load to deployments on loopback, checks every
// answer and compares policies.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/chestnutspring/chestnutspring/internal/experiment"
	"github.com/chestnutspring/chestnutspring/internal/logging"
	"github.com/chestnutspring/chestnutspring/internal/version"
)

type flags struct {
	Demo     demoCommand      `cmd:"" help:"Start a deployment, send it requests and check every answer."`
	Run      runCommand       `cmd:"" help:"Run experiments and write their figures."`
	Compare  compareCommand   `cmd:"" help:"Compare the figures of two results."`
	Summary  summaryCommand   `cmd:"" help:"Print the project's own policy against the baselines, and the targets."`
	Overhead overheadCommand  `cmd:"" help:"Measure what a gateway adds to a direct call."`
	Version  kong.VersionFlag `help:"Print the version and exit." env:"-"`
}

func main() {
	var f flags
	k := kong.Parse(&f,
		kong.Name("chestnut-load"),
		kong.Description("Sends load to deployments on loopback, checks every answer and compares policies."),
		kong.Vars{"version": version.String()},
		kong.DefaultEnvars("CHESTNUT"),
		kong.UsageOnError(),
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}

// logger writes one line of key=value pairs for each event.
func logger() *slog.Logger { return logging.New(os.Stderr, slog.LevelInfo) }

type demoCommand struct {
	Deployment string        `help:"Deployment under --examples, or a directory of objects." default:"kite-consortium"`
	Examples   string        `help:"Directory of the example deployments." default:"examples"`
	Bin        string        `help:"Directory of the programs." default:"bin"`
	Duration   time.Duration `help:"How long requests are sent." default:"8s"`
	Seed       uint64        `help:"Seed of the arrivals." default:"1"`
	LogDir     string        `help:"Directory for the gateways' logs; none are kept without it."`
}

// Run implements the command.
func (c *demoCommand) Run(ctx context.Context) error {
	deployment := deploymentDir(c.Examples, c.Deployment)
	spec, err := experiment.DemoSpec(deployment, c.Duration, c.Seed)
	if err != nil {
		return err
	}
	runner := experiment.Runner{
		GatewayBinary: filepath.Join(c.Bin, "chestnut-gateway"),
		LogDir:        c.LogDir, Log: logger(),
	}
	run, outcomes, err := runner.RunDemo(ctx, spec)
	if err != nil {
		return err
	}
	fmt.Printf("%s: gateways as processes, everything else as stand-ins\n", filepath.Base(deployment))
	experiment.WriteRegionTable(os.Stdout, outcomes)
	experiment.WriteFailures(os.Stdout, outcomes)
	run.WriteViolations(os.Stdout)
	f := run.Overall
	if f.Served != f.Sent || len(run.Violations) > 0 {
		return fmt.Errorf("%d of %d requests were served, %d promises were broken", f.Served, f.Sent, len(run.Violations))
	}
	fmt.Printf("all %d requests got the whole answer to their own request\n", f.Sent)
	return nil
}

// deploymentDir returns a directory as it is, and a name under examples.
func deploymentDir(examples, name string) string {
	if strings.ContainsRune(name, filepath.Separator) {
		return name
	}
	return filepath.Join(examples, name)
}
