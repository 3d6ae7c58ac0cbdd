// Package suspend keeps what operators said of members: which of them get nothing more until they are called back,
// whatever discovery says. It stands between discovery's list and the core's, and has no clock, lock or goroutine.
package suspend

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"reachwind/decide"
	"reachwind/internal/core"
)

// Bounds of what is kept. Beyond them an entry of the list is not known here and passes as it is, a further
// suspend is a no, and the members that left, or were resumed, longest ago are forgotten first.
const (
	MaxSuspended = 1024    // members that are suspended at one time
	listedMost   = 1 << 14 // entries of the list; discovery's own bounds are lower
	leftMost     = 1024    // members that have left the list
	backMost     = 1024    // members that were resumed
)

// Entry is the last that operators said of a member. Of two, the later one by At holds.
type Entry struct {
	ID          string    `json:"id"`
	Suspended   bool      `json:"out"`
	ChangedAt   core.Time `json:"at"`    // when it was said, in nanoseconds of Unix time
	SuspendedAt core.Time `json:"since"` // when it was suspended, the first of several times
}

// UnknownMemberError is the error for an id that nobody has.
type UnknownMemberError struct {
	ID     string
	Listed int // members that are listed now
}

func (e UnknownMemberError) Error() string {
	return fmt.Sprintf("db machine %q is not known: want an id that discovery lists (%d now), listed lately, or that is suspended; "+
		"look the id up in discovery's list, nothing was changed", e.ID, e.Listed)
}

// TooManySuspendedError is the error for a suspend beyond the bound.
type TooManySuspendedError struct{ ID string }

func (e TooManySuspendedError) Error() string {
	return fmt.Sprintf("db machine %q can't be suspended: %d are, and no more than that may be at a time; resume some first, nothing was changed", e.ID, MaxSuspended)
}

// Set is what operators said, beside the list as discovery has it. It is for one goroutine at a time.
type Set struct {
	listed map[string]core.ListedMember // as discovery has them
	left   map[string]core.ListedMember // as they were listed last
	gone   []string                     // the ids in left, those that left first in front
	said   map[string]Entry
	out    int // entries of said that are Out
}

// New returns a set in which nobody is listed or suspended.
func New() *Set {
	return &Set{listed: map[string]core.ListedMember{}, left: map[string]core.ListedMember{}, said: map[string]Entry{}}
}

// ApplyList takes what discovery says and returns what is to be passed on for it: the same, but with each suspended member
// draining. It does not change members.
func (s *Set) ApplyList(kind decide.EventKind, members []core.ListedMember) []core.ListedMember {
	if !kind.HasList() {
		return members
	}
	if kind != decide.ListChange {
		named := make(map[string]bool, len(members))
		for i := range members {
			named[members[i].ID] = true
		}
		for id := range s.listed {
			if !named[id] {
				s.leave(id)
			}
		}
	}
	for i := range members {
		switch m := &members[i]; {
		case m.State == decide.Removed:
			s.leave(m.ID)
		case len(s.listed) < listedMost || s.has(m.ID):
			s.listed[m.ID] = *m
			if _, ok := s.left[m.ID]; ok {
				delete(s.left, m.ID)
				s.gone = slices.DeleteFunc(s.gone, func(id string) bool { return id == m.ID })
			}
		}
	}
	if len(s.said) == 0 {
		return members
	}
	out := make([]core.ListedMember, 0, len(members)+s.out)
	named := make(map[string]bool, len(members))
	for i := range members {
		named[members[i].ID] = true
		out = append(out, s.as(members[i]))
	}
	if kind == decide.ListChange {
		return out
	}
	for _, id := range slices.Sorted(maps.Keys(s.said)) { // to be left out of a list may not bind
		if m, ok := s.left[id]; ok && s.said[id].Suspended && !named[id] {
			out = append(out, s.as(m))
		}
	}
	return out
}

func (s *Set) has(id string) bool {
	_, ok := s.listed[id]
	return ok
}

// leave takes id out of the list.
func (s *Set) leave(id string) {
	m, ok := s.listed[id]
	if !ok {
		return
	}
	delete(s.listed, id)
	m.State = decide.Removed
	s.left[id] = m
	s.gone = append(s.gone, id)
	for i := 0; len(s.left) > leftMost && i < len(s.gone); { // those that are suspended stay: they must go on as draining
		if s.said[s.gone[i]].Suspended && len(s.left) <= leftMost+MaxSuspended {
			i++
			continue
		}
		delete(s.left, s.gone[i])
		s.gone = slices.Delete(s.gone, i, i+1)
	}
}

// as is an entry as it is passed on. A member that was suspended was most likely restarted meanwhile: until discovery
// tells when, it counts as started when it was resumed, so that it gets a cold member's share only.
func (s *Set) as(m core.ListedMember) core.ListedMember {
	e, ok := s.said[m.ID]
	switch {
	case !ok:
	case e.Suspended:
		if m.State == decide.Removed { // as it was listed last, where that is known
			if l, ok := s.left[m.ID]; ok {
				m = l
			}
		}
		m.State = decide.Draining
	case m.State == decide.Up && m.Started < e.SuspendedAt:
		m.Started = e.ChangedAt
	}
	return m
}

// Suspend takes a member out from now on, in nanoseconds of Unix time, and returns what to pass on as a change of the
// list. A second call for the same one changes nothing and is no error.
func (s *Set) Suspend(id string, now core.Time) ([]core.ListedMember, error) {
	e := s.said[id]
	switch {
	case e.Suspended:
		return nil, nil
	case !s.known(id):
		return nil, UnknownMemberError{id, len(s.listed)}
	case s.out >= MaxSuspended:
		return nil, TooManySuspendedError{id}
	}
	now = max(now, e.ChangedAt+1)
	return s.say(Entry{ID: id, Suspended: true, ChangedAt: now, SuspendedAt: now}), nil
}

// Resume calls a member back, as Suspend took it out. One call is enough for any number of those. For a member that
// is known and not suspended it changes nothing and is no error.
func (s *Set) Resume(id string, now core.Time) ([]core.ListedMember, error) {
	e := s.said[id]
	switch {
	case e.Suspended:
		return s.say(Entry{ID: id, ChangedAt: max(now, e.ChangedAt+1), SuspendedAt: e.SuspendedAt}), nil
	case !s.known(id):
		return nil, UnknownMemberError{id, len(s.listed)}
	}
	return nil, nil
}

// known tells that an id is or was lately that of a member.
func (s *Set) known(id string) bool {
	_, said := s.said[id]
	_, left := s.left[id]
	return said || left || s.has(id)
}

// say notes e and returns the change that it makes to the list.
func (s *Set) say(e Entry) []core.ListedMember {
	m, ok := s.listed[e.ID]
	if !ok {
		m, ok = s.left[e.ID]
	}
	before, was := s.as(m), s.said[e.ID].Suspended
	s.said[e.ID] = e
	if e.Suspended != was {
		s.out++
		if was {
			s.out -= 2
		}
	}
	if len(s.said)-s.out > backMost {
		oldest := e
		for _, o := range s.said {
			if !o.Suspended && (o.ChangedAt < oldest.ChangedAt || o.ChangedAt == oldest.ChangedAt && o.ID < oldest.ID) {
				oldest = o
			}
		}
		delete(s.said, oldest.ID)
	}
	if m = s.as(m); !ok || m == before {
		return nil
	}
	return []core.ListedMember{m}
}

// Export is all that was said, by id.
func (s *Set) Export() []Entry {
	return slices.SortedFunc(maps.Values(s.said), func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
}

// Import merges what another process of this gateway was told: of each member the later entry holds, in whatever order
// and however often they come. It returns what to pass on as a change of the list. Members that are not known here are
// taken as well; entries without an id, and suspends beyond the bound, are left out and counted.
func (s *Set) Import(all []Entry) (change []core.ListedMember, dropped int) {
	for _, e := range all {
		switch was, ok := s.said[e.ID]; {
		case e.ID == "" || e.Suspended && !was.Suspended && s.out >= MaxSuspended:
			dropped++
		case !ok || e.ChangedAt > was.ChangedAt:
			change = append(change, s.say(e)...)
		}
	}
	return change, dropped
}

// IsSuspended tells whether a member is suspended.
func (s *Set) IsSuspended(id string) bool { return s.said[id].Suspended }

// Suspended are the ids of the members that are suspended, sorted.
func (s *Set) Suspended() (ids []string) {
	for _, e := range s.Export() {
		if e.Suspended {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// ListedCount tells how many members discovery lists.
func (s *Set) ListedCount() int { return len(s.listed) }

// Sizes are the lengths of the tables.
type Sizes struct{ Listed, Delisted, Entries int }

// Sizes tells how long the tables are.
func (s *Set) Sizes() Sizes { return Sizes{len(s.listed), max(len(s.left), len(s.gone)), len(s.said)} }
