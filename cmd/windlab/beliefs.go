package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"text/tabwriter"
	"time"

	"reachwind/internal/fleet"
	"reachwind/internal/lab/load"
	"reachwind/internal/lab/proc"
	"reachwind/internal/lab/rig"
	"reachwind/internal/lab/simnet"
	"reachwind/internal/standin/cluster"
)

// arm is one way of running gateways.
type arm struct {
	Name                 string
	Planned, Served      int
	Writes, WritesServed int
	P99                  time.Duration
	Looks, LooksWrong    int64
	Wrong                int // members taken out of use by a gateway while they were healthy
	Out                  int // taken out of use in all
}

// beliefs compares gateways that know each other with the same that don't, through crashes, hangs and restart waves of
// members, with few requests each: alone each learns late.
func beliefs(l *lab) (any, error) {
	rounds, span := 8, 24*time.Second
	if l.quick {
		rounds, span = 1, 12*time.Second
	}
	if l.round > 0 {
		rounds = l.round
	}
	arms := []*arm{{Name: "alone"}, {Name: "know each other"}}
	for i := range rounds {
		for k := range arms {
			a := arms[(i+k)%2]
			if err := beliefsRound(l, a, l.seed+uint64(i), span); err != nil {
				return arms, fmt.Errorf("%s, seed %d: %w", a.Name, l.seed+uint64(i), err)
			}
		}
	}
	w := tabwriter.NewWriter(l.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "GATEWAYS\tPLANNED\tIN TIME\tWRITES IN TIME\tLATEST p99\tTAKEN OUT\tWHILE HEALTHY\tLOOKS\tNOT BORNE OUT")
	for _, a := range arms {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.2f %%\t%.2f %%\t%v\t%d\t%d\t%d\t%d\n", a.Name, a.Planned, 100*float64(a.Served)/float64(max(1, a.Planned)),
			100*float64(a.WritesServed)/float64(max(1, a.Writes)), a.P99.Round(time.Millisecond), a.Out, a.Wrong, a.Looks, a.LooksWrong)
	}
	_ = w.Flush()
	if arms[1].Wrong > 0 {
		return arms, errors.New("members were taken out of use while they were healthy")
	}
	return arms, nil
}

// trouble is when a member was in trouble.
type trouble struct {
	member     string
	begin, end time.Time
}

func beliefsRound(l *lab, a *arm, seed uint64, span time.Duration) error {
	binary, err := proc.Binary()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp(l.dir, "beliefs-")
	if err != nil {
		return err
	}
	gateways, rate, groups := 8, 12.0, 3
	if l.size > 0 { // many groups, each seen seldom by each gateway
		gateways, rate, groups = 10, 2, l.size
	}
	r, err := rig.New(rig.Config{Binary: binary, Dir: dir, Size: gateways, Seeds: 2, Zones: []string{"a", "b", "c"}, Seed: seed, Cost: true, Off: a.Name == "alone",
		Cluster: cluster.Config{Groups: groups, Replicas: 2, Lag: 10 * time.Millisecond, Work: 5 * time.Millisecond, Elect: time.Second}})
	if err != nil {
		return err
	}
	defer r.Close()
	if err := r.StartAll(); err != nil {
		return err
	}
	if a.Name != "alone" {
		if _, err := rig.Until(time.Minute, func() error { return errors.Join(rig.Common(r.Nodes), rig.Verdicts(r.Nodes, "whole")) }); err != nil {
			return err
		}
	} else {
		time.Sleep(3 * time.Second)
	}
	var troubles []trouble
	stop := make(chan struct{})
	var done sync.WaitGroup
	done.Add(1)
	go func() { // the same for both arms
		defer done.Done()
		rng := rand.New(rand.NewPCG(seed, 0x74726f))
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(1+rng.IntN(2)) * time.Second):
			}
			all := r.Cluster.Members()
			m, kind, length := all[rng.IntN(len(all))], rng.IntN(3), time.Duration(1500+rng.IntN(2000))*time.Millisecond
			t := trouble{member: m.ID, begin: time.Now()}
			switch kind {
			case 0:
				m.Hang(true)
				time.Sleep(length)
				m.Hang(false)
			case 1:
				m.Kill()
				time.Sleep(length)
				_ = m.Restart()
			case 2:
				m.Kill()
				time.Sleep(200 * time.Millisecond)
				_ = m.Restart()
			}
			t.end = time.Now()
			troubles = append(troubles, t)
		}
	}()
	results := make([]*load.Result, gateways)
	errs := make([]error, gateways)
	var loads sync.WaitGroup
	for i, n := range r.Nodes {
		loads.Add(1)
		go func() {
			defer loads.Done()
			results[i], errs[i] = load.Run(context.Background(), load.Config{Addr: n.P.Addr, Phases: []load.Phase{{Rate: rate, For: span}}, Conns: 12, Groups: groups,
				Seed: seed*100 + uint64(i), Prefix: fmt.Sprintf("b%d-%d-", seed, i)})
		}()
	}
	loads.Wait()
	close(stop)
	done.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	for _, res := range results {
		a.Planned += res.Planned
		a.Served += res.Outcomes[0]
		if w := res.ByClass["map-edits"]; w != nil {
			a.WritesServed += w[0]
			a.Writes += w[0] + w[1] + w[2] + w[3]
		}
		a.P99 = max(a.P99, res.Quantile(0.99))
	}
	if a.Name == "alone" {
		return nil
	}
	for _, n := range r.Nodes {
		v, err := n.View()
		if err != nil {
			return err
		}
		a.Looks += v.Counts["looks"]
		a.LooksWrong += v.Counts["looks_wrong"]
		all, err := n.Events()
		if err != nil {
			return err
		}
		for _, e := range all {
			if e.Kind == "member" && e.State == "silent" {
				a.Out++
				if !explained(e, troubles) {
					a.Wrong++
				}
			}
		}
	}
	return nil
}

// explained tells whether the member was in trouble at the time of an event, or a little before.
func explained(e fleet.Event, troubles []trouble) bool {
	at := time.Unix(0, e.WallNs)
	for _, t := range troubles {
		if t.member == e.Member && at.After(t.begin.Add(-100*time.Millisecond)) && at.Before(t.end.Add(3*time.Second)) {
			return true
		}
	}
	return false
}

// fleetCost compares CPU a request, p99 and memory of a gateway with its block fleet on and off.
func fleetCost(l *lab) (any, error) {
	rounds, span, rate := 12, 6*time.Second, 1000.0
	if l.quick {
		rounds, span, rate = 2, 2*time.Second, 300
	}
	if l.round > 0 {
		rounds = l.round
	}
	binary, err := proc.Binary()
	if err != nil {
		return nil, err
	}
	type figures struct {
		Name                string
		CPU                 []time.Duration // a request
		P99                 []time.Duration
		Resident, Anonymous int
	}
	arms := []*figures{{Name: "off"}, {Name: "off again"}, {Name: "on"}, {Name: "with a council"}} // what two that are alike differ by is noise
	rigs := make([]*rig.Rig, len(arms))
	var shared *cluster.Cluster // one for all, so that they differ in nothing else
	council, err := rig.NewCouncil(binary, filepath.Join(l.dir, "council"), 3, l.seed)
	if err != nil {
		return nil, err
	}
	defer council.Close()
	for i, a := range arms {
		dir, err := os.MkdirTemp(l.dir, "cost-")
		if err != nil {
			return nil, err
		}
		size := 1
		if i >= 2 {
			size = 12
		}
		conf := rig.Config{Binary: binary, Dir: dir, Size: size, Seeds: 2, Zones: []string{"a", "b", "c"}, Seed: l.seed, Cost: true, Off: i < 2, Use: shared}
		if a.Name == "with a council" {
			conf.Council, conf.Keys = council.Listens(), council.Keys()
		}
		if rigs[i], err = rig.New(conf); err != nil {
			return nil, err
		}
		shared = rigs[0].Cluster
		defer rigs[i].Close()
		if err := rigs[i].StartAll(); err != nil {
			return nil, err
		}
	}
	for _, r := range rigs[2:] {
		if _, err := rig.Until(time.Minute, func() error { return rig.Verdicts(r.Nodes, "whole") }); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	for i := range rounds {
		for k := range arms {
			j := (i + k) % len(arms)
			n := rigs[j].Nodes[0]
			before, err := n.P.Cost()
			if err != nil {
				return nil, err
			}
			res, err := load.Run(context.Background(), load.Config{Addr: n.P.Addr, Phases: []load.Phase{{Rate: rate, For: span}}, Conns: 24, Groups: 2, Seed: l.seed + uint64(i),
				Prefix: fmt.Sprintf("c%d-%d-", i, j)})
			if err != nil {
				return nil, err
			}
			after, err := n.P.Cost()
			if err != nil {
				return nil, err
			}
			if i == 0 { // warming up
				continue
			}
			arms[j].CPU = append(arms[j].CPU, (after.CPU-before.CPU)/time.Duration(max(1, res.Planned)))
			arms[j].P99 = append(arms[j].P99, res.Quantile(0.99))
			arms[j].Resident, arms[j].Anonymous = after.Resident, after.Anonymous
		}
	}
	w := tabwriter.NewWriter(l.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "FLEET\tCPU A REQUEST p50\tP99 p50\tRESIDENT\tANONYMOUS")
	middle := func(all []time.Duration) time.Duration { return simnet.Quantile(all, 0.5) }
	for _, a := range arms {
		_, _ = fmt.Fprintf(w, "%s\t%v\t%v\t%.1f MB\t%.1f MB\n", a.Name, middle(a.CPU), middle(a.P99), float64(a.Resident)/(1<<20), float64(a.Anonymous)/(1<<20))
	}
	_ = w.Flush()
	for _, a := range arms[1:] {
		if len(arms[0].CPU) > 0 {
			_, _ = fmt.Fprintf(l.out, "%s to off: CPU %.3f, p99 %.3f\n", a.Name, float64(middle(a.CPU))/float64(middle(arms[0].CPU)), float64(middle(a.P99))/float64(middle(arms[0].P99)))
		}
	}
	return arms, nil
}
