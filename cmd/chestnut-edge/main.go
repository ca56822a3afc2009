// Command chestnut-edge serves the services routed through one entry VM of the
// users' platform.
//
// It exits with 0 after a graceful shutdown, with 1 if it fails and with 2 if its
// settings are invalid.
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
	"github.com/chestnutspring/chestnutspring/internal/listenlimit"
	"github.com/chestnutspring/chestnutspring/internal/logging"
	"github.com/chestnutspring/chestnutspring/internal/version"
	"github.com/chestnutspring/chestnutspring/platform"
)

const (
	// settingsPollInterval is the interval at which the settings file is checked
	// for changes that were not announced by SIGHUP.
	settingsPollInterval = 2 * time.Second
	// logFlushTimeout bounds the wait for buffered log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
)

type flags struct {
	SettingsPath string     `name:"settings" help:"Path of the settings file." env:"CHESTNUTSPRING_BOOT" default:"${settings}"`
	OperatorPort int        `help:"Port for metrics and the state dump." env:"CHESTNUT_OPERATOR_PORT" default:"9464"`
	LogLevel     slog.Level `help:"Minimum log level: debug, info, warn or error." env:"CHESTNUT_LOG_LEVEL" default:"info"`
	listenlimit.Settings
	Check   bool             `help:"Check the settings file and exit." env:"-"`
	Version kong.VersionFlag `help:"Print the version and exit." env:"-"`
}

func main() {
	// A SIGHUP that comes before this ends the process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	var f flags
	kong.Parse(&f,
		kong.Name("chestnut-edge"),
		kong.Description("Serves the services routed through one entry VM."),
		kong.Vars{"version": version.String(), "settings": platform.DefaultSettingsPath},
		command.UsageExit(command.ExitSettings),
	)
	os.Exit(run(&f, hangup))
}

func run(f *flags, hangup <-chan os.Signal) int {
	settings, err := platform.LoadSettings(f.SettingsPath, f.OperatorPort)
	if err != nil {
		fmt.Fprintln(os.Stderr, "chestnut-edge:", err)
		return command.ExitSettings
	}
	settings.Clients = f.Settings
	if err := settings.Check(); err != nil {
		fmt.Fprintln(os.Stderr, "chestnut-edge:", err)
		return command.ExitSettings
	}
	if f.Check {
		fmt.Println("the settings are correct")
		return 0
	}
	log, sink := logging.NewBounded(os.Stdout, f.LogLevel)
	defer sink.Close(logFlushTimeout)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	process := edge.New(settings, platform.New(settings, log), log)
	if err := process.Run(ctx, watchSettings(ctx, f, hangup, log)); err != nil {
		log.Error("failed", "error", err)
		return command.ExitFailure
	}
	return 0
}

// watchSettings reloads the settings file on a signal of hangup and when the file has
// changed, and sends the settings to the returned channel. If the new settings
// are invalid, it logs the error and the current settings stay in effect.
func watchSettings(ctx context.Context, f *flags, hangup <-chan os.Signal, log *slog.Logger) <-chan *edge.Settings {
	changed := make(chan *edge.Settings)
	go func() {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		lastModified := modTime(f.SettingsPath)
		for {
			select {
			case <-ctx.Done():
				return
			case <-hangup:
				log.Info("SIGHUP received")
			case <-ticker.C:
				if modTime(f.SettingsPath) == lastModified {
					continue
				}
			}
			lastModified = modTime(f.SettingsPath)
			settings, err := platform.LoadSettings(f.SettingsPath, f.OperatorPort)
			if err != nil {
				log.Error("settings not reloaded", "path", f.SettingsPath, "error", err)
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

// modTime returns the modification time of the file, or the zero time if stat
// fails; the next load of the file reports that error.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
