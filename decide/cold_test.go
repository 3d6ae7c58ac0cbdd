package decide

import (
	"cmp"
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A simulated fleet of routers and their members, in virtual time: routers with uneven traffic, groups with uneven demand,
// members that crash or are replaced and come back in slow start, late lists, and clients that retry.

const warmUpTime = 8 * time.Second // from the start to the faults; costs are partly learned by then

// slowStartScenario is one randomly drawn scenario.
type slowStartScenario struct {
	routers, groups, groupSize int // each: members per group
	rate                       float64
	span                       Time
	fault                      string // "one", "group", "primary", "third", "renewed"
	marksRetries               bool   // clients mark their retries
	seed                       uint64
	slowSpeed                  float64 // speed of the second member of each group as a multiple of the others' speed; 0: all are alike
	tellsKind                  bool    // the list tells which members are slow
	allRestart                 bool    // all routers restart at the faults, not a third of them around the faults
}

func (d slowStartScenario) String() string {
	return fmt.Sprintf("%d routers, %s, marked %v, seed %d", d.routers, d.fault, d.marksRetries, d.seed)
}

type simEvent struct {
	at  Time
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// simMember is a simulated member: an answer takes its class's cost, or longer where the queue is long. It completes
// capacity work per second, or the fraction of it that it has in slow start.
type simMember struct {
	id        string
	group     int
	primary   bool
	up        bool
	capacity  float64
	slow      bool
	started   Time
	free      Time // when its queue is worked off
	life      int
	window    []sentWork // of the last OverloadTime
	sentKnown float64    // work sent in slow start by routers that knew of it
	allowed   float64    // work allowed since all routers knew
	allKnowAt Time
	worst     float64 // largest excess over N + 2, in square roots of N
	used      float64 // work sent since all routers knew
}

type sentWork struct {
	at    Time
	work  float64
	known bool
}

type simRouter struct {
	r       *Router
	n       int
	life    int
	rate    float64
	list    map[string]Member // as the router knows it
	started map[string]Time   // the start that the router knows of each
	wakeAt  Time
	calls   map[uint64]*clientCall
	out     []Action
}

type clientCall struct {
	class    int
	group    int
	session  string
	deadline Time
	tries    int
	sent     map[int]*simMember
}

type fleetSim struct {
	slowStartScenario
	cfg         Config
	rng         *rand.Rand
	now         Time
	events      simQueue
	seq         int
	ids         uint64
	fronts      []*simRouter
	members     []*simMember
	byID        map[string]*simMember
	demand      []float64 // of each group, summing to 1
	mean        float64   // work of a mean request, ns
	burst       float64
	faultsUntil Time // no crashes from then on
	served      int
	refused     int
	asked       int
	worst       float64
	worstAt     string
	used        float64
	allowed     float64
}

// The cost of a request of each class of testConfig: reads and writes differ.
var classCosts = []Time{anyRead: 12 * ms, bounded: 12 * ms, session: 10 * ms, fresh: 15 * ms, once: 30 * ms, keyed: 25 * ms}

func newFleetSim(d slowStartScenario) *fleetSim {
	cfg := testConfig()
	cfg.Fronts, cfg.SlowStartFraction, cfg.SlowStartTime, cfg.OverloadMultiple, cfg.OverloadTime = d.routers, 0.24, 12*time.Second, 2.5, time.Second
	cfg.ClientsMarkRetries, cfg.MayDuplicate = d.marksRetries, false
	s := &fleetSim{slowStartScenario: d, cfg: cfg, rng: rand.New(rand.NewPCG(d.seed, uint64(d.routers))), now: time.Hour, burst: 1, worst: math.Inf(-1),
		byID: map[string]*simMember{}}
	for range 1000 {
		s.mean += float64(classCosts[s.class()]) / 1000
	}
	all := 0.0
	for range d.groups {
		w := min(math.Exp(0.4*s.rng.NormFloat64()), 2)
		s.demand = append(s.demand, w)
		all += w
	}
	for i := range s.demand {
		s.demand[i] /= all
	}
	load := d.rate * float64(d.routers) * s.mean / float64(d.groups*d.groupSize) // per member, ns per second
	used := 0.5 + 0.4*s.rng.Float64()                                            // of the members' capacity
	meanSpeed := 1.0
	if d.slowSpeed > 0 {
		meanSpeed -= (1 - d.slowSpeed) / float64(d.groupSize)
	}
	for g := range d.groups {
		for j := range d.groupSize {
			m := &simMember{id: fmt.Sprintf("g%d-%d", g, j), group: g, primary: j == 0, up: true, capacity: load / used / meanSpeed}
			if d.slowSpeed > 0 && j == 1 {
				m.slow, m.capacity = true, m.capacity*d.slowSpeed
			}
			s.add(m)
		}
	}
	all = 0
	for n := range d.routers {
		f := &simRouter{n: n, rate: math.Exp(0.8 * s.rng.NormFloat64())}
		all += f.rate
		s.fronts = append(s.fronts, f)
	}
	for _, f := range s.fronts {
		f.rate *= d.rate * float64(d.routers) / all
		f.list, f.started = map[string]Member{}, map[string]Time{}
		for _, m := range s.members {
			f.list[m.id] = s.entry(m)
		}
		s.boot(f)
		s.arrivals(f)
	}
	return s
}

func (s *fleetSim) class() int {
	switch u := s.rng.IntN(20); {
	case u < 4:
		return anyRead
	case u < 8:
		return bounded
	case u < 14:
		return session
	case u < 15:
		return fresh
	case u < 18:
		return anyRead
	case u < 19:
		return once
	}
	return keyed
}

func (s *fleetSim) entry(m *simMember) Member {
	l := Member{ID: m.id, Group: int64(m.group), Zone: "a", Primary: m.primary, Started: m.started}
	if m.slow && s.tellsKind {
		l.Kind = "slow"
	}
	return l
}

func (s *fleetSim) later(d Time, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, do})
}

// boot restarts a router: it has its last list, and has learned nothing.
func (s *fleetSim) boot(f *simRouter) {
	cfg := s.cfg
	cfg.Self = f.n
	r, err := New(cfg, s.rng.Uint64())
	if err != nil {
		panic(err)
	}
	f.r, f.life, f.wakeAt, f.calls = r, f.life+1, 0, map[uint64]*clientCall{}
	var list []Member
	for _, m := range f.list {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	s.step(f, Event{Kind: ListSaved, Members: list})
}

func (s *fleetSim) arrivals(f *simRouter) {
	s.later(Time(s.rng.ExpFloat64()/(f.rate*s.burst)*float64(time.Second)), func() {
		g, u := 0, s.rng.Float64()
		for ; g < len(s.demand)-1 && u >= s.demand[g]; g++ {
			u -= s.demand[g]
		}
		k := s.class()
		c := &clientCall{class: k, group: g, deadline: s.now + s.cfg.Classes[k].Deadline,
			session: fmt.Sprint("s", f.n, s.rng.IntN(40))}
		if s.now > time.Hour+warmUpTime {
			s.asked++
		}
		s.call(f, c)
		s.arrivals(f)
	})
}

func (s *fleetSim) call(f *simRouter, c *clientCall) {
	s.ids++
	c.sent = map[int]*simMember{}
	f.calls[s.ids] = c
	s.step(f, Event{Kind: Arrive, Request: s.ids, Class: c.class, Tenant: -1, Group: int64(c.group), Session: c.session,
		IsRetry: c.tries > 0 && s.marksRetries, Remaining: c.deadline - s.now})
}

// retry is a client's retry of a request that was not served, after the delay d.
func (s *fleetSim) retry(f *simRouter, c *clientCall, d Time) {
	if d += Time(s.rng.Float64() * float64(20*ms)); c.tries < 6 && s.now+d < c.deadline-50*ms {
		c.tries++
		s.later(d, func() { s.call(f, c) })
	}
}

func (s *fleetSim) step(f *simRouter, e Event) {
	f.out = f.r.Step(s.now, []Event{e}, f.out[:0])
	for _, a := range slices.Clone(f.out) {
		s.act(f, a)
	}
}

func (s *fleetSim) act(f *simRouter, a Action) {
	life := f.life
	c := f.calls[a.Request]
	soon := func(d Time, e Event) {
		s.later(d, func() {
			if f.life == life {
				s.step(f, e)
			}
		})
	}
	switch a.Kind {
	case Wake:
		if f.wakeAt = a.At; a.At > s.now {
			s.later(a.At-s.now, func() {
				if f.life == life && f.wakeAt == a.At {
					s.step(f, Event{Kind: Timer})
				}
			})
		}
	case Send:
		no := len(c.sent)
		m := s.byID[a.Member]
		c.sent[no] = m
		e := Event{Kind: Outcome, Request: a.Request, Attempt: no, Member: a.Member}
		d := s.send(f, m, c, &e)
		if a.Timeout > 0 && d > a.Timeout {
			d, e = a.Timeout, Event{Kind: Outcome, Request: a.Request, Attempt: no, Member: a.Member, Result: TimedOut}
		}
		if e.Result == Served && s.now > time.Hour+warmUpTime {
			s.served++
		}
		soon(d, e)
	case Cancel:
		soon(0, Event{Kind: Outcome, Request: a.Request, Attempt: a.Attempt, Member: c.sent[a.Attempt].id, Result: Cancelled})
	case Refuse:
		s.refused++
		s.retry(f, c, min(a.RetryAfter, 300*ms))
	case Fail:
		if s.rng.IntN(2) == 0 {
			s.retry(f, c, 50*ms)
		}
	case Probe:
		m := s.byID[a.Member]
		e := Event{Kind: Probed, Member: a.Member, Result: Unreachable}
		if m.up {
			e = Event{Kind: Probed, Member: a.Member, Report: Report{HasPosition: true, Position: s.position(m), HasRole: true, Role: m.role()}}
		}
		soon(3*ms, e)
	}
}

func (m *simMember) role() Role {
	if m.primary {
		return Primary
	}
	return Replica
}

func (s *fleetSim) position(m *simMember) Time {
	if m.primary {
		return s.now
	}
	return s.now - 15*ms
}

func (s *fleetSim) add(m *simMember) {
	s.members = append(s.members, m)
	s.byID[m.id] = m
}

// capacityFraction is the fraction of its full capacity that m has now.
func (s *fleetSim) capacityFraction(m *simMember) float64 {
	if m.started == 0 || s.now >= m.started+s.cfg.SlowStartTime {
		return 1
	}
	return s.cfg.SlowStartFraction + (1-s.cfg.SlowStartFraction)*float64(s.now-m.started)/float64(s.cfg.SlowStartTime)
}

// send simulates an attempt at m and returns how long it takes.
func (s *fleetSim) send(f *simRouter, m *simMember, c *clientCall, e *Event) Time {
	if !m.up {
		e.Result = Unreachable
		return ms
	}
	work := float64(classCosts[c.class])
	s.count(f, m, work)
	if s.cfg.Classes[c.class].Writes() && !m.primary {
		e.Result, e.Role = Misdirected, Replica
		return ms
	}
	m.free = max(m.free, s.now)
	if m.free-s.now > 800*ms {
		e.Result = Full
		return ms
	}
	m.free += Time(work / (m.capacity * s.capacityFraction(m)) * float64(time.Second))
	e.Result, e.Ended, e.Role, e.HasPosition, e.Position = Served, true, m.role(), true, s.position(m)
	return max(m.free-s.now, Time(work*(0.9+0.2*s.rng.Float64())))
}

// count compares the work sent to a member in slow start in the last OverloadTime with what the settings allow.
func (s *fleetSim) count(f *simRouter, m *simMember, work float64) {
	part := s.capacityFraction(m)
	if part == 1 {
		m.window = nil
		return
	}
	told := f.started[m.id] == m.started
	m.window = append(m.window, sentWork{s.now, work / s.mean, told})
	for len(m.window) > 0 && m.window[0].at <= s.now-s.cfg.OverloadTime {
		m.window = m.window[1:]
	}
	n := s.cfg.OverloadMultiple * m.capacity * part * s.cfg.OverloadTime.Seconds() / s.mean
	sum := 0.0
	for _, w := range m.window {
		if w.known {
			sum += w.work
		}
	}
	if x := (sum - n - 2) / math.Sqrt(n); x > s.worst {
		s.worst, s.worstAt = x, fmt.Sprintf("%s (primary %v) %.1f s after its start: %.1f, allowed %.1f", m.id, m.primary, (s.now-m.started).Seconds(), sum, n)
	}
	if told && part < scarceFraction {
		s.used += work / s.mean
	}
}

// announce sends m's present list entry to every router, after a random delay each.
func (s *fleetSim) announce(m *simMember, state MemberState) {
	l := s.entry(m)
	l.State = state
	for _, f := range s.fronts {
		d := 200*ms + Time(s.rng.Float64()*3.8*float64(time.Second))
		m.allKnowAt = max(m.allKnowAt, s.now+d)
		s.later(d, func() {
			if old, ok := f.list[m.id]; ok && old.Started > l.Started || ok && old.Started == l.Started && old.State != Up && state == Up {
				return
			}
			f.list[m.id], f.started[m.id] = l, l.Started
			s.step(f, Event{Kind: ListChange, Members: []Member{l}})
		})
	}
}

func (s *fleetSim) crash(m *simMember, down Time) {
	m.up = false
	gone := s.rng.IntN(2) == 0
	if gone {
		s.announce(m, Removed)
	}
	s.later(down, func() {
		m.up, m.started, m.free, m.window, m.allKnowAt = true, s.now, s.now, nil, 0
		s.announce(m, Up)
		s.addAllowed(m)
	})
}

// replace removes m from the list, then stops it, and starts a new member in its place.
func (s *fleetSim) replace(m *simMember) {
	l := *m
	s.announce(m, Removed)
	s.later(5*time.Second, func() { m.up = false })
	n := &simMember{id: l.id + "x", group: l.group, up: true, capacity: l.capacity, slow: l.slow, started: s.now, free: s.now, primary: l.primary}
	m.primary = false
	s.add(n)
	s.announce(n, Up)
	s.addAllowed(n)
}

// scarceFraction is the fraction of its capacity up to which a member's slow-start budget is below the demand.
const scarceFraction = 0.5

// addAllowed adds up the work that m's budget allowed to routers that knew of its start, while the budget was scarce.
func (s *fleetSim) addAllowed(m *simMember) {
	const tick = 100 * ms
	s.later(tick, func() {
		if part := s.capacityFraction(m); part < 1 && m.up {
			for _, f := range s.fronts {
				if f.started[m.id] == m.started && part < scarceFraction {
					s.allowed += s.cfg.OverloadMultiple * m.capacity * part * tick.Seconds() / s.mean * f.rate / s.rate / float64(s.routers)
				}
			}
			s.addAllowed(m)
		}
	})
}

func (s *fleetSim) injectFaults() {
	var hit []*simMember
	g := s.rng.IntN(s.groups)
	for _, m := range s.members {
		switch s.fault {
		case "one":
			if m.group == g && !m.primary && len(hit) == 0 {
				hit = append(hit, m)
			}
		case "primary":
			if m.group == g && m.primary {
				hit = append(hit, m)
			}
		case "group":
			if m.group == g {
				hit = append(hit, m)
			}
		default:
			if s.rng.IntN(3) == 0 || s.fault == "renewed" && s.rng.IntN(2) == 0 {
				hit = append(hit, m)
			}
		}
	}
	if len(hit) == 0 {
		hit = s.members[:1]
	}
	for _, m := range hit {
		if s.fault == "renewed" {
			s.later(Time(s.rng.Float64()*6*float64(time.Second)), func() { s.replace(m) })
		} else {
			s.crash(m, time.Second+Time(s.rng.Float64()*3*float64(time.Second)))
		}
	}
}

func (s *fleetSim) run() {
	s.later(warmUpTime, s.injectFaults)
	for _, f := range s.fronts { // a third of the routers restart meanwhile
		if s.allRestart {
			s.later(warmUpTime+Time(s.rng.Float64()*2*float64(time.Second)), func() { s.boot(f) })
		} else if s.rng.IntN(3) == 0 {
			s.later(warmUpTime-2*time.Second+Time(s.rng.Float64()*12*float64(time.Second)), func() { s.boot(f) })
		}
	}
	s.later(warmUpTime+2*time.Second+Time(s.rng.Float64()*5*float64(time.Second)), func() {
		s.burst = 1.5
		s.later(3*time.Second, func() { s.burst = 1 })
	})
	for end := s.now + warmUpTime + s.span; len(s.events) > 0 && s.events[0].at < end; {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

// The requests that all routers which know of a member's start send it in slow start stay within N + 2 x root of N + 2 in
// any OverloadTime, where N is its allowed load, whatever the size of the fleet, the demand and the retries of clients.
func TestSlowStartOfFleet(t *testing.T) {
	for _, size := range []struct {
		routers, groups, each int
		rate                  float64
		span                  Time // from the faults on
	}{{1, 3, 3, 250, 12 * time.Second}, {6, 3, 3, 25, 15 * time.Second}, {20, 3, 4, 25, 15 * time.Second},
		{30, 4, 4, 25, 15 * time.Second}, {300, 12, 5, 10, 6 * time.Second}} {
		for i, what := range []string{"one", "primary", "group", "third", "renewed"} {
			if size.routers == 300 && i < 4 && *coldSeeds == 1 {
				continue
			}
			worst, used, could, served, asked := math.Inf(-1), 0.0, 0.0, 0, 0
			for n := range *coldSeeds {
				d := slowStartScenario{routers: size.routers, groups: size.groups, groupSize: size.each, rate: size.rate, span: size.span,
					fault: what, marksRetries: (n+i)%2 == 0, seed: uint64(100*n + i)}
				s := newFleetSim(d)
				s.run()
				worst, used, could = max(worst, s.worst), used+s.used, could+s.allowed
				served, asked = served+s.served, asked+s.asked
				if s.worst > 2 {
					t.Errorf("%v: %.2f roots of N beyond N + 2: %s", d, s.worst, s.worstAt)
				}
				if s.allowed == 0 || s.used == 0 {
					t.Errorf("%v: nothing sent to members in slow start", d)
				}
			}
			t.Logf("%d routers, %s: at most %.2f roots of N beyond N + 2, used %.2f of N, served %.3f", size.routers, what, worst, used/could,
				float64(served)/float64(asked))
		}
	}
}

// TestSlowStartOfUnequalMembers guards against a slow-start budget that takes all members to be alike: a slow one was sent more
// than it may get, by up to all that it is slower than others, also by routers that have just started and do not know its speed.
func TestSlowStartOfUnequalMembers(t *testing.T) {
	for _, size := range []struct {
		routers, groups, each int
		rate                  float64
		fault                 string
		tellsKind, allRestart bool
	}{{3, 3, 3, 270, "one", false, false}, {3, 3, 3, 270, "one", true, false}, {20, 3, 4, 80, "one", false, false}, {3, 3, 3, 270, "renewed", true, false},
		{3, 3, 3, 270, "renewed", false, false}, {3, 3, 3, 270, "one", true, true}, {20, 3, 4, 80, "renewed", false, true}} {
		t.Run(fmt.Sprintf("%d routers, %s, kind told %v, all restart %v", size.routers, size.fault, size.tellsKind, size.allRestart), func(t *testing.T) {
			t.Parallel()
			used := 0.0
			for seed := range uint64(4 * *coldSeeds) {
				s := newFleetSim(slowStartScenario{routers: size.routers, groups: size.groups, groupSize: size.each, rate: size.rate, span: 15 * time.Second,
					fault: size.fault, marksRetries: seed%2 == 0, seed: seed, slowSpeed: 0.56, tellsKind: size.tellsKind, allRestart: size.allRestart})
				s.run()
				used += s.used
				t.Logf("%v, kind told %v, all restart %v: %.2f roots of N beyond N + 2, used %.2f of N", s.slowStartScenario, size.tellsKind, size.allRestart, s.worst,
					s.used/s.allowed)
				if s.worst > 2 {
					t.Errorf("%v, kind told %v: %.2f roots of N beyond N + 2: %s", s.slowStartScenario, size.tellsKind, s.worst, s.worstAt)
				}
			}
			if used == 0 {
				t.Errorf("%d routers, %s: nothing sent to members in slow start", size.routers, size.fault)
			}
		})
	}
}

// coldSeeds is the number of scenarios per size and fault.
var coldSeeds = flag.Int("coldseeds", 1, "scenarios of TestSlowStartOfFleet per size and fault")

// Situations in which one front sent a member in slow start more than its budget, each with one cause: three groups of
// three members get 100 requests a second for 10 s; then some members restart, and the attempts sent to them in the next
// 2 s are counted.
func TestSlowStartAtOneFront(t *testing.T) {
	const usual = 100.0 / 9 // requests per second and member
	for _, c := range []struct {
		name        string
		cold        []string // members that restart then
		gone        []string // members that left the list a second before
		held        int      // writes of group 0 that arrived just before
		reads, rest int      // of group 0, and of the others, per second from then on
		writes      int      // of group 0
		again       bool     // clients retry refused requests
		unmarked    bool     // without marking the retries
		fresh       bool     // the front restarts too
		lull        Time     // time without requests before
		full        bool     // members in slow start refuse their attempts
	}{
		{name: "held writes", cold: []string{"00"}, gone: []string{"00"}, held: 60, reads: 25, rest: 60, writes: 5},
		{name: "a surge in one group", cold: []string{"01", "02"}, reads: 240, rest: 60, writes: 5},
		{name: "retries", cold: []string{"00", "01", "02"}, reads: 100, rest: 60, writes: 30, again: true},
		{name: "unmarked retries", cold: []string{"00", "01", "02"}, reads: 100, rest: 60, writes: 30, again: true, unmarked: true},
		{name: "reads and writes", cold: []string{"00", "01", "02"}, reads: 60, rest: 60, writes: 60},
		{name: "a short list", cold: []string{"01"}, gone: []string{"10", "11", "12", "20", "21", "22"}, reads: 90, writes: 5},
		{name: "a restarted front", cold: []string{"00", "01", "02"}, reads: 60, rest: 60, writes: 10, fresh: true},
		{name: "a restarted front, unmarked retries", cold: []string{"00", "01", "02"}, reads: 60, rest: 30, writes: 10, fresh: true, again: true, unmarked: true},
		{name: "after a lull", cold: []string{"01", "02"}, reads: 200, rest: 60, writes: 5, lull: 7 * time.Second},
		{name: "refused by members", cold: []string{"00", "01", "02"}, reads: 60, rest: 60, writes: 30, full: true, again: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newSingleRouterSim(t, c.full, c.again, !c.unmarked)
			for range 10 * 100 {
				p.advance(10 * ms)
				p.request(p.rng.Int64N(3), p.rng.IntN(6) == 0)
			}
			for _, id := range c.gone {
				p.list(Member{ID: id, Group: int64(id[0] - '0'), Primary: id[1] == '0', State: Removed})
			}
			p.advance(time.Second)
			for range c.held {
				p.request(0, true)
			}
			if c.fresh {
				p.boot()
			}
			for _, id := range c.cold {
				p.list(Member{ID: id, Group: int64(id[0] - '0'), Primary: id[1] == '0', Started: p.g.now})
			}
			p.advance(c.lull)
			p.sent = map[string]int{}
			for range 2 * 500 {
				p.advance(2 * ms)
				switch u := p.rng.IntN(500); {
				case u < c.reads:
					p.request(0, false)
				case u < c.reads+c.writes:
					p.request(0, true)
				case u < c.reads+c.writes+c.rest:
					p.request(1+p.rng.Int64N(2), p.rng.IntN(6) == 0)
				}
			}
			cfg := &p.g.r.cfg // as of the end, when most is allowed
			n := usual * cfg.OverloadMultiple * cfg.OverloadTime.Seconds() * (cfg.SlowStartFraction + (1-cfg.SlowStartFraction)*(2+c.lull.Seconds())/cfg.SlowStartTime.Seconds())
			all := 0
			for _, id := range c.cold {
				t.Logf("%s: %d sent, %.1f allowed", id, p.sent[id], n)
				all += p.sent[id]
				if float64(p.sent[id]) > n+2*math.Sqrt(n)+2 {
					t.Errorf("%s was sent %d, allowed %.1f", id, p.sent[id], n)
				}
			}
			if all == 0 {
				t.Error("nothing was sent")
			}
		})
	}
}

// singleRouterSim is one router with members that answer after 20 ms.
type singleRouterSim struct {
	g                              *routerTest
	rng                            *rand.Rand
	members                        map[string]Member
	sent                           map[string]int
	id                             uint64
	refuses, retries, marksRetries bool
	writes                         map[uint64]bool
	groups                         map[uint64]int64
	due                            []dueEvent
}

type dueEvent struct {
	at    Time
	e     Event
	group int64 // of a retry
	write bool
}

func newSingleRouterSim(t *testing.T, full, again, marked bool) *singleRouterSim {
	p := &singleRouterSim{g: &routerTest{t: t, now: time.Hour}, rng: rand.New(rand.NewPCG(5, 5)), members: map[string]Member{},
		sent: map[string]int{}, refuses: full, retries: again, marksRetries: marked,
		writes: map[uint64]bool{}, groups: map[uint64]int64{}}
	for n := range 9 {
		m := Member{ID: fmt.Sprintf("%d%d", n/3, n%3), Group: int64(n / 3), Zone: "a", Primary: n%3 == 0}
		p.members[m.ID] = m
	}
	p.boot()
	return p
}

// boot replaces the router by a new one.
func (p *singleRouterSim) boot() {
	cfg := testConfig()
	cfg.Fronts, cfg.ClientsMarkRetries = 1, p.marksRetries
	r, err := New(cfg, 9)
	if err != nil {
		p.g.t.Fatal(err)
	}
	var list []Member
	for n := range 9 {
		list = append(list, p.members[fmt.Sprintf("%d%d", n/3, n%3)])
	}
	p.g.r, p.due = r, nil
	p.g.step(Event{Kind: ListFull, Members: list})
}

func (p *singleRouterSim) list(m Member) {
	m.Zone = "a"
	p.members[m.ID] = m
	p.act(p.g.step(Event{Kind: ListChange, Members: []Member{m}}))
}

func (p *singleRouterSim) request(group int64, write bool) { p.try(group, write, false) }

func (p *singleRouterSim) try(group int64, write, again bool) {
	p.id++
	class := anyRead
	if write {
		class = keyed
	}
	p.writes[p.id], p.groups[p.id] = write, group
	p.act(p.g.step(Event{Kind: Arrive, Request: p.id, Class: class, Tenant: -1, Group: group, Session: "u", IsRetry: again && p.marksRetries, Remaining: 2 * time.Second}))
}

// advance advances the clock by d, and delivers the events that are due.
func (p *singleRouterSim) advance(d Time) {
	for end := p.g.now + d; p.g.now < end; {
		p.g.now += ms
		p.act(p.g.step(Event{Kind: Timer}))
		for len(p.due) > 0 && p.due[0].at <= p.g.now {
			x := p.due[0]
			if p.due = p.due[1:]; x.e.Kind == Arrive {
				p.try(x.group, x.write, true)
			} else {
				p.act(p.g.step(x.e))
			}
		}
	}
}

func (p *singleRouterSim) act(as []Action) {
	for _, a := range slices.Clone(as) {
		switch a.Kind {
		case Send:
			p.sent[a.Member]++
			m := p.members[a.Member]
			e := Event{Kind: Outcome, Request: a.Request, Member: m.ID, Role: Replica, HasPosition: true, Position: p.g.now, Ended: true}
			e.Attempt = len(p.g.r.requests[a.Request].attempts) - 1
			if m.Primary {
				e.Role = Primary
			}
			if p.writes[a.Request] && !m.Primary {
				e.Result, e.Ended = Misdirected, false
			} else if p.refuses && m.Started != 0 {
				e.Result, e.Ended = Full, false
			}
			p.schedule(20*ms, dueEvent{e: e})
		case Refuse:
			if p.retries {
				p.schedule(50*ms, dueEvent{e: Event{Kind: Arrive}, group: p.groups[a.Request], write: p.writes[a.Request]})
			}
		}
	}
}

func (p *singleRouterSim) schedule(d Time, x dueEvent) {
	x.at = p.g.now + d
	i, _ := slices.BinarySearchFunc(p.due, x, func(a, b dueEvent) int { return cmp.Compare(a.at, b.at+1) })
	p.due = slices.Insert(p.due, i, x)
}

// TestSlowStartBudgetAfterLoadRises guards against a budget that grows with what others bear while a member is cold: that it bore
// its share of less before does not show that it can bear the same share of more.
func TestSlowStartBudgetAfterLoadRises(t *testing.T) {
	g := newRig(t, func(c *Config) { c.SlowStartTime, c.OverloadMultiple = time.Hour, 2.5 }, members())
	bear := func(requests int, span Time, ids ...string) { // requests of each member per 100 ms
		for end := g.now + span; g.now < end; g.now += 100 * ms {
			for _, id := range ids {
				for range requests {
					g.r.countArrival(g.r.classes[anyRead], true)
					g.r.countServed(g.r.members[id], g.r.classes[anyRead])
				}
			}
			g.step(Event{Kind: Timer})
		}
	}
	bear(4, 20*time.Second, "p", "q", "s")
	cold := members()[2]
	cold.Started = g.now
	g.step(Event{Kind: ListChange, Members: []Member{cold}})
	before := g.r.warmWork(g.r.members["s"])
	bear(16, 30*time.Second, "p", "q")
	if after := g.r.warmWork(g.r.members["s"]); after > 1.1*before || after < 0.8*before {
		t.Errorf("the budget of the cold member is %.2f times what it was before others bore four times as much, want 0.8 to 1.1", after/before)
	}
}
