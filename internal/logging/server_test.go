package logging

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against issue 45: a panic in a handler showed at debug level only.
func TestPanicsOfHandlersAreLoggedAsErrors(t *testing.T) {
	is := is.New(t)
	var lines safeBuffer
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("a fault") }))
	server.Config.ErrorLog = NewServerLog(slog.New(slog.NewTextHandler(&lines, nil)))
	server.Start()
	_, err := http.Get(server.URL)
	is.True(err != nil)
	server.Close()
	is.True(strings.Contains(lines.String(), "level=ERROR"))
	is.True(strings.Contains(lines.String(), "a fault"))
}

func TestMessagesAboutPeersAreLoggedAtDebugLevel(t *testing.T) {
	is := is.New(t)
	var lines safeBuffer
	log := slog.New(slog.NewTextHandler(&lines, &slog.HandlerOptions{Level: slog.LevelDebug}))
	NewServerLog(log).Print("http: TLS handshake error")
	is.True(strings.Contains(lines.String(), `level=DEBUG msg="http: TLS handshake error"`))
}
