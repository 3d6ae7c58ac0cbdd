package simnet

import (
	"runtime"
	"sync"

	"reachwind/internal/fleet/quota"
	"reachwind/internal/fleet/swim"
)

// Removal is what switching a single guard off broke.
type Removal struct {
	Guard string
	Seed  uint64 // of the first day that broke a rule
	Days  int    // played
	Broke string // empty: none did
}

// Guards switches each guard off by itself and plays days from seed first on, at most so many for each, until one
// breaks a rule.
func Guards(first uint64, most int) []Removal {
	type job struct {
		name string
		off  swim.Guard
		lend quota.Guard
	}
	var jobs []job
	for _, g := range swim.Guards {
		jobs = append(jobs, job{"swim: " + g.Name, g.Guard, 0})
	}
	for _, g := range quota.Guards {
		jobs = append(jobs, job{"share: " + g.Name, 0, g.Guard})
	}
	out := make([]Removal, len(jobs))
	room := make(chan struct{}, max(1, runtime.NumCPU()/2))
	var done sync.WaitGroup
	for i, j := range jobs {
		done.Add(1)
		go func() {
			defer done.Done()
			room <- struct{}{}
			defer func() { <-room }()
			out[i] = Removal{Guard: j.name}
			for seed := first; seed < first+uint64(most); seed++ {
				out[i].Days++
				if _, err := Day(seed, j.off, j.lend); err != nil {
					out[i].Seed, out[i].Broke = seed, err.Error()
					return
				}
			}
		}()
	}
	done.Wait()
	return out
}
