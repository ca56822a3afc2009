package edge

import (
	"bytes"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/chestnutspring/chestnutspring/internal/clock"
	"github.com/chestnutspring/chestnutspring/internal/linkuse"
)

// Guards against issue 51 (GONE): nothing told that records had filled the link of a small VM.
func TestFullLinkIsLoggedWithWhatFillsIt(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	meter := &linkuse.Meter{}
	r := newResources(&Settings{Meter: meter, LinkMbps: 10}, slog.New(slog.NewTextHandler(&lines, nil)), tally.NoopScope)
	a, b := net.Pipe()
	defer func() { _ = b.Close() }()
	go func() {
		buffer := make([]byte, 1<<16)
		for {
			if _, err := b.Read(buffer); err != nil {
				return
			}
		}
	}()
	conn := meter.Conn(a, linkuse.Records)
	defer func() { _ = conn.Close() }()
	now := clock.Instant(time.Hour)
	r.observe(now)
	for _, rate := range []int{400_000, 1_100_000, 900_000, 100_000} { // bytes, of a link that carries 1,250,000
		_, err := conn.Write(make([]byte, rate))
		is.NoErr(err)
		now = now.Add(time.Second)
		r.observe(now)
	}
	var changes []string
	for line := range strings.Lines(lines.String()) {
		if strings.Contains(line, "resource=link") {
			changes = append(changes, line)
		}
	}
	is.Equal(len(changes), 2)
	is.True(strings.Contains(changes[0], "busy=true") && strings.Contains(changes[0], "recordsSent="))
	is.True(strings.Contains(changes[1], "busy=false"))
}
