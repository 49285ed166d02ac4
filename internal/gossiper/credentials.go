package gossiper

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/papayaworks/papayaworks/internal/failer"
)

// protocolName is the ALPN name of the protocol between instances.
const protocolName = "papayaworks-peer/1"

// Credentials are an instance's certificate and key and the certificate authority that must have issued the certificates of
// its peers. Each handshake checks the modification times of the files and reloads them if one has changed. Its methods are
// safe for concurrent use.
type Credentials struct {
	Certificate, Key, Authority string

	mu         sync.Mutex
	loaded     *loadedFiles
	generation int
}

// loadedFiles is the content of the files with their modification times.
type loadedFiles struct {
	times [3]time.Time
	cert  tls.Certificate
	roots *x509.CertPool
}

// LoadCredentials loads the three files.
func LoadCredentials(certificate, key, authority string) (*Credentials, error) {
	c := &Credentials{Certificate: certificate, Key: key, Authority: authority}
	_, err := c.current()
	return c, err
}

// Generation returns how often the files were loaded. It reloads them if they have changed.
func (c *Credentials) Generation() (int, error) {
	_, err := c.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation, err
}

// current returns the certificates of the files. If they cannot be loaded, for example while they are being replaced and
// certificate and key do not match, it returns the previous ones and the error.
func (c *Credentials) current() (*loadedFiles, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	times, err := c.times()
	if err == nil && c.loaded != nil && c.loaded.times == times {
		return c.loaded, nil
	}
	var l *loadedFiles
	if err == nil {
		l, err = c.read()
	}
	if err != nil {
		return c.loaded, failer.Wrap(err, "load the certificates for peers", "", "tls")
	}
	l.times = times
	c.loaded = l
	c.generation++
	return l, nil
}

func (c *Credentials) times() (out [3]time.Time, err error) {
	for i, f := range []string{c.Certificate, c.Key, c.Authority} {
		st, err := os.Stat(f)
		if err != nil {
			return out, err
		}
		out[i] = st.ModTime()
	}
	return out, nil
}

func (c *Credentials) read() (*loadedFiles, error) {
	cert, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, err
	}
	l := &loadedFiles{cert: cert, roots: x509.NewCertPool()}
	if !l.roots.AppendCertsFromPEM(pem) {
		return nil, errors.New("authority file contains no certificate")
	}
	return l, nil
}

// config returns the TLS configuration for both sides of a connection.
func (c *Credentials) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.ownCertificate()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.ownCertificate()
		},
		// Peers are addressed by IP address and replaced often, so verify checks the certificate chain without a host name.
		InsecureSkipVerify:     true,
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       c.verify,
		SessionTicketsDisabled: true,
	}
}

func (c *Credentials) ownCertificate() (*tls.Certificate, error) {
	l, err := c.current()
	if l == nil {
		return nil, err
	}
	return &l.cert, nil
}

// verify checks that the peer's certificate is currently valid and was issued by the authority.
func (c *Credentials) verify(s tls.ConnectionState) error {
	l, err := c.current()
	if l == nil {
		return err
	}
	if len(s.PeerCertificates) == 0 {
		return failer.New("peer sent no certificate")
	}
	opts := x509.VerifyOptions{
		Roots: l.roots, Intermediates: x509.NewCertPool(),
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	for _, ic := range s.PeerCertificates[1:] {
		opts.Intermediates.AddCert(ic)
	}
	_, err = s.PeerCertificates[0].Verify(opts)
	return err
}
