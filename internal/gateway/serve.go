package gateway

import (
	"context"
	"errors"
	"log"
	"log/slog"
	"net"
	"net/http"

	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// maxHeaderBytes bounds the headers of a request.
const maxHeaderBytes = wire.MaxHeaderBytes

// forwardProtocols returns HTTP/2, with or without TLS.
func forwardProtocols(withTLS bool) *http.Protocols {
	protocols := new(http.Protocols)
	if withTLS {
		protocols.SetHTTP2(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	return protocols
}

func serveForward(server *http.Server, l net.Listener) error {
	if server.TLSConfig != nil {
		return ignoreClosed(server.ServeTLS(l, "", ""))
	}
	return ignoreClosed(server.Serve(l))
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// ignoreEnd drops the error of a part that ended because ctx did.
func ignoreEnd(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// httpLog passes the lines of net/http's servers on as debug events.
func (g *gateway) httpLog() *log.Logger {
	return slog.NewLogLogger(g.log.Handler(), slog.LevelDebug)
}
