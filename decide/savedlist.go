package decide

import "time"

const (
	// The list from before a restart is used as it is for savedListTime: the front must learn of a change that was made
	// while no process ran within maxUpdateDelay of it, and the restart took part of that time. A list in which members
	// are being replaced is used so for minSavedListTime only, in which the front learns which members accept requests,
	// or until maxUpdateDelay after the newest start in it: changes that it lacks were made after that start.
	savedListTime    = 4 * time.Second
	minSavedListTime = time.Second

	// releaseDuration is the time after a start or a drain during which others are likely.
	releaseDuration = 30 * time.Second

	// acceptedEvidenceTime is the time for which an accepted request shows that its member may be sent to: it was not
	// draining then, and if it has begun since, the front need not know of that yet.
	acceptedEvidenceTime = maxUpdateDelay - 500*time.Millisecond
)

// trustSaved sets until when the list from before a restart is used as it is.
func (r *Router) trustSaved(list []Member) {
	r.listTrustedUntil = r.now + savedListTime
	newest, draining := distantPast, false
	for i := range list {
		newest = max(newest, list[i].Started)
		draining = draining || list[i].State == Draining
	}
	if draining || r.now-newest < releaseDuration {
		r.listTrustedUntil = min(max(newest+maxUpdateDelay, r.now+minSavedListTime), r.listTrustedUntil)
	}
}

// trustDuringPause sets until when the list is used as it is after a call that discovery refused, which is called again
// after the pause. A short pause leaves the next call the time to tell of changes within maxUpdateDelay. After a longer
// one they count as told before: changes that the list lacks were made before the refusal, as far as the front must know
// of them, and it goes on with members that accept requests. Further refusals do not make the list any newer.
func (r *Router) trustDuringPause(pause Time) {
	switch {
	case r.listOutdated:
	case pause > maxPacedPause:
		r.listOutdated, r.listTrustedUntil = true, r.now+acceptedEvidenceTime
	default:
		r.listTrustedUntil = distantFuture
	}
}

// trustPushed sets until when the list is used as it is after a list event, where lists are pushed. What pushes them is
// silent while discovery is down: if it refused a call, it could be reached. When it is called again is not known here.
func (r *Router) trustPushed(kind EventKind) {
	switch kind {
	case ListSaved:
	case ListError:
		r.trustDuringPause(maxUpdateDelay)
	default:
		r.trustList()
	}
}

// trustList lets the list be used as it is: it is current, or discovery can't be reached.
func (r *Router) trustList() { r.listOutdated, r.listTrustedUntil = false, distantFuture }

// mayBeDraining reports that m may have been draining for so long that nothing may be sent to it: discovery has told of no
// change for too long, though it may be reachable, and m has not accepted a request lately. That is while the first call
// since the front started is outstanding, and from a refused call with a long pause on. Otherwise the list is used as it is
// after a failed call, as fronts go on with it while discovery is down.
func (r *Router) mayBeDraining(m *member) bool {
	return r.now >= r.listTrustedUntil && r.now-m.acceptedAt >= acceptedEvidenceTime
}

// recordEnd records what the end of an attempt shows of its member: it accepted the request if it worked on it. A refusal takes
// nothing back. A member that is full refuses requests as a draining one does, and neither drained when it accepted the last one.
func (m *member) recordEnd(a *attempt, result Result) {
	if result.Answered() && result.MayHaveRun() {
		m.acceptedAt = max(m.acceptedAt, a.sent)
	}
}
