// The whole policy of reachwind, top to bottom. Its types, events and actions are in api.go, its records in
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

// Tuned values, each with its reason.
const (
	sweepEvery = 10 * time.Millisecond // timers, holds and silence are looked at so often; well under any aim
	sweepAll   = 4 * sweepEvery        // also in groups for which nothing came in
	activeFor  = 2 * time.Second
	clockSlack = 2 * time.Millisecond // rounding of told positions and ages
	listLag    = 8 * time.Second      // a list's word on roles is older than it looks; newer evidence beats it
	costGuess  = 0.2                  // first guess of a class's cost, as a part of its aim

	costUp, costDown = 0.01, 0.03 // cost follows the faster answers, as waiting is not cost

	blend       = 0.1             // weight of one answer in a member's averages: about ten answers
	blendMost   = 0.9             // and of one after a long silence, as old answers are little evidence:
	blendTime   = 4 * time.Second // those of so long ago are
	stretchMax  = 30.0            // one very late answer must not shut a member out for good
	stretchFade = 3 * time.Second // unheard-of slowness is forgotten, so that a mended member is tried
	zoneFactor  = 1.2             // a member of another zone must be a fifth better; breaks ties by zone
	tieNoise    = 0.1             // seeded chance, so that fronts that see the same don't herd

	behindTimes, behindLoad = 3.0, 2.0 // a replica so many tightest bounds behind is as good as twice as busy

	longTimes  = 4.0  // a read costing so many times the cheapest class is long
	strainAim  = 0.45 // answers taking this part of their aim: queues are as long as is useful
	cutBy      = 0.85 // a limit falls so much for each round trip above strainAim
	fewAtOnce  = 4.0  // any member works on so many side by side, from all fronts together
	limitLeast = 2.0  // a limit stays above so many small requests: answers tell of recovery

	shedAim, shedSteep = 0.38, 3.0 // above this part of their aim reads stay away by chance, 7 in 8 at twice it

	spareShare = 0.5 // reads spill to a primary under this part of its limit

	silentTimes, silentFew = 5.0, 2.0 // overdue by so many times what is usual is silence, more so with few out

	silentLeast = 60 * time.Millisecond
	failsMost   = 2 // so many broken connections with no answer between are no chance

	lostTimes, lostPassed = 5.0, 3 // out for so long, in as is usual there, while so many sent later came: lost

	lossyLeast, lossyBlend = 0.08, 0.02 // no chance where so many answers are lost, over about fifty attempts

	errsMost = 0.3 // a member that errs more often is the last to be used

	trialFirst, trialMost = 300 * time.Millisecond, time.Second // a suspect gets one trial, at doubling spans

	lateTimes, freshTry = 1.5, 0.6 // times the usual latency, this of the aim at most, must be left for a try

	rescueAt = 0.5 // a read out for this part of its aim may go elsewhere too

	retryEarn, retryMost = 0.2, 20.0 // further attempts after failures: for one in five requests, in bursts

	retryPause = 50 * time.Millisecond // a member that turned a request away isn't asked again for it before

	seekEvery, seekEach = 150 * time.Millisecond, 5 * time.Millisecond // between looks for a primary

	probeEach  = 10 * time.Millisecond // a member is probed by all fronts together once in this at most
	guessSpare = 2                     // attempts left for when it is known
	renewBy    = 0.25                  // a replica unheard of for the tightest bound is liked so much better

	toldFor = 2 * time.Second // a look that others' words led to must have ended

	askWait, askTimes = 30 * time.Millisecond, 2 // a read waits so long for a probe of its own, at most so often

	coldShare = 1.25 // of the stated multiple of what is usual for a member, as it can do more than that

	// credit at a cold member is kept for this part of FallTime, or of the first request, or so many mean gaps
	coldSave, coldFirst, coldGaps = 0.125, 0.5, 2.0

	sessionMost = 4096 // sessions a group whose commits are kept while a member may lack them

	goneKeep, logEvery = time.Minute, time.Second
)

// New returns a router for one front, or the first fault of cfg.
func New(cfg Config, seed uint64) (*Router, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	r := &Router{rng: rand.New(rand.NewPCG(seed, 0x656c646572)), now: never, floor: never,
		members: map[string]*member{}, groups: map[int64]*group{}, parts: [4]float64{1, 1, 1, 1},
		requests: map[uint64]*request{}, retries: retryMost,
		wakeAt: never, logAt: never, sweptAt: never, sweptAllAt: never, savedUntil: forever, askedAt: never}
	r.calls = DiscoveryPacer{Fronts: cfg.Fronts, Random: r.rng.Float64}
	r.tune(cfg)
	return r, nil
}

// Step takes the events of one moment in order and appends what must be done to out.
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

// wake keeps the sweep going, and brings it forward when a request comes to an idle front.
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

// note tells of a change, once a second also in words.
func (r *Router) note(c Change, g *group, member string) {
	a := Action{Kind: Notify, Change: c, Group: g.id, Member: member}
	if r.now >= r.logAt {
		r.logAt, a.Text = r.now+logEvery, a.words()
	}
	r.do(a)
}

func (r *Router) take(e *Event) {
	q := r.requests[e.Request]
	switch e.Kind {
	case ListFull, ListSaved, ListChange, ListError, DiscoveryUnreachable:
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
	case PeerReport:
		r.told(e)
	case BudgetShares:
		r.parts = e.BudgetShares
	}
}

// told takes what other gateways say of a member: it brings a look or trial forward, whose outcome counts.
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

// learnPosition keeps the newest position told: one ahead of the clock is impossible, one behind is old news.
func (r *Router) learnPosition(m *member, p Time) {
	if p >= m.pos && p <= r.now+clockSlack {
		m.pos, m.lag = p, r.now-p
	}
}

// learnRole keeps the newest evidence of a role. A group has one primary: newer evidence of one ends another.
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

// learnReport takes a report: its position is also the least age of its role.
func (r *Router) learnReport(m *member, p *Report) {
	if p.HasPosition && p.Position <= r.now+clockSlack {
		r.learnPosition(m, p.Position)
		r.learnRole(m, p.Role, p.Position)
	}
}

// forgetCommits drops commits that every member has for a common floor, which later members must reach too.
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
	if len(g.sessions) > sessionMost { // a member that stays behind must not keep them all
		least = r.now
	}
	for s, c := range g.sessions { // in any order: max and delete
		if c <= least {
			g.floor = max(g.floor, c)
			delete(g.sessions, s)
		}
	}
}

// Requests.

func (r *Router) arrive(e *Event) {
	var k *class
	if e.ClassDef != nil {
		k = r.classOf(e.ClassDef)
	} else {
		k = r.classes[e.Class]
	}
	q := &request{id: e.Request, class: k, group: r.groups[e.Group], session: e.Session, arrived: r.now,
		most: r.cfg.MaxAttempts, aim: r.now + k.LatencyTarget - e.Waited, deadline: r.now + e.Remaining, token: never,
		floor: never, luck: r.rng.Float64()}
	r.requests[q.id] = q
	r.open = append(r.open, q)
	r.retries = min(retryMost, r.retries+retryEarn)
	r.asked(k, !e.IsRetry)
	worth := k.Value * r.share(e.Tenant)
	if !e.IsRetry {
		k.longest = max(k.longest, e.Remaining+e.Waited)
	} else if e.Remaining+e.Waited < k.longest-clockSlack { // what the deadline leaves tells when it began
		q.aim -= max(0, k.Deadline-e.Remaining-e.Waited)
	}
	q.rank = worth / k.cost
	if q.group == nil || q.usefulUntil() <= r.now+sweepEvery {
		r.giveUp(q, forever)
		return
	}
	q.group.activeAt = r.now
	if e.MinPosition > 0 {
		q.floor = e.MinPosition
	}
	if c, ok := q.group.sessions[q.session]; ok {
		q.token = c
	} else if r.cfg.RemembersSessions {
		q.token = q.group.floor
	} else if e.HasToken {
		q.token = r.now - e.TokenAge + clockSlack/2
	}
}

// share books a request on its tenant and returns what part of its worth is left, in this front's traffic.
func (r *Router) share(tenant int) float64 {
	if tenant < 0 || tenant >= len(r.credit) {
		return 1
	}
	for i := range r.credit {
		r.credit[i] = min(retryMost, r.credit[i]+r.cfg.Tenants[i].Share*r.parts[TenantBudget])
	}
	if !r.spend(TenantBudget, r.credit[tenant] >= 1) {
		return max(r.cfg.OverShareFactor, 0.01)
	}
	r.credit[tenant]--
	return 1
}

// usefulUntil is when an answer stops being worth anything.
func (q *request) usefulUntil() Time {
	if q.class.LateValue > 0 {
		return q.deadline
	}
	return min(q.aim, q.deadline)
}

func (q *request) mayRefuse() bool {
	return q.class.Effect == Repeatable || q.out == 0 && !q.riskSet ||
		q.class.Effect == Keyed && q.class.KeyScope == ScopeAll
}

// giveUp ends a request with its final answer at once; refused, it may come back after so long.
func (r *Router) giveUp(q *request, after Time) {
	a := Action{Kind: Fail, Request: q.id}
	if q.mayRefuse() {
		a.Kind, a.RetryAfter = Refuse, min(after, r.cfg.MaxRetryAfter)
	}
	r.do(a)
	r.callOff(q)
	r.end(q)
}

// callOff cancels what a finished request still has out, so that members may drop it; writes are left to run.
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

// mayTry tells whether the class allows another attempt at m now.
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

// The ordinary path: token-or-bound test, SELF, primary as fallback.

// dispatch places what waits, highest worth for its work first.
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

// hopeless tells that all members left are doubtful, or cold and q has missed its chance there.
func (r *Router) hopeless(q *request) bool {
	return !slices.ContainsFunc(q.group.members, func(m *member) bool {
		return !r.barred(m) && (!r.cold(m) || r.coldRoom(m, q))
	})
}

// need is the log position that a replica must be known to have reached.
func (r *Router) need(q *request) Time {
	switch q.class.Consistency {
	case Bounded:
		return max(q.floor, r.now-q.class.Bound)
	case Session:
		return max(q.floor, q.token, cmp.Or(q.group.sessions[q.session], never), r.unheard(q)) // told while held
	case Fresh:
		return q.arrived
	}
	return q.floor
}

// unheard is until when a write of q's session that is out may have committed, its answer lost on the way.
func (r *Router) unheard(q *request) Time {
	known := r.now - r.cfg.AssumeCommittedAfter
	for _, m := range q.group.members {
		for _, a := range m.open {
			if a.q.class.Writes() && a.q.session == q.session && a.sent < known && known < r.now {
				return known
			}
		}
	}
	return never
}

// choose picks the member for the next attempt, or nil to hold the request.
func (r *Router) choose(q *request) *member {
	p := q.group.primary()
	if q.class.Consistency == Write {
		return r.writeTo(q, p)
	}
	need, qualified := r.need(q), false
	var best, ahead, errs *member
	var least, leastErrs float64
	// Exception: a long read that any replica may answer goes to the one furthest behind, at all fronts alike:
	// spread by SELF, long reads hold back all. It could harm where long reads are most of the work.
	long := q.class.Consistency == AnyData && q.class.cost > longTimes*r.leastCost()
	for _, m := range q.group.members {
		if m == p || !r.usable(m, q) {
			continue
		}
		if m.pos < need {
			if r.cfg.StaleReads != StaleReadAnswer && r.room(m, q, 1) && (ahead == nil || m.pos > ahead.pos) {
				ahead = m
			}
			continue
		}
		if !r.room(m, q, 1) {
			qualified = qualified || !r.cold(m) // a cold one without room is as good as none
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
		return ahead // stores check: the most advanced one first
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

// writeTo is p, or where it is not sound a member that may have become primary: else it turns the write away.
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

// spares tells whether m should take a read: where its answers or its role's come late some stay away.
func (r *Router) spares(m *member, q *request) bool {
	f := m.fade(r.now)
	return q.luck*math.Pow((f*m.strain+(1-f)*r.alike(m).strain)/shedAim, shedSteep) < 1
}

// score is SELF: the work outstanding there with this request's own. Own work is a part of the load only,
// so it is scaled by how much slower than usual the member's answers have been.
func (r *Router) score(m *member, q *request) float64 {
	s := (m.held() + q.class.cost) * m.slowness(r.now) * (1 + tieNoise*r.rng.Float64())
	if m.Zone != r.cfg.Zone {
		s *= zoneFactor
	}
	if k := q.class.Consistency; k == AnyData || k == Bounded { // answers renew what is known
		s *= 1 - renewBy*min(1, float64(r.now-m.pos-m.lag)/float64(r.freshFor))
	}
	if m.lag > behindTimes*r.freshFor { // it needs its cores to catch up
		s *= behindLoad
	}
	return s
}

func (r *Router) erred(m *member) { m.errors, m.erredAt = m.errors+blend*(1-m.errors), r.now }

// errs tells that m mostly errs. Errors come fast: SELF would send such a member all there is.
func (r *Router) errs(m *member) bool {
	return m.errors*min(1, float64(stretchFade)/float64(max(1, r.now-m.erredAt))) > errsMost
}

// slowness is the member's stretch, fading while nothing is heard.
func (m *member) slowness(now Time) float64 { return 1 + (m.stretch-1)*m.fade(now) }

// fade is what evidence of m still counts: less the longer nothing was learnt of it.
func (m *member) fade(now Time) float64 {
	return min(1, float64(stretchFade)/float64(max(1, now-m.learnt)))
}

func (r *Router) usable(m *member, q *request) bool {
	if r.barred(m) || q.away[m] > r.now || !r.mayTry(q, m) || r.tooLate(q, m) ||
		slices.ContainsFunc(q.attempts, func(a *attempt) bool { return !a.done && a.m == m }) {
		return false
	}
	if m.suspect { // a trial needs the time to be answered
		left := float64(q.usefulUntil() - r.now)
		return r.now >= m.trialAt && len(m.open) == 0 && left > freshTry*float64(q.class.LatencyTarget)
	}
	return true
}

// tooLate tells that m would most likely answer too late. What is not held is always worth a try.
func (r *Router) tooLate(q *request, m *member) bool {
	takes := min(lateTimes*q.class.cost*m.slowness(r.now), freshTry*float64(q.class.LatencyTarget))
	return float64(q.usefulUntil()-r.now) < takes
}

// room tells whether a member may take the request's work on top of what it holds, within part of its limit.
func (r *Router) room(m *member, q *request, part float64) bool {
	if r.cold(m) {
		return r.coldRoom(m, q)
	}
	if m.limit == 0 {
		return part == 1 || m.strain < strainAim*part
	}
	few := fewAtOnce / float64(r.cfg.Fronts) * q.class.cost // else small requests would keep large ones out
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
		MinPosition: r.need(q)}
	if k := &q.class.Class; k.Consistency == Bounded && m != q.group.primary() && r.cfg.StaleReads == StaleReadAnswer {
		act.WriteBy = m.pos + k.Bound // what is known of m does no longer
	} else if k.Effect == Keyed && q.riskSet {
		act.WriteBy = q.riskAt + k.KeyWindow // it may wait for a connection
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
		r.callOff(q) // the other copy
		r.end(q)
		return
	}
	if e.Result.MayHaveRun() && (!q.riskSet || a.sent < q.riskAt) {
		q.riskSet, q.riskAt, q.riskZone = true, a.sent, m.Zone
	}
	switch {
	case e.Result == Rejected: // it is for its client to mend
		r.do(Action{Kind: Fail, Request: q.id})
		r.end(q)
	case q.out == 0 && q.riskSet && q.class.Effect == Once:
		r.giveUp(q, forever)
	case e.Result == Stale || !e.Result.MayHaveRun(): // another member may do
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

// learnAnswer takes what an answer says of positions, roles and commits.
func (r *Router) learnAnswer(m *member, q *request, e *Event) {
	write := q.class.Writes() && (e.Result == Served || e.InDoubt)
	if s := q.group.sessions; write && e.HasPosition && r.cfg.RemembersSessions && q.session != "" {
		s[q.session] = max(s[q.session], e.Position)
	}
	if e.HasPosition && !write && e.Role == Replica {
		r.learnPosition(m, e.Position)
	}
	if e.Result == Misdirected && q.class.Consistency == Write { // whatever it says, it is no primary now
		r.learnRole(m, Replica, r.now)
	} else {
		r.learnRole(m, e.Role, r.now)
	}
	r.learnReport(m, &e.Report)
}

// Health.

// health books what an outcome tells of its member. Symptoms count, not names: an answer of any kind ends
// suspicion; a broken or impossible connection begins it; late answers raise stretch and strain.
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
	case Errored, Misdirected, Full, Rejected, Stale:
		if e.Result == Errored {
			r.erred(m)
		}
		m.heard, m.overdue, m.fails = r.now, forever, 0
		for _, o := range m.open {
			r.await(m, o)
		}
		if m.suspect {
			m.suspect, m.trialGap = false, trialFirst
			r.note(Recovered, m.group, m.ID)
		}
		if e.Result == Full {
			r.cutLimit(m)
		}
	case TimedOut, Cancelled: // it may run on: the member stays booked as long as that should take
		lost := r.lost(a)
		r.learnLoss(r.late(a))
		if lost { // it tells nothing of how busy the member is
			r.erred(m)
			break
		}
		r.observe(m, a, took)
		m.ghosts = append(m.ghosts, spent{r.now + Time(a.cost*m.stretch), a.cost})
	case Unreachable, Reset: // one broken connection of a member that answered a moment ago is no sign
		if e.Reused { // it may have been old: a new one will tell
			break
		}
		m.fails++
		if again := m.fails >= failsMost || m.suspect || m.heard < r.now-silentLeast; again &&
			(m.heard < a.sent || e.Result == Unreachable) {
			r.suspect(m, e.Result == Unreachable)
		}
	}
}

// late tells that the answer to a should long have come; later attempts have more patience.
func (r *Router) late(a *attempt) bool {
	usual := a.cost * a.m.quick * float64(a.no+1)
	return (a.passed >= lostPassed || r.lossy > lossyLeast) && float64(r.now-a.sent) > lostTimes*usual
}

// lost tells that it will not come: late answers that did come, or did not, have told how likely that is.
func (r *Router) lost(a *attempt) bool { return r.lossy > lossyLeast && r.late(a) }

// learnLoss takes how an attempt ended.
func (r *Router) learnLoss(lost bool) {
	r.lossy -= lossyBlend * r.lossy
	if lost {
		r.lossy += lossyBlend
	}
}

func (r *Router) observe(m *member, a *attempt, took float64) {
	k := a.q.class
	w := min(blendMost, max(blend, float64(r.now-m.learnt)/float64(blendTime)))
	m.stretch += w * (min(took/k.cost, stretchMax) - m.stretch)
	m.strain += w * (min(took/float64(k.LatencyTarget), 2) - m.strain)
	of := r.alike(m)
	w = min(blendMost, max(blend, float64(r.now-of.learnt)/float64(blendTime)))
	of.strain += w * (min(took/float64(k.LatencyTarget), 2) - of.strain)
	m.learnt, of.learnt = r.now, r.now
	if m.strain > strainAim {
		r.cutLimit(m)
	} else if m.limit > 0 && m.booked+a.cost >= m.limit/2 {
		m.limit += a.cost * a.cost / m.limit
	}
}

// cutLimit lowers the work a member may hold, at most once a round trip.
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

// suspect takes a member out until a trial answers; for silence, maybe the network's, at most half a group.
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
		m.overdue = r.now + silentLeast // looked at again then
		return
	}
	m.suspect, m.suspectAt, m.trialAt, m.overdue = true, r.now, r.now+m.trialGap, forever
	m.limit = limitLeast * r.leastCost()
	r.note(Suspected, m.group, m.ID)
}

// await notes by when m must be heard of for a, so that silence shows also when a is called off before.
func (r *Router) await(m *member, a *attempt) {
	m.overdue = min(m.overdue, r.now+r.patience(m, a.cost))
}

// patience is how long a silence is usual: longer with few attempts out, as one slow answer is poor evidence.
func (r *Router) patience(m *member, cost float64) Time {
	few := 1 + silentFew/float64(max(1, len(m.open)))
	return max(Time(silentTimes*few*cost*m.slowness(r.now)), silentLeast)
}

// Cold start.

func (r *Router) cold(m *member) bool {
	return m.Started != 0 && r.cfg.OverloadMultiple > 0 && r.now < m.Started+r.cfg.SlowStartTime
}

// coldRoom keeps to a cold member's budget: each front asks of one the cold part of what is usual, and what
// all send adds up. It comes with time and is not kept, so repeats, held requests or a group asked for more
// get no more. Where it is less than a request, each takes what there is as its chance, and chances add up.
func (r *Router) coldRoom(m *member, q *request) bool {
	p, sent := q.group.primary(), q.sentTo(m)
	if t, drawn := q.turns[m]; drawn && t.sent == sent { // an attempt uses its turn
		return t.yes
	} else if q.class.Writes() && m != p && !q.group.leaderless(p) { // hopeless asks too
		return false
	}
	part := r.cfg.SlowStartFraction + (1-r.cfg.SlowStartFraction)*float64(r.now-m.Started)/float64(max(r.cfg.SlowStartTime, 1))
	rate := r.usual() * part * r.cfg.OverloadMultiple * coldShare * r.parts[ColdBudget]
	m.ramp.add(r.now, rate, float64(r.cfg.OverloadTime))
	yes := m.ramp.turn(q.class.cost, !q.hasTurn())
	q.took(m, turn{sent, yes})
	return r.spend(ColdBudget, yes)
}

// The sweep: deadlines, silence, rescue, probing and asking.

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

// sweepList counts the members that are listed, and forgets members and groups that are not.
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
		if empty { // members that come under its number must still reach what was committed in it
			r.floor = max(r.floor, g.floor)
			delete(r.groups, g.id)
		}
		return empty
	})
}

// sweepRequest ends a request that no answer can serve any more, or has it tried elsewhere.
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

// rescue sends elsewhere what a member sits on: as a second copy if that is allowed, else called off first.
func (r *Router) rescue(q *request) {
	a := q.attempts[slices.IndexFunc(q.attempts, func(a *attempt) bool { return !a.done })]
	late := r.waits == 0 && r.now-a.sent > Time(rescueAt*float64(q.class.LatencyTarget))
	// a trial of a suspect must be left the time to be answered
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

// gather looks for a primary that something waits for.
func (r *Router) gather(g *group) {
	p := g.primary()
	if p == nil && !g.lost {
		g.lost = true
		r.note(PrimaryUnknown, g, "")
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

// ask probes the replica that SELF would take, where none qualifies, and tells whether to wait for it.
func (r *Router) ask(q *request, p *member, need Time) bool {
	if r.now-need < r.reportAge { // no report can tell of it yet
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
		s := r.score(m, q) * (1 + float64(m.lag)/float64(r.freshFor)) // the more advanced sooner
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

// probe asks m for its report, unless all fronts together might ask too often.
func (r *Router) probe(m *member) bool {
	if r.barred(m) || !r.spend(ProbeBudget, r.now-m.probedAt >= r.each(probeEach, ProbeBudget)) {
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
			r.suspect(m, e.Result == Unreachable) // it was looked at, and is silent here too
		}
		m.probeGap = min(2*m.probeGap, max(r.freshFor*3, time.Second))
		return
	}
	r.learnReport(m, &e.Report)
	if age := r.now - e.Report.Position; age < r.freshFor && e.Report.Role == Replica {
		r.reportAge += Time(blend * float64(age-r.reportAge))
	}
	m.probeGap = r.freshFor / 3
	if r.now-m.pos > r.freshFor { // too old to meet any bound: ask less often
		m.probeGap = min(r.freshFor*3, r.now-m.pos)
	}
}
