// Package collector is a stand-in of a syslog collector, from RFC 5424, 5425, 5426
// and 6587: it takes messages by UDP, TCP or TLS, checks each against the grammar,
// tells gaps from repeats by sequenceId, and misbehaves as told.
package collector

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Config is what a collector is told.
type Config struct {
	Network string // udp, tcp or tls
	Address string // port 0: any
	LF      bool   // tcp: a line feed ends a message; else octet counting
	TLS     *tls.Config
	Buffer  int // the kernel's receive buffer, 0 = its own default
	Check   bool
}

// Collector is a running stand-in.
type Collector struct {
	conf Config
	Addr string
	Book *Book

	mu     sync.Mutex
	cond   *sync.Cond
	l      net.Listener
	p      net.PacketConn
	conns  map[net.Conn]bool
	stall  bool
	slow   time.Duration
	reset  int // end a connection after so many messages, 0 = never
	abrupt bool
	done   sync.WaitGroup
}

// Start starts a collector.
func Start(conf Config) (*Collector, error) {
	c := &Collector{conf: conf, conns: map[net.Conn]bool{}, Book: NewBook(conf.Check)}
	c.cond = sync.NewCond(&c.mu)
	c.Addr = conf.Address
	return c, c.Resume()
}

// Resume listens, again after Stop on the same address.
func (c *Collector) Resume() error {
	if c.conf.Network == "udp" {
		p, err := net.ListenPacket("udp", c.Addr)
		if err != nil {
			return err
		}
		c.mu.Lock()
		c.p, c.Addr = p, p.LocalAddr().String()
		c.mu.Unlock()
		c.done.Add(1)
		go c.datagrams(p)
		return nil
	}
	var lc net.ListenConfig
	if c.conf.Buffer > 0 { // on the listener, as a connection's window is given before it is accepted
		lc.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, c.conf.Buffer)
			})
		}
	}
	l, err := lc.Listen(context.Background(), "tcp", c.Addr)
	for i := 0; err != nil && i < 50 && errors.Is(err, syscall.EADDRINUSE); i++ {
		time.Sleep(20 * time.Millisecond)
		l, err = lc.Listen(context.Background(), "tcp", c.Addr)
	}
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.l, c.Addr = l, l.Addr().String()
	c.mu.Unlock()
	c.done.Add(1)
	go c.accept(l)
	return nil
}

// Stop refuses connections and ends those that are open, after what has come was read. With Abrupt they are
// reset and what was not read is lost.
func (c *Collector) Stop(abrupt bool) {
	c.mu.Lock()
	c.abrupt, c.stall = abrupt, false
	if c.l != nil {
		_ = c.l.Close()
		c.l = nil
	}
	if c.p != nil {
		_ = c.p.Close()
		c.p = nil
	}
	for nc := range c.conns {
		if abrupt {
			end(nc, true)
		} else {
			_ = nc.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		}
	}
	c.cond.Broadcast()
	c.mu.Unlock()
	c.done.Wait()
}

func end(nc net.Conn, abrupt bool) {
	raw := nc
	if t, ok := nc.(*tls.Conn); ok {
		raw = t.NetConn()
	}
	if t, ok := raw.(*net.TCPConn); ok && abrupt {
		_ = t.SetLinger(0)
	}
	_ = raw.Close()
}

// Stall has connections stay open and nothing read, until it is called with false.
func (c *Collector) Stall(yes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stall = yes
	c.cond.Broadcast()
}

// Slow waits so long after each message.
func (c *Collector) Slow(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow = d
}

// ResetAfter resets each connection once it has brought so many messages; 0 = never.
func (c *Collector) ResetAfter(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reset = n
}

func (c *Collector) accept(l net.Listener) {
	defer c.done.Done()
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		if c.conf.TLS != nil {
			nc = tls.Server(nc, c.conf.TLS)
		}
		c.mu.Lock()
		if c.l != l {
			c.mu.Unlock()
			_ = nc.Close()
			return
		}
		c.conns[nc] = true
		c.done.Add(1)
		c.mu.Unlock()
		go c.serve(nc)
	}
}

// pause waits while the collector is stalled, and tells how to go on.
func (c *Collector) pause() (slow time.Duration, reset int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.stall {
		c.cond.Wait()
	}
	return c.slow, c.reset
}

const (
	messageMost = 64 << 10
	readSize    = 16 << 10 // what has been read and not taken is lost with the connection, as in the kernel
)

func (c *Collector) serve(nc net.Conn) {
	defer c.done.Done()
	abrupt := false
	defer func() {
		c.mu.Lock()
		delete(c.conns, nc)
		abrupt = abrupt || c.abrupt
		c.mu.Unlock()
		end(nc, abrupt)
	}()
	if t, ok := nc.(*tls.Conn); ok {
		_ = nc.SetDeadline(time.Now().Add(5 * time.Second))
		if err := t.Handshake(); err != nil {
			c.Book.handshake(err)
			return
		}
		_ = nc.SetDeadline(time.Time{})
	}
	r := bufio.NewReaderSize(nc, readSize)
	for n := 1; ; n++ {
		slow, reset := c.pause()
		msg, err := frame(r, c.conf.LF && c.conf.TLS == nil)
		if err != nil {
			if len(msg) > 0 || errors.Is(err, errFrame) {
				c.Book.cut(err)
			}
			return
		}
		c.Book.Take(msg)
		if slow > 0 {
			time.Sleep(slow)
		}
		if reset > 0 && n >= reset {
			abrupt = true
			return
		}
	}
}

var errFrame = errors.New("bad frame")

// frame reads one message. What came of one that did not come whole is returned with the error.
func frame(r *bufio.Reader, lf bool) ([]byte, error) {
	if lf {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return line, err
		}
		return line[:len(line)-1], nil
	}
	n := 0
	for digits := 0; ; digits++ {
		b, err := r.ReadByte()
		if err != nil {
			return nil, err
		}
		if b == ' ' && digits > 0 {
			break
		}
		if b < '0' || b > '9' || digits == 0 && b == '0' || digits > 5 {
			return nil, fmt.Errorf("%w: MSG-LEN holds %q", errFrame, b)
		}
		n = n*10 + int(b-'0')
	}
	if n > messageMost {
		return nil, fmt.Errorf("%w: MSG-LEN is %d", errFrame, n)
	}
	msg := make([]byte, n)
	got, err := io.ReadFull(r, msg)
	return msg[:got], err
}

func (c *Collector) datagrams(p net.PacketConn) {
	defer c.done.Done()
	b := make([]byte, messageMost)
	for {
		n, _, err := p.ReadFrom(b)
		if err != nil {
			return
		}
		slow, _ := c.pause()
		c.Book.Take(b[:n])
		time.Sleep(slow)
	}
}
