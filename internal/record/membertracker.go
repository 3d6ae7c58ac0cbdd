package record

import (
	"time"

	"reachwind/decide"
)

// maxTrackedMembers limits memory. It is the number of members that the decision module keeps; changes of members
// beyond it are not reported.
const maxTrackedMembers = decide.MaxMembers

// MemberTracker compares successive member lists and reports the changes Draining,
// Gone, Cold and Ready. Use NewMemberTracker; the zero value is not usable. It reads
// no clock and is not safe for concurrent use.
type MemberTracker struct {
	slowStart time.Duration
	known     map[string]decide.Member
}

// NewMemberTracker returns a tracker without members. A member is reported as Cold if it is first listed with its
// present start time less than the given duration after that start.
func NewMemberTracker(cold time.Duration) *MemberTracker {
	return &MemberTracker{slowStart: cold, known: map[string]decide.Member{}}
}

// Len returns the number of members that are tracked.
func (r *MemberTracker) Len() int { return len(r.known) }

// Apply takes over a member list, complete (whole) or of changes only, and calls tell for each change in the list's
// order. Members that are missing from a complete list are reported as Gone after that, in no particular order.
func (r *MemberTracker) Apply(now time.Duration, whole bool, list []decide.Member, tell func(m decide.Member, c Change)) {
	named := make(map[string]bool, len(list))
	for _, m := range list {
		named[m.ID] = true
		previous, known := r.known[m.ID]
		switch {
		case m.State == decide.Removed:
			if known {
				delete(r.known, m.ID)
				tell(m, Gone)
			}
			continue
		case !known && len(r.known) >= maxTrackedMembers:
			continue
		}
		r.known[m.ID] = m
		if m.Started > previous.Started && now < m.Started+r.slowStart {
			tell(m, Cold)
		}
		switch {
		case m.State == decide.Draining && (!known || previous.State != decide.Draining):
			tell(m, Draining)
		case m.State == decide.Up && (!known || previous.State == decide.Draining):
			tell(m, Ready)
		}
	}
	if !whole {
		return
	}
	for id, m := range r.known {
		if !named[id] {
			delete(r.known, id)
			tell(m, Gone)
		}
	}
}
