package gateway

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/discovery"
)

// overlay sits between discovery and the core. It lists members that the council has permitted to go out of service as
// draining, whatever discovery says, so that work moves off them in time. It never drains the last usable member of a
// group: the council's state may be out of date here, and a group without members serves nobody.
type overlay struct {
	next discovery.Sink

	mu          sync.Mutex
	listed      map[string]core.ListedMember // members by id, as discovery lists them
	drains      map[string]bool              // members that the council has permitted to go out
	zonesAway   map[string]float64           // by zone, the fraction of its load that goes elsewhere by the zone plan
	primaries   map[int64]string             // by group, the member that this gateway considers its primary
	gateway     string                       // name of this gateway
	drained     map[string]bool              // members listed as draining to the core by this overlay
	lastInGroup int                          // members that stay in use because they are the last of their group
}

// maxListed limits the members kept in memory; discovery's own limits are lower.
const maxListed = 1 << 14

func newOverlay(name string, sink discovery.Sink) *overlay {
	return &overlay{gateway: name, zonesAway: map[string]float64{}, primaries: map[int64]string{}, next: sink, listed: map[string]core.ListedMember{}, drains: map[string]bool{}, drained: map[string]bool{}}
}

// List implements discovery.Sink. It passes the list on with the drains applied.
func (o *overlay) List(kind decide.EventKind, members []core.ListedMember) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !kind.HasList() {
		o.next(kind, members)
		return
	}
	if kind.IsWholeList() {
		clear(o.listed)
	}
	for _, m := range members {
		if m.State == decide.Removed {
			delete(o.listed, m.ID)
		} else if len(o.listed) < maxListed {
			o.listed[m.ID] = m
		}
	}
	before := maps.Clone(o.drained)
	o.selectDrained()
	passed := members
	for _, id := range slices.Sorted(maps.Keys(o.listed)) { // members outside this list whose drain starts or ends because of it, e.g. as the last of their group
		m := o.listed[id]
		if o.drained[id] != before[id] && m.State == decide.Up && !slices.ContainsFunc(members, func(x core.ListedMember) bool { return x.ID == id }) {
			passed = append(slices.Clone(passed), m)
		}
	}
	if len(o.drained) > 0 {
		passed = slices.Clone(passed)
		for i := range passed {
			if o.drained[passed[i].ID] && passed[i].State == decide.Up {
				passed[i].State = decide.Draining
			}
		}
	}
	o.next(kind, passed)
}

// selectDrained selects the members to list as draining: in the order of their ids, and never the last usable one of a
// group.
func (o *overlay) selectDrained() {
	usable := map[int64]int{}
	for _, m := range o.listed {
		if m.State == decide.Up {
			usable[m.Group]++
		}
	}
	clear(o.drained)
	o.lastInGroup = 0
	for _, id := range slices.Sorted(maps.Keys(o.drains)) {
		m, ok := o.listed[id]
		if !ok || m.State != decide.Up {
			continue
		}
		if usable[m.Group] <= 1 {
			o.lastInGroup++
			continue
		}
		usable[m.Group]--
		o.drained[id] = true
	}
	if len(o.zonesAway) == 0 {
		return
	}
	// Each gateway drains a different selection of a zone's members; over all gateways they make up the fraction in the
	// plan. A primary is never drained for its zone: no other member accepts its writes until the cluster has elected
	// another.
	for _, id := range slices.Sorted(maps.Keys(o.listed)) {
		m := o.listed[id]
		away := o.zonesAway[m.Zone]
		if away <= 0 || m.State != decide.Up || o.drained[id] || o.primaries[m.Group] == id || hashFraction(o.gateway, id) >= away {
			continue
		}
		if usable[m.Group] <= 1 {
			o.lastInGroup++
			continue
		}
		usable[m.Group]--
		o.drained[id] = true
	}
}

// hashFraction hashes a gateway and a member to a number that is at least 0 and below 1.
func hashFraction(gateway, member string) float64 {
	return float64(xxhash.Sum64String(gateway+"\x00"+member)>>11) / (1 << 53)
}

// SetZones sets the fraction of each zone's load that goes elsewhere.
func (o *overlay) SetZones(away map[string]float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.zonesAway = away
	o.reselect()
}

// SetPrimary records that this gateway considers member the primary of its group.
func (o *overlay) SetPrimary(member string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if m, ok := o.listed[member]; ok {
		o.primaries[m.Group] = member
	}
}

// DivertedMembers returns the members of zones that load is moved away from, sorted by id. They are probed from time to
// time.
func (o *overlay) DivertedMembers() (all []core.ListedMember) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(o.listed)) {
		if m := o.listed[id]; o.zonesAway[m.Zone] > 0 {
			all = append(all, m)
		}
	}
	return all
}

// zoneOf returns the zone of a member, empty if it is not listed.
func (o *overlay) zoneOf(member string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.listed[member].Zone
}

// SetDrains sets the members that are permitted to go out of service, replacing the former ones.
func (o *overlay) SetDrains(members []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.drains)
	for _, id := range members {
		o.drains[id] = true
	}
	o.reselect()
}

// reselect repeats the selection and passes on the members whose state changes. The caller holds the lock.
func (o *overlay) reselect() {
	before := maps.Clone(o.drained)
	o.selectDrained()
	var change []core.ListedMember
	for _, id := range slices.Sorted(maps.Keys(o.listed)) {
		if m := o.listed[id]; o.drained[id] != before[id] && m.State == decide.Up {
			if o.drained[id] {
				m.State = decide.Draining
			}
			change = append(change, m)
		}
	}
	if len(change) > 0 {
		o.next(decide.ListOverride, change)
	}
}
