package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// logWriter writes log lines from a goroutine of its own, so that a slow reader
// of the log never blocks the gateway. Lines that exceed its queue are dropped
// and counted.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

const (
	maxQueuedLines = 1024 // lines in the queue
	flushTimeout   = 200 * time.Millisecond
)

func newLogWriter(to io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
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

// Write queues a line. It never blocks and never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// flush writes the queued lines, and gives up after flushTimeout. Lines logged afterwards may be lost.
func (w *logWriter) flush() {
	t := time.NewTimer(flushTimeout)
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
