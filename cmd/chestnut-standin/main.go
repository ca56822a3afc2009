// Command chestnut-standin runs stand-ins: simulated versions of the systems that
// chestnutspring depends on, for tests and demonstrations.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/chestnutspring/chestnutspring/internal/standin/host"
	"github.com/chestnutspring/chestnutspring/internal/version"
)

type flags struct {
	Serve   serveCommand     `cmd:"" help:"Run the stand-ins specified in a file until the program is terminated."`
	Version kong.VersionFlag `help:"Print the version and exit." env:"-"`
}

type serveCommand struct {
	File string `help:"Specification of the stand-ins in YAML." required:"" type:"existingfile"`
}

func main() {
	var f flags
	k := kong.Parse(&f,
		kong.Name("chestnut-standin"),
		kong.Description("Runs stand-ins (simulated versions) of the systems that chestnutspring depends on, for tests and demonstrations."),
		kong.Vars{"version": version.String()},
		kong.DefaultEnvars("CHESTNUT"),
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}

// Run starts the stand-ins, prints one line for each and waits until ctx ends.
func (c *serveCommand) Run(ctx context.Context) error {
	spec, err := host.Load(c.File)
	if err != nil {
		return err
	}
	h, err := host.Start(spec)
	if err != nil {
		return err
	}
	defer h.Close()
	for _, s := range h.Instances() {
		fmt.Printf("ready kind=%s name=%s address=%s\n", s.Kind, s.Name, s.Address)
	}
	<-ctx.Done()
	return nil
}
