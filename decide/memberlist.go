package decide

import (
	"slices"
	"time"
)

// askLost is the time after which a call to discovery without a reply is made again. It is longer than the time-out of
// the call itself.
const askLost = 8 * time.Second

// watchList requests list changes from discovery when that is due.
func (r *Router) askList() {
	if r.cfg.AskList && r.now >= r.askAt {
		r.askAt, r.askedAt = r.now+askLost, r.now
		r.do(Action{Kind: Watch})
	}
}

// paceDiscovery schedules the next call to discovery after a list event.
func (r *Router) pace(e *Event) {
	switch e.Kind {
	case ListSaved:
		r.askAt = r.now + r.calls.First()
		r.trustSaved(e.Members)
	case ListUnreachable: // the old list stays in use
		r.savedUntil = forever
	case ListError: // the same
		r.savedUntil = forever
		r.askAt, r.askedAt = r.now+r.calls.Refused(r.parts[AskPart]), never
		r.spend(AskPart, false)
	default:
		if r.askedAt != never {
			r.calls.Answered(r.now - r.askedAt)
		}
		r.askAt, r.askedAt, r.savedUntil = forever, never, forever
	}
}

// handleList applies a list event: a whole list, a change or a failure.
func (r *Router) takeList(e *Event) {
	if r.cfg.AskList {
		r.pace(e)
	}
	named := make(map[string]bool, len(e.Members))
	for i := range e.Members {
		named[e.Members[i].ID] = true
		r.listed(e.Members[i])
	}
	if e.Kind != ListFull && e.Kind != ListSaved {
		return
	}
	for _, g := range r.order {
		for _, m := range g.members {
			if !named[m.ID] {
				m.gone, m.State = !r.cfg.OnlyDrainBinds, Removed
			}
		}
	}
}

// barred reports that the list forbids sends to m.
func (r *Router) barred(m *member) bool {
	return m.gone || m.State == Draining || r.doubtful(m)
}

// dropUnlisted drops members that left the list goneRetention ago, or sooner when there are many: a member that
// restarts comes back under its id.
func (r *Router) dropGone(g *group) {
	g.members = slices.DeleteFunc(g.members, func(m *member) bool {
		if !m.gone && (m.State != Removed || !m.suspect) || len(m.open) > 0 {
			m.left = r.now
		}
		drop := r.now-m.left > goneKeep || r.now > m.left && len(r.members) > MembersMost/2
		if drop {
			delete(r.members, m.ID)
		}
		return drop
	})
}

// applyEntry applies one list entry. A draining or removed member gets no new attempts from now on: the list reports it
// late already.
func (r *Router) listed(l Member) {
	m := r.members[l.ID]
	if m == nil {
		if l.State == Removed || len(r.members) >= MembersMost {
			return
		}
		g := r.groups[l.Group]
		if g == nil {
			g = &group{id: l.Group, sessions: map[string]Time{}, floor: r.floor, wanted: never, activeAt: r.now}
			r.groups[l.Group] = g
			r.order = append(r.order, g)
		}
		m = &member{Member: l, group: g, left: r.now, pos: never, roleAt: never, heard: never, toldAt: never,
			probedAt: never, tookAt: never, stretch: 1, quick: 1, overdue: forever, cutAt: never, probeGap: r.freshFor / 3,
			trialGap: trialFirst}
		g.members = append(g.members, m)
		r.members[l.ID] = m
	} else if l.Started > m.Started { // it restarted: in slow start, no primary, and nothing known of its health
		m.stretch, m.strain, m.limit, m.suspect, m.trialGap = 1, 0, limitLeast*r.leastCost(), false, trialFirst
		m.errors = 0
		if m.role == Primary && m.roleAt < l.Started {
			m.role, m.roleAt = Replica, l.Started
		}
	}
	m.Member = l
	m.ramp.open(l.Started, r.now, r.rng)
	m.gone = l.State == Removed && !r.cfg.OnlyDrainBinds
	if l.Primary && l.State == Up {
		at := r.now - listLag
		if p := m.group.primary(); m.roleAt <= at && (p == nil || p == m || p.roleAt <= at) {
			r.learnRole(m, Primary, at)
		}
	}
}
