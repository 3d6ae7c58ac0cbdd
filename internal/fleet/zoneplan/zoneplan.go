// Package zoneplan decides for all gateways when load is moved out of a zone, where it
// goes and how fast, and when it returns. It does no I/O and reads no clock: it takes the
// evidence of many zones and the time, and returns plans. Agreement on a plan and its
// execution by the gateways are in other packages.
package zoneplan

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Time is a point on the caller's clock, or a duration.
type Time = time.Duration

// State is the state of a zone.
type State string

// The states.
const (
	Serving   State = "serving"
	Degraded  State = "straining" // it serves with too many failures: no load of other zones is sent there
	Shedding  State = "shedding"  // a fraction of its load goes elsewhere
	Out       State = "out"       // none of its members is used
	Returning State = "returning" // it gets its load back step by step
)

// Thresholds and times of the planner.
const (
	evidenceWindow      = 5 * time.Second        // evidence loses half of its weight in each half of it
	sickFraction        = 0.3                    // failed attempts from which on a zone is sick
	goneFraction        = 0.9                    // failed attempts from which on a zone is gone
	wellFraction        = 0.05                   // failed attempts up to which a zone is well
	minAttempts         = 10.0                   // a witness zone with fewer attempts is ignored
	sickFor             = 2 * time.Second        // how long a zone is sick before it is degraded; twice that before a degraded one sheds
	goneFor             = time.Second            // how long a zone is gone before all its load is moved away
	stepInterval        = 3 * time.Second        // least time between steps; the receiving zones must also be well
	stepFraction        = 0.25                   // of a zone's load, moved in a step
	trialFraction       = 0.05                   // of its load, sent first to a zone that was out
	minTurnInterval     = 5 * time.Second        // least time between changes of a zone's direction; it doubles with each that follows soon
	maxTurnInterval     = 5 * time.Minute        // upper limit of the doubling
	turnIntervalHalving = 2 * time.Minute        // the time halves again for each such period without a change
	reserveFraction     = 0.2                    // of a zone's capacity, kept free when load is moved there
	coldFraction        = 0.5                    // of a zone's capacity, usable while its members are in slow start
	peakDecayPerSecond  = 0.999                  // factor per second on the highest load that a zone was seen to serve well
	PlanTerm            = 15 * time.Second       // validity of a plan unless it is renewed
	shareTolerance      = 0.02                   // fractions closer than that count as equal
	evaluateInterval    = 500 * time.Millisecond // least time between evaluations
)

// Zone is a zone of the topology.
type Zone struct {
	Name, Region string
	Neighbours   []Neighbour // in order of preference; those of the same region come first
	Capacity     float64     // work per second that it can serve, 0 = as observed
}

// Neighbour is a zone that may receive another zone's load.
type Neighbour struct {
	Zone string
	Cost Time // additional round-trip time
}

// Evidence is what the gateways of one zone saw of the members of a zone since the previous report, and their own load.
type Evidence struct {
	Witness  string // the zone of the reporting gateways
	Zone     string // the zone of the members
	Attempts float64
	Failed   float64
	Late     float64
	// Only where Witness is Zone:
	Offered float64 // work per second that clients request from the zone's gateways, wherever it is served
	Served  float64 // work per second that its members serve, for any zone
	Cold    bool    // most of its members are in slow start
}

// Guard is one of the safety checks of the planner. Tests switch them off one at a time to show that each is needed.
type Guard uint8

// The guards.
const (
	GuardWitness      Guard = 1 << iota // evidence of a witness that sees most other zones fail is ignored
	GuardReserve                        // no zone is sent more than its capacity less a reserve
	GuardTurnInterval                   // a zone that changes direction repeatedly does so ever less often
	GuardSteps                          // load moves in confirmed steps
	GuardHold                           // an operator's hold stops automatic changes
	GuardCold                           // members in slow start serve half
)

// Guards lists all guards with the property that each ensures.
var Guards = []struct {
	Guard Guard
	Name  string
}{
	{GuardWitness, "a witness that sees all zones fail tells of itself"}, {GuardReserve, "no zone is sent more than it can carry, less a reserve"},
	{GuardTurnInterval, "a zone that turns again and again turns less often"}, {GuardSteps, "load moves by steps that are confirmed"},
	{GuardHold, "an operator's hold stops what is automatic"}, {GuardCold, "members that started lately carry half"},
}

// Entry is a zone's entry in a plan. Loads are fractions of the zone's own load.
type Entry struct {
	State  State              `json:"state"`
	Away   float64            `json:"away"`              // fraction that goes elsewhere or is shed
	GoesTo map[string]float64 `json:"goes_to,omitempty"` // fractions, by receiving zone
	Shed   float64            `json:"shed,omitempty"`    // fraction that fits nowhere: refused by the gateways, lowest value first
	Reason string             `json:"reason,omitempty"`
	Held   bool               `json:"held,omitempty"`
}

// Plan covers all zones. Numbers only grow; a plan expires PlanTerm after MadeAt unless it is renewed.
type Plan struct {
	Number uint64           `json:"number"`
	MadeAt Time             `json:"made"`
	Zones  map[string]Entry `json:"zones"`
}

// tally is what a witness zone saw of a zone, with exponential decay.
type tally struct {
	attempts, failed, late float64
	at                     Time
}

// zoneState is a zone with its current state.
type zoneState struct {
	Zone
	state        State
	since        Time
	away         float64
	stepAt       Time
	sickSince    Time // 0 = it is not; so are goneSince and wellSince
	goneSince    Time
	wellSince    Time
	turnInterval Time // least time to the next change of direction
	lastTurn     Time
	load         float64 // work per second offered to its gateways
	served       float64 // work per second served by its members
	peakServed   float64 // the most that they were seen to serve well, decaying
	cold         bool
	held         bool
	forced       State // by an operator; empty: not forced
	reason       string
	tallies      map[string]*tally // by witness zone
}

// Planner computes plans. It is not safe for concurrent use.
type Planner struct {
	zones          map[string]*zoneState
	names          []string
	disabledGuards Guard
	number         uint64
	last           Plan
	evaluatedAt    Time
	StateChanges   int // count of zone state changes
}

// New returns a planner for a topology. A zone without neighbours can only shed load. Only tests disable guards.
func New(zones []Zone, off Guard) *Planner {
	p := &Planner{zones: map[string]*zoneState{}, disabledGuards: off}
	for _, z := range zones {
		p.zones[z.Name] = &zoneState{Zone: z, state: Serving, turnInterval: minTurnInterval, lastTurn: -maxTurnInterval, peakServed: z.Capacity, tallies: map[string]*tally{}}
		p.names = append(p.names, z.Name)
	}
	slices.Sort(p.names)
	return p
}

func (p *Planner) guarded(g Guard) bool { return p.disabledGuards&g == 0 }

// AddEvidence adds evidence. Entries of unknown zones or with inconsistent counts are ignored.
func (p *Planner) AddEvidence(now Time, all []Evidence) {
	for i := range all {
		s := &all[i]
		z := p.zones[s.Zone]
		if z == nil || s.Attempts < 0 || s.Failed < 0 || s.Failed > s.Attempts {
			continue
		}
		t := z.tallies[s.Witness]
		if t == nil {
			if len(z.tallies) > 2*len(p.names) {
				continue
			}
			t = &tally{at: now}
			z.tallies[s.Witness] = t
		}
		t.fade(now)
		t.attempts, t.failed, t.late = t.attempts+s.Attempts, t.failed+s.Failed, t.late+s.Late
		if s.Witness == s.Zone {
			z.load, z.served, z.cold = s.Offered, s.Served, s.Cold
		}
	}
}

func (t *tally) fade(now Time) {
	f := math.Exp2(-2 * float64(now-t.at) / float64(evidenceWindow))
	t.attempts, t.failed, t.late, t.at = t.attempts*f, t.failed*f, t.late*f, now
}

// failedFraction returns the fraction of failed attempts in a zone: the median over the witness zones, each of which counts
// once however many gateways it has. Isolated witnesses are ignored. known is false without a usable witness.
func (p *Planner) failedFraction(now Time, z *zoneState) (part float64, witnesses int, known bool) {
	var parts []float64
	for _, w := range slices.Sorted(maps.Keys(z.tallies)) {
		t := z.tallies[w]
		t.fade(now)
		if t.attempts < minAttempts || p.guarded(GuardWitness) && p.isolated(now, w) {
			continue
		}
		parts = append(parts, t.failed/t.attempts)
	}
	if len(parts) == 0 {
		return 0, 0, false
	}
	slices.Sort(parts)
	return parts[(len(parts)-1)/2], len(parts), true // of two the lower: a single witness can't take a zone out
}

// isolated reports whether a witness sees most other zones fail, so that it is the one cut off.
func (p *Planner) isolated(now Time, witness string) bool {
	bad, all := 0, 0
	for _, name := range p.names {
		t := p.zones[name].tallies[witness]
		if t == nil || name == witness {
			continue
		}
		t.fade(now)
		if t.attempts < minAttempts {
			continue
		}
		all++
		if t.failed >= sickFraction*t.attempts {
			bad++
		}
	}
	return all > 1 && 2*bad > all
}

// Resume continues from the agreed plan after a change of leader: its decisions stand until evidence changes them.
func (p *Planner) Resume(now Time, number uint64, zones map[string]Entry) {
	p.number = max(p.number, number)
	for name, e := range zones {
		if z := p.zones[name]; z != nil {
			z.state, z.away, z.reason, z.held, z.since, z.stepAt, z.lastTurn = e.State, e.Away, e.Reason, e.Held, now, now, now
		}
	}
	p.last = Plan{Number: p.number, MadeAt: now - PlanTerm, Zones: zones}
}

// Force applies an operator's override: Out, Serving, or empty to let the planner decide. It fails for an unknown zone or
// another state.
func (p *Planner) Force(now Time, zone string, s State, reason string) error {
	z := p.zones[zone]
	switch {
	case z == nil:
		return fmt.Errorf("there is no zone %q, want one of %v", zone, p.names)
	case s != "" && s != Out && s != Serving:
		return fmt.Errorf("zone %s can't be forced to be %s, want %s or %s", zone, s, Out, Serving)
	}
	if z.forced == s {
		return nil
	}
	z.forced, z.reason = s, cmp.Or(reason, z.reason)
	if s == Out && z.state != Out {
		p.setState(now, z, Shedding, cmp.Or(reason, "by an operator"))
		z.away = max(z.away, stepFraction)
	}
	return nil
}

// Hold stops (yes) or resumes automatic changes of a zone. It fails for an unknown zone.
func (p *Planner) Hold(zone string, yes bool) error {
	z := p.zones[zone]
	if z == nil {
		return fmt.Errorf("there is no zone %q, want one of %v", zone, p.names)
	}
	z.held = yes
	return nil
}

// setState sets a zone's state and limits how often its direction changes.
func (p *Planner) setState(now Time, z *zoneState, s State, reason string) {
	if z.state == s {
		return
	}
	leaves := func(s State) bool { return s == Shedding || s == Out }
	if leaves(s) != leaves(z.state) { // the direction changes
		if now-z.lastTurn < turnIntervalHalving {
			z.turnInterval = min(2*z.turnInterval, maxTurnInterval)
		}
		z.lastTurn = now
	}
	z.state, z.since, z.stepAt, z.reason = s, now, now, reason
	p.StateChanges++
}

// mayTurn reports whether a zone may change its direction: not too soon after the last change.
func (p *Planner) mayTurn(now Time, z *zoneState) bool {
	return !p.guarded(GuardTurnInterval) || now-z.lastTurn >= z.turnInterval
}

// holdsFor records in at since when a condition holds and returns for how long, -1 if it does not hold.
func holdsFor(at *Time, now Time, holds bool) Time {
	if !holds {
		*at = 0
		return -1
	}
	if *at == 0 {
		*at = max(now, 1)
	}
	return now - *at
}

// Evaluate updates all zones and returns the current plan, and whether it is new or renewed. Call it about every half second.
func (p *Planner) Evaluate(now Time) (Plan, bool) {
	if now-p.evaluatedAt < evaluateInterval && p.number > 0 {
		return p.last, false
	}
	span := now - p.evaluatedAt
	p.evaluatedAt = now
	for _, name := range p.names {
		p.updateZone(now, span, p.zones[name])
	}
	zones := p.assignLoad()
	changed := !same(zones, p.last.Zones)
	if changed || now-p.last.MadeAt >= PlanTerm/3 {
		p.number++
		p.last = Plan{Number: p.number, MadeAt: now, Zones: zones}
		return p.last, true
	}
	return p.last, false
}

// updateZone updates one zone by its evidence.
func (p *Planner) updateZone(now, span Time, z *zoneState) {
	part, witnesses, known := p.failedFraction(now, z)
	sick := holdsFor(&z.sickSince, now, known && part >= sickFraction)
	gone := holdsFor(&z.goneSince, now, known && part >= goneFraction && witnesses > 1)
	well := holdsFor(&z.wellSince, now, known && part <= wellFraction)
	if z.wellSince > 0 && z.state == Serving {
		z.peakServed = max(z.peakServed*math.Pow(peakDecayPerSecond, span.Seconds()), z.served, z.Capacity)
	}
	if now-z.lastTurn > turnIntervalHalving && z.turnInterval > minTurnInterval {
		z.turnInterval, z.lastTurn = max(minTurnInterval, z.turnInterval/2), now-z.turnInterval
	}
	why := fmt.Sprintf("%.0f %% of the attempts there fail, as %d zones see it", 100*part, witnesses)
	if z.held && p.guarded(GuardHold) {
		return
	}
	switch {
	case z.forced == Out:
		p.moveAway(now, z, false)
		return
	case z.forced == Serving && (z.state == Out || z.state == Shedding):
		p.setState(now, z, Returning, cmp.Or(z.reason, "by an operator"))
		z.away = min(z.away, 1-trialFraction)
	}
	switch z.state {
	case Serving:
		if sick >= sickFor || gone >= goneFor {
			p.setState(now, z, Degraded, why)
		}
	case Degraded:
		switch {
		case gone >= goneFor && p.mayTurn(now, z):
			p.setState(now, z, Shedding, why)
			p.moveAway(now, z, true)
		case sick >= 2*sickFor && p.mayTurn(now, z):
			p.setState(now, z, Shedding, why)
			z.away = stepFraction
		case well >= sickFor:
			p.setState(now, z, Serving, "")
		}
	case Shedding:
		switch {
		case gone >= goneFor:
			p.moveAway(now, z, true)
		case sick >= 0:
			p.moveAway(now, z, false)
		case well >= stepInterval && p.mayTurn(now, z):
			p.setState(now, z, Returning, "it is well")
		}
	case Out:
		// Only the gateways' own probes go there; the zone is well once they succeed.
		if well >= stepInterval && p.mayTurn(now, z) {
			p.setState(now, z, Returning, "it answers again")
			z.away = 1 - trialFraction
		}
	case Returning:
		switch {
		case gone >= goneFor || sick >= sickFor:
			p.setState(now, z, Shedding, why)
			p.moveAway(now, z, gone >= goneFor)
		case now-z.stepAt >= stepInterval && well >= sickFor:
			z.stepAt = now
			z.away = max(0, z.away-stepFraction)
			if z.away == 0 {
				p.setState(now, z, Serving, "")
			}
		}
	}
}

// moveAway moves a zone's load away: all at once where nothing is served there anyway, else step by step as long as the
// receiving zones are well.
func (p *Planner) moveAway(now Time, z *zoneState, atOnce bool) {
	if z.state != Shedding {
		return
	}
	switch {
	case atOnce, !p.guarded(GuardSteps):
		z.away = 1
	case now-z.stepAt >= stepInterval && p.confirmed(now, z):
		z.stepAt = now
		z.away = min(1, z.away+stepFraction)
	}
	if z.away >= 1 {
		p.setState(now, z, Out, z.reason)
	}
}

// confirmed reports whether the zones that receive a zone's load are well.
func (p *Planner) confirmed(now Time, z *zoneState) bool {
	for to := range p.last.Zones[z.Name].GoesTo {
		if n := p.zones[to]; n != nil && (n.state != Serving || n.sickSince > 0) {
			return false
		}
	}
	return true
}

// assignLoad distributes the load that leaves each zone over its neighbours in their order, as far as they have capacity
// besides their own load and that from other zones; the rest is shed. Only zones that are Serving and not held receive load.
func (p *Planner) assignLoad() map[string]Entry {
	spare := map[string]float64{}
	for _, name := range p.names {
		z := p.zones[name]
		can := max(z.peakServed, z.Capacity)
		if z.cold && p.guarded(GuardCold) {
			can *= coldFraction
		}
		if p.guarded(GuardReserve) {
			can *= 1 - reserveFraction
		}
		if z.state == Serving && !z.held {
			spare[name] = max(0, can-z.load*(1-z.away)) // load moved there is subtracted as it is assigned below
		}
		if !p.guarded(GuardReserve) {
			spare[name] = math.Inf(1)
			if z.state != Serving {
				spare[name] = 0
			}
		}
	}
	out := map[string]Entry{}
	for _, name := range p.names {
		z := p.zones[name]
		e := Entry{State: z.state, Away: z.away, Reason: z.reason, Held: z.held}
		if left := z.away * z.load; left > 0 {
			total := z.load
			e.GoesTo = map[string]float64{}
			for _, n := range z.Neighbours {
				if take := min(left, spare[n.Zone]); take > 0 {
					e.GoesTo[n.Zone] = take / total
					spare[n.Zone] -= take
					left -= take
				}
			}
			e.Shed = max(0, left/total)
		}
		out[name] = e
	}
	return out
}

func same(a, b map[string]Entry) bool {
	if len(a) != len(b) {
		return false
	}
	near := func(x, y float64) bool { return math.Abs(x-y) < shareTolerance }
	for name, x := range a {
		y := b[name]
		if x.State != y.State || x.Held != y.Held || !near(x.Away, y.Away) || !near(x.Shed, y.Shed) || len(x.GoesTo) != len(y.GoesTo) {
			return false
		}
		for to, part := range x.GoesTo {
			if !near(part, y.GoesTo[to]) {
				return false
			}
		}
	}
	return true
}
