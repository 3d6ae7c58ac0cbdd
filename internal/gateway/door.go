package gateway

import (
	"errors"
	"net"
	"sync"
	"time"
)

// door is the listener of the clients' side. It can be shut and opened again while the gateway runs: shut, connections
// are refused at once, so that clients go elsewhere. Whoever had connected by then is let in first.
type door struct {
	addr string

	mu     sync.Mutex
	l      net.Listener // nil: connections are refused
	shut   bool
	closed bool          // for good
	by     time.Time     // shut or closed: the listener is closed by then, whoever still comes
	change chan struct{} // closed and made anew with each change
}

// lastIn is how long nobody must have come before a door that is told to shut is shut: connections that wait unseen
// when a listener is closed are reset, and their clients lose what they sent. Where clients come all the time it is shut
// after lastMost all the same.
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

// Accept implements net.Listener. It waits while the door is shut.
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

// deadline bounds accepting, and tells whether the listener can do that.
func deadline(l net.Listener, t time.Time) bool {
	x, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && x.SetDeadline(t) == nil
}

func (d *door) changed() {
	close(d.change)
	d.change = make(chan struct{})
}

// Shut has connections refused from now on.
func (d *door) Shut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.shut {
		return
	}
	d.shut = true
	d.ending()
}

// ending has Accept let in who has come, and then close the listener. The caller holds the lock.
func (d *door) ending() {
	d.by = time.Now().Add(lastMost)
	if d.l != nil && !deadline(d.l, time.Now()) && d.closed { // else it wakes Accept
		_ = d.l.Close()
	}
	d.changed()
}

// Open has connections accepted again.
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

// Close implements net.Listener: the door is shut for good. Accept lets in who has come, and then tells its end.
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
