// Package logthrottle logs what a peer can cause at any rate, so that it costs little
// and does not drown the rest.
package logthrottle

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// every is the least span between two lines of a kind: chosen for those who read the log, nothing in service depends on it.
const every = time.Second

// Line is one kind of log line. It is written at most once a second, and says
// how often it came since. Its zero value is ready to use.
type Line struct {
	mu    sync.Mutex
	at    time.Time
	times int
	later func() // writes what came last, at the end of the second
}

// Warn logs a warning.
func (l *Line) Warn(log *slog.Logger, msg string, args ...any) { l.log(log, slog.LevelWarn, msg, args) }

// Info logs something usual.
func (l *Line) Info(log *slog.Logger, msg string, args ...any) { l.log(log, slog.LevelInfo, msg, args) }

func (l *Line) log(log *slog.Logger, level slog.Level, msg string, args []any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times++
	waits := l.later != nil
	l.later = func() {
		log.Log(context.Background(), level, msg, append(args, "times", l.times)...)
		l.at, l.times, l.later = time.Now(), 0, nil
	}
	if waits {
		return
	}
	if left := every - time.Since(l.at); left > 0 {
		time.AfterFunc(left, l.flush)
		return
	}
	l.later()
}

func (l *Line) flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.later()
}
