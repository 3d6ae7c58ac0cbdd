package handover

const (
	leastPart = 0.25 // of a limit, that either process may always count on
	otherPart = 0.3  // of it, that is kept free for a process that has only just come
	margin    = 0.05 // of it, for what the other took since it last said so
)

// AllowedShare is how much of a limit a process may use while others live that say they use so much of it; ending are those
// that are told to stop and take nothing new. Alone it is the whole. Two that keep to it stay under the limit
// together: each leaves free what the other says it holds, and at least what a newcomer needs.
func AllowedShare(limit int, others []Peer, older bool) int {
	if len(others) == 0 {
		return limit
	}
	used := 0
	for _, o := range others {
		used += o.Descriptors
	}
	if older { // the newcomer's need goes first: the older one ends soon
		used = max(used, int(otherPart*float64(limit)))
	}
	return max(limit-used-int(margin*float64(limit)), int(leastPart*float64(limit)))
}
