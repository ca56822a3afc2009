package gateway

import (
	"crypto/tls"

	"github.com/chestnutspring/chestnutspring/internal/tlsconfig"
)

// tlsConfigs holds the TLS configurations of the ports. A nil field disables TLS.
type tlsConfigs struct {
	callers    *tls.Config
	peerServer *tls.Config
	peerClient *tls.Config
}

func loadTLS(settings *Settings) (*tlsConfigs, error) {
	server, client, err := tlsconfig.Load(settings.TLSCert, settings.TLSKey, settings.TLSCA)
	if err != nil {
		return nil, err
	}
	callers, err := tlsconfig.LoadServer(settings.CallerTLSCert, settings.CallerTLSKey)
	if err != nil {
		return nil, err
	}
	return &tlsConfigs{callers: callers, peerServer: server, peerClient: client}, nil
}
