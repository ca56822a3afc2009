package gateway

import (
	"cmp"
	"log"
	"net"
	"net/http"

	"github.com/chestnutspring/chestnutspring/internal/background"
	"github.com/chestnutspring/chestnutspring/internal/drain"
	"github.com/chestnutspring/chestnutspring/internal/forward"
	"github.com/chestnutspring/chestnutspring/internal/listenlimit"
	"github.com/chestnutspring/chestnutspring/internal/logging"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// The ports and their shares of the connections.
var (
	callerKind   = listenlimit.Kind{Name: "callers", Share: 0.6, Bodies: true, KeepAlive: drain.KeepAlive}
	forwardKind  = listenlimit.Kind{Name: "forward", Share: 0.2, Bodies: true, BufferBytes: forward.MaxReceiveBuffer, Messages: true}
	controlKind  = listenlimit.Kind{Name: "control", Share: 0.1, Messages: true}
	operatorKind = listenlimit.Kind{Name: "operators", Share: 0.1}
)

// tlsBufferBytes is the memory of a TLS connection: a record each way.
const tlsBufferBytes = 2 * 16 << 10

// clientBounds returns the bounds of what clients may hold. The default of a header and of the
// time for a whole request are those that callers were told.
func clientBounds(s *Settings) listenlimit.Bounds {
	clients := s.Clients
	clients.MaxHeaderBytes = cmp.Or(clients.MaxHeaderBytes, wire.MaxHeaderBytes)
	clients.BodyTimeout = cmp.Or(clients.BodyTimeout, bodyTimeout)
	ports := []listenlimit.Kind{callerKind, forwardKind, controlKind, operatorKind}
	if s.CallerTLSCert != "" {
		ports[0].BufferBytes += tlsBufferBytes
	}
	if s.TLSCert != "" {
		ports[1].BufferBytes += tlsBufferBytes
		ports[2].BufferBytes += tlsBufferBytes
	}
	return clients.Resolve(s.MemoryMB<<20, listenlimit.Descriptors(s.Descriptors), ports...)
}

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
