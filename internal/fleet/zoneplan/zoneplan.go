// Package zoneplan decides in common when a zone is left, where its load goes and how
// fast, and when it is come back to. It is pure: evidence of many witnesses and the
// time go in, plans come out; whoever agrees on a plan, and the gateways that act by
// it, are elsewhere.
package zoneplan

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// Time is a point on the owner's clock, or a span on it.
type Time = time.Duration

// State is where a zone stands.
type State string

// The states.
const (
	Serving   State = "serving"
	Degraded  State = "straining" // it serves, worse than it should: nothing new is sent there
	Shedding  State = "shedding"  // a part of its load goes elsewhere
	Out       State = "out"       // none of its members is used
	Returning State = "returning" // it gets a part of its load back, by steps
)

// Tuned values, each with its reason.
const (
	look      = 5 * time.Second        // evidence counts for so long, halving each half of it
	sickPart  = 0.3                    // of the attempts in a zone fail: it is sick
	gonePart  = 0.9                    // it is gone
	wellPart  = 0.05                   // it is well
	least     = 10.0                   // attempts by which a witness zone can tell
	sickFor   = 2 * time.Second        // before a sick zone strains, and a straining one sheds
	goneFor   = time.Second            // before one that is gone is out
	stepEvery = 3 * time.Second        // a step must have been held for so long, and be confirmed by those that receive
	stepPart  = 0.25                   // of a zone's load
	trialPart = 0.05                   // of its load is sent to a zone that was out, first
	calmFirst = 5 * time.Second        // least time between changes of a zone's direction, doubling
	calmMost  = 5 * time.Minute        // up to this
	calmHalve = 2 * time.Minute        // and halving for each such span without one
	reserve   = 0.2                    // of what a zone can carry is left free by what is moved there
	coldPart  = 0.5                    // of it, while its members are cold
	forget    = 0.999                  // a second, of the most that a zone was seen to carry well
	PlanTerm  = 15 * time.Second       // a plan holds for so long unless it is renewed
	partsOff  = 0.02                   // parts closer than that are the same
	tick      = 500 * time.Millisecond // plans are looked at so often
)

// Zone is one of the topology.
type Zone struct {
	Name, Region string
	Neighbours   []Neighbour // in the order of preference; those of the own region come first
	Capacity     float64     // work a second that it can carry, 0 = as seen
}

// Neighbour is where a zone's load may go, and what that costs.
type Neighbour struct {
	Zone string
	Cost Time // a round trip more
}

// Evidence is what the gateways of one zone saw of the members of another since the last time, and what their own load is.
type Evidence struct {
	Witness  string // the zone of the gateways that tell
	Zone     string // the zone of the members
	Attempts float64
	Failed   float64
	Late     float64
	// Only where Witness is Of:
	Offered float64 // work a second that clients ask of the gateways of the zone, wherever it is done
	Served  float64 // work a second that its members do, for whomever
	Cold    bool    // most of its members started lately
}

// Guard is one of the checks that keep a plan harmless. A checker switches them off one at a time.
type Guard uint8

// The guards.
const (
	GuardWitness Guard = 1 << iota // a witness that sees all zones fail tells of itself
	GuardReserve                   // no zone is sent more than it can carry, less a reserve
	GuardCalm                      // a zone that turns again and again turns less often
	GuardSteps                     // load moves by steps that are confirmed
	GuardHold                      // an operator's hold stops what is automatic
	GuardCold                      // members that started lately carry half
)

// Guards are all of them, with what each keeps.
var Guards = []struct {
	Guard Guard
	Name  string
}{
	{GuardWitness, "a witness that sees all zones fail tells of itself"}, {GuardReserve, "no zone is sent more than it can carry, less a reserve"},
	{GuardCalm, "a zone that turns again and again turns less often"}, {GuardSteps, "load moves by steps that are confirmed"},
	{GuardHold, "an operator's hold stops what is automatic"}, {GuardCold, "members that started lately carry half"},
}

// Entry is what a plan says of a zone.
type Entry struct {
	State  State              `json:"state"`
	Away   float64            `json:"away"`              // part of its load that goes elsewhere or is shed
	GoesTo map[string]float64 `json:"goes_to,omitempty"` // parts of its load, by zone
	Shed   float64            `json:"shed,omitempty"`    // part that fits nowhere: refused at the edge, low worth first
	Reason string             `json:"reason,omitempty"`
	Held   bool               `json:"held,omitempty"`
}

// Plan is what holds for all zones. Numbers only grow; a plan ends a Term after Made unless it is renewed.
type Plan struct {
	Number uint64           `json:"number"`
	MadeAt Time             `json:"made"`
	Zones  map[string]Entry `json:"zones"`
}

// tally is what a witness zone saw of a zone, fading.
type tally struct {
	attempts, failed, late float64
	at                     Time
}

// place is a zone at work.
type place struct {
	Zone
	state   State
	since   Time
	away    float64
	stepAt  Time
	sick    Time // since then, 0 = it is not
	gone    Time
	well    Time
	calm    Time // least time to the next turn
	turned  Time
	load    float64 // offered to its gateways, a second
	done    float64 // by its members, a second
	most    float64 // that they were seen to do well
	cold    bool
	held    bool
	forced  State // by an operator, empty: none
	reason  string
	tallies map[string]*tally // by witness zone
}

// Planner makes plans. It is its owner's alone.
type Planner struct {
	zones  map[string]*place
	names  []string
	off    Guard
	number uint64
	last   Plan
	lookAt Time
	Turns  int // changes of state so far
}

// New returns the planner of a topology. A zone without neighbours may shed only.
func New(zones []Zone, off Guard) *Planner {
	p := &Planner{zones: map[string]*place{}, off: off}
	for _, z := range zones {
		p.zones[z.Name] = &place{Zone: z, state: Serving, calm: calmFirst, turned: -calmMost, most: z.Capacity, tallies: map[string]*tally{}}
		p.names = append(p.names, z.Name)
	}
	slices.Sort(p.names)
	return p
}

func (p *Planner) on(g Guard) bool { return p.off&g == 0 }

// AddEvidence takes evidence.
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
			z.load, z.done, z.cold = s.Offered, s.Served, s.Cold
		}
	}
}

func (t *tally) fade(now Time) {
	f := math.Exp2(-2 * float64(now-t.at) / float64(look))
	t.attempts, t.failed, t.late, t.at = t.attempts*f, t.failed*f, t.late*f, now
}

// part is which part of the attempts in a zone fails, as its witnesses say: the one in the middle, each zone one witness
// however many gateways it has. A witness to whom most zones fail tells of itself. known is false where nobody can tell.
func (p *Planner) part(now Time, z *place) (part float64, witnesses int, known bool) {
	var parts []float64
	for _, w := range slices.Sorted(maps.Keys(z.tallies)) {
		t := z.tallies[w]
		t.fade(now)
		if t.attempts < least || p.on(GuardWitness) && p.blind(now, w) {
			continue
		}
		parts = append(parts, t.failed/t.attempts)
	}
	if len(parts) == 0 {
		return 0, 0, false
	}
	slices.Sort(parts)
	return parts[(len(parts)-1)/2], len(parts), true // of two the milder: one witness alone takes nothing out
}

// blind tells that a witness sees most other zones fail: it is the one that is cut off.
func (p *Planner) blind(now Time, witness string) bool {
	bad, all := 0, 0
	for _, name := range p.names {
		t := p.zones[name].tallies[witness]
		if t == nil || name == witness {
			continue
		}
		t.fade(now)
		if t.attempts < least {
			continue
		}
		all++
		if t.failed >= sickPart*t.attempts {
			bad++
		}
	}
	return all > 1 && 2*bad > all
}

// Resume goes on from the plan that holds, as a planner that takes over does: what was decided stands until it is seen
// otherwise.
func (p *Planner) Resume(now Time, number uint64, zones map[string]Entry) {
	p.number = max(p.number, number)
	for name, e := range zones {
		if z := p.zones[name]; z != nil {
			z.state, z.away, z.reason, z.held, z.since, z.stepAt, z.turned = e.State, e.Away, e.Reason, e.Held, now, now, now
		}
	}
	p.last = Plan{Number: p.number, MadeAt: now - PlanTerm, Zones: zones}
}

// Force is an operator's act: a zone out, back (Serving), or as the planner sees it (empty).
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
		p.turn(now, z, Shedding, cmp.Or(reason, "by an operator"))
		z.away = max(z.away, stepPart)
	}
	return nil
}

// Hold stops all that is automatic for a zone, or has it go on.
func (p *Planner) Hold(zone string, yes bool) error {
	z := p.zones[zone]
	if z == nil {
		return fmt.Errorf("there is no zone %q, want one of %v", zone, p.names)
	}
	z.held = yes
	return nil
}

// turn changes a zone's state.
func (p *Planner) turn(now Time, z *place, s State, reason string) {
	if z.state == s {
		return
	}
	leaves := func(s State) bool { return s == Shedding || s == Out }
	if leaves(s) != leaves(z.state) { // it turns round
		if now-z.turned < calmHalve {
			z.calm = min(2*z.calm, calmMost)
		}
		z.turned = now
	}
	z.state, z.since, z.stepAt, z.reason = s, now, now, reason
	p.Turns++
}

// mayTurn tells that a zone may turn round: not too soon after it last did.
func (p *Planner) mayTurn(now Time, z *place) bool {
	return !p.on(GuardCalm) || now-z.turned >= z.calm
}

// since notes from when on something holds.
func since(at *Time, now Time, holds bool) Time {
	if !holds {
		*at = 0
		return -1
	}
	if *at == 0 {
		*at = max(now, 1)
	}
	return now - *at
}

// Evaluate looks at all zones and returns the plan that holds from now on, and whether it is another one than the last or
// needs to be renewed. It is to be called each half second or so.
func (p *Planner) Evaluate(now Time) (Plan, bool) {
	if now-p.lookAt < tick && p.number > 0 {
		return p.last, false
	}
	span := now - p.lookAt
	p.lookAt = now
	for _, name := range p.names {
		p.judge(now, span, p.zones[name])
	}
	zones := p.place()
	changed := !same(zones, p.last.Zones)
	if changed || now-p.last.MadeAt >= PlanTerm/3 {
		p.number++
		p.last = Plan{Number: p.number, MadeAt: now, Zones: zones}
		return p.last, true
	}
	return p.last, false
}

// judge moves one zone on by what is seen of it.
func (p *Planner) judge(now, span Time, z *place) {
	part, witnesses, known := p.part(now, z)
	sick := since(&z.sick, now, known && part >= sickPart)
	gone := since(&z.gone, now, known && part >= gonePart && witnesses > 1)
	well := since(&z.well, now, known && part <= wellPart)
	if z.well > 0 && z.state == Serving {
		z.most = max(z.most*math.Pow(forget, span.Seconds()), z.done, z.Capacity)
	}
	if now-z.turned > calmHalve && z.calm > calmFirst {
		z.calm, z.turned = max(calmFirst, z.calm/2), now-z.calm
	}
	why := fmt.Sprintf("%.0f %% of the attempts there fail, as %d zones see it", 100*part, witnesses)
	if z.held && p.on(GuardHold) {
		return
	}
	switch {
	case z.forced == Out:
		p.leave(now, z, false)
		return
	case z.forced == Serving && (z.state == Out || z.state == Shedding):
		p.turn(now, z, Returning, cmp.Or(z.reason, "by an operator"))
		z.away = min(z.away, 1-trialPart)
	}
	switch z.state {
	case Serving:
		if sick >= sickFor || gone >= goneFor {
			p.turn(now, z, Degraded, why)
		}
	case Degraded:
		switch {
		case gone >= goneFor && p.mayTurn(now, z):
			p.turn(now, z, Shedding, why)
			p.leave(now, z, true)
		case sick >= 2*sickFor && p.mayTurn(now, z):
			p.turn(now, z, Shedding, why)
			z.away = stepPart
		case well >= sickFor:
			p.turn(now, z, Serving, "")
		}
	case Shedding:
		switch {
		case gone >= goneFor:
			p.leave(now, z, true)
		case sick >= 0:
			p.leave(now, z, false)
		case well >= stepEvery && p.mayTurn(now, z):
			p.turn(now, z, Returning, "it is well")
		}
	case Out:
		// Nothing is sent there but what gateways try by themselves; it is well once those say so.
		if well >= stepEvery && p.mayTurn(now, z) {
			p.turn(now, z, Returning, "it answers again")
			z.away = 1 - trialPart
		}
	case Returning:
		switch {
		case gone >= goneFor || sick >= sickFor:
			p.turn(now, z, Shedding, why)
			p.leave(now, z, gone >= goneFor)
		case now-z.stepAt >= stepEvery && well >= sickFor:
			z.stepAt = now
			z.away = max(0, z.away-stepPart)
			if z.away == 0 {
				p.turn(now, z, Serving, "")
			}
		}
	}
}

// leave moves a zone's load away: all at once where nothing is served there anyway, else by steps that those who receive
// it confirm by being well.
func (p *Planner) leave(now Time, z *place, atOnce bool) {
	if z.state != Shedding {
		return
	}
	switch {
	case atOnce, !p.on(GuardSteps):
		z.away = 1
	case now-z.stepAt >= stepEvery && p.confirmed(now, z):
		z.stepAt = now
		z.away = min(1, z.away+stepPart)
	}
	if z.away >= 1 {
		p.turn(now, z, Out, z.reason)
	}
}

// confirmed tells that those who receive a zone's load are well.
func (p *Planner) confirmed(now Time, z *place) bool {
	for to := range p.last.Zones[z.Name].GoesTo {
		if n := p.zones[to]; n != nil && (n.state != Serving || n.sick > 0) {
			return false
		}
	}
	return true
}

// place lays out where load goes: for each zone in trouble its neighbours in their order, as far as they can carry it beside
// their own and what others send them; the rest is shed. No zone that is itself in trouble, or coming back, receives any.
func (p *Planner) place() map[string]Entry {
	spare := map[string]float64{}
	for _, name := range p.names {
		z := p.zones[name]
		can := max(z.most, z.Capacity)
		if z.cold && p.on(GuardCold) {
			can *= coldPart
		}
		if p.on(GuardReserve) {
			can *= 1 - reserve
		}
		if z.state == Serving && !z.held {
			spare[name] = max(0, can-z.load*(1-z.away)) // what is moved there already is counted as it is laid out
		}
		if !p.on(GuardReserve) {
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
	near := func(x, y float64) bool { return math.Abs(x-y) < partsOff }
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
