package decide

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// FuzzRules feeds random events, without a model of the members, and checks the rules that a front can observe: one final
// answer in time, no unsafe repeat, no send against the list or below a bound, and equal actions for equal events.
func FuzzRules(f *testing.F) {
	for seed := uint64(0); seed < 12; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		a, b := runRandomEvents(t, seed), runRandomEvents(t, seed)
		if !reflect.DeepEqual(a, b) {
			t.Error("the same events gave other actions")
		}
	})
}

type requestTrack struct {
	class       Class
	maxAttempts int // attempts allowed when it arrived
	arrived     Time
	deadline    Time
	sends       []attemptTrack
	outstanding int
	mayHaveRun  bool
	firstRunAt  Time
	ended       bool
}

type attemptTrack struct {
	member string
	at     Time
	done   bool
}

// observedState is what a front knows from its own events.
type observedState struct {
	t            *testing.T
	now          Time
	reqs         map[uint64]*requestTrack
	drained      map[string]bool
	positions    map[string]Time
	seen         int // actions checked
	mayDuplicate bool
}

func runRandomEvents(t *testing.T, seed uint64) (all []Action) {
	rng := rand.New(rand.NewPCG(seed, 1))
	cfg := testConfig()
	cfg.MayDuplicate, cfg.ListOnRequest = seed%2 == 0, seed%3 == 0
	r, err := New(cfg, seed)
	if err != nil {
		t.Fatal(err)
	}
	list := []Member{{ID: "a", Primary: true}, {ID: "b", Zone: "a"}, {ID: "c"}, {ID: "d"}}
	w := &observedState{t: t, now: time.Hour, reqs: map[uint64]*requestTrack{}, drained: map[string]bool{},
		positions: map[string]Time{}, mayDuplicate: cfg.MayDuplicate}
	events := []Event{{Kind: ListSaved, Members: list}}
	before, retunes := cfg.Classes, seed%4 == 3
	var open [][2]uint64
	for id := uint64(1); id < 1500; {
		all = r.Step(w.now, events, all)
		for _, a := range all[w.check(all):] {
			if a.Kind == Send {
				open = append(open, [2]uint64{a.Request, uint64(len(w.reqs[a.Request].sends) - 1)})
			}
		}
		w.overdue()
		w.now += Time(1+rng.IntN(8)) * ms
		events = []Event{{Kind: Timer}}
		if retunes && rng.IntN(40) == 0 {
			before = cfg.Classes
			cfg = retuned(rng, cfg)
			if err := r.Reconfigure(cfg); err != nil {
				t.Fatal(err)
			}
			bad := cfg
			if bad.MaxAttempts = -1; r.Reconfigure(bad) == nil {
				t.Fatal("accepted an invalid config")
			}
		}
		for n := rng.IntN(3); n > 0; n-- {
			c := rng.IntN(len(cfg.Classes))
			wait := Time(rng.IntN(1500)) * ms
			e := Event{Kind: Arrive, Request: id, Class: c, Tenant: -1, Session: "s", Remaining: wait}
			class := cfg.Classes[c]
			if retunes { // some were accepted before the settings changed
				all := [][]Class{cfg.Classes, before}[rng.IntN(2)]
				e.ClassDef, e.Class = &all[rng.IntN(len(all))], -1
				class = *e.ClassDef
			}
			w.reqs[id] = &requestTrack{class: class, maxAttempts: cfg.MaxAttempts, arrived: w.now, deadline: w.now + wait}
			events = append(events, e)
			id++
		}
		for n := rng.IntN(4); n > 0 && len(open) > 0; n-- {
			i := rng.IntN(len(open))
			o := open[i]
			open[i] = open[len(open)-1]
			open = open[:len(open)-1]
			events = append(events, w.outcome(rng, o[0], int(o[1])))
		}
		if rng.IntN(60) == 0 {
			m := list[rng.IntN(4)]
			m.State = MemberState(rng.IntN(3))
			w.drained[m.ID] = m.State != Up
			events = append(events, Event{Kind: ListChange, Members: []Member{m}})
		}
		if rng.IntN(5) == 0 {
			m := list[1+rng.IntN(3)].ID
			p := w.now - Time(rng.IntN(300)-20)*ms
			if p <= w.now+clockSlack { // as the router does: reported times are rounded
				w.positions[m] = max(w.positions[m], p)
			}
			events = append(events, Event{Kind: Probed, Member: m, Result: Served,
				Report: Report{HasPosition: true, Position: p, HasRole: true, Role: Replica}})
		}
	}
	return all
}

// retuned returns settings with other effects and attempts. Some classes are left out, and may come back later.
func retuned(rng *rand.Rand, cfg Config) Config {
	all := testConfig().Classes
	cfg.Classes = nil
	for i := range all {
		all[i].Effect, all[i].KeyScope, all[i].KeyWindow = Effect(rng.IntN(3)), ScopeGroup, Time(200+rng.IntN(800))*ms
		if rng.IntN(4) > 0 || i == 0 {
			cfg.Classes = append(cfg.Classes, all[i])
		}
	}
	cfg.MaxAttempts = rng.IntN(4)
	return cfg
}

func (w *observedState) outcome(rng *rand.Rand, id uint64, n int) Event {
	q := w.reqs[id]
	s := &q.sends[n]
	s.done = true
	q.outstanding--
	res := Result(rng.IntN(int(Stale) + 1))
	e := Event{Kind: Outcome, Request: id, Attempt: n, Member: s.member, Result: res, Role: Replica}
	if s.member == "a" {
		e.Role = Primary
	}
	switch res {
	case Served:
		q.ended, e.Ended = true, true
	case Full, Unreachable, NotSent, Misdirected, Rejected:
	default:
		if !q.mayHaveRun || s.at < q.firstRunAt {
			q.mayHaveRun, q.firstRunAt = true, s.at
		}
	}
	e.Ended = e.Ended || q.ended
	if res == Served && s.member != "a" && q.class.Consistency != Write {
		e.HasPosition, e.Position = true, w.now-Time(rng.IntN(200))*ms
		w.positions[s.member] = max(w.positions[s.member], e.Position)
	}
	return e
}

// check checks the actions not seen yet and returns the index of the first.
func (w *observedState) check(all []Action) int {
	from := w.seen
	w.seen = len(all)
	for _, a := range all[from:] {
		q := w.reqs[a.Request]
		switch a.Kind {
		case Send:
			w.checkSend(q, a)
			q.sends = append(q.sends, attemptTrack{member: a.Member, at: w.now})
			q.outstanding++
		case Refuse, Fail:
			if q.ended {
				w.t.Fatalf("request %d: a second final answer", a.Request)
			}
			if a.Kind == Refuse && q.class.Effect != Repeatable && (q.mayHaveRun || q.outstanding > 0) {
				w.t.Fatalf("request %d: refused though it may have run", a.Request)
			}
			q.ended = true
		}
	}
	return from
}

func (w *observedState) checkSend(q *requestTrack, a Action) {
	switch {
	case q.ended:
		w.t.Fatalf("request %d: sent after its end", a.Request)
	case q.maxAttempts > 0 && len(q.sends) >= q.maxAttempts:
		w.t.Fatalf("request %d: attempt %d of %d", a.Request, len(q.sends)+1, q.maxAttempts)
	case q.class.Effect == Once && (q.mayHaveRun || q.outstanding > 0):
		w.t.Fatalf("request %d: unsafe repeat", a.Request)
	case q.class.Effect == Keyed && q.mayHaveRun && w.now-q.firstRunAt >= q.class.KeyWindow:
		w.t.Fatalf("request %d: repeat past its window", a.Request)
	case q.outstanding > 0 && (q.class.Effect != Repeatable || !w.mayDuplicate):
		w.t.Fatalf("request %d: two copies out", a.Request)
	case w.drained[a.Member]:
		w.t.Fatalf("request %d: sent to drained %s", a.Request, a.Member)
	case q.class.Consistency == Bounded && a.Member != "a" && w.positions[a.Member] < w.now-q.class.Bound:
		w.t.Fatalf("request %d: %s known at %v, below the bound", a.Request, a.Member, w.now-w.positions[a.Member])
	}
}

// overdue fails for requests without a final answer 8 ms after their deadline.
func (w *observedState) overdue() {
	for id, q := range w.reqs {
		if !q.ended && w.now > q.deadline+8*ms {
			w.t.Fatalf("request %d: no final answer in time", id)
		}
	}
}

// TestStaleResultCountsAsRun guards against repeating or refusing reads that a member answered from an older position than they require.
func TestStaleResultCountsAsRun(t *testing.T) {
	for _, tc := range []struct {
		effect Effect
		again  bool // sent to another member
		last   ActionKind
	}{
		{effect: Repeatable, again: true, last: Refuse},
		{effect: Keyed, again: true, last: Fail},
		{effect: Once, again: false, last: Fail},
	} {
		g := newRig(t, func(c *Config) {
			c.Classes[fresh].Effect, c.Classes[fresh].KeyScope, c.Classes[fresh].KeyWindow = tc.effect, ScopeGroup, time.Second
		}, members())
		all := g.arrive(1, fresh, time.Second, "")
		all = append(all, g.answer(1, 0, g.sentTo(all, 1), Stale, Replica, g.now-time.Second)...)
		all = append(all, g.step(Event{Kind: Probed, Member: "q", Result: Served,
			Report: Report{HasPosition: true, Position: g.now, HasRole: true, Role: Primary}})...)
		all = append(all, g.run(20*ms)...)
		if again := len(actionsOf(all, Send, 1)) == 2; again != tc.again {
			t.Errorf("effect %d: sent %d times", tc.effect, len(actionsOf(all, Send, 1)))
		}
		if tc.again {
			all = append(all, g.answer(1, 1, "q", Misdirected, Replica, 0)...)
		}
		all = append(all, g.run(time.Second)...)
		if len(actionsOf(all, tc.last, 1)) != 1 {
			t.Errorf("effect %d: no final answer of kind %d in %+v", tc.effect, tc.last, all)
		}
	}
}

// TestLargeListIsUsed guards against members of a large list never being used.
func TestLargeListIsUsed(t *testing.T) {
	const groups, each = 800, 4
	var list []Member
	for i := range groups * each {
		list = append(list, Member{ID: fmt.Sprint("m", i), Group: int64(i / each), Zone: "a", Primary: i%each == 0})
	}
	g := newRig(t, nil, list)
	for i := range groups {
		id := uint64(i + 1)
		all := g.step(Event{Kind: Arrive, Request: id, Class: anyRead, Tenant: -1, Group: int64(i), Remaining: time.Second})
		if len(actionsOf(all, Send, id)) != 1 {
			t.Fatalf("a request for group %d of %d went nowhere", i, groups)
		}
	}
}

// TestSavedListIsNotTrustedForLong guards against sends to members that began to drain before a restart, while
// discovery is too busy to report it or refuses calls. That a member accepted a request shows nothing: it may work while it drains.
func TestSavedListIsNotTrustedForLong(t *testing.T) {
	g := newRig(t, func(c *Config) { c.ListOnRequest, c.MayProbe = true, false }, members())
	id := uint64(0)
	ask := func() string {
		id++
		all := g.arrive(id, anyRead, time.Second, "")
		for _, a := range actionsOf(all, Send, id) {
			g.now += 5 * ms
			role := Replica
			if a.Member == "p" {
				role = Primary
			}
			g.answer(id, 0, a.Member, Served, role, g.now)
			return a.Member
		}
		if len(actionsOf(all, Refuse, id)) != 1 {
			t.Errorf("request %d is neither sent nor refused at once", id)
		}
		return ""
	}
	for range 50 {
		if ask() == "" {
			t.Error("refused right after the start")
		}
	}
	g.run(minSavedListTime)
	for range 20 {
		if got := ask(); got != "" {
			t.Fatalf("sent to %q by an old list", got)
		}
	}
	for kind, want := range map[EventKind]bool{DiscoveryUnreachable: true, ListError: false, ListChange: true, SavedListCurrent: true} {
		g.step(Event{Kind: ListSaved, Members: members()})
		g.run(minSavedListTime)
		if got := ask(); got != "" {
			t.Errorf("sent to %q by an old list", got)
		}
		g.step(Event{Kind: kind})
		g.run(maxSavedListTime - 10*ms)
		if sent := ask() != ""; sent != want {
			t.Errorf("after an event of kind %d: sent %v", kind, sent)
		}
	}
	g.step(Event{Kind: ListSaved, Members: members()}, Event{Kind: DiscoveryUnreachable})
	g.run(time.Minute)
	g.step(Event{Kind: ListError})
	if got := ask(); got != "" {
		t.Errorf("sent to %q once discovery could be reached", got)
	}
}

// TestListAfterRefusedCalls guards against sends to a draining member by a list that is used without limit after discovery
// refused a call, at any size of the fleet. Further refusals do not begin that time anew.
func TestListAfterRefusedCalls(t *testing.T) {
	const told, grace = 6 * time.Second, 250 * ms
	for _, fronts := range []int{3, 30, 80, 101, 300, 900} {
		for _, refusals := range []int{1, 2, 9, 11} {
			for _, answered := range []bool{false, true} { // without an answer the list is from before a restart
				for seed := range uint64(5) {
					g := newRig(t, func(c *Config) { c.ListOnRequest, c.MayProbe, c.Fronts = true, false, fronts }, members())
					for range seed { // draws another pause
						g.r.rng.Float64()
					}
					if answered {
						g.run(6 * time.Second)
						g.step(Event{Kind: ListChange})
					}
					d := &drainPlay{g: g, drains: "s"}
					start, from := g.now, g.now // of the play; the first refusal, from which on changes count as told
					for n := range refusals {   // s drains from the first refusal on
						g.step(Event{Kind: ListError})
						refused := g.now
						for called := false; !called && g.now < refused+2*time.Minute; {
							called = d.ask(10 * ms)
							if late := d.lastSent - from; late > told+grace {
								t.Fatalf("%d fronts, refusal %d of %d, answered before %v: sent %v after the first", fronts, n+1, refusals, answered, late)
							}
							if !answered && d.lastServed > start+minSavedListTime {
								t.Fatalf("%d fronts, refusal %d of %d: a member was used %v after the restart", fronts, n+1, refusals, d.lastServed-start)
							}
						}
					}
					if !answered {
						g.step(Event{Kind: ListChange})
						d.asked, d.served = 0, 0
						for range 100 {
							d.ask(10 * ms)
						}
					}
					if d.served < d.asked/2 {
						t.Errorf("%d fronts, %d refusals, answered before %v: %d of %d requests served", fronts, refusals, answered, d.served, d.asked)
					}
				}
			}
		}
	}
}

// TestPushedListAfterRefusedCall guards against sends to a draining member by a pushed list that is used without limit after
// discovery refused a call, and against leaving the member out once discovery answers again. That discovery can't be reached
// any more takes back nothing: it could be for 6 s after the member began to drain.
func TestPushedListAfterRefusedCall(t *testing.T) {
	const told, grace = 6 * time.Second, 250 * ms
	for kind, usedAgain := range map[EventKind]bool{ListChange: true, DiscoveryUnreachable: false} {
		g := newRig(t, func(c *Config) { c.MayProbe, c.Fronts = false, 300 }, members())
		g.step(Event{Kind: ListChange})
		d := &drainPlay{g: g, drains: "s"}
		refused := g.now
		for g.now < refused+20*time.Second {
			if (g.now-refused)%(5*time.Second) == 0 {
				g.step(Event{Kind: ListError})
			}
			d.ask(10 * ms)
		}
		if d.lastSent > refused+told+grace || d.served < d.asked/2 {
			t.Errorf("sent to the draining member %v after the refusal, %d of %d requests served", d.lastSent-refused, d.served, d.asked)
		}
		answered, servedBefore := g.now, d.served
		g.step(Event{Kind: kind})
		for range 500 {
			d.ask(10 * ms)
		}
		if sent := d.lastSent >= answered; sent != usedAgain || d.served != servedBefore+500 {
			t.Errorf("after event %d: sent to the member that was left out: %v, %d of 500 requests served", kind, sent, d.served-servedBefore)
		}
	}
}

// TestFullMembersDuringPause guards against leaving out members that accept requests, but refused one as they were full, while the
// list may not be used as it is.
func TestFullMembersDuringPause(t *testing.T) {
	g := newRig(t, func(c *Config) { c.ListOnRequest, c.MayProbe, c.Fronts = true, false, 900 }, members())
	d := &drainPlay{g: g}
	g.step(Event{Kind: ListChange})
	g.step(Event{Kind: ListError})
	for refused := g.now; g.now < refused+6*time.Second; {
		d.ask(10 * ms)
	}
	for _, m := range []string{"p", "q", "s"} { // each refuses one request
		d.drains = m
		for began := g.now; d.lastSent < began && g.now < began+time.Second; {
			d.ask(10 * ms)
		}
	}
	d.drains = ""
	served := d.served
	for range 10 {
		d.ask(10 * ms)
	}
	if d.served != served+10 {
		t.Errorf("%d of 10 requests served after each member had refused one, want all", d.served-served)
	}
}

// drainPlay asks a router for reads. All members serve them but one, which refuses them as it drains.
type drainPlay struct {
	g             *routerTest
	drains        string
	asked, served int
	lastSent      Time // to the draining member
	lastServed    Time
}

// ask makes one request, lets d pass and reports whether discovery was called.
func (p *drainPlay) ask(d Time) (called bool) {
	p.asked++
	id := uint64(p.asked)
	all := p.g.arrive(id, anyRead, time.Second, "")
	for attempt := 0; ; attempt++ {
		sent := actionsOf(all, Send, id)
		if len(sent) == 0 {
			break
		}
		switch m := sent[0].Member; m {
		case p.drains:
			p.lastSent = p.g.now
			all = p.g.answer(id, attempt, m, Full, RoleUnknown, 0)
		case "p":
			p.served, p.lastServed = p.served+1, p.g.now
			all = p.g.answer(id, attempt, m, Served, Primary, p.g.now)
		default:
			p.served, p.lastServed = p.served+1, p.g.now
			all = p.g.answer(id, attempt, m, Served, Replica, p.g.now)
		}
	}
	for _, a := range p.g.run(d) {
		called = called || a.Kind == Watch
	}
	return called
}

// TestSavedListDuringRelease guards against sends by an outdated list that was handed over while members were
// being replaced.
func TestSavedListDuringRelease(t *testing.T) {
	at := time.Hour // the start of the test's clock
	for name, tc := range map[string]struct {
		change func(m *Member)
		want   Time // how long the list is used as it is
	}{
		"quiet":                {func(*Member) {}, minSavedListTime},
		"started long ago":     {func(m *Member) { m.Started = at - time.Minute }, minSavedListTime},
		"started 10 s ago":     {func(m *Member) { m.Started = at - 10*time.Second }, minSavedListTime},
		"started 4 s ago":      {func(m *Member) { m.Started = at - 4*time.Second }, 2 * time.Second},
		"started just now":     {func(m *Member) { m.Started = at }, maxSavedListTime},
		"started in an hour":   {func(m *Member) { m.Started = at + time.Hour }, maxSavedListTime},
		"draining, no start":   {func(m *Member) { m.State = Draining }, minSavedListTime},
		"draining, just begun": {func(m *Member) { m.State, m.Started = Draining, at-time.Second }, maxSavedListTime},
	} {
		list := members()
		tc.change(&list[2])
		g := newRig(t, func(c *Config) { c.ListOnRequest = true }, list)
		for id, after := uint64(1), tc.want-100*ms; id <= 2; id, after = id+1, 200*ms {
			g.run(after)
			all := g.step(Event{Kind: Arrive, Request: id, Class: anyRead, Tenant: -1, Remaining: time.Second})
			if sent := len(actionsOf(all, Send, id)) == 1; sent != (id == 1) {
				t.Errorf("%s: request %d, around %v, sent %v", name, id, tc.want, sent)
			}
		}
	}
}

// TestPushedListFromBeforeRestart guards against sends by the list from before a restart where lists are pushed, once discovery
// has refused a call.
func TestPushedListFromBeforeRestart(t *testing.T) {
	g := newRig(t, func(c *Config) { c.MayProbe = false }, members())
	d := &drainPlay{g: g}
	d.ask(10 * ms)
	g.step(Event{Kind: ListError})
	for range 100 {
		d.ask(10 * ms)
	}
	if d.served != 1 {
		t.Errorf("%d requests served, want the one before the refusal", d.served)
	}
	g.step(Event{Kind: ListChange})
	if d.ask(10 * ms); d.served != 2 {
		t.Error("refused after the list was confirmed")
	}
}

// TestManyMissedChanges guards against bounds of the list that are lost, or grow without limit, where discovery moves or falls
// silent very often.
func TestManyMissedChanges(t *testing.T) {
	l, now := newListFreshness(), time.Hour
	for n := range 1000 {
		switch n % 3 {
		case 0:
			l.move(now, now)
		case 1:
			l.beginCall(now, 0)
		default:
			l.callFailed(now, true)
		}
		now += ms
		if len(l.missed) > maxMissedChanges {
			t.Fatalf("%d entries", len(l.missed))
		}
	}
	first := time.Hour + maxMoveDelay + moveEvidenceTime
	if until := l.usableUntil(); until != first {
		t.Errorf("the list may be used until %v, want %v", until, first)
	}
	if l.permits(first, time.Hour+maxMoveDelay-ms) || !l.permits(first-1, 0) {
		t.Error("the first move does not bind")
	}
}

// TestOperatorsChangesConfirmNothing guards against taking a change that operators made for an answer of discovery, which would
// lift all bounds on the list, and end the calls to discovery.
func TestOperatorsChangesConfirmNothing(t *testing.T) {
	g := newRig(t, func(c *Config) { c.ListOnRequest, c.MayProbe, c.Fronts = true, false, 3 }, members())
	g.step(Event{Kind: ListChange})
	g.step(Event{Kind: DiscoveryCalled})
	g.run(time.Second)
	g.step(Event{Kind: ListError})
	until := g.r.ListUsableUntil()
	g.step(Event{Kind: ListOverride, Members: []Member{{ID: "s", Zone: "b", State: Draining}}})
	if got := g.r.ListUsableUntil(); got != until {
		t.Errorf("the list may be used until %v, before the change until %v", got, until)
	}
	d := &drainPlay{g: g, drains: "s"}
	called := false
	for range 300 {
		called = d.ask(10*ms) || called
	}
	if !called {
		t.Error("discovery is not called any more")
	}
	if d.lastSent != 0 || d.served != d.asked {
		t.Errorf("sent to the member that operators took out: %v; %d of %d requests served", d.lastSent != 0, d.served, d.asked)
	}
}
