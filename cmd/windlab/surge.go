package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"time"

	"reachwind/internal/lab/load"
	"reachwind/internal/lab/proc"
	"reachwind/internal/standin/cluster"
	"reachwind/internal/standin/collector"
	"reachwind/internal/standin/pgclient"
)

const queueMB = 4

// edgeFor sends everything to one collector.
func edgeFor(addr string) string {
	return fmt.Sprintf(`syslog {
  queue { memory = "%dMB" }
  collector "office" { address = %q }
  route "all" { to = ["office"] }
}
`, queueMB, addr)
}

// surgeRun is what one run of a case gave.
type surgeRun struct {
	Case      string         `json:"case"`
	Rate      float64        `json:"rate"`
	P50       float64        `json:"p50_ms"`
	P99       float64        `json:"p99_ms"`
	P999      float64        `json:"p999_ms"`
	Served    int            `json:"served"`
	Other     int            `json:"not_served"`
	Made      int            `json:"records_made"`
	Delivered uint64         `json:"delivered"`
	Told      uint64         `json:"told_dropped"`
	Kinds     map[string]int `json:"kinds,omitempty"`
	CPU       float64        `json:"cpu_us_a_request"`
	Peak      float64        `json:"peak_anonymous_mb"`
}

var doneLine = regexp.MustCompile(`msg="collector done" collector=office made=(\d+) handed_over=(\d+) on_disk=(\d+) waiting=(\d+)`)

// syslogSurge alternates no syslog with collectors in each state, and compares within the run.
func syslogSurge(l *lab) (any, error) {
	phases := func(rate float64) []load.Phase {
		unit := 10 * time.Second
		if l.quick {
			unit = time.Second
		}
		return []load.Phase{{Rate: rate, For: unit}, {Rate: 3 * rate, For: unit}, {Rate: rate, For: 2 * unit}}
	}
	rounds := 2
	if l.quick {
		rounds = 1
	}
	if l.round > 0 {
		rounds = l.round
	}
	var runs []surgeRun
	var failed error
	for _, rate := range []float64{1000, 3000} {
		merged := map[string]*load.Result{}
		for round := range rounds {
			for _, c := range []string{"off", "healthy", "stopped", "stalled"} {
				r, res, err := surgeCase(l, c, rate, phases(rate), l.seed+uint64(round))
				if err != nil {
					failed = errors.Join(failed, fmt.Errorf("%s at %g: %w", c, rate, err))
				}
				if res == nil {
					continue
				}
				runs = append(runs, r)
				if merged[c] == nil {
					merged[c] = res
				} else {
					merged[c].Merge(res)
				}
			}
		}
		_, _ = fmt.Fprintf(l.out, "\n%g requests a second, surge of 3, %d rounds\n%-9s %9s %9s %9s %7s %7s %7s %9s %9s\n", rate, rounds,
			"case", "p50 ms", "p99 ms", "p99.9 ms", "p50 /", "p99 /", "p99.9 /", "served", "other")
		off := merged["off"]
		for _, c := range []string{"off", "healthy", "stopped", "stalled"} {
			m := merged[c]
			if m == nil || off == nil {
				continue
			}
			ms := func(q float64) float64 { return float64(m.Quantile(q).Microseconds()) / 1000 }
			ratio := func(q float64) float64 { return float64(m.Quantile(q)) / float64(off.Quantile(q)) }
			_, _ = fmt.Fprintf(l.out, "%-9s %9.2f %9.2f %9.2f %7.2f %7.2f %7.2f %9d %9d\n", c, ms(0.5), ms(0.99), ms(0.999), ratio(0.5), ratio(0.99), ratio(0.999),
				m.Outcomes[pgclient.Served], m.Planned-m.Outcomes[pgclient.Served])
		}
	}
	_, _ = fmt.Fprintf(l.out, "\n%-9s %6s %9s %10s %8s %12s %8s\n", "case", "rate", "made", "delivered", "told", "us/request", "peak MB")
	for _, r := range runs {
		_, _ = fmt.Fprintf(l.out, "%-9s %6g %9d %10d %8d %12.1f %8.1f\n", r.Case, r.Rate, r.Made, r.Delivered, r.Told, r.CPU, r.Peak)
	}
	return runs, failed
}

func surgeCase(l *lab, name string, rate float64, phases []load.Phase, seed uint64) (r surgeRun, res *load.Result, err error) {
	r = surgeRun{Case: name, Rate: rate}
	binary, err := proc.Binary()
	if err != nil {
		return r, nil, err
	}
	dir, err := os.MkdirTemp(l.dir, "surge-")
	if err != nil {
		return r, nil, err
	}
	c, err := cluster.Start(cluster.Config{Groups: 2, Replicas: 2, Lag: 10 * time.Millisecond, Work: 2 * time.Millisecond, Slots: 256})
	if err != nil {
		return r, nil, err
	}
	defer c.Close()
	k, err := collector.Start(collector.Config{Network: "tcp", Address: "127.0.0.1:0"})
	if err != nil {
		return r, nil, err
	}
	defer k.Stop(true)
	edge := ""
	if name != "off" {
		edge = edgeFor(k.Addr)
	}
	g, err := proc.Start(binary, dir, c.GatewayConfig("gw-1", "127.0.0.1:0", 192, 1024), edge)
	if err != nil {
		return r, nil, err
	}
	defer g.Kill()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	total := time.Duration(0)
	for _, p := range phases {
		total += p.For
	}
	go func() { // from an eighth of the run on, for three quarters of it: 30 s of 40
		select {
		case <-time.After(total / 8):
		case <-ctx.Done():
			return
		}
		switch name {
		case "stopped":
			k.Stop(true)
		case "stalled":
			k.Stall(true)
		}
		select {
		case <-time.After(total * 3 / 4):
		case <-ctx.Done():
			return
		}
		switch name {
		case "stopped":
			_ = k.Resume()
		case "stalled":
			k.Stall(false)
		}
	}()
	peak := make(chan int, 1)
	go func() {
		most := 0
		for ctx.Err() == nil {
			if cost, err := g.Cost(); err == nil {
				most = max(most, cost.Anonymous)
			}
			time.Sleep(100 * time.Millisecond)
		}
		peak <- most
	}()
	before, _ := g.Cost()
	begun := time.Now()
	res, err = load.Run(ctx, load.Config{Addr: g.Addr, Phases: phases, Conns: 256, Groups: 2, Seed: seed, Prefix: filepath.Base(dir) + "-"})
	if err != nil {
		return r, nil, err
	}
	after, _ := g.Cost()
	for last, quiet := uint64(0), 0; name != "off" && quiet < 30; time.Sleep(50 * time.Millisecond) { // the rest of the backlog
		s := k.Book.Summary()
		if quiet++; s.Distinct != last || s.Missing != s.Told {
			quiet = 0
		}
		if last = s.Distinct; time.Since(begun) > total+time.Minute {
			break
		}
	}
	cancel()
	r.P50, r.P99, r.P999 = ms(res.Quantile(0.5)), ms(res.Quantile(0.99)), ms(res.Quantile(0.999))
	r.Served = res.Outcomes[pgclient.Served]
	r.Other = res.Planned - r.Served
	r.CPU = float64((after.CPU - before.CPU).Microseconds()) / float64(max(1, res.Planned))
	r.Peak = float64(<-peak) / (1 << 20)
	if err := g.Stop(10 * time.Second); err != nil {
		return r, res, err
	}
	if name == "off" {
		return r, res, nil
	}
	m := doneLine.FindStringSubmatch(g.Log())
	if m == nil {
		return r, res, fmt.Errorf("the gateway told no account: %.2000s", g.Log())
	}
	n := func(i int) int { v, _ := strconv.Atoi(m[i]); return v }
	for range 500 { // the collector reads what has come
		if s := k.Book.Summary(); s.Distinct+s.Told >= uint64(n(1)) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	s := k.Book.Summary()
	r.Made, r.Delivered, r.Told, r.Kinds = n(1), s.Distinct, s.Told, s.Kinds
	switch {
	case s.Invalid > 0:
		err = fmt.Errorf("%d messages broke a rule: %q", s.Invalid, k.Book.Faults())
	case n(4) > 0:
		err = fmt.Errorf("%d records still waited at the end", n(4))
	case uint64(r.Made) != s.Distinct+s.Told || s.Missing != s.Told:
		err = fmt.Errorf("made %d, delivered %d, told %d, missing %d", r.Made, s.Distinct, s.Told, s.Missing)
	case name == "healthy" && s.Kinds["request"] != res.Planned-res.Unsent-res.Outcomes[pgclient.Broken]:
		err = fmt.Errorf("%d records of requests for %d answers", s.Kinds["request"], res.Planned-res.Unsent-res.Outcomes[pgclient.Broken])
	}
	return r, res, err
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// cost compares CPU and memory without and with syslog, and with an earlier build.
func cost(l *lab) (any, error) {
	binary, err := proc.Binary()
	if err != nil {
		return nil, err
	}
	rounds, last := 3, 10*time.Second
	if l.quick {
		rounds, last = 1, 2*time.Second
	}
	type figure struct {
		Name     string  `json:"name"`
		Idle     float64 `json:"idle_anonymous_mb"`
		Resident float64 `json:"idle_resident_mb"`
		Loaded   float64 `json:"loaded_anonymous_mb"`
		CPU      float64 `json:"cpu_us_a_request"`
		P99      float64 `json:"p99_ms"`
	}
	var all []figure
	for round := range rounds {
		for _, name := range []string{"before", "off", "on"} {
			program := binary
			if name == "before" {
				if program = l.base; program == "" {
					continue
				}
			}
			f := figure{Name: name}
			err := func() error {
				c, err := cluster.Start(cluster.Config{Groups: 2, Replicas: 2, Lag: 10 * time.Millisecond, Work: 2 * time.Millisecond, Slots: 256})
				if err != nil {
					return err
				}
				defer c.Close()
				k, err := collector.Start(collector.Config{Network: "tcp", Address: "127.0.0.1:0"})
				if err != nil {
					return err
				}
				defer k.Stop(true)
				edge := ""
				if name == "on" {
					edge = edgeFor(k.Addr)
				}
				dir, err := os.MkdirTemp(l.dir, "cost-")
				if err != nil {
					return err
				}
				g, err := proc.Start(program, dir, c.GatewayConfig("gw-1", "127.0.0.1:0", 192, 1024), edge)
				if err != nil {
					return err
				}
				defer g.Kill()
				time.Sleep(time.Second)
				idle, err := g.Cost()
				if err != nil {
					return err
				}
				res, err := load.Run(context.Background(), load.Config{Addr: g.Addr, Phases: []load.Phase{{Rate: 1000, For: last}}, Conns: 64, Groups: 2,
					Seed: l.seed + uint64(round), Prefix: filepath.Base(dir) + "-"})
				if err != nil {
					return err
				}
				after, err := g.Cost()
				f.Idle, f.Resident, f.Loaded = float64(idle.Anonymous)/(1<<20), float64(idle.Resident)/(1<<20), float64(after.Anonymous)/(1<<20)
				f.CPU = float64((after.CPU - idle.CPU).Microseconds()) / float64(max(1, res.Planned))
				f.P99 = ms(res.Quantile(0.99))
				return err
			}()
			if err != nil {
				return all, err
			}
			all = append(all, f)
			_, _ = fmt.Fprintf(l.out, "%-7s idle %5.1f MB anonymous, %5.1f MB resident; at 1000/s %5.1f MB anonymous, %6.1f us a request, p99 %.2f ms\n",
				f.Name, f.Idle, f.Resident, f.Loaded, f.CPU, f.P99)
		}
	}
	return all, nil
}
