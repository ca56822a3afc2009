package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/chestnutspring/chestnutspring/internal/command"
)

// runAsProgram makes the test binary run the program instead of the tests.
const runAsProgram = "CHESTNUT_EDGE_TEST_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards against issue 35: a SIGHUP that came while the settings were read at the start
// ended the process.
func TestSIGHUPDuringStartDoesNotEndTheProcess(t *testing.T) {
	is := is.New(t)
	settings := filepath.Join(t.TempDir(), "settings.toml")
	is.NoErr(syscall.Mkfifo(settings, 0o600))
	program := exec.CommandContext(t.Context(), os.Args[0], "--settings", settings)
	program.Env = append(os.Environ(), runAsProgram+"=1")
	is.NoErr(program.Start())
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0) // until the program reads it
	is.NoErr(err)
	is.NoErr(program.Process.Signal(syscall.SIGHUP))
	_, err = pipe.WriteString("no settings")
	is.NoErr(err)
	is.NoErr(pipe.Close())
	_ = program.Wait()
	is.Equal(program.ProcessState.ExitCode(), command.ExitSettings) // not by a signal
}
