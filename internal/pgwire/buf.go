package pgwire

import "sync"

// BufSize holds the largest message: a value of 64 KiB as hex digits, with its statement.
const BufSize = 132 << 10

// Buf is a buffer from a Pool. B is empty when it comes and may grow up to its capacity only.
type Buf struct {
	B    []byte
	pool *Pool
}

// Release gives the buffer back; the holder must not use it afterwards.
func (b *Buf) Release() { b.pool.put(b) }

// Pool hands out buffers of one size, up to a fixed number of them.
type Pool struct {
	mu   sync.Mutex
	free []*Buf
	left int // that may still be made; below 0 more are in use than Limit allows
	most int
}

// NewPool returns a pool of at most n buffers, which are made as needed.
func NewPool(n int) *Pool { return &Pool{left: n, most: n} }

// Limit has the pool hold so many buffers at most from now on. Those in use above that are dropped as they come back.
func (p *Pool) Limit(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left += n - p.most
	p.most = n
	p.trim()
}

func (p *Pool) trim() {
	for p.left < 0 && len(p.free) > 0 {
		p.free[len(p.free)-1] = nil
		p.free = p.free[:len(p.free)-1]
		p.left++
	}
}

// Get returns a buffer, or nil when all are in use.
func (p *Pool) Get() *Buf {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		return b
	}
	if p.left <= 0 {
		return nil
	}
	p.left--
	return &Buf{B: make([]byte, 0, BufSize), pool: p}
}

func (p *Pool) put(b *Buf) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.B = b.B[:0]
	p.free = append(p.free, b)
	p.trim()
}

// Free returns how many buffers may still be had.
func (p *Pool) Free() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.left + len(p.free)
}
