package logship

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"reachwind/internal/logqueue"
	"reachwind/internal/tlskeys"
)

// link is one connection to a collector.
type link struct {
	conf       *Collector
	conn       net.Conn
	raw        syscall.RawConn // the TCP connection; nil for UDP
	sent       atomic.Uint64   // bytes accepted by the local kernel
	buf        []byte
	keys       uint64        // generation of the certificates it was made with
	peerClosed chan struct{} // closed when the peer ends the connection
}

// countingConn counts the bytes written to the socket, below TLS.
type countingConn struct {
	net.Conn
	n *atomic.Uint64
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(uint64(n))
	return n, err
}

// dial connects to a collector, including the handshake, within its Connect time.
func dial(ctx context.Context, k *Collector, keys *tlskeys.Store) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, k.Connect)
	defer cancel()
	l := &link{conf: k, peerClosed: make(chan struct{})}
	network := "tcp"
	if k.Transport == UDP {
		network = "udp"
	}
	nc, err := new(net.Dialer).DialContext(ctx, network, k.Address)
	if err != nil {
		return nil, err
	}
	if sc, ok := nc.(syscall.Conn); ok && k.Transport != UDP {
		if l.raw, err = sc.SyscallConn(); err != nil {
			_ = nc.Close()
			return nil, err
		}
	}
	l.conn = countingConn{nc, &l.sent}
	if k.Transport == TLS {
		l.keys = keys.Current().Generation
		t := tls.Client(l.conn, keys.Client(k.ServerName, k.Fingerprints))
		if err := t.HandshakeContext(ctx); err != nil {
			_ = nc.Close()
			return nil, err
		}
		l.conn = t
	}
	go l.watchPeer()
	return l, nil
}

// watchPeer detects that the peer closed the connection. Data that a collector sends is ignored.
func (l *link) watchPeer() {
	defer close(l.peerClosed)
	var b [512]byte
	for {
		if _, err := l.conn.Read(b[:]); err != nil {
			if l.conf.Transport == UDP && !errors.Is(err, net.ErrClosed) {
				time.Sleep(10 * time.Millisecond) // an earlier datagram was refused: the next write fails too
				continue
			}
			return
		}
	}
}

// write writes entries with the collector's framing.
func (l *link) write(entries []*logqueue.Entry) error {
	_ = l.conn.SetWriteDeadline(time.Now().Add(l.conf.Write))
	if l.conf.Transport == UDP {
		for _, e := range entries {
			if _, err := l.conn.Write(e.Msg); err != nil && !errors.Is(err, syscall.EMSGSIZE) {
				return err
			}
		}
		return nil
	}
	l.buf = l.buf[:0]
	for _, e := range entries {
		if l.conf.Framing == LF && l.conf.Transport == TCP {
			l.buf = append(append(l.buf, e.Msg...), '\n')
			continue
		}
		l.buf = strconv.AppendInt(l.buf, int64(len(e.Msg)), 10)
		l.buf = append(append(l.buf, ' '), e.Msg...)
	}
	_, err := l.conn.Write(l.buf)
	return err
}

// confirmed returns how many of the bytes sent the peer's kernel has acknowledged. For UDP it returns all.
func (l *link) confirmed() uint64 {
	sent := l.sent.Load()
	if l.raw == nil {
		return sent
	}
	left := uint64(0)
	err := l.raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			left = uint64(n)
		} else {
			left = sent
		}
	})
	if err != nil {
		left = sent
	}
	return sent - min(left, sent)
}

// finish closes the connection in an orderly way and reports whether the peer's kernel acknowledged everything in time.
func (l *link) finish(wait time.Duration) bool {
	defer l.close()
	if l.raw == nil {
		return true
	}
	_ = l.conn.SetWriteDeadline(time.Now().Add(wait))
	if c, ok := l.conn.(interface{ CloseWrite() error }); ok {
		_ = c.CloseWrite()
	}
	all := l.sent.Load()
	for until := time.Now().Add(wait); l.confirmed() < all; time.Sleep(2 * time.Millisecond) {
		if time.Now().After(until) {
			return false
		}
		select {
		case <-l.peerClosed:
			return l.confirmed() >= all
		default:
		}
	}
	return true
}

func (l *link) close() { _ = l.conn.Close() }
