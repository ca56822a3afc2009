package gateway

import (
	"log"
	"net"
	"net/http"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/logging"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// maxHeaderBytes is the maximum size of the headers of a request.
const maxHeaderBytes = wire.MaxHeaderBytes

// forwardProtocols enables only HTTP/2, with or without TLS.
func forwardProtocols(withTLS bool) *http.Protocols {
	protocols := new(http.Protocols)
	if withTLS {
		protocols.SetHTTP2(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	return protocols
}

// serveForward serves requests from other gateways. It returns nil after the
// server was closed.
func serveForward(server *http.Server, l net.Listener) error {
	if server.TLSConfig != nil {
		return background.IgnoreClosed(server.ServeTLS(l, "", ""))
	}
	return background.IgnoreClosed(server.Serve(l))
}

// httpLog returns the logger of the HTTP servers.
func (g *gateway) httpLog() *log.Logger { return logging.NewServerLog(g.log) }
