package decide

import (
	"slices"
	"time"
)

// watchTimeout is the time after which a call to discovery without a reply is made again. It is longer than the time-out of
// the call itself.
const watchTimeout = 8 * time.Second

// watchList requests list changes from discovery when that is due.
func (r *Router) watchList() {
	if r.cfg.ListOnRequest && r.now >= r.watchAt {
		r.watchAt, r.watchSentAt = r.now+watchTimeout, r.now
		r.emit(Action{Kind: Watch})
	}
}

// paceDiscovery schedules the next call to discovery after a list event.
func (r *Router) paceDiscovery(e *Event) {
	switch e.Kind {
	case ListSaved:
		r.watchAt = r.now + r.pacer.InitialPause()
	case SavedListCurrent, SavedListLimit, DiscoveryUnreachable, DiscoveryCalled, DiscoveryFailed, DiscoveryMoved: // an outstanding call stays so
	case ListError:
		pause := r.pacer.PauseAfterRefusal(r.budgetShares[DiscoveryBudget])
		r.watchAt, r.watchSentAt = r.now+pause, distantPast
		r.countBudgetUse(DiscoveryBudget, false)
	default:
		if r.watchSentAt != distantPast {
			r.pacer.Answered(r.now - r.watchSentAt)
		}
		r.watchAt, r.watchSentAt = distantFuture, distantPast
	}
}

// handleList applies a list event: a whole list, a change or a failure.
func (r *Router) handleList(e *Event) {
	if e.Kind != ListOverride {
		r.recordListEvent(e)
	}
	if r.cfg.ListOnRequest && e.Kind != ListOverride {
		r.paceDiscovery(e)
	}
	if !e.Kind.HasList() {
		return
	}
	named := make(map[string]bool, len(e.Members))
	for i := range e.Members {
		named[e.Members[i].ID] = true
		r.applyEntry(e.Members[i])
	}
	if !e.Kind.IsWholeList() {
		return
	}
	for _, g := range r.groupOrder {
		for _, m := range g.members {
			if !named[m.ID] {
				m.gone, m.State = !r.cfg.UseUnlisted, Removed
			}
		}
	}
}

// barred reports that the list forbids sends to m.
func (r *Router) barred(m *member) bool {
	return m.gone || m.State == Draining || !r.freshness.permits(r.now, m.acceptedAt)
}

// dropUnlisted drops members that left the list goneRetention ago, or sooner when there are many: a member that
// restarts comes back under its id.
func (r *Router) dropUnlisted(g *group) {
	g.members = slices.DeleteFunc(g.members, func(m *member) bool {
		if !m.gone && (m.State != Removed || !m.suspect) || len(m.attempts) > 0 {
			m.listedAt = r.now
		}
		drop := r.now-m.listedAt > goneRetention || r.now > m.listedAt && len(r.members) > MaxMembers/2
		if drop {
			delete(r.members, m.ID)
		}
		return drop
	})
}

// applyEntry applies one list entry. A draining or removed member gets no new attempts from now on: the list reports it
// late already.
func (r *Router) applyEntry(l Member) {
	m := r.members[l.ID]
	if m == nil {
		if l.State == Removed || len(r.members) >= MaxMembers {
			return
		}
		g := r.groups[l.Group]
		if g == nil {
			g = &group{id: l.Group, sessions: map[string]Time{}, commitFloor: r.commitFloor, neededAt: distantPast, activeAt: r.now}
			r.groups[l.Group] = g
			r.groupOrder = append(r.groupOrder, g)
		}
		m = &member{Member: l, group: g, listedAt: r.now, position: distantPast, roleAt: distantPast, answeredAt: distantPast, peerReportAt: distantPast,
			probedAt: distantPast, acceptedAt: distantPast, slowdown: 1, servedSlowdown: 1, silentAt: distantFuture, nextCutAt: distantPast, probeGap: r.tightestBound / 3,
			halfOpenDelay: minHalfOpenDelay}
		g.members = append(g.members, m)
		r.members[l.ID] = m
	} else if l.Started > m.Started { // it restarted: in slow start, no primary, and nothing known of its health
		m.slowdown, m.latencyRatio, m.limit, m.suspect, m.halfOpenDelay = 1, 0, minLimitRequests*r.leastCost(), false, minHalfOpenDelay
		m.errorRate = 0
		if m.role == Primary && m.roleAt < l.Started {
			m.role, m.roleAt = Replica, l.Started
		}
	}
	if m.warmLoad.kind == nil || m.Kind != l.Kind {
		m.warmLoad = warmLoad{kind: r.loadOfKind(l.Kind)}
	}
	m.Member = l
	m.slowStart.begin(l.Started, r.now, r.rng)
	m.gone = l.State == Removed && !r.cfg.UseUnlisted
	if l.Primary && l.State == Up {
		at := r.now - listLag
		if p := m.group.primary(); m.roleAt <= at && (p == nil || p == m || p.roleAt <= at) {
			r.learnRole(m, Primary, at)
		}
	}
}
