package gateway

import (
	"testing"
	"time"
)

// TestLastCall: the gateway is out before SIGKILL may come, 0.7 s past the longest deadline or 3 s.
func TestLastCall(t *testing.T) {
	for deadline, kill := range map[time.Duration]time.Duration{time.Second: 1700 * time.Millisecond,
		3 * time.Second: 3700 * time.Millisecond, 9 * time.Second: 3700 * time.Millisecond} {
		got := lastCall(deadline)
		if got >= kill || got < kill-200*time.Millisecond {
			t.Errorf("deadline %v: out after %v, killed after %v", deadline, got, kill)
		}
	}
}
