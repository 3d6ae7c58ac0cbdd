// Package cursor seals the place that a listing has reached, so that any gateway
// with the same keys can go on from it, and nobody else can read or make one. It
// does no I/O and reads no clock. A Ring is not changed once it is made and is safe
// for concurrent use.
//
// A cursor is base64url without padding (RFC 4648, section 5) of
//
//	version:u8 key-id:u32 nonce:12 sealed
//
// where sealed is AES-256-GCM of the fields, with version and key id as additional
// data. What it promises beyond secrecy: the fields are those that a holder of the
// key sealed, for this query, not longer ago than the ring's life.
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

// Time is a point on the gateway's clock since the start of Unix time, or a span on it.
type Time = time.Duration

// Cursor is the place that a listing has reached.
type Cursor struct {
	Cluster  int64
	Query    uint64 // Fingerprint of what the listing asks for
	Position Time   // log position that the first page was answered at; no later page may be older
	Issued   Time
	Page     uint32 // pages given so far
	Cost     uint32 // microseconds that the page before took a member, to book the next one by
	After    string // the last id given, IDMost bytes at most
}

// The bounds of a cursor.
const (
	MaxIDBytes  = 256
	version     = 1
	headSize    = 1 + 4 + 12
	fixedSize   = 8 + 8 + 8 + 8 + 4 + 4
	tagSize     = 16
	encodedMost = (headSize+fixedSize+MaxIDBytes+tagSize)*4/3 + 4
)

// Each way that a cursor can be wrong has its own error, as clients are told apart by it.
var (
	ErrFormat         = errors.New("cursor: not one that a gateway made")
	ErrVersion        = errors.New("cursor: made by a newer version")
	ErrUnknownKey     = errors.New("cursor: sealed with a key that is not accepted here, or not any more")
	ErrForged         = errors.New("cursor: altered, or not sealed by a holder of the key")
	ErrExpired        = errors.New("cursor: expired")
	ErrIssuedInFuture = errors.New("cursor: issued later than now")
	ErrQueryMismatch  = errors.New("cursor: of another listing")
)

// Fingerprint stands for what a listing asks for: a cursor goes on only with the same.
func Fingerprint(class, customer, session, prefix string, cluster int64) uint64 {
	d := xxhash.New()
	for _, s := range []string{class, customer, session, prefix} {
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

// Key is one key of a ring. It is accepted from Accept until End, and issued from Issue on, until a later one is.
type Key struct {
	ID                                 uint32
	Secret                             [32]byte
	AcceptFrom, IssueFrom, AcceptUntil Time
}

// KeyRing is the keys that a gateway holds.
type KeyRing struct {
	keys  []Key
	aeads []cipher.AEAD
	life  Time
	skew  Time
}

// NewKeyRing returns a ring whose cursors live for life. skew is by how much the clocks of gateways that share keys may
// differ. It reports the first fault of the keys.
func NewKeyRing(keys []Key, life, skew Time) (*KeyRing, error) {
	if len(keys) == 0 {
		return nil, errors.New("cursor: no key, want at least one")
	}
	if life <= 0 || skew < 0 {
		return nil, fmt.Errorf("cursor: life is %v and skew %v, want a life above 0 and no skew below", life, skew)
	}
	r := &KeyRing{keys: slices.Clone(keys), life: life, skew: skew}
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

// issuing is the key that seals now: of those that may, the one issued last; -1 if there is none.
func (r *KeyRing) issuing(now Time) int {
	best := -1
	for i, k := range r.keys {
		// its end leaves a cursor sealed now its whole life
		if now >= k.IssueFrom && now+r.life <= k.AcceptUntil && (best < 0 || k.IssueFrom > r.keys[best].IssueFrom) {
			best = i
		}
	}
	return best
}

// Seal returns c as text, issued now. random gives the nonce. An error means that no key is to be issued now, or
// that c is beyond its bounds; listings are then given without a next page.
func (r *KeyRing) Seal(c Cursor, now Time, random io.Reader) (string, error) {
	i := r.issuing(now)
	if i < 0 {
		return "", ErrUnknownKey
	}
	if len(c.After) > MaxIDBytes {
		return "", fmt.Errorf("cursor: an id of %d bytes, want at most %d", len(c.After), MaxIDBytes)
	}
	b := make([]byte, headSize, headSize+fixedSize+len(c.After)+tagSize)
	b[0] = version
	binary.LittleEndian.PutUint32(b[1:], r.keys[i].ID)
	if _, err := io.ReadFull(random, b[5:headSize]); err != nil {
		return "", err
	}
	plain := make([]byte, 0, fixedSize+len(c.After))
	for _, v := range []uint64{uint64(c.Cluster), c.Query, uint64(c.Position), uint64(now)} {
		plain = binary.LittleEndian.AppendUint64(plain, v)
	}
	plain = binary.LittleEndian.AppendUint32(plain, c.Page)
	plain = binary.LittleEndian.AppendUint32(plain, c.Cost)
	plain = append(plain, c.After...)
	b = r.aeads[i].Seal(b, b[5:headSize], plain, b[:5])
	return base64.RawURLEncoding.EncodeToString(b), nil
}

// Open reads a cursor for a query. The error is one of the package's.
func (r *KeyRing) Open(text string, query uint64, now Time) (c Cursor, err error) {
	if len(text) > encodedMost {
		return c, ErrFormat
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(b) < headSize+fixedSize+tagSize {
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
	if i < 0 || now < r.keys[i].AcceptFrom-r.skew || now > r.keys[i].AcceptUntil+r.skew {
		return c, ErrUnknownKey
	}
	plain, err := r.aeads[i].Open(nil, b[5:headSize], b[headSize:], b[:5])
	if err != nil || len(plain) > fixedSize+MaxIDBytes {
		return c, ErrForged
	}
	u64 := func(at int) uint64 { return binary.LittleEndian.Uint64(plain[at:]) }
	c = Cursor{Cluster: int64(u64(0)), Query: u64(8), Position: Time(u64(16)), Issued: Time(u64(24)),
		Page: binary.LittleEndian.Uint32(plain[32:]), Cost: binary.LittleEndian.Uint32(plain[36:]), After: string(plain[fixedSize:])}
	switch {
	case c.Issued > now+r.skew:
		return Cursor{}, ErrIssuedInFuture
	case now-c.Issued > r.life+r.skew:
		return Cursor{}, ErrExpired
	case c.Query != query:
		return Cursor{}, ErrQueryMismatch
	}
	return c, nil
}
