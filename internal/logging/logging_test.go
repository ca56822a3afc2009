package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
)

func TestRecordIsOneLineWithoutStackTrace(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	New(&out, slog.LevelInfo).Warn("list not read", "error", errorx.IllegalState.New("no list"))
	is.Equal(strings.Count(out.String(), "\n"), 1)
	is.True(!strings.Contains(out.String(), ".go:"))
	is.True(strings.Contains(out.String(), "no list"))
}
