package gateway

import (
	"errors"
	"net"
	"sync"
	"time"
)

// door is the client-facing listener. It can be disabled and enabled again while the gateway runs. While it is disabled
// its socket is closed, so that connections are refused at once and clients go elsewhere. Connections already
// established when it is disabled are accepted first.
type door struct {
	addr string

	mu     sync.Mutex
	l      net.Listener // nil: connections are refused
	shut   bool
	closed bool          // by Close; can't be enabled again
	by     time.Time     // shut or closed: the socket is closed by then, even if connections keep arriving
	change chan struct{} // closed and replaced at each change of state
}

// When the listener is disabled or closed, its socket is closed once no connection has arrived for lastIn: connections
// that wait in the backlog of a socket when it is closed are reset, and their clients lose what they sent. Where
// connections keep arriving the socket is closed after lastMost.
const (
	lastIn   = 3 * time.Millisecond
	lastMost = 100 * time.Millisecond
)

func newDoor(l net.Listener) *door {
	return &door{addr: l.Addr().String(), l: l, change: make(chan struct{})}
}

// Addr implements net.Listener.
func (d *door) Addr() net.Addr {
	a, _ := net.ResolveTCPAddr("tcp", d.addr)
	return a
}

// Accept implements net.Listener. It blocks while the listener is disabled.
func (d *door) Accept() (net.Conn, error) {
	for {
		d.mu.Lock()
		l, shut, closed, change := d.l, d.shut || d.closed, d.closed, d.change
		if l != nil && shut {
			until := time.Now().Add(lastIn)
			if until.After(d.by) {
				until = d.by
			}
			deadline(l, until)
		}
		d.mu.Unlock()
		switch {
		case l == nil && closed:
			return nil, net.ErrClosed
		case l == nil:
			<-change
			continue
		}
		c, err := l.Accept()
		if err == nil {
			return c, nil
		}
		d.mu.Lock()
		var late net.Error
		switch timeout := errors.As(err, &late) && late.Timeout(); {
		case d.l != l:
		case timeout && d.shut, d.closed:
			_ = l.Close()
			d.l = nil
		case timeout:
			deadline(l, time.Time{})
		default:
			d.mu.Unlock()
			return nil, err
		}
		d.mu.Unlock()
	}
}

// deadline sets the deadline of l's Accept. It returns false if l does not support deadlines.
func deadline(l net.Listener, t time.Time) bool {
	x, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && x.SetDeadline(t) == nil
}

// changed wakes an Accept that waits for a change. The caller holds the lock.
func (d *door) changed() {
	close(d.change)
	d.change = make(chan struct{})
}

// Shut disables the listener: connections are refused until Open.
func (d *door) Shut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.shut {
		return
	}
	d.shut = true
	d.ending()
}

// ending lets Accept return the connections already established and then close the socket. The caller holds the lock.
func (d *door) ending() {
	d.by = time.Now().Add(lastMost)
	if d.l != nil && !deadline(d.l, time.Now()) && d.closed { // a deadline wakes Accept; where there are none only closing the socket does
		_ = d.l.Close()
	}
	d.changed()
}

// Open enables the listener again. It does nothing if it is enabled or closed, and returns an error if the address can't
// be listened on.
func (d *door) Open() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || !d.shut {
		return nil
	}
	if d.l == nil {
		l, err := net.Listen("tcp", d.addr)
		if err != nil {
			return err
		}
		d.l = l
	} else {
		deadline(d.l, time.Time{})
	}
	d.shut = false
	d.changed()
	return nil
}

// Close implements net.Listener. Accept returns the connections already established, and then net.ErrClosed.
func (d *door) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil
	}
	d.closed = true
	d.ending()
	return nil
}
