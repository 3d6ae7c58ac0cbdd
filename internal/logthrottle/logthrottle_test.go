package logthrottle

import (
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// TestLineRate: a flood causes one line a second, and every occurrence is counted.
func TestLineRate(t *testing.T) {
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
