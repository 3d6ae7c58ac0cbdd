package agreed

import (
	"fmt"
	"maps"
	"slices"
)

// ZoneEntry is what the agreed plan says of a zone.
type ZoneEntry struct {
	State  string             `cbor:"1,keyasint" json:"state"`
	Away   float64            `cbor:"2,keyasint,omitempty" json:"away"` // part of its load that goes elsewhere or is shed
	GoesTo map[string]float64 `cbor:"3,keyasint,omitempty" json:"goes_to,omitempty"`
	Shed   float64            `cbor:"4,keyasint,omitempty" json:"shed,omitempty"`
	Reason string             `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`
	Held   bool               `cbor:"6,keyasint,omitempty" json:"held,omitempty"`
	Region string             `cbor:"7,keyasint,omitempty" json:"region,omitempty"`
}

// ZonePlan is where the zones' load goes. Numbers only grow; it holds until its term ends.
type ZonePlan struct {
	Number uint64               `cbor:"1,keyasint" json:"number"`
	Until  int64                `cbor:"2,keyasint" json:"until_ms"` // council time
	Zones  map[string]ZoneEntry `cbor:"3,keyasint" json:"zones"`
}

// ZoneOverride is an operator's word on a zone that stands until another one.
type ZoneOverride struct {
	Forced string `cbor:"1,keyasint,omitempty" json:"forced,omitempty"` // out, serving, empty: as the planner sees it
	Held   bool   `cbor:"2,keyasint,omitempty" json:"held,omitempty"`
	Reason string `cbor:"3,keyasint,omitempty" json:"reason,omitempty"`
}

// MaxZones bounds plans.
const MaxZones = 64

// Zones is the agreed plan, nil if there never was one.
func (m *Machine) Zones() *ZonePlan { return m.s.Zones }

// ZoneOverrides are the operators' words that stand.
func (m *Machine) ZoneOverrides() map[string]ZoneOverride { return m.s.ZoneActs }

// setZones takes a plan. One with a number that is not above the last is of a leader of the past.
func (m *Machine) setZones(c *Command) Result {
	z := c.Zones
	if z == nil || len(z.Zones) > MaxZones || c.Term <= 0 || c.Term > TermMost {
		return refuse("no plan of zones, or more than %d, or a term of %d ms", MaxZones, c.Term)
	}
	if old := m.s.Zones; old != nil && z.Number <= old.Number {
		return refuse("plan %d is of the past, %d holds", z.Number, old.Number)
	}
	for name, e := range z.Zones {
		sum := e.Shed
		for _, part := range e.GoesTo {
			sum += part
		}
		if len(name) > MaxTextBytes || e.Away < 0 || e.Away > 1 || sum > 1+1e-6 {
			return refuse("plan %d sends %g of zone %s away and lays out %g", z.Number, e.Away, name, sum)
		}
	}
	m.s.Zones = &ZonePlan{Number: z.Number, Until: m.s.Time + c.Term, Zones: z.Zones}
	return Result{OK: true}
}

// zoneAct takes an operator's word.
func (m *Machine) zoneAct(c *Command) Result {
	s := &m.s
	if s.Zones == nil {
		return refuse("there is no plan of zones: the council's configuration names none, or nobody has reported yet")
	}
	if _, ok := s.Zones.Zones[c.Name]; !ok {
		return refuse("there is no zone %q, want one of %v", c.Name, slices.Sorted(maps.Keys(s.Zones.Zones)))
	}
	a := s.ZoneActs[c.Name]
	switch c.Steer {
	case "out":
		a.Forced = "out"
	case "back":
		a.Forced = ""
		if a.Held = false; s.Zones.Zones[c.Name].State != "serving" {
			a.Forced = "serving"
		}
	case "hold":
		a.Held = true
	default:
		return refuse("a zone can't be told to %q, want out, back or hold", c.Steer)
	}
	a.Reason = c.Reason
	if s.ZoneActs == nil {
		s.ZoneActs = map[string]ZoneOverride{}
	}
	s.ZoneActs[c.Name] = a
	return Result{OK: true}
}

// zoneBars says why a target of a zone may not go out now: the zone is in trouble or comes back, or carries another's load.
func (m *Machine) zoneBars(zone string) string {
	p := m.s.Zones
	if p == nil || zone == "" || m.s.Time >= p.Until {
		return ""
	}
	if e, ok := p.Zones[zone]; ok && e.State != "serving" {
		return fmt.Sprintf("zone %s is %s", zone, e.State)
	}
	for _, name := range slices.Sorted(maps.Keys(p.Zones)) {
		if part := p.Zones[name].GoesTo[zone]; part > 0 {
			return fmt.Sprintf("zone %s carries %.0f %% of the load of zone %s", zone, 100*part, name)
		}
	}
	return ""
}
