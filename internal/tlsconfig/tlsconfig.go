// Package tlsconfig builds the mutual TLS configurations of gateways from files
// and reloads the files when they change.
package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// Errors of this package.
var (
	Errors = errorx.NewNamespace("tlsconfig").ApplyModifiers(errorx.TypeModifierOmitStackTrace)
	// ErrFiles means that a file can't be read or that the files don't contain a
	// valid key pair or CA certificate, or that a peer sent no certificate.
	ErrFiles = Errors.NewType("files")
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Load reads the certificate, its key and the certificate of the CA that signs
// peers' certificates. Both configurations verify the peer's certificate and
// reload the files when they change: connections opened after a change use the
// new files. If changed files can't be loaded, the previous ones stay in use. If
// all three names are empty, TLS is off and both configurations are nil.
// Errors are of type ErrFiles.
func Load(certFile, keyFile, caFile string) (server, client *tls.Config, err error) {
	if certFile == "" && keyFile == "" && caFile == "" {
		return nil, nil, nil
	}
	l := &loader{certFile: certFile, keyFile: keyFile, caFile: caFile}
	if err := l.read(); err != nil {
		return nil, nil, err
	}
	return l.serverConfig(), l.clientConfig(), nil
}

// keyMaterial is the content of the files.
type keyMaterial struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// loader reads the files and reloads them when their modification times change.
type loader struct {
	certFile, keyFile, caFile string

	mu      sync.Mutex
	current keyMaterial
	// modTimes are the modification times of the files that current was read
	// from; the zero time stands for a file that is absent or not configured.
	modTimes [3]time.Time
	// checkedAt is the time of the last check for changes.
	checkedAt time.Time
}

// read loads the files into current. On an error current is unchanged.
func (l *loader) read() error {
	modTimes := l.statFiles()
	cert, err := tls.LoadX509KeyPair(l.certFile, l.keyFile)
	if err != nil {
		return ErrFiles.Wrap(err, "load certificate %s and key %s", l.certFile, l.keyFile)
	}
	roots, err := l.readCA()
	if err != nil {
		return err
	}
	l.current, l.modTimes = keyMaterial{cert: cert, roots: roots}, modTimes
	return nil
}

// readCA returns the CA certificates, or nil if no CA file is configured.
func (l *loader) readCA() (*x509.CertPool, error) {
	if l.caFile == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(l.caFile)
	if err != nil {
		return nil, ErrFiles.Wrap(err, "read CA certificate")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, ErrFiles.New("no CA certificate in %s", l.caFile)
	}
	return roots, nil
}

// statFiles returns the modification times of the files.
func (l *loader) statFiles() (modTimes [3]time.Time) {
	for i, name := range []string{l.certFile, l.keyFile, l.caFile} {
		if info, err := os.Stat(name); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// latest reloads the files if they have changed and returns the last content
// that was loaded successfully.
func (l *loader) latest() keyMaterial {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.checkedAt) < checkInterval {
		return l.current
	}
	l.checkedAt = time.Now()
	if l.statFiles() != l.modTimes {
		_ = l.read() // on an error the previous content stays in use
	}
	return l.current
}

func (l *loader) serverConfig() *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13}
	base.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		m := l.latest()
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{m.cert},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    m.roots,
			NextProtos:   []string{"h2", "http/1.1"},
		}, nil
	}
	return base
}

// clientConfig replaces the default verification by verifyChain: the CA may
// change between connections, and host names aren't verified because peers are
// addressed by IP address.
func (l *loader) clientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			m := l.latest()
			return &m.cert, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, l.latest().roots)
		},
	}
}

// verifyChain verifies the peer's certificate against the roots, or against the
// system's roots if roots is nil.
func verifyChain(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return ErrFiles.New("the peer sent no certificate")
	}
	options := x509.VerifyOptions{
		Roots:         roots,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, cert := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}

// LoadServer reads the certificate and key for callers' connections and reloads
// the files when they change. If both names are empty, TLS is off and the result
// is nil. Errors are of type ErrFiles.
func LoadServer(certFile, keyFile string) (*tls.Config, error) {
	if certFile == "" && keyFile == "" {
		return nil, nil
	}
	l := &loader{certFile: certFile, keyFile: keyFile}
	if err := l.read(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			m := l.latest()
			return &m.cert, nil
		},
	}, nil
}
