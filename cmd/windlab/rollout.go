package main

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"reachwind/internal/fleet/agreed"
)

// rollout plays releases of many gateways by the agreed state in virtual time: what the plan takes against the least that
// its budgets allow, by the times that targets take.
func rollout(l *lab) (any, error) {
	sizes := []int{40, 300, 1000}
	if l.size > 0 {
		sizes = []int{l.size}
	}
	w := tabwriter.NewWriter(l.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "GATEWAYS\tBUDGET\tTOOK\tLEAST\tRATIO\tMOST OUT\tSTATE'S BYTES\tREAL TIME")
	type figure struct {
		Size, Budget, MostOut, Bytes int
		Took, Least                  time.Duration
	}
	var all []figure
	for _, n := range sizes {
		budget := max(1, n/20)
		begin := time.Now()
		took, least, most, bytes, err := oneRollout(l.seed, n, budget)
		if err != nil {
			return all, fmt.Errorf("%d gateways: %w", n, err)
		}
		all = append(all, figure{n, budget, most, bytes, took, least})
		_, _ = fmt.Fprintf(w, "%d\t%d\t%v\t%v\t%.3f\t%d\t%d\t%v\n", n, budget, took.Round(time.Second), least.Round(time.Second), took.Seconds()/least.Seconds(), most, bytes, time.Since(begin).Round(time.Millisecond))
	}
	return all, w.Flush()
}

// back is a target that comes back at a time.
type back struct {
	at   int64
	name string
}

type backs []back

func (b backs) Len() int           { return len(b) }
func (b backs) Less(i, j int) bool { return b[i].at < b[j].at }
func (b backs) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *backs) Push(x any)        { *b = append(*b, x.(back)) }
func (b *backs) Pop() any {
	last := (*b)[len(*b)-1]
	*b = (*b)[:len(*b)-1]
	return last
}

func oneRollout(seed uint64, n, budget int) (took, least time.Duration, most, bytes int, err error) {
	rng := rand.New(rand.NewPCG(seed, 0x726f6c6c))
	m := agreed.New(agreed.NewestFormat, 0)
	index, number, now := uint64(0), uint64(0), int64(1000)
	do := func(c agreed.Command) agreed.Result {
		index++
		number++
		c.Format, c.At, c.Client, c.Number, c.Actor = agreed.NewestFormat, now, "driver", number, "driver"
		return m.Apply(index, &c)
	}
	targets := make([]agreed.Target, n)
	at := map[string]int{}
	for i := range targets {
		targets[i] = agreed.Target{Name: fmt.Sprintf("gateway/gw-%04d", i), Zone: string(rune('a' + i%6)), Version: "1", Epoch: 1}
		at[targets[i].Name] = i
	}
	do(agreed.Command{Op: agreed.SetTargets, Targets: targets})
	do(agreed.Command{Op: agreed.SetBudget, Budget: &agreed.Budget{Kind: "gateways", MaxOut: budget}})
	plan := &agreed.Release{Name: "r", Kind: "gateways", Version: "2", Command: []string{"x"}, TermMs: 60000, MaxTogether: budget, HealthLimits: agreed.HealthLimits{Disabled: true},
		Steps: []agreed.Step{{Name: "canary", Count: 1, PauseMs: 10000}, {Name: "half", Share: 0.5, PauseMs: 10000}, {Name: "rest", Share: 1}}}
	if r := do(agreed.Command{Op: agreed.PlanRelease, Release: plan}); !r.OK {
		return 0, 0, 0, 0, fmt.Errorf("%s", r.Refused)
	}
	begin := now
	var out backs
	busy, first := int64(0), int64(0)
	fence, renew, told := uint64(0), int64(0), int64(0)
	for ; now < begin+6*3600*1000; now += 100 {
		changed := false
		for len(out) > 0 && out[0].at <= now {
			b := heap.Pop(&out).(back)
			t := &targets[at[b.name]]
			t.Version, t.Epoch = "2", t.Epoch+1
			do(agreed.Command{Op: agreed.TargetEnded, Name: "r", Target: b.name, Fence: fence, OK: true})
			changed = true
		}
		if changed || now >= told+1000 { // the council's own look at the reports
			if now >= told+1000 {
				told = now
				do(agreed.Command{Op: agreed.SetTargets, Targets: targets})
			}
		}
		if now >= renew {
			renew = now + 2000
			if r := do(agreed.Command{Op: agreed.DriveRelease, Name: "r", Term: 10000, Fence: fence}); r.OK {
				fence = r.Fence
			}
		}
		for now%200 == 0 { // as a driver asks, until it is refused
			r := do(agreed.Command{Op: agreed.NextTarget, Name: "r", Fence: fence})
			if !r.OK || r.Permit == nil {
				break
			}
			{
				takes := int64(3000 + rng.IntN(8000))
				do(agreed.Command{Op: agreed.TargetStarted, Name: "r", Target: r.Permit.Target, Fence: fence})
				heap.Push(&out, back{now + takes, r.Permit.Target})
				if first == 0 {
					first = takes
				} else {
					busy += takes
				}
			}
		}
		most = max(most, len(out))
		if r, _ := m.Release("r"); r.Ended() {
			if r.State != agreed.Finished {
				return 0, 0, most, 0, fmt.Errorf("it ended %s: %s", r.State, r.Reason)
			}
			pauses := int64(20000)
			return time.Duration(now-begin) * time.Millisecond, time.Duration(first+busy/int64(budget)+pauses) * time.Millisecond, most, len(m.Snapshot()), nil
		}
	}
	r, _ := m.Release("r")
	return 0, 0, most, 0, fmt.Errorf("after six hours it is %s", r.State)
}
