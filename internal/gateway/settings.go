// Package gateway assembles and runs a gateway process.
package gateway

import (
	"log/slog"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chestnutspring/chestnutspring/internal/listenlimit"
)

// Settings are the static settings of a gateway, read from flags and environment
// variables.
type Settings struct {
	VM            string `name:"vm" help:"Name of this VM." env:"CHESTNUT_VM" required:""`
	Region        string `help:"Region of this VM." env:"CHESTNUT_REGION" required:""`
	FailureDomain string `help:"Failure domain of this VM." env:"CHESTNUT_FAILURE_DOMAIN" required:""`

	CallerListen   string `help:"Address of the callers' port, IP:port." env:"CHESTNUT_CALLER_LISTEN" default:"127.0.0.1:8080"`
	ForwardListen  string `help:"Address for requests from other gateways, IP:port." env:"CHESTNUT_FORWARD_LISTEN" default:"127.0.0.1:8081"`
	ControlListen  string `help:"Address for control messages, IP:port." env:"CHESTNUT_CONTROL_LISTEN" default:"127.0.0.1:8082"`
	OperatorListen string `help:"Address of the operators' port, IP:port." env:"CHESTNUT_OPERATOR_LISTEN" default:"127.0.0.1:8083"`

	Platform string   `help:"URL of the platform's configuration service." env:"CHESTNUT_PLATFORM" required:""`
	Peers    []string `help:"Control addresses of other gateways, used while the list of VMs can't be read." env:"CHESTNUT_PEERS"`

	TLSCert       string `name:"tls-cert" help:"Certificate between gateways (PEM file)." env:"CHESTNUT_TLS_CERT"`
	TLSKey        string `name:"tls-key" help:"Key between gateways (PEM file)." env:"CHESTNUT_TLS_KEY"`
	TLSCA         string `name:"tls-ca" help:"Authority that gateways' certificates must come from (PEM file)." env:"CHESTNUT_TLS_CA"`
	CallerTLSCert string `name:"caller-tls-cert" help:"Certificate towards callers (PEM file)." env:"CHESTNUT_CALLER_TLS_CERT"`
	CallerTLSKey  string `name:"caller-tls-key" help:"Key towards callers (PEM file)." env:"CHESTNUT_CALLER_TLS_KEY"`

	MemoryMB    int64                `name:"memory-mb" help:"Memory of this process in MiB; 0 means unknown." env:"CHESTNUT_MEMORY_MB"`
	Descriptors int                  `help:"Open descriptors that this process may have; 0 means its own limit." env:"CHESTNUT_MAX_DESCRIPTORS"`
	Clients     listenlimit.Settings `embed:""`

	Linger   time.Duration `help:"Time after SIGTERM in which new work is still taken." env:"CHESTNUT_LINGER" default:"3s"`
	LogLevel slog.Level    `help:"Lowest level of log lines: debug, info, warn or error." env:"CHESTNUT_LOG_LEVEL" default:"info"`
}

// Errors of this package.
var (
	Errors = errorx.NewNamespace("gateway")
	// ErrSettings is returned if the settings are invalid. Its message lists all
	// faults.
	ErrSettings = Errors.NewType("settings")
	// ErrListen is returned if listening on an address fails.
	ErrListen = Errors.NewType("listen")
)

// Check validates the settings. The error is ErrSettings, which lists all faults.
func (s *Settings) Check() error {
	var faults []string
	addresses := []struct{ flag, value string }{
		{"caller-listen", s.CallerListen},
		{"forward-listen", s.ForwardListen},
		{"control-listen", s.ControlListen},
		{"operator-listen", s.OperatorListen},
	}
	for _, peer := range s.Peers {
		addresses = append(addresses, struct{ flag, value string }{"peers", peer})
	}
	for _, a := range addresses {
		if !isIPPort(a.value) {
			faults = append(faults, "--"+a.flag+": "+a.value+" is not IP:port")
		}
	}
	if u, err := url.Parse(s.Platform); err != nil || u.Scheme == "" || !isIPPort(u.Host) {
		faults = append(faults, "--platform: "+s.Platform+" is not a URL with IP:port")
	}
	faults = append(faults, s.checkTLS()...)
	if s.Linger < 0 {
		faults = append(faults, "--linger: is below 0")
	}
	if s.MemoryMB < 0 || s.Descriptors < 0 {
		faults = append(faults, "--memory-mb or --descriptors: is below 0")
	}
	faults = append(faults, s.Clients.Check()...)
	if len(faults) > 0 {
		return ErrSettings.New("%s", strings.Join(faults, "; "))
	}
	return nil
}

func (s *Settings) checkTLS() []string {
	var faults []string
	set := 0
	for _, file := range []string{s.TLSCert, s.TLSKey, s.TLSCA} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		faults = append(faults, "--tls-cert, --tls-key and --tls-ca go together")
	}
	if (s.CallerTLSCert == "") != (s.CallerTLSKey == "") {
		faults = append(faults, "--caller-tls-cert and --caller-tls-key go together")
	}
	return faults
}

func isIPPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
