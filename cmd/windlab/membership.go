package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"reachwind/internal/lab/proc"
	"reachwind/internal/lab/rig"
	"reachwind/internal/lab/simnet"
)

// guards switches each guard of the group off and tells which day misses it.
func guards(l *lab) (any, error) {
	days := 1000
	if l.quick {
		days = 60
	}
	all := simnet.Guards(l.seed, days)
	w := tabwriter.NewWriter(l.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "WITHOUT\tSEED\tDAYS\tBROKE")
	var missed []string
	for _, r := range all {
		broke := r.Broke
		if len(broke) > 100 {
			broke = broke[:100] + "..."
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%s\n", r.Guard, r.Seed, r.Days, broke)
		if r.Broke == "" {
			missed = append(missed, r.Guard)
		}
	}
	_ = w.Flush()
	if len(missed) > 0 && !l.quick {
		return all, fmt.Errorf("no day misses %q", missed)
	}
	return all, nil
}

// simdays plays drawn days of the group in virtual time.
func simdays(l *lab) (any, error) {
	days := uint64(2000)
	if l.quick {
		days = 100
	}
	type failure struct {
		Seed   uint64
		Err    string
		Faults []string
	}
	var failed []failure
	var worst time.Duration
	faults, frames := 0, 0
	begin := time.Now()
	var mu sync.Mutex
	var next atomic.Uint64
	var done sync.WaitGroup
	for range max(1, runtime.NumCPU()/2) {
		done.Add(1)
		go func() {
			defer done.Done()
			for i := next.Add(1) - 1; i < days; i = next.Add(1) - 1 {
				seed := l.seed + i
				r, err := simnet.Day(seed, 0, 0)
				mu.Lock()
				if err != nil {
					failed = append(failed, failure{seed, err.Error(), r.Faults})
					_, _ = fmt.Fprintf(l.out, "seed %d: %v\n  %q\n", seed, err, r.Faults)
				}
				worst = max(worst, r.Converged)
				faults += len(r.Faults)
				frames += r.Frames
				mu.Unlock()
			}
		}()
	}
	done.Wait()
	_, _ = fmt.Fprintf(l.out, "%d days, %d faults, %d frames in %v; one view again at most %v after the last fault; %d days broke a rule\n", days, faults, frames,
		time.Since(begin).Round(time.Second), worst, len(failed))
	if len(failed) > 0 {
		return failed, fmt.Errorf("%d of %d days broke a rule", len(failed), days)
	}
	return map[string]any{"days": days, "faults": faults, "worst_s": worst.Seconds()}, nil
}

// membership measures the group in virtual time, by size.
func membership(l *lab) (any, error) {
	sizes, repeats := []int{40, 300, 1000}, 10
	if l.quick {
		sizes, repeats = []int{12, 40}, 3
	}
	if l.round > 0 {
		repeats = l.round
	}
	if l.size > 0 {
		sizes = []int{l.size}
	}
	w := tabwriter.NewWriter(l.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "VIRTUAL\tSTART\tCRASH p50\tp99\tSPLIT KNOWN p50\tp99\tONE VIEW AFTER HEAL p50\tp99\tB/s REST\tTROUBLE\tCPU/s REST\tHEAP")
	sec := func(t time.Duration) string { return fmt.Sprintf("%.1f s", t.Seconds()) }
	var virtual []*simnet.Figures
	for _, n := range sizes {
		r := repeats
		if n > 400 {
			r = min(r, 2)
		}
		f, err := simnet.Measure(n, l.seed, r)
		if err != nil {
			return nil, fmt.Errorf("%d in virtual time: %w", n, err)
		}
		virtual = append(virtual, f)
		q := simnet.Quantile
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%v\t%d KB\n", n, sec(f.Start), sec(q(f.Crash, 0.5)), sec(q(f.Crash, 0.99)), sec(q(f.SplitKnown, 0.5)),
			sec(q(f.SplitKnown, 0.99)), sec(q(f.Heal, 0.5)), sec(q(f.Heal, 0.99)), f.RestBytes, f.TroubleBytes, f.RestCPU.Round(time.Microsecond), f.Memory>>10)
		_ = w.Flush()
		for _, k := range []string{"no loss", "1 % loss", "10 % loss", "one stopped 1 to 5 s each 10 s"} {
			if v, ok := f.FalseSuspicions[k]; ok {
				_, _ = fmt.Fprintf(l.out, "  %d, %s: %.2f false suspicions, %.3f false failures an hour and gateway\n", n, k, v, f.FalseFailures[k])
			}
		}
	}
	return virtual, nil
}

// procFigures are what a group of processes showed.
type procFigures struct {
	Size                      int
	Start, Crash, Split, Heal time.Duration
	CPU                       time.Duration // a second and gateway, at rest
	Resident, Anonymous       int
	Bytes                     int64 // a second and gateway, at rest
}

// groupSize measures groups of processes on this machine, by size.
func groupSize(l *lab) (any, error) {
	sizes := []int{3, 12, 40}
	if l.quick {
		sizes = []int{3, 6}
	}
	var all []procFigures
	binary, err := proc.Binary()
	if err != nil {
		return nil, err
	}
	w := tabwriter.NewWriter(l.out, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "PROCESSES\tONE VIEW\tCRASH KNOWN\tSPLIT KNOWN\tONE VIEW AFTER HEAL\tCPU/s REST\tRESIDENT\tANONYMOUS\tB/s REST")
	for _, size := range sizes {
		f, err := oneGroup(l, binary, size)
		if err != nil {
			return all, fmt.Errorf("%d processes: %w", size, err)
		}
		all = append(all, *f)
		ms := func(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) }
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%v\t%.1f MB\t%.1f MB\t%d\n", size, ms(f.Start), ms(f.Crash), ms(f.Split), ms(f.Heal), f.CPU.Round(10*time.Microsecond),
			float64(f.Resident)/(1<<20), float64(f.Anonymous)/(1<<20), f.Bytes)
		_ = w.Flush()
	}
	return all, nil
}

func oneGroup(l *lab, binary string, size int) (*procFigures, error) {
	const within = 3 * time.Minute
	dir, err := os.MkdirTemp(l.dir, "group-")
	if err != nil {
		return nil, err
	}
	r, err := rig.New(rig.Config{Binary: binary, Dir: dir, Size: size, Seeds: 2, Zones: []string{"a", "b", "c"}, Seed: l.seed})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	f := &procFigures{Size: size}
	if err := r.StartAll(); err != nil {
		return nil, err
	}
	fail := func(what string, err error) error { return fmt.Errorf("%s: %w\n%s", what, err, r.Timeline()) }
	if f.Start, err = rig.Until(within, func() error { return rig.Common(r.Nodes) }); err != nil {
		return nil, fail("start", err)
	}
	if _, err = rig.Until(within, func() error { return rig.Verdicts(r.Nodes, "whole") }); err != nil {
		return nil, fail("start", err)
	}
	time.Sleep(5 * time.Second)
	const rest = 20 * time.Second
	cpu := func() (sum time.Duration) {
		for _, n := range r.Nodes {
			if c, err := n.P.Cost(); err == nil {
				sum += c.CPU
			}
		}
		return sum
	}
	c0, b0 := cpu(), r.Passed.Load()
	time.Sleep(rest)
	per := time.Duration(size) * rest / time.Second
	f.CPU = (cpu() - c0) / per
	f.Bytes = (r.Passed.Load() - b0) / int64(per)
	for _, n := range r.Nodes {
		if c, err := n.P.Cost(); err == nil {
			f.Resident, f.Anonymous = max(f.Resident, c.Resident), max(f.Anonymous, c.Anonymous)
		}
	}
	last := r.Nodes[size-1]
	last.Kill()
	if f.Crash, err = rig.Until(within, func() error { return rig.Common(r.Up()) }); err != nil {
		return nil, fail("crash", err)
	}
	if err := last.Start(); err != nil {
		return nil, err
	}
	if _, err = rig.Until(within, func() error { return rig.Common(r.Nodes) }); err != nil {
		return nil, fail("return", err)
	}
	var a, rest2 []*rig.Node
	for _, n := range r.Nodes {
		if n.Zone == "a" {
			a = append(a, n)
		} else {
			rest2 = append(rest2, n)
		}
	}
	lone := "minority"
	if len(a) == 1 {
		lone = "alone"
	}
	r.Cut("zone a", func(x, y *rig.Node) bool { return (x.Zone == "a") != (y.Zone == "a") })
	if f.Split, err = rig.Until(within, func() error { return errors.Join(rig.Verdicts(a, lone), rig.Verdicts(rest2, "whole")) }); err != nil {
		return nil, fail("split", err)
	}
	r.Heal()
	if f.Heal, err = rig.Until(within, func() error { return rig.Common(r.Nodes) }); err != nil {
		return nil, fail("heal", err)
	}
	return f, nil
}

// scenarioCommand plays a scenario from a file.
func scenarioCommand() *cobra.Command {
	var seed uint64
	c := &cobra.Command{Use: "scenario FILE", Short: "play a timeline of faults with gateways as processes; exits 0 only if all held", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := rig.ReadScenario(args[0])
			if err != nil {
				return err
			}
			dir, err := os.MkdirTemp("", "windlab-")
			if err != nil {
				return err
			}
			if err := playScenario(dir, s, seed); err != nil {
				return err // the processes' files are kept in dir, which the error names
			}
			_, _ = fmt.Fprintln(c.OutOrStdout(), "held")
			return os.RemoveAll(dir)
		}}
	c.Flags().Uint64Var(&seed, "seed", 1, "of all that is drawn")
	return c
}

// playScenario plays one. Of one that failed the files, the merged timeline and the scenario stay in dir.
func playScenario(dir string, s *rig.Scenario, seed uint64) error {
	binary, err := proc.Binary()
	if err != nil {
		return err
	}
	r, err := rig.New(rig.Config{Binary: binary, Dir: dir, Size: s.Size, Zones: s.Zones, Seeds: s.Seeds, Seed: seed})
	if err != nil {
		return err
	}
	defer r.Close()
	if err := r.Play(s); err != nil {
		e := errors.Join(os.WriteFile(filepath.Join(dir, "timeline"), []byte(r.Timeline()), 0o600), os.WriteFile(filepath.Join(dir, "scenario.hcl"), []byte(s.HCL()), 0o600))
		return errors.Join(fmt.Errorf("%w\nseed %d; logs, timeline and scenario are in %s", err, seed, dir), e)
	}
	return nil
}

// groupFaults plays drawn scenarios with processes.
func groupFaults(l *lab) (any, error) {
	rounds, size := 20, 9
	if l.quick {
		rounds, size = 1, 4
	}
	if l.round > 0 {
		rounds = l.round
	}
	begin := time.Now()
	for i := range rounds {
		seed := l.seed + uint64(i)
		dir, err := os.MkdirTemp("", "windlab-faults-")
		if err != nil {
			return nil, err
		}
		s := rig.Draw(seed, size)
		if err := playScenario(dir, s, seed); err != nil {
			return nil, err
		}
		_ = os.RemoveAll(dir)
		_, _ = fmt.Fprintf(l.out, "seed %d: %d steps held\n", seed, len(s.Steps))
	}
	_, _ = fmt.Fprintf(l.out, "%d draws of %d processes in %v\n", rounds, size, time.Since(begin).Round(time.Second))
	return map[string]any{"rounds": rounds, "size": size}, nil
}
