package main

import (
	"fmt"
	"sync"
	"time"
)

func init() {
	cases["crowd"] = crowdCase
	cases["drained-gone"] = drainedGoneCase
}

// arrival is a statement that reached a db machine whole.
type arrival struct {
	at   time.Time
	text string
}

// arrivals collects the statements that reach one db machine.
type arrivals struct {
	mu  sync.Mutex
	all []arrival
}

func (a *arrivals) watch(m *dbMachine) {
	m.onStatement = func(m *dbMachine, s *stmt) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.all = append(a.all, arrival{time.Now(), s.text})
		rec("%s gets %s", m.id, s.text)
	}
}

// since returns the statements that came after a time.
func (a *arrivals) since(t time.Time) (late []arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, one := range a.all {
		if one.at.After(t) {
			late = append(late, one)
		}
	}
	return late
}

// load has clients read items until end, each waiting a little between requests. It returns how the requests ended.
func load(addr, class string, clients int, pause time.Duration, end time.Time) func() map[string]int {
	var mu sync.Mutex
	var done sync.WaitGroup
	count := map[string]int{}
	for i := range clients {
		done.Add(1)
		go func() {
			defer done.Done()
			var c *pgClient
			for n := 0; time.Now().Before(end); n++ {
				if c == nil {
					var err error
					if c, err = dialPG(addr); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				q := c.do(readText(id, class, "kea-basin", 3000, 0, "", "hut"), 4*time.Second)
				rec("request %s: %s %s after %v", id, q.kind, q.code, q.took.Round(time.Millisecond))
				mu.Lock()
				count[q.kind]++
				mu.Unlock()
				if q.kind == "closed" {
					_ = c.Close()
					c = nil
				}
				time.Sleep(pause)
			}
		}()
	}
	return func() map[string]int {
		done.Wait()
		return count
	}
}

func someMachines(n int, zone string) (machines []*dbMachine) {
	g := newGroup()
	g.rows["hut"] = []commit{{1, []byte("open")}}
	for i := range n {
		machines = append(machines, &dbMachine{id: fmt.Sprintf("s-%d", i), zone: zone, g: g, work: 60 * time.Millisecond, lsnOnReads: true,
			keyWindow: 2 * time.Second, primary: i == 0})
	}
	return machines
}

// crowdCase: one of 300 gateways starts again with its last list while a db machine drains that the list has as ready. Discovery
// has too many callers at that moment: it refuses the gateway's first call after a second in its queue, and from then on
// answers every call at once.
func crowdCase() (breaks []string) {
	machines := someMachines(4, "akl-east")
	drained := machines[3]
	var got arrivals
	got.watch(drained)
	for _, m := range machines {
		must(m.start(), "db machine")
		defer m.stop()
	}
	d := newDiscovery(machines)
	var reachable time.Time
	var mu sync.Mutex
	d.before = func(call int, target string) int {
		rec("discovery: call %d %s", call, target)
		if call > 1 || !trouble {
			return 0
		}
		time.Sleep(1010 * time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		reachable = time.Now()
		rec("discovery: call 1 refused with 503 after 1.01 s in the queue; it answers at once from now on")
		return 503
	}
	must(d.start(), "discovery")
	conf := baseConfig("n1", freeAddr(), d, skimap(300))
	d.set(drained.id, "draining")
	drained.mu.Lock()
	drained.draining = true
	drained.mu.Unlock()
	gw := startGateway(conf, nil, nil)
	gw.awaitReady(10 * time.Second)
	wait := load(gw.addr, "field-info", 6, 50*time.Millisecond, time.Now().Add(36*time.Second))
	count := wait()
	told, ok := d.told(2)
	mu.Lock()
	defer mu.Unlock()
	binds := reachable.Add(6 * time.Second)
	if ok && (reachable.IsZero() || told.Before(binds)) {
		binds = told
	}
	limit := binds.Add(300 * time.Millisecond) // drain_grace_ms and 50 ms
	rec("the drain counts as told at %.3f and binds from %.3f on; discovery wrote it to the gateway: %v", binds.Sub(began).Seconds(), limit.Sub(began).Seconds(), ok)
	if ok {
		rec("discovery wrote it at %.3f", told.Sub(began).Seconds())
	}
	rec("count: requests %v, statements at %s %d", count, drained.id, len(got.all))
	for _, late := range got.since(limit) {
		breaks = append(breaks, fmt.Sprintf("%.2f s after the drain counted as told %s got %s", late.at.Sub(binds).Seconds(), drained.id, late.text))
	}
	gw.copyLog()
	return breaks
}

// drainedGoneCase: a db machine is listed as draining, then as gone, while its process still runs. Where only a listing as
// draining binds, it binds from then on.
func drainedGoneCase() (breaks []string) {
	machines := someMachines(4, "islet")
	drained := machines[3]
	var got arrivals
	got.watch(drained)
	for _, m := range machines {
		must(m.start(), "db machine")
		defer m.stop()
	}
	d := newDiscovery(machines)
	must(d.start(), "discovery")
	settings := skimap(4)
	settings["Discovery"] = "push"
	settings["Rules"].(map[string]any)["DrainBindsAlone"] = true
	gw := startGateway(baseConfig("n1", freeAddr(), d, settings), nil, nil)
	gw.awaitReady(10 * time.Second)
	wait := load(gw.addr, "field-info", 6, 30*time.Millisecond, time.Now().Add(14*time.Second))
	time.Sleep(3 * time.Second)
	if trouble {
		d.set(drained.id, "draining")
		time.Sleep(3 * time.Second)
		d.set(drained.id, "gone")
	}
	count := wait()
	rec("count: requests %v, statements at %s %d", count, drained.id, len(got.all))
	if told, ok := d.told(2); ok {
		limit := told.Add(300 * time.Millisecond)
		rec("told of the drain at %.3f", told.Sub(began).Seconds())
		for _, late := range got.since(limit) {
			breaks = append(breaks, fmt.Sprintf("%.2f s after it was told that %s drains: %s", late.at.Sub(told).Seconds(), drained.id, late.text))
		}
	}
	gw.copyLog()
	return breaks
}
