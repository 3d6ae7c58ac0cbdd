package agreed

import (
	"cmp"
	"fmt"
	"slices"
)

// StepForecast is what a forecast says of a step.
type StepForecast struct {
	Step       string   `json:"step"`
	Targets    []string `json:"targets"`
	Rounds     int      `json:"rounds"`  // one after another
	MaxMs      int64    `json:"most_ms"` // the longest that it takes, if every target takes its whole term
	MinMs      int64    `json:"least_ms"`
	Infeasible string   `json:"cannot,omitempty"` // why it can't be kept under the budgets
}

// Forecast says what would go out when under some budgets, with nothing else out.
func (r *Release) Forecast(all []Target, budgets []Budget) (legs []StepForecast) {
	if len(r.Items) == 0 {
		r.AssignTargets(all)
	}
	for i, s := range r.Steps {
		l := StepForecast{Step: s.Name}
		for _, it := range r.Items {
			if it.Step == i {
				l.Targets = append(l.Targets, it.Target)
			}
		}
		l.Rounds, l.Infeasible = r.rounds(l.Targets, all, budgets)
		l.MinMs = s.PauseMs
		l.MaxMs = int64(l.Rounds)*r.TermMs + s.PauseMs
		if !r.HealthLimits.Disabled {
			l.MaxMs += r.HealthLimits.WithinMs
		}
		if len(l.Targets) == 0 {
			l.Infeasible = cmp.Or(l.Infeasible, "it has no targets")
		}
		legs = append(legs, l)
	}
	return legs
}

// rounds packs targets into as few rounds as budgets and Together allow, in their order.
func (r *Release) rounds(targets []string, all []Target, budgets []Budget) (n int, cannot string) {
	by := map[string]Target{}
	for _, t := range all {
		by[t.Name] = t
	}
	left := slices.Clone(targets)
	for len(left) > 0 {
		used := make([]int, len(budgets))
		var stay []string
		took := 0
		for _, name := range left {
			t := by[name]
			t.Name = name
			fits := took < r.MaxTogether
			for i := range budgets {
				b := &budgets[i]
				if !b.covers(&t) {
					continue
				}
				size := 0
				for _, o := range all {
					if b.covers(&o) {
						size++
					}
				}
				if most, ok := b.allows(size); ok && used[i]+1 > most {
					fits = false
					if most == 0 {
						return n, fmt.Sprintf("the budget of %s %s %s allows none of %d out", b.Kind, b.Zone, b.Group, size)
					}
				}
			}
			if !fits {
				stay = append(stay, name)
				continue
			}
			took++
			for i := range budgets {
				if budgets[i].covers(&t) {
					used[i]++
				}
			}
		}
		n++
		left = stay
	}
	return n, ""
}
