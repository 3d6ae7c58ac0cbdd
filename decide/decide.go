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

// never lies before every time of the clock, forever after it.
const (
	never   Time = -1 << 60
	forever Time = 1 << 62
)

// Parameters of the policy. A ratio without a unit is a fraction or a multiple of what its comment names.
const (
	sweepEvery = 10 * time.Millisecond // period of the checks of timers, held requests and silent members
	sweepAll   = 4 * sweepEvery        // period of the same checks in groups without recent requests
	activeFor  = 2 * time.Second       // a request or outcome within this time makes its group active
	clockSlack = 2 * time.Millisecond  // rounding of reported positions and ages
	listLag    = 8 * time.Second       // age assumed of a role in the list; newer evidence of a role overrides it
	costGuess  = 0.2                   // initial cost of a class, as a fraction of its latency target

	costUp   = 0.01 // weight of an answer slower than the class's cost: small, as time in a queue is not cost
	costDown = 0.03 // weight of a faster answer

	blend       = 0.1             // weight of one answer in a member's averages: about ten answers count
	blendMost   = 0.9             // largest weight of one answer after a long silence, as old samples are weak evidence
	blendTime   = 4 * time.Second // the weight grows with the age of the last sample as a fraction of this
	stretchMax  = 30.0            // cap of one slowdown sample, so that one very late answer can't exclude a member
	stretchFade = 3 * time.Second // older evidence of slowness loses weight, so that a recovered member is tried again
	zoneFactor  = 1.2             // score factor of a member in another zone; ties go to the front's own zone
	tieNoise    = 0.1             // random part of a score, so that fronts with the same view don't herd

	behindTimes = 3.0 // a replica that lags by more than this multiple of the tightest bound needs its cores to catch up
	behindLoad  = 2.0 // and counts as this many times as loaded

	longTimes  = 4.0  // a read that costs this multiple of the cheapest class counts as long
	strainAim  = 0.45 // above this ratio of latency to target a longer queue gains nothing: the limit falls
	cutBy      = 0.85 // factor of the limit for each round trip above strainAim
	fewAtOnce  = 4.0  // requests that any member processes in parallel, from all fronts together
	limitLeast = 2.0  // lowest limit, in requests of the cheapest class: only answers show that a member recovered

	shedAim   = 0.38 // above this ratio of latency to target some reads are kept away from a member, at random
	shedSteep = 3.0  // exponent of that: 7 of 8 stay away at twice the ratio

	spareShare = 0.5 // reads spill over to a primary that uses less than this fraction of its limit

	silentTimes = 5.0 // a member is silent once an answer is overdue by this multiple of the usual time,
	silentFew   = 2.0 // and longer with few attempts outstanding, by this divided by their number

	silentLeast = 60 * time.Millisecond // shortest silence that counts
	failsMost   = 2                     // broken connections with no answer in between that are no coincidence

	lostTimes  = 5.0 // an answer is presumed lost after this multiple of its usual time
	lostPassed = 3   // if as many attempts sent later have been answered

	lossyLeast = 0.08 // from this fraction of lost answers on, losses are no coincidence
	lossyBlend = 0.02 // weight of one attempt in that fraction: about fifty attempts count

	errsMost = 0.3 // a member with a higher fraction of errors is used last

	trialFirst = 300 * time.Millisecond // delay before the first half-open probe of a suspect; it doubles with each
	trialMost  = time.Second            // longest delay between half-open probes

	lateTimes = 1.5 // an attempt is worth sending while this multiple of its usual time is left,
	freshTry  = 0.6 // or this fraction of the latency target, whichever is less

	rescueAt = 0.5 // a read outstanding for this fraction of its target may be sent to another member too

	retryEarn = 0.2  // retry tokens earned by each request: one in five may be retried after a failure
	retryMost = 20.0 // most tokens kept, for bursts

	retryPause = 50 * time.Millisecond // a member that turned a request away isn't tried again for it before

	seekEvery = 150 * time.Millisecond // interval between checks of a member that may be primary
	seekEach  = 5 * time.Millisecond   // the same for each front, where that is longer

	probeEach  = 10 * time.Millisecond // shortest interval between probes of a member by all fronts together
	guessSpare = 2                     // attempts kept back from the search for a primary, for when it is known
	renewBy    = 0.25                  // largest score bonus of a replica not heard of for the tightest bound

	toldFor = 2 * time.Second // a probe started by a peer's report must have ended within this time

	askWait  = 30 * time.Millisecond // how long a read waits for a probe made for it
	askTimes = 2                     // most probes made for one read

	coldShare = 1.25 // factor on the configured overload multiple, as a member can take more than its usual load

	coldSave  = 0.125 // unused slow-start tokens are kept for this fraction of OverloadTime,
	coldFirst = 0.5   // for this fraction of it up to the first request,
	coldGaps  = 2.0   // or for this many mean gaps between requests, whichever is longer

	sessionMost = 4096 // sessions per group whose commits are kept while a member may lack them

	goneKeep = time.Minute // a member that left the list is kept for this time, as it may restart under its id
	logEvery = time.Second // shortest interval between log texts
)

// New returns a router for one front. The error names the first invalid setting of cfg. Routers with
// equal settings, seed and events act alike.
func New(cfg Config, seed uint64) (*Router, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	r := &Router{rng: rand.New(rand.NewPCG(seed, 0x656c646572)), now: never, floor: never,
		members: map[string]*member{}, groups: map[int64]*group{}, parts: [4]float64{1, 1, 1, 1},
		requests: map[uint64]*request{}, retries: retryMost,
		wakeAt: never, logAt: never, sweptAt: never, sweptAllAt: never, savedUntil: forever, askedAt: never}
	r.calls = CallPace{Fronts: cfg.Fronts, Random: r.rng.Float64}
	r.tune(cfg)
	return r, nil
}

// Step handles the events of time now in order and appends the resulting actions to out.
func (r *Router) Step(now Time, events []Event, out []Action) []Action {
	r.now, r.out = max(now, r.now), out
	for i := range events {
		r.take(&events[i])
	}
	if r.now-r.sweptAt >= sweepEvery {
		r.sweptAt = r.now
		r.sweep()
	}
	r.dispatch()
	r.open = slices.DeleteFunc(r.open, func(q *request) bool { return q.ended })
	r.wake()
	return r.out
}

// scheduleWake requests the next timer event, and an earlier one when a request reaches an idle front.
func (r *Router) wake() {
	at := r.now + 10*sweepEvery
	if len(r.open) > 0 {
		at = r.now + sweepEvery
	}
	if r.wakeAt <= r.now || r.wakeAt > at {
		r.wakeAt = at
		r.do(Action{Kind: Wake, At: at})
	}
}

// notify reports a state change; at most one per logInterval carries a log text.
func (r *Router) note(c Change, g *group, member string) {
	a := Action{Kind: Note, Change: c, Group: g.id, Member: member}
	if r.now >= r.logAt {
		r.logAt, a.Text = r.now+logEvery, a.words()
	}
	r.do(a)
}

func (r *Router) take(e *Event) {
	q := r.requests[e.Request]
	switch e.Kind {
	case ListFull, ListSaved, ListChange, ListError, ListUnreachable:
		r.takeList(e)
	case Arrive:
		r.arrive(e)
	case FirstByte:
		if q != nil {
			q.streaming = true
		}
	case Outcome:
		r.outcome(e)
	case ClientGone:
		if q != nil && !q.ended {
			r.callOff(q)
			r.end(q)
		}
	case Probed:
		r.probed(e)
	case Told:
		r.told(e)
	case Parts:
		r.parts = e.Parts
	}
}

// handlePeerReport handles what other gateways report of a member. It only triggers a probe or half-open
// probe, whose own outcome counts.
func (r *Router) told(e *Event) {
	m := r.members[e.Member]
	switch {
	case m == nil:
	case e.Role == Primary && m.role != Primary:
		m.roleAt = never
	case e.Result == Served:
		m.trialAt = min(m.trialAt, r.now)
	default:
		m.toldAt = r.now
		r.probe(m)
	}
}

// Positions and roles.

// learnPosition keeps the newest reported position. It ignores impossible ones, ahead of the clock, and
// older ones.
func (r *Router) learnPosition(m *member, p Time) {
	if p >= m.pos && p <= r.now+clockSlack {
		m.pos, m.lag = p, r.now-p
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
	if m.role == Primary && m.group.lost {
		m.group.lost = false
		r.note(PrimaryFound, m.group, m.ID)
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
			least = min(least, m.pos)
		}
	}
	if len(g.sessions) > sessionMost { // a member that lags for long must not keep them all
		least = r.now
	}
	for s, c := range g.sessions { // the order has no effect: max and delete
		if c <= least {
			g.floor = max(g.floor, c)
			delete(g.sessions, s)
		}
	}
}

// Requests.

func (r *Router) arrive(e *Event) {
	var k *class
	if e.As != nil {
		k = r.classOf(e.As)
	} else {
		k = r.classes[e.Class]
	}
	q := &request{id: e.Request, class: k, group: r.groups[e.Group], session: e.Session, arrived: r.now,
		most: r.cfg.MaxAttempts, aim: r.now + k.Aim - e.Waited, deadline: r.now + e.Remaining, token: never,
		floor: never, luck: r.rng.Float64()}
	r.requests[q.id] = q
	r.open = append(r.open, q)
	r.retries = min(retryMost, r.retries+retryEarn)
	r.asked(k, !e.IsRetry)
	worth := k.Worth * r.share(e.Tenant)
	if !e.IsRetry {
		k.longest = max(k.longest, e.Remaining+e.Waited)
	} else if e.Remaining+e.Waited < k.longest-clockSlack { // the time left shows when the first try began
		q.aim -= max(0, k.Deadline-e.Remaining-e.Waited)
	}
	q.rank = worth / k.cost
	if q.group == nil || q.usefulUntil() <= r.now+sweepEvery {
		r.giveUp(q, forever)
		return
	}
	q.group.activeAt = r.now
	if e.AtLeast > 0 {
		q.floor = e.AtLeast
	}
	if c, ok := q.group.sessions[q.session]; ok {
		q.token = c
	} else if r.cfg.RemembersSessions {
		q.token = q.group.floor
	} else if e.HasToken {
		q.token = r.now - e.TokenAge + clockSlack/2
	}
}

// chargeTenant takes a token of the tenant for a request and returns the factor on the request's value: 1
// within the tenant's share of this front's traffic, less beyond it.
func (r *Router) share(tenant int) float64 {
	if tenant < 0 || tenant >= len(r.credit) {
		return 1
	}
	for i := range r.credit {
		r.credit[i] = min(retryMost, r.credit[i]+r.cfg.Tenants[i].Share*r.parts[CustomerPart])
	}
	if !r.spend(CustomerPart, r.credit[tenant] >= 1) {
		return max(r.cfg.OverShare, 0.01)
	}
	r.credit[tenant]--
	return 1
}

// usefulUntil is the time from which an answer has no value.
func (q *request) usefulUntil() Time {
	if q.class.LateWorth > 0 {
		return q.deadline
	}
	return min(q.aim, q.deadline)
}

func (q *request) mayRefuse() bool {
	return q.class.Effect == Repeatable || q.out == 0 && !q.riskSet ||
		q.class.Effect == Keyed && q.class.KeyScope == ScopeAll
}

// abandon ends a request without a served answer: refused where a retry is harmless, to come after that
// time, else failed.
func (r *Router) giveUp(q *request, after Time) {
	a := Action{Kind: Fail, Request: q.id}
	if q.mayRefuse() {
		a.Kind, a.After = Refuse, min(after, r.cfg.MaxRetryAfter)
	}
	r.do(a)
	r.callOff(q)
	r.end(q)
}

// cancelAttempts cancels the outstanding attempts of a finished request. Writes are left to run.
func (r *Router) callOff(q *request) {
	for _, a := range q.attempts {
		if r.cfg.MayCancel && q.class.Consistency != Write {
			r.cancel(a)
		}
	}
}

func (r *Router) cancel(a *attempt) {
	if !a.done && !a.off {
		a.off = true
		r.do(Action{Kind: Cancel, Request: a.q.id, Attempt: a.no})
	}
}

func (r *Router) end(q *request) {
	r.unserved(q)
	q.ended = true
	if q.out == 0 {
		delete(r.requests, q.id)
	}
}

// mayAttempt reports whether the class allows another attempt at m now.
func (r *Router) mayTry(q *request, m *member) bool {
	if q.ended || q.streaming || q.most > 0 && len(q.attempts) >= q.most {
		return false
	}
	switch q.class.Effect {
	case Repeatable:
		return q.out == 0 || r.cfg.MayDuplicate && q.out < 2
	case Keyed:
		inScope := q.class.KeyScope != ScopeZone || m.Zone == q.riskZone
		return q.out == 0 && (!q.riskSet || inScope && r.now-q.riskAt < q.class.KeyWindow-sweepEvery)
	}
	return q.out == 0 && !q.riskSet
}

// Choice of a member: replicas that have the required position, by SELF (least outstanding work), else
// the primary.

// dispatch sends the waiting requests, those with the highest value per unit of work first.
func (r *Router) dispatch() {
	waiting := slices.DeleteFunc(slices.Clone(r.open), func(q *request) bool {
		return q.out > 0 || q.ended || q.streaming
	})
	slices.SortStableFunc(waiting, func(a, b *request) int { return cmp.Compare(b.rank, a.rank) })
	r.waits = 0
	for _, q := range waiting {
		if m := r.choose(q); m != nil {
			r.send(q, m)
		} else if r.hopeless(q) {
			r.giveUp(q, retryPause)
		} else {
			r.waits++
		}
	}
}

// infeasible reports that every member left may be draining, or is in slow start and did not admit q.
func (r *Router) hopeless(q *request) bool {
	return !slices.ContainsFunc(q.group.members, func(m *member) bool {
		return !r.barred(m) && (!r.cold(m) || r.coldRoom(m, q))
	})
}

// requiredPosition is the log position that a replica must be known to have reached to answer q.
func (r *Router) need(q *request) Time {
	switch q.class.Consistency {
	case Bounded:
		return max(q.floor, r.now-q.class.Bound)
	case Session: // the session's commit may be reported while q is held
		return max(q.floor, q.token, cmp.Or(q.group.sessions[q.session], never), r.unheard(q))
	case Fresh:
		return q.arrived
	}
	return q.floor
}

// inDoubtUntil is the time up to which an outstanding write of q's session may have committed, its answer
// being lost.
func (r *Router) unheard(q *request) Time {
	known := r.now - r.cfg.KnownAfter
	for _, m := range q.group.members {
		for _, a := range m.open {
			if a.q.class.Writes() && a.q.session == q.session && a.sent < known && known < r.now {
				return known
			}
		}
	}
	return never
}

// chooseMember returns the member for the next attempt, or nil to hold the request.
func (r *Router) choose(q *request) *member {
	p := q.group.primary()
	if q.class.Consistency == Write {
		return r.writeTo(q, p)
	}
	need, qualified := r.need(q), false
	var best, ahead, errs *member
	var least, leastErrs float64
	// A long read that any replica may answer goes to the one that lags most, on every front: spread by
	// SELF, long reads would make all replicas lag. It could harm where long reads are most of the work.
	long := q.class.Consistency == AnyData && q.class.cost > longTimes*r.leastCost()
	for _, m := range q.group.members {
		if m == p || !r.usable(m, q) {
			continue
		}
		if m.pos < need {
			if r.cfg.Checks != ChecksOff && r.room(m, q, 1) && (ahead == nil || m.pos > ahead.pos) {
				ahead = m
			}
			continue
		}
		if !r.room(m, q, 1) {
			qualified = qualified || !r.cold(m) // one in slow start without capacity does not count
			continue
		}
		qualified = true
		s := r.score(m, q)
		if r.errs(m) {
			if errs == nil || s < leastErrs {
				errs, leastErrs = m, s
			}
			continue
		}
		if long {
			s = float64(m.pos)
		}
		if best == nil || s < least {
			best, least = m, s
		}
	}
	switch {
	case best != nil && (r.cold(best) || r.spares(best, q)):
		return best
	case best != nil:
		return nil
	case !qualified && ahead != nil:
		return ahead // the store checks positions itself: try the most advanced replica first
	case !qualified && r.cfg.MayProbe && q.class.Consistency != Fresh && r.ask(q, p, need):
		return nil
	case p == nil || !r.usable(p, q):
		q.group.wanted = r.now
		return errs
	case !qualified && r.room(p, q, 1) && r.spares(p, q), qualified && r.room(p, q, spareShare):
		return p
	}
	return errs
}

// chooseWriteMember returns p, or where p may not be primary any more a member that may have become it:
// one that has not rejects the write, which does no harm.
func (r *Router) writeTo(q *request, p *member) (best *member) {
	if p != nil && r.usable(p, q) && r.room(p, q, 1) {
		return p
	} else if !q.group.leaderless(p) {
		return nil
	}
	if q.most > 0 && len(q.attempts)+min(guessSpare, q.most-1) >= q.most {
		q.group.wanted = r.now
		return nil
	}
	for _, m := range q.group.members {
		if m != p && r.now-m.roleAt >= r.seekGap && (best == nil || m.roleAt < best.roleAt) &&
			r.usable(m, q) && r.room(m, q, 1) {
			best = m
		}
	}
	return best
}

// admitsRead reports whether a read may go to m: where its answers or those of its role are late, some
// are shed.
func (r *Router) spares(m *member, q *request) bool {
	f := m.fade(r.now)
	return q.luck*math.Pow((f*m.strain+(1-f)*r.alike(m).strain)/shedAim, shedSteep) < 1
}

// score is SELF, lower is better: the work outstanding at m from this front plus q's own. As other fronts
// load m too, it is scaled by how much slower than usual m's answers have been.
func (r *Router) score(m *member, q *request) float64 {
	s := (m.held() + q.class.cost) * m.slowness(r.now) * (1 + tieNoise*r.rng.Float64())
	if m.Zone != r.cfg.Zone {
		s *= zoneFactor
	}
	if k := q.class.Consistency; k == AnyData || k == Bounded { // an answer refreshes the known position
		s *= 1 - renewBy*min(1, float64(r.now-m.pos-m.lag)/float64(r.freshFor))
	}
	if m.lag > behindTimes*r.freshFor {
		s *= behindLoad
	}
	return s
}

func (r *Router) erred(m *member) { m.errors, m.erredAt = m.errors+blend*(1-m.errors), r.now }

// errorProne reports that many answers of m are errors. As errors come fast, SELF would send such a
// member everything.
func (r *Router) errs(m *member) bool {
	return m.errors*min(1, float64(stretchFade)/float64(max(1, r.now-m.erredAt))) > errsMost
}

// slowness is the member's slowdown, closer to 1 the older its evidence.
func (m *member) slowness(now Time) float64 { return 1 + (m.stretch-1)*m.fade(now) }

// evidenceWeight is the weight, 0 to 1, of what is known of m: less the older the last sample.
func (m *member) fade(now Time) float64 {
	return min(1, float64(stretchFade)/float64(max(1, now-m.learnt)))
}

func (r *Router) usable(m *member, q *request) bool {
	if r.barred(m) || q.away[m] > r.now || !r.mayTry(q, m) || r.tooLate(q, m) ||
		slices.ContainsFunc(q.attempts, func(a *attempt) bool { return !a.done && a.m == m }) {
		return false
	}
	if m.suspect { // a half-open probe needs the time to be answered
		left := float64(q.usefulUntil() - r.now)
		return r.now >= m.trialAt && len(m.open) == 0 && left > freshTry*float64(q.class.Aim)
	}
	return true
}

// tooLate reports that m would probably answer too late. With the whole target left an attempt is always
// worth it.
func (r *Router) tooLate(q *request, m *member) bool {
	takes := min(lateTimes*q.class.cost*m.slowness(r.now), freshTry*float64(q.class.Aim))
	return float64(q.usefulUntil()-r.now) < takes
}

// hasCapacity reports whether m may take q's work on top of what it holds, within a fraction of its
// limit.
func (r *Router) room(m *member, q *request, part float64) bool {
	if r.cold(m) {
		return r.coldRoom(m, q)
	}
	if m.limit == 0 {
		return part == 1 || m.strain < strainAim*part
	}
	few := fewAtOnce / float64(r.cfg.Fronts) * q.class.cost // else cheap requests would starve costly ones
	return m.held()+q.class.cost <= m.limit*part || part == 1 && m.held() <= few
}

func (r *Router) send(q *request, m *member) {
	a := &attempt{q: q, m: m, no: len(q.attempts), sent: r.now, cost: q.class.cost}
	q.attempts = append(q.attempts, a)
	q.out++
	m.open = append(m.open, a)
	m.booked += a.cost
	r.await(m, a)
	if m.suspect {
		m.trialAt = r.now + m.trialGap
		m.trialGap = min(2*m.trialGap, trialMost)
	}
	act := Action{Kind: Send, Request: q.id, Member: m.ID, Timeout: max(q.usefulUntil()-r.now, clockSlack),
		AtLeast: r.need(q)}
	if k := &q.class.Class; k.Consistency == Bounded && m != q.group.primary() && r.cfg.Checks == ChecksOff {
		act.Before = m.pos + k.Bound // the known position meets the bound until then
	} else if k.Effect == Keyed && q.riskSet {
		act.Before = q.riskAt + k.KeyWindow // the attempt may wait for a connection
	}
	r.do(act)
}

// Outcomes.

func (r *Router) outcome(e *Event) {
	m := r.members[e.Member]
	q := r.requests[e.Request]
	if m == nil || q == nil || e.Attempt < 0 || e.Attempt >= len(q.attempts) || q.attempts[e.Attempt].done {
		return
	}
	a := q.attempts[e.Attempt]
	a.done = true
	q.out--
	q.group.activeAt = r.now
	m.open = slices.DeleteFunc(m.open, func(o *attempt) bool { return o == a })
	m.booked = max(0, m.booked-a.cost)
	m.took(a, e.Result)
	r.learnAnswer(m, q, e)
	r.health(m, a, e)
	if q.ended = q.ended || e.Ended || e.Result == Served; q.ended {
		r.callOff(q) // the other attempt
		r.end(q)
		return
	}
	if e.Result.MayHaveRun() && (!q.riskSet || a.sent < q.riskAt) {
		q.riskSet, q.riskAt, q.riskZone = true, a.sent, m.Zone
	}
	switch {
	case e.Result == Rejected: // the client has to correct it
		r.do(Action{Kind: Fail, Request: q.id})
		r.end(q)
	case q.out == 0 && q.riskSet && q.class.Effect == Once:
		r.giveUp(q, forever)
	case e.Result == Stale || !e.Result.MayHaveRun(): // another member may serve it
		if q.away == nil {
			q.away = map[*member]Time{}
		}
		q.away[m] = r.now + retryPause
	case q.out == 0 && !e.Reused && !r.spendRetry():
		r.giveUp(q, forever)
	}
}

func (r *Router) spendRetry() bool {
	if r.retries < 1 {
		return false
	}
	r.retries--
	return true
}

// learnAnswer records the position, role and commit that an answer carries.
func (r *Router) learnAnswer(m *member, q *request, e *Event) {
	write := q.class.Writes() && (e.Result == Served || e.InDoubt)
	if s := q.group.sessions; write && e.Stamped && r.cfg.RemembersSessions && q.session != "" {
		s[q.session] = max(s[q.session], e.Position)
	}
	if e.Stamped && !write && e.Role == Replica {
		r.learnPosition(m, e.Position)
	}
	if e.Result == NotHere && q.class.Consistency == Write { // whatever role it reports, it is no primary now
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
func (r *Router) health(m *member, a *attempt, e *Event) {
	took := float64(max(r.now-a.sent, 1))
	switch e.Result {
	case Served:
		k := a.q.class
		rate := costUp
		if took < k.cost {
			rate = costDown
		}
		k.cost += rate * (min(took, float64(k.Deadline)) - k.cost)
		r.observe(m, a, took)
		m.errors -= blend * m.errors
		m.quick += blend * (min(took/a.cost, stretchMax) - m.quick)
		r.learnLoss(false)
		for _, o := range m.open {
			if o.sent < a.sent {
				o.passed++
			}
		}
		fallthrough
	case Errored, NotHere, Full, Rejected, Stale:
		if e.Result == Errored {
			r.erred(m)
		}
		m.heard, m.overdue, m.fails = r.now, forever, 0
		for _, o := range m.open {
			r.await(m, o)
		}
		if m.suspect {
			m.suspect, m.trialGap = false, trialFirst
			r.note(Trusted, m.group, m.ID)
		}
		if e.Result == Full {
			r.cutLimit(m)
		}
	case TimedOut, Cancelled: // it may go on running: its work counts for as long as that should take
		lost := r.lost(a)
		r.learnLoss(r.late(a))
		if lost { // a lost answer shows nothing of the member's load
			r.erred(m)
			break
		}
		r.observe(m, a, took)
		m.ghosts = append(m.ghosts, spent{r.now + Time(a.cost*m.stretch), a.cost})
	case Unreachable, Reset: // one broken connection of a member that just answered shows nothing
		if e.Reused { // an idle connection may have been closed: a new one will show
			break
		}
		m.fails++
		if again := m.fails >= failsMost || m.suspect || m.heard < r.now-silentLeast; again &&
			(m.heard < a.sent || e.Result == Unreachable) {
			r.suspect(m, e.Result == Unreachable)
		}
	}
}

// overdueAnswer reports that a's answer is long overdue. Later attempts of a request are given more time.
func (r *Router) late(a *attempt) bool {
	usual := a.cost * a.m.quick * float64(a.no+1)
	return (a.passed >= lostPassed || r.lossy > lossyLeast) && float64(r.now-a.sent) > lostTimes*usual
}

// presumedLost reports that a's answer will not come, given the fraction of overdue answers that did not.
func (r *Router) lost(a *attempt) bool { return r.lossy > lossyLeast && r.late(a) }

// recordLoss counts an attempt whose answer came, or was lost.
func (r *Router) learnLoss(lost bool) {
	r.lossy -= lossyBlend * r.lossy
	if lost {
		r.lossy += lossyBlend
	}
}

// recordLatency adds an answer that took so many ns to the averages of m and of its role, and adapts m's
// limit.
func (r *Router) observe(m *member, a *attempt, took float64) {
	k := a.q.class
	w := min(blendMost, max(blend, float64(r.now-m.learnt)/float64(blendTime)))
	m.stretch += w * (min(took/k.cost, stretchMax) - m.stretch)
	m.strain += w * (min(took/float64(k.Aim), 2) - m.strain)
	of := r.alike(m)
	w = min(blendMost, max(blend, float64(r.now-of.learnt)/float64(blendTime)))
	of.strain += w * (min(took/float64(k.Aim), 2) - of.strain)
	m.learnt, of.learnt = r.now, r.now
	if m.strain > strainAim {
		r.cutLimit(m)
	} else if m.limit > 0 && m.booked+a.cost >= m.limit/2 {
		m.limit += a.cost * a.cost / m.limit
	}
}

// lowerLimit lowers the work that m may hold, at most once per round trip.
func (r *Router) cutLimit(m *member) {
	if r.now < m.cutAt {
		return
	}
	held := m.booked + r.leastCost()
	if m.limit > 0 {
		held = min(held, m.limit)
	}
	m.limit = max(held*cutBy, limitLeast*r.leastCost())
	m.cutAt = r.now + Time(r.leastCost()*m.stretch)
}

// markSuspect takes m out of use until a half-open probe is answered. Unless sure, the network may be the
// cause: then at most half of a group is out.
func (r *Router) suspect(m *member, sure bool) {
	if m.suspect {
		m.overdue = forever
		return
	}
	n := 0
	for _, o := range m.group.members {
		if o.suspect && !o.gone {
			n++
		}
	}
	if !sure && 2*(n+1) > len(m.group.members) {
		m.overdue = r.now + silentLeast // checked again then
		return
	}
	m.suspect, m.suspectAt, m.trialAt, m.overdue = true, r.now, r.now+m.trialGap, forever
	m.limit = limitLeast * r.leastCost()
	r.note(Suspected, m.group, m.ID)
}

// expectAnswer sets when m must have answered a, so that silence shows even if a is cancelled before.
func (r *Router) await(m *member, a *attempt) {
	m.overdue = min(m.overdue, r.now+r.patience(m, a.cost))
}

// silenceTolerance is the longest usual silence: longer with few attempts outstanding, as one slow answer
// is weak evidence.
func (r *Router) patience(m *member, cost float64) Time {
	few := 1 + silentFew/float64(max(1, len(m.open)))
	return max(Time(silentTimes*few*cost*m.slowness(r.now)), silentLeast)
}

// Slow start.

// inSlowStart reports that m started less than SlowStartTime ago, where the settings ask for a slow
// start.
func (r *Router) cold(m *member) bool {
	return m.Started != 0 && r.cfg.FallMultiple > 0 && r.now < m.Started+r.cfg.ColdTime
}

// slowStartAdmits keeps to the budget of a member in slow start: each front sends it the present fraction
// of its usual work, so that the sum over all fronts is bounded. Tokens accrue with time and expire, so
// retries, held requests or a surge in one group get no more. Where there is less than a request's work,
// that is its chance; chances add up.
func (r *Router) coldRoom(m *member, q *request) bool {
	p, sent := q.group.primary(), q.sentTo(m)
	if t, drawn := q.turns[m]; drawn && t.sent == sent { // an attempt uses up its admission
		return t.yes
	} else if q.class.Writes() && m != p && !q.group.leaderless(p) { // infeasible calls this too
		return false
	}
	part := r.cfg.ColdShare + (1-r.cfg.ColdShare)*float64(r.now-m.Started)/float64(max(r.cfg.ColdTime, 1))
	rate := r.usual() * part * r.cfg.FallMultiple * coldShare * r.parts[ColdPart]
	m.ramp.add(r.now, rate, float64(r.cfg.FallTime))
	yes := m.ramp.turn(q.class.cost, !q.hasTurn())
	q.took(m, turn{sent, yes})
	return r.spend(ColdPart, yes)
}

// Periodic checks: deadlines, silent members, rerouting, the search for primaries and calls to discovery.

func (r *Router) sweep() {
	all := r.now-r.sweptAllAt >= sweepAll
	for _, g := range r.order {
		if all || r.now-g.activeAt < activeFor {
			r.sweepGroup(g)
		}
	}
	if all {
		r.sweptAllAt = r.now
		r.sweepList()
	}
	for _, q := range r.open {
		if !q.ended && !q.streaming {
			r.sweepRequest(q)
		}
	}
	r.askList()
}

func (r *Router) sweepGroup(g *group) {
	for _, m := range g.members {
		if r.now > m.overdue {
			r.suspect(m, false)
		}
		m.ghosts = slices.DeleteFunc(m.ghosts, func(s spent) bool { return s.at <= r.now })
	}
	r.forgetCommits(g)
	r.gather(g)
}

// sweepMembership counts the listed members, and drops members and groups that are not listed.
func (r *Router) sweepList() {
	r.inList = 0
	r.order = slices.DeleteFunc(r.order, func(g *group) bool {
		for _, m := range g.members {
			if !m.gone {
				r.inList++
			}
		}
		r.dropGone(g)
		empty := len(g.members)+len(g.sessions) == 0
		if empty { // members that join under its number later must still have its commits
			r.floor = max(r.floor, g.floor)
			delete(r.groups, g.id)
		}
		return empty
	})
}

// sweepRequest abandons a request that can't be answered in time any more, or reroutes it.
func (r *Router) sweepRequest(q *request) {
	until := q.usefulUntil() - sweepEvery
	if q.out == 0 {
		inTime := func(m *member) bool { return !m.gone && !r.tooLate(q, m) }
		if !slices.ContainsFunc(q.group.members, inTime) {
			until = r.now
		}
	} else if q.class.Effect != Repeatable {
		until = q.deadline - sweepEvery
	}
	if r.now >= until || r.now >= q.deadline-sweepEvery {
		r.giveUp(q, forever)
	} else if q.out == 1 {
		r.rescue(q)
	}
}

// reroute sends a request that its member doesn't answer elsewhere: as a second attempt if that is
// allowed, else after the first one is cancelled.
func (r *Router) rescue(q *request) {
	a := q.attempts[slices.IndexFunc(q.attempts, func(a *attempt) bool { return !a.done })]
	late := r.waits == 0 && r.now-a.sent > Time(rescueAt*float64(q.class.Aim))
	// a half-open probe of a suspect must have the time to be answered
	stuck := a.m.suspect && (a.sent <= a.m.suspectAt || r.now-a.sent > r.patience(a.m, a.cost))
	lost := r.lost(a)
	if a.off || q.class.Effect == Once || r.retries < 1 || !stuck && !late && !lost {
		return
	}
	if q.class.Effect == Repeatable && r.cfg.MayDuplicate {
		if m := r.choose(q); m != nil && m != a.m {
			r.spendRetry()
			r.send(q, m)
		}
		return
	}
	p := q.group.primary()
	held := p == nil || p == a.m || r.now-a.sent > q.class.KeyWindow
	if r.cfg.MayCancel && (stuck || lost) && (q.class.Consistency != Write || lost || !held) {
		r.cancel(a)
	}
}

// searchPrimary probes the members of g while requests wait for a primary.
func (r *Router) gather(g *group) {
	p := g.primary()
	if p == nil && !g.lost {
		g.lost = true
		r.note(PrimaryLost, g, "")
	}
	if !r.cfg.MayProbe || !g.leaderless(p) || r.now-g.wanted > 2*sweepEvery {
		return
	}
	for _, m := range g.members {
		if m != p && r.now-m.probedAt >= r.seekGap {
			r.probe(m)
		}
	}
}

// probeForRead probes the replica that SELF prefers, where none qualifies, and reports whether to wait
// for the outcome.
func (r *Router) ask(q *request, p *member, need Time) bool {
	if r.now-need < r.reportAge { // no report can show so new a position yet
		return false
	}
	var best *member
	var least float64
	for _, m := range q.group.members {
		if m == p || !r.usable(m, q) || m.pos >= need {
			continue
		}
		if m.probing && r.now-m.probedAt < askWait {
			return true
		}
		s := r.score(m, q) * (1 + float64(m.lag)/float64(r.freshFor)) // prefers those that lag less
		if !m.probing && r.now-m.probedAt >= m.probeGap && (best == nil || s < least) {
			best, least = m, s
		}
	}
	if best == nil || q.asked >= askTimes || !r.probe(best) {
		return false
	}
	q.asked++
	return true
}

// probe requests m's report, unless all fronts together might probe it too often. It reports whether it
// did.
func (r *Router) probe(m *member) bool {
	if r.barred(m) || !r.spend(ProbePart, r.now-m.probedAt >= r.each(probeEach, ProbePart)) {
		return false
	}
	m.probedAt, m.probing = r.now, true
	r.do(Action{Kind: Probe, Member: m.ID})
	return true
}

func (r *Router) probed(e *Event) {
	m := r.members[e.Member]
	if m == nil {
		return
	}
	m.probing = false
	if e.Result != Served || !e.Report.HasPosition {
		if r.now-m.toldAt < toldFor && m.heard < m.probedAt && (e.Result == TimedOut || e.Result == Unreachable) {
			r.suspect(m, e.Result == Unreachable) // the peer's report is confirmed
		}
		m.probeGap = min(2*m.probeGap, max(r.freshFor*3, time.Second))
		return
	}
	r.learnReport(m, &e.Report)
	if age := r.now - e.Report.Position; age < r.freshFor && e.Report.Role == Replica {
		r.reportAge += Time(blend * float64(age-r.reportAge))
	}
	m.probeGap = r.freshFor / 3
	if r.now-m.pos > r.freshFor { // too old to meet any bound: probe less often
		m.probeGap = min(r.freshFor*3, r.now-m.pos)
	}
}
