package pgwire

import "sync"

// LargeBufSize is the size, in bytes, of a large buffer. It fits the largest message that is buffered whole: a value of 64
// KiB as hex digits, with its statement.
const LargeBufSize = 132 << 10

// SmallBufSize is the size, in bytes, of a small buffer. It fits a typical statement or a small answer. Slow peers keep many
// buffers in use at once, and few of these messages need more.
const SmallBufSize = 4 << 10

// Buf is a buffer from a Pool. B is empty at first and must not grow beyond its capacity.
type Buf struct {
	B    []byte
	pool *Pool
}

// Release returns the buffer to its pool; the caller must not use it afterwards.
func (b *Buf) Release() { b.pool.put(b) }

// Pool hands out buffers of two sizes, up to a limit for each. It is safe for concurrent use.
type Pool struct {
	mu           sync.Mutex
	large, small sizeClass
}

// sizeClass holds the buffers of one size.
type sizeClass struct {
	size      int
	free      []*Buf
	remaining int // buffers that may still be allocated; negative if more are in use than the limit allows
	limit     int // buffers that may exist
}

// NewPool returns a pool of at most large buffers of LargeBufSize and small buffers of SmallBufSize. They are allocated on
// demand.
func NewPool(large, small int) *Pool {
	return &Pool{large: sizeClass{size: LargeBufSize, remaining: large, limit: large}, small: sizeClass{size: SmallBufSize, remaining: small, limit: small}}
}

// SetLimits sets the limits for the numbers of buffers. Buffers in use beyond the new limits are discarded when they are
// released.
func (p *Pool) SetLimits(large, small int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.large.setLimit(large)
	p.small.setLimit(small)
}

// setLimit changes the limit and discards free buffers beyond it.
func (s *sizeClass) setLimit(n int) {
	s.remaining += n - s.limit
	s.limit = n
	s.trim()
}

// trim discards free buffers while the limit is exceeded.
func (s *sizeClass) trim() {
	for s.remaining < 0 && len(s.free) > 0 {
		s.free[len(s.free)-1] = nil
		s.free = s.free[:len(s.free)-1]
		s.remaining++
	}
}

// Get returns a buffer for n bytes, preferably a small one. It returns nil if n is larger than a large buffer, or if no
// more than reserved large buffers are available: these are kept for other uses.
func (p *Pool) Get(n, reserved int) *Buf {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n <= SmallBufSize {
		if b := p.small.get(p); b != nil {
			return b
		}
	}
	if n > LargeBufSize || p.large.available() <= reserved {
		return nil
	}
	return p.large.get(p)
}

// available returns the number of buffers that get can still return.
func (s *sizeClass) available() int { return s.remaining + len(s.free) }

// get returns a free or a new buffer, or nil if the limit is reached.
func (s *sizeClass) get(p *Pool) *Buf {
	if n := len(s.free); n > 0 {
		b := s.free[n-1]
		s.free = s.free[:n-1]
		return b
	}
	if s.remaining <= 0 {
		return nil
	}
	s.remaining--
	return &Buf{B: make([]byte, 0, s.size), pool: p}
}

// put returns a buffer to the pool, or discards it if the limit is exceeded.
func (p *Pool) put(b *Buf) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.B = b.B[:0]
	s := &p.large
	if cap(b.B) == p.small.size {
		s = &p.small
	}
	s.free = append(s.free, b)
	s.trim()
}

// FreeLarge returns the number of large buffers that are available.
func (p *Pool) FreeLarge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.large.available()
}

// FreeSmall returns the number of small buffers that are available.
func (p *Pool) FreeSmall() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.small.available()
}
