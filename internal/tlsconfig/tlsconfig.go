// Package tlsconfig builds the mutual TLS settings of gateways from files and
// follows changes of the files.
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
	// ErrFiles says that the files don't hold a usable key pair or authority.
	ErrFiles = Errors.NewType("files")
)

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// Load reads the certificate, its key and the authority that signs peers'
// certificates. Both configurations ask for the peer's certificate and follow
// changes of the files: a connection made after a change uses the new ones.
// Files that are unreadable after a change leave the old ones in force. All
// names empty means no TLS: both configurations are nil.
func Load(certFile, keyFile, caFile string) (server, client *tls.Config, err error) {
	if certFile == "" && keyFile == "" && caFile == "" {
		return nil, nil, nil
	}
	s := &source{certFile: certFile, keyFile: keyFile, caFile: caFile}
	if err := s.read(); err != nil {
		return nil, nil, err
	}
	return s.server(), s.client(), nil
}

// material is what the files held at one time.
type material struct {
	cert  tls.Certificate
	roots *x509.CertPool
}

// source reads the files again when they have changed.
type source struct {
	certFile, keyFile, caFile string

	mu      sync.Mutex
	current material
	stamp   [3]time.Time
	checked time.Time
}

func (s *source) read() error {
	stamp := s.stamps()
	cert, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		return ErrFiles.Wrap(err, "key pair %s, %s", s.certFile, s.keyFile)
	}
	roots, err := s.readAuthority()
	if err != nil {
		return err
	}
	s.current, s.stamp = material{cert: cert, roots: roots}, stamp
	return nil
}

// readAuthority returns nil where no authority is named.
func (s *source) readAuthority() (*x509.CertPool, error) {
	if s.caFile == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(s.caFile)
	if err != nil {
		return nil, ErrFiles.Wrap(err, "authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, ErrFiles.New("no certificate in %s", s.caFile)
	}
	return roots, nil
}

func (s *source) stamps() (stamp [3]time.Time) {
	for i, name := range []string{s.certFile, s.keyFile, s.caFile} {
		if info, err := os.Stat(name); err == nil {
			stamp[i] = info.ModTime()
		}
	}
	return stamp
}

// get returns the newest material that could be read.
func (s *source) get() material {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) < checkInterval {
		return s.current
	}
	s.checked = time.Now()
	if s.stamps() != s.stamp {
		_ = s.read() // the old material stays in force
	}
	return s.current
}

func (s *source) server() *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13}
	base.GetConfigForClient = func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		m := s.get()
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

// client verifies the server's chain itself, since the authority may change
// and peers are addressed by IP number.
func (s *source) client() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // VerifyConnection does it
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			m := s.get()
			return &m.cert, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			return verify(state, s.get().roots)
		},
	}
}

func verify(state tls.ConnectionState, roots *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return ErrFiles.New("the peer has no certificate")
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

// LoadServer reads the certificate and the key that are shown to callers and
// follows changes of the files. Empty names mean no TLS: the result is nil.
func LoadServer(certFile, keyFile string) (*tls.Config, error) {
	if certFile == "" && keyFile == "" {
		return nil, nil
	}
	s := &source{certFile: certFile, keyFile: keyFile}
	if err := s.read(); err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			m := s.get()
			return &m.cert, nil
		},
	}, nil
}
