package rules

import (
	"maps"
	"slices"
)

// Message carries a region's list to another region. Records may arrive in parts, in any
// order and repeatedly, but an entry must come with its device's record if there is one:
// a withdrawal without it would let a late copy of an older subscription pass. Only the
// last part of a whole list (Whole) lets the receiver claim what the sender has seen.
// Receivers must not modify it.
type Message struct {
	From               Replica
	Seen, Floor, Beats Vector
	Acked              map[Region]Vector
	Turn               uint64
	Entries            map[Key]Entry
	Devices            map[string]Presence
	Blocks             map[Target]Marks
	Departed           map[string]Departed
	Whole              bool
}

// Departed is a device whose last entry is gone, with the time left in which late copies of
// its requests may arrive.
type Departed struct {
	P    Presence
	Left Time
}

// Snapshot returns the whole list as a message. The list must be durable before the
// message is sent.
func (l *List) Snapshot(now Time) Message {
	l.heartbeats[l.me]++
	m := Message{
		From: l.me, Seen: maps.Clone(l.seen), Floor: maps.Clone(l.floor), Beats: maps.Clone(l.heartbeats), Acked: map[Region]Vector{},
		Turn: l.highestTurn, Entries: map[Key]Entry{}, Devices: maps.Clone(l.devices), Blocks: map[Target]Marks{}, Whole: true,
	}
	m.Departed = make(map[string]Departed, len(l.departed))
	for d, q := range l.departed {
		m.Departed[d] = Departed{q.presence, q.until - now}
	}
	for r, v := range l.acked {
		m.Acked[r] = maps.Clone(v)
	}
	m.Acked[l.cfg.Region] = m.Seen
	for k, e := range l.entries {
		m.Entries[k] = e.clone()
	}
	for t, b := range l.blocks {
		m.Blocks[t] = maps.Clone(b)
	}
	return m
}

// MergeResult is the result of merging a message.
type MergeResult struct {
	Joined    bool  // this list was too outdated to merge and was replaced by the sender's
	Dropped   []Key // grants lost by that, which the sender lacks: their devices must subscribe again
	NeedWhole bool  // the list must be replaced, which needs a whole message; nothing was merged
}

// Merge merges a message. The error is an *OldError or *DivergedError; then
// nothing was merged.
func (l *List) Merge(now Time, m Message) (MergeResult, error) {
	var took MergeResult
	l.noteRun(now)
	for r, n := range m.Beats { // heartbeats count even if the message is refused
		if n <= l.heartbeats[r] || r.Region == l.cfg.Region {
			continue
		}
		l.heartbeats[r] = n
		if r != m.From && r.Life < l.life[r.Region] { // late update of a former life
			continue
		}
		l.life[r.Region] = r.Life
		if now-l.lastHeard[r.Region] > l.cfg.CutOffAfter {
			l.healedAt = now
		}
		l.lastHeard[r.Region] = now
	}
	l.raiseFloor(now, nil) // before the message is checked against the floor, which must not rise between check and merge
	if !l.guards.Old {
		for r, n := range l.floor {
			if m.Seen[r] < n && !l.seen.Covers(m.Floor) {
				return took, &DivergedError{m.From}
			}
			if m.Seen[r] < n {
				return took, &OldError{m.From, r, m.Seen[r], n}
			}
		}
		if !l.seen.Covers(m.Floor) {
			if !m.Whole {
				return MergeResult{NeedWhole: true}, nil
			}
			took = l.adoptSender(m)
		}
	}
	l.highestTurn = max(l.highestTurn, m.Turn)
	l.raiseFloor(now, m.Floor)
	touched := map[string]struct{}{}
	for k, e := range m.Entries {
		e = e.clone()
		e.Gone = l.dropSeenByAll(e.Gone)
		l.setEntry(k, l.mergeEntry(l.entries[k], e))
		touched[k.Device] = struct{}{}
	}
	for d, p := range m.Devices {
		if len(l.byDevice[d]) == 0 {
			continue
		}
		if k, ok := l.devices[d]; !ok || l.greater(p, k) {
			l.setDevice(d, p)
		}
		touched[d] = struct{}{}
	}
	for d, q := range m.Departed {
		l.mergeDeparted(now, d, q)
	}
	if took.Joined {
		for d := range l.devices {
			touched[d] = struct{}{}
		}
	}
	for d := range touched {
		l.forgetSettled(d)
	}
	for t, b := range m.Blocks {
		l.blocks[t] = joined(l.blocks[t], b)
		l.settleBlock(t)
	}
	l.waiting = nil
	if m.Whole {
		l.seen.join(m.Seen)
		for r, v := range m.Acked {
			if r == l.cfg.Region { // may come from a former life and exceed what an old copy holds
				continue
			}
			if l.acked[r] == nil {
				l.acked[r] = Vector{}
			}
			l.acked[r].join(v)
		}
	}
	l.raiseFloor(now, nil)
	return took, nil
}

// mergeDeparted merges where a device was last heard that has no entry at the sender.
func (l *List) mergeDeparted(now Time, d string, q Departed) {
	if len(l.byDevice[d]) > 0 {
		if k, ok := l.devices[d]; !ok || l.greater(q.P, k) {
			l.setDevice(d, q.P)
		}
		return
	}
	was, ok := l.departed[d]
	if q.Left <= 0 || ok && l.greater(was.presence, q.P) {
		return
	}
	if !ok || l.greater(q.P, was.presence) {
		was = departed{presence: q.P}
	}
	was.until = max(was.until, now+q.Left)
	l.departed[d] = was
}

// adoptSender clears the list to make way for the sender's. Removals that the sender has not
// seen stay, since its list cannot include them; those that it has seen are in its list.
// Grants are dropped: their withdrawal may already be forgotten by all regions that count.
func (l *List) adoptSender(m Message) MergeResult {
	took := MergeResult{Joined: true}
	l.floor.join(m.Floor)
	unseen := func(by Replica, n uint64) bool { return n > m.Seen[by] }
	for k, e := range l.entries {
		if o := m.Entries[k]; e.Granted && !o.Granted && len(o.Gone) == 0 { // else the sender knows that it was withdrawn
			took.Dropped = append(took.Dropped, k)
		}
		e.Granted, e.Rank = false, Rank{}
		maps.DeleteFunc(e.Gone, func(r Replica, k Mark) bool { return !unseen(r, k.N) && !unseen(k.Past.By, k.Past.N) })
		l.setEntry(k, e)
	}
	for t, b := range l.blocks {
		maps.DeleteFunc(b, func(r Replica, k Mark) bool { return !unseen(r, k.N) && !unseen(k.Past.By, k.Past.N) })
		if len(b) == 0 {
			delete(l.blocks, t)
		}
	}
	l.seen = maps.Clone(m.Seen)
	if l.lastNumber > 0 {
		l.seen[l.me] = l.lastNumber
	}
	slices.SortFunc(took.Dropped, compareKeys)
	return took
}
