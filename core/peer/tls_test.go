package peer

import (
	"context"
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
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/settings"
)

// authority issues certificates for a test.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	c := qt.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"},
		NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	cert, err := x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	return &authority{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// identity returns the identity of a process whose certificate is signed by issuer and that trusts the authority trusted.
func identity(t *testing.T, issuer, trusted *authority) *Identity {
	t.Helper()
	c := qt.New(t)
	dir := t.TempDir()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "process"}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, issuer.cert, &key.PublicKey, issuer.key)
	c.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	c.Assert(err, qt.IsNil)
	files := settings.TLS{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), Authority: filepath.Join(dir, "ca")}
	c.Assert(os.WriteFile(files.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600), qt.IsNil)
	c.Assert(os.WriteFile(files.Authority, trusted.pem, 0o600), qt.IsNil)
	i, err := NewIdentity(files)
	c.Assert(err, qt.IsNil)
	return i
}

func TestOnlyPeersOfTheAuthorityAreServed(t *testing.T) {
	ours, other := newAuthority(t), newAuthority(t)
	tests := map[string]struct {
		client *Identity
		want   bool
	}{
		"peer of the authority":              {identity(t, ours, ours), true},
		"peer of another authority":          {identity(t, other, ours), false},
		"peer that trusts another authority": {identity(t, ours, other), false},
		"peer without a certificate":         {nil, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			server := newEndpoint(t, serveFunc(serveChunks), loopback)
			server.Identity = identity(t, ours, ours)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = server.Listen(ctx, ln)
			}()
			defer func() {
				cancel()
				server.Close()
				<-done
			}()
			dialler := newEndpoint(t, nil, loopback)
			dialler.Identity = test.client
			l, err := dialler.Dial(ctx, ln.Addr().String())
			if err == nil {
				_, err = Request[*End](ctx, l, &Submit{}, 2*time.Second)
			}
			c.Assert(err == nil, qt.Equals, test.want, qt.Commentf("%v", err))
		})
	}
}
