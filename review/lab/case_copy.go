package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

func init() {
	cases["copy"] = copyCase
	cases["copy-once"] = copyOnceCase
}

// copyCase: clients read items one after another. In the disruption one in twenty answers of the db machines has a second
// copy right behind it: a tenth of a millisecond later, and only while nothing else waits on that connection. Each client is
// owed the value of the item that it asked for.
func copyCase() (breaks []string) {
	const items, clients = 200, 16
	g := newGroup()
	value := func(i int) string { return fmt.Sprintf("this is item %d", i) }
	for i := range items {
		g.rows[fmt.Sprintf("item-%d", i)] = []commit{{1, []byte(value(i))}}
	}
	var machines []*dbMachine
	for i := range 3 {
		m := &dbMachine{id: fmt.Sprintf("s-%d", i), zone: "akl-east", g: g, work: 86 * time.Millisecond, lsnOnReads: true, keyWindow: 2 * time.Second, primary: i == 0,
			oneWay: 200 * time.Microsecond}
		if i > 0 {
			m.zone, m.oneWay = "chc-south", 700*time.Microsecond
		}
		if trouble {
			m.copyShare, m.copyAfter = 0.05, 100*time.Microsecond
		}
		must(m.start(), "db machine")
		defer m.stop()
		machines = append(machines, m)
	}
	d := newDiscovery(machines)
	must(d.start(), "discovery")
	gw := startGateway(baseConfig("n1", freeAddr(), d, skimap(3)), nil, nil)
	gw.awaitReady(10 * time.Second)
	end := time.Now().Add(20 * time.Second)
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
					if c, err = dialPG(gw.addr); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				item := rand.Intn(items)
				id := fmt.Sprintf("c%d-%d", i, n)
				q := c.do(readText(id, "field-info", "kea-basin", 3000, 0, "", fmt.Sprintf("item-%d", item)), 4*time.Second)
				rec("request %s reads item-%d: %s %s %q", id, item, q.kind, q.code, q.value)
				mu.Lock()
				count[q.kind]++
				if q.kind == "served" && string(q.value) != value(item) {
					count["foreign"]++
					breaks = append(breaks, fmt.Sprintf("request %s asked for item-%d and got %q", id, item, q.value))
				}
				mu.Unlock()
				if q.kind == "closed" {
					_ = c.Close()
					c = nil
				}
			}
		}()
	}
	done.Wait()
	for what, n := range count {
		rec("count: %s %d", what, n)
	}
	for _, m := range machines {
		rec("count: %s served %d, second copies %d", m.id, m.served, m.copies)
	}
	gw.copyLog()
	return breaks
}

// copyOnceCase: the same disruption at nairobi-heating, whose control-change must never run twice. The primary turns one
// statement in ten away, its queue being full.
func copyOnceCase() (breaks []string) {
	const clients = 12
	g := newGroup()
	var machines []*dbMachine
	for i := range 3 {
		m := &dbMachine{id: fmt.Sprintf("s-%d", i), zone: "upper-hill", g: g, work: 90 * time.Millisecond, inlineReport: true, primary: i == 0,
			oneWay: 300 * time.Microsecond, turnAway: 0.1}
		if trouble {
			m.copyShare, m.copyAfter = 0.05, 100*time.Microsecond
		}
		must(m.start(), "db machine")
		defer m.stop()
		machines = append(machines, m)
	}
	d := newDiscovery(machines)
	must(d.start(), "discovery")
	gw := startGateway(baseConfig("n1", freeAddr(), d, nairobi(3)), nil, nil)
	gw.awaitReady(10 * time.Second)
	end := time.Now().Add(25 * time.Second)
	var mu sync.Mutex
	var done sync.WaitGroup
	count := map[string]int{}
	verdicts := map[string]string{}
	for i := range clients {
		done.Add(1)
		go func() {
			defer done.Done()
			var c *pgClient
			for n := 0; time.Now().Before(end); n++ {
				if c == nil {
					var err error
					if c, err = dialPG(gw.addr); err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				q := c.do(writeText(id, "control-change", "", 5000, 0, "", "room-"+id, []byte("set "+id)), 6*time.Second)
				rec("request %s: %s %s %q", id, q.kind, q.code, q.value)
				mu.Lock()
				count[q.kind]++
				verdicts[id] = q.kind
				mu.Unlock()
				if q.kind == "closed" {
					_ = c.Close()
					c = nil
				}
			}
		}()
	}
	done.Wait()
	time.Sleep(time.Second)
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, v := range verdicts {
		switch runs := g.runs[id]; {
		case runs > 1:
			breaks = append(breaks, fmt.Sprintf("request %s, which must never run twice, ran %d times", id, runs))
		case runs == 0 && v == "served":
			count["told as served, and never run"]++
		case runs == 1 && v == "refused":
			count["refused, and run"]++
		}
	}
	rec("count: %v, second copies %d", count, machines[0].copies)
	gw.copyLog()
	return breaks
}
