package gateway

import (
	"testing"
	"time"
)

// TestMaxShutdown: the gateway exits before SIGKILL may come, which is 0.7 s past the longest deadline or 3 s,
// whichever is less.
func TestMaxShutdown(t *testing.T) {
	for deadline, kill := range map[time.Duration]time.Duration{time.Second: 1700 * time.Millisecond,
		3 * time.Second: 3700 * time.Millisecond, 9 * time.Second: 3700 * time.Millisecond} {
		got := maxShutdown(deadline)
		if got >= kill || got < kill-200*time.Millisecond {
			t.Errorf("deadline %v: exit after %v, SIGKILL after %v", deadline, got, kill)
		}
	}
}
