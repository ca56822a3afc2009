// Package tlstest issues certificates for tests.
package tlstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"
)

// validity is how long certificates are valid before and after they are issued.
const validity = time.Hour

// serial is the last serial number used. It also makes files' modification
// times distinct.
var serial atomic.Int64

// Authority is a certificate authority.
type Authority struct {
	// Cert is the authority's own certificate.
	Cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key.
func NewAuthority(t testing.TB) *Authority {
	t.Helper()
	key := newKey(t)
	template := newTemplate("authority")
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &Authority{Cert: cert, key: key}
}

// Issue writes a new certificate for 127.0.0.1, its key and the authority's
// certificate to files in dir and returns their paths. The files' modification
// times are later than those of any files that they replace.
func (a *Authority) Issue(t testing.TB, dir string) (cert, key, ca string) {
	t.Helper()
	private := newKey(t)
	template := newTemplate("gateway")
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.Cert, &private.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalECPrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	cert, key, ca = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")
	writePEM(t, cert, "CERTIFICATE", der)
	writePEM(t, key, "EC PRIVATE KEY", encoded)
	writePEM(t, ca, "CERTIFICATE", a.Cert.Raw)
	return cert, key, ca
}

func newKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func newTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial.Add(1)), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-validity), NotAfter: time.Now().Add(validity),
	}
}

func writePEM(t testing.TB, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	// File systems may store modification times coarsely, so a replaced file
	// could look unchanged without a distinct time.
	modTime := time.Now().Add(time.Duration(serial.Add(1)) * time.Second)
	if err := os.Chtimes(path, modTime, modTime); err != nil {
		t.Fatal(err)
	}
}
