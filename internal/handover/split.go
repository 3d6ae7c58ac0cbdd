package handover

const (
	minFraction        = 0.25 // fraction of a limit that each process may always use
	newProcessFraction = 0.3  // fraction of a limit that the older process leaves free for one that has just started
	marginFraction     = 0.05 // fraction of a limit for what the other process acquired since it last published its use
)

// AllowedShare returns how many of limit descriptors a process may use while others are alive, given how many these publish
// to hold. older says that this process is the older one. Without others it is the whole limit. Two processes that follow
// it stay within the limit together: each leaves free what the other publishes, and the older one at least what a new
// process needs.
func AllowedShare(limit int, peers []Peer, older bool) int {
	if len(peers) == 0 {
		return limit
	}
	used := 0
	for _, o := range peers {
		used += o.Descriptors
	}
	if older { // the need of the new process takes precedence: the older one ends soon
		used = max(used, int(newProcessFraction*float64(limit)))
	}
	return max(limit-used-int(marginFraction*float64(limit)), int(minFraction*float64(limit)))
}
