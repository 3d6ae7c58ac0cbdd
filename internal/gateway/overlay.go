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
	sink discovery.Sink

	mu     sync.Mutex
	listed map[string]core.Listed // members by id, as discovery lists them
	drains map[string]bool        // members that the council has permitted to go out
	zones  map[string]float64     // by zone, the fraction of its load that goes elsewhere by the zone plan
	first  map[int64]string       // by group, the member that this gateway considers its primary
	name   string                 // of this gateway
	held   map[string]bool        // members listed as draining to the core by this overlay
	Kept   int                    // members that stay in use because they are the last of their group
}

// listedMost limits the members kept in memory; discovery's own limits are lower.
const listedMost = 1 << 14

func newOverlay(name string, sink discovery.Sink) *overlay {
	return &overlay{name: name, zones: map[string]float64{}, first: map[int64]string{}, sink: sink, listed: map[string]core.Listed{}, drains: map[string]bool{}, held: map[string]bool{}}
}

// List implements discovery.Sink. It passes the list on with the drains applied.
func (o *overlay) List(kind decide.EventKind, members []core.Listed) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !kind.HasList() {
		o.sink(kind, members)
		return
	}
	if kind != decide.ListChange {
		clear(o.listed)
	}
	for _, m := range members {
		if m.State == decide.Removed {
			delete(o.listed, m.ID)
		} else if len(o.listed) < listedMost {
			o.listed[m.ID] = m
		}
	}
	was := maps.Clone(o.held)
	o.choose()
	out := members
	for _, id := range slices.Sorted(maps.Keys(o.listed)) { // members outside this list whose drain starts or ends because of it, e.g. as the last of their group
		m := o.listed[id]
		if o.held[id] != was[id] && m.State == decide.Up && !slices.ContainsFunc(members, func(x core.Listed) bool { return x.ID == id }) {
			out = append(slices.Clone(out), m)
		}
	}
	if len(o.held) > 0 {
		out = slices.Clone(out)
		for i := range out {
			if o.held[out[i].ID] && out[i].State == decide.Up {
				out[i].State = decide.Draining
			}
		}
	}
	o.sink(kind, out)
}

// choose selects the members to list as draining: in the order of their ids, and never the last usable one of a group.
func (o *overlay) choose() {
	up := map[int64]int{}
	for _, m := range o.listed {
		if m.State == decide.Up {
			up[m.Group]++
		}
	}
	clear(o.held)
	o.Kept = 0
	for _, id := range slices.Sorted(maps.Keys(o.drains)) {
		m, ok := o.listed[id]
		if !ok || m.State != decide.Up {
			continue
		}
		if up[m.Group] <= 1 {
			o.Kept++
			continue
		}
		up[m.Group]--
		o.held[id] = true
	}
	if len(o.zones) == 0 {
		return
	}
	// Each gateway drains a different selection of a zone's members; over all gateways they make up the fraction in the plan.
	// A primary is never drained for its zone: no other member accepts its writes until the cluster has elected another.
	for _, id := range slices.Sorted(maps.Keys(o.listed)) {
		m := o.listed[id]
		away := o.zones[m.Zone]
		if away <= 0 || m.State != decide.Up || o.held[id] || o.first[m.Group] == id || luck(o.name, id) >= away {
			continue
		}
		if up[m.Group] <= 1 {
			o.Kept++
			continue
		}
		up[m.Group]--
		o.held[id] = true
	}
}

// luck hashes a gateway and a member to a number that is at least 0 and below 1.
func luck(gateway, member string) float64 {
	return float64(xxhash.Sum64String(gateway+"\x00"+member)>>11) / (1 << 53)
}

// Zones sets the fraction of each zone's load that goes elsewhere.
func (o *overlay) Zones(away map[string]float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.zones = away
	o.again()
}

// Primary records that this gateway considers member the primary of its group.
func (o *overlay) Primary(member string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if m, ok := o.listed[member]; ok {
		o.first[m.Group] = member
	}
}

// Left returns the members of zones that load is moved away from, sorted by id. They are probed from time to time.
func (o *overlay) Left() (all []core.Listed) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(o.listed)) {
		if m := o.listed[id]; o.zones[m.Zone] > 0 {
			all = append(all, m)
		}
	}
	return all
}

// zone returns the zone of a member, empty if it is not listed.
func (o *overlay) zone(member string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.listed[member].Zone
}

// Drain sets the members that are permitted to go out of service, replacing the former ones.
func (o *overlay) Drain(members []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.drains)
	for _, id := range members {
		o.drains[id] = true
	}
	o.again()
}

// again repeats the selection and passes on the members whose state changes. The caller holds the lock.
func (o *overlay) again() {
	was := maps.Clone(o.held)
	o.choose()
	var change []core.Listed
	for _, id := range slices.Sorted(maps.Keys(o.listed)) {
		if m := o.listed[id]; o.held[id] != was[id] && m.State == decide.Up {
			if o.held[id] {
				m.State = decide.Draining
			}
			change = append(change, m)
		}
	}
	if len(change) > 0 {
		o.sink(decide.ListChange, change)
	}
}
