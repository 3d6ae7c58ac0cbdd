// Package suspend records which members operators have suspended. A suspended member gets no new work until it is
// resumed, whatever discovery says of it. The package rewrites discovery's list before the core gets it. It has no
// clock, lock or goroutine of its own.
package suspend

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"reachwind/decide"
	"reachwind/internal/core"
)

// Bounds on the tables. Entries of the list beyond the bound are not recorded and pass unchanged, and further suspends
// are refused. Of members that left the list or were resumed, the earliest are removed first.
const (
	MaxSuspended = 1024    // members that are suspended at the same time
	maxListed    = 1 << 14 // entries of the list; discovery's own bounds are lower
	maxDelisted  = 1024    // members that have left the list
	maxResumed   = 1024    // members that were resumed
)

// Entry is the last decision of operators on a member. Of two entries of a member the one with the later ChangedAt
// applies.
type Entry struct {
	ID          string    `json:"id"`
	Suspended   bool      `json:"out"`   // suspended, not resumed
	ChangedAt   core.Time `json:"at"`    // time of the decision, in nanoseconds of Unix time
	SuspendedAt core.Time `json:"since"` // time of the suspend, the first of several; the same unit
}

// UnknownMemberError is the error for an id that no member has.
type UnknownMemberError struct {
	ID     string
	Listed int // number of members in discovery's list
}

// Error implements error.
func (e UnknownMemberError) Error() string {
	return fmt.Sprintf("db machine %q is not known: want an id that discovery lists (%d now), that it listed recently, or that is suspended; "+
		"nothing was changed, look the id up in discovery's list", e.ID, e.Listed)
}

// TooManySuspendedError is the error for a suspend beyond the bound.
type TooManySuspendedError struct{ ID string }

// Error implements error.
func (e TooManySuspendedError) Error() string {
	return fmt.Sprintf("db machine %q can't be suspended: %d are suspended already, which is the limit; nothing was changed, resume some first", e.ID, MaxSuspended)
}

// Set holds the operators' decisions and the list as discovery has it. It is not safe for concurrent use.
type Set struct {
	listed         map[string]core.ListedMember // members in discovery's list, by id
	delisted       map[string]core.ListedMember // members that left the list, as they were last listed
	delistedOrder  []string                     // the ids in delisted, the earliest first
	entries        map[string]Entry             // the operators' decisions, by id
	suspendedCount int                          // number of entries that are Suspended
}

// New returns an empty set.
func New() *Set {
	return &Set{listed: map[string]core.ListedMember{}, delisted: map[string]core.ListedMember{}, entries: map[string]Entry{}}
}

// ApplyList records a list from discovery, or a change of it, and returns what to pass on instead: the same members,
// but each suspended one as draining. It does not modify members.
func (s *Set) ApplyList(kind decide.EventKind, members []core.ListedMember) []core.ListedMember {
	if !kind.HasList() {
		return members
	}
	if kind.IsWholeList() {
		named := make(map[string]bool, len(members))
		for i := range members {
			named[members[i].ID] = true
		}
		for id := range s.listed {
			if !named[id] {
				s.delist(id)
			}
		}
	}
	for i := range members {
		switch m := &members[i]; {
		case m.State == decide.Removed:
			s.delist(m.ID)
		case len(s.listed) < maxListed || s.isListed(m.ID):
			s.listed[m.ID] = *m
			if _, ok := s.delisted[m.ID]; ok {
				delete(s.delisted, m.ID)
				s.delistedOrder = slices.DeleteFunc(s.delistedOrder, func(id string) bool { return id == m.ID })
			}
		}
	}
	if len(s.entries) == 0 {
		return members
	}
	passed := make([]core.ListedMember, 0, len(members)+s.suspendedCount)
	named := make(map[string]bool, len(members))
	for i := range members {
		named[members[i].ID] = true
		passed = append(passed, s.rewrite(members[i]))
	}
	if !kind.IsWholeList() {
		return passed
	}
	for _, id := range slices.Sorted(maps.Keys(s.entries)) { // the receiver may go on using members that a list omits
		if m, ok := s.delisted[id]; ok && s.entries[id].Suspended && !named[id] {
			passed = append(passed, s.rewrite(m))
		}
	}
	return passed
}

// isListed reports whether discovery lists id.
func (s *Set) isListed(id string) bool {
	_, ok := s.listed[id]
	return ok
}

// delist removes id from the list.
func (s *Set) delist(id string) {
	m, ok := s.listed[id]
	if !ok {
		return
	}
	delete(s.listed, id)
	m.State = decide.Removed
	s.delisted[id] = m
	s.delistedOrder = append(s.delistedOrder, id)
	for i := 0; len(s.delisted) > maxDelisted && i < len(s.delistedOrder); { // suspended ones stay: they must still be passed on as draining
		if s.entries[s.delistedOrder[i]].Suspended && len(s.delisted) <= maxDelisted+MaxSuspended {
			i++
			continue
		}
		delete(s.delisted, s.delistedOrder[i])
		s.delistedOrder = slices.Delete(s.delistedOrder, i, i+1)
	}
}

// rewrite returns an entry of the list as it is passed on. A member that was suspended was most likely restarted
// meanwhile: until discovery reports when, it counts as started when it was resumed, so that it gets the load of a
// member in slow start only.
func (s *Set) rewrite(m core.ListedMember) core.ListedMember {
	e, ok := s.entries[m.ID]
	switch {
	case !ok:
	case e.Suspended:
		if m.State == decide.Removed { // pass it on as last listed, if known
			if l, ok := s.delisted[m.ID]; ok {
				m = l
			}
		}
		m.State = decide.Draining
	case m.State == decide.Up && m.Started < e.SuspendedAt:
		m.Started = e.ChangedAt
	}
	return m
}

// Suspend suspends a member from now on, in nanoseconds of Unix time, and returns what to pass on as a change of the
// list. A second call for the same member changes nothing and is no error. The error is an [UnknownMemberError] or
// [TooManySuspendedError].
func (s *Set) Suspend(id string, now core.Time) ([]core.ListedMember, error) {
	e := s.entries[id]
	switch {
	case e.Suspended:
		return nil, nil
	case !s.known(id):
		return nil, UnknownMemberError{id, len(s.listed)}
	case s.suspendedCount >= MaxSuspended:
		return nil, TooManySuspendedError{id}
	}
	now = max(now, e.ChangedAt+1)
	return s.record(Entry{ID: id, Suspended: true, ChangedAt: now, SuspendedAt: now}), nil
}

// Resume ends the suspension of a member, however often it was suspended, at now in nanoseconds of Unix time, and
// returns what to pass on as a change of the list. For a member that is known and not suspended it changes nothing and
// is no error. The error is an [UnknownMemberError].
func (s *Set) Resume(id string, now core.Time) ([]core.ListedMember, error) {
	e := s.entries[id]
	switch {
	case e.Suspended:
		return s.record(Entry{ID: id, ChangedAt: max(now, e.ChangedAt+1), SuspendedAt: e.SuspendedAt}), nil
	case !s.known(id):
		return nil, UnknownMemberError{id, len(s.listed)}
	}
	return nil, nil
}

// known reports whether an id is that of a member, or recently was.
func (s *Set) known(id string) bool {
	_, recorded := s.entries[id]
	_, delisted := s.delisted[id]
	return recorded || delisted || s.isListed(id)
}

// record records e and returns the change that it makes to the list.
func (s *Set) record(e Entry) []core.ListedMember {
	m, ok := s.listed[e.ID]
	if !ok {
		m, ok = s.delisted[e.ID]
	}
	before, wasSuspended := s.rewrite(m), s.entries[e.ID].Suspended
	s.entries[e.ID] = e
	if e.Suspended != wasSuspended {
		s.suspendedCount++
		if wasSuspended {
			s.suspendedCount -= 2
		}
	}
	if len(s.entries)-s.suspendedCount > maxResumed {
		oldest := e
		for _, o := range s.entries {
			if !o.Suspended && (o.ChangedAt < oldest.ChangedAt || o.ChangedAt == oldest.ChangedAt && o.ID < oldest.ID) {
				oldest = o
			}
		}
		delete(s.entries, oldest.ID)
	}
	if m = s.rewrite(m); !ok || m == before {
		return nil
	}
	return []core.ListedMember{m}
}

// Export returns all entries, sorted by id.
func (s *Set) Export() []Entry {
	return slices.SortedFunc(maps.Values(s.entries), func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}

// Import merges the entries of another process of this gateway: of each member the later entry applies, in whatever
// order and however often they arrive. It returns what to pass on as a change of the list. Entries of members that are
// not known here are recorded as well; entries without an id, and suspends beyond the bound, are dropped and counted.
func (s *Set) Import(entries []Entry) (change []core.ListedMember, dropped int) {
	for _, e := range entries {
		switch held, ok := s.entries[e.ID]; {
		case e.ID == "" || e.Suspended && !held.Suspended && s.suspendedCount >= MaxSuspended:
			dropped++
		case !ok || e.ChangedAt > held.ChangedAt:
			change = append(change, s.record(e)...)
		}
	}
	return change, dropped
}

// IsSuspended reports whether a member is suspended.
func (s *Set) IsSuspended(id string) bool { return s.entries[id].Suspended }

// Suspended returns the ids of the suspended members, sorted.
func (s *Set) Suspended() (ids []string) {
	for _, e := range s.Export() {
		if e.Suspended {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// ListedCount returns the number of members that discovery lists.
func (s *Set) ListedCount() int { return len(s.listed) }

// Sizes are the lengths of the tables.
type Sizes struct{ Listed, Delisted, Entries int }

// Sizes returns the lengths of the tables.
func (s *Set) Sizes() Sizes {
	return Sizes{len(s.listed), max(len(s.delisted), len(s.delistedOrder)), len(s.entries)}
}
