// Package cursor encrypts the position that a listing has reached, so that any
// gateway with the same keys can continue it, and nobody else can read or forge a
// cursor. It does no I/O and reads no clock. A KeyRing is immutable and safe for
// concurrent use.
//
// A cursor is base64url without padding (RFC 4648, section 5) of
//
//	version:u8 key-id:u32 nonce:12 sealed
//
// where sealed is AES-256-GCM of the fields, with version and key id as additional
// data. Beyond secrecy it ensures that a holder of the key sealed these fields, for
// this query, not longer ago than the lifetime of the ring's cursors.
package cursor

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is a point on the gateway's clock, since the Unix epoch, or a duration.
type Time = time.Duration

// Cursor is the position that a listing has reached.
type Cursor struct {
	Cluster  int64
	Query    uint64 // Fingerprint of the listing's query
	Position Time   // log position that the first page was answered at; no later page may be older
	Issued   Time
	Page     uint32 // pages returned so far
	Cost     uint32 // time that a member took for the page before, in microseconds, as an estimate for the next one
	After    string // the last id returned, IDMost bytes at most
}

// Sizes of a cursor and its parts, in bytes.
const (
	MaxIDBytes     = 256
	version        = 1
	headerSize     = 1 + 4 + 12
	fixedSize      = 8 + 8 + 8 + 8 + 4 + 4
	tagSize        = 16
	maxEncodedSize = (headerSize+fixedSize+MaxIDBytes+tagSize)*4/3 + 4
)

// Each way in which a cursor is invalid has its own error, as clients get a different answer for each.
var (
	ErrFormat         = errors.New("cursor: not one that a gateway made")
	ErrVersion        = errors.New("cursor: made by a newer version")
	ErrUnknownKey     = errors.New("cursor: sealed with a key that is not accepted here, or not any more")
	ErrForged         = errors.New("cursor: altered, or not sealed by a holder of the key")
	ErrExpired        = errors.New("cursor: expired")
	ErrIssuedInFuture = errors.New("cursor: issued later than now")
	ErrQueryMismatch  = errors.New("cursor: of another listing")
)

// Fingerprint identifies the query of a listing: a cursor is valid only for the query it was made for.
func Fingerprint(class, tenant, session, prefix string, cluster int64) uint64 {
	d := xxhash.New()
	for _, s := range []string{class, tenant, session, prefix} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(s))) // "a","bc" is not "ab","c"
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(s)
	}
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(cluster))
	_, _ = d.Write(n[:])
	return d.Sum64()
}

// Key is one key of a ring. It opens cursors from AcceptFrom until AcceptUntil, and seals them from IssueFrom on until
// a key with a later IssueFrom does.
type Key struct {
	ID                                 uint32
	Secret                             [32]byte
	AcceptFrom, IssueFrom, AcceptUntil Time
}

// KeyRing is the set of keys that a gateway has.
type KeyRing struct {
	keys      []Key
	aeads     []cipher.AEAD
	lifetime  Time
	clockSkew Time
}

// NewKeyRing returns a ring whose cursors are valid for life. skew is the largest difference between the clocks of
// gateways that share keys. The error names the first invalid key.
func NewKeyRing(keys []Key, life, skew Time) (*KeyRing, error) {
	if len(keys) == 0 {
		return nil, errors.New("cursor: no key, want at least one")
	}
	if life <= 0 || skew < 0 {
		return nil, fmt.Errorf("cursor: life is %v and skew %v, want a life above 0 and no skew below", life, skew)
	}
	r := &KeyRing{keys: slices.Clone(keys), lifetime: life, clockSkew: skew}
	for i, k := range r.keys {
		switch {
		case slices.ContainsFunc(r.keys[:i], func(o Key) bool { return o.ID == k.ID }):
			return nil, fmt.Errorf("cursor: key %d comes twice", k.ID)
		case k.IssueFrom < k.AcceptFrom+skew:
			return nil, fmt.Errorf("cursor: key %d is issued from %v on and accepted from %v, want it accepted everywhere first: %v earlier", k.ID, k.IssueFrom, k.AcceptFrom, skew)
		case k.AcceptUntil <= k.IssueFrom:
			return nil, fmt.Errorf("cursor: key %d ends at %v, before it is issued at %v", k.ID, k.AcceptUntil, k.IssueFrom)
		}
		block, err := aes.NewCipher(k.Secret[:])
		if err != nil {
			return nil, err
		}
		aead, err := cipher.NewGCM(block)
		if err != nil {
			return nil, err
		}
		r.aeads = append(r.aeads, aead)
	}
	return r, nil
}

// issuingKey returns the index of the key that seals now: of those that may, the one with the latest IssueFrom; -1 if
// there is none.
func (r *KeyRing) issuingKey(now Time) int {
	best := -1
	for i, k := range r.keys {
		// a cursor sealed now must be accepted for its whole lifetime
		if now >= k.IssueFrom && now+r.lifetime <= k.AcceptUntil && (best < 0 || k.IssueFrom > r.keys[best].IssueFrom) {
			best = i
		}
	}
	return best
}

// Seal returns c as text, issued now. random supplies the nonce. It returns ErrUnknownKey if no key may be issued now,
// and an error if After is too long; a listing then has no next page.
func (r *KeyRing) Seal(c Cursor, now Time, random io.Reader) (string, error) {
	i := r.issuingKey(now)
	if i < 0 {
		return "", ErrUnknownKey
	}
	if len(c.After) > MaxIDBytes {
		return "", fmt.Errorf("cursor: an id of %d bytes, want at most %d", len(c.After), MaxIDBytes)
	}
	b := make([]byte, headerSize, headerSize+fixedSize+len(c.After)+tagSize)
	b[0] = version
	binary.LittleEndian.PutUint32(b[1:], r.keys[i].ID)
	if _, err := io.ReadFull(random, b[5:headerSize]); err != nil {
		return "", err
	}
	plain := make([]byte, 0, fixedSize+len(c.After))
	for _, v := range []uint64{uint64(c.Cluster), c.Query, uint64(c.Position), uint64(now)} {
		plain = binary.LittleEndian.AppendUint64(plain, v)
	}
	plain = binary.LittleEndian.AppendUint32(plain, c.Page)
	plain = binary.LittleEndian.AppendUint32(plain, c.Cost)
	plain = append(plain, c.After...)
	b = r.aeads[i].Seal(b, b[5:headerSize], plain, b[:5])
	return base64.RawURLEncoding.EncodeToString(b), nil
}

// Open returns the cursor in text, which must be of that query. Its error is one of the package's.
func (r *KeyRing) Open(text string, query uint64, now Time) (c Cursor, err error) {
	if len(text) > maxEncodedSize {
		return c, ErrFormat
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) < headerSize+fixedSize+tagSize {
		return c, ErrFormat
	}
	if b[0] != version {
		if b[0] > version {
			return c, ErrVersion
		}
		return c, ErrFormat
	}
	id := binary.LittleEndian.Uint32(b[1:])
	i := slices.IndexFunc(r.keys, func(k Key) bool { return k.ID == id })
	if i < 0 || now < r.keys[i].AcceptFrom-r.clockSkew || now > r.keys[i].AcceptUntil+r.clockSkew {
		return c, ErrUnknownKey
	}
	plain, err := r.aeads[i].Open(nil, b[5:headerSize], b[headerSize:], b[:5])
	if err != nil || len(plain) > fixedSize+MaxIDBytes {
		return c, ErrForged
	}
	u64 := func(at int) uint64 { return binary.LittleEndian.Uint64(plain[at:]) }
	c = Cursor{Cluster: int64(u64(0)), Query: u64(8), Position: Time(u64(16)), Issued: Time(u64(24)),
		Page: binary.LittleEndian.Uint32(plain[32:]), Cost: binary.LittleEndian.Uint32(plain[36:]), After: string(plain[fixedSize:])}
	switch {
	case c.Issued > now+r.clockSkew:
		return Cursor{}, ErrIssuedInFuture
	case now-c.Issued > r.lifetime+r.clockSkew:
		return Cursor{}, ErrExpired
	case c.Query != query:
		return Cursor{}, ErrQueryMismatch
	}
	return c, nil
}
