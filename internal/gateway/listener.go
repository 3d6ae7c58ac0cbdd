package gateway

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// toggleListener is the client-facing listener. It can be disabled and enabled again while the gateway runs. While it
// is disabled its socket is closed, so that connections are refused at once and clients go elsewhere. Connections
// already established when it is disabled are accepted first.
type toggleListener struct {
	addr string

	mu          sync.Mutex
	inner       net.Listener // nil: connections are refused
	disabled    bool
	closed      bool          // by Close; can't be enabled again
	closeBy     time.Time     // while disabled or closed: the socket is closed by then, even if connections keep arriving
	stateChange chan struct{} // closed and replaced at each change of state
}

// When the listener is disabled or closed, its socket is closed once no connection has arrived for closeAfterIdle:
// connections that wait in the backlog of a socket when it is closed are reset, and their clients lose what they sent.
// Where connections keep arriving the socket is closed after maxCloseDelay.
const (
	closeAfterIdle = 3 * time.Millisecond
	maxCloseDelay  = 100 * time.Millisecond
)

func newToggleListener(l net.Listener) *toggleListener {
	return &toggleListener{addr: l.Addr().String(), inner: l, stateChange: make(chan struct{})}
}

// Addr implements net.Listener.
func (d *toggleListener) Addr() net.Addr {
	a, _ := net.ResolveTCPAddr("tcp", d.addr)
	return a
}

// Accept implements net.Listener. It blocks while the listener is disabled.
func (d *toggleListener) Accept() (net.Conn, error) {
	for {
		d.mu.Lock()
		l, disabled, closed, stateChange := d.inner, d.disabled || d.closed, d.closed, d.stateChange
		if l != nil && disabled {
			until := time.Now().Add(closeAfterIdle)
			if until.After(d.closeBy) {
				until = d.closeBy
			}
			setAcceptDeadline(l, until)
		}
		d.mu.Unlock()
		switch {
		case l == nil && closed:
			return nil, net.ErrClosed
		case l == nil:
			<-stateChange
			continue
		}
		c, err := l.Accept()
		if err == nil {
			return c, nil
		}
		d.mu.Lock()
		var netErr net.Error
		switch timeout := errors.As(err, &netErr) && netErr.Timeout(); {
		case d.inner != l:
		case timeout && (d.disabled || d.closed) && time.Now().Before(d.closeBy) && connectionWaits(l):
			// The deadline had passed before Accept looked: this process got no processor time for a while.
		case timeout && d.disabled, d.closed:
			_ = l.Close()
			d.inner = nil
		case timeout:
			setAcceptDeadline(l, time.Time{})
		default:
			d.mu.Unlock()
			return nil, err
		}
		d.mu.Unlock()
	}
}

// connectionWaits reports whether Accept of l would return a connection at once. It returns false if the system can't tell.
func connectionWaits(l net.Listener) (waits bool) {
	s, ok := l.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(p, 0)
		waits = err == nil && n > 0 && p[0].Revents&unix.POLLIN != 0
	})
	return waits
}

// setAcceptDeadline sets the deadline of l's Accept. It returns false if l does not support deadlines.
func setAcceptDeadline(l net.Listener, t time.Time) bool {
	x, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && x.SetDeadline(t) == nil
}

// signalChange wakes an Accept that waits for a change. The caller holds the lock.
func (d *toggleListener) signalChange() {
	close(d.stateChange)
	d.stateChange = make(chan struct{})
}

// Disable disables the listener: connections are refused until Enable.
func (d *toggleListener) Disable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.disabled {
		return
	}
	d.disabled = true
	d.beginClose()
}

// beginClose lets Accept return the connections already established and then close the socket. The caller holds the lock.
func (d *toggleListener) beginClose() {
	d.closeBy = time.Now().Add(maxCloseDelay)
	if d.inner != nil && !setAcceptDeadline(d.inner, time.Now()) && d.closed { // a deadline wakes Accept; where there are none only closing the socket does
		_ = d.inner.Close()
	}
	d.signalChange()
}

// Enable enables the listener again. It does nothing if it is enabled or closed, and returns an error if the address can't
// be listened on.
func (d *toggleListener) Enable() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || !d.disabled {
		return nil
	}
	if d.inner == nil {
		l, err := net.Listen("tcp", d.addr)
		if err != nil {
			return err
		}
		d.inner = l
	} else {
		setAcceptDeadline(d.inner, time.Time{})
	}
	d.disabled = false
	d.signalChange()
	return nil
}

// Close implements net.Listener. Accept returns the connections already established, and then net.ErrClosed.
func (d *toggleListener) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return nil
	}
	d.closed = true
	d.beginClose()
	return nil
}
