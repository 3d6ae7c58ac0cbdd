package decide

import (
	"math"
	"math/rand/v2"
	"time"
)

// Slow start: a member that has just started gets no more than a budget of work, which grows with its capacity.

// Parameters of the budget.
const (
	slowStartHeadroom = 1.25 // factor on the usual work, as members can take more than it

	tokenLifetimeFraction      = 0.125 // unused slow-start tokens are kept for this fraction of OverloadTime,
	firstTokenLifetimeFraction = 0.5   // for this fraction of it up to the first request,
	tokenLifetimeGaps          = 2.0   // or for this many mean gaps between requests, whichever is longer
)

// inSlowStart reports that m started less than SlowStartTime ago, where the settings ask for a slow
// start.
func (r *Router) inSlowStart(m *member) bool {
	return m.Started != 0 && r.cfg.OverloadMultiple > 0 && r.now < m.Started+r.cfg.SlowStartTime
}

// slowStartAdmits keeps to the budget of a member in slow start: each front sends it the present fraction
// of what members of its kind bear, so that the sum over all fronts is bounded. Tokens accrue with time and expire, so
// retries, held requests or a surge in one group get no more. Where there is less than a request's work,
// that is its chance; chances add up.
func (r *Router) slowStartAdmits(m *member, q *request) bool {
	p, sent := q.group.primary(), q.sentTo(m)
	if t, drawn := q.admissions[m]; drawn && t.attemptsBefore == sent { // an attempt uses up its admission
		return t.admitted
	} else if q.class.Writes() && m != p && !q.group.leaderless(p) { // infeasible calls this too
		return false
	}
	fraction := r.cfg.SlowStartFraction +
		(1-r.cfg.SlowStartFraction)*float64(r.now-m.Started)/float64(max(r.cfg.SlowStartTime, 1))
	rate := r.warmWork(m) * fraction * r.cfg.OverloadMultiple * r.budgetShares[SlowStartBudget]
	m.slowStart.accrue(r.now, rate, float64(r.cfg.OverloadTime))
	admitted := m.slowStart.admit(q.class.cost, !q.hasUnusedAdmission())
	q.recordAdmission(m, admission{sent, admitted})
	return r.countBudgetUse(SlowStartBudget, admitted)
}

// The usual work of a member, from which its slow-start budget follows, is an average over first tries only, as surges
// and retries are not usual.
const (
	usualWorkWindow       = time.Minute // time constant of the average
	minUsualWorkWindow    = time.Second // shortest time it is taken over, for a front that has just started
	unmarkedRetryFraction = 0.9         // fraction of unserved requests that are retried where clients don't mark retries
)

// countArrival counts a request of k, a first try or a retry, in the usual work.
func (r *Router) countArrival(k *class, first bool) {
	if r.arrivedAt == 0 {
		r.arrivedAt = r.now
	}
	span := r.now - r.arrivedAt
	fade := math.Exp(-float64(span) / float64(usualWorkWindow))
	for _, o := range r.classes {
		o.firstTries *= fade
	}
	r.arrivedAt, r.listedMemberTime = r.now, r.listedMemberTime*fade+r.listedMembers*float64(span)
	if first {
		k.firstTries++
	}
}

// discountUnserved takes a request that ends without an answer out of the usual work, where a retry would count as
// another first try.
func (r *Router) discountUnserved(q *request) {
	if !q.ended && !r.cfg.ClientsMarkRetries {
		q.class.firstTries = max(0, q.class.firstTries-unmarkedRetryFraction)
	}
}

// usualWork is the work of first tries on this front per member and unit of time, by the present costs.
func (r *Router) usualWork() float64 {
	work := 0.0
	for _, k := range r.classes {
		work += k.firstTries * k.cost
	}
	return work / max(r.listedMemberTime, max(r.listedMembers, float64(len(r.members)), 1)*float64(minUsualWorkWindow))
}

// admission is the decision on a request at a member in slow start. It holds while no further attempt is sent there.
type admission struct {
	attemptsBefore int
	admitted       bool
}

// sentTo returns the number of attempts of q at m.
func (q *request) sentTo(m *member) (n int) {
	for _, a := range q.attempts {
		if a.member == m {
			n++
		}
	}
	return n
}

// recordAdmission keeps the decision on q at m.
func (q *request) recordAdmission(m *member, t admission) {
	if q.admissions == nil {
		q.admissions = map[*member]admission{}
	}
	q.admissions[m] = t
}

// hasUnusedAdmission reports that some member admitted q and no attempt was sent there since.
func (q *request) hasUnusedAdmission() bool {
	for m, t := range q.admissions {
		if t.admitted && t.attemptsBefore == q.sentTo(m) {
			return true
		}
	}
	return false
}

// slowStart is this front's budget of work for a member in slow start: a token bucket in ns of work.
type slowStart struct {
	started   Time // the member's start that this budget is for
	learnedAt Time // when this front learned of it
	accruedAt Time // tokens have accrued up to then
	requests  float64
	tokens    float64 // work that may be sent
	chanceSum float64 // sum of the chances of requests with fewer tokens than their work; 1 admits one request
}

// begin starts a new budget for a new start of the member. The random initial sum keeps fronts from admitting together.
func (c *slowStart) begin(started, now Time, rng *rand.Rand) {
	if started > c.started {
		*c = slowStart{started: started, learnedAt: now, accruedAt: now, chanceSum: rng.Float64()}
	}
}

// accrue adds the tokens up to now. Unused tokens expire: if kept, all fronts might use theirs at once.
func (c *slowStart) accrue(now Time, rate, overloadTime float64) {
	lifetime := firstTokenLifetimeFraction * overloadTime
	if c.requests > 0 {
		lifetime = max(tokenLifetimeFraction*overloadTime, tokenLifetimeGaps*float64(now-c.learnedAt)/c.requests)
	}
	c.tokens = min(c.tokens+rate*float64(now-c.accruedAt), rate*lifetime)
	c.accruedAt = now
	c.requests++
}

// admit spends tokens on a chance for a request of the given cost and reports whether the chances add up to one
// admission. With may false the request is not admitted, and the sum is left to the next.
func (c *slowStart) admit(cost float64, allowed bool) bool {
	chance := min(1, c.tokens/max(cost, 1))
	c.tokens -= chance * cost
	c.chanceSum = min(c.chanceSum+chance, 2)
	if !allowed || c.chanceSum < 1 {
		return false
	}
	c.chanceSum--
	return true
}
