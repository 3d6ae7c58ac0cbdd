package pgmember

import (
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"reachwind/internal/interruptible"
	"reachwind/internal/pgwire"
)

// streamChunkSize is the number of bytes of a streamed answer that are read at a time. Such chunks take a quarter of the CPU
// time of those that fit into the connection's read buffer.
const streamChunkSize = 32 << 10

// streamState is what other goroutines may see of the answer that a connection streams.
type streamState struct {
	current      atomic.Pointer[openStream] // nil: no answer is streamed
	silentSince  atomic.Int64               // core.Time since when its member has been silent, 0: it is not, or for less than silenceNotice
	writingSince atomic.Int64               // core.Time since when a part of it has been written to the client, 0: none is
}

// openStream is an answer that is being streamed.
type openStream struct {
	job    *job // that it answers
	client pgwire.StreamWriter
}

// interrupt ends the stream of a job's answer, if it is open, also while its client takes nothing.
func (s *streamState) interrupt(j *job) {
	if o := s.current.Load(); o != nil && o.job == j {
		o.client.Interrupt()
	}
}

// mustStream reports whether head begins a row that must be streamed. Only answers to PostgreSQL clients can be.
func (a *answer) mustStream(head []byte) bool {
	if a.job == nil || a.job.attempt == nil || !a.described || a.row != nil || a.code != "" || !pgwire.IsLargeRow(head) {
		return false
	}
	_, ok := a.job.attempt.Request.Call.(*pgwire.Statement)
	return ok
}

// streamRow streams a row to the client as it arrives, after the messages before it. Once it starts, no other attempt
// can answer the request.
func (c *conn) streamRow(a *answer, onInterrupt func() error) error {
	if a.abandoned { // the rest of the row will not arrive
		return errStopped
	}
	c.watchForStall(a, pgwire.RowHeaderSize)
	head, err := c.Peek(pgwire.RowHeaderSize, onInterrupt)
	if err != nil {
		return err
	}
	left, err := pgwire.LargeRowValueLen(head)
	if err != nil {
		return err
	}
	if err := c.beginStream(a, onInterrupt); err != nil {
		return err
	}
	a.row = head[:0]
	a.buf.B = append(a.buf.B, head...)
	_, _ = c.Reader.Discard(len(head))
	if err := c.writeToClient(a, a.buf.B); err != nil {
		return err
	}
	c.releaseBuffer(a)
	c.takeChunkBuffer(a)
	for left > 0 {
		n, err := c.streamChunk(a, left, onInterrupt)
		left -= n
		if err != nil {
			return err
		}
	}
	c.releaseBuffer(a)
	return nil
}

// beginStream has the front take the answer.
func (c *conn) beginStream(a *answer, onInterrupt func() error) error {
	s := pgwire.NewStream()
	c.pool.core.AnswerStarted(a.job.attempt, s)
	w, done := s.AwaitTaker()
	if w == nil {
		if err := onInterrupt(); err != nil {
			return err
		}
		if a.abandoned { // stopped meanwhile
			return errStopped
		}
		return errUnclaimed
	}
	a.client, a.endStream = w, done
	c.stream.current.Store(&openStream{a.job, w})
	return nil
}

// takeChunkBuffer takes a buffer for large chunks, if there is one that others do not need.
func (c *conn) takeChunkBuffer(a *answer) {
	a.buf = c.pool.bufs.Get(streamChunkSize, c.pool.reservedBuffers)
}

// releaseBuffer releases the answer's buffer, if it has one.
func (c *conn) releaseBuffer(a *answer) {
	if a.buf != nil {
		a.buf.Release()
		a.buf = nil
	}
}

// streamChunk reads a part of the value, of left bytes at most, and passes it on. It returns how many bytes it read.
func (c *conn) streamChunk(a *answer, left int, onInterrupt func() error) (int, error) {
	c.watchForStall(a, 1)
	if a.buf == nil {
		return c.streamFromReader(a, left, onInterrupt)
	}
	chunk := a.buf.B[:min(cap(a.buf.B), streamChunkSize, left)]
	n, err := c.Reader.Read(chunk)
	if n > 0 {
		if err := c.passOn(a, chunk[:n], onInterrupt); err != nil {
			return n, err
		}
	}
	if errors.Is(err, interruptible.ErrInterrupted) {
		err = onInterrupt()
	}
	if a.silent { // no bytes lie in the buffer, and others may need it meanwhile
		c.releaseBuffer(a)
	}
	return n, err
}

// streamFromReader is streamChunk without a buffer of the answer's own: it waits for bytes in the connection's read buffer.
// After a silence of the member the next chunks get a buffer again.
func (c *conn) streamFromReader(a *answer, left int, onInterrupt func() error) (int, error) {
	if _, err := c.Peek(1, onInterrupt); err != nil {
		return 0, err
	}
	chunk, _ := c.Reader.Peek(min(c.Reader.Buffered(), left))
	wasSilent := a.silent
	if err := c.passOn(a, chunk, onInterrupt); err != nil {
		return len(chunk), err
	}
	_, _ = c.Reader.Discard(len(chunk))
	if wasSilent {
		c.takeChunkBuffer(a)
	}
	return len(chunk), nil
}

// passOn writes a part of the value to the client.
func (c *conn) passOn(a *answer, chunk []byte, onInterrupt func() error) error {
	if a.job.stopped.Load() { // a read that was interrupted may still return bytes that came meanwhile
		if err := onInterrupt(); err != nil {
			return err
		}
	}
	c.noteSound(a)
	a.streamedBytes += len(chunk)
	return c.writeToClient(a, chunk)
}

// writeToClient writes a part of the answer to the client.
func (c *conn) writeToClient(a *answer, b []byte) error {
	c.stream.writingSince.Store(int64(c.pool.core.Now()))
	_, err := a.client.Write(b)
	c.stream.writingSince.Store(0)
	if err != nil {
		return fmt.Errorf("%w: %w", errClientWrite, err)
	}
	a.lastStreamed = time.Now()
	return nil
}

// passOnTail writes CommandComplete to the client while the member is silent behind it: the value is whole with it, and must
// not be held back. Otherwise the front writes it together with ReadyForQuery.
func (c *conn) passOnTail(a *answer) error {
	if len(a.tail) == 0 {
		return nil
	}
	err := c.writeToClient(a, a.tail)
	a.tail = a.tail[:0]
	return err
}
