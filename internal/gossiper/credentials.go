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

// protocolName is the application protocol of the connections between instances.
const protocolName = "papayaworks-peer/1"

// Credentials are an instance's certificate and the authority that its peers' certificates must come from.
// The files are read again when their modification times change, checked at each handshake.
type Credentials struct {
	Certificate, Key, Authority string

	mu         sync.Mutex
	loaded     *loaded
	generation int
}

// loaded is one reading of the files.
type loaded struct {
	times [3]time.Time
	cert  tls.Certificate
	roots *x509.CertPool
}

// LoadCredentials reads the three files.
func LoadCredentials(certificate, key, authority string) (*Credentials, error) {
	c := &Credentials{Certificate: certificate, Key: key, Authority: authority}
	_, err := c.current()
	return c, err
}

// Generation counts how often the files were read.
func (c *Credentials) Generation() (int, error) {
	_, err := c.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation, err
}

// current returns the certificates of the files. While the files are being replaced and do not fit each other,
// the earlier ones stay in use and the error says why.
func (c *Credentials) current() (*loaded, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	times, err := c.times()
	if err == nil && c.loaded != nil && c.loaded.times == times {
		return c.loaded, nil
	}
	var l *loaded
	if err == nil {
		l, err = c.read()
	}
	if err != nil {
		return c.loaded, failer.Wrap(err, "read the certificates between instances", "", "tls")
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

func (c *Credentials) read() (*loaded, error) {
	cert, err := tls.LoadX509KeyPair(c.Certificate, c.Key)
	if err != nil {
		return nil, err
	}
	pem, err := os.ReadFile(c.Authority)
	if err != nil {
		return nil, err
	}
	l := &loaded{cert: cert, roots: x509.NewCertPool()}
	if !l.roots.AppendCertsFromPEM(pem) {
		return nil, errors.New("authority file holds no certificate")
	}
	return l, nil
}

// config returns the TLS configuration of both sides of a connection.
func (c *Credentials) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return c.own()
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return c.own()
		},
		// Peers are addressed by IP address and replaced often, so the chain is verified in verify, without a name.
		InsecureSkipVerify:     true,
		ClientAuth:             tls.RequireAnyClientCert,
		VerifyConnection:       c.verify,
		SessionTicketsDisabled: true,
	}
}

func (c *Credentials) own() (*tls.Certificate, error) {
	l, err := c.current()
	if l == nil {
		return nil, err
	}
	return &l.cert, nil
}

// verify checks that the peer's certificate is valid now and comes from the authority.
func (c *Credentials) verify(s tls.ConnectionState) error {
	l, err := c.current()
	if l == nil {
		return err
	}
	if len(s.PeerCertificates) == 0 {
		return failer.New("peer has no certificate")
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
