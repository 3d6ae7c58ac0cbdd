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
	order               []*group // by first listing
	requests            map[uint64]*request
	open                []*request        // owed a final answer, by arrival
	classes             []*class          // as in cfg
	known               map[string]*class // by name, with those of the settings before
	credit              []float64         // of each tenant, in requests inside its share
	retries             float64           // retry budget
	lossy               float64           // part of the attempts lately whose answers were lost
	waits               int               // requests held
	replicas, primaries alike             // what little is known of one is taken from
	inList              float64           // members in the list
	listedFor           float64           // and the sum over time, in ns, fading
	requestAt           Time              // last request
	floor               Time              // newest commit in a group that has been forgotten
	parts               [4]float64        // what may be used of each shared budget, 1 = this front's own part
	granted, denied     [4]float64        // of what was asked of them, see Wanted
	freshFor            Time              // tightest bound
	seekGap             Time              // between looks at a member that may be primary
	reportAge           Time              // usual age of the positions that probes bring

	calls                                              DiscoveryPacer // to discovery
	wakeAt, sweptAt, sweptAllAt, logAt, askAt, askedAt Time
	savedUntil                                         Time // the list of before a restart is used as it is; forever: discovery has answered since, or said that it can't
}

// class is a Class with its learned cost. Requests hold it: its Class never changes.
type class struct {
	Class
	cost    float64 // SELF's execution time, in ns
	longest Time    // longest wait a first try came with
	firsts  float64 // first tries, fading
}

// member is what this front knows of one member.
type member struct {
	Member
	group              *group
	left               Time // last sweep that found it listed
	gone, suspect      bool // out of the list; taken out until a trial answers
	pos                Time // last known log position; never extrapolated
	lag                Time // how far behind pos was when it was told
	role               Role
	roleAt             Time // age of that evidence
	open               []*attempt
	booked             float64 // estimated work outstanding from here
	stretch, strain    float64 // observed latency over cost, over aim
	quick              float64 // stretch of what was answered alone
	limit              float64 // most work booked; 0 = not met yet
	learnt             Time    // last sample in them
	cutAt, heard       Time    // when the limit may fall again; last answer to a request
	overdue            Time    // silent if not heard by then
	trialAt, trialGap  Time
	suspectAt          Time // since when, while suspect
	tookAt             Time // last send of a request that it took, never where it has turned one away since
	toldAt             Time // when others last said that it is silent
	probedAt, probeGap Time
	probing            bool    // a probe is out
	fails              int     // connections broken or refused since its last answer
	errors             float64 // part of its answers that are errors
	erredAt            Time    // last error in it
	ghosts             []spent // work called off that may still run, until then
	ramp               ramp
}

// alike is what members of the same role have in common.
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

type spent struct {
	at   Time
	cost float64
}

// group is a primary and its replicas.
type group struct {
	id       int64
	members  []*member
	sessions map[string]Time // last commit of each session seen here, while some member may lack it
	floor    Time            // newest commit dropped from sessions: members not known to have it don't qualify
	wanted   Time            // last time that something waited for a member
	activeAt Time            // last request or outcome
	lost     bool            // logged that the primary is unknown
}

type request struct {
	id                     uint64
	class                  *class
	group                  *group
	session                string
	arrived, aim, deadline Time
	most                   int     // attempts allowed, 0 = no limit
	token                  Time    // position that a session read needs
	floor                  Time    // position that any read of it needs, never = none
	luck                   float64 // seeded chance, drawn once
	rank                   float64 // worth for each unit of work
	attempts               []*attempt
	asked                  int  // probes made for it
	out                    int  // attempts still out
	riskSet                bool // some attempt may have run, the first sent at riskAt to riskZone
	riskAt                 Time
	riskZone               string
	ended, streaming       bool
	away                   map[*member]Time // members that turned it away, and until when they are left out
	turns                  map[*member]turn // at cold members
}

type attempt struct {
	q         *request
	m         *member
	no        int
	sent      Time
	cost      float64
	passed    int  // answers of its member to attempts sent later
	done, off bool // ended; called off
}

// primary is the member last known to be primary, nil if none.
func (g *group) primary() *member {
	for _, m := range g.members {
		if m.role == Primary && !m.gone {
			return m
		}
	}
	return nil
}

// leaderless tells that the group may well have another primary than p, the one last known.
func (g *group) leaderless(p *member) bool { return p == nil || p.suspect || p.State == Draining }

// tune takes settings that are valid. Classes of the settings before are known until the next, as fronts may still
// name them; what is known of a class is passed on to the next of its name.
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

// classOf is the record of a class, a new one where none is held or another class has its name.
func (r *Router) classOf(c *Class) *class {
	k := r.known[c.Name]
	switch {
	case k == nil:
		return &class{Class: *c, cost: costGuess * float64(c.LatencyTarget)}
	case k.Class == *c:
		return k
	}
	return &class{Class: *c, cost: k.cost, longest: k.longest, firsts: k.firsts}
}

// What a member usually gets is an average over so long, as surges and repeats are not usual, and over no less for
// fresh fronts. Where clients don't mark repeats, what isn't served mostly comes again, at a guess.
const (
	usualSpan, usualLeast = time.Minute, time.Second
	comesAgain            = 0.9
)

// asked counts a request of k towards what is usual.
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

// unserved takes back a request that ends without an answer, where it may come again as another first try.
func (r *Router) unserved(q *request) {
	if !q.ended && !r.cfg.ClientsMarkRetries {
		q.class.firsts = max(0, q.class.firsts-comesAgain)
	}
}

// usual is the work of first tries here for each member and time, as costs are known now.
func (r *Router) usual() float64 {
	work := 0.0
	for _, k := range r.classes {
		work += k.firsts * k.cost
	}
	return work / max(r.listedFor, max(r.inList, float64(len(r.members)), 1)*float64(usualLeast))
}

// turn is whether a request had its turn at a cold member, with so many attempts sent there before.
type turn struct {
	sent int
	yes  bool
}

// sentTo is the number of attempts of q at m.
func (q *request) sentTo(m *member) (n int) {
	for _, a := range q.attempts {
		if a.m == m {
			n++
		}
	}
	return n
}

func (q *request) took(m *member, t turn) {
	if q.turns == nil {
		q.turns = map[*member]turn{}
	}
	q.turns[m] = t
}

// hasTurn tells that q has a turn which it did not use.
func (q *request) hasTurn() bool {
	for m, t := range q.turns {
		if t.yes && t.sent == q.sentTo(m) {
			return true
		}
	}
	return false
}

// ramp is what this front may send a cold member: its slow start.
type ramp struct {
	started, opened, at Time // of this start of the member, when it was told, and up to the last request
	requests            float64
	credit              float64 // work that may be sent
	chances             float64 // of requests for which there was less than their work, up to a turn
}

// open begins anew when the member did. A seeded first rest keeps fronts from taking their turns together.
func (c *ramp) open(started, now Time, rng *rand.Rand) {
	if started > c.started {
		*c = ramp{started: started, opened: now, at: now, chances: rng.Float64()}
	}
}

// add brings the credit up to now. What is not used goes after a while: kept, all fronts might use it at once.
func (c *ramp) add(now Time, rate, fall float64) {
	save := coldFirst * fall
	if c.requests > 0 {
		save = max(coldSave*fall, coldGaps*float64(now-c.opened)/c.requests)
	}
	c.credit = min(c.credit+rate*float64(now-c.at), rate*save)
	c.at = now
	c.requests++
}

// turn takes the credit as a chance of a request, and tells whether chances have come to one of it; with may false
// it is left to the next.
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

// leastCost is the cost of the cheapest class.
func (r *Router) leastCost() float64 {
	c := r.classes[0].cost
	for _, k := range r.classes {
		c = min(c, k.cost)
	}
	return c
}

// held is the work booked at m, with what was called off there and may still run.
func (m *member) held() float64 {
	w := m.booked
	for _, s := range m.ghosts {
		w += s.cost
	}
	return w
}

func (r *Router) do(a Action) { r.out = append(r.out, a) }

// spend counts what was asked of a shared budget, and passes on whether it was granted.
func (r *Router) spend(part int, yes bool) bool {
	if yes {
		r.granted[part]++
	} else {
		r.denied[part]++
	}
	return yes
}

// each is the span between two uses by this front of what all fronts together may use once in span.
func (r *Router) each(span Time, part int) Time {
	return Time(float64(span*Time(r.cfg.Fronts)) / r.parts[part])
}

// BudgetDemand tells, for each shared budget, how much was asked of it since the last call, in what this front's own part
// grants: 1 is as much as it has. It is the owner's to call.
func (r *Router) BudgetDemand() (w [4]float64) {
	for i := range w {
		if all := r.granted[i] + r.denied[i]; all > 0 {
			w[i] = r.parts[i] * min(all/max(r.granted[i], 0.5), 4)
			if r.denied[i] == 0 { // all of it was granted: not more than the part was wanted
				w[i] = r.parts[i] / 2
			}
		}
	}
	r.granted, r.denied = [4]float64{}, [4]float64{}
	return w
}

// Sizes are the lengths of a Router's tables.
type Sizes struct {
	Members, Groups  int
	Requests         int // open, or with an attempt out
	Sessions         int // whose commits are kept, the most of any group
	OrphanedAttempts int // work called off that may still run, the most at any member
	Attempts         int // out, at all members
}

// Sizes tells how long the tables are, for those who watch that nothing grows. Like Step it is the owner's to call.
func (r *Router) Sizes() Sizes {
	s := Sizes{Members: len(r.members), Groups: max(len(r.groups), len(r.order)), Requests: max(len(r.requests), len(r.open))}
	for _, g := range r.order {
		s.Sessions = max(s.Sessions, len(g.sessions))
		for _, m := range g.members {
			s.OrphanedAttempts, s.Attempts = max(s.OrphanedAttempts, len(m.ghosts)), s.Attempts+len(m.open)
		}
	}
	return s
}

// MemberStatus is what a Router knows of a member by its answers, for those who report it.
type MemberStatus struct {
	Member      string
	Group       int64
	Zone        string
	Role        Role
	Position    Time // last known log position, 0 = none
	Unavailable bool // suspect, or listed as draining or gone
}

// Members lists members in the order of their groups. Like Step it is the owner's to call.
func (r *Router) Members() (all []MemberStatus) {
	for _, g := range r.order {
		for _, m := range g.members {
			all = append(all, MemberStatus{Member: m.ID, Group: g.id, Zone: m.Zone, Role: m.role, Position: max(m.pos, 0), Unavailable: m.suspect || m.gone || m.State != Up})
		}
	}
	return all
}
