package zoneplan

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// sim is a world of zones that act by a plan: what is sent to a zone beyond its capacity fails.
type sim struct {
	rng      *rand.Rand
	now      Time
	zones    []Zone
	load     map[string]float64
	capacity map[string]float64
	lost     map[string]bool
	grey     map[string]float64
	cut      map[string]bool // its gateways reach no other zone
	cold     map[string]Time // its members are, until then
	p        *Planner
	plan     Plan
}

func newSim(seed uint64, off Guard) *sim {
	w := &sim{rng: rand.New(rand.NewPCG(seed, 0x7a6f6e)), load: map[string]float64{}, capacity: map[string]float64{}, lost: map[string]bool{}, grey: map[string]float64{}, cut: map[string]bool{}, cold: map[string]Time{}}
	n := 3 + w.rng.IntN(4)
	tight := w.rng.IntN(3) == 0 // all neighbours are nearly full
	for i := range n {
		z := Zone{Name: fmt.Sprintf("z%d", i), Region: fmt.Sprint(i / 2)}
		for k := range n - 1 {
			z.Neighbours = append(z.Neighbours, Neighbour{Zone: fmt.Sprintf("z%d", (i+k+1)%n), Cost: time.Duration(k) * time.Millisecond})
		}
		w.capacity[z.Name] = 100 + 100*w.rng.Float64()
		w.load[z.Name] = w.capacity[z.Name] * (0.3 + 0.4*w.rng.Float64())
		if tight {
			w.load[z.Name] = w.capacity[z.Name] * 0.78
		}
		z.Capacity = w.capacity[z.Name]
		w.zones = append(w.zones, z)
	}
	w.p = New(w.zones, off)
	return w
}

// can is what a zone carries now.
func (w *sim) can(z string) float64 {
	if w.now < w.cold[z] {
		return w.capacity[z] / 2
	}
	return w.capacity[z]
}

// traffic is what is sent to each zone by the plan.
func (w *sim) traffic() map[string]float64 {
	t := map[string]float64{}
	for _, z := range w.zones {
		e := w.plan.Zones[z.Name]
		t[z.Name] += w.load[z.Name] * (1 - e.Away)
		for to, part := range e.GoesTo {
			t[to] += w.load[z.Name] * part
		}
	}
	return t
}

// step plays half a second and returns what was broken.
func (w *sim) step() error {
	w.now += tick
	traffic := w.traffic()
	var all []Evidence
	for _, from := range w.zones {
		for _, to := range w.zones {
			fails := w.grey[to.Name]
			if x := traffic[to.Name]; x > w.can(to.Name) {
				fails = max(fails, 1-w.can(to.Name)/x)
			}
			if w.lost[to.Name] || from.Name != to.Name && (w.cut[from.Name] || w.cut[to.Name]) {
				fails = 1
			}
			n := 5 + 10*w.rng.Float64() // looks at all zones go on, whatever the plan
			s := Evidence{Witness: from.Name, Zone: to.Name, Attempts: n, Failed: n * fails}
			if from.Name == to.Name {
				s.Offered, s.Served, s.Cold = w.load[to.Name], min(traffic[to.Name], w.can(to.Name))*(1-fails), w.now < w.cold[to.Name]
			}
			if !w.lost[from.Name] { // its gateways are gone with it
				all = append(all, s)
			}
		}
	}
	w.p.AddEvidence(w.now, all)
	before := w.plan
	plan, _ := w.p.Evaluate(w.now)
	w.plan = plan
	if plan.Number < before.Number {
		return fmt.Errorf("at %v plan %d came after %d", w.now, plan.Number, before.Number)
	}
	for name, e := range plan.Zones {
		sum := e.Shed
		for _, part := range e.GoesTo {
			sum += part
		}
		if math.Abs(sum-e.Away) > 1e-6 && w.load[name] > 0 {
			return fmt.Errorf("at %v of %s goes %g away, laid out are %g", w.now, name, e.Away, sum)
		}
		was := before.Zones[name]
		if e.Away > was.Away+stepPart+1e-9 && e.State != Out {
			return fmt.Errorf("at %v %s moves %g at a stroke and is %s", w.now, name, e.Away-was.Away, e.State)
		}
		if e.State == Out && was.Away < 1-stepPart-1e-9 && !w.lost[name] && !w.cut[name] && was.State != "" {
			return fmt.Errorf("at %v %s, which serves a part, goes from %g out at a stroke", w.now, name, was.Away)
		}
	}
	for name, x := range w.traffic() { // no cascade
		healthy := !w.lost[name] && !w.cut[name] && w.grey[name] == 0 && w.load[name] <= w.can(name)
		if e := plan.Zones[name]; healthy && e.Away == 0 && x > w.can(name)+1e-6 {
			return fmt.Errorf("at %v healthy zone %s gets %.0f of the %.0f that it can carry", w.now, name, x, w.can(name))
		}
	}
	return nil
}

// play plays a day of zones that are lost, grey, cut off, cold and flapping, and returns the first rule broken.
func play(seed uint64, off Guard) (turns int, err error) {
	w := newSim(seed, off)
	run := func(span Time) error {
		for end := w.now + span; w.now < end; {
			if err := w.step(); err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
		}
		return nil
	}
	if err := run(10 * time.Second); err != nil {
		return 0, err
	}
	for range 4 + w.rng.IntN(4) {
		z := w.zones[w.rng.IntN(len(w.zones))].Name
		switch w.rng.IntN(6) {
		case 0: // lost for a while, back cold
			w.lost[z] = true
			if err := run(Time(1+w.rng.IntN(60)) * time.Second); err != nil {
				return 0, err
			}
			w.lost[z] = false
			w.cold[z] = w.now + 18*time.Second
		case 1:
			w.grey[z] = 0.2 + 0.6*w.rng.Float64()
			if err := run(Time(1+w.rng.IntN(60)) * time.Second); err != nil {
				return 0, err
			}
			w.grey[z] = 0
		case 2: // cut off: it sees all others fail, and they see it fail
			w.cut[z] = true
			for _, o := range w.zones[:w.rng.IntN(len(w.zones)-1)] { // others too, each by itself
				w.cut[o.Name] = true
			}
			before := maps.Clone(w.plan.Zones)
			if err := run(Time(1+w.rng.IntN(60)) * time.Second); err != nil {
				return 0, err
			}
			for name, e := range w.plan.Zones {
				if !w.cut[name] && before[name].State == Serving && e.State != Serving {
					return 0, fmt.Errorf("seed %d: at %v %v are cut off, and %s is %s: %s", seed, w.now, w.cut, name, e.State, e.Reason)
				}
			}
			clear(w.cut)
		case 3: // flapping
			from, at := w.p.Turns, w.now
			for range 20 {
				w.lost[z] = !w.lost[z]
				if err := run(15 * time.Second); err != nil {
					return 0, err
				}
			}
			w.lost[z] = false
			if n := w.p.Turns - from; n > 22 {
				return 0, fmt.Errorf("seed %d: %d turns in %v of flapping", seed, n, w.now-at)
			}
		case 4: // an operator holds it, and it is lost
			if err := w.p.Hold(z, true); err != nil {
				return 0, err
			}
			before := w.plan.Zones[z].State
			w.lost[z] = true
			if err := run(15 * time.Second); err != nil {
				return 0, err
			}
			if s := w.plan.Zones[z].State; s != before {
				return 0, fmt.Errorf("seed %d: %s is held as %s, and is %s", seed, z, before, s)
			}
			w.lost[z] = false
			if err := w.p.Hold(z, false); err != nil {
				return 0, err
			}
		case 5: // members of all zones are cold while one is lost
			for _, o := range w.zones {
				if o.Name != z && w.load[o.Name] < 0.45*w.capacity[o.Name] {
					w.cold[o.Name] = w.now + 30*time.Second
				}
			}
			if err := run(time.Second); err != nil { // it is known before
				return 0, err
			}
			w.lost[z] = true
			if err := run(20 * time.Second); err != nil {
				return 0, err
			}
			w.lost[z] = false
		}
		if err := run(Time(w.rng.IntN(90)) * time.Second); err != nil {
			return 0, err
		}
	}
	if err := run(12 * time.Minute); err != nil {
		return 0, err
	}
	for name, e := range w.plan.Zones {
		if e.State != Serving || e.Away > 0 {
			return 0, fmt.Errorf("seed %d: after twelve quiet minutes %s is %s with %g away: %s", seed, name, e.State, e.Away, e.Reason)
		}
	}
	return w.p.Turns, nil
}

// TestDays: no zone that is healthy is ever sent more than it can carry by the others' failover, one that is cut off takes
// none out, holds hold, flapping turns a zone ever more seldom, and all is as before in the end. Each guard is missed.
func TestDays(t *testing.T) {
	turns := 0
	for seed := range uint64(60) {
		n, err := play(seed, 0)
		if err != nil {
			t.Fatal(err)
		}
		turns += n
	}
	t.Logf("%d changes of state in 60 days", turns)
	for _, g := range Guards {
		for seed := uint64(0); ; seed++ {
			if _, err := play(seed, g.Guard); err != nil {
				t.Logf("without %q: %v", g.Name, err)
				break
			}
			if seed > 300 {
				t.Errorf("no day misses %q", g.Name)
				break
			}
		}
	}
}
