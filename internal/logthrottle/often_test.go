package logthrottle

import (
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestLine: a flood makes one line a second, and none of it goes uncounted.
func TestLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		log, l := slog.New(slog.NewTextHandler(&out, nil)), new(Line)
		for range 1000 {
			l.Warn(log, "flood")
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if s := out.String(); strings.Count(s, "\n") != 2 || !strings.Contains(s, "times=1\n") || !strings.Contains(s, "times=999\n") {
			t.Errorf("logged %q", s)
		}
	})
}
