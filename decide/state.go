package decide

import "math/rand/v2"

// Router decides for one front. See [New] and [Router.Step].
type Router struct {
	cfg                 Config
	rng                 *rand.Rand
	now                 Time
	out                 []Action
	members             map[string]*member
	groups              map[int64]*group
	groupOrder          []*group // in the order of their first listing
	requests            map[uint64]*request
	openRequests        []*request           // those without a final answer, by arrival
	classes             []*class             // as in cfg
	classesByName       map[string]*class    // by name, with those of the former settings
	tenantTokens        []float64            // token bucket of each tenant, in requests within its share
	retryTokens         float64              // token bucket of retries
	lossRate            float64              // fraction of recent attempts whose answers were lost
	heldRequests        int                  // requests held by the last dispatch
	replicas, primaries roleStats            // averages over the members of a role, for members with few samples
	listedMembers       float64              // number of listed members
	listedMemberTime    float64              // integral of listedMembers over time in ns, decaying like firstTries
	kindLoads           map[string]*kindLoad // by kind of member, see loadOfKind
	warmSweptAt         Time                 // last sweep of kindLoads
	arrivedAt           Time                 // last arrival of a request
	commitFloor         Time                 // newest commit in groups that have been dropped
	budgetShares        [4]float64           // usable share of each shared budget, 1 = an even share
	granted, denied     [4]float64           // uses of each shared budget since the last BudgetDemand
	tightestBound       Time                 // tightest bound of the classes
	primarySearchGap    Time                 // interval between checks of a member that may be primary
	reportAge           Time                 // usual age of the positions that probes report

	pacer       DiscoveryPacer // schedules the calls to discovery
	wakeAt      Time           // next requested timer event
	sweptAt     Time           // last sweep of the active groups
	sweptAllAt  Time           // last sweep of all groups
	nextLogAt   Time           // earliest time of the next log text
	watchAt     Time           // next call to discovery
	watchSentAt Time           // last call that has no reply yet, distantPast = none
	freshness   listFreshness  // until when the list may be used as it is
}

// class is a Class with what was learned of it. Requests hold it: its Class never changes.
type class struct {
	Class
	cost       float64 // execution time as SELF estimates it, in ns
	maxWait    Time    // longest wait that a first try arrived with
	firstTries float64 // number of first tries, decaying over usualWorkWindow
}

// member is what this front knows of one member.
type member struct {
	Member
	group           *group
	listedAt        Time // last sweep that found it listed or in use
	gone            bool // not listed any more
	suspect         bool // taken out of use until a half-open probe is answered
	position        Time // last known log position; never extrapolated
	lag             Time // age of pos when it was reported
	role            Role
	roleAt          Time // time of the evidence of role
	attempts        []*attempt
	outstandingWork float64 // estimated work outstanding from this front, in ns
	slowdown        float64 // average of latency over cost
	latencyRatio    float64 // average of latency over latency target
	servedSlowdown  float64 // average of latency over cost, of served attempts only
	limit           float64 // most work outstanding, in ns; 0 = no limit reached yet
	sampledAt       Time    // last sample in the averages
	nextCutAt       Time    // earliest time of the next cut of the limit
	answeredAt      Time    // last answer to a request
	silentAt        Time    // the member counts as silent if it doesn't answer by then
	halfOpenAt      Time    // earliest time of the next half-open probe
	halfOpenDelay   Time    // delay until the one after it
	suspectAt       Time    // since when, while suspect
	acceptedAt      Time    // last send of a request that it accepted
	peerReportAt    Time    // last report of peers that it is silent
	probedAt        Time
	probeGap        Time     // shortest interval between probes for a read
	probing         bool     // a probe is outstanding
	connFailures    int      // connections broken or refused since its last answer
	errorRate       float64  // fraction of its answers that are errors
	errorAt         Time     // last error in that fraction
	orphans         []orphan // abandoned attempts that may still run
	slowStart       slowStart
	warmLoad        warmLoad
}

// roleStats are averages over the members of one role.
type roleStats struct {
	latencyRatio float64
	sampledAt    Time // last sample in it
}

func (r *Router) roleStats(m *member) *roleStats {
	if m.role == Primary {
		return &r.primaries
	}
	return &r.replicas
}

// orphan is the work of an attempt that ended without an answer and may still run at its member.
type orphan struct {
	until Time // presumed end
	cost  float64
}

// group is a primary and its replicas.
type group struct {
	id             int64
	members        []*member
	sessions       map[string]Time // last commit of each session seen by this front, while some member may lack it
	commitFloor    Time            // newest commit dropped from sessions: members not known to have it don't qualify
	neededAt       Time            // last time that a request waited for a primary
	activeAt       Time            // last request or outcome
	primaryUnknown bool            // PrimaryUnknown was notified
}

type request struct {
	id                          uint64
	class                       *class
	group                       *group
	session                     string
	arrived, targetAt, deadline Time
	maxAttempts                 int     // attempts allowed, 0 = no limit
	sessionPosition             Time    // position that a session read requires
	minPosition                 Time    // position that the request requires in any class, distantPast = none
	chance                      float64 // seeded random number in [0, 1), drawn once
	rank                        float64 // value per unit of work
	attempts                    []*attempt
	probes                      int  // probes made for it
	outstanding                 int  // outstanding attempts
	mayHaveRun                  bool // some attempt may have run, the first one sent at firstRunAt to firstRunZone
	firstRunAt                  Time
	firstRunZone                string
	ended, streaming            bool
	firstByteAt                 Time                  // of a streamed answer
	avoidUntil                  map[*member]Time      // members that refused it, and until when they are left out
	admissions                  map[*member]admission // at members in slow start
}

type attempt struct {
	request         *request
	member          *member
	number          int
	sent            Time
	cost            float64
	overtaken       int  // answers of its member to attempts sent later
	done, cancelled bool // ended; cancelled
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
func (r *Router) configure(cfg Config) {
	before := r.classes
	r.cfg, r.classes, r.tightestBound = cfg, nil, 0
	r.primarySearchGap = max(primarySearchInterval, primarySearchPerFront*Time(cfg.Fronts))
	r.tenantTokens = append(r.tenantTokens, make([]float64, len(cfg.Tenants)-len(r.tenantTokens))...)
	known := map[string]*class{}
	for _, k := range before {
		known[k.Name] = k
	}
	for i := range cfg.Classes {
		c := &cfg.Classes[i]
		k := r.classRecord(c)
		known[c.Name] = k
		r.classes = append(r.classes, k)
		if c.Consistency == Bounded && (r.tightestBound == 0 || c.Bound < r.tightestBound) {
			r.tightestBound = c.Bound
		}
	}
	r.classesByName = known
	if r.tightestBound == 0 {
		r.tightestBound = primarySearchInterval * 2
	}
}

// classRecord returns the record of a class, a new one where there is none or it is of another class of that name.
func (r *Router) classRecord(c *Class) *class {
	k := r.classesByName[c.Name]
	switch {
	case k == nil:
		return &class{Class: *c, cost: initialCostFraction * float64(c.LatencyTarget)}
	case k.Class == *c:
		return k
	}
	return &class{Class: *c, cost: k.cost, maxWait: k.maxWait, firstTries: k.firstTries}
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
func (m *member) heldWork() float64 {
	w := m.outstandingWork
	for _, s := range m.orphans {
		w += s.cost
	}
	return w
}

// emit adds an action to those that Step returns.
func (r *Router) emit(a Action) { r.out = append(r.out, a) }

// countBudgetUse counts a use of a shared budget as granted or denied, and returns its argument yes.
func (r *Router) countBudgetUse(budget int, granted bool) bool {
	if granted {
		r.granted[budget]++
	} else {
		r.denied[budget]++
	}
	return granted
}

// fleetInterval is the interval between uses by this front of what all fronts together may use once per span.
func (r *Router) fleetInterval(span Time, budget int) Time {
	return Time(float64(span*Time(r.cfg.Fronts)) / r.budgetShares[budget])
}

// BudgetDemand returns how much of each shared budget was requested since the last call, in even shares: 1 is as much as
// an even share grants. Like Step it must not be called concurrently.
func (r *Router) BudgetDemand() (w [4]float64) {
	for i := range w {
		if all := r.granted[i] + r.denied[i]; all > 0 {
			w[i] = r.budgetShares[i] * min(all/max(r.granted[i], 0.5), 4)
			if r.denied[i] == 0 { // everything was granted: the share was enough
				w[i] = r.budgetShares[i] / 2
			}
		}
	}
	r.granted, r.denied = [4]float64{}, [4]float64{}
	return w
}

// Sizes are the lengths of a Router's tables.
type Sizes struct {
	Members, Groups  int
	Requests         int // without a final answer, or with an outstanding attempt
	Sessions         int // whose commits are kept, the most of any group
	OrphanedAttempts int // ended without an answer and perhaps still running, the most of any member
	Attempts         int // outstanding at all members
}

// Sizes returns the lengths of the tables, to check that they stay bounded. Like Step it must not be called concurrently.
func (r *Router) Sizes() Sizes {
	s := Sizes{Members: len(r.members), Groups: max(len(r.groups), len(r.groupOrder)), Requests: max(len(r.requests), len(r.openRequests))}
	for _, g := range r.groupOrder {
		s.Sessions = max(s.Sessions, len(g.sessions))
		for _, m := range g.members {
			s.OrphanedAttempts, s.Attempts = max(s.OrphanedAttempts, len(m.orphans)), s.Attempts+len(m.attempts)
		}
	}
	return s
}

// MemberStatus is what a Router knows of a member from its answers.
type MemberStatus struct {
	Member      string
	Group       int64
	Zone        string
	Role        Role
	Position    Time // last known log position, 0 = none
	Unavailable bool // suspect, listed as draining, or not listed any more
}

// Members lists the members by group, in the order in which the groups were first listed. Like Step it must not be called
// concurrently.
func (r *Router) Members() (all []MemberStatus) {
	for _, g := range r.groupOrder {
		for _, m := range g.members {
			all = append(all, MemberStatus{Member: m.ID, Group: g.id, Zone: m.Zone, Role: m.role, Position: max(m.position, 0), Unavailable: m.suspect || m.gone || m.State != Up})
		}
	}
	return all
}
