package pgwire

import (
	"encoding/binary"
	"fmt"
	"io"
)

// A value of more than WholeMost bytes passes through as it comes; a row of more than RowMost bytes is none: a value
// of 4 MiB as hex digits.
const (
	MaxBufferedValue = 64 << 10
	MaxRowSize       = 8<<20 + 64
	RowHeaderSize    = 11 // bytes of a DataRow before its value: type, length, one column, the value's length
)

// IsLargeRow tells whether five bytes head a DataRow whose value is too large to be held whole.
func IsLargeRow(h []byte) bool {
	return h[0] == 'D' && binary.BigEndian.Uint32(h[1:5]) > RowHeaderSize-1+MaxBufferedValue
}

// LargeRowValueLen returns the length of the value that the RowHead bytes of a large DataRow announce, which must be its only
// column, not null, and fill it.
func LargeRowValueLen(h []byte) (int, error) {
	n, cols, value := int64(binary.BigEndian.Uint32(h[1:5])), binary.BigEndian.Uint16(h[5:7]), int64(binary.BigEndian.Uint32(h[7:11]))
	switch {
	case n > MaxRowSize:
		return 0, fmt.Errorf("%w: row of %d bytes, want at most %d", ErrTooLong, n, MaxRowSize)
	case cols != 1 || value != n-(RowHeaderSize-1):
		return 0, fmt.Errorf("%w: row of %d bytes with %d columns, the first of %d", ErrMalformed, n, cols, value)
	}
	return int(value), nil
}

// Stream is an answer that passes through: its member's side writes it to where the client's side says. Exactly one
// of Start and Release comes first; both are the client's side's, or the owner's while nobody has it.
type Stream struct{ taken chan taker }

type taker struct {
	w    io.Writer
	done func(tail []byte)
}

// NewStream returns a stream that nobody has taken.
func NewStream() *Stream { return &Stream{make(chan taker, 1)} }

// Start has the answer written to w, from another goroutine. done is called once at the end: with the messages that are
// still to be written before ReadyForQuery, or with nil if what was written is not whole and never will be.
func (s *Stream) Start(w io.Writer, done func(tail []byte)) { s.give(taker{w, done}) }

// Release tells that nobody takes the stream; after Start it does nothing.
func (s *Stream) Release() { s.give(taker{}) }

func (s *Stream) give(t taker) {
	select {
	case s.taken <- t:
	default:
	}
}

// AwaitTaker waits until the stream is taken or released; w is nil if nobody takes it. It is the member's side's, to be called once.
func (s *Stream) AwaitTaker() (w io.Writer, done func(tail []byte)) {
	t := <-s.taken
	return t.w, t.done
}
