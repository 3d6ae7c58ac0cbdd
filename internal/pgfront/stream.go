package pgfront

import (
	"context"
	"errors"
	"os"
	"time"

	"reachwind/internal/pgwire"
)

// minStreamRate is the rate, in bytes per second, at which a client has to read an answer that is streamed to it. A slower
// one would hold a connection of a member for too long.
const minStreamRate = 4 << 10

// MaxStreamTime is the time that the largest answer takes at minStreamRate.
const MaxStreamTime = pgwire.MaxRowSize / minStreamRate * time.Second

// maxQuickAnswer is the size in bytes up to which an answer is taken to fit into the buffers of its socket.
const maxQuickAnswer = 16 << 10

// markWriting counts a connection to which a long answer is written, until endWriting.
func (s *Server) markWriting(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.writing = true
	s.writing++
}

// endWriting ends the count of a connection to which a long answer was written. The lock must be held.
func (s *Server) endWriting(c *conn) {
	if c.writing {
		c.writing = false
		s.writing--
		s.changed.Broadcast()
	}
}

// LongAnswers returns the number of connections to which a long answer is being written.
func (s *Server) LongAnswers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writing
}

// AwaitLongAnswers waits for the long answers that are being written to end, until ctx ends, and returns how many are left.
// Connections whose answers have ended are given shutdownLinger to be closed by their clients.
func (s *Server) AwaitLongAnswers(ctx context.Context) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})()
	for s.writing > 0 && ctx.Err() == nil {
		s.changed.Wait()
	}
	if s.lingerGoroutines > 0 {
		s.mu.Unlock()
		time.Sleep(shutdownLinger)
		s.mu.Lock()
	}
	return s.writing
}

// streamWriter is the sending side of a client connection while an answer is streamed.
type streamWriter struct{ c *conn }

// Write writes all of b or fails: the client must read some bytes within WriteTimeout, and all of them at minStreamRate.
func (w *streamWriter) Write(b []byte) (done int, err error) {
	timeout := w.c.s.conf.WriteTimeout
	deadline := time.Now().Add(timeout + time.Duration(len(b))*time.Second/minStreamRate)
	for done < len(b) && err == nil {
		until := time.Now().Add(timeout)
		if until.After(deadline) {
			until = deadline
		}
		_ = w.c.SetWriteDeadline(until)
		var n int
		n, err = w.c.Conn.Conn.Write(b[done:])
		done += n
		if n > 0 && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
			err = nil
		}
	}
	return done, err
}
