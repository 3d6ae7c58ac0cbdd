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

// overlay stands between discovery and the core: members that the council has permitted to go out are listed as
// draining, whatever discovery says, so that work moves off them before they are gone. It never takes the last member
// of a group that may be used: what is agreed elsewhere may be late, and a group without members serves nobody.
type overlay struct {
	sink discovery.Sink

	mu     sync.Mutex
	listed map[string]core.ListedMember // as discovery has them
	drains map[string]bool              // as the council has them
	zones  map[string]float64           // parts of their load that go elsewhere, by the agreed plan
	first  map[int64]string             // the primary of each group, as this gateway believes
	name   string                       // of this gateway
	held   map[string]bool              // that the core was told to be draining for it
	Kept   int                          // members left in use as they are the last of their group
}

// listedMost bounds what is kept of the list; discovery's own bounds are lower.
const listedMost = 1 << 14

func newOverlay(name string, sink discovery.Sink) *overlay {
	return &overlay{name: name, zones: map[string]float64{}, first: map[int64]string{}, sink: sink, listed: map[string]core.ListedMember{}, drains: map[string]bool{}, held: map[string]bool{}}
}

// List takes what discovery says and passes it on.
func (o *overlay) List(kind decide.EventKind, members []core.ListedMember) {
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
	for _, id := range slices.Sorted(maps.Keys(o.listed)) { // who is no longer heeded, as it became the last of its group, or is anew
		m := o.listed[id]
		if o.held[id] != was[id] && m.State == decide.Up && !slices.ContainsFunc(members, func(x core.ListedMember) bool { return x.ID == id }) {
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

// choose decides which of the drains are heeded: in the order of their names, none that is the last of its group.
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
	// Each gateway leaves some members of a zone, another gateway others: together the part that the plan says. A primary is
	// never left for its zone: nobody else takes its writes before the cluster has elected another.
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

// luck is a number from 0 to 1 that a gateway and a member always have together.
func luck(gateway, member string) float64 {
	return float64(xxhash.Sum64String(gateway+"\x00"+member)>>11) / (1 << 53)
}

// Zones takes which parts of the zones' load go elsewhere.
func (o *overlay) Zones(away map[string]float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.zones = away
	o.again()
}

// Primary notes which member this gateway believes to be the primary of its group.
func (o *overlay) Primary(member string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if m, ok := o.listed[member]; ok {
		o.first[m.Group] = member
	}
}

// Left are the members of zones that load goes away from, which are looked at now and then, with their addresses.
func (o *overlay) Left() (all []core.ListedMember) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(o.listed)) {
		if m := o.listed[id]; o.zones[m.Zone] > 0 {
			all = append(all, m)
		}
	}
	return all
}

// zone is where a member is.
func (o *overlay) zone(member string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.listed[member].Zone
}

// Drain takes which members are permitted to go out now.
func (o *overlay) Drain(members []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.drains)
	for _, id := range members {
		o.drains[id] = true
	}
	o.again()
}

// again chooses anew and tells the core what that changes.
func (o *overlay) again() {
	was := maps.Clone(o.held)
	o.choose()
	var change []core.ListedMember
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
