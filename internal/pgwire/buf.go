package pgwire

import "sync"

// LargeBufSize holds the largest message that is held whole: a value of 64 KiB as hex digits, with its statement.
const LargeBufSize = 132 << 10

// SmallBufSize holds the usual statement or small answer. Many are held by slow peers at once, and few need more.
const SmallBufSize = 4 << 10

// Buf is a buffer from a Pool. B is empty when it comes and may grow up to its capacity only.
type Buf struct {
	B    []byte
	pool *Pool
}

// Release gives the buffer back; the holder must not use it afterwards.
func (b *Buf) Release() { b.pool.put(b) }

// Pool hands out buffers of two sizes, up to a fixed number of each.
type Pool struct {
	mu         sync.Mutex
	full, tiny shelf
}

// shelf holds buffers of one size.
type shelf struct {
	size int
	free []*Buf
	left int // not made yet; below 0 more are in use than Limit allows
	most int
}

// NewPool returns a pool of at most full buffers of BufSize and small ones of SmallSize, which are made as needed.
func NewPool(full, small int) *Pool {
	return &Pool{full: shelf{size: LargeBufSize, left: full, most: full}, tiny: shelf{size: SmallBufSize, left: small, most: small}}
}

// SetLimits has the pool hold so many buffers of each size at most from now on. Those in use above that are dropped as they
// come back.
func (p *Pool) SetLimits(full, small int) {
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

// trim drops free buffers while there are more than may be.
func (s *shelf) trim() {
	for s.left < 0 && len(s.free) > 0 {
		s.free[len(s.free)-1] = nil
		s.free = s.free[:len(s.free)-1]
		s.left++
	}
}

// Get returns a buffer that holds n bytes, a small one if that will do and there is one; nil when it would leave keep
// full ones or fewer.
func (p *Pool) Get(n, keep int) *Buf {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n <= SmallBufSize {
		if b := p.tiny.get(p); b != nil {
			return b
		}
	}
	if n > LargeBufSize || p.full.count() <= keep {
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

// FreeLarge returns how many full buffers may still be had.
func (p *Pool) FreeLarge() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.full.count()
}

// FreeSmall returns how many small buffers may still be had.
func (p *Pool) FreeSmall() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tiny.count()
}
