package main

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["cold"] = coldCase }

type classOfLoad struct {
	name       string
	share      float64
	work, cv   float64 // in ms on a standard core
	exp, write bool
	deadline   int
}

// The classes of skimap-nz, in the middle of their ranges.
var skimapClasses = []classOfLoad{{"map-tiles", 0.35, 118, 0.87, false, false, 2500}, {"my-notes", 0.24, 78, 0.9, true, false, 1500},
	{"field-info", 0.21, 118, 1, false, false, 3000}, {"run-status", 0.03, 46, 1, false, false, 750}, {"map-edits", 0.17, 118, 0.95, true, true, 3000}}

func drawClass() classOfLoad {
	x := rand.Float64()
	for _, c := range skimapClasses {
		if x -= c.share; x < 0 {
			return c
		}
	}
	return skimapClasses[0]
}

func (c classOfLoad) draw() float64 {
	if c.exp {
		return c.work * rand.ExpFloat64()
	}
	s := math.Sqrt(math.Log(1 + c.cv*c.cv))
	return c.work * math.Exp(s*rand.NormFloat64()-s*s/2)
}

const meanWork = 104.0 // ms, over the classes

// coldCase: nine db machines in three clusters, a third of them of the slow kind, and three gateways. Two db machines of one cluster
// die at once and come back cold 8 s later, under a burst of half as much again. What all gateways send each of them is
// counted against what the site's rule lets it take.
func coldCase() (breaks []string) {
	const coldShare, coldTime, multiple, cores = 0.24, 18.0, 2.5, 5
	speeds := []float64{0.975, 0.55, 0.975, 0.975, 0.55, 0.975, 0.975, 0.55, 0.975}
	var machines []*dbMachine
	started := make([]atomic.Int64, 9)
	seen := make([]*arrivals, 9)
	var g *group
	total := 0.0
	for i := range 9 {
		if i%3 == 0 {
			g = newGroup()
		}
		m := &dbMachine{id: fmt.Sprintf("s-%d", i), zone: []string{"akl-east", "chc-south"}[i%2], cell: i / 3, g: g, lsnOnReads: true, keyWindow: 2 * time.Second,
			primary: i%3 == 0, cores: make(chan struct{}, cores), queueMax: 25 * cores}
		total += speeds[i] * cores * 1000 / meanWork
		m.workOf = func(s *stmt) time.Duration {
			fraction := 1.0
			if at := started[i].Load(); at != 0 {
				fraction = min(1, coldShare+(1-coldShare)*time.Since(time.UnixMilli(at)).Seconds()/coldTime)
			}
			for _, c := range skimapClasses {
				if c.name == s.class {
					return time.Duration(c.draw() / speeds[i] / fraction * float64(time.Millisecond))
				}
			}
			return 0
		}
		seen[i] = new(arrivals)
		seen[i].watch(m)
		must(m.start(), "db machine")
		machines = append(machines, m)
	}
	d := newDiscovery(machines)
	must(d.start(), "discovery")
	var gateways []*gateway
	for i := range 3 {
		settings := skimap(3)
		settings["Me"] = i
		settings["Zone"] = machines[i%2].zone
		gateways = append(gateways, startGateway(baseConfig(fmt.Sprintf("n%d", i), freeAddr(), d, settings), nil, nil))
	}
	for _, gw := range gateways {
		gw.awaitReady(10 * time.Second)
	}
	var rate atomic.Int64 // requests a second, of all gateways
	usual := int64(0.75 * total)
	rate.Store(usual)
	rec("the db machines can do %.0f requests a second, asked for are %d", total, usual)
	end := time.Now().Add(50 * time.Second)
	var count sync.Map
	var open sync.WaitGroup
	for _, gw := range gateways {
		open.Add(1)
		go func() {
			defer open.Done()
			idle := make(chan *pgClient, 512)
			for n := 0; time.Now().Before(end); n++ {
				time.Sleep(time.Duration(rand.ExpFloat64() * 3 / float64(rate.Load()) * float64(time.Second)))
				open.Add(1)
				go func() {
					defer open.Done()
					k := drawClass()
					cell := 0
					if x := rand.Float64(); x > 0.4 {
						cell = 1 + int((x-0.4)/0.3)
					}
					item := fmt.Sprintf("k%d", rand.Intn(500))
					for try := range 2 {
						var c *pgClient
						for c == nil {
							select {
							case c = <-idle:
							default:
								var err error
								if c, err = dialPG(gw.addr); err != nil {
									return
								}
							}
						}
						id := fmt.Sprintf("%s-%d-%d", gw.addr[10:], n, try)
						more := ""
						if try > 0 {
							more = ",r=1"
						}
						text := readText(id, k.name, "kea-basin", k.deadline, cell, more, item)
						if k.write {
							text = writeText(id, k.name, "kea-basin", k.deadline, cell, more+",k="+id, item, []byte("v"))
						}
						q := c.do(text, time.Duration(k.deadline+500)*time.Millisecond)
						key := k.name + " " + q.kind
						v, _ := count.LoadOrStore(key, new(atomic.Int64))
						v.(*atomic.Int64).Add(1)
						if q.kind == "closed" {
							_ = c.Close()
						} else {
							select {
							case idle <- c:
							default:
								_ = c.Close()
							}
						}
						if q.kind != "refused" {
							return
						}
						time.Sleep(60 * time.Millisecond)
					}
				}()
			}
		}()
	}
	time.Sleep(15 * time.Second)
	crashed := []int{1, 2}
	if trouble {
		for _, i := range crashed {
			rec("%s dies", machines[i].id)
			machines[i].stop()
		}
		time.Sleep(8 * time.Second)
		rate.Store(usual * 3 / 2)
		rec("the burst begins: %d requests a second", rate.Load())
		for _, i := range crashed {
			rec("%s is back, cold", machines[i].id)
			started[i].Store(time.Now().UnixMilli())
			must(machines[i].listen(machines[i].addr), "db machine")
			d.restarted(machines[i].id, started[i].Load())
		}
	}
	open.Wait()
	for _, i := range crashed {
		if started[i].Load() == 0 {
			continue
		}
		at := time.UnixMilli(started[i].Load())
		var times []float64
		for _, a := range seen[i].since(at) {
			times = append(times, a.at.Sub(at).Seconds())
		}
		sort.Float64s(times)
		worst, worstAt, worstN := 0.0, 0.0, 0.0
		byAge := make([]float64, 19) // the most, in parts of what is allowed, by the second of its life
		for last := range times {
			if times[last] > coldTime {
				break
			}
			first := sort.SearchFloat64s(times, times[last]-1)
			n := multiple * min(1, coldShare+(1-coldShare)*times[last]/coldTime) * speeds[i] * cores * 1000 / meanWork
			slack := 2*math.Sqrt(n) + 2
			if n < 30 {
				slack = 3*math.Sqrt(n) + 3
			}
			got := float64(last - first + 1)
			if got/(n+slack) > worst {
				worst, worstAt, worstN = got/(n+slack), times[last], got
			}
			byAge[int(times[last])] = max(byAge[int(times[last])], got/(n+slack))
			if got > n+slack {
				breaks = append(breaks, fmt.Sprintf("%s got %.0f requests in the second that ends %.2f s after its start, and may get %.1f + %.1f", machines[i].id, got, times[last], n, slack))
			}
		}
		rec("count: %s got %d requests while cold; the worst second ends at %.2f s with %.0f, %.2f of what is allowed; by age %.2f", machines[i].id, len(times), worstAt, worstN, worst, byAge)
	}
	count.Range(func(k, v any) bool {
		rec("count: %s %d", k, v.(*atomic.Int64).Load())
		return true
	})
	return breaks
}
