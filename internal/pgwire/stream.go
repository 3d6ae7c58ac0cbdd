package pgwire

import (
	"encoding/binary"
	"fmt"
	"io"
)

// Sizes of DataRow messages, in bytes.
const (
	MaxBufferedValue = 64 << 10   // a larger value is streamed, not buffered
	MaxRowSize       = 8<<20 + 64 // largest row that is accepted: a value of 4 MiB as hex digits
	RowHeaderSize    = 11         // header of a DataRow up to the value: type, length, number of columns, length of the value
)

// IsLargeRow reports whether a five-byte message header belongs to a DataRow whose value is too large to be buffered.
func IsLargeRow(h []byte) bool {
	return h[0] == 'D' && binary.BigEndian.Uint32(h[1:5]) > RowHeaderSize-1+MaxBufferedValue
}

// LargeRowValueLen returns the length of the value that the first RowHeaderSize bytes of a large DataRow announce. The value
// must be the only column, not null, and fill the rest of the message; else the error wraps ErrTooLong or ErrMalformed.
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

// Stream is an answer that is streamed: the member's connection writes it to the writer that the client's connection
// provides. The first call of Start or Release decides. Both are called by the client's connection, or by the owner of the
// stream before a client's connection has it.
type Stream struct{ takers chan taker }

// StreamWriter takes the parts of a streamed answer.
type StreamWriter interface {
	io.Writer
	// Interrupt has the write that is under way fail, and all later ones. Any goroutine may call it.
	Interrupt()
}

// taker is the writer of an answer, with the function to call at its end; a nil writer means that the stream was released.
type taker struct {
	w    StreamWriter
	done func(tail []byte)
}

// NewStream returns a stream that is neither started nor released.
func NewStream() *Stream { return &Stream{make(chan taker, 1)} }

// Start has the answer written to w, from another goroutine. done is called once at the end: with the messages that remain
// to be written before ReadyForQuery, or with nil if the answer was cut short.
func (s *Stream) Start(w StreamWriter, done func(tail []byte)) { s.resolve(taker{w, done}) }

// Release says that nobody will start the stream; after Start it does nothing.
func (s *Stream) Release() { s.resolve(taker{}) }

// resolve decides who takes the stream; only its first call has an effect.
func (s *Stream) resolve(t taker) {
	select {
	case s.takers <- t:
	default:
	}
}

// AwaitTaker waits until the stream is started or released; w is nil if it was released. The member's connection calls it,
// once.
func (s *Stream) AwaitTaker() (w StreamWriter, done func(tail []byte)) {
	t := <-s.takers
	return t.w, t.done
}
