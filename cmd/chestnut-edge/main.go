// Command chestnut-edge serves routed services on one entry VM of the users'
// platform.
//
// It exits with 0 after a graceful shutdown, with 1 when it fails and with 2
// when its settings are wrong.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/chestnutspring/chestnutspring/internal/command"
	"github.com/chestnutspring/chestnutspring/internal/edge"
	"github.com/chestnutspring/chestnutspring/internal/logging"
	"github.com/chestnutspring/chestnutspring/internal/version"
	"github.com/chestnutspring/chestnutspring/platform"
)

const (
	// fileInterval is the time between two looks at the settings file, which
	// may change without a signal.
	fileInterval = 2 * time.Second
	// logFlush bounds the wait for the last log lines.
	logFlush = 200 * time.Millisecond
)

type flags struct {
	Settings     string           `help:"Path of the settings file." env:"CHESTNUTSPRING_BOOT" default:"${settings}"`
	OperatorPort int              `help:"Port for metrics and the dump of state." env:"CHESTNUT_OPERATOR_PORT" default:"9464"`
	LogLevel     slog.Level       `help:"Lowest level of log lines: debug, info, warn or error." env:"CHESTNUT_LOG_LEVEL" default:"info"`
	Check        bool             `help:"Check the settings file and exit." env:"-"`
	Version      kong.VersionFlag `help:"Print the version and exit." env:"-"`
}

func main() {
	var f flags
	kong.Parse(&f,
		kong.Name("chestnut-edge"),
		kong.Description("Serves routed services on one entry VM."),
		kong.Vars{"version": version.String(), "settings": platform.DefaultSettingsPath},
		command.UsageExit(command.ExitSettings),
	)
	os.Exit(run(&f))
}

func run(f *flags) int {
	settings, err := platform.LoadSettings(f.Settings, f.OperatorPort)
	if err != nil {
		fmt.Fprintln(os.Stderr, "chestnut-edge:", err)
		return command.ExitSettings
	}
	if f.Check {
		fmt.Println("the settings are correct")
		return 0
	}
	log, sink := logging.NewBounded(os.Stdout, f.LogLevel)
	defer sink.Close(logFlush)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	process := edge.New(settings, platform.New(settings, log), log)
	if err := process.Run(ctx, watchSettings(ctx, f, log)); err != nil {
		log.Error("failed", "error", err)
		return command.ExitFailure
	}
	return 0
}

// watchSettings reads the settings file again after SIGHUP and when the file
// has changed. Settings that can't be used are logged and left.
func watchSettings(ctx context.Context, f *flags, log *slog.Logger) <-chan *edge.Settings {
	changed := make(chan *edge.Settings)
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go func() {
		ticker := time.NewTicker(fileInterval)
		defer ticker.Stop()
		seen := modified(f.Settings)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				log.Info("SIGHUP received")
			case <-ticker.C:
				if modified(f.Settings) == seen {
					continue
				}
			}
			seen = modified(f.Settings)
			settings, err := platform.LoadSettings(f.Settings, f.OperatorPort)
			if err != nil {
				log.Error("settings not reloaded", "path", f.Settings, "error", err)
				continue
			}
			select {
			case changed <- settings:
			case <-ctx.Done():
				return
			}
		}
	}()
	return changed
}

// modified returns when the file was last changed; the zero time stands for a
// file that can't be looked at, which the next read reports.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
