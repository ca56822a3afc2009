// Package command holds what the command lines of the project's programs share.
package command

import (
	"os"

	"github.com/alecthomas/kong"
)

// The exit codes of the programs that serve.
const (
	ExitFailure  = 1
	ExitSettings = 2
)

// UsageExit makes a command line that can't be parsed end with the code.
func UsageExit(code int) kong.Option {
	return kong.Exit(func(parsed int) {
		if parsed != 0 {
			parsed = code
		}
		os.Exit(parsed)
	})
}
