// Package tlskeys holds certificates, keys and CA bundles that change in service.
// A Store reads its files again when told to and takes them as a whole: where any
// of them is missing, half written or does not fit the others, what was read
// before holds on. It is safe for concurrent use.
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

// Files names what is read. Empty names are left out; a certificate and its key go together.
type Files struct{ Cert, Key, CA string }

// Material is what was read at one time.
type Material struct {
	Pair       *tls.Certificate // nil: none
	Roots      *x509.CertPool   // nil: the system's
	Expiry     time.Time        // the first end of a certificate of the pair or the bundle; zero without any
	Generation uint64           // counts the times that something new was taken
	sum        [sha256.Size]byte
}

// Store keeps the newest material that is whole.
type Store struct {
	files Files

	mu  sync.Mutex
	cur *Material
	bad [sha256.Size]byte // last contents that were refused
}

// Open reads the files for the first time.
func Open(f Files) (*Store, error) {
	s := &Store{files: f}
	m, _, err := f.read()
	if err != nil {
		return nil, err
	}
	s.cur = m
	return s, nil
}

// Files tells which files a store reads.
func (s *Store) Files() Files { return s.files }

// Current is the newest material.
func (s *Store) Current() *Material {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cur
}

// Refresh reads the files again. changed tells that there is new material. An error names what is wrong with
// files that differ from those refused last; the material before holds.
func (s *Store) Refresh() (changed bool, err error) {
	m, sum, err := s.files.read()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil && sum == s.bad:
		return false, nil
	case err != nil:
		s.bad = sum
		return false, err
	case m.sum == s.cur.sum:
		return false, nil
	}
	m.Generation = s.cur.Generation + 1
	s.cur, s.bad = m, [sha256.Size]byte{}
	return true, nil
}

// read reads all files. sum stands for their contents, also where they are not usable.
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
	ends := func(c *x509.Certificate) {
		if m.Expiry.IsZero() || c.NotAfter.Before(m.Expiry) {
			m.Expiry = c.NotAfter
		}
	}
	if (f.Cert == "") != (f.Key == "") {
		return nil, m.sum, errors.New("a certificate and a key go together: one of them is not named")
	}
	if f.Cert != "" {
		pair, err := tls.X509KeyPair(parts[0], parts[1])
		if err != nil {
			return nil, m.sum, fmt.Errorf("%s and %s: %w", f.Cert, f.Key, err)
		}
		m.Pair = &pair
		ends(pair.Leaf)
	}
	if f.CA != "" {
		m.Roots = x509.NewCertPool()
		if !bytes.HasSuffix(bytes.TrimSpace(parts[2]), []byte("-----END CERTIFICATE-----")) { // half a bundle would parse too
			return nil, m.sum, fmt.Errorf("%s: does not end with a whole certificate", f.CA)
		}
		if !m.Roots.AppendCertsFromPEM(parts[2]) {
			return nil, m.sum, fmt.Errorf("%s: holds no certificate", f.CA)
		}
	}
	return m, m.sum, nil
}

// Fingerprint is a certificate's, as RFC 5425 section 4.2.2 writes it, by SHA-256.
func Fingerprint(der []byte) string {
	sum := sha256.Sum256(der)
	parts := make([]string, 0, len(sum))
	for _, b := range sum {
		parts = append(parts, fmt.Sprintf("%02X", b))
	}
	return "sha-256:" + strings.Join(parts, ":")
}

// CheckFingerprint reports what is wrong with a fingerprint as an operator wrote it.
func CheckFingerprint(s string) error {
	hex, ok := strings.CutPrefix(s, "sha-256:")
	if n := len(strings.Split(hex, ":")); !ok || n != sha256.Size {
		return fmt.Errorf("fingerprint %.20q, want sha-256: and 32 bytes in hexadecimal with colons between", s)
	}
	return nil
}

// Client is the configuration for one connection to a server: its certificate must be for name by the roots
// and, where fingerprints are given, have one of them. With fingerprints and no CA file they alone decide.
func (s *Store) Client(name string, fingerprints []string) *tls.Config {
	m := s.Current()
	c := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: m.Roots, ServerName: name}
	if m.Pair != nil {
		c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return m.Pair, nil }
	}
	if len(fingerprints) > 0 {
		c.InsecureSkipVerify = m.Roots == nil // the fingerprint is looked at instead
		c.VerifyConnection = func(cs tls.ConnectionState) error {
			if len(cs.PeerCertificates) == 0 {
				return errors.New("the server has no certificate")
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

// Server is a configuration that takes the newest material for each handshake. With clients it wants
// certificates by the roots.
func (s *Store) Server(clients bool) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m := s.Current()
		if m.Pair == nil {
			return nil, errors.New("no certificate")
		}
		c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*m.Pair}}
		if clients {
			c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, m.Roots
		}
		return c, nil
	}}
}
