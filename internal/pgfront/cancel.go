package pgfront

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"io"
	"time"

	"reachwind/internal/core"
	"reachwind/internal/interruptible"
	"reachwind/internal/logthrottle"
	"reachwind/internal/peerclose"
	"reachwind/internal/pgwire"
)

// This file handles the ways in which a client ends a request before its answer: by a cancel request on a separate
// connection, with the key that the connection was given at startup, or by closing the connection.

// key is the BackendKeyData of a connection; a pid of 0 means none.
type key struct{ pid, secret uint32 }

// cancelState is the state of the server for cancel requests. The keys are stored in their connections.
type cancelState struct {
	lastPID uint32 // guarded by Server.mu

	cancelledLog, unknownKeyLog, readAheadLog logthrottle.Line
}

// newKey assigns a key to a connection and returns it in the form of BackendKeyData. A connection that another process
// handed over has no key here, and the key that its client holds is unknown: its cancel requests have no effect, which the
// protocol allows.
func (s *Server) newKey(c *conn) string {
	var b [8]byte
	_, _ = rand.Read(b[4:])
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancels.lastPID++; s.cancels.lastPID == 0 { // wrapped around: the first numbers have long been free again
		s.cancels.lastPID = 1
	}
	c.key = key{s.cancels.lastPID, binary.BigEndian.Uint32(b[4:])}
	binary.BigEndian.PutUint32(b[:], c.key.pid)
	return string(b[:])
}

// cancel carries out a cancel request: the request in progress on the connection with that key is abandoned and answered as
// cancelled. With a wrong key, or no request in progress, it does nothing. As in PostgreSQL, the sender of the cancel
// request gets no answer, and a request that is read at the same time may be cancelled instead.
func (s *Server) cancel(body []byte) {
	if len(body) != 12 {
		s.cancels.unknownKeyLog.Info(s.log, "cancel request names no connection")
		return
	}
	want := key{binary.BigEndian.Uint32(body[4:]), binary.BigEndian.Uint32(body[8:])}
	c := s.connByKey(want)
	if c == nil {
		s.cancels.unknownKeyLog.Info(s.log, "cancel request names no connection")
	} else if q := c.current.Load(); q != nil {
		s.cancels.cancelledLog.Info(s.log, "client cancelled its request")
		s.core.Cancel(q)
	}
}

// connByKey returns the connection with a key, or nil if there is none.
func (s *Server) connByKey(want key) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.key.pid == want.pid && want.pid != 0 && subtle.ConstantTimeEq(int32(c.key.secret), int32(want.secret)) == 1 {
			return c
		}
	}
	return nil
}

// writeCancelled writes the answer to a request that its client cancelled.
func (c *conn) writeCancelled() error {
	out := pgwire.AppendError(c.scratch[:0], "ERROR", queryCanceled, "canceling statement due to user request", "")
	c.scratch = pgwire.AppendReadyForQuery(out)
	return c.write(c.scratch)
}

const (
	maxReadAheadPerConn = 64 << 10  // limit in bytes of the read-ahead on one connection
	maxReadAhead        = 512 << 10 // limit in bytes on all connections: 1/64 of the smallest memory that a deployment may have
)

// awaitAnswer waits for the answer to q. Commands that follow may arrive meanwhile and stay in the reader; the read also
// detects that the client closes the connection. If they fill the reader, it is enlarged within limits; beyond these, the
// socket is polled for the end of the client's side.
func (c *conn) awaitAnswer(q *core.Request) (message, error) {
	c.shrinkReader()
	for {
		for i, m := range c.answers {
			if m.request == q {
				c.answers = append(c.answers[:i], c.answers[i+1:]...)
				return m, nil
			}
		}
		if err := c.readAhead(true); err != nil {
			return message{}, err
		}
	}
}

// readAhead reads what the client sends until it is interrupted, and handles the messages in the mailbox. The reader is
// enlarged if grow is set and the limits allow it. It returns errClientGone once the client has closed the connection.
func (c *conn) readAhead(grow bool) error {
	n := c.Reader.Buffered()
	if n == c.Reader.Size() && !(grow && c.growReader()) {
		if peerclose.Detected(c.Conn.Conn) {
			return errClientGone
		}
		poll := time.AfterFunc(peerclose.CheckInterval, func() { c.Post(message{expiredRead: noRead}) })
		c.WaitForMessage()
		poll.Stop()
	} else if _, err := c.Reader.Peek(n + 1); err != nil && !errors.Is(err, interruptible.ErrInterrupted) {
		return errClientGone
	}
	return c.handleMessages()
}

const (
	noRead        = -1      // an expiry that belongs to no read
	queryCanceled = "57014" // SQLSTATE
)

// growReader doubles the size of the reader if the limits allow it, and reports whether they do.
func (c *conn) growReader() bool {
	more := c.Reader.Size()
	if 2*more > maxReadAheadPerConn {
		return false
	}
	if c.s.readAheadBytes.Add(int64(more)) > maxReadAhead {
		c.s.readAheadBytes.Add(-int64(more))
		c.s.cancels.readAheadLog.Info(c.s.log, "clients send far ahead: no room to read on")
		return false
	}
	c.resizeReader(2 * more)
	return true
}

// shrinkReader undoes growReader as far as the buffered bytes allow.
func (c *conn) shrinkReader() {
	size := initialReadSize
	for size < c.Reader.Buffered() {
		size *= 2
	}
	if less := c.Reader.Size() - size; less > 0 {
		c.resizeReader(size)
		c.s.readAheadBytes.Add(-int64(less))
	}
}

// resizeReader replaces the reader by one of the given size, with the bytes that the old one has buffered.
func (c *conn) resizeReader(size int) {
	have, _ := c.Reader.Peek(c.Reader.Buffered())
	r := bufio.NewReaderSize(&prefixedReader{prefix: bytes.Clone(have), next: c.Conn}, size)
	_, _ = r.Peek(len(have)) // fills the buffer, so that Buffered counts these bytes
	c.Reader = r
}

// prefixedReader reads the bytes that another reader had buffered, then continues with next.
type prefixedReader struct {
	prefix []byte
	next   io.Reader
}

func (r *prefixedReader) Read(p []byte) (int, error) {
	if len(r.prefix) == 0 {
		return r.next.Read(p)
	}
	n := copy(p, r.prefix)
	if r.prefix = r.prefix[n:]; len(r.prefix) == 0 {
		r.prefix = nil
	}
	return n, nil
}
