package main

import (
	"fmt"
	"text/tabwriter"
	"time"

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

// gamedays plays drawn days of the group in virtual time.
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
	for seed := l.seed; seed < l.seed+days; seed++ {
		r, err := simnet.Day(seed, 0, 0)
		if err != nil {
			failed = append(failed, failure{seed, err.Error(), r.Faults})
			_, _ = fmt.Fprintf(l.out, "seed %d: %v\n  %q\n", seed, err, r.Faults)
		}
		worst = max(worst, r.Converged)
		faults += len(r.Faults)
		frames += r.Frames
	}
	_, _ = fmt.Fprintf(l.out, "%d days, %d faults, %d frames in %v; one view again at most %v after the last fault; %d days broke a rule\n", days, faults, frames,
		time.Since(begin).Round(time.Second), worst, len(failed))
	if len(failed) > 0 {
		return failed, fmt.Errorf("%d of %d days broke a rule", len(failed), days)
	}
	return map[string]any{"days": days, "faults": faults, "worst_s": worst.Seconds()}, nil
}
