// Command chestnutctl checks, bundles and compares objects, prints the state of a
// gateway and explains where requests may be served.
//
// It exits with 0 on success, with 1 if it found faults or differences or no
// region may serve the request, with 2 if the command line or the input of
// check-platform is invalid or can't be read, and with 3 if another file, the
// configuration service or a gateway can't be read, written or reached.
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
		kong.Description("Checks, bundles and compares objects, prints the state of a gateway and explains where requests may be served.\n\n"+
			"Exit codes: 0 success; 1 faults or differences found, or no region may serve; 2 invalid command line, or input of check-platform that can't be read; 3 another file, the configuration service or a gateway can't be read, written or reached."),
		kong.Vars{"version": version.String()},
		kong.DefaultEnvars("CHESTNUT"),
		command.UsageExit(ctl.ExitUsage),
	)
	env := &ctl.Env{Out: os.Stdout, Err: os.Stderr}
	os.Exit(ctl.HandleError(env, command.Run(env)))
}
