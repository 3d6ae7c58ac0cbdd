package decide

import (
	"math"
	"math/rand/v2"
	"time"
)

// Router decides for one front. See [New] and [Router.Step].
type Router struct {
	cfg                 Config
	rng                 *rand.Rand
	now                 Time
	out                 []Action
	members             map[string]*member
	groups              map[int64]*group
	order               []*group // in the order of their first listing
	requests            map[uint64]*request
	open                []*request        // those without a final answer, by arrival
	classes             []*class          // as in cfg
	known               map[string]*class // by name, with those of the former settings
	credit              []float64         // token bucket of each tenant, in requests within its share
	retries             float64           // token bucket of retries
	lossy               float64           // fraction of recent attempts whose answers were lost
	waits               int               // requests held by the last dispatch
	replicas, primaries alike             // averages over the members of a role, for members with few samples
	inList              float64           // number of listed members
	listedFor           float64           // integral of listedMembers over time in ns, decaying like firstTries
	requestAt           Time              // last arrival of a request
	floor               Time              // newest commit in groups that have been dropped
	parts               [4]float64        // usable share of each shared budget, 1 = an even share
	granted, denied     [4]float64        // uses of each shared budget since the last BudgetDemand
	freshFor            Time              // tightest bound of the classes
	seekGap             Time              // interval between checks of a member that may be primary
	reportAge           Time              // usual age of the positions that probes report

	calls      CallPace // schedules the calls to discovery
	wakeAt     Time     // next requested timer event
	sweptAt    Time     // last sweep of the active groups
	sweptAllAt Time     // last sweep of all groups
	logAt      Time     // earliest time of the next log text
	askAt      Time     // next call to discovery
	askedAt    Time     // last call that has no reply yet, distantPast = none
	savedUntil Time     // the saved list is used as it is until then; distantFuture once discovery answered, or failed
}

// class is a Class with what was learned of it. Requests hold it: its Class never changes.
type class struct {
	Class
	cost    float64 // execution time as SELF estimates it, in ns
	longest Time    // longest wait that a first try arrived with
	firsts  float64 // number of first tries, decaying over usualWorkWindow
}

// member is what this front knows of one member.
type member struct {
	Member
	group     *group
	left      Time // last sweep that found it listed or in use
	gone      bool // not listed any more
	suspect   bool // taken out of use until a half-open probe is answered
	pos       Time // last known log position; never extrapolated
	lag       Time // age of pos when it was reported
	role      Role
	roleAt    Time // time of the evidence of role
	open      []*attempt
	booked    float64 // estimated work outstanding from this front, in ns
	stretch   float64 // average of latency over cost
	strain    float64 // average of latency over latency target
	quick     float64 // average of latency over cost, of served attempts only
	limit     float64 // most work outstanding, in ns; 0 = no limit reached yet
	learnt    Time    // last sample in the averages
	cutAt     Time    // earliest time of the next cut of the limit
	heard     Time    // last answer to a request
	overdue   Time    // the member counts as silent if it doesn't answer by then
	trialAt   Time    // earliest time of the next half-open probe
	trialGap  Time    // delay until the one after it
	suspectAt Time    // since when, while suspect
	tookAt    Time    // last send of a request that it accepted; distantPast once it refused one as overloaded
	toldAt    Time    // last report of peers that it is silent
	probedAt  Time
	probeGap  Time    // shortest interval between probes for a read
	probing   bool    // a probe is outstanding
	fails     int     // connections broken or refused since its last answer
	errors    float64 // fraction of its answers that are errors
	erredAt   Time    // last error in that fraction
	ghosts    []spent // abandoned attempts that may still run
	ramp      ramp
}

// roleStats are averages over the members of one role.
type alike struct {
	strain float64
	learnt Time // last sample in it
}

func (r *Router) alike(m *member) *alike {
	if m.role == Primary {
		return &r.primaries
	}
	return &r.replicas
}

// orphan is the work of an attempt that ended without an answer and may still run at its member.
type spent struct {
	at   Time // presumed end
	cost float64
}

// group is a primary and its replicas.
type group struct {
	id       int64
	members  []*member
	sessions map[string]Time // last commit of each session seen by this front, while some member may lack it
	floor    Time            // newest commit dropped from sessionCommits: members not known to have it don't qualify
	wanted   Time            // last time that a request waited for a primary
	activeAt Time            // last request or outcome
	lost     bool            // PrimaryUnknown was notified
}

type request struct {
	id                     uint64
	class                  *class
	group                  *group
	session                string
	arrived, aim, deadline Time
	most                   int     // attempts allowed, 0 = no limit
	token                  Time    // position that a session read requires
	floor                  Time    // position that the request requires in any class, distantPast = none
	luck                   float64 // seeded random number in [0, 1), drawn once
	rank                   float64 // value per unit of work
	attempts               []*attempt
	asked                  int  // probes made for it
	out                    int  // outstanding attempts
	riskSet                bool // some attempt may have run, the first one sent at firstRunAt to firstRunZone
	riskAt                 Time
	riskZone               string
	ended, streaming       bool
	away                   map[*member]Time // members that refused it, and until when they are left out
	turns                  map[*member]turn // at members in slow start
}

type attempt struct {
	q         *request
	m         *member
	no        int
	sent      Time
	cost      float64
	passed    int  // answers of its member to attempts sent later
	done, off bool // ended; cancelled
}

// primary returns the member last known to be primary, nil if none.
func (g *group) primary() *member {
	for _, m := range g.members {
		if m.role == Primary && !m.gone {
			return m
		}
	}
	return nil
}

// leaderless reports that the group may have another primary than p, the one last known.
func (g *group) leaderless(p *member) bool { return p == nil || p.suspect || p.State == Draining }

// configure puts valid settings into force. Classes of the former settings are kept until the next change, as requests
// may still use them. What was learned of a class passes on to the next one of its name.
func (r *Router) tune(cfg Config) {
	before := r.classes
	r.cfg, r.classes, r.freshFor = cfg, nil, 0
	r.seekGap = max(seekEvery, seekEach*Time(cfg.Fronts))
	r.credit = append(r.credit, make([]float64, len(cfg.Tenants)-len(r.credit))...)
	known := map[string]*class{}
	for _, k := range before {
		known[k.Name] = k
	}
	for i := range cfg.Classes {
		c := &cfg.Classes[i]
		k := r.classOf(c)
		known[c.Name] = k
		r.classes = append(r.classes, k)
		if c.Consistency == Bounded && (r.freshFor == 0 || c.Bound < r.freshFor) {
			r.freshFor = c.Bound
		}
	}
	r.known = known
	if r.freshFor == 0 {
		r.freshFor = seekEvery * 2
	}
}

// classRecord returns the record of a class, a new one where there is none or it is of another class of that name.
func (r *Router) classOf(c *Class) *class {
	k := r.known[c.Name]
	switch {
	case k == nil:
		return &class{Class: *c, cost: costGuess * float64(c.Aim)}
	case k.Class == *c:
		return k
	}
	return &class{Class: *c, cost: k.cost, longest: k.longest, firsts: k.firsts}
}

// The usual work of a member, from which its slow-start budget follows, is an average over first tries only, as surges
// and retries are not usual.
const (
	usualSpan  = time.Minute // time constant of the average
	usualLeast = time.Second // shortest time it is taken over, for a front that has just started
	comesAgain = 0.9         // fraction of unserved requests that are retried where clients don't mark retries
)

// countArrival counts a request of k, a first try or a retry, in the usual work.
func (r *Router) asked(k *class, first bool) {
	if r.requestAt == 0 {
		r.requestAt = r.now
	}
	span := r.now - r.requestAt
	fade := math.Exp(-float64(span) / float64(usualSpan))
	for _, o := range r.classes {
		o.firsts *= fade
	}
	r.requestAt, r.listedFor = r.now, r.listedFor*fade+r.inList*float64(span)
	if first {
		k.firsts++
	}
}

// discountUnserved takes a request that ends without an answer out of the usual work, where a retry would count as
// another first try.
func (r *Router) unserved(q *request) {
	if !q.ended && !r.cfg.MarksRetry {
		q.class.firsts = max(0, q.class.firsts-comesAgain)
	}
}

// usualWork is the work of first tries on this front per member and unit of time, by the present costs.
func (r *Router) usual() float64 {
	work := 0.0
	for _, k := range r.classes {
		work += k.firsts * k.cost
	}
	return work / max(r.listedFor, max(r.inList, float64(len(r.members)), 1)*float64(usualLeast))
}

// admission is the decision on a request at a member in slow start. It holds while no further attempt is sent there.
type turn struct {
	sent int
	yes  bool
}

// sentTo returns the number of attempts of q at m.
func (q *request) sentTo(m *member) (n int) {
	for _, a := range q.attempts {
		if a.m == m {
			n++
		}
	}
	return n
}

// recordAdmission keeps the decision on q at m.
func (q *request) took(m *member, t turn) {
	if q.turns == nil {
		q.turns = map[*member]turn{}
	}
	q.turns[m] = t
}

// hasUnusedAdmission reports that some member admitted q and no attempt was sent there since.
func (q *request) hasTurn() bool {
	for m, t := range q.turns {
		if t.yes && t.sent == q.sentTo(m) {
			return true
		}
	}
	return false
}

// slowStart is this front's budget of work for a member in slow start: a token bucket in ns of work.
type ramp struct {
	started  Time // the member's start that this budget is for
	opened   Time // when this front learned of it
	at       Time // tokens have accrued up to then
	requests float64
	credit   float64 // tokens: work that may be sent
	chances  float64 // sum of the chances of requests with fewer tokens than their work; 1 admits one request
}

// begin starts a new budget for a new start of the member. The random initial sum keeps fronts from admitting together.
func (c *ramp) open(started, now Time, rng *rand.Rand) {
	if started > c.started {
		*c = ramp{started: started, opened: now, at: now, chances: rng.Float64()}
	}
}

// accrue adds the tokens up to now. Unused tokens expire: if kept, all fronts might use theirs at once.
func (c *ramp) add(now Time, rate, fall float64) {
	save := coldFirst * fall
	if c.requests > 0 {
		save = max(coldSave*fall, coldGaps*float64(now-c.opened)/c.requests)
	}
	c.credit = min(c.credit+rate*float64(now-c.at), rate*save)
	c.at = now
	c.requests++
}

// admit spends tokens on a chance for a request of the given cost and reports whether the chances add up to one
// admission. With may false the request is not admitted, and the sum is left to the next.
func (c *ramp) turn(cost float64, may bool) bool {
	chance := min(1, c.credit/max(cost, 1))
	c.credit -= chance * cost
	c.chances = min(c.chances+chance, 2)
	if !may || c.chances < 1 {
		return false
	}
	c.chances--
	return true
}

// leastCost returns the cost of the cheapest class.
func (r *Router) leastCost() float64 {
	c := r.classes[0].cost
	for _, k := range r.classes {
		c = min(c, k.cost)
	}
	return c
}

// heldWork is the work outstanding at m, with that of orphaned attempts.
func (m *member) held() float64 {
	w := m.booked
	for _, s := range m.ghosts {
		w += s.cost
	}
	return w
}

// emit adds an action to those that Step returns.
func (r *Router) do(a Action) { r.out = append(r.out, a) }

// countBudgetUse counts a use of a shared budget as granted or denied, and returns its argument yes.
func (r *Router) spend(part int, yes bool) bool {
	if yes {
		r.granted[part]++
	} else {
		r.denied[part]++
	}
	return yes
}

// fleetInterval is the interval between uses by this front of what all fronts together may use once per span.
func (r *Router) each(span Time, part int) Time {
	return Time(float64(span*Time(r.cfg.Fronts)) / r.parts[part])
}

// BudgetDemand returns how much of each shared budget was requested since the last call, in even shares: 1 is as much as
// an even share grants. Like Step it must not be called concurrently.
func (r *Router) Wanted() (w [4]float64) {
	for i := range w {
		if all := r.granted[i] + r.denied[i]; all > 0 {
			w[i] = r.parts[i] * min(all/max(r.granted[i], 0.5), 4)
			if r.denied[i] == 0 { // everything was granted: the share was enough
				w[i] = r.parts[i] / 2
			}
		}
	}
	r.granted, r.denied = [4]float64{}, [4]float64{}
	return w
}

// Sizes are the lengths of a Router's tables.
type Sizes struct {
	Members, Groups int
	Requests        int // without a final answer, or with an outstanding attempt
	Sessions        int // whose commits are kept, the most of any group
	Ghosts          int // ended without an answer and perhaps still running, the most of any member
	Attempts        int // outstanding at all members
}

// Sizes returns the lengths of the tables, to check that they stay bounded. Like Step it must not be called concurrently.
func (r *Router) Sizes() Sizes {
	s := Sizes{Members: len(r.members), Groups: max(len(r.groups), len(r.order)), Requests: max(len(r.requests), len(r.open))}
	for _, g := range r.order {
		s.Sessions = max(s.Sessions, len(g.sessions))
		for _, m := range g.members {
			s.Ghosts, s.Attempts = max(s.Ghosts, len(m.ghosts)), s.Attempts+len(m.open)
		}
	}
	return s
}

// MemberStatus is what a Router knows of a member from its answers.
type Known struct {
	Member   string
	Group    int64
	Zone     string
	Role     Role
	Position Time // last known log position, 0 = none
	Out      bool // suspect, listed as draining, or not listed any more
}

// Members lists the members by group, in the order in which the groups were first listed. Like Step it must not be called
// concurrently.
func (r *Router) Known() (all []Known) {
	for _, g := range r.order {
		for _, m := range g.members {
			all = append(all, Known{Member: m.ID, Group: g.id, Zone: m.Zone, Role: m.role, Position: max(m.pos, 0), Out: m.suspect || m.gone || m.State != Up})
		}
	}
	return all
}
