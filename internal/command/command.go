// Package command holds code shared by the command lines of the programs.
package command

import (
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes of chestnut-edge and chestnut-gateway.
const (
	// ExitFailure means that the program failed at run time.
	ExitFailure = 1
	// ExitSettings means that the command line or the settings are invalid.
	ExitSettings = 2
)

// UsageExit returns a kong option that makes the program exit with the code if
// the command line is invalid.
func UsageExit(code int) kong.Option {
	return kong.Exit(func(parsed int) {
		if parsed != 0 {
			parsed = code
		}
		os.Exit(parsed)
	})
}
