package agreed

import (
	"fmt"
	"maps"
	"slices"
)

// ZoneEntry is a zone's entry in the agreed plan. Loads are fractions of the zone's own load.
type ZoneEntry struct {
	State  string             `cbor:"1,keyasint" json:"state"`
	Away   float64            `cbor:"2,keyasint,omitempty" json:"away"` // fraction that goes elsewhere or is shed
	GoesTo map[string]float64 `cbor:"3,keyasint,omitempty" json:"goes_to,omitempty"`
	Shed   float64            `cbor:"4,keyasint,omitempty" json:"shed,omitempty"`
	Reason string             `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`
	Held   bool               `cbor:"6,keyasint,omitempty" json:"held,omitempty"`
	Region string             `cbor:"7,keyasint,omitempty" json:"region,omitempty"`
}

// ZonePlan says where the zones' load goes. Plan numbers only grow; a plan holds until its term ends.
type ZonePlan struct {
	Number uint64               `cbor:"1,keyasint" json:"number"`
	Until  int64                `cbor:"2,keyasint" json:"until_ms"` // council time in ms
	Zones  map[string]ZoneEntry `cbor:"3,keyasint" json:"zones"`
}

// ZoneOverride is an operator's override for a zone; it holds until the next one.
type ZoneOverride struct {
	Forced string `cbor:"1,keyasint,omitempty" json:"forced,omitempty"` // out or serving; empty: the planner decides
	Held   bool   `cbor:"2,keyasint,omitempty" json:"held,omitempty"`
	Reason string `cbor:"3,keyasint,omitempty" json:"reason,omitempty"`
}

// MaxZones limits the zones of a plan.
const MaxZones = 64

// Zones returns the agreed plan, nil if there never was one. It may have expired.
func (m *Machine) Zones() *ZonePlan { return m.s.Zones }

// ZoneOverrides returns the operators' overrides in force, by zone.
func (m *Machine) ZoneOverrides() map[string]ZoneOverride { return m.s.ZoneOverrides }

// setZones replaces the plan. One whose number is not above the last comes from a former leader and is refused.
func (m *Machine) setZones(c *Command) Result {
	z := c.Zones
	if z == nil || len(z.Zones) > MaxZones || c.Term <= 0 || c.Term > MaxTermMs {
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

// overrideZone executes an operator's override.
func (m *Machine) overrideZone(c *Command) Result {
	s := &m.s
	if s.Zones == nil {
		return refuse("there is no plan of zones: the council's configuration names none, or nobody has reported yet")
	}
	if _, ok := s.Zones.Zones[c.Name]; !ok {
		return refuse("there is no zone %q, want one of %v", c.Name, slices.Sorted(maps.Keys(s.Zones.Zones)))
	}
	a := s.ZoneOverrides[c.Name]
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
	if s.ZoneOverrides == nil {
		s.ZoneOverrides = map[string]ZoneOverride{}
	}
	s.ZoneOverrides[c.Name] = a
	return Result{OK: true}
}

// zoneBlockedBy says why a target of a zone may not be taken out now: the zone does not serve normally, or carries another
// zone's load. Empty if nothing prevents it.
func (m *Machine) zoneBlockedBy(zone string) string {
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
