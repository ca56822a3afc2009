// Command chestnut-gateway serves callers on one entry VM and forwards their
// requests to backend servers.
//
// It exits with 0 after a graceful shutdown, with 1 if it fails and with 2 if its
// settings are invalid.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/chestnutspring/chestnutspring/internal/command"
	"github.com/chestnutspring/chestnutspring/internal/gateway"
	"github.com/chestnutspring/chestnutspring/internal/logging"
	"github.com/chestnutspring/chestnutspring/internal/version"
)

type flags struct {
	gateway.Settings
	Version kong.VersionFlag `help:"Print the version and exit." env:"-"`
}

func main() {
	var f flags
	kong.Parse(&f,
		kong.Name("chestnut-gateway"),
		kong.Description("Serves callers on one entry VM and forwards their requests to backend servers."),
		kong.Vars{"version": version.String()},
		command.UsageExit(command.ExitSettings),
	)
	if err := f.Check(); err != nil {
		fmt.Fprintln(os.Stderr, "chestnut-gateway:", err)
		os.Exit(command.ExitSettings)
	}
	log := logging.New(os.Stderr, f.LogLevel)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := gateway.Run(ctx, &f.Settings, log); err != nil {
		log.Error("failed", "error", err)
		os.Exit(command.ExitFailure)
	}
}
