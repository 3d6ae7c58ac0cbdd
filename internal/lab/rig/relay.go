// Package rig starts many gateways as processes of their own, with a relay between
// each ordered pair of them, and injects faults: into links one way or both, and
// into processes. What must hold is judged by the events that processes write and by
// what they answer, never by the wording of a log. All of it stays on loopback and
// ends by itself.
package rig

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Link is what a relay does to what goes one way.
type Link struct {
	Cut           bool // nothing passes; new connections are accepted and stay silent
	Delay, Jitter time.Duration
	Loss          float64 // of datagrams
	Repeat        float64
	Reset         bool // connections are reset
	Bandwidth     int  // bytes a second, 0 = no limit
}

// relay passes on what one process sends to another, by UDP and by TCP. What comes back on a connection goes by
// the link of the other direction.
type relay struct {
	addr   string
	target string
	there  *atomic.Pointer[Link] // from the one who dials
	back   *atomic.Pointer[Link]
	udp    *net.UDPConn
	tcp    net.Listener
	to     *net.UDPAddr
	rng    *rand.Rand
	mu     sync.Mutex
	conns  map[net.Conn]bool
	done   sync.WaitGroup
	closed atomic.Bool
	passed *atomic.Int64 // bytes
	freeAt time.Time     // of a link with a bandwidth
	tape   [][]byte      // the last datagrams
}

const tapeMost = 32

// record keeps a datagram for those who play it again.
func (r *relay) record(b []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.tape) >= tapeMost {
		r.tape = r.tape[1:]
	}
	r.tape = append(r.tape, append([]byte(nil), b...))
}

const relayDelayed = 4096 // datagrams that are under way at once; more are lost

func newRelay(target string, there, back *atomic.Pointer[Link], passed *atomic.Int64, seed uint64) (*relay, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	r := &relay{target: target, to: to, there: there, back: back, rng: rand.New(rand.NewPCG(seed, 0x72656c)), conns: map[net.Conn]bool{}, passed: passed}
	for range 20 { // a port that is free for both
		if r.tcp, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
		at := r.tcp.Addr().(*net.TCPAddr)
		if r.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port}); err == nil {
			break
		}
		_ = r.tcp.Close()
	}
	if err != nil {
		return nil, err
	}
	r.addr = r.tcp.Addr().String()
	r.done.Add(2)
	go r.datagrams()
	go r.accept()
	return r, nil
}

func (r *relay) close() {
	r.closed.Store(true)
	_ = r.udp.Close()
	_ = r.tcp.Close()
	r.mu.Lock()
	for c := range r.conns {
		_ = c.Close()
	}
	r.mu.Unlock()
	r.done.Wait()
}

func (r *relay) datagrams() {
	defer r.done.Done()
	buf := make([]byte, 64<<10)
	var under atomic.Int64
	for {
		n, _, err := r.udp.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.record(buf[:n])
		l := *r.there.Load()
		if l.Cut || r.rng.Float64() < l.Loss {
			continue
		}
		times := 1
		if r.rng.Float64() < l.Repeat {
			times = 2
		}
		for range times {
			wait := r.wait(&l, n)
			r.passed.Add(int64(n))
			if wait == 0 {
				_, _ = r.udp.WriteToUDP(buf[:n], r.to)
				continue
			}
			if under.Add(1) > relayDelayed {
				under.Add(-1)
				continue
			}
			b := append([]byte(nil), buf[:n]...)
			time.AfterFunc(wait, func() {
				defer under.Add(-1)
				if !r.closed.Load() && !r.there.Load().Cut {
					_, _ = r.udp.WriteToUDP(b, r.to)
				}
			})
		}
	}
}

// wait is how long n bytes are under way. It is the datagrams' goroutine's.
func (r *relay) wait(l *Link, n int) time.Duration {
	wait := l.Delay
	if l.Jitter > 0 {
		wait += time.Duration(r.rng.Int64N(int64(l.Jitter)))
	}
	if l.Bandwidth > 0 {
		now := time.Now()
		if r.freeAt.Before(now) {
			r.freeAt = now
		}
		r.freeAt = r.freeAt.Add(time.Duration(float64(n) / float64(l.Bandwidth) * float64(time.Second)))
		wait += r.freeAt.Sub(now)
	}
	return wait
}

func (r *relay) accept() {
	defer r.done.Done()
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		r.done.Add(1)
		go func() {
			defer r.done.Done()
			r.pass(c)
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
			_ = c.Close()
		}()
	}
}

// pass passes one connection on, both ways.
func (r *relay) pass(c net.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for l := r.there.Load(); l.Cut || r.back.Load().Cut; l = r.there.Load() { // the handshake does not get through
		if r.closed.Load() || ctx.Err() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	var d net.Dialer
	t, err := d.DialContext(ctx, "tcp", r.target)
	if err != nil { // as near to a refused connection as a relay can come
		if errors.Is(err, syscall.ECONNREFUSED) {
			reset(c)
		}
		return
	}
	defer func() { _ = t.Close() }()
	var both sync.WaitGroup
	both.Add(1)
	go func() {
		defer both.Done()
		r.copy(t, c, r.there)
		_ = t.Close()
	}()
	r.copy(c, t, r.back)
	_ = c.Close()
	both.Wait()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// copy passes bytes on as the link lets it. While it is cut they wait, as on a connection whose peer repeats them.
func (r *relay) copy(to, from net.Conn, link *atomic.Pointer[Link]) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			l := link.Load()
			if l.Reset {
				reset(to)
				reset(from)
				return
			}
			wait := l.Delay
			if l.Bandwidth > 0 {
				wait += time.Duration(float64(n) / float64(l.Bandwidth) * float64(time.Second))
			}
			for end := time.Now().Add(wait); time.Now().Before(end) || link.Load().Cut; {
				if r.closed.Load() {
					return
				}
				time.Sleep(min(5*time.Millisecond, max(time.Until(end), time.Millisecond)))
			}
			r.passed.Add(int64(n))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}
