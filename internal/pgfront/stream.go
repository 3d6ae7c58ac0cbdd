package pgfront

import (
	"context"
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"reachwind/internal/pgwire"
)

// minStreamRate is the rate, in bytes per second, at which a client has to read an answer that is streamed to it. A slower
// one would hold a connection of a member for too long.
const minStreamRate = 4 << 10

// maxClientPause is the time for which a client may take nothing of an answer that is streamed to it, beyond what minStreamRate
// allows: it has not gone away, and its answer would be lost.
const maxClientPause = 30 * time.Second

// MaxStreamTime is the time that the largest answer takes at minStreamRate, with a pause.
const MaxStreamTime = pgwire.MaxRowSize/minStreamRate*time.Second + maxClientPause

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

var errInterrupted = errors.New("write was interrupted")

// streamWriter is the sending side of a client connection while an answer is streamed.
type streamWriter struct {
	c           *conn
	timeLeft    time.Duration // for the client to read, see Write
	interrupted atomic.Bool

	mu    sync.Mutex // guards ended; not taken by Write
	ended bool
}

// newStreamWriter returns the sending side of c.
func newStreamWriter(c *conn) *streamWriter { return &streamWriter{c: c, timeLeft: maxClientPause} }

// Write writes all of b or fails: the client may pause for maxClientPause, and must else read at minStreamRate.
func (w *streamWriter) Write(b []byte) (done int, err error) {
	timeToRead := time.Duration(len(b)) * time.Second / minStreamRate
	w.timeLeft = min(w.timeLeft, maxClientPause) + timeToRead
	began := time.Now()
	deadline := began.Add(w.timeLeft)
	for done < len(b) && err == nil {
		until := time.Now().Add(maxClientPause)
		if until.After(deadline) {
			until = deadline
		}
		_ = w.c.SetWriteDeadline(until)
		if w.interrupted.Load() { // after the deadline is set: one that Interrupt sets comes later
			return done, errInterrupted
		}
		var n int
		n, err = w.c.Conn.Conn.Write(b[done:])
		done += n
		if n > 0 && errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
			err = nil
		}
	}
	w.timeLeft -= time.Since(began)
	return done, err
}

// Interrupt implements pgwire.StreamWriter.
func (w *streamWriter) Interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.interrupted.Store(true)
	if !w.ended { // else the connection's goroutine writes, under its own deadline
		_ = w.c.SetWriteDeadline(time.Unix(1, 0))
	}
}

// end returns the sending side to the connection's goroutine.
func (w *streamWriter) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
}
