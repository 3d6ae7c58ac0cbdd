package decide

import (
	"math"
	"time"
)

// The load that warm members bear. It is the measure of what a member in slow start can do once it is warm: members of
// different kinds differ, members of one kind too, and no member bears more for long than it can do.

const (
	maxKinds   = 64 // kinds of members that are told apart; further ones count as one
	otherKinds = "" // the name under which they count

	// Before anything is counted, each warm member is taken to have borne the usual work for warmPriorTime, and each
	// member to have served what is expected of it for warmPriorRequests.
	warmPriorTime     = 2 * time.Second
	warmPriorRequests = 16.0

	// unknownShare is the share of a member of which nothing is known: it may be one of the weakest.
	unknownShare = 0.6

	// warmSweepInterval is the time between two sweeps of all members: a sweep costs more the more of them there are.
	warmSweepInterval = 500 * time.Millisecond

	// forgottenKindTime is the decayed time of all members of a kind below which a kind that is not listed is dropped.
	forgottenKindTime = time.Millisecond
)

// kindLoad is what the warm members of one kind served this front, by role.
type kindLoad struct {
	primaries, replicas roleLoad
	listed              int     // members of the kind at the last sweep
	leastShare          float64 // share that is expected of a member that was never seen warm, at most 1
	measured            shareRange
}

// roleLoad is what the warm members of one kind and role served this front. The counts decay over usualWorkWindow.
type roleLoad struct {
	members int                // warm members in use at the last sweep
	time    float64            // integral of members over time, in ns
	served  map[string]float64 // requests that they served, by class name
	all     float64            // sum of served
}

// warmLoad is what one member served this front while it was warm. The counts decay over usualWorkWindow of that time.
type warmLoad struct {
	kind     *kindLoad
	served   float64 // requests that it served
	expected float64 // requests that an average member of its kind and role served in the same time

	time       float64 // that time, in ns
	kindServed float64 // requests that an average member of its kind, of whichever role, served in that time
}

// share is what the member serves as a multiple of what an average member of its kind and role does; prior while little is
// known of it.
func (l *warmLoad) share(prior float64) float64 {
	return (l.served + prior*warmPriorRequests) / (l.expected + warmPriorRequests)
}

// growth is the present rate of the members of its kind as a multiple of their rate while it was warm, at least 1. A member that
// bore its share then need not be able to bear the same share of more.
func (l *warmLoad) growth() float64 {
	if l.time < float64(warmPriorTime) || l.kindServed == 0 {
		return 1
	}
	return max(1, l.kind.rate()*l.time/l.kindServed)
}

// shareError is the standard error of the share.
func (l *warmLoad) shareError() float64 {
	return math.Sqrt(l.served+warmPriorRequests) / (l.expected + warmPriorRequests)
}

// shareRange is the range in which the least share of the warm members of a kind lies, as of the last sweep.
type shareRange struct{ from, to float64 }

// add takes a warm member's share into account.
func (s *shareRange) add(l *warmLoad) {
	share, deviation := l.share(1), l.shareError()
	s.from = min(s.from, share-deviation)
	s.to = min(s.to, share+deviation)
}

// ofRole returns the load of the members of m's role.
func (l *kindLoad) ofRole(m *member) *roleLoad {
	if m.role == Primary {
		return &l.primaries
	}
	return &l.replicas
}

// updateLeastShare follows the measured range: as long as that is wide, it stays at the share of an unknown member. It falls
// at once and rises slowly, as the weak members of a kind may be those that have just been replaced.
func (l *kindLoad) updateLeastShare(fade float64) {
	if l.primaries.members+l.replicas.members == 0 {
		return
	}
	least := min(l.measured.to, max(l.measured.from, unknownShare))
	l.leastShare = min(least, least+(l.leastShare-least)*fade)
}

// rate is the number of requests that a member of the kind served per ns; 0 while nothing is known.
func (l *kindLoad) rate() float64 {
	memberTime := l.primaries.time + l.replicas.time
	if memberTime == 0 {
		return 0
	}
	return (l.primaries.all + l.replicas.all) / memberTime
}

// rate is the number of requests that a member of the role served per ns; 0 while nothing is known.
func (l *roleLoad) rate() float64 {
	if l.time == 0 {
		return 0
	}
	return l.all / l.time
}

// advance lets the counts decay by the factor fade, and adds the time of the members.
func (l *roleLoad) advance(span Time, fade float64) {
	l.time = l.time*fade + float64(l.members)*float64(span)
	l.all *= fade
	for name := range l.served {
		l.served[name] *= fade
	}
}

// work is the work that was served, by the present costs of the classes.
func (l *roleLoad) work(classes []*class) (work float64) {
	for _, k := range classes {
		work += l.served[k.Name] * k.cost
	}
	return work
}

// loadOfKind returns the record of a kind, a new one where there is none.
func (r *Router) loadOfKind(kind string) *kindLoad {
	l := r.kindLoads[kind]
	if l == nil && len(r.kindLoads) >= maxKinds {
		kind = otherKinds
		l = r.kindLoads[kind]
	}
	if l == nil {
		l = &kindLoad{primaries: roleLoad{served: map[string]float64{}}, replicas: roleLoad{served: map[string]float64{}}, leastShare: unknownShare}
		r.kindLoads[kind] = l
	}
	return l
}

// isWarm reports that m may serve at its full capacity.
func (r *Router) isWarm(m *member) bool { return !m.suspect && !r.barred(m) && !r.inSlowStart(m) }

// countServed counts a request that m served, if m is warm.
func (r *Router) countServed(m *member, k *class) {
	if r.inSlowStart(m) {
		return
	}
	m.warmLoad.served++
	l := m.warmLoad.kind.ofRole(m)
	l.served[k.Name]++
	l.all++
}

// sweepWarmLoads adds the time since the last sweep to what is known of warm members and of their kinds, if a sweep is due.
func (r *Router) sweepWarmLoads() {
	if r.now-r.warmSweptAt < warmSweepInterval {
		return
	}
	span := min(r.now-r.warmSweptAt, usualWorkWindow) // the first sweep follows distantPast
	fade := math.Exp(-float64(span) / float64(usualWorkWindow))
	r.warmSweptAt = r.now
	for _, l := range r.kindLoads {
		l.primaries.advance(span, fade)
		l.replicas.advance(span, fade)
		l.primaries.members, l.replicas.members, l.listed, l.measured = 0, 0, 0, shareRange{1, 1}
	}
	for _, m := range r.members {
		m.warmLoad.kind.listed++
		if r.isWarm(m) {
			r.sweepWarmMember(m, span, fade)
		}
	}
	for kind, l := range r.kindLoads {
		l.updateLeastShare(fade)
		if l.listed == 0 && l.primaries.time+l.replicas.time < float64(forgottenKindTime) {
			delete(r.kindLoads, kind)
		}
	}
}

// sweepWarmMember counts a warm member, and what was expected of it in the time since the last sweep.
func (r *Router) sweepWarmMember(m *member, span Time, fade float64) {
	l := &m.warmLoad
	role := l.kind.ofRole(m)
	role.members++
	l.served *= fade
	l.expected = l.expected*fade + role.rate()*float64(span)
	l.kindServed *= fade
	l.time *= fade
	if rate := l.kind.rate(); rate > 0 {
		l.kindServed += rate * float64(span)
		l.time += float64(span)
	}
	l.kind.measured.add(l)
}

// warmWork is the work per unit of time that m can be expected to take once it is warm: what warm members of its kind bear,
// less where m itself bore less than others or they bore less while it was warm, and not more than the usual work; and the
// headroom above that. Of a member that has not been seen warm no more is expected than of the weakest one of its kind, or of an
// unknown member while this front knows too little of the kind.
func (r *Router) warmWork(m *member) float64 {
	usual := r.usualWork()
	if usual == 0 {
		return 0
	}
	l := m.warmLoad.kind
	borne := min(usual, r.borneWork(l, usual)/m.warmLoad.growth()) * min(1, m.warmLoad.share(l.leastShare))
	return borne * headroom(borne/usual)
}

// headroom is the factor on what a member bears that it can be expected to take, by what it bears as a fraction of the usual
// work: weak members work closer to their capacity.
func headroom(fraction float64) float64 { return 1 + (slowStartHeadroom-1)*fraction*fraction }

// borneWork is the work per unit of time that each warm member of a kind served. While little is known of the kind it is
// close to the usual work.
func (r *Router) borneWork(l *kindLoad, usual float64) float64 {
	work := l.primaries.work(r.classes) + l.replicas.work(r.classes)
	prior := float64(max(l.primaries.members+l.replicas.members, 1)) * float64(warmPriorTime)
	return (work + usual*prior) / (l.primaries.time + l.replicas.time + prior)
}
