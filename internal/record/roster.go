package record

import (
	"time"

	"reachwind/decide"
)

// rosterMost bounds the members that are followed, as many as the module keeps; changes of others are not told.
const rosterMost = decide.MaxMembers

// MemberTracker follows what lists say of members and tells what changed: draining,
// gone, cold, ready. Its zero value is not ready; use NewRoster. It reads no
// clock and is not safe for concurrent use.
type MemberTracker struct {
	cold  time.Duration
	known map[string]decide.Member
}

// NewMemberTracker returns a roster for members that are warm so long after their start.
func NewMemberTracker(cold time.Duration) *MemberTracker {
	return &MemberTracker{cold: cold, known: map[string]decide.Member{}}
}

// Len is how many members are followed.
func (r *MemberTracker) Len() int { return len(r.known) }

// Apply takes a list, whole or of changes only, and calls tell for each change in the list's order; members
// that a whole list no longer names come last, in no order.
func (r *MemberTracker) Apply(now time.Duration, whole bool, list []decide.Member, tell func(m decide.Member, c Change)) {
	named := make(map[string]bool, len(list))
	for _, m := range list {
		named[m.ID] = true
		was, known := r.known[m.ID]
		switch {
		case m.State == decide.Removed:
			if known {
				delete(r.known, m.ID)
				tell(m, Gone)
			}
			continue
		case !known && len(r.known) >= rosterMost:
			continue
		}
		r.known[m.ID] = m
		if m.Started > was.Started && now < m.Started+r.cold {
			tell(m, Cold)
		}
		switch {
		case m.State == decide.Draining && (!known || was.State != decide.Draining):
			tell(m, Draining)
		case m.State == decide.Up && (!known || was.State == decide.Draining):
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
