// Package certtest issues peer certificates for tests and the demo.
//
// In a deployment the operator provides the certificates; the `run` command does
// not use this package.
//
// # Usage
//
//	ca, err := certtest.New("papayaworks demo")
//	files, err := ca.Issue(dir, "kochi-a-1")
//	settings.TLS = configurer.TLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority}
package certtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

// validFor is the validity period of the certificates.
const validFor = 24 * time.Hour

// Authority is a certificate authority whose key is held only in memory.
type Authority struct {
	cert *x509.Certificate
	der  []byte
	key  *ecdsa.PrivateKey
}

// Files are the paths of the PEM files of one instance.
type Files struct {
	Certificate, Key, Authority string
}

// New returns a new authority with the given common name.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	tmpl := template(name)
	tmpl.IsCA, tmpl.BasicConstraintsValid, tmpl.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{cert: cert, der: der, key: key}, err
}

func template(name string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // the system's random number generator failed
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name}, NotBefore: now.Add(-time.Hour), NotAfter: now.Add(validFor),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// Issue creates a certificate for the instance and writes it, its key and the authority's certificate to files in dir.
func (a *Authority) Issue(dir, instance string) (Files, error) {
	f := Files{
		Certificate: filepath.Join(dir, instance+".crt"), Key: filepath.Join(dir, instance+".key"),
		Authority: filepath.Join(dir, instance+".ca"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template(instance), a.cert, &key.PublicKey, a.key)
	if err != nil {
		return f, err
	}
	raw, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return f, err
	}
	for _, w := range []struct {
		file, kind string
		der        []byte
	}{{f.Key, "PRIVATE KEY", raw}, {f.Authority, "CERTIFICATE", a.der}, {f.Certificate, "CERTIFICATE", der}} {
		if err := os.WriteFile(w.file, pem.EncodeToMemory(&pem.Block{Type: w.kind, Bytes: w.der}), 0o600); err != nil {
			return f, err
		}
	}
	return f, nil
}
