package peers

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"strings"
)

// Keys are the group's keys: the first is the preferred one to seal with, all are accepted.
type Keys struct{ list []key }

type key struct {
	id     [4]byte
	secret [32]byte
}

const maxKeys = 16

// ReadKeys reads a file with one base64 key of 32 bytes per line. Empty lines and lines that begin with # are
// skipped.
func ReadKeys(path string) (*Keys, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	k := new(Keys)
	for i, line := range strings.Split(string(text), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		raw, err := base64.StdEncoding.DecodeString(line)
		if err != nil || len(raw) != 32 {
			return nil, fmt.Errorf("%s:%d: no key found, want 32 bytes in base64", path, i+1)
		}
		var one key
		copy(one.secret[:], raw)
		sum := sha256.Sum256(append([]byte("reachwind fleet key"), raw...))
		copy(one.id[:], sum[:])
		k.list = append(k.list, one)
	}
	if len(k.list) == 0 || len(k.list) > maxKeys {
		return nil, fmt.Errorf("%s: %d keys found, want from 1 to %d", path, len(k.list), maxKeys)
	}
	return k, nil
}

// A sealed message is
//
//	form (1) | key id (4) | instance (16) | counter (8) | AES-256-GCM of (length of address (1) | address | frame)
//
// encrypted under a key derived from the group's key and the instance, which is random for each start of a
// process, so that no two processes ever use one nonce under one key. The counter is the nonce. All that
// precedes the ciphertext is authenticated with it.
const (
	formatVersion = 1
	headerLen     = 1 + 4 + 16 + 8
	tagLen        = 16
	windowSize    = 1024 // counters that may arrive out of order
	maxWindows    = 4096 // instances tracked; the one not heard from for longest is dropped first
)

type instance [16]byte

func (k *key) aead(of instance) cipher.AEAD {
	h := hmac.New(sha256.New, k.secret[:])
	h.Write([]byte("reachwind fleet 1"))
	h.Write(of[:])
	block, err := aes.NewCipher(h.Sum(nil))
	if err != nil {
		panic(err) // the key has 32 bytes
	}
	g, err := cipher.NewGCM(block)
	if err != nil {
		panic(err)
	}
	return g
}

// sealer encrypts the messages of one process. It is not safe for concurrent use.
type sealer struct {
	own     instance
	counter uint64
	aeads   map[[4]byte]cipher.AEAD
	buf     []byte
}

func newSealer() *sealer {
	s := &sealer{aeads: map[[4]byte]cipher.AEAD{}}
	if _, err := rand.Read(s.own[:]); err != nil {
		panic(err) // the system has no random numbers
	}
	return s
}

func nonce(counter uint64) []byte {
	var n [12]byte
	binary.BigEndian.PutUint64(n[4:], counter)
	return n[:]
}

func (s *sealer) seal(k *key, addr string, frame []byte) []byte {
	a := s.aeads[k.id]
	if a == nil {
		if len(s.aeads) > maxKeys {
			clear(s.aeads)
		}
		a = k.aead(s.own)
		s.aeads[k.id] = a
	}
	s.counter++
	head := make([]byte, headerLen, headerLen+1+len(addr)+len(frame)+tagLen)
	head[0] = formatVersion
	copy(head[1:], k.id[:])
	copy(head[5:], s.own[:])
	binary.BigEndian.PutUint64(head[21:], s.counter)
	s.buf = append(append(append(s.buf[:0], byte(len(addr))), addr...), frame...)
	return a.Seal(head, nonce(s.counter), s.buf, head)
}

// opener decrypts messages of other processes, each once. It is not safe for concurrent use.
type opener struct {
	own      instance
	windows  map[instance]*window
	useCount uint64
}

type window struct {
	aeads    map[[4]byte]cipher.AEAD
	top      uint64
	seen     [windowSize / 64]uint64
	lastUsed uint64
}

var (
	errFormat      = errors.New("message too short, or of an unknown format version")
	errUnknownKey  = errors.New("sealed under a key that is not in the key file")
	errUnauthentic = errors.New("authentication failed")
	errRepeated    = errors.New("message received before, or too old to tell")
	errReflected   = errors.New("own message reflected")
)

// opened is an authentic message. addr is the address that its sender publishes.
type opened struct {
	addr  string
	frame []byte
	key   [4]byte
}

func (o *opener) open(keys *Keys, b []byte) (m opened, err error) {
	if len(b) < headerLen+tagLen+1 || b[0] != formatVersion {
		return m, errFormat
	}
	var of instance
	copy(m.key[:], b[1:])
	copy(of[:], b[5:])
	if of == o.own {
		return m, errReflected
	}
	var k *key
	for i := range keys.list {
		if keys.list[i].id == m.key {
			k = &keys.list[i]
		}
	}
	if k == nil {
		return m, errUnknownKey
	}
	counter := binary.BigEndian.Uint64(b[21:])
	w := o.windows[of]
	var a cipher.AEAD
	if w != nil {
		if w.seenBefore(counter) {
			return m, errRepeated
		}
		a = w.aeads[k.id]
	}
	if a == nil {
		a = k.aead(of)
	}
	plain, err := a.Open(nil, nonce(counter), b[headerLen:], b[:headerLen])
	if err != nil {
		return m, errUnauthentic
	}
	if w == nil { // only a sender that knows a key causes a window
		w = o.addWindow(of)
	}
	o.useCount++
	w.lastUsed = o.useCount
	w.aeads[k.id] = a
	w.markSeen(counter)
	n := int(plain[0])
	if len(plain) < 1+n {
		return m, errFormat
	}
	m.addr, m.frame = string(plain[1:1+n]), plain[1+n:]
	return m, nil
}

func (o *opener) addWindow(of instance) *window {
	if len(o.windows) >= maxWindows {
		var oldest instance
		least := uint64(1) << 63
		for i, w := range o.windows {
			if w.lastUsed < least {
				oldest, least = i, w.lastUsed
			}
		}
		delete(o.windows, oldest)
	}
	w := &window{aeads: map[[4]byte]cipher.AEAD{}}
	o.windows[of] = w
	return w
}

// seenBefore reports whether a counter was received before, or is too old to tell.
func (w *window) seenBefore(c uint64) bool {
	if c > w.top {
		return false
	}
	if w.top-c >= windowSize {
		return true
	}
	return w.seen[c/64%uint64(len(w.seen))]&(1<<(c%64)) != 0
}

func (w *window) markSeen(c uint64) {
	if c > w.top {
		if c-w.top >= windowSize {
			clear(w.seen[:])
		} else {
			for i := w.top + 1; i < c; i++ {
				w.seen[i/64%uint64(len(w.seen))] &^= 1 << (i % 64)
			}
		}
		w.top = c
	}
	w.seen[c/64%uint64(len(w.seen))] |= 1 << (c % 64)
}

// equal reports whether two sets have the same keys in the same order.
func (k *Keys) equal(o *Keys) bool {
	if len(k.list) != len(o.list) {
		return false
	}
	for i := range k.list {
		if !bytes.Equal(k.list[i].secret[:], o.list[i].secret[:]) {
			return false
		}
	}
	return true
}
