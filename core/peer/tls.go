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

// reloadInterval is how long a certificate is used before its files are read again.
const reloadInterval = 10 * time.Second

// Identity is a process's certificate and the authority that must have issued its peers' certificates. The files are read
// again while the process runs, so that they can be replaced without a restart.
type Identity struct {
	files settings.TLS

	mu     sync.Mutex
	loaded time.Time
	cert   *tls.Certificate
	pool   *x509.CertPool
}

// NewIdentity reads the files at once, so that faults in them are found at startup.
func NewIdentity(files settings.TLS) (*Identity, error) {
	i := &Identity{files: files}
	_, _, err := i.load()
	return i, err
}

// OptionalIdentity returns the identity of the named files, or nil if none are named.
func OptionalIdentity(files settings.TLS) (*Identity, error) {
	if !files.Used() {
		return nil, nil
	}
	return NewIdentity(files)
}

// load returns the certificate and the authority's pool. If the files can no longer be read, the previous ones stay in use.
func (i *Identity) load() (*tls.Certificate, *x509.CertPool, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cert != nil && time.Since(i.loaded) < reloadInterval {
		return i.cert, i.pool, nil
	}
	cert, pool, err := readFiles(i.files)
	if err != nil && i.cert == nil {
		return nil, nil, err
	}
	if err == nil {
		i.cert, i.pool = cert, pool
	}
	i.loaded = time.Now()
	return i.cert, i.pool, nil
}

func readFiles(files settings.TLS) (*tls.Certificate, *x509.CertPool, error) {
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
		return nil, nil, errors.Newf("%s contains no certificate", files.Authority)
	}
	return &cert, pool, nil
}

// CallerConfig returns the TLS configuration of a server whose callers need no certificate.
func (i *Identity) CallerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: i.certificate}
}

func (i *Identity) certificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	cert, _, err := i.load()
	return cert, err
}

// ServerConfig returns the TLS configuration of the accepting end, which requires a certificate from the authority.
func (i *Identity) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ClientAuth:       tls.RequireAnyClientCert,
		GetCertificate:   i.certificate,
		VerifyConnection: func(s tls.ConnectionState) error { return i.verify(s, x509.ExtKeyUsageClientAuth) },
	}
}

// ClientConfig returns the TLS configuration of the dialling end.
func (i *Identity) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return i.certificate(nil) },
		// Processes are dialled by IP address, so verify checks the authority and no host name.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return i.verify(s, x509.ExtKeyUsageServerAuth) },
	}
}

// verify checks the other end's certificate against the current authority.
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
	_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return errors.Wrap(err, "verifying the peer's certificate")
}
