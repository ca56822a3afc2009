// Command chestnut-standin runs small stand-ins of the systems around
// chestnutspring, for tests and demonstrations.
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
	Serve   serveCommand     `cmd:"" help:"Run the stand-ins of a file until the program is ended."`
	Version kong.VersionFlag `help:"Print the version and exit." env:"-"`
}

type serveCommand struct {
	File string `help:"Stand-ins in YAML." required:"" type:"existingfile"`
}

func main() {
	var f flags
	k := kong.Parse(&f,
		kong.Name("chestnut-standin"),
		kong.Description("Runs small stand-ins of the systems around chestnutspring, for tests and demonstrations."),
		kong.Vars{"version": version.String()},
		kong.DefaultEnvars("CHESTNUT"),
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}

// Run implements the command.
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
