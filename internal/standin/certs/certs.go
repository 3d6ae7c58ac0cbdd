// Package certs makes certificate authorities and certificates for stand-ins and tests.
package certs

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
	"time"
)

// CA is a certificate authority.
type CA struct {
	PEM  []byte
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Pair is a certificate and its key, each as PEM.
type Pair struct{ Cert, Key, DER []byte }

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // only a broken source of random numbers could do it
	}
	return v
}

func serial() *big.Int { return must(rand.Int(rand.Reader, big.NewInt(1<<62))) }

// NewCA makes an authority.
func NewCA(name string) *CA {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	t := &x509.Certificate{SerialNumber: serial(), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(1000 * time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der := must(x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key))
	return &CA{pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), must(x509.ParseCertificate(der)), key}
}

// Issue makes a certificate for a name and loopback that lasts so long.
func (c *CA) Issue(name string, last time.Duration) Pair {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	t := &x509.Certificate{SerialNumber: serial(), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(last), KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der := must(x509.CreateCertificate(rand.Reader, t, c.cert, &key.PublicKey, c.key))
	return Pair{pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: must(x509.MarshalECPrivateKey(key))}), der}
}

// Put writes a file as a whole: a reader finds the old one or the new one.
func Put(dir, name string, text []byte) error {
	tmp := filepath.Join(dir, name+".new")
	if err := os.WriteFile(tmp, text, 0o600); err != nil {
		return err
	}
	return os.Rename(tmp, filepath.Join(dir, name))
}
