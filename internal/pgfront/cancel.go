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

// How clients end a request before it has its answer: by a cancel request on a connection of its own, with the key that
// was given at the startup, or by leaving.

// key is a connection's BackendKeyData; a pid of 0 is none.
type key struct{ pid, secret uint32 }

// cancels is what the server keeps of cancel requests. The keys themselves stand with their connections.
type cancels struct {
	lastPID uint32 // under the server's lock

	taken, unknown, ahead logthrottle.Line
}

// newKey gives a connection its key and returns it as BackendKeyData has it. A connection that another process passed on
// has none here, and the key that its client holds names nothing: its cancel requests come to nothing, as the protocol
// lets them.
func (s *Server) newKey(c *conn) string {
	var b [8]byte
	_, _ = rand.Read(b[4:])
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancels.lastPID++; s.cancels.lastPID == 0 { // all numbers were given, and those who had the first have long gone
		s.cancels.lastPID = 1
	}
	c.key = key{s.cancels.lastPID, binary.BigEndian.Uint32(b[4:])}
	binary.BigEndian.PutUint32(b[:], c.key.pid)
	return string(b[:])
}

// cancel carries out a cancel request: what the connection with its key has in work counts as gone, and is answered as
// cancelled. With a wrong key, or nothing in work, nothing is done. As in PostgreSQL its client is told nothing, and a
// request that is read meanwhile may be met by it.
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

// keyed is the connection with a key, nil if there is none.
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

// cancelled answers a request that its client cancelled.
func (c *conn) cancelled() error {
	out := pgwire.AppendError(c.out[:0], "ERROR", queryCanceled, "canceling statement due to user request", "")
	c.out = pgwire.AppendReadyForQuery(out)
	return c.write(c.out)
}

const (
	aheadEach = 64 << 10  // read ahead on one connection at most,
	aheadMost = 512 << 10 // and on all together: a 64th of the least memory that the deployment page gives
)

// await waits for the answer to q. Commands that follow may come meanwhile and stay in the reader; the read also sees
// the client leave. A client that is so far ahead that they fill the reader is read further, within a bound; beyond that
// the socket is asked from time to time whether the client has ended its side.
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
		n := c.Reader.Buffered()
		if n == c.Reader.Size() && !c.widen() {
			if peerclose.Detected(c.Conn.Conn) {
				return message{}, errGone
			}
			look := time.AfterFunc(peerclose.CheckInterval, func() { c.Post(message{expire: never}) })
			c.WaitForMessage()
			look.Stop()
		} else if _, err := c.Reader.Peek(n + 1); err != nil && !errors.Is(err, interruptible.ErrInterrupted) {
			return message{}, errGone
		}
		if err := c.woken(); err != nil {
			return message{}, err
		}
	}
}

const (
	never         = -1      // an expiry that is no read's
	queryCanceled = "57014" // SQLSTATE
)

// widen has the reader hold twice as much, and tells whether it may.
func (c *conn) widen() bool {
	more := c.Reader.Size()
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

// narrow gives back what widen took, as far as what is in the reader allows it.
func (c *conn) narrow() {
	size := readSize
	for size < c.Reader.Buffered() {
		size *= 2
	}
	if less := c.Reader.Size() - size; less > 0 {
		c.resize(size)
		c.s.ahead.Add(-int64(less))
	}
}

// resize gives the connection another reader with what the old one holds.
func (c *conn) resize(size int) {
	have, _ := c.Reader.Peek(c.Reader.Buffered())
	r := bufio.NewReaderSize(&rest{have: bytes.Clone(have), next: c.Conn}, size)
	_, _ = r.Peek(len(have)) // all that was held is held again: Buffered must tell
	c.Reader = r
}

// rest reads what another reader held, and goes on from there.
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
