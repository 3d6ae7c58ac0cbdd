// Package tlskeys loads certificates, keys and CA bundles and reloads them while
// they are in use. A Store replaces its material only as a whole: if a file is
// missing, partly written or does not match the others, the material read before
// stays in force. A Store is safe for concurrent use.
package tlskeys

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Files holds the paths of PEM files. Files with an empty path are not read; Cert and Key are given both or neither.
type Files struct{ Cert, Key, CA string }

// Material is the contents of the files from one reading.
type Material struct {
	Pair       *tls.Certificate // nil if no certificate is configured
	Roots      *x509.CertPool   // nil for the system's roots
	Expiry     time.Time        // when the certificate of the pair expires; zero without a pair
	Generation uint64           // number of times that changed material was loaded
	sum        [sha256.Size]byte
}

// Store keeps the newest valid material.
type Store struct {
	files Files

	mu         sync.Mutex
	current    *Material
	refusedSum [sha256.Size]byte // digest of the contents that were refused last
}

// Open reads the files and returns a store, or an error if they are not valid.
func Open(f Files) (*Store, error) {
	s := &Store{files: f}
	m, _, err := f.read()
	if err != nil {
		return nil, err
	}
	s.current = m
	return s, nil
}

// Files returns the paths of the files that the store reads.
func (s *Store) Files() Files { return s.files }

// Current returns the newest valid material.
func (s *Store) Current() *Material {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Refresh reads the files again and reports whether new material was loaded. If the files are not valid, the
// previous material stays in force; the error is returned once, until the contents of the files change.
func (s *Store) Refresh() (changed bool, err error) {
	m, sum, err := s.files.read()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil && sum == s.refusedSum:
		return false, nil
	case err != nil:
		s.refusedSum = sum
		return false, err
	case m.sum == s.current.sum:
		return false, nil
	}
	m.Generation = s.current.Generation + 1
	s.current, s.refusedSum = m, [sha256.Size]byte{}
	return true, nil
}

// read reads all files. The digest covers their contents and read errors; it is returned with an error too.
func (f Files) read() (*Material, [sha256.Size]byte, error) {
	h := sha256.New()
	var parts [3][]byte
	var failed error
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		if name == "" {
			continue
		}
		b, err := os.ReadFile(name)
		if err != nil && failed == nil {
			failed = err
		}
		parts[i] = b
		_, _ = fmt.Fprintf(h, "%d %d %v\n", i, len(b), err)
		_, _ = h.Write(b)
	}
	m := new(Material)
	h.Sum(m.sum[:0])
	if failed != nil {
		return nil, m.sum, failed
	}
	updateExpiry := func(c *x509.Certificate) {
		if m.Expiry.IsZero() || c.NotAfter.Before(m.Expiry) {
			m.Expiry = c.NotAfter
		}
	}
	if (f.Cert == "") != (f.Key == "") {
		return nil, m.sum, errors.New("a certificate and a key are needed together, but only one of the two files is configured")
	}
	if f.Cert != "" {
		pair, err := tls.X509KeyPair(parts[0], parts[1])
		if err != nil {
			return nil, m.sum, fmt.Errorf("%s and %s: %w", f.Cert, f.Key, err)
		}
		m.Pair = &pair
		updateExpiry(pair.Leaf)
	}
	if f.CA != "" {
		m.Roots = x509.NewCertPool()
		if !bytes.HasSuffix(bytes.TrimSpace(parts[2]), []byte("-----END CERTIFICATE-----")) { // a truncated bundle would parse too
			return nil, m.sum, fmt.Errorf("%s: does not end with a complete PEM certificate, the file may be truncated", f.CA)
		}
		if !m.Roots.AppendCertsFromPEM(parts[2]) {
			return nil, m.sum, fmt.Errorf("%s: contains no valid PEM certificate", f.CA)
		}
	}
	return m, m.sum, nil
}

// Fingerprint returns the SHA-256 fingerprint of a DER certificate in the form of RFC 5425, section 4.2.2.
func Fingerprint(der []byte) string {
	sum := sha256.Sum256(der)
	parts := make([]string, 0, len(sum))
	for _, b := range sum {
		parts = append(parts, fmt.Sprintf("%02X", b))
	}
	return "sha-256:" + strings.Join(parts, ":")
}

// CheckFingerprint returns an error if a configured fingerprint does not have the form of Fingerprint. It checks the
// prefix and the number of bytes, not the hexadecimal digits.
func CheckFingerprint(s string) error {
	hex, ok := strings.CutPrefix(s, "sha-256:")
	if n := len(strings.Split(hex, ":")); !ok || n != sha256.Size {
		return fmt.Errorf("fingerprint %.20q, want sha-256: and 32 bytes in hexadecimal with colons between", s)
	}
	return nil
}

// Client returns the configuration for one connection to a server. The server's certificate must be valid for name
// under the roots and, if fingerprints are given, match one of them. With fingerprints but no CA file only the
// fingerprints are checked.
func (s *Store) Client(name string, fingerprints []string) *tls.Config {
	m := s.Current()
	c := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: m.Roots, ServerName: name}
	if m.Pair != nil {
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return m.Pair, nil }
	}
	if len(fingerprints) > 0 {
		c.InsecureSkipVerify = m.Roots == nil // VerifyConnection checks the fingerprint instead
		c.VerifyConnection = func(cs tls.ConnectionState) error {
			if len(cs.PeerCertificates) == 0 {
				return errors.New("the server sent no certificate")
			}
			has := Fingerprint(cs.PeerCertificates[0].Raw)
			for _, f := range fingerprints {
				if strings.EqualFold(f, has) {
					return nil
				}
			}
			return fmt.Errorf("the server's certificate has fingerprint %s, which is not among the %d wanted", has, len(fingerprints))
		}
	}
	return c
}

// Server returns a configuration that uses the newest material for each handshake. If clients is true, clients must
// present a certificate that is valid under the roots.
func (s *Store) Server(clients bool) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m := s.Current()
		if m.Pair == nil {
			return nil, errors.New("no server certificate is configured")
		}
		c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*m.Pair}}
		if clients {
			c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.Roots
		}
		return c, nil
	}}
}
