package decide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// testConfig has a class of each kind of consistency and effect.
func testConfig() Config {
	return Config{
		Fronts: 2, Zone: "a", Resolution: ms, MaxAttempts: 5, MayCancel: true, MayProbe: true, RemembersSessions: true,
		AnswersHavePosition: true, SlowStartFraction: 0.3, SlowStartTime: 10 * time.Second, OverloadMultiple: 2, OverloadTime: 2 * time.Second,
		MaxRetryAfter: 500 * ms,
		Classes: []Class{
			{Name: "any", LatencyTarget: 200 * ms, Deadline: time.Second, Value: 1},
			{Name: "bounded", LatencyTarget: 200 * ms, Deadline: time.Second, Value: 1, Consistency: Bounded, Bound: 100 * ms},
			{Name: "session", LatencyTarget: 200 * ms, Deadline: time.Second, Value: 1, Consistency: Session},
			{Name: "fresh", LatencyTarget: 200 * ms, Deadline: time.Second, Value: 1, Consistency: Fresh},
			{Name: "once", LatencyTarget: 500 * ms, Deadline: 2 * time.Second, Value: 3, LateValue: 0.5, Consistency: Write, Effect: Once},
			{Name: "keyed", LatencyTarget: 500 * ms, Deadline: 2 * time.Second, Value: 3, LateValue: 0.5, Consistency: Write,
				Effect: Keyed, KeyScope: ScopeGroup, KeyWindow: time.Second},
		},
	}
}

const (
	anyRead = iota
	bounded
	session
	fresh
	once
	keyed
)

// routerTest drives one router step by step.
type routerTest struct {
	t   *testing.T
	r   *Router
	now Time
	got []Action
}

func members() []Member {
	return []Member{{ID: "p", Zone: "a", Primary: true}, {ID: "q", Zone: "a"}, {ID: "s", Zone: "b"}}
}

func newRig(t *testing.T, change func(*Config), list []Member) *routerTest {
	t.Helper()
	cfg := testConfig()
	if change != nil {
		change(&cfg)
	}
	r, err := New(cfg, 7)
	if err != nil {
		t.Fatal(err)
	}
	g := &routerTest{t: t, r: r, now: time.Hour}
	g.step(Event{Kind: ListSaved, Members: list})
	return g
}

func (g *routerTest) step(ev ...Event) []Action {
	g.got = g.r.Step(g.now, ev, nil)
	return g.got
}

// run steps timers over a span and returns all actions.
func (g *routerTest) run(d Time) (all []Action) {
	for end := g.now + d; g.now < end; {
		g.now += 5 * ms
		all = append(all, g.step(Event{Kind: Timer})...)
	}
	return all
}

func (g *routerTest) arrive(id uint64, class int, wait Time, s string) []Action {
	return g.step(Event{Kind: Arrive, Request: id, Class: class, Tenant: -1, Session: s, Remaining: wait})
}

func (g *routerTest) answer(id uint64, attempt int, m string, res Result, role Role, pos Time) []Action {
	e := Event{Kind: Outcome, Request: id, Attempt: attempt, Member: m, Result: res, Role: role, Ended: res == Served}
	if pos != 0 {
		e.HasPosition, e.Position = true, pos
	}
	return g.step(e)
}

func actionsOf(as []Action, k ActionKind, id uint64) (out []Action) {
	for _, a := range as {
		if a.Kind == k && a.Request == id {
			out = append(out, a)
		}
	}
	return out
}

// sentTo returns the member of the one attempt of id, and fails unless there is exactly one.
func (g *routerTest) sentTo(as []Action, id uint64) string {
	g.t.Helper()
	s := actionsOf(as, Send, id)
	if len(s) != 1 {
		g.t.Fatalf("request %d: %d sends, want 1", id, len(s))
	}
	return s[0].Member
}

// reportPosition gives replica m a position, as a probe does.
func (g *routerTest) reportPosition(m string, pos Time) {
	g.t.Helper()
	g.step(Event{Kind: Probed, Member: m, Result: Served,
		Report: Report{HasPosition: true, Position: pos, HasRole: true, Role: Replica}})
}

func TestMemberByConsistency(t *testing.T) {
	tests := []struct {
		name  string
		class int
		age   Time // of q's reported position; -1 = none reported
		want  string
	}{
		{"any read goes to a replica", anyRead, -1, "replica"},
		{"bounded read with no position known goes to the primary", bounded, -1, "p"},
		{"bounded read goes where the position reaches the bound", bounded, 50 * ms, "q"},
		{"bounded read does not go below its bound", bounded, 150 * ms, "p"},
		{"position ahead of the clock is ignored", bounded, -60 * ms, "p"},
		{"fresh read goes to the primary", fresh, 10 * ms, "p"},
		{"write goes to the primary", once, 10 * ms, "p"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := newRig(t, nil, members())
			if tc.age != -1 {
				g.reportPosition("q", g.now-tc.age)
			}
			got := g.sentTo(append(g.arrive(1, tc.class, time.Second, "u"), g.run(100*ms)...), 1)
			if tc.want == "replica" && got != "p" {
				return
			}
			if got != tc.want {
				t.Errorf("sent to %s, want %s", got, tc.want)
			}
		})
	}
}

func TestRememberedSession(t *testing.T) {
	g := newRig(t, nil, members())
	g.arrive(1, once, time.Second, "u")
	commit := g.now + ms
	g.now += 20 * ms
	g.answer(1, 0, "p", Served, Primary, commit)
	g.reportPosition("q", commit-5*ms)
	if got := g.sentTo(append(g.arrive(2, session, time.Second, "u"), g.run(100*ms)...), 2); got != "p" {
		t.Errorf("replicas behind the session's write: sent to %s, want p", got)
	}
	g.answer(2, 0, "p", Served, Primary, 0)
	g.now += 20 * ms
	g.reportPosition("q", commit)
	if got := g.sentTo(g.arrive(3, session, time.Second, "u"), 3); got != "q" {
		t.Errorf("replica that has the write: sent to %s, want q", got)
	}
	if got := g.sentTo(g.arrive(4, session, time.Second, "other"), 4); got == "p" {
		t.Error("a session with no write here may use any replica")
	}
}

// A member that joins later must reach a commit that was forgotten because all members had it.
func TestForgottenCommitsBindNewMembers(t *testing.T) {
	list := members()[:2]
	g := newRig(t, nil, list)
	g.arrive(1, once, time.Second, "u")
	commit := g.now
	g.now += 20 * ms
	g.answer(1, 0, "p", Served, Primary, commit)
	g.reportPosition("q", commit+10*ms)
	g.run(20 * ms)
	if n := len(g.r.groups[0].sessions); n != 0 {
		t.Fatalf("%d commits kept that every member has", n)
	}
	g.step(Event{Kind: ListFull, Members: []Member{{ID: "p", Primary: true}, {ID: "new", Zone: "a"}}})
	if got := g.sentTo(append(g.arrive(2, session, time.Second, "u"), g.run(100*ms)...), 2); got != "p" {
		t.Errorf("sent to %s, which is not known to have the write", got)
	}
	g.answer(2, 0, "p", Served, Primary, g.now)
	g.step(Event{Kind: ListFull}) // the whole group leaves the list until it is dropped, and its number is used again
	g.run(goneRetention + 100*ms)
	if n := len(g.r.groups) + len(g.r.groupOrder); n != 0 {
		t.Fatalf("%d entries of a group without members are kept", n)
	}
	g.step(Event{Kind: ListFull, Members: []Member{{ID: "p", Primary: true}, {ID: "behind", Zone: "a"}}})
	g.reportPosition("behind", commit-ms)
	if got := g.sentTo(append(g.arrive(3, session, time.Second, "u"), g.run(100*ms)...), 3); got != "p" {
		t.Errorf("sent to %s, which lacks a write of before its group was forgotten", got)
	}
}

func TestCarriedToken(t *testing.T) {
	g := newRig(t, func(c *Config) { c.RemembersSessions = false }, members())
	g.reportPosition("q", g.now-50*ms)
	for _, tc := range []struct {
		age  Time
		want string
	}{{100 * ms, "q"}, {20 * ms, "p"}} {
		e := Event{Kind: Arrive, Request: uint64(tc.age), Class: session, Tenant: -1, HasToken: true, TokenAge: tc.age, Remaining: time.Second}
		if got := g.sentTo(append(g.step(e), g.run(100*ms)...), e.Request); got != tc.want {
			t.Errorf("token of age %v: sent to %s, want %s", tc.age, got, tc.want)
		}
	}
}

// Where members check positions, the most advanced replica is tried first, and not again once it refused the read.
func TestCheckedReads(t *testing.T) {
	g := newRig(t, func(c *Config) { c.StaleReads = StaleReadRefuse }, members())
	g.reportPosition("q", g.now-300*ms)
	g.reportPosition("s", g.now-500*ms)
	if got := g.sentTo(g.arrive(1, bounded, time.Second, ""), 1); got != "q" {
		t.Fatalf("sent to %s, want the most advanced, q", got)
	}
	g.now += 2 * ms
	if got := g.sentTo(g.answer(1, 0, "q", Misdirected, Replica, g.now-290*ms), 1); got == "q" {
		t.Error("sent again at once to the member that refused it")
	}
}

func TestWriteFollowsPrimary(t *testing.T) {
	g := newRig(t, nil, members())
	g.arrive(1, once, 2*time.Second, "u")
	g.now += 2 * ms
	for no, last := 0, "p"; no < 2; no++ { // the write itself is tried at member after member
		m := g.sentTo(g.answer(1, no, last, Misdirected, Replica, 0), 1)
		if m == last || m == "p" {
			t.Fatalf("tried %s after %s", m, last)
		}
		last = m
	}
	g.now += 2 * ms
	if as := g.answer(1, 2, g.r.requests[1].attempts[2].member.ID, Misdirected, Replica, 0); len(actionsOf(as, Send, 1)) != 0 {
		t.Fatal("sent again with all known as replicas a moment ago")
	}
	g.run(60 * ms)
	g.step(Event{Kind: ListChange, Members: []Member{{ID: "p", Zone: "a", Primary: true}}})
	if len(actionsOf(g.got, Send, 1)) != 0 {
		t.Fatal("an old list overrode a member's own report")
	}
	as := g.step(Event{Kind: Probed, Member: "s", Result: Served,
		Report: Report{HasPosition: true, Position: g.now - ms, HasRole: true, Role: Primary}})
	if got := g.sentTo(as, 1); got != "s" {
		t.Errorf("sent to %s, want the new primary s", got)
	}
}

func TestRetriesByEffect(t *testing.T) {
	tests := []struct {
		name   string
		class  int
		res    Result
		after  Time // from the send to its outcome
		resend bool
		end    ActionKind
	}{
		{"once that never ran is sent again", once, Full, 10 * ms, true, Fail},
		{"once that may have run is failed at once", once, Reset, 10 * ms, false, Fail},
		{"keyed that may have run is sent again in its window", keyed, Errored, 10 * ms, true, Fail},
		{"keyed is not sent again past its window", keyed, Errored, 1100 * ms, false, Fail},
		{"read is sent again", anyRead, Errored, 10 * ms, true, Refuse},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			g := newRig(t, nil, members())
			to := g.sentTo(g.arrive(1, tc.class, 2*time.Second, "u"), 1)
			g.now += tc.after
			as := append(g.answer(1, 0, to, tc.res, RoleUnknown, 0), g.run(3*time.Second)...)
			if got := len(actionsOf(as, Send, 1)) > 0; got != tc.resend {
				t.Errorf("sent again: %v, want %v", got, tc.resend)
			}
			if len(actionsOf(as, tc.end, 1)) != 1 || len(actionsOf(as, Refuse, 1))+len(actionsOf(as, Fail, 1)) != 1 {
				t.Errorf("want exactly one final answer of kind %d, got %v", tc.end, as)
			}
		})
	}
}

func TestDrainingAndUnlistedMembers(t *testing.T) {
	for _, st := range []MemberState{Draining, Removed} {
		g := newRig(t, nil, members())
		g.step(Event{Kind: ListChange, Members: []Member{{ID: "q", Zone: "a", State: st}}})
		for id := uint64(1); id < 40; id++ {
			for _, a := range actionsOf(g.arrive(id, anyRead, time.Second, ""), Send, id) {
				if a.Member == "q" {
					t.Fatalf("state %d: sent to q", st)
				}
			}
		}
	}
	g := newRig(t, func(c *Config) { c.UseUnlisted = true }, []Member{{ID: "p", Primary: true}, {ID: "q"}})
	g.step(Event{Kind: ListFull, Members: []Member{{ID: "p", Primary: true}}})
	if got := g.sentTo(g.arrive(1, anyRead, time.Second, ""), 1); got != "q" {
		t.Errorf("where only a drain binds, a member that left the list stays in use: sent to %s", got)
	}
}

// The work that all fronts together send to a member in slow start keeps to its budget, and uses it, in small fleets
// and in large ones, where the budget of one front is far below one request. The budget itself is that of a member which was
// never seen warm, or more.
func TestSlowStartBudgetByFleetSize(t *testing.T) {
	for _, fronts := range []int{1, 5, 80, 200} {
		const groups, rate = 5, 100.0 // requests a second of all fronts, a fifth of them writes
		rng := rand.New(rand.NewPCG(3, uint64(fronts)))
		var rigs []*routerTest
		for i := range fronts {
			var list []Member
			for g := range groups { // in slow start are the primary of group 0 and a replica of group 1
				for j := range 3 {
					m := Member{ID: fmt.Sprintf("%d%d", g, j), Group: int64(g), Primary: j == 0}
					if g == j && g < 2 {
						m.Started = time.Hour
					}
					list = append(list, m)
				}
			}
			cfg := testConfig()
			cfg.Self, cfg.Fronts, cfg.SlowStartFraction, cfg.SlowStartTime, cfg.OverloadMultiple = i, fronts, 0.24, 1000*time.Hour, 2.5
			r, err := New(cfg, uint64(i+1))
			if err != nil {
				t.Fatal(err)
			}
			g := &routerTest{t: t, r: r, now: time.Hour}
			g.step(Event{Kind: ListFull, Members: list})
			rigs = append(rigs, g)
		}
		cold, granted := map[string]float64{}, map[string]float64{}
		usual := 0.0 // that of a member, as the fronts know it
		for id := range 60 * int(rate) {
			f := int(float64(fronts) * rng.Float64() * rng.Float64()) // unevenly
			g, class := rigs[f], anyRead
			from := g.now
			if id%5 == 0 {
				class = once
			}
			g.now += Time(float64(time.Second) / rate) // this front's clock, slower than the fleet's
			as := g.step(Event{Kind: Arrive, Request: uint64(id + 1), Class: class, Tenant: -1, Group: rng.Int64N(groups),
				Remaining: time.Second, Session: "u"})
			cost := 40 * ms
			if class == once {
				cost = 100 * ms
			}
			for _, a := range actionsOf(as, Send, uint64(id+1)) {
				cold[a.Member] += float64(cost)
				g.now += cost
				g.answer(uint64(id+1), 0, a.Member, Served, RoleUnknown, 0)
			}
			g.step(Event{Kind: ClientGone, Request: uint64(id + 1)})
			for _, id := range []string{"00", "11"} {
				granted[id] += g.r.warmWork(g.r.members[id]) * 0.24 * 2.5 * float64(g.now-from)
			}
			usual += g.r.usualWork() * 0.24 * 2.5 * float64(g.now-from)
		}
		for _, id := range []string{"00", "11"} {
			part, ofUsual := cold[id]/granted[id], granted[id]/usual
			t.Logf("%d fronts: %s took %.2f of its budget, which is %.2f of the usual work", fronts, id, part, ofUsual)
			if part > 1.3 || part < 0.3 {
				t.Errorf("%d fronts sent %s %.2f of its budget", fronts, id, part)
			}
			if least := unknownShare * headroom(unknownShare); ofUsual < least || ofUsual > slowStartHeadroom {
				t.Errorf("%d fronts: the budget of %s is %.2f of the usual work, want %.2f to %.2f", fronts, id, ofUsual, least, slowStartHeadroom)
			}
		}
	}
}

// Where all members are in slow start, a read that none admits is refused at once: held, it would only lose the time
// for a retry, which is a new chance. Nothing is refused while some member is not in slow start.
func TestUnadmittedReadIsRefusedAtOnce(t *testing.T) {
	for _, warm := range []bool{false, true} {
		list := members()
		for i := range list {
			list[i].Started = time.Hour
		}
		if warm {
			list[0].Started = 0
		}
		g := newRig(t, nil, list)
		sent, refused := 0, 0
		for id := uint64(1); id <= 60; id++ {
			g.now += 10 * ms // tokens accrue with time
			as := g.arrive(id, anyRead, time.Second, "")
			sent += len(actionsOf(as, Send, id))
			for _, a := range actionsOf(as, Refuse, id) {
				if refused++; a.RetryAfter <= 0 || a.RetryAfter > 100*ms {
					t.Errorf("told to retry after %v, too late to be of use", a.RetryAfter)
				}
			}
		}
		if (refused == 0) != warm || sent == 0 || !warm && sent+refused != 60 {
			t.Errorf("one not in slow start %v: %d sent and %d refused of 60", warm, sent, refused)
		}
	}
}

// While a group has no primary, all fronts together probe each member at most a hundred times a second, after the first
// probe of each front.
func TestProbeRateOfTheFleet(t *testing.T) {
	const span = 3
	for _, fronts := range []int{1, 5, 80, 200} {
		probes := map[string]int{}
		for i := range fronts {
			g := newRig(t, func(c *Config) { c.Self, c.Fronts = i, fronts }, []Member{{ID: "p"}, {ID: "q"}, {ID: "s"}})
			for id := uint64(1); id <= 10*span; id++ { // some request always waits
				as := append(g.arrive(id, fresh, time.Second, ""), g.run(100*ms)...)
				for _, a := range as {
					if a.Kind == Probe {
						probes[a.Member]++
						g.reportPosition(a.Member, g.now-ms)
					}
				}
			}
		}
		for m, n := range probes {
			if n > 100*span+fronts || n < fronts {
				t.Errorf("%d fronts probed %s %d times in %d s", fronts, m, n, span)
			}
		}
		if len(probes) != 3 {
			t.Errorf("%d fronts probed %v, want all members", fronts, probes)
		}
	}
}

// Replicas in slow start that don't admit a read count as none: the primary gets it at once.
func TestReadsBesideReplicasInSlowStart(t *testing.T) {
	list := members()
	list[1].Started, list[2].Started = time.Hour, time.Hour
	g := newRig(t, nil, list)
	to := map[string]int{}
	for id := uint64(1); id <= 60; id++ {
		g.r.members["p"].limit = 1.5 * g.r.classes[anyRead].cost // capacity for one, but not within spareLimitFraction
		m := g.sentTo(g.arrive(id, anyRead, time.Second, ""), id)
		to[m]++
		g.now += 20 * ms
		g.answer(id, 0, m, Served, RoleUnknown, 0)
	}
	if to["p"] == 0 || to["q"]+to["s"] == 0 {
		t.Errorf("sent %v, want some at the primary and some at the replicas", to)
	}
}

// A front that starts with an empty list, or one whose members are all gone, calls discovery once, refuses requests in
// time, and serves as soon as the list has come.
func TestUnusableSavedList(t *testing.T) {
	for name, saved := range map[string][]Member{"empty": nil, "gone": {{ID: "x"}, {ID: "y"}}} {
		cfg := testConfig()
		cfg.ListOnRequest, cfg.Fronts = true, 80
		r, err := New(cfg, 3)
		if err != nil {
			t.Fatal(err)
		}
		g := &routerTest{t: t, r: r, now: time.Hour}
		all := g.step(Event{Kind: ListSaved, Members: saved})
		all = append(all, g.arrive(1, anyRead, time.Second, "")...)
		for range 400 { // no attempt reaches a member
			for _, a := range actionsOf(all, Send, 1) {
				all = append(all, g.answer(1, a.Attempt, a.Member, Unreachable, RoleUnknown, 0)...)
			}
			all = append(all, g.run(10*ms)...)
		}
		watches := 0
		for _, a := range all {
			if a.Kind == Watch {
				watches++
			}
		}
		if watches != 1 || len(actionsOf(all, Refuse, 1)) != 1 || len(all) > 4000 {
			t.Errorf("%s: %d watches, %d refusals, %d actions", name, watches, len(actionsOf(all, Refuse, 1)), len(all))
		}
		g.step(Event{Kind: ListFull, Members: []Member{{ID: "z"}}})
		if got := g.sentTo(g.arrive(2, anyRead, time.Second, ""), 2); got != "z" {
			t.Errorf("%s: sent to %s", name, got)
		}
	}
}

func TestNoMemberOrNoTime(t *testing.T) {
	g := newRig(t, nil, nil)
	if as := g.arrive(1, once, time.Second, ""); len(actionsOf(as, Refuse, 1)) != 1 {
		t.Error("no member: want a refusal at once")
	}
	g = newRig(t, nil, members())
	if as := g.arrive(1, once, 0, ""); len(actionsOf(as, Refuse, 1)) != 1 {
		t.Error("no time: want a refusal at once")
	}
}

// An idle front wakes seldom; a request with little time left must still be answered (seen in sapporo, lost).
func TestShortDeadlineOnIdleFront(t *testing.T) {
	g := newRig(t, nil, members())
	as := g.arrive(1, keyed, 40*ms, "u")
	var at Time
	for _, a := range as {
		if a.Kind == Wake {
			at = a.At
		}
	}
	if at == 0 || at > g.now+40*ms {
		t.Fatalf("woken %v after the arrival, too late for 40 ms", at-g.now)
	}
	as = append(as, g.run(45*ms)...)
	if len(actionsOf(as, Fail, 1))+len(actionsOf(as, Refuse, 1)) != 1 {
		t.Errorf("want one final answer in time, got %v", as)
	}
}

// One connection reset each must not take the members of a group out of use (incident i8985ed).
func TestResetsDoNotEjectAll(t *testing.T) {
	list := append(members(), Member{ID: "x", Zone: "a"}, Member{ID: "y", Zone: "a"})
	g := newRig(t, nil, list)
	for id := uint64(1); id < 60; id++ {
		for _, a := range actionsOf(g.arrive(id, anyRead, time.Second, ""), Send, id) {
			g.answer(id, 0, a.Member, Reset, RoleUnknown, 0)
		}
		g.now += ms
	}
	n := 0
	for _, m := range g.r.groups[0].members {
		if m.suspect {
			n++
		}
	}
	if n > 2 {
		t.Errorf("%d of 5 members ejected by resets", n)
	}
}

// One broken connection is no evidence against a member that has just answered; a second one is, and so is silence
// before it.
func TestOneResetIsNoEvidence(t *testing.T) {
	for name, tc := range map[string]struct {
		quiet  Time
		resets int
		want   bool
	}{"among answers": {0, 1, false}, "two": {0, 2, true}, "after silence": {2 * minSilence, 1, true}} {
		g := newRig(t, nil, members())
		g.arrive(1, once, time.Second, "u")
		g.arrive(2, once, time.Second, "u")
		g.arrive(3, once, time.Second, "u")
		g.answer(1, 0, "p", Served, Primary, g.now)
		g.now += tc.quiet + ms
		for id := 2; id < 2+tc.resets; id++ {
			g.arrive(uint64(id+10), once, time.Second, "u")
			g.answer(uint64(id+10), 0, "p", Reset, RoleUnknown, 0)
		}
		if got := g.r.members["p"].suspect; got != tc.want {
			t.Errorf("%s: suspect %v", name, got)
		}
		g = newRig(t, nil, members())
		for id := uint64(1); id < 5; id++ { // reused connections may just have been closed while idle
			g.arrive(id, once, time.Second, "u")
			g.step(Event{Kind: Outcome, Request: id, Member: "p", Result: Reset, Reused: true})
		}
		if g.r.members["p"].suspect || g.r.retryTokens < maxRetryTokens-1 {
			t.Errorf("suspect %v, %v retries left", g.r.members["p"].suspect, g.r.retryTokens)
		}
	}
}

// The half-open probe of a suspect must not be cancelled, as its answer ends the suspicion; attempts that were
// outstanding before are cancelled.
func TestHalfOpenProbeIsNotCancelled(t *testing.T) {
	g := newRig(t, nil, members()[:2])
	first := g.sentTo(g.arrive(1, anyRead, time.Second, ""), 1)
	g.r.markSuspect(g.r.members[first], true)
	if as := g.run(20 * ms); len(actionsOf(as, Cancel, 1)) != 1 {
		t.Error("an attempt out at a suspect was not cancelled")
	}
	g.answer(1, 0, first, Cancelled, RoleUnknown, 0)
	g.now += minHalfOpenDelay
	id := uint64(1)
	for m := ""; m != first; g.now += ms {
		id++
		m = g.sentTo(g.arrive(id, anyRead, time.Second, ""), id)
	}
	if as := g.run(50 * ms); len(actionsOf(as, Cancel, id)) != 0 {
		t.Error("the half-open probe was cancelled")
	}
	if gap := g.r.members[first].halfOpenAt - g.now; gap > maxHalfOpenDelay {
		t.Errorf("next half-open probe in %v", gap)
	}
	g.answer(id, 0, first, Served, RoleUnknown, 0)
	if g.r.members[first].suspect {
		t.Error("still suspect after an answer")
	}
}

// Where answers get lost, a read that later ones have overtaken is cancelled and sent again, and the member does not
// count as loaded. Where late answers do come, reads are not cancelled.
func TestLostAnswers(t *testing.T) {
	for _, lossy := range []bool{true, false} {
		g := newRig(t, nil, members()[:2])
		id, early := uint64(0), 0
		read := func() string {
			id++
			return g.sentTo(g.arrive(id, anyRead, time.Second, ""), id)
		}
		for range 30 {
			m := read()
			late := id
			var as []Action
			for range 5 {
				passes := read()
				as = append(as, g.got...)
				g.now += 10 * ms
				as = append(as, g.answer(id, 0, passes, Served, RoleUnknown, 0)...)
			}
			as = append(as, g.run(100*ms)...)
			switch {
			case len(actionsOf(as, Cancel, late)) > 0:
				early++
				again := g.sentTo(g.answer(late, 0, m, Cancelled, RoleUnknown, 0), late)
				g.now += 10 * ms
				g.answer(late, 1, again, Served, RoleUnknown, 0)
			case lossy:
				g.run(60 * ms)
				g.answer(late, 0, m, TimedOut, RoleUnknown, 0)
			default:
				g.answer(late, 0, m, Served, RoleUnknown, 0)
			}
		}
		if lossy && early < 20 || !lossy && early > 0 {
			t.Errorf("lossy %v: %d of 30 late reads cancelled early", lossy, early)
		}
		if strain := g.r.members["q"].latencyRatio; lossy && strain > maxLatencyRatio {
			t.Errorf("latency ratio %.2f from lost answers", strain)
		}
	}
}

// A replica that fails every read at once has the least outstanding work, but must not get all reads.
func TestErrorProneMemberIsUsedLast(t *testing.T) {
	g := newRig(t, nil, members()[:2])
	bad := 0
	for id := uint64(1); id <= 200; id++ {
		m := g.sentTo(g.arrive(id, anyRead, time.Second, ""), id)
		g.now += 5 * ms
		if m == "p" {
			g.answer(id, 0, m, Served, Primary, g.now)
			continue
		}
		bad++
		as := g.answer(id, 0, m, Errored, Replica, 0)
		if len(actionsOf(as, Send, id)) == 1 {
			g.answer(id, 1, "p", Served, Primary, g.now)
		}
	}
	if bad > 20 {
		t.Errorf("%d of 200 reads sent to a replica that answers none", bad)
	}
}

// A cancelled read may go on running: its work counts for a while (incident i8985ed).
func TestCancelledWorkStaysHeld(t *testing.T) {
	g := newRig(t, nil, members())
	to := g.sentTo(g.arrive(1, anyRead, time.Second, ""), 1)
	g.run(250 * ms)
	g.answer(1, 0, to, Cancelled, RoleUnknown, 0)
	if m := g.r.members[to]; m.outstandingWork != 0 || m.heldWork() == 0 {
		t.Errorf("booked %v, held %v: want only the cancelled work held", m.outstandingWork, m.heldWork())
	}
	g.run(10 * time.Second)
	if h := g.r.members[to].heldWork(); h != 0 {
		t.Errorf("%v still held long after", h)
	}
}

// A held read is refused once no member can answer it in time, well before its latency target (incident id91b7e).
func TestInfeasibleReadIsRefusedEarly(t *testing.T) {
	g := newRig(t, nil, members())
	for _, m := range g.r.groups[0].members {
		m.limit, m.outstandingWork, m.slowdown, m.answeredAt = 1, 1e9, 4, g.now
		m.attempts = append(m.attempts, &attempt{})
	}
	g.arrive(1, anyRead, time.Second, "")
	start := g.now
	for g.now < start+190*ms {
		if len(actionsOf(g.run(5*ms), Refuse, 1)) == 1 {
			if waited := g.now - start; waited > 150*ms {
				t.Errorf("refused after %v of a latency target of 200 ms", waited)
			}
			return
		}
	}
	t.Error("not refused before its latency target")
}

// Silence is noticed even when every attempt is cancelled before its answer is overdue.
func TestSilenceIsNoticedDespiteCancels(t *testing.T) {
	g := newRig(t, nil, append(members(), Member{ID: "x", Zone: "a"}))
	m := g.r.members["q"]
	for id := uint64(1); id < 200 && !m.suspect; id++ {
		for _, a := range actionsOf(g.arrive(id, anyRead, 200*ms, ""), Send, id) {
			res := Served
			g.now += 20 * ms
			if a.Member == "q" {
				g.step(Event{Kind: ClientGone, Request: id})
				res = Cancelled
			}
			g.answer(id, 0, a.Member, res, RoleUnknown, 0)
		}
		g.run(5 * ms)
	}
	if !m.suspect {
		t.Errorf("a member that answers nothing was never suspected: overdue by %v, slowdown %v", g.now-m.silentAt, m.slowdown)
	}
}

func TestDiscoveryIsRetried(t *testing.T) {
	g := newRig(t, func(c *Config) { c.ListOnRequest = true }, members())
	asks := 0
	for i := 0; i < 5; i++ {
		for _, a := range g.run(6 * time.Second) {
			if a.Kind == Watch {
				asks++
				g.step(Event{Kind: ListError})
			}
		}
	}
	if asks < 4 || asks > 30 {
		t.Errorf("%d calls in 30 s of failures", asks)
	}
}

// TestPauseAfterRefusedCalls: a call to discovery is refused after 2 s in its queue, and the next one may queue as long.
// The pause between them must let the front learn of changes within 6 s, where discovery can serve the fleet's calls in
// that time. Otherwise it must be long enough for the queue to empty.
func TestPauseAfterRefusedCalls(t *testing.T) {
	const queue, told = 2 * time.Second, 6 * time.Second
	for _, fronts := range []int{1, 5, 20, 37, 80, 100, 101, 300} {
		var sum, most Time
		for seed := range uint64(20) {
			cfg := testConfig()
			cfg.ListOnRequest, cfg.Fronts = true, fronts
			r, err := New(cfg, seed)
			if err != nil {
				t.Fatal(err)
			}
			g := &routerTest{t: t, r: r, now: time.Hour}
			g.step(Event{Kind: ListSaved})
			g.step(Event{Kind: ListChange}) // one call was answered
			for range 6 {
				g.step(Event{Kind: ListError})
				at := g.now
				for asked := false; !asked; {
					for _, a := range g.run(20 * ms) {
						asked = asked || a.Kind == Watch
					}
				}
				sum, most = sum+g.now-at, max(most, g.now-at)
			}
		}
		mean := sum / 120
		if fronts <= 100 && most > told-2*queue-200*ms || mean < 500*ms || fronts > 100 && mean < 40*ms*Time(fronts) {
			t.Errorf("%d fronts call again after %v in the mean, %v at most", fronts, mean, most)
		}
	}
}

func TestInvalidConfigs(t *testing.T) {
	tests := map[string]func(*Config){
		"no classes":          func(c *Config) { c.Classes = nil },
		"negative time":       func(c *Config) { c.SlowStartTime = -1 },
		"unknown effect":      func(c *Config) { c.Classes[0].Effect = 9 },
		"unknown consistency": func(c *Config) { c.Classes[0].Consistency = 9 },
		"front out of range":  func(c *Config) { c.Self = 2 },
		"no latency target":   func(c *Config) { c.Classes[0].LatencyTarget = 0 },
	}
	for name, change := range tests {
		cfg := testConfig()
		change(&cfg)
		if _, err := New(cfg, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Ended requests, sessions and outstanding work leave nothing behind.
func TestMemoryIsBounded(t *testing.T) {
	g := newRig(t, nil, members())
	for id := uint64(1); id < 5000; id++ {
		g.now += 5 * ms
		for _, a := range actionsOf(g.arrive(id, int(id)%6, time.Second, string(rune('a'+id%26))+"x"), Send, id) {
			role := Replica
			if a.Member == "p" {
				role = Primary
			}
			g.answer(id, 0, a.Member, Served, role, g.now)
		}
	}
	g.run(150 * ms)
	for id, q := range g.r.requests { // sent after their probes had no answer
		for _, a := range q.attempts {
			g.answer(id, a.number, a.member.ID, Served, RoleUnknown, 0)
		}
	}
	g.run(3 * time.Second)
	if n := len(g.r.requests) + len(g.r.openRequests); n != 0 {
		t.Errorf("%d ended requests kept", n)
	}
	for _, m := range g.r.groups[0].members {
		if len(m.attempts)+len(m.orphans) != 0 {
			t.Errorf("%s: %d open, %d ghosts", m.ID, len(m.attempts), len(m.orphans))
		}
	}
	if n := len(g.r.groups[0].sessions); n > 30 {
		t.Errorf("%d sessions kept", n)
	}
}

// A rejected request fails at once and is not tried elsewhere; it is no evidence against the member.
func TestRejectedIsFinal(t *testing.T) {
	g := newRig(t, nil, members())
	m := g.sentTo(g.arrive(1, anyRead, time.Second, ""), 1)
	as := g.answer(1, 0, m, Rejected, RoleUnknown, 0)
	if len(actionsOf(as, Fail, 1)) != 1 || len(actionsOf(as, Send, 1)) != 0 || g.r.members[m].errorRate > 0 || len(g.r.requests) != 0 {
		t.Errorf("actions %+v, errors %v", as, g.r.members[m].errorRate)
	}
}

// Members join and leave under ever new ids, and sessions likewise; neither table grows, though one replica is never
// heard of. Commits of forgotten sessions are still required.
func TestTablesAreBounded(t *testing.T) {
	g := newRig(t, nil, members())
	for id := uint64(1); id < 3*maxSessions; id++ {
		name := fmt.Sprint("m", id)
		g.step(Event{Kind: ListChange, Members: []Member{{ID: name}}})
		as := g.arrive(id, once, time.Second, fmt.Sprint("s", id))
		g.now += 5 * ms
		g.answer(id, 0, g.sentTo(as, id), Served, Primary, g.now)
		g.step(Event{Kind: ListChange, Members: []Member{{ID: name, State: Removed}}})
	}
	g.run(goneRetention + 50*ms)
	if n, s := len(g.r.members), len(g.r.groups[0].sessions); n != 3 || s > maxSessions {
		t.Errorf("%d members, %d sessions kept", n, s)
	}
	g.reportPosition("q", g.now-Time(maxSessions)*20*ms)
	if m := g.sentTo(append(g.arrive(1e6, session, time.Second, "s1"), g.run(100*ms)...), 1e6); m != "p" {
		t.Errorf("read of a forgotten session sent to %s, which lags", m)
	}
	for i := range 2 * MaxMembers {
		g.step(Event{Kind: ListChange, Members: []Member{{ID: fmt.Sprint("n", i)}}})
	}
	if n := len(g.r.members); n != MaxMembers {
		t.Errorf("%d members kept", n)
	}
}

// Long reads of any data go to the replica that lags most, so that the others keep applying writes (incident icd29a7).
func TestLongReadsGoToLaggingReplica(t *testing.T) {
	g := newRig(t, func(c *Config) {
		c.Classes = append(c.Classes, Class{Name: "long", LatencyTarget: 4 * time.Second, Deadline: 8 * time.Second, Value: 5})
	}, append(members(), Member{ID: "x", Zone: "a"}))
	g.reportPosition("q", g.now-10*ms)
	g.reportPosition("x", g.now-10*ms)
	g.reportPosition("s", g.now-90*ms)
	for id := uint64(1); id < 4; id++ {
		if got := g.sentTo(g.arrive(id, 6, 8*time.Second, ""), id); got != "s" {
			t.Errorf("long read %d sent to %s, want the one that lags most, s", id, got)
		}
	}
	if got := g.sentTo(g.arrive(9, anyRead, time.Second, ""), 9); got == "s" {
		t.Error("a short read joined the long ones")
	}
}

// A replica that lags far counts as more loaded, so that it catches up (incident i86c17f).
func TestLaggingReplicaIsSpared(t *testing.T) {
	g := newRig(t, nil, []Member{{ID: "p", Primary: true}, {ID: "q", Zone: "a"}, {ID: "x", Zone: "a"}})
	g.reportPosition("q", g.now-10*time.Second)
	g.reportPosition("x", g.now-10*ms)
	for id := uint64(1); id < 30; id++ {
		if got := g.sentTo(g.arrive(id, anyRead, time.Second, ""), id); got != "x" {
			t.Fatalf("read %d sent to %s though x, as idle, is up to date", id, got)
		}
		g.answer(id, 0, "x", Served, Replica, g.now)
	}
}

// A front with few reads probes for the read that needs it and for no other, one replica at a time, and the
// read waits for the answer.
func TestReadProbesForPosition(t *testing.T) {
	g := newRig(t, nil, members())
	if as := g.run(2 * time.Second); len(actionsOf(as, Probe, 0)) != 0 {
		t.Fatalf("%d probes with nothing to read", len(actionsOf(as, Probe, 0)))
	}
	as := g.arrive(1, bounded, time.Second, "")
	p := actionsOf(as, Probe, 0)
	if len(p) != 1 || p[0].Member == "p" || len(actionsOf(as, Send, 1)) != 0 {
		t.Fatalf("want one probe of a replica and the read held, got %v", as)
	}
	g.now += 2 * ms
	as = g.step(Event{Kind: Probed, Member: p[0].Member, Result: Served,
		Report: Report{HasPosition: true, Position: g.now - 50*ms, HasRole: true, Role: Replica}})
	if got := g.sentTo(as, 1); got != p[0].Member {
		t.Errorf("sent to %s, want %s that was probed", got, p[0].Member)
	}
}

// Probes without an answer must not hold a read for long: the primary gets it.
func TestSilentProbesHoldAReadShortly(t *testing.T) {
	g := newRig(t, nil, members())
	if got := g.sentTo(append(g.arrive(1, bounded, time.Second, ""), g.run(80*ms)...), 1); got != "p" {
		t.Errorf("sent to %s, want p", got)
	}
}

// With many fronts the work sent to a member in slow start stays under the fraction it can take of what other members
// get, though the budget of each front is below one request (seen in cairo-print-later, failback).
func TestSlowStartBudgetOfManyFronts(t *testing.T) {
	const fronts = 300
	list := append(members(), Member{ID: "x", Zone: "a", Started: time.Hour + 3*time.Second})
	cold, warm := 0, 0
	for f := 0; f < fronts; f++ {
		cfg := testConfig()
		cfg.Fronts, cfg.Self = fronts, f
		r, err := New(cfg, uint64(f))
		if err != nil {
			t.Fatal(err)
		}
		g := &routerTest{t: t, r: r, now: time.Hour}
		g.step(Event{Kind: ListSaved, Members: members()})
		for id := uint64(1); id <= 12; id++ { // two a second
			if id == 7 {
				g.step(Event{Kind: ListChange, Members: list[3:]})
			}
			for _, a := range actionsOf(g.arrive(id, anyRead, time.Second, ""), Send, id) {
				if a.Member == "x" {
					cold++
				} else if id >= 7 {
					warm++
				}
				g.now += 60 * ms
				g.answer(id, 0, a.Member, Served, Replica, g.now)
			}
			g.run(440 * ms)
		}
	}
	// Three seconds; x does 0.3 to 0.5 of its work, and may be sent twice that over any two of them.
	if most := float64(warm) / 2 * 0.4 * 2; float64(cold) > most {
		t.Errorf("%d requests to the member in slow start, %d to the two others: want at most %.0f", cold, warm, most)
	}
	if cold == 0 {
		t.Error("the member in slow start never gets anything")
	}
}

// One slow answer is no silence where a front has one request outstanding at a time.
func TestOneSlowAnswerIsNoSilence(t *testing.T) {
	g := newRig(t, nil, members())
	g.arrive(1, once, 2*time.Second, "u")
	g.run(Time(2 * silenceMultiple * g.r.classes[once].cost))
	if g.r.members["p"].suspect {
		t.Error("suspect for one attempt outstanding for twice the tolerance with many outstanding")
	}
	g.run(Time(1.5 * silenceMultiple * g.r.classes[once].cost))
	if !g.r.members["p"].suspect {
		t.Error("never suspect")
	}
}

// Some reads, chosen at random, are kept away from a primary whose answers are late; writes are not.
func TestReadsAreShedFromLateMember(t *testing.T) {
	g := newRig(t, nil, members()[:1])
	p := g.r.members["p"]
	sent := 0
	for id := uint64(1); id <= 200; id++ {
		p.latencyRatio, p.sampledAt = 2*shedLatencyRatio, g.now
		sent += len(actionsOf(g.arrive(id, anyRead, time.Second, ""), Send, id))
		g.answer(id, 0, "p", Served, Primary, 0)
	}
	if sent < 5 || sent > 60 {
		t.Errorf("%d of 200 reads sent, want about one in eight", sent)
	}
	g = newRig(t, nil, members()[:1])
	p = g.r.members["p"]
	p.latencyRatio, p.sampledAt = 2*shedLatencyRatio, g.now
	if len(actionsOf(g.arrive(999, once, 2*time.Second, "u"), Send, 999)) != 1 {
		t.Error("a write was shed")
	}
}

// A member without outstanding attempts gets one request whatever its limit, also when rounding errors have left its
// outstanding work slightly above 0.
func TestRoundingErrorLeavesCapacity(t *testing.T) {
	g := newRig(t, nil, members()[:1])
	m := g.r.members["p"]
	m.limit, m.outstandingWork = 1, 1e-6
	if len(actionsOf(g.arrive(1, once, 2*time.Second, "u"), Send, 1)) != 1 {
		t.Error("an idle member got nothing")
	}
}

// On a front with few requests the latency ratio of one replica stands for the replicas it knows nothing of, but not for
// the primary (incident ie3c7be).
func TestLatencyRatioIsSharedInARole(t *testing.T) {
	g := newRig(t, nil, members())
	tried := func() (replicas, primary int) {
		for i := 0; i < 200; i++ {
			q := &request{chance: g.r.rng.Float64()}
			if g.r.admitsRead(g.r.members["s"], q) {
				replicas++
			}
			if g.r.admitsRead(g.r.members["p"], q) {
				primary++
			}
		}
		return
	}
	if a, b := tried(); a != 200 || b != 200 {
		t.Fatalf("with nothing known %d and %d of 200 go", a, b)
	}
	for id := uint64(1); id < 4; id++ { // q answers at the latency target
		q := &request{class: g.r.classes[anyRead]}
		g.r.recordLatency(g.r.members["q"], &attempt{request: q, member: g.r.members["q"]}, float64(q.class.LatencyTarget))
		g.now += time.Second
		g.run(5 * ms)
	}
	if a, b := tried(); a > 60 || b != 200 {
		t.Errorf("after late answers of a replica %d of 200 go to another, %d to the primary; want few, 200", a, b)
	}
}

// A write whose answer was lost may have committed: the reads of its session must see it, while it is outstanding and
// after it has ended in doubt.
func TestWriteInDoubtBindsItsSession(t *testing.T) {
	known := func(c *Config) { c.AssumeCommittedAfter = 80 * ms }
	fresh := func(g *routerTest) { g.reportPosition("q", g.now-10*ms); g.reportPosition("s", g.now-10*ms) }
	t.Run("out", func(t *testing.T) {
		g := newRig(t, known, members())
		g.arrive(1, keyed, time.Second, "u")
		g.reportPosition("q", g.now-10*ms)
		g.now += 60 * ms // before the write counts as committed
		if got := g.sentTo(g.arrive(2, session, time.Second, "u"), 2); got == "p" {
			t.Error("a write that is out for less than an answer may take binds nothing")
		}
		g.now += 60 * ms
		if got := g.sentTo(append(g.arrive(3, session, time.Second, "u"), g.run(60*ms)...), 3); got != "p" {
			t.Errorf("sent to %s, which may lack the write that is out", got)
		}
		fresh(g)
		if got := g.sentTo(g.arrive(4, session, time.Second, "u"), 4); got == "p" {
			t.Error("a replica known to be new enough may answer")
		}
		if got := g.sentTo(g.arrive(5, session, time.Second, "other"), 5); got == "p" {
			t.Error("the write binds only its own session")
		}
	})
	for _, end := range []Result{TimedOut, Reset, Cancelled, Errored} {
		t.Run("ended", func(t *testing.T) {
			g := newRig(t, func(c *Config) { known(c); c.MaxAttempts = 1 }, members())
			g.arrive(1, once, time.Second, "u")
			g.now += 50 * ms
			g.step(Event{Kind: Outcome, Request: 1, Member: "p", Result: end, InDoubt: true, HasPosition: true, Position: g.now})
			fresh(g)
			g.now += 5 * ms
			for _, a := range actionsOf(append(g.arrive(2, session, time.Second, "u"), g.run(60*ms)...), Send, 2) { // none, where p is suspect now
				if a.Member != "p" {
					t.Errorf("after outcome %d: sent to %s, which may lack the write", end, a.Member)
				}
			}
			g.now += 20 * ms
			fresh(g)
			if got := g.sentTo(g.arrive(3, session, time.Second, "u"), 3); got == "p" {
				t.Error("replicas that have all that may have committed may answer")
			}
		})
	}
	t.Run("ended while the read is held", func(t *testing.T) {
		g := newRig(t, known, members())
		g.arrive(1, keyed, time.Second, "u")
		g.now += 100 * ms
		g.step(Event{Kind: ListChange, Members: []Member{{ID: "p", Zone: "a", State: Draining}}})
		if got := actionsOf(append(g.arrive(2, session, time.Second, "u"), g.run(20*ms)...), Send, 2); len(got) > 0 {
			t.Fatalf("sent %v while the write is out", got)
		}
		got := g.step(Event{Kind: Outcome, Request: 1, Member: "p", Result: Reset, InDoubt: true, HasPosition: true, Position: g.now})
		if got = actionsOf(append(got, g.run(20*ms)...), Send, 2); len(got) > 0 {
			t.Errorf("sent %v, which may lack the write", got)
		}
		g.reportPosition("q", g.now)
		if got := g.sentTo(g.got, 2); got != "q" {
			t.Errorf("sent to %s, want the replica that has it", got)
		}
	})
	t.Run("where answers are never lost", func(t *testing.T) {
		g := newRig(t, nil, members())
		g.arrive(1, keyed, time.Second, "u")
		g.now += 300 * ms
		if got := g.sentTo(g.arrive(2, session, time.Second, "u"), 2); got == "p" {
			t.Error("only reported commits are required")
		}
	})
}

// A repeat of a keyed write must not be written after its window, however long it waits for a connection; and a read
// states the position that its answer must have.
func TestSendNamesItsBounds(t *testing.T) {
	g := newRig(t, nil, members())
	if read := actionsOf(g.arrive(2, fresh, time.Second, ""), Send, 2); len(read) != 1 || read[0].MinPosition != g.now {
		t.Errorf("read %+v, want at least what was committed at %v", read, g.now)
	}
	first := actionsOf(g.arrive(1, keyed, 3*time.Second, "u"), Send, 1)
	at := g.now
	if len(first) != 1 || first[0].WriteBy != 0 {
		t.Fatalf("the first attempt has no window: %+v", first)
	}
	g.now += 200 * ms
	again := actionsOf(append(g.answer(1, 0, "p", Reset, RoleUnknown, 0), g.run(100*ms)...), Send, 1)
	if len(again) != 1 || again[0].WriteBy != at+time.Second {
		t.Errorf("repeat %+v, want it written before %v", again, at+time.Second)
	}
}

// With few attempts, no probes and no roles in the list a write still finds its primary, as replicas refuse it.
func TestFewAttemptsFindThePrimary(t *testing.T) {
	for most := 1; most <= 3; most++ {
		list := members()
		list[0].Primary = false
		g := newRig(t, func(c *Config) { c.MayProbe, c.MaxAttempts = false, most }, list)
		served := 0
		for id := uint64(1); id <= 40; id++ {
			as := g.arrive(id, once, time.Second, "")
			for n := 0; n < most; n++ {
				s := actionsOf(as, Send, id)
				if len(s) == 0 {
					as = g.run(60 * ms)
					if s = actionsOf(as, Send, id); len(s) == 0 {
						break
					}
				}
				if s[0].Member == "p" {
					g.answer(id, n, "p", Served, Primary, 0)
					served++
					break
				}
				as = g.answer(id, n, s[0].Member, Misdirected, Replica, 0)
			}
			g.now += 20 * ms
		}
		if served < 20 {
			t.Errorf("%d attempts: %d of 40 writes served", most, served)
		}
	}
}

// Where the settings have no overload multiple there is no slow start.
func TestNoSlowStartWithoutOverloadMultiple(t *testing.T) {
	list := members()
	for i := range list {
		list[i].Started = time.Hour - time.Second
	}
	g := newRig(t, func(c *Config) { c.SlowStartTime, c.OverloadMultiple = time.Minute, 0 }, list)
	for id := uint64(1); id <= 40; id++ {
		g.sentTo(g.arrive(id, anyRead, time.Second, ""), id)
	}
}

// TestWaitedTimeCountsAgainstTarget: the time that a request has waited behind others counts against its latency target,
// for a retry too and only once. Too late to have any value it is refused at once, so that those behind it get their
// turn; late but of some value it is sent.
func TestWaitedTimeCountsAgainstTarget(t *testing.T) {
	for _, tc := range []struct {
		class  int
		waited Time
		retry  bool
		want   ActionKind
		most   Time // the attempt's time
	}{
		{anyRead, 0, false, Send, 200 * ms},
		{anyRead, 80 * ms, false, Send, 120 * ms},
		{anyRead, 80 * ms, true, Send, 120 * ms},
		{anyRead, 250 * ms, false, Refuse, 0},
		{anyRead, 250 * ms, true, Refuse, 0},
		{once, 800 * ms, false, Send, 1200 * ms},
	} {
		g := newRig(t, nil, members())
		k := &g.r.cfg.Classes[tc.class]
		for id := range uint64(3) { // first tries tell how long clients wait
			g.step(Event{Kind: Arrive, Request: 100 + id, Class: tc.class, Tenant: -1, Remaining: k.Deadline})
			g.step(Event{Kind: ClientGone, Request: 100 + id})
		}
		g.step(Event{Kind: Arrive, Request: 1, Class: tc.class, Tenant: -1, IsRetry: tc.retry, Waited: tc.waited, Remaining: k.Deadline - tc.waited})
		got := append(actionsOf(g.got, Send, 1), actionsOf(g.got, Refuse, 1)...)
		if len(got) != 1 || got[0].Kind != tc.want || got[0].Timeout != tc.most {
			t.Errorf("%+v: %+v", tc, got)
		}
	}
}

// TestHungStreamedWrite guards against members that look slow, and classes that look costly, after streamed answers to writes that
// hung for long: their time is that to the first byte.
func TestHungStreamedWrite(t *testing.T) {
	g := newRig(t, nil, members())
	for id := range uint64(20) {
		m := g.sentTo(g.arrive(id, keyed, 2*time.Second, "k"), id)
		g.run(50 * ms)
		g.step(Event{Kind: FirstByte, Request: id, Member: m})
		g.run(25 * time.Second)
		if as := g.answer(id, 0, m, Served, Primary, g.now); len(actionsOf(as, Cancel, id)) > 0 {
			t.Errorf("actions %+v", as)
		}
	}
	if m := g.r.members["p"]; m.servedSlowdown > 2 || g.r.classes[keyed].cost > float64(100*ms) {
		t.Errorf("slowdown %.1f, cost of the class %v", m.servedSlowdown, Time(g.r.classes[keyed].cost))
	}
}
