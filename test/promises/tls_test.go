package promises

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"testing"
	"time"

	"github.com/chestnutspring/chestnutspring/internal/testbed"
	"github.com/chestnutspring/chestnutspring/internal/tlsconfig/tlstest"
	"github.com/chestnutspring/chestnutspring/internal/wire"
)

// Gateways forward requests to one another over mutual TLS, and refuse a peer
// whose certificate comes from another authority.
func TestGatewaysUseMutualTLS(t *testing.T) {
	trusted := tlstest.NewAuthority(t)
	cert, key, ca := trusted.Issue(t, t.TempDir())
	bed := startBed(t, func(c *testbed.Config) {
		c.GatewayArgs = []string{"--tls-cert=" + cert, "--tls-key=" + key, "--tls-ca=" + ca}
	})
	// A booking attempt at an entry that does not own its key is forwarded to the
	// owner.
	b := newBookingRecorder(t, bed)
	keys := b.newKeys(t, bed.GatewaysOf("jeju")[0], 3)
	b.attemptAll(keys, defaultTimeout)
	b.audit(t)

	forward := bed.GatewaysOf("jeju")[0].ForwardAddress()
	if err := dialTLS(t, forward, trusted); err != nil {
		t.Errorf("a peer of the same authority is refused: %v", err)
	}
	if err := dialTLS(t, forward, tlstest.NewAuthority(t)); err == nil {
		t.Error("a peer of another authority is accepted")
	}
	if resp, err := http.Get("http://" + forward + "/"); err == nil {
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			t.Error("a peer without TLS is accepted")
		}
	}
}

// dialTLS connects with a certificate of the authority and waits for the
// server's first byte: in TLS 1.3 a rejected client certificate shows only
// after the client's handshake.
func dialTLS(t *testing.T, address string, a *tlstest.Authority) error {
	t.Helper()
	certFile, keyFile, _ := a.Issue(t, t.TempDir())
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

// Callers reach an entry over TLS, and the entry presents a new certificate
// once its files have changed.
func TestCallerTLSReloadsCertificates(t *testing.T) {
	first, second := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	dir := t.TempDir()
	cert, key, _ := first.Issue(t, dir)
	bed := startBed(t, func(c *testbed.Config) {
		c.GatewaysPerRegion = 1
		c.GatewayArgs = []string{"--caller-tls-cert=" + cert, "--caller-tls-key=" + key}
	})
	entry := bed.GatewaysOf("jeju")[0].CallerAddress()
	if err := getEntries(entry, first); err != nil {
		t.Errorf("request over TLS: %v", err)
	}
	if err := getEntries(entry, second); err == nil {
		t.Error("the entry presented a certificate of the wrong authority")
	}
	second.Issue(t, dir)
	eventually(t, certificateReloadBound, "the entry presents the new certificate", func() bool { return getEntries(entry, second) == nil })
}

// certificateReloadBound is the time within which the gateway loads changed
// certificate files.
const certificateReloadBound = 10 * time.Second

// getEntries requests /v1/entries over TLS on a new connection.
func getEntries(entry string, trusted *tlstest.Authority) error {
	roots := x509.NewCertPool()
	roots.AddCert(trusted.Cert)
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get("https://" + entry + wire.PathEntries)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
