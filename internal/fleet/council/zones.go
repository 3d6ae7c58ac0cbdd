package council

import (
	"maps"
	"slices"

	"reachwind/internal/fleet/agreed"
	"reachwind/internal/fleet/subscribe"
	"reachwind/internal/fleet/zoneplan"
)

// planZones has the leader compute from the gateways' reports where the zones' load goes, and propose a changed plan. A
// new leader continues from the committed plan.
func (v *Voter) planZones() {
	_, leads := v.node.Leader()
	m := v.node.Machine
	if !leads || len(v.conf.Zones) == 0 || m.Format() < agreed.ReleasesFormat {
		v.planner = nil
		return
	}
	now := v.now()
	if v.planner == nil {
		v.planner = zoneplan.New(v.conf.Zones, 0)
		if p := m.Zones(); p != nil {
			zones := map[string]zoneplan.Entry{}
			for name, e := range p.Zones {
				zones[name] = zoneplan.Entry{State: zoneplan.State(e.State), Away: e.Away, GoesTo: e.GoesTo, Shed: e.Shed, Reason: e.Reason, Held: e.Held}
			}
			v.planner.Resume(now, p.Number, zones)
		}
		v.reports.TakeZoneCounts(now) // counts from before this voter led cover an unknown period and are discarded
		v.nextPlan = now + subscribe.ReportInterval
	}
	for _, name := range slices.Sorted(maps.Keys(m.ZoneOverrides())) {
		a := m.ZoneOverrides()[name]
		_ = v.planner.Hold(name, a.Held)
		_ = v.planner.Force(now, name, zoneplan.State(a.Forced), a.Reason)
	}
	if now < v.nextPlan {
		return
	}
	v.nextPlan = now + subscribe.ReportInterval
	v.planner.AddEvidence(now, v.reports.TakeZoneCounts(now))
	plan, fresh := v.planner.Evaluate(now)
	if !fresh {
		return
	}
	z := &agreed.ZonePlan{Number: plan.Number, Zones: map[string]agreed.ZoneEntry{}}
	for _, conf := range v.conf.Zones {
		e := plan.Zones[conf.Name]
		z.Zones[conf.Name] = agreed.ZoneEntry{State: string(e.State), Away: e.Away, GoesTo: e.GoesTo, Shed: e.Shed, Reason: e.Reason, Held: e.Held, Region: conf.Region}
	}
	v.propose(&agreed.Command{Op: agreed.SetZones, Zones: z, Term: zoneplan.PlanTerm.Milliseconds()})
}

// addZonesAway adds the zone plan in force, unless it has expired, to an update for gateways.
func (v *Voter) addZonesAway(t *subscribe.Update) {
	m := v.node.Machine
	p := m.Zones()
	if p == nil || m.Time() >= p.Until {
		return
	}
	t.Plan, t.PlanLeftMs = p.Number, p.Until-m.Time()
	for _, name := range slices.Sorted(maps.Keys(p.Zones)) {
		if a := p.Zones[name].Away; a > 0 {
			t.Zones = append(t.Zones, subscribe.ZoneAway{Zone: name, Away: a})
		}
	}
}
