package logroute

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachwind/internal/record"
)

// state of collectors, as a test has it.
type ups []int // 0 down, 1 up, 2 steady

func (u ups) Up(i int) bool     { return u[i] > 0 }
func (u ups) Stable(i int) bool { return u[i] == 2 }

func request(tenant int, o record.Outcome) *record.Record {
	r := &record.Record{Kind: record.Request, Tenant: tenant, Outcome: o}
	r.SetRequestSeverity()
	return r
}

func table(t testing.TB, routes []Route, collectors ...string) *Table {
	tb, err := NewTable(routes, collectors, 1)
	if err != nil {
		t.Fatal(err)
	}
	return tb
}

// TestSelect: each thing that a route names narrows it, and the first that selects takes the record.
func TestSelect(t *testing.T) {
	failed, member := request(1, record.Failed), &record.Record{Kind: record.Member, Severity: record.Warning, Member: "db-1", Tenant: -1}
	line := &record.Record{Kind: record.Program, Severity: record.Info, Tenant: -1}
	for i, tc := range []struct {
		route Route
		takes []*record.Record
		not   []*record.Record
	}{
		{Route{}, []*record.Record{failed, member, line}, nil},
		{Route{Kinds: []record.Kind{record.Member}}, []*record.Record{member}, []*record.Record{failed, line}},
		{Route{Severity: record.Warning}, []*record.Record{failed, member}, []*record.Record{line, request(0, record.Served)}},
		{Route{Tenants: []int{1}}, []*record.Record{failed}, []*record.Record{request(0, record.Failed), member, line}},
		{Route{Outcomes: []record.Outcome{record.Failed, record.Refused}}, []*record.Record{failed}, []*record.Record{request(1, record.Served), line}},
		{Route{Classes: []int{0}}, []*record.Record{failed}, []*record.Record{member}},
		{Route{Members: []string{"db-1"}}, []*record.Record{member}, []*record.Record{failed, line}},
	} {
		tc.route.To = []int{0}
		tb := table(t, []Route{tc.route, {To: []int{1}}}, "a", "b")
		for want, records := range [][]*record.Record{tc.takes, tc.not} {
			for _, r := range records {
				if got := tb.Route(0, r, ups{2, 2}, nil); len(got) != 1 || got[0].Collector != want {
					t.Errorf("case %d: %+v went to %+v, want collector %d", i, r, got, want)
				}
			}
		}
	}
	both := table(t, []Route{{To: []int{0}, Continue: true}, {To: []int{1}}}, "a", "b")
	if got := both.Route(0, failed, ups{2, 2}, nil); len(got) != 2 {
		t.Errorf("with continue it went to %+v", got)
	}
	for _, r := range []Route{{}, {To: []int{2}}, {To: []int{0, 0}}, {To: []int{0}, Rate: -1}, {To: []int{0}, Sample: 2}} {
		if _, err := NewTable([]Route{r}, []string{"a", "b"}, 1); err == nil {
			t.Errorf("%+v: no error", r)
		}
	}
}

// TestSample: what is kept stands for all, exactly, and for each customer about as many as it asked.
func TestSample(t *testing.T) {
	tb := table(t, []Route{{Sample: 0.1, To: []int{0}}}, "a")
	const n = 200_000
	sum, by := uint64(0), [2]float64{}
	for i := range n {
		for _, x := range tb.Route(0, request(i%2, record.Served), ups{2}, nil) {
			sum += x.Weight
			by[i%2] += float64(x.Weight)
		}
	}
	if sum+tb.state[0].skipped != n || math.Abs(by[0]/by[1]-1) > 0.05 {
		t.Errorf("weights add up to %d and %d more, by customers %v, of %d", sum, tb.state[0].skipped, by, n)
	}
	for range 100 {
		if got := tb.Route(0, &record.Record{Kind: record.Member, Tenant: -1}, ups{2}, nil); len(got) != 1 || got[0].Weight != 1 {
			t.Fatalf("a member's change was sampled: %+v", got)
		}
	}
}

// TestRate: over any stretch no more than the rate and one burst pass, and what is over says so.
func TestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1, 1000).Draw(t, "rate"))
		tb, _ := NewTable([]Route{{Rate: rate, To: []int{0}}}, []string{"a"}, 1)
		now, passed, begin := Time(0), 0, Time(0)
		for range rapid.IntRange(1, 300).Draw(t, "n") {
			now += Time(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			if got := tb.Route(now, request(0, record.Failed), ups{2}, nil); len(got) != 1 {
				t.Fatal("a record over the rate is to be counted")
			} else if !got[0].OverRate {
				passed++
			}
		}
		if most := rate + rate*(now-begin).Seconds() + 1; float64(passed) > most {
			t.Fatalf("%d passed in %v at %g a second", passed, now, rate)
		}
	})
}

// TestSpread: customers keep their collector, and the loss of one moves only its own.
func TestSpread(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	tb := table(t, []Route{{Mode: Spread, To: []int{0, 1, 2, 3, 4}}}, names...)
	all := ups{2, 2, 2, 2, 2}
	const customers = 5000
	count := make([]int, 5)
	home := make([]int, customers)
	for c := range customers {
		home[c] = tb.Route(0, request(c, record.Served), all, nil)[0].Collector
		count[home[c]]++
	}
	for i, n := range count {
		if n < customers/5*8/10 || n > customers/5*12/10 {
			t.Errorf("collector %d has %d of %d customers", i, n, customers)
		}
	}
	down := ups{2, 2, 0, 2, 2}
	for c := range customers {
		now := tb.Route(0, request(c, record.Served), down, nil)[0].Collector
		if home[c] != 2 && now != home[c] || home[c] == 2 && now == 2 {
			t.Fatalf("customer %d went from %d to %d when collector 2 was lost", c, home[c], now)
		}
	}
	if got := tb.Route(0, request(7, record.Served), ups{0, 0, 0, 0, 0}, nil)[0].Collector; got != home[7] {
		t.Errorf("with none up customer 7 waits for %d, want %d", got, home[7])
	}
}

// TestFailover: the first that has worked for a while, else the first that is up, else the first.
func TestFailover(t *testing.T) {
	tb := table(t, []Route{{Mode: Failover, To: []int{1, 0, 2}}}, "a", "b", "c")
	for _, tc := range []struct {
		u    ups
		want int
	}{{ups{2, 2, 2}, 1}, {ups{2, 0, 2}, 0}, {ups{2, 1, 2}, 0}, {ups{0, 1, 0}, 1}, {ups{1, 1, 1}, 1}, {ups{0, 0, 2}, 2}, {ups{0, 0, 0}, 1}} {
		if got := tb.Route(0, request(0, record.Failed), tc.u, nil)[0].Collector; got != tc.want {
			t.Errorf("%v: collector %d, want %d", tc.u, got, tc.want)
		}
	}
	if to := tb.Reassign(0, 0, 1, ups{0, 0, 0}); to != -1 {
		t.Errorf("moved to %d with none up", to)
	}
	if to := tb.Reassign(0, 0, 1, ups{2, 2, 2}); to != 0 {
		t.Errorf("moved to %d, want 0", to)
	}
}

// TestCircuits: through random failures never two connections are made to one collector at once, tries of all stay
// in their budget, back-off grows and is spread, and a collector that works is tried at once when it comes back.
func TestCircuits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "collectors")
		c := NewCircuits(n, rapid.Uint64().Draw(t, "seed"))
		now, tries, first := Time(0), 0, make([]bool, n)
		open := make([]int, n) // 0 closed, 1 trying, 2 connected
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += Time(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, n-1).Draw(t, "collector")
			switch open[i] {
			case 0:
				wait := c.TryConnect(now, i)
				if wait < 0 || wait > backoffMost+time.Second {
					t.Fatalf("told to wait %v", wait)
				}
				if wait == 0 {
					open[i] = 1
					if first[i] {
						tries++
					}
					first[i] = true
				}
			case 1:
				if c.TryConnect(now, i) == 0 {
					t.Fatal("a second connection was tried at once")
				}
				if rapid.Bool().Draw(t, "connects") {
					c.Connected(now, i)
					open[i] = 2
				} else {
					c.Failed(now, i)
					open[i] = 0
				}
			case 2:
				if rapid.Bool().Draw(t, "breaks") {
					c.Failed(now, i)
					open[i] = 0
				} else if p := c.Phase(now, i); p < Probation {
					t.Fatalf("connected, and in phase %d", p)
				}
			}
			if c.Up(i) != (open[i] == 2) {
				t.Fatalf("collector %d: up is %v, its connection in state %d", i, c.Up(i), open[i])
			}
		}
		if most := budgetBurst + budgetRate*now.Seconds() + 1; float64(tries) > most {
			t.Fatalf("%d tries in %v", tries, now)
		}
	})
	c := NewCircuits(1, 1)
	last := Time(0)
	for i, now := 0, Time(0); i < 12; i++ {
		for wait := c.TryConnect(now, 0); wait > 0; wait = c.TryConnect(now, 0) {
			now += wait
			last = wait
		}
		c.Failed(now, 0)
	}
	if last < backoffMost/4 || last > backoffMost {
		t.Errorf("after 12 failures it waits %v", last)
	}
	c = NewCircuits(1, 1)
	_ = c.TryConnect(0, 0)
	c.Connected(0, 0)
	if c.Phase(0, 0) != Working || !c.Stable(0) {
		t.Error("the first connection is no trial")
	}
	c.Failed(time.Minute, 0)
	_ = c.TryConnect(2*time.Minute, 0)
	c.Connected(2*time.Minute, 0)
	if c.Phase(2*time.Minute+trialTime/2, 0) != Probation || c.Stable(0) {
		t.Error("after a failure it is on trial")
	}
	if c.Phase(2*time.Minute+steadyTime, 0) != Working || !c.Stable(0) {
		t.Error("after a while it is trusted again")
	}
}
