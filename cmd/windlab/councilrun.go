package main

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"reachwind/internal/fleet/agreed"
	"reachwind/internal/lab/simcouncil"
)

// councilRun plays councils in virtual time, all guards on, and each guard off by itself until a play misses it.
func councilRun(l *lab) (any, error) {
	plays := uint64(100_000)
	if l.quick {
		plays = 200
	}
	if l.round > 0 {
		plays = uint64(l.round)
	}
	var next, granted, faults, calls, olds atomic.Uint64
	var mu sync.Mutex
	var broke []string
	var done sync.WaitGroup
	begin := time.Now()
	for range runtime.NumCPU() {
		done.Add(1)
		go func() {
			defer done.Done()
			for i := next.Add(1) - 1; i < plays; i = next.Add(1) - 1 {
				r, err := simcouncil.Play(l.seed+i, 0)
				granted.Add(uint64(r.Granted))
				faults.Add(uint64(r.Faults))
				calls.Add(uint64(r.Operations))
				olds.Add(uint64(r.Olds))
				if err != nil {
					mu.Lock()
					broke = append(broke, fmt.Sprintf("seed %d: %v", l.seed+i, err))
					mu.Unlock()
				}
			}
		}()
	}
	done.Wait()
	_, _ = fmt.Fprintf(l.out, "%d plays, %d calls, %d permits granted, %d faults, %d old copies of folders in %v; %d broke a rule\n", plays, calls.Load(), granted.Load(), faults.Load(), olds.Load(),
		time.Since(begin).Round(time.Second), len(broke))
	for _, b := range broke[:min(len(broke), 10)] {
		_, _ = fmt.Fprintln(l.out, " ", b)
	}
	w := tabwriter.NewWriter(l.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "WITHOUT\tSEED\tBROKE")
	var missed []string
	for _, g := range append(agreed.Guards, struct {
		Guard agreed.Guard
		Name  string
	}{simcouncil.GuardRoll, "an old copy of a folder does not vote"}) {
		if g.Guard == agreed.GuardFailed || g.Guard > agreed.GuardHeld && g.Guard != simcouncil.GuardRoll { // nobody reports in these plays who failed, and there are no releases: agreed's own plays have them
			continue
		}
		found := ""
		seed := l.seed
		for ; seed < l.seed+20000 && found == ""; seed++ {
			if _, err := simcouncil.Play(seed, g.Guard); err != nil {
				found = err.Error()
				break
			}
		}
		if found == "" {
			missed = append(missed, g.Name)
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\n", g.Name, seed, found)
	}
	_ = w.Flush()
	if len(broke)+len(missed) > 0 {
		return broke, fmt.Errorf("%d plays broke a rule, guards that none misses: %q", len(broke), missed)
	}
	return map[string]any{"plays": plays, "granted": granted.Load(), "faults": faults.Load()}, nil
}
