// Package interruptible provides connections whose goroutine can block in a
// read and still receive messages from others. A sender puts a message into the
// connection's mailbox and interrupts the read with a read deadline in the past.
// Only the goroutine that reads resets the deadline, and it checks the mailbox
// afterwards, so no message is missed. As it always reads, it also notices that
// the peer closes the connection.
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

// ErrInterrupted is returned by a read that was interrupted: call TakeMessages and read again.
var ErrInterrupted = errors.New("woken")

var distantPast = time.Unix(1, 0)

// Conn is a connection with a mailbox of messages of type M. One goroutine owns it and reads; the methods Post,
// TakeMessages, WaitForMessage, CloseMailbox and CloseAll are safe for concurrent use.
type Conn[M any] struct {
	net.Conn
	Reader *bufio.Reader // for reads by the owning goroutine

	OnRead   func(n int) // called on the owning goroutine after n bytes were read; may be nil
	lastRead time.Time   // when bytes were last read; owned by the owning goroutine

	mu           sync.Mutex
	messageAdded sync.Cond // signalled for each message
	mailbox      []M
	closed       bool
}

// New wraps c with a read buffer of the given size in bytes.
func New[M any](c net.Conn, size int) *Conn[M] {
	w := &Conn[M]{Conn: c}
	w.messageAdded.L = &w.mu
	w.Reader = bufio.NewReaderSize(w, size)
	return w
}

// Read reads from the connection without the buffer. The owning goroutine reads by Reader instead, which calls Read.
func (w *Conn[M]) Read(p []byte) (int, error) {
	n, err := w.Conn.Read(p)
	if n > 0 {
		w.lastRead = time.Now()
		if w.OnRead != nil {
			w.OnRead(n)
		}
	}
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		// The order matters: a message that is posted after the reset interrupts the next read.
		if err := w.Conn.SetReadDeadline(time.Time{}); err != nil {
			return n, err
		}
		return n, ErrInterrupted
	}
	return n, err
}

// Post puts m into the mailbox and interrupts the read of the owning goroutine.
// It never blocks. It returns false, without keeping m, if the mailbox is closed.
func (w *Conn[M]) Post(m M) bool {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return false
	}
	w.mailbox = append(w.mailbox, m)
	w.messageAdded.Signal()
	w.mu.Unlock()
	_ = w.Conn.SetReadDeadline(distantPast) // on a broken connection the read fails anyway
	return true
}

// NoPendingInput reports whether there is neither unread input nor a close by
// the peer. Unlike a read it sees both even when a read deadline has passed. For
// a connection that is no socket it only checks Reader's buffer.
func (w *Conn[M]) NoPendingInput() bool { return w.Reader.Buffered() == 0 && w.socketEmpty() }

// SilentFor returns the time since bytes were last read. It returns 0 if the socket holds unread bytes or the peer's
// close. Only the owning goroutine may call it.
func (w *Conn[M]) SilentFor() time.Duration {
	if !w.socketEmpty() {
		return 0
	}
	return time.Since(w.lastRead)
}

// socketEmpty reports whether the socket holds neither unread bytes nor the peer's close. It is true for a connection
// that is no socket.
func (w *Conn[M]) socketEmpty() bool {
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

// WaitForMessage blocks until the mailbox holds a message. It does not read from the connection.
func (w *Conn[M]) WaitForMessage() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.mailbox) == 0 {
		w.messageAdded.Wait()
	}
}

// TakeMessages returns the messages of the mailbox in the order of posting, and empties it.
func (w *Conn[M]) TakeMessages() []M {
	w.mu.Lock()
	defer w.mu.Unlock()
	box := w.mailbox
	w.mailbox = nil
	return box
}

// CloseMailbox closes the mailbox and returns its remaining messages. The connection stays open.
func (w *Conn[M]) CloseMailbox() []M {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	box := w.mailbox
	w.mailbox = nil
	return box
}

// CloseAll closes the mailbox and the connection and returns the remaining messages.
func (w *Conn[M]) CloseAll() []M {
	box := w.CloseMailbox()
	_ = w.Conn.Close()
	return box
}

// LingeringClose closes c such that the peer can still read all that was written. It closes the sending side, and reads
// and discards what the peer sends: a close with unread bytes would reset the connection, and the peer would lose what
// it has not yet read. It closes c fully, and returns, once the peer has closed its side, after maxBytes or at until,
// whichever is first. Closing c elsewhere ends the wait.
func LingeringClose(c net.Conn, until time.Time, maxBytes int) {
	defer func() { _ = c.Close() }()
	half, ok := c.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	buf := make([]byte, discardBufSize)
	for maxBytes > 0 {
		_ = c.SetReadDeadline(until) // before each read: a message posted just before the mailbox was closed also sets one
		n, err := c.Read(buf)
		maxBytes -= n
		if err != nil && !(errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(until)) {
			return
		}
		if n == len(buf) { // a peer that sends at full speed must not take the processor from others
			time.Sleep(discardInterval)
		}
	}
}

const (
	discardBufSize  = 2 << 10 // bytes that are read and discarded at a time
	discardInterval = time.Millisecond
)

// ReadFull reads len(p) bytes. Whenever it is interrupted it calls onInterrupt, and goes on unless that returns an
// error.
func (w *Conn[M]) ReadFull(p []byte, onInterrupt func() error) error {
	for len(p) > 0 {
		n, err := io.ReadFull(w.Reader, p)
		p = p[n:]
		if err == nil {
			return nil
		}
		if !errors.Is(err, ErrInterrupted) {
			return err
		}
		if err := onInterrupt(); err != nil {
			return err
		}
	}
	return nil
}

// Discard reads n bytes and drops them. Whenever it is interrupted it calls onInterrupt, and goes on unless that returns
// an error.
func (w *Conn[M]) Discard(n int, onInterrupt func() error) error {
	for n > 0 {
		dropped, err := w.Reader.Discard(n)
		n -= dropped
		if err == nil {
			return nil
		}
		if !errors.Is(err, ErrInterrupted) {
			return err
		}
		if err := onInterrupt(); err != nil {
			return err
		}
	}
	return nil
}

// Peek is Reader.Peek, but calls onInterrupt whenever it is interrupted, and goes on unless that returns an error.
func (w *Conn[M]) Peek(n int, onInterrupt func() error) ([]byte, error) {
	for {
		b, err := w.Reader.Peek(n)
		if !errors.Is(err, ErrInterrupted) {
			return b, err
		}
		if err := onInterrupt(); err != nil {
			return nil, err
		}
	}
}
