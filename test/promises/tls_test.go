package promises

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/testbed"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// authority signs certificates for a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert: cert, key: key}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// issue writes a certificate, its key and the authority to files in dir.
func (a *authority) issue(t *testing.T, dir string) (cert, key, ca string) {
	t.Helper()
	private := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "gateway"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &private.PublicKey, a.key)
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
	writePEM(t, ca, "CERTIFICATE", a.cert.Raw)
	return cert, key, ca
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// With TLS on, gateways serve one another's requests over mutual TLS, and a
// peer with a certificate of another authority is refused.
func TestGatewaysTalkOverMutualTLS(t *testing.T) {
	trusted := newAuthority(t)
	cert, key, ca := trusted.issue(t, t.TempDir())
	bed := startBed(t, func(c *testbed.Config) {
		c.GatewayArgs = []string{"--tls-cert=" + cert, "--tls-key=" + key, "--tls-ca=" + ca}
	})
	// A booking at another entry than its key's owner crosses between gateways.
	b := newBookings(t, bed)
	keys := b.newKeys(t, bed.GatewaysOf("jeju")[0], 3)
	b.attemptAll(keys, defaultTimeout)
	b.audit(t)

	forward := bed.GatewaysOf("jeju")[0].ForwardAddress()
	if err := dialTLS(t, forward, trusted); err != nil {
		t.Errorf("a peer of the same authority is refused: %v", err)
	}
	if err := dialTLS(t, forward, newAuthority(t)); err == nil {
		t.Error("a peer of another authority is taken")
	}
	if resp, err := http.Get("http://" + forward + "/"); err == nil {
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			t.Error("a peer without TLS is taken")
		}
	}
}

// dialTLS connects as a peer with a certificate of the authority and waits for
// the server's word, which comes after the handshake.
func dialTLS(t *testing.T, address string, a *authority) error {
	t.Helper()
	certFile, keyFile, _ := a.issue(t, t.TempDir())
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := tls.Dial("tcp", address, &tls.Config{
		Certificates: []tls.Certificate{pair}, InsecureSkipVerify: true, NextProtos: []string{"h2"},
	})
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = conn.Read(make([]byte, 1))
	return err
}

// Callers reach an entry over TLS, and a new certificate is shown once its
// files have changed.
func TestCallersUseTLSAndCertificatesAreRenewed(t *testing.T) {
	first, second := newAuthority(t), newAuthority(t)
	dir := t.TempDir()
	cert, key, _ := first.issue(t, dir)
	bed := startBed(t, func(c *testbed.Config) {
		c.GatewaysPerRegion = 1
		c.GatewayArgs = []string{"--caller-tls-cert=" + cert, "--caller-tls-key=" + key}
	})
	entry := bed.GatewaysOf("jeju")[0].CallerAddress()
	if err := askEntries(entry, first); err != nil {
		t.Errorf("over TLS: %v", err)
	}
	if err := askEntries(entry, second); err == nil {
		t.Error("the certificate is of the wrong authority")
	}
	second.issue(t, dir)
	within(t, renewalBound, "the new certificate is shown", func() bool { return askEntries(entry, second) == nil })
}

// renewalBound is the time within which changed files are read.
const renewalBound = 10 * time.Second

// askEntries asks for the entries over TLS, on a connection of its own.
func askEntries(entry string, trusted *authority) error {
	roots := x509.NewCertPool()
	roots.AddCert(trusted.cert)
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get("https://" + entry + wire.PathEntries)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
