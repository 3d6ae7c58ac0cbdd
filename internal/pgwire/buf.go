package pgwire

import "sync"

// BufSize is the size, in bytes, of a large buffer. It fits the largest message that is buffered whole: a value of 64 KiB as
// hex digits, with its statement.
const BufSize = 132 << 10

// SmallSize is the size, in bytes, of a small buffer. It fits a typical statement or a small answer. Slow peers keep many
// buffers in use at once, and few of these messages need more.
const SmallSize = 4 << 10

// Buf is a buffer from a Pool. B is empty at first and must not grow beyond its capacity.
type Buf struct {
	B    []byte
	pool *Pool
}

// Release returns the buffer to its pool; the caller must not use it afterwards.
func (b *Buf) Release() { b.pool.put(b) }

// Pool hands out buffers of two sizes, up to a limit for each. It is safe for concurrent use.
type Pool struct {
	mu         sync.Mutex
	full, tiny shelf
}

// shelf holds the buffers of one size.
type shelf struct {
	size int
	free []*Buf
	left int // buffers that may still be allocated; negative if more are in use than the limit allows
	most int
}

// NewPool returns a pool of at most full buffers of BufSize and small buffers of SmallSize. They are allocated on demand.
func NewPool(full, small int) *Pool {
	return &Pool{full: shelf{size: BufSize, left: full, most: full}, tiny: shelf{size: SmallSize, left: small, most: small}}
}

// Limit sets the limits for the numbers of buffers. Buffers in use beyond the new limits are discarded when they are
// released.
func (p *Pool) Limit(full, small int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.full.limit(full)
	p.tiny.limit(small)
}

func (s *shelf) limit(n int) {
	s.left += n - s.most
	s.most = n
	s.trim()
}

// trim discards free buffers while the limit is exceeded.
func (s *shelf) trim() {
	for s.left < 0 && len(s.free) > 0 {
		s.free[len(s.free)-1] = nil
		s.free = s.free[:len(s.free)-1]
		s.left++
	}
}

// Get returns a buffer for n bytes, preferably a small one. It returns nil if n is larger than a large buffer, or if no
// more than keep large buffers are available: those are reserved for other uses.
func (p *Pool) Get(n, keep int) *Buf {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n <= SmallSize {
		if b := p.tiny.get(p); b != nil {
			return b
		}
	}
	if n > BufSize || p.full.count() <= keep {
		return nil
	}
	return p.full.get(p)
}

func (s *shelf) count() int { return s.left + len(s.free) }

func (s *shelf) get(p *Pool) *Buf {
	if n := len(s.free); n > 0 {
		b := s.free[n-1]
		s.free = s.free[:n-1]
		return b
	}
	if s.left <= 0 {
		return nil
	}
	s.left--
	return &Buf{B: make([]byte, 0, s.size), pool: p}
}

func (p *Pool) put(b *Buf) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.B = b.B[:0]
	s := &p.full
	if cap(b.B) == p.tiny.size {
		s = &p.tiny
	}
	s.free = append(s.free, b)
	s.trim()
}

// Free returns the number of large buffers that are available.
func (p *Pool) Free() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.full.count()
}

// FreeSmall returns the number of small buffers that are available.
func (p *Pool) FreeSmall() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tiny.count()
}
