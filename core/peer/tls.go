package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"rattantrack.dev/core/settings"
)

// reloadInterval is how long a certificate is used before its files are looked at again.
const reloadInterval = 10 * time.Second

// Identity is a process's certificate and the authority that its peers' certificates must come from. The files are read
// again while the process runs, so that they can be replaced without a restart.
type Identity struct {
	files settings.TLS

	mu     sync.Mutex
	loaded time.Time
	cert   *tls.Certificate
	pool   *x509.CertPool
}

// NewIdentity reads the files once, so that faults in them show at the start.
func NewIdentity(files settings.TLS) (*Identity, error) {
	i := &Identity{files: files}
	_, _, err := i.load()
	return i, err
}

// IdentityOf returns the identity of the named files, or nil where none are named.
func IdentityOf(files settings.TLS) (*Identity, error) {
	if !files.Used() {
		return nil, nil
	}
	return NewIdentity(files)
}

// load returns the certificate and the authority; files that have become unreadable leave the old ones in use.
func (i *Identity) load() (*tls.Certificate, *x509.CertPool, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cert != nil && time.Since(i.loaded) < reloadInterval {
		return i.cert, i.pool, nil
	}
	cert, pool, err := read(i.files)
	if err != nil && i.cert == nil {
		return nil, nil, err
	}
	if err == nil {
		i.cert, i.pool = cert, pool
	}
	i.loaded = time.Now()
	return i.cert, i.pool, nil
}

func read(files settings.TLS) (*tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "reading the certificate")
	}
	if files.Authority == "" {
		return &cert, nil, nil
	}
	text, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, nil, errors.Wrap(err, "reading the authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, nil, errors.Newf("%s holds no certificate", files.Authority)
	}
	return &cert, pool, nil
}

// CallerConfig returns the configuration of a server whose callers need no certificate.
func (i *Identity) CallerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: i.certificate}
}

func (i *Identity) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	cert, _, err := i.load()
	return cert, err
}

// Server returns the configuration of the accepting end, which demands a certificate of the authority.
func (i *Identity) Server() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ClientAuth:       tls.RequireAnyClientCert,
		GetCertificate:   i.certificate,
		VerifyConnection: func(s tls.ConnectionState) error { return i.verify(s, x509.ExtKeyUsageClientAuth) },
	}
}

// Client returns the configuration of the dialling end.
func (i *Identity) Client() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return i.certificate(nil) },
		// Processes are dialled by IP number, so verify checks the authority and not a host name.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return i.verify(s, x509.ExtKeyUsageServerAuth) },
	}
}

// verify checks the other end's certificate against the authority as it is now.
func (i *Identity) verify(s tls.ConnectionState, usage x509.ExtKeyUsage) error {
	_, pool, err := i.load()
	if err != nil {
		return err
	}
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer has no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage}})
	return errors.Wrap(err, "verifying the peer's certificate")
}
