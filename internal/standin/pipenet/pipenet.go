// Package pipenet is a network in memory, so that whole programs of several
// parts can be played in a fake clock. Its connections are net.Pipe's: they have
// deadlines, and no buffer.
package pipenet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// Net is a network. Its zero value is empty and ready.
type Net struct {
	mu        sync.Mutex
	listeners map[string]*listener
	last      int
}

type listener struct {
	n     *Net
	addr  Addr
	conns chan net.Conn
	done  chan struct{}
}

// Addr is an address on a Net.
type Addr string

// Network implements net.Addr.
func (Addr) Network() string { return "pipe" }

// String implements net.Addr.
func (a Addr) String() string { return string(a) }

// Listen listens at addr, or at a free address for one with port 0.
func (n *Net) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if host, port, err := net.SplitHostPort(addr); err == nil && port == "0" {
		n.last++
		addr = net.JoinHostPort(host, fmt.Sprint(n.last))
	}
	if n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Net: "pipe", Addr: Addr(addr), Err: syscall.EADDRINUSE}
	}
	if n.listeners == nil {
		n.listeners = map[string]*listener{}
	}
	l := &listener{n, Addr(addr), make(chan net.Conn), make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to who listens at addr.
func (n *Net) Dial(ctx context.Context, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "pipe", Addr: Addr(addr), Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	if l.n.listeners[string(l.addr)] == l {
		delete(l.n.listeners, string(l.addr))
		close(l.done)
	}
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }
