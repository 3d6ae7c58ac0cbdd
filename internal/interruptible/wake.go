// Package interruptible lets a connection's goroutine sit in a read and still be told
// things. Others leave it a message and wake it by a read deadline in the
// past; only the goroutine itself resets the deadline, and it looks into its
// mailbox afterwards, so no message is missed. Meanwhile the read also sees
// the peer leave.
package interruptible

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// ErrInterrupted is returned by a read that was woken: look into the mailbox and read on.
var ErrInterrupted = errors.New("woken")

var past = time.Unix(1, 0)

// Conn is a connection with a mailbox of messages M.
type Conn[M any] struct {
	net.Conn
	Reader *bufio.Reader

	OnRead func(n int) // called when n bytes were read, on the goroutine; nil: nobody wants to know
	heard  time.Time   // when bytes were last read; the goroutine's

	mu     sync.Mutex
	mail   sync.Cond // signalled with each message
	box    []M
	closed bool
}

// New wraps c with a reader of the given size.
func New[M any](c net.Conn, size int) *Conn[M] {
	w := &Conn[M]{Conn: c}
	w.mail.L = &w.mu
	w.Reader = bufio.NewReaderSize(w, size)
	return w
}

// Read reads from the connection; R does so for the goroutine that owns it.
func (w *Conn[M]) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.heard = time.Now()
		if w.OnRead != nil {
			w.OnRead(n)
		}
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		// The order matters: a message left after the reset wakes the next read.
		if err := w.Conn.SetReadDeadline(time.Time{}); err != nil {
			return n, err
		}
		return n, ErrInterrupted
	}
	return n, err
}

// Post puts m in the mailbox and wakes the goroutine. It never blocks. It
// reports false, and keeps nothing, if the mailbox is closed.
func (w *Conn[M]) Post(m M) bool {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return false
	}
	w.box = append(w.box, m)
	w.mail.Signal()
	w.mu.Unlock()
	_ = w.Conn.SetReadDeadline(past) // a broken connection shows in the read
	return true
}

// NoPendingInput tells that nothing has come that was not read, neither bytes nor the
// peer's end. It looks past a read deadline, which hides both. A connection that
// is no socket counts as quiet once R holds nothing.
func (w *Conn[M]) NoPendingInput() bool { return w.Reader.Buffered() == 0 && w.dry() }

// SilentFor returns for how long the peer has sent nothing, 0 if bytes or its end wait to be read.
func (w *Conn[M]) SilentFor() time.Duration {
	if !w.dry() {
		return 0
	}
	return time.Since(w.heard)
}

// dry tells that nothing waits in the socket.
func (w *Conn[M]) dry() bool {
	sc, ok := w.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var got error
	err = raw.Control(func(fd uintptr) {
		_, _, got = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && got == syscall.EAGAIN
}

// WaitForMessage returns when the mailbox holds a message, without reading.
func (w *Conn[M]) WaitForMessage() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.box) == 0 {
		w.mail.Wait()
	}
}

// TakeMessages empties the mailbox.
func (w *Conn[M]) TakeMessages() []M {
	w.mu.Lock()
	defer w.mu.Unlock()
	box := w.box
	w.box = nil
	return box
}

// CloseMailbox closes the mailbox and returns what was left in it. The connection stays open.
func (w *Conn[M]) CloseMailbox() []M {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	box := w.box
	w.box = nil
	return box
}

// CloseAll closes the connection and the mailbox and returns what was left in it.
func (w *Conn[M]) CloseAll() []M {
	box := w.CloseMailbox()
	_ = w.Conn.Close()
	return box
}

// LingeringClose is a lingering close. What was written goes out, and the peer is told that no more comes (half-close); what it
// sends from then on is read and thrown away, as a close over unread bytes would reset the connection, which takes with
// it what the peer has not yet read. The connection is closed once the peer has closed its side, after so many bytes
// and at until in any case. Closing it from elsewhere ends the wait.
func LingeringClose(c net.Conn, until time.Time, most int) {
	defer func() { _ = c.Close() }()
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	scrap := make([]byte, scrapSize)
	for most > 0 {
		_ = c.SetReadDeadline(until) // each time: a message that was left just before the mailbox was shut sets one too
		n, err := c.Read(scrap)
		most -= n
		if err != nil && !(errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(until)) {
			return
		}
	}
}

const scrapSize = 2 << 10 // bytes read at a time of what is thrown away

// ReadFull reads len(p) bytes. When woken it calls woken, and ends with its error if it has one.
func (w *Conn[M]) ReadFull(p []byte, woken func() error) error {
	for len(p) > 0 {
		n, err := io.ReadFull(w.Reader, p)
		p = p[n:]
		if err == nil {
			return nil
		}
		if !errors.Is(err, ErrInterrupted) {
			return err
		}
		if err := woken(); err != nil {
			return err
		}
	}
	return nil
}

// Peek is R.Peek that calls woken when woken.
func (w *Conn[M]) Peek(n int, woken func() error) ([]byte, error) {
	for {
		b, err := w.Reader.Peek(n)
		if !errors.Is(err, ErrInterrupted) {
			return b, err
		}
		if err := woken(); err != nil {
			return nil, err
		}
	}
}
