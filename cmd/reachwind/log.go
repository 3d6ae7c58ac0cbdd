package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// logWriter passes log lines on from a goroutine of its own, so that a reader
// who is slow to take them never holds up the gateway. Lines that it has no
// room for are dropped and counted.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

const (
	logRoom   = 1024
	flushWait = 200 * time.Millisecond
)

func newLogWriter(to io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logRoom), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			if line == nil {
				return
			}
			if n := w.dropped.Swap(0); n > 0 {
				_, _ = fmt.Fprintf(to, "level=WARN msg=\"log lines dropped\" lines=%d\n", n)
			}
			_, _ = to.Write(line)
		}
	}()
	return w
}

// Write never blocks.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// flush writes what is left, for as long as the reader takes it. Nothing may be logged afterwards
// that must not be lost.
func (w *logWriter) flush() {
	t := time.NewTimer(flushWait)
	defer t.Stop()
	select {
	case w.lines <- nil:
	case <-t.C:
		return
	}
	select {
	case <-w.done:
	case <-t.C:
	}
}
