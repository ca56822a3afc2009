// Command chestnutctl checks, bundles and compares objects, and shows what a
// gateway does and why.
//
// It exits with 0 on success, with 1 where it found faults, a difference or a
// request that may run nowhere, with 2 when the command line is wrong, and
// with 3 when something can't be read, written or reached.
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"github.com/chestnutspring/chestnutspring/internal/command"
	"github.com/chestnutspring/chestnutspring/internal/ctl"
	"github.com/chestnutspring/chestnutspring/internal/version"
)

type flags struct {
	ctl.Commands
	Version kong.VersionFlag `help:"Print the version and exit." env:"-"`
}

func main() {
	var f flags
	command := kong.Parse(&f,
		kong.Name("chestnutctl"),
		kong.Description("Checks, bundles and compares objects, and shows what a gateway does and why.\n\n"+
			"Exit codes: 0 success; 1 found faults, a difference or nowhere to run; 2 wrong command line; 3 something can't be read, written or reached."),
		kong.Vars{"version": version.String()},
		kong.DefaultEnvars("CHESTNUT"),
		command.UsageExit(ctl.ExitUsage),
	)
	env := &ctl.Env{Out: os.Stdout, Err: os.Stderr}
	os.Exit(ctl.Code(env, command.Run(env)))
}
