package handover

const (
	minFraction        = 0.25 // fraction of a limit that each process may always use
	newProcessFraction = 0.3  // fraction of a limit that the older process leaves free for one that has just started
	marginFraction     = 0.05 // fraction of a limit for what the other process acquired since it last published its use
)

// AllowedShare returns how much of a limit a process may use while others are alive, given what they publish to use of it. older
// says that this process is the older one. Without others it is the whole limit. Two processes that follow it stay within
// the limit together: each leaves free what the other publishes to hold, and the older one at least what a new process
// needs.
func AllowedShare(limit int, others []Peer, older bool) int {
	if len(others) == 0 {
		return limit
	}
	used := 0
	for _, o := range others {
		used += o.Descriptors
	}
	if older { // the need of the new process takes precedence: the older one ends soon
		used = max(used, int(newProcessFraction*float64(limit)))
	}
	return max(limit-used-int(marginFraction*float64(limit)), int(minFraction*float64(limit)))
}
