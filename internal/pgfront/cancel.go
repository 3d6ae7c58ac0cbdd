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
	"reachwind/internal/hangup"
	"reachwind/internal/often"
	"reachwind/internal/pgwire"
	"reachwind/internal/wake"
)

// This file handles the ways in which a client ends a request before its answer: by a cancel request on a separate
// connection, with the key that the connection was given at startup, or by closing the connection.

// key is the BackendKeyData of a connection; a pid of 0 means none.
type key struct{ pid, secret uint32 }

// cancels is the state of the server for cancel requests. The keys are stored in their connections.
type cancels struct {
	lastPID uint32 // guarded by Server.mu

	taken, unknown, ahead often.Line
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
		s.cancels.unknown.Info(s.log, "cancel request names no connection")
		return
	}
	want := key{binary.BigEndian.Uint32(body[4:]), binary.BigEndian.Uint32(body[8:])}
	c := s.keyed(want)
	if c == nil {
		s.cancels.unknown.Info(s.log, "cancel request names no connection")
	} else if q := c.work.Load(); q != nil {
		s.cancels.taken.Info(s.log, "client cancelled its request")
		s.core.Cancel(q)
	}
}

// keyed returns the connection with a key, or nil if there is none.
func (s *Server) keyed(want key) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.key.pid == want.pid && want.pid != 0 && subtle.ConstantTimeEq(int32(c.key.secret), int32(want.secret)) == 1 {
			return c
		}
	}
	return nil
}

// cancelled writes the answer to a request that its client cancelled.
func (c *conn) cancelled() error {
	out := pgwire.AppendError(c.out[:0], "ERROR", queryCanceled, "canceling statement due to user request", "")
	c.out = pgwire.AppendReady(out)
	return c.write(c.out)
}

const (
	aheadEach = 64 << 10  // limit in bytes of the read-ahead on one connection
	aheadMost = 512 << 10 // limit in bytes on all connections: 1/64 of the smallest memory that a deployment may have
)

// await waits for the answer to q. Commands that follow may arrive meanwhile and stay in the reader; the read also detects
// that the client closes the connection. If they fill the reader, it is enlarged within limits; beyond these, the socket is
// polled for the end of the client's side.
func (c *conn) await(q *core.Request) (message, error) {
	c.work.Store(q)
	defer c.work.Store(nil)
	c.narrow()
	for {
		for i, m := range c.answered {
			if m.request == q {
				c.answered = append(c.answered[:i], c.answered[i+1:]...)
				return m, nil
			}
		}
		n := c.R.Buffered()
		if n == c.R.Size() && !c.widen() {
			if hangup.Seen(c.Conn.Conn) {
				return message{}, errGone
			}
			look := time.AfterFunc(hangup.Every, func() { c.Leave(message{expire: never}) })
			c.Wait()
			look.Stop()
		} else if _, err := c.R.Peek(n + 1); err != nil && !errors.Is(err, wake.ErrWoken) {
			return message{}, errGone
		}
		if err := c.woken(); err != nil {
			return message{}, err
		}
	}
}

const (
	never         = -1      // an expiry that belongs to no read
	queryCanceled = "57014" // SQLSTATE
)

// widen doubles the size of the reader if the limits allow it, and reports whether they do.
func (c *conn) widen() bool {
	more := c.R.Size()
	if 2*more > aheadEach {
		return false
	}
	if c.s.ahead.Add(int64(more)) > aheadMost {
		c.s.ahead.Add(-int64(more))
		c.s.cancels.ahead.Info(c.s.log, "clients send far ahead: no room to read on")
		return false
	}
	c.resize(2 * more)
	return true
}

// narrow undoes widen as far as the buffered bytes allow.
func (c *conn) narrow() {
	size := readSize
	for size < c.R.Buffered() {
		size *= 2
	}
	if less := c.R.Size() - size; less > 0 {
		c.resize(size)
		c.s.ahead.Add(-int64(less))
	}
}

// resize replaces the reader by one of the given size, with the bytes that the old one has buffered.
func (c *conn) resize(size int) {
	have, _ := c.R.Peek(c.R.Buffered())
	r := bufio.NewReaderSize(&rest{have: bytes.Clone(have), next: c.Conn}, size)
	_, _ = r.Peek(len(have)) // fills the buffer, so that Buffered counts these bytes
	c.R = r
}

// rest reads the bytes that another reader had buffered, then continues with next.
type rest struct {
	have []byte
	next io.Reader
}

func (r *rest) Read(p []byte) (int, error) {
	if len(r.have) == 0 {
		return r.next.Read(p)
	}
	n := copy(p, r.have)
	if r.have = r.have[n:]; len(r.have) == 0 {
		r.have = nil
	}
	return n, nil
}
