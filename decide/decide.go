// The decision policy of the gateway, top to bottom: which member each attempt goes to, and when a
// request is held, refused or failed. Types, events and actions are in api.go, the router's state in
// state.go.
package decide

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// distantPast lies before every time of the clock, distantFuture after it.
const (
	distantPast   Time = -1 << 60
	distantFuture Time = 1 << 62
)

// Parameters of the policy. A ratio without a unit is a fraction or a multiple of what its comment names.
const (
	sweepInterval       = 10 * time.Millisecond // period of the checks of deadlines and silent members
	fullSweepInterval   = 4 * sweepInterval     // period of the same checks in groups without recent requests
	groupActiveTime     = 2 * time.Second       // a request or outcome within this time makes its group active
	clockSlack          = 2 * time.Millisecond  // rounding of reported positions and ages
	listLag             = 8 * time.Second       // assumed age of a role in the list; newer evidence overrides it
	initialCostFraction = 0.2                   // initial cost of a class, as a fraction of its latency target

	costRiseRate = 0.01 // weight of an answer slower than the cost: small, as queueing is not cost
	costFallRate = 0.03 // weight of a faster answer

	sampleWeight     = 0.1             // weight of one answer in a member's averages: about ten answers count
	maxSampleWeight  = 0.9             // largest weight, after a long silence: old samples are weak
	sampleAgeScale   = 4 * time.Second // the weight is the age of the last sample as a fraction of this
	maxSlowdown      = 30.0            // cap of one sample, so that one very late answer can't exclude a member
	evidenceLifetime = 3 * time.Second // older evidence loses weight, so that a recovered member is tried again
	otherZoneFactor  = 1.2             // score factor of a member in another zone; breaks ties by zone
	tieBreakNoise    = 0.1             // random part of a score, so that fronts with the same view don't herd

	laggingMultiple   = 3.0 // multiple of the tightest bound from which on a lagging replica has to catch up
	laggingLoadFactor = 2.0 // and counts as this many times as loaded

	longReadMultiple = 4.0  // a read that costs this multiple of the cheapest class counts as long
	maxLatencyRatio  = 0.45 // above this ratio of latency to target the limit falls: longer queues gain nothing
	limitCutFactor   = 0.85 // factor of the limit for each round trip above maxLatencyRatio
	minConcurrency   = 4.0  // requests that any member processes in parallel, from all fronts together
	minLimitRequests = 2.0  // lowest limit, in the cheapest requests: only answers show a recovery

	shedLatencyRatio = 0.38 // above this ratio of latency to target some reads are shed, at random
	shedExponent     = 3.0  // exponent of the shed fraction: 7 in 8 at twice the ratio

	spareLimitFraction = 0.5 // reads spill over to a primary that uses less than this fraction of its limit

	silenceMultiple  = 5.0 // a member is silent once an answer is overdue by this multiple of the usual time,
	silenceFewFactor = 2.0 // and longer with few attempts outstanding, by this divided by their number

	minSilence      = 60 * time.Millisecond // shortest silence that counts
	maxConnFailures = 2                     // broken connections in a row that are no coincidence

	lostMultiple = 5.0 // an answer is presumed lost after this multiple of its usual time
	minOvertaken = 3   // if as many attempts sent later have been answered

	minLossRate      = 0.08 // from this fraction of lost answers on, losses are no coincidence
	lossSampleWeight = 0.02 // weight of one attempt in that fraction: about fifty attempts count

	maxErrorRate = 0.3 // a member with a higher fraction of errors is used last

	minHalfOpenDelay = 300 * time.Millisecond // delay of a suspect's first half-open probe, doubling with each
	maxHalfOpenDelay = time.Second            // longest delay between half-open probes

	attemptTimeMultiple = 1.5 // an attempt is worth sending while this multiple of its usual time is left,
	attemptTimeFraction = 0.6 // or this fraction of the latency target, whichever is less

	rerouteFraction = 0.5 // a read outstanding for this fraction of its target may be sent to another member too

	retryTokensPerRequest = 0.2  // tokens earned by each request: one in five may be retried after a failure
	maxRetryTokens        = 20.0 // most tokens kept, for bursts

	retryPause = 50 * time.Millisecond // a member that turned a request away isn't tried again for it before

	primarySearchInterval = 150 * time.Millisecond // interval between checks of a member that may be primary
	primarySearchPerFront = 5 * time.Millisecond   // the same for each front, where that is longer

	fleetProbeInterval = 10 * time.Millisecond // shortest interval of probes of a member by all fronts
	reservedAttempts   = 2                     // attempts kept for when the search for a primary succeeds
	refreshBonus       = 0.25                  // largest score bonus, of a replica unheard of for that bound

	peerReportLifetime = 2 * time.Second // a probe started by a peer's report must have ended within this time

	probeWait        = 30 * time.Millisecond // how long a read waits for a probe made for it
	maxProbesPerRead = 2                     // most probes made for one read

	maxSessions = 4096 // sessions per group whose commits are kept while a member may lack them

	goneRetention = time.Minute // members that left the list are kept so long, as they may restart
	logInterval   = time.Second // shortest interval between log texts
)

// New returns a router for one front. The error names the first invalid setting of cfg. Routers with
// equal settings, seed and events act alike.
func New(cfg Config, seed uint64) (*Router, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	r := &Router{rng: rand.New(rand.NewPCG(seed, 0x656c646572)), now: distantPast, commitFloor: distantPast,
		members: map[string]*member{}, groups: map[int64]*group{}, budgetShares: [4]float64{1, 1, 1, 1},
		kindLoads: map[string]*kindLoad{}, requests: map[uint64]*request{}, retryTokens: maxRetryTokens,
		wakeAt: distantPast, nextLogAt: distantPast,
		sweptAt: distantPast, sweptAllAt: distantPast, warmSweptAt: distantPast,
		freshness: newListFreshness(), watchSentAt: distantPast}
	r.pacer = DiscoveryPacer{Fronts: cfg.Fronts, Random: r.rng.Float64}
	r.configure(cfg)
	return r, nil
}

// Step handles the events of time now in order and appends the resulting actions to out.
func (r *Router) Step(now Time, events []Event, out []Action) []Action {
	r.now, r.out = max(now, r.now), out
	for i := range events {
		r.handle(&events[i])
	}
	if r.now-r.sweptAt >= sweepInterval {
		r.sweptAt = r.now
		r.sweep()
	}
	r.dispatch()
	r.openRequests = slices.DeleteFunc(r.openRequests, func(q *request) bool { return q.ended })
	r.scheduleWake()
	return r.out
}

// scheduleWake requests the next timer event, and an earlier one when a request reaches an idle front.
func (r *Router) scheduleWake() {
	at := r.now + 10*sweepInterval
	if len(r.openRequests) > 0 {
		at = r.now + sweepInterval
	}
	if r.wakeAt <= r.now || r.wakeAt > at {
		r.wakeAt = at
		r.emit(Action{Kind: Wake, At: at})
	}
}

// notify reports a state change; at most one per logInterval carries a log text.
func (r *Router) notify(c Change, g *group, member string) {
	a := Action{Kind: Notify, Change: c, Group: g.id, Member: member}
	if r.now >= r.nextLogAt {
		r.nextLogAt, a.Text = r.now+logInterval, a.text()
	}
	r.emit(a)
}

func (r *Router) handle(e *Event) {
	q := r.requests[e.Request]
	switch e.Kind {
	case ListFull, ListSaved, ListChange, ListError, DiscoveryUnreachable, SavedListCurrent, SavedListLimit,
		DiscoveryCalled, DiscoveryFailed, DiscoveryMoved, ListOverride:
		r.handleList(e)
	case Arrive:
		r.handleArrival(e)
	case FirstByte:
		if q != nil {
			q.streaming, q.firstByteAt = true, r.now
		}
	case Outcome:
		r.handleOutcome(e)
	case ClientGone:
		if q != nil && !q.ended {
			r.cancelAttempts(q)
			r.end(q)
		}
	case Probed:
		r.handleProbe(e)
	case PeerReport:
		r.handlePeerReport(e)
	case BudgetShares:
		r.budgetShares = e.BudgetShares
	}
}

// handlePeerReport handles what other gateways report of a member. It only triggers a probe or half-open
// probe, whose own outcome counts.
func (r *Router) handlePeerReport(e *Event) {
	m := r.members[e.Member]
	switch {
	case m == nil:
	case e.Role == Primary && m.role != Primary:
		m.roleAt = distantPast
	case e.Result == Served:
		m.halfOpenAt = min(m.halfOpenAt, r.now)
	default:
		m.peerReportAt = r.now
		r.probe(m)
	}
}

// Positions and roles.

// learnPosition keeps the newest reported position. It ignores impossible ones, ahead of the clock, and
// older ones.
func (r *Router) learnPosition(m *member, p Time) {
	if p >= m.position && p <= r.now+clockSlack {
		m.position, m.lag = p, r.now-p
	}
}

// learnRole keeps the newest evidence of a role. A group has one primary: newer evidence of one demotes
// another.
func (r *Router) learnRole(m *member, role Role, at Time) {
	if role == RoleUnknown || at < m.roleAt || at > r.now+clockSlack {
		return
	}
	m.role, m.roleAt = role, at
	if role != Primary {
		return
	}
	for _, o := range m.group.members {
		switch {
		case o == m || o.role != Primary:
		case o.roleAt > at:
			m.role = Replica
		default:
			o.role, o.roleAt = Replica, at
		}
	}
	if m.role == Primary && m.group.primaryUnknown {
		m.group.primaryUnknown = false
		r.notify(PrimaryFound, m.group, m.ID)
	}
}

// learnReport handles a member's report. Its role is at least as old as its position.
func (r *Router) learnReport(m *member, p *Report) {
	if p.HasPosition && p.Position <= r.now+clockSlack {
		r.learnPosition(m, p.Position)
		r.learnRole(m, p.Role, p.Position)
	}
}

// forgetCommits replaces commits that every member has by one common floor, which members that join must
// reach too.
func (r *Router) forgetCommits(g *group) {
	if len(g.sessions) == 0 {
		return
	}
	least := r.now
	for _, m := range g.members {
		if !m.gone && m.role != Primary {
			least = min(least, m.position)
		}
	}
	if len(g.sessions) > maxSessions { // a member that lags for long must not keep them all
		least = r.now
	}
	for s, c := range g.sessions { // the order has no effect: max and delete
		if c <= least {
			g.commitFloor = max(g.commitFloor, c)
			delete(g.sessions, s)
		}
	}
}

// Requests.

func (r *Router) handleArrival(e *Event) {
	var k *class
	if e.ClassDef != nil {
		k = r.classRecord(e.ClassDef)
	} else {
		k = r.classes[e.Class]
	}
	q := &request{id: e.Request, class: k, group: r.groups[e.Group], session: e.Session, arrived: r.now,
		maxAttempts: r.cfg.MaxAttempts, targetAt: r.now + k.LatencyTarget - e.Waited,
		deadline: r.now + e.Remaining, sessionPosition: distantPast,
		minPosition: distantPast, chance: r.rng.Float64()}
	r.requests[q.id] = q
	r.openRequests = append(r.openRequests, q)
	r.retryTokens = min(maxRetryTokens, r.retryTokens+retryTokensPerRequest)
	r.countArrival(k, !e.IsRetry)
	value := k.Value * r.chargeTenant(e.Tenant)
	if !e.IsRetry {
		k.maxWait = max(k.maxWait, e.Remaining+e.Waited)
	} else if e.Remaining+e.Waited < k.maxWait-clockSlack { // the time left shows when the first try began
		q.targetAt -= max(0, k.Deadline-e.Remaining-e.Waited)
	}
	q.rank = value / k.cost
	if q.group == nil || q.usefulUntil() <= r.now+sweepInterval {
		r.abandon(q, distantFuture)
		return
	}
	q.group.activeAt = r.now
	if e.MinPosition > 0 {
		q.minPosition = e.MinPosition
	}
	if c, ok := q.group.sessions[q.session]; ok {
		q.sessionPosition = c
	} else if r.cfg.RemembersSessions {
		q.sessionPosition = q.group.commitFloor
	} else if e.HasToken {
		q.sessionPosition = r.now - e.TokenAge + clockSlack/2
	}
}

// chargeTenant takes a token of the tenant for a request and returns the factor on the request's value: 1
// within the tenant's share of this front's traffic, less beyond it.
func (r *Router) chargeTenant(tenant int) float64 {
	if tenant < 0 || tenant >= len(r.tenantTokens) {
		return 1
	}
	for i := range r.tenantTokens {
		r.tenantTokens[i] = min(maxRetryTokens,
			r.tenantTokens[i]+r.cfg.Tenants[i].Share*r.budgetShares[TenantBudget])
	}
	if !r.countBudgetUse(TenantBudget, r.tenantTokens[tenant] >= 1) {
		return max(r.cfg.OverShareFactor, 0.01)
	}
	r.tenantTokens[tenant]--
	return 1
}

// usefulUntil is the time from which an answer has no value.
func (q *request) usefulUntil() Time {
	if q.class.LateValue > 0 {
		return q.deadline
	}
	return min(q.targetAt, q.deadline)
}

func (q *request) mayRefuse() bool {
	return q.class.Effect == Repeatable || q.outstanding == 0 && !q.mayHaveRun ||
		q.class.Effect == Keyed && q.class.KeyScope == ScopeAll
}

// abandon ends a request without a served answer: refused where a retry is harmless, to come after that
// time, else failed.
func (r *Router) abandon(q *request, after Time) {
	a := Action{Kind: Fail, Request: q.id}
	if q.mayRefuse() {
		a.Kind, a.RetryAfter = Refuse, min(after, r.cfg.MaxRetryAfter)
	}
	r.emit(a)
	r.cancelAttempts(q)
	r.end(q)
}

// cancelAttempts cancels the outstanding attempts of a finished request. Writes are left to run.
func (r *Router) cancelAttempts(q *request) {
	for _, a := range q.attempts {
		if r.cfg.MayCancel && q.class.Consistency != Write {
			r.cancel(a)
		}
	}
}

func (r *Router) cancel(a *attempt) {
	if !a.done && !a.cancelled {
		a.cancelled = true
		r.emit(Action{Kind: Cancel, Request: a.request.id, Attempt: a.number})
	}
}

func (r *Router) end(q *request) {
	r.discountUnserved(q)
	q.ended = true
	if q.outstanding == 0 {
		delete(r.requests, q.id)
	}
}

// mayAttempt reports whether the class allows another attempt at m now.
func (r *Router) mayAttempt(q *request, m *member) bool {
	if q.ended || q.streaming || q.maxAttempts > 0 && len(q.attempts) >= q.maxAttempts {
		return false
	}
	switch q.class.Effect {
	case Repeatable:
		return q.outstanding == 0 || r.cfg.MayDuplicate && q.outstanding < 2
	case Keyed:
		inScope := q.class.KeyScope != ScopeZone || m.Zone == q.firstRunZone
		return q.outstanding == 0 && (!q.mayHaveRun ||
			inScope && r.now-q.firstRunAt < q.class.KeyWindow-sweepInterval)
	}
	return q.outstanding == 0 && !q.mayHaveRun
}

// Choice of a member: replicas that have the required position, by SELF (least outstanding work), else
// the primary.

// dispatch sends the waiting requests, those with the highest value per unit of work first.
func (r *Router) dispatch() {
	waiting := slices.DeleteFunc(slices.Clone(r.openRequests), func(q *request) bool {
		return q.outstanding > 0 || q.ended || q.streaming
	})
	slices.SortStableFunc(waiting, func(a, b *request) int { return cmp.Compare(b.rank, a.rank) })
	r.heldRequests = 0
	for _, q := range waiting {
		if m := r.chooseMember(q); m != nil {
			r.send(q, m)
		} else if r.infeasible(q) {
			r.abandon(q, retryPause)
		} else {
			r.heldRequests++
		}
	}
}

// infeasible reports that every member left may be draining, or is in slow start and did not admit q.
func (r *Router) infeasible(q *request) bool {
	return !slices.ContainsFunc(q.group.members, func(m *member) bool {
		return !r.barred(m) && (!r.inSlowStart(m) || r.slowStartAdmits(m, q))
	})
}

// requiredPosition is the log position that a replica must be known to have reached to answer q.
func (r *Router) requiredPosition(q *request) Time {
	switch q.class.Consistency {
	case Bounded:
		return max(q.minPosition, r.now-q.class.Bound)
	case Session: // the session's commit may be reported while q is held
		return max(q.minPosition, q.sessionPosition, cmp.Or(q.group.sessions[q.session], distantPast),
			r.inDoubtUntil(q))
	case Fresh:
		return q.arrived
	}
	return q.minPosition
}

// inDoubtUntil is the time up to which an outstanding write of q's session may have committed, its answer
// being lost.
func (r *Router) inDoubtUntil(q *request) Time {
	known := r.now - r.cfg.AssumeCommittedAfter
	for _, m := range q.group.members {
		for _, a := range m.attempts {
			if a.request.class.Writes() && a.request.session == q.session && a.sent < known && known < r.now {
				return known
			}
		}
	}
	return distantPast
}

// chooseMember returns the member for the next attempt, or nil to hold the request.
func (r *Router) chooseMember(q *request) *member {
	p := q.group.primary()
	if q.class.Consistency == Write {
		return r.chooseWriteMember(q, p)
	}
	need, qualified := r.requiredPosition(q), false
	var best, ahead, errs *member
	var least, leastErrs float64
	// A long read that any replica may answer goes to the one that lags most, on every front: spread by
	// SELF, long reads would make all replicas lag. It could harm where long reads are most of the work.
	long := q.class.Consistency == AnyData && q.class.cost > longReadMultiple*r.leastCost()
	for _, m := range q.group.members {
		if m == p || !r.usable(m, q) {
			continue
		}
		if m.position < need {
			if r.cfg.StaleReads != StaleReadAnswer && r.hasCapacity(m, q, 1) &&
				(ahead == nil || m.position > ahead.position) {
				ahead = m
			}
			continue
		}
		if !r.hasCapacity(m, q, 1) {
			qualified = qualified || !r.inSlowStart(m) // one in slow start without capacity does not count
			continue
		}
		qualified = true
		s := r.score(m, q)
		if r.errorProne(m) {
			if errs == nil || s < leastErrs {
				errs, leastErrs = m, s
			}
			continue
		}
		if long {
			s = float64(m.position)
		}
		if best == nil || s < least {
			best, least = m, s
		}
	}
	switch {
	case best != nil && (r.inSlowStart(best) || r.admitsRead(best, q)):
		return best
	case best != nil:
		return nil
	case !qualified && ahead != nil:
		return ahead // the store checks positions itself: try the most advanced replica first
	case !qualified && r.cfg.MayProbe && q.class.Consistency != Fresh && r.probeForRead(q, p, need):
		return nil
	case p == nil || !r.usable(p, q):
		q.group.neededAt = r.now
		return errs
	case !qualified && r.hasCapacity(p, q, 1) && r.admitsRead(p, q),
		qualified && r.hasCapacity(p, q, spareLimitFraction):
		return p
	}
	return errs
}

// chooseWriteMember returns p, or where p may not be primary any more a member that may have become it. A
// member that is not primary refuses the write, which does no harm.
func (r *Router) chooseWriteMember(q *request, p *member) (best *member) {
	if p != nil && r.usable(p, q) && r.hasCapacity(p, q, 1) {
		return p
	} else if !q.group.leaderless(p) {
		return nil
	}
	if q.maxAttempts > 0 && len(q.attempts)+min(reservedAttempts, q.maxAttempts-1) >= q.maxAttempts {
		q.group.neededAt = r.now
		return nil
	}
	for _, m := range q.group.members {
		if m != p && r.now-m.roleAt >= r.primarySearchGap && (best == nil || m.roleAt < best.roleAt) &&
			r.usable(m, q) && r.hasCapacity(m, q, 1) {
			best = m
		}
	}
	return best
}

// admitsRead reports whether a read may go to m: where its answers or those of its role are late, some
// are shed.
func (r *Router) admitsRead(m *member, q *request) bool {
	f := m.evidenceWeight(r.now)
	return q.chance*math.Pow((f*m.latencyRatio+(1-f)*r.roleStats(m).latencyRatio)/shedLatencyRatio,
		shedExponent) < 1
}

// score is SELF, lower is better: the work outstanding at m from this front plus q's own. As other fronts
// load m too, it is scaled by how much slower than usual m's answers have been.
func (r *Router) score(m *member, q *request) float64 {
	s := (m.heldWork() + q.class.cost) * m.slowness(r.now) * (1 + tieBreakNoise*r.rng.Float64())
	if m.Zone != r.cfg.Zone {
		s *= otherZoneFactor
	}
	if k := q.class.Consistency; k == AnyData || k == Bounded { // an answer refreshes the known position
		s *= 1 - refreshBonus*min(1, float64(r.now-m.position-m.lag)/float64(r.tightestBound))
	}
	if m.lag > laggingMultiple*r.tightestBound {
		s *= laggingLoadFactor
	}
	return s
}

func (r *Router) recordError(m *member) {
	m.errorRate, m.errorAt = m.errorRate+sampleWeight*(1-m.errorRate), r.now
}

// errorProne reports that many answers of m are errors. As errors come fast, SELF would send such a
// member everything.
func (r *Router) errorProne(m *member) bool {
	return m.errorRate*min(1, float64(evidenceLifetime)/float64(max(1, r.now-m.errorAt))) > maxErrorRate
}

// slowness is the member's slowdown, closer to 1 the older its evidence.
func (m *member) slowness(now Time) float64 { return 1 + (m.slowdown-1)*m.evidenceWeight(now) }

// evidenceWeight is the weight, 0 to 1, of what is known of m: less the older the last sample.
func (m *member) evidenceWeight(now Time) float64 {
	return min(1, float64(evidenceLifetime)/float64(max(1, now-m.sampledAt)))
}

func (r *Router) usable(m *member, q *request) bool {
	if r.barred(m) || q.avoidUntil[m] > r.now || !r.mayAttempt(q, m) || r.tooLate(q, m) ||
		slices.ContainsFunc(q.attempts, func(a *attempt) bool { return !a.done && a.member == m }) {
		return false
	}
	if m.suspect { // a half-open probe needs the time to be answered
		left := float64(q.usefulUntil() - r.now)
		return r.now >= m.halfOpenAt && len(m.attempts) == 0 &&
			left > attemptTimeFraction*float64(q.class.LatencyTarget)
	}
	return true
}

// tooLate reports that m would probably answer too late. With the whole target left an attempt is always
// worth it.
func (r *Router) tooLate(q *request, m *member) bool {
	takes := min(attemptTimeMultiple*q.class.cost*m.slowness(r.now),
		attemptTimeFraction*float64(q.class.LatencyTarget))
	return float64(q.usefulUntil()-r.now) < takes
}

// hasCapacity reports whether m may take q's work on top of what it holds, within a fraction of its
// limit.
func (r *Router) hasCapacity(m *member, q *request, fraction float64) bool {
	if r.inSlowStart(m) {
		return r.slowStartAdmits(m, q)
	}
	if m.limit == 0 {
		return fraction == 1 || m.latencyRatio < maxLatencyRatio*fraction
	}
	few := minConcurrency / float64(r.cfg.Fronts) * q.class.cost // else cheap requests would starve costly ones
	return m.heldWork()+q.class.cost <= m.limit*fraction || fraction == 1 && m.heldWork() <= few
}

func (r *Router) send(q *request, m *member) {
	a := &attempt{request: q, member: m, number: len(q.attempts), sent: r.now, cost: q.class.cost}
	q.attempts = append(q.attempts, a)
	q.outstanding++
	m.attempts = append(m.attempts, a)
	m.outstandingWork += a.cost
	r.expectAnswer(m, a)
	if m.suspect {
		m.halfOpenAt = r.now + m.halfOpenDelay
		m.halfOpenDelay = min(2*m.halfOpenDelay, maxHalfOpenDelay)
	}
	act := Action{Kind: Send, Request: q.id, Member: m.ID, Timeout: max(q.usefulUntil()-r.now, clockSlack),
		MinPosition: r.requiredPosition(q)}
	if k := &q.class.Class; k.Consistency == Bounded && m != q.group.primary() &&
		r.cfg.StaleReads == StaleReadAnswer {
		act.WriteBy = m.position + k.Bound // the known position meets the bound until then
	} else if k.Effect == Keyed && q.mayHaveRun {
		act.WriteBy = q.firstRunAt + k.KeyWindow // the attempt may wait for a connection
	}
	r.emit(act)
}

// Outcomes.

func (r *Router) handleOutcome(e *Event) {
	m := r.members[e.Member]
	q := r.requests[e.Request]
	if m == nil || q == nil || e.Attempt < 0 || e.Attempt >= len(q.attempts) || q.attempts[e.Attempt].done {
		return
	}
	a := q.attempts[e.Attempt]
	a.done = true
	q.outstanding--
	q.group.activeAt = r.now
	m.attempts = slices.DeleteFunc(m.attempts, func(o *attempt) bool { return o == a })
	m.outstandingWork = max(0, m.outstandingWork-a.cost)
	m.recordEnd(a, e.Result)
	r.learnAnswer(m, q, e)
	r.updateHealth(m, a, e)
	if q.ended = q.ended || e.Ended || e.Result == Served; q.ended {
		r.cancelAttempts(q) // the other attempt
		r.end(q)
		return
	}
	if e.Result.MayHaveRun() && (!q.mayHaveRun || a.sent < q.firstRunAt) {
		q.mayHaveRun, q.firstRunAt, q.firstRunZone = true, a.sent, m.Zone
	}
	switch {
	case e.Result == Rejected: // the client has to correct it
		r.emit(Action{Kind: Fail, Request: q.id})
		r.end(q)
	case q.outstanding == 0 && q.mayHaveRun && q.class.Effect == Once:
		r.abandon(q, distantFuture)
	case e.Result == Stale || !e.Result.MayHaveRun(): // another member may serve it
		if q.avoidUntil == nil {
			q.avoidUntil = map[*member]Time{}
		}
		q.avoidUntil[m] = r.now + retryPause
	case q.outstanding == 0 && !e.Reused && !r.takeRetryToken():
		r.abandon(q, distantFuture)
	}
}

func (r *Router) takeRetryToken() bool {
	if r.retryTokens < 1 {
		return false
	}
	r.retryTokens--
	return true
}

// learnAnswer records the position, role and commit that an answer carries.
func (r *Router) learnAnswer(m *member, q *request, e *Event) {
	write := q.class.Writes() && (e.Result == Served || e.InDoubt)
	if s := q.group.sessions; write && e.HasPosition && r.cfg.RemembersSessions && q.session != "" {
		s[q.session] = max(s[q.session], e.Position)
	}
	if e.HasPosition && !write && e.Role == Replica {
		r.learnPosition(m, e.Position)
	}
	if e.Result == Misdirected && q.class.Consistency == Write { // whatever it reports, it is no primary
		r.learnRole(m, Replica, r.now)
	} else {
		r.learnRole(m, e.Role, r.now)
	}
	r.learnReport(m, &e.Report)
}

// Health.

// updateHealth records what an outcome shows of its member. An answer of any kind ends suspicion, a
// connection that broke or was not possible begins it, and late answers raise the slowdown and the
// latency ratio.
func (r *Router) updateHealth(m *member, a *attempt, e *Event) {
	answeredAt := r.now
	if a.request.streaming { // the rest shows how its client reads, or a hang
		answeredAt = a.request.firstByteAt
	}
	took := float64(max(answeredAt-a.sent, 1))
	switch e.Result {
	case Served:
		k := a.request.class
		r.countServed(m, k)
		rate := costRiseRate
		if took < k.cost {
			rate = costFallRate
		}
		k.cost += rate * (min(took, float64(k.Deadline)) - k.cost)
		r.recordLatency(m, a, took)
		m.errorRate -= sampleWeight * m.errorRate
		m.servedSlowdown += sampleWeight * (min(took/a.cost, maxSlowdown) - m.servedSlowdown)
		r.recordLoss(false)
		for _, o := range m.attempts {
			if o.sent < a.sent {
				o.overtaken++
			}
		}
		fallthrough
	case Errored, Misdirected, Full, Rejected, Stale:
		if e.Result == Errored {
			r.recordError(m)
		}
		m.answeredAt, m.silentAt, m.connFailures = r.now, distantFuture, 0
		for _, o := range m.attempts {
			r.expectAnswer(m, o)
		}
		if m.suspect {
			m.suspect, m.halfOpenDelay = false, minHalfOpenDelay
			r.notify(Recovered, m.group, m.ID)
		}
		if e.Result == Full {
			r.lowerLimit(m)
		}
	case TimedOut, Cancelled: // it may go on running: its work counts for as long as that should take
		lost := r.presumedLost(a)
		r.recordLoss(r.overdueAnswer(a))
		if lost { // a lost answer shows nothing of the member's load
			r.recordError(m)
			break
		}
		r.recordLatency(m, a, took)
		m.orphans = append(m.orphans, orphan{r.now + Time(a.cost*m.slowdown), a.cost})
	case Unreachable, Reset: // one broken connection of a member that just answered shows nothing
		if e.Reused { // an idle connection may have been closed: a new one will show
			break
		}
		m.connFailures++
		if again := m.connFailures >= maxConnFailures || m.suspect || m.answeredAt < r.now-minSilence; again &&
			(m.answeredAt < a.sent || e.Result == Unreachable) {
			r.markSuspect(m, e.Result == Unreachable)
		}
	}
}

// overdueAnswer reports that a's answer is long overdue. Later attempts of a request are given more time.
func (r *Router) overdueAnswer(a *attempt) bool {
	usual := a.cost * a.member.servedSlowdown * float64(a.number+1)
	return (a.overtaken >= minOvertaken || r.lossRate > minLossRate) &&
		float64(r.now-a.sent) > lostMultiple*usual
}

// presumedLost reports that a's answer will not come, given the fraction of overdue answers that did not.
func (r *Router) presumedLost(a *attempt) bool { return r.lossRate > minLossRate && r.overdueAnswer(a) }

// recordLoss counts an attempt whose answer came, or was lost.
func (r *Router) recordLoss(lost bool) {
	r.lossRate -= lossSampleWeight * r.lossRate
	if lost {
		r.lossRate += lossSampleWeight
	}
}

// recordLatency adds an answer that took so many ns to the averages of m and of its role, and adapts m's
// limit.
func (r *Router) recordLatency(m *member, a *attempt, took float64) {
	k := a.request.class
	w := min(maxSampleWeight, max(sampleWeight, float64(r.now-m.sampledAt)/float64(sampleAgeScale)))
	m.slowdown += w * (min(took/k.cost, maxSlowdown) - m.slowdown)
	m.latencyRatio += w * (min(took/float64(k.LatencyTarget), 2) - m.latencyRatio)
	stats := r.roleStats(m)
	w = min(maxSampleWeight, max(sampleWeight, float64(r.now-stats.sampledAt)/float64(sampleAgeScale)))
	stats.latencyRatio += w * (min(took/float64(k.LatencyTarget), 2) - stats.latencyRatio)
	m.sampledAt, stats.sampledAt = r.now, r.now
	if m.latencyRatio > maxLatencyRatio {
		r.lowerLimit(m)
	} else if m.limit > 0 && m.outstandingWork+a.cost >= m.limit/2 {
		m.limit += a.cost * a.cost / m.limit
	}
}

// lowerLimit lowers the work that m may hold, at most once per round trip.
func (r *Router) lowerLimit(m *member) {
	if r.now < m.nextCutAt {
		return
	}
	held := m.outstandingWork + r.leastCost()
	if m.limit > 0 {
		held = min(held, m.limit)
	}
	m.limit = max(held*limitCutFactor, minLimitRequests*r.leastCost())
	m.nextCutAt = r.now + Time(r.leastCost()*m.slowdown)
}

// markSuspect takes m out of use until a half-open probe is answered. Unless sure, the network may be the
// cause: then at most half of a group is out.
func (r *Router) markSuspect(m *member, sure bool) {
	if m.suspect {
		m.silentAt = distantFuture
		return
	}
	n := 0
	for _, o := range m.group.members {
		if o.suspect && !o.gone {
			n++
		}
	}
	if !sure && 2*(n+1) > len(m.group.members) {
		m.silentAt = r.now + minSilence // checked again then
		return
	}
	m.suspect, m.suspectAt, m.halfOpenAt, m.silentAt = true, r.now, r.now+m.halfOpenDelay, distantFuture
	m.limit = minLimitRequests * r.leastCost()
	r.notify(Suspected, m.group, m.ID)
}

// expectAnswer sets when m must have answered a, so that silence shows even if a is cancelled before.
func (r *Router) expectAnswer(m *member, a *attempt) {
	m.silentAt = min(m.silentAt, r.now+r.silenceTolerance(m, a.cost))
}

// silenceTolerance is the longest usual silence: longer with few attempts outstanding, as one slow answer
// is weak evidence.
func (r *Router) silenceTolerance(m *member, cost float64) Time {
	few := 1 + silenceFewFactor/float64(max(1, len(m.attempts)))
	return max(Time(silenceMultiple*few*cost*m.slowness(r.now)), minSilence)
}

// Periodic checks: deadlines, silent members, rerouting, the search for primaries and calls to discovery.

func (r *Router) sweep() {
	all := r.now-r.sweptAllAt >= fullSweepInterval
	for _, g := range r.groupOrder {
		if all || r.now-g.activeAt < groupActiveTime {
			r.sweepGroup(g)
		}
	}
	if all {
		r.sweptAllAt = r.now
		r.sweepMembership()
	}
	for _, q := range r.openRequests {
		if !q.ended && !q.streaming {
			r.sweepRequest(q)
		}
	}
	r.watchList()
}

func (r *Router) sweepGroup(g *group) {
	for _, m := range g.members {
		if r.now > m.silentAt {
			r.markSuspect(m, false)
		}
		m.orphans = slices.DeleteFunc(m.orphans, func(s orphan) bool { return s.until <= r.now })
	}
	r.forgetCommits(g)
	r.searchPrimary(g)
}

// sweepMembership counts the listed members, and drops members and groups that are not listed.
func (r *Router) sweepMembership() {
	r.sweepWarmLoads()
	r.listedMembers = 0
	r.groupOrder = slices.DeleteFunc(r.groupOrder, func(g *group) bool {
		for _, m := range g.members {
			if !m.gone {
				r.listedMembers++
			}
		}
		r.dropUnlisted(g)
		empty := len(g.members)+len(g.sessions) == 0
		if empty { // members that join under its number later must still have its commits
			r.commitFloor = max(r.commitFloor, g.commitFloor)
			delete(r.groups, g.id)
		}
		return empty
	})
}

// sweepRequest abandons a request that can't be answered in time any more, or reroutes it.
func (r *Router) sweepRequest(q *request) {
	until := q.usefulUntil() - sweepInterval
	if q.outstanding == 0 {
		inTime := func(m *member) bool { return !m.gone && !r.tooLate(q, m) }
		if !slices.ContainsFunc(q.group.members, inTime) {
			until = r.now
		}
	} else if q.class.Effect != Repeatable {
		until = q.deadline - sweepInterval
	}
	if r.now >= until || r.now >= q.deadline-sweepInterval {
		r.abandon(q, distantFuture)
	} else if q.outstanding == 1 {
		r.reroute(q)
	}
}

// reroute sends a request that its member doesn't answer elsewhere: as a second attempt if that is
// allowed, else after the first one is cancelled.
func (r *Router) reroute(q *request) {
	a := q.attempts[slices.IndexFunc(q.attempts, func(a *attempt) bool { return !a.done })]
	late := r.heldRequests == 0 && r.now-a.sent > Time(rerouteFraction*float64(q.class.LatencyTarget))
	// a half-open probe of a suspect must have the time to be answered
	stuck := a.member.suspect && (a.sent <= a.member.suspectAt ||
		r.now-a.sent > r.silenceTolerance(a.member, a.cost))
	lost := r.presumedLost(a)
	if a.cancelled || q.class.Effect == Once || r.retryTokens < 1 || !stuck && !late && !lost {
		return
	}
	if q.class.Effect == Repeatable && r.cfg.MayDuplicate {
		if m := r.chooseMember(q); m != nil && m != a.member {
			r.takeRetryToken()
			r.send(q, m)
		}
		return
	}
	p := q.group.primary()
	held := p == nil || p == a.member || r.now-a.sent > q.class.KeyWindow
	if r.cfg.MayCancel && (stuck || lost) && (q.class.Consistency != Write || lost || !held) {
		r.cancel(a)
	}
}

// searchPrimary probes the members of g while requests wait for a primary.
func (r *Router) searchPrimary(g *group) {
	p := g.primary()
	if p == nil && !g.primaryUnknown {
		g.primaryUnknown = true
		r.notify(PrimaryUnknown, g, "")
	}
	if !r.cfg.MayProbe || !g.leaderless(p) || r.now-g.neededAt > 2*sweepInterval {
		return
	}
	for _, m := range g.members {
		if m != p && r.now-m.probedAt >= r.primarySearchGap {
			r.probe(m)
		}
	}
}

// probeForRead probes the replica that SELF prefers, where none qualifies, and reports whether to wait
// for the outcome.
func (r *Router) probeForRead(q *request, p *member, need Time) bool {
	if r.now-need < r.reportAge { // no report can show so new a position yet
		return false
	}
	var best *member
	var least float64
	for _, m := range q.group.members {
		if m == p || !r.usable(m, q) || m.position >= need {
			continue
		}
		if m.probing && r.now-m.probedAt < probeWait {
			return true
		}
		s := r.score(m, q) * (1 + float64(m.lag)/float64(r.tightestBound)) // prefers those that lag less
		if !m.probing && r.now-m.probedAt >= m.probeGap && (best == nil || s < least) {
			best, least = m, s
		}
	}
	if best == nil || q.probes >= maxProbesPerRead || !r.probe(best) {
		return false
	}
	q.probes++
	return true
}

// probe requests m's report, unless all fronts together might probe it too often. It reports whether it
// did.
func (r *Router) probe(m *member) bool {
	if r.barred(m) ||
		!r.countBudgetUse(ProbeBudget, r.now-m.probedAt >= r.fleetInterval(fleetProbeInterval, ProbeBudget)) {
		return false
	}
	m.probedAt, m.probing = r.now, true
	r.emit(Action{Kind: Probe, Member: m.ID})
	return true
}

func (r *Router) handleProbe(e *Event) {
	m := r.members[e.Member]
	if m == nil {
		return
	}
	m.probing = false
	if e.Result != Served || !e.Report.HasPosition {
		if r.now-m.peerReportAt < peerReportLifetime && m.answeredAt < m.probedAt &&
			(e.Result == TimedOut || e.Result == Unreachable) {
			r.markSuspect(m, e.Result == Unreachable) // the peer's report is confirmed
		}
		m.probeGap = min(2*m.probeGap, max(r.tightestBound*3, time.Second))
		return
	}
	r.learnReport(m, &e.Report)
	if age := r.now - e.Report.Position; age < r.tightestBound && e.Report.Role == Replica {
		r.reportAge += Time(sampleWeight * float64(age-r.reportAge))
	}
	m.probeGap = r.tightestBound / 3
	if r.now-m.position > r.tightestBound { // too old to meet any bound: probe less often
		m.probeGap = min(r.tightestBound*3, r.now-m.position)
	}
}
