package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"reachwind/internal/fleet/agreed"
	"reachwind/internal/lab/load"
	"reachwind/internal/lab/proc"
	"reachwind/internal/lab/rig"
	"reachwind/internal/standin/cluster"
)

// releaseFigures are what releases under faults showed.
type releaseFigures struct {
	Releases, Gateways int
	Ends               map[string]int
	Outages            int
	Faults             map[string]int
	Planned, Lost      int
	Unsent             int
	Took               []time.Duration
}

// releaseRun plays releases by processes: a council of three, gateways under load, two drivers, faults drawn by seed. At
// no instant more is out by a command than the budget, no target goes out twice for a version without an operator's
// resume, every release ends done, back or halted, and what drains take down loses no request.
func releaseRun(l *lab) (any, error) {
	rounds, size, together := 300, 12, 3
	if l.quick {
		rounds, size, together = 3, 6, 1
	}
	if l.round > 0 {
		rounds = l.round
	}
	if l.size > 0 {
		size = l.size
	}
	f := &releaseFigures{Gateways: size, Ends: map[string]int{}, Faults: map[string]int{}}
	var mu sync.Mutex
	var broke []string
	var next uint64
	var done sync.WaitGroup
	begin := time.Now()
	for range together {
		done.Add(1)
		go func() {
			defer done.Done()
			for {
				mu.Lock()
				seed := l.seed + next
				next++
				over := next > uint64(rounds)
				mu.Unlock()
				if over {
					return
				}
				err := oneRelease(l, seed, size, f, &mu)
				mu.Lock()
				if err != nil {
					broke = append(broke, fmt.Sprintf("seed %d: %v", seed, err))
					_, _ = fmt.Fprintln(l.out, broke[len(broke)-1])
				}
				mu.Unlock()
			}
		}()
	}
	done.Wait()
	w := tabwriter.NewWriter(l.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "RELEASES\tGATEWAYS\tENDED\tOUTAGES\tFAULTS\tREQUESTS\tLOST\tUNSENT\tBROKE A RULE")
	_, _ = fmt.Fprintf(w, "%d\t%d\t%s\t%d\t%s\t%d\t%d\t%d\t%d\n", f.Releases, size, counts(f.Ends), f.Outages, counts(f.Faults), f.Planned, f.Lost, f.Unsent, len(broke))
	_ = w.Flush()
	_, _ = fmt.Fprintf(l.out, "in %v, %d at a time\n", time.Since(begin).Round(time.Second), together)
	if len(broke) > 0 {
		return f, fmt.Errorf("%d of %d releases broke a rule", len(broke), rounds)
	}
	return f, nil
}

func counts(m map[string]int) string {
	var parts []string
	for _, k := range sortedKeys(m) {
		parts = append(parts, fmt.Sprintf("%d %s", m[k], k))
	}
	return strings.Join(parts, ", ")
}

// oneRelease plays one.
func oneRelease(l *lab, seed uint64, size int, f *releaseFigures, mu *sync.Mutex) (err error) {
	binary, err := proc.Binary()
	if err != nil {
		return err
	}
	dir, err := os.MkdirTemp(l.dir, "release-")
	if err != nil {
		return err
	}
	defer func() {
		if err == nil {
			_ = os.RemoveAll(dir)
		}
	}()
	rng := rand.New(rand.NewPCG(seed, 0x72656c6561))
	c, err := rig.NewCouncil(binary, filepath.Join(dir, "council"), 3, seed)
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := c.Seated(time.Minute); err != nil {
		return err
	}
	r, err := rig.New(rig.Config{Binary: binary, Dir: filepath.Join(dir, "fleet"), Size: size, Seeds: 2, Seed: seed, Zones: []string{"a", "b", "c"}, Cost: true, Council: c.Listens(), Keys: c.Keys(),
		Cluster: cluster.Config{Groups: 2, Replicas: 2, Lag: 10 * time.Millisecond, Elect: time.Second}})
	if err != nil {
		return err
	}
	defer r.Close()
	for _, n := range r.Nodes {
		n.Version = "1"
	}
	if err := r.StartAll(); err != nil {
		return err
	}
	_, err = rig.Until(time.Minute, func() error {
		st, err := c.State()
		if err == nil && len(st.Targets) < size {
			err = errors.New("not all gateways are known")
		}
		return err
	})
	if err != nil {
		return err
	}
	budget := 1 + rng.IntN(max(1, size/4))
	if code, out := c.Run("budget", "set", "--of", "gateways", "--most", fmt.Sprint(budget)); code != 0 {
		return errors.New(out)
	}
	p, err := r.NewReplacer(filepath.Join(dir, "ops"))
	if err != nil {
		return err
	}
	defer p.Close()
	sick := rng.IntN(5) // 0: the new version does not come up at its second gateway; 1: it is of another version
	bad := 0
	p.Before = func(n *rig.Node, version string) error {
		mu.Lock()
		defer mu.Unlock()
		if version == "2" && sick < 2 {
			bad++
			switch {
			case bad == 2 && sick == 0:
				return errors.New("it does not come up")
			case bad == 2:
				n.Version = "3"
			}
		}
		return nil
	}
	plan := filepath.Join(dir, "plan.hcl")
	text := fmt.Sprintf("release \"v2\" {\n  version = \"2\"\n  former = \"1\"\n  command = %s\n  back = %s\n  term = \"20s\"\n  together = %d\n  on_halt = %q\n  step \"canary\" {\n    count = 1\n    pause = \"500ms\"\n  }\n  step \"half\" {\n    share = 0.5\n  }\n  step \"rest\" {\n    share = 1\n  }\n  health {\n    requests = 30\n    refused = 0.2\n    late = 0.9\n    p99_times = 1000\n    restarts = 100\n    within = \"40s\"\n  }\n}\n",
		p.Command(), p.Command(), 1+rng.IntN(3), []string{"stay", "back"}[rng.IntN(2)])
	if err := os.WriteFile(plan, []byte(text), 0o600); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	loaded := make(chan *load.Result, 1)
	go func() {
		res, _ := load.Run(ctx, load.Config{Addrs: r.Addrs(), Phases: []load.Phase{{Rate: 15 * float64(size), For: 3 * time.Minute}}, Conns: 4 * size, Groups: 2, Seed: seed, Prefix: fmt.Sprintf("r%d-", seed)})
		loaded <- res
	}()
	begin := time.Now()
	drivers := make([]*exec.Cmd, 2)
	run := func(i int, what string) error {
		if d := drivers[i]; d != nil {
			_ = d.Process.Signal(syscall.SIGCONT)
			_ = d.Process.Kill()
			_ = d.Wait()
		}
		drivers[i] = c.Command("release", "run", what)
		return drivers[i].Start()
	}
	defer func() {
		for _, d := range drivers {
			if d != nil && d.Process != nil {
				_ = d.Process.Signal(syscall.SIGCONT)
				_ = d.Process.Kill()
				_ = d.Wait()
			}
		}
	}()
	if err := run(0, plan); err != nil {
		return err
	}
	killed := map[string]time.Time{}
	fault := func(what string) {
		mu.Lock()
		f.Faults[what]++
		mu.Unlock()
	}
	var down *rig.Seat
	var stopped *rig.Seat
	steered := 0
	state := ""
	for until := begin.Add(2 * time.Minute); ; {
		time.Sleep(time.Duration(300+rng.IntN(1500)) * time.Millisecond)
		if st, err := c.State(); err == nil && len(st.Releases) > 0 {
			rel := &st.Releases[0]
			state = rel.State
			if rel.Ended() {
				break
			}
			if state == agreed.Halted { // an operator looks at it once, and goes on or back
				if steered > 0 {
					break
				}
				steered++
				if code, out := c.Run("release", "back", "v2", "--no-drive"); code != 0 {
					return fmt.Errorf("not taken back: %s", out)
				}
				if err := run(0, "v2"); err != nil {
					return err
				}
			}
		}
		if time.Now().After(until) {
			_, told := c.Run("status")
			return fmt.Errorf("after two minutes the release is %s: %s", state, told)
		}
		if down != nil && rng.IntN(2) == 0 {
			if err := down.Start(); err != nil {
				return err
			}
			down = nil
		}
		if stopped != nil && rng.IntN(2) == 0 {
			stopped.Pause(false)
			stopped = nil
		}
		switch rng.IntN(7) {
		case 0:
			if err := run(rng.IntN(2), "v2"); err != nil { // one driver dies, or another one joins
				return err
			}
			fault("drivers killed")
		case 1:
			if d := drivers[rng.IntN(2)]; d != nil {
				_ = d.Process.Signal(syscall.SIGSTOP)
				time.AfterFunc(time.Duration(rng.IntN(15000))*time.Millisecond, func() { _ = d.Process.Signal(syscall.SIGCONT) })
				fault("drivers stopped")
			}
		case 2:
			if lead, err := c.Leader(); err == nil && down == nil && stopped == nil {
				lead.Kill()
				down = lead
				fault("leaders killed")
			}
		case 3:
			if lead, err := c.Leader(); err == nil && down == nil && stopped == nil {
				lead.Pause(true)
				stopped = lead
				fault("leaders stopped")
			}
		case 4:
			a, b := c.Seats[rng.IntN(3)], c.Seats[rng.IntN(3)]
			if a != b {
				c.Set(a, b, rig.Link{Cut: true})
				fault("links cut one way")
			}
		default:
			c.Heal()
		}
	}
	took := time.Since(begin)
	cancel()
	res := <-loaded
	_ = killed
	most, times := p.Most()
	switch {
	case most > budget:
		return fmt.Errorf("%d were out at once, budget %d", most, budget)
	case p.Fenced > 0:
		return fmt.Errorf("%d commands ran under a fence of the past", p.Fenced)
	}
	for what, n := range times {
		if n > 1 {
			return fmt.Errorf("%s went out %d times", what, n)
		}
	}
	lost := res.Outcomes[len(res.Outcomes)-1] // without an answer
	mu.Lock()
	defer mu.Unlock()
	f.Releases++
	f.Ends[state]++
	f.Outages += len(p.Outages())
	f.Planned += res.Planned
	f.Lost += lost
	f.Unsent += res.Unsent
	f.Took = append(f.Took, took)
	return nil
}
