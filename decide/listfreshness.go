package decide

import (
	"slices"
	"time"
)

const (
	// The list from before a restart is used for minSavedListTime, in which discovery usually answers: changes that it lacks may
	// have been made at any time while no process ran. A start in it shows that it was current then: it is used until
	// maxUpdateDelay after the newest one, for maxSavedListTime at most.
	minSavedListTime = time.Second
	maxSavedListTime = 4 * time.Second

	// acceptedEvidenceTime is the time for which an accepted request shows that its member may be sent to: it was not
	// draining then, and if it has begun since, the front need not know of that yet.
	acceptedEvidenceTime = maxUpdateDelay - 500*time.Millisecond

	// minWatchDelay: what a call that may wait for a change has missed counts as known no sooner than this after its wait.
	minWatchDelay = 2 * time.Second
	// maxMoveDelay: what discovery has at its new address counts as known so long after the front was told of the move.
	maxMoveDelay = 4 * time.Second
	// sendLead is left for a send that has been decided to be written.
	sendLead = 100 * time.Millisecond
	// moveEvidenceTime: requests sent for so long after maxMoveDelay, within the time in which sends must end, show which
	// members were not draining at its end.
	moveEvidenceTime = 150 * time.Millisecond

	maxMissedChanges = 32 // most entries of listFreshness.missed
)

// listFreshness knows until when the member list may be used as it is. Changes that the list lacks count as known to the
// front some time after discovery had them, whether or not they arrived; of all bounds on that time the earliest counts.
// Past it, a member may be sent to only if it has accepted a request since those changes were made.
type listFreshness struct {
	missed        []missedChanges // by failure; at most maxMissedChanges
	outdatedFrom  Time            // from then on changes count as known maxUpdateDelay after they were made; distantFuture = discovery tells of them
	callKnownFrom Time            // when changes that the current call misses count as known
	callWaits     bool            // the current call may wait for a change
	unconfirmed   bool            // the list is from before a restart, and discovery has not answered since
	savedUntil    Time            // with unconfirmed: no member may be sent to from then on

	unreachableSince Time // since when every call found that discovery can't be reached; distantFuture = the last one did not
	refusedAt        Time // last refusal of a call, if discovery could be reached since; else distantPast
}

// missedChanges are changes made until a time, which count as known from another time on although they did not arrive.
type missedChanges struct {
	until, knownFrom Time
	byMove           bool // discovery moved; else a call fell silent
}

func newListFreshness() listFreshness {
	return listFreshness{outdatedFrom: distantFuture, callKnownFrom: distantFuture, savedUntil: distantFuture, unreachableSince: distantFuture,
		refusedAt: distantPast}
}

// update records an answer of discovery: the list is current.
func (l *listFreshness) update() { *l = newListFreshness() }

// restore records that the list is the one from before a restart, which discovery has to confirm.
func (l *listFreshness) restore() {
	*l = newListFreshness()
	l.unconfirmed = true
}

// limitSaved limits the use of a list from before a restart.
func (l *listFreshness) limitSaved(now Time, list []Member) {
	newest := distantPast
	for i := range list {
		newest = max(newest, list[i].Started)
	}
	l.savedUntil = min(max(newest+maxUpdateDelay, now+minSavedListTime), now+maxSavedListTime)
}

// inherit records that another process of the same front kept the list up to date until now, and would have used it as it
// is for the time usable; 0 = not known.
func (l *listFreshness) inherit(now, usable Time) {
	*l = newListFreshness()
	l.outdatedFrom = now + maxSavedListTime
	if usable != 0 {
		l.outdatedFrom = now + min(usable, maxSavedListTime)
	}
}

// beginCall records that a call to discovery begins which may wait so long for a change. If it falls silent, what it misses
// counts as known maxUpdateDelay later.
func (l *listFreshness) beginCall(now, wait Time) {
	l.callWaits = wait > 0
	l.callKnownFrom = now + max(maxUpdateDelay, wait+minWatchDelay) - sendLead
	l.outdatedFrom = min(l.outdatedFrom, l.callKnownFrom)
}

// callFailed records that the current call ended without an answer. If it was silent, changes may have been made that it
// missed; else only those made from now on are missed.
func (l *listFreshness) callFailed(now Time, silent bool) {
	l.outdatedFrom = min(l.outdatedFrom, now+maxUpdateDelay-sendLead)
	l.unreachableSince = distantFuture
	if silent {
		l.miss(now, missedChanges{until: now, knownFrom: l.callKnownFrom})
	} else if !l.callWaits {
		l.refusedAt = now
	}
}

// move records that discovery has moved, of which the front was told at a past time.
func (l *listFreshness) move(now, toldAt Time) {
	deadline := toldAt + maxMoveDelay
	l.miss(now, missedChanges{until: deadline, knownFrom: deadline + moveEvidenceTime, byMove: true})
}

// miss adds an entry to those of missed changes, and drops those that others make needless. Where there are too many, it
// joins the last one, so that no member may be sent to until discovery answers.
func (l *listFreshness) miss(now Time, m missedChanges) {
	m.knownFrom = max(m.knownFrom, now)
	kept := []missedChanges{m}
	for _, o := range slices.Backward(l.missed) { // of the entries that bind now the one with the newest changes is needed
		o.knownFrom = max(o.knownFrom, now)
		if !slices.ContainsFunc(kept, func(k missedChanges) bool { return k.covers(o) }) {
			kept = append(kept, o)
		}
	}
	slices.Reverse(kept)
	l.missed = kept
	if n := len(kept); n > maxMissedChanges {
		last, joined := &kept[n-2], kept[n-1]
		last.until, last.knownFrom = max(last.until, joined.until), min(last.knownFrom, joined.knownFrom)
		l.missed = kept[:n-1]
	}
}

// covers reports whether an entry allows no more than another, also after moves of discovery are dropped.
func (m missedChanges) covers(o missedChanges) bool {
	return m.until >= o.until && m.knownFrom <= o.knownFrom && (o.byMove || !m.byMove)
}

// refused records that discovery refused a call. Further refusals do not make the list any newer.
func (l *listFreshness) refused(now Time) {
	if l.unconfirmed && l.savedUntil == distantFuture {
		l.savedUntil = now
	}
	l.outdatedFrom = min(l.outdatedFrom, now+acceptedEvidenceTime)
	l.unreachableSince, l.refusedAt = distantFuture, now
}

// unreachable records that discovery can't be reached: changes that do not count as known yet will not before maxUpdateDelay
// has passed. What a silent call missed, and what was made while calls were refused, stays.
func (l *listFreshness) unreachable(now Time) {
	if now >= l.outdatedFrom {
		l.miss(now, missedChanges{until: now - acceptedEvidenceTime, knownFrom: now})
	}
	if l.refusedAt != distantPast {
		l.miss(now, missedChanges{until: l.refusedAt, knownFrom: max(now, l.outdatedFrom)})
		l.refusedAt = distantPast
	}
	l.unreachableSince = min(l.unreachableSince, now)
	l.missed = slices.DeleteFunc(l.missed, func(m missedChanges) bool {
		return m.byMove && l.unreachableSince <= m.until && m.until <= now
	})
	l.savedUntil = distantFuture
	l.outdatedFrom = now + maxUpdateDelay - sendLead
}

// usableUntil is the time until which the list may be used as it is.
func (l *listFreshness) usableUntil() Time {
	until := min(l.outdatedFrom, l.savedUntil)
	for _, m := range l.missed {
		until = min(until, m.knownFrom)
	}
	return until
}

// permits reports whether a member that last accepted a request at acceptedAt may be sent to.
func (l *listFreshness) permits(now, acceptedAt Time) bool {
	if now >= l.savedUntil {
		return false
	}
	if now >= l.outdatedFrom && acceptedAt <= now-acceptedEvidenceTime {
		return false
	}
	return !slices.ContainsFunc(l.missed, func(m missedChanges) bool { return now >= m.knownFrom && acceptedAt < m.until })
}

// ListUsableUntil returns the time until which the member list may be used as it is; past it, only members that accepted a
// request lately get requests. Like Step it must not be called concurrently.
func (r *Router) ListUsableUntil() Time { return r.freshness.usableUntil() }

// recordListEvent records what a list event shows of the list's age.
func (r *Router) recordListEvent(e *Event) {
	switch e.Kind {
	case ListSaved:
		r.freshness.restore()
		if r.cfg.ListOnRequest { // pushed lists come unasked
			r.freshness.limitSaved(r.now, e.Members)
		}
	case SavedListCurrent:
		r.freshness.inherit(r.now, e.Remaining)
	case SavedListLimit:
		r.freshness.savedUntil = min(r.freshness.savedUntil, r.now+e.Remaining)
	case DiscoveryCalled:
		r.freshness.beginCall(r.now, e.Remaining)
	case DiscoveryFailed:
		r.freshness.callFailed(r.now, e.Result == TimedOut)
	case DiscoveryMoved:
		r.freshness.move(r.now, r.now-e.Elapsed)
	case DiscoveryUnreachable:
		r.freshness.unreachable(r.now)
	case ListError:
		r.freshness.refused(r.now)
	default:
		r.freshness.update()
	}
}

// recordEnd records what the end of an attempt shows of its member: it accepted the request if it worked on it. A refusal takes
// nothing back. A member that is full refuses requests as a draining one does, and neither drained when it accepted the last one.
func (m *member) recordEnd(a *attempt, result Result) {
	if result.Answered() && result.MayHaveRun() {
		m.acceptedAt = max(m.acceptedAt, a.sent)
	}
}
