// Package logthrottle limits the rate of log lines that a peer can cause at any rate,
// so that they cost little and do not hide other lines.
package logthrottle

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// minInterval is the shortest time between two lines of a kind. It only serves the readers of the log.
const minInterval = time.Second

// Line is one kind of log line. It is written at most once a second, with the
// number of occurrences since the last one in the attribute times. The zero value
// is ready to use, also by several goroutines.
type Line struct {
	mu           sync.Mutex
	lastWritten  time.Time // when the last line was written
	count        int       // occurrences since then
	writePending func()    // writes the latest occurrence, at the end of the second; nil: none waits
}

// Warn logs a warning.
func (l *Line) Warn(log *slog.Logger, msg string, args ...any) { l.log(log, slog.LevelWarn, msg, args) }

// Info logs at info level.
func (l *Line) Info(log *slog.Logger, msg string, args ...any) { l.log(log, slog.LevelInfo, msg, args) }

func (l *Line) log(log *slog.Logger, level slog.Level, msg string, args []any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	scheduled := l.writePending != nil
	l.writePending = func() {
		log.Log(context.Background(), level, msg, append(args, "times", l.count)...)
		l.lastWritten, l.count, l.writePending = time.Now(), 0, nil
	}
	if scheduled {
		return
	}
	if left := minInterval - time.Since(l.lastWritten); left > 0 {
		time.AfterFunc(left, l.flush)
		return
	}
	l.writePending()
}

// flush writes the line that waits.
func (l *Line) flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writePending()
}
