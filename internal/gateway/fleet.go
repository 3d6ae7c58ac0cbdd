package gateway

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/fleet"
	"reachwind/internal/fleet/agreed"
	"reachwind/internal/fleet/belief"
	"reachwind/internal/fleet/share"
	"reachwind/internal/fleet/subscribe"
)

// told implements fleet.Gateway: it passes peers' reports and quotas to package decide as events, and gives the fleet the
// counters and observations of this gateway.
type told struct {
	*running
	counts *subscribe.Counts          // owned by the core's goroutine
	tried  map[string]subscribe.Tried // attempts by zone; owned by the core's goroutine
	looks  int                        // number of probes so far, which selects the next member to probe
	at     int                        // index of the member reported last
}

// Told implements fleet.Gateway.
func (g *told) Told(member string, look, try, guess bool) {
	if guess {
		g.owner.Event(decide.Event{Kind: decide.Told, Member: member, Role: decide.Primary})
	}
	if try {
		g.owner.Event(decide.Event{Kind: decide.Told, Member: member, Result: decide.Served})
	}
	if look {
		g.owner.Event(decide.Event{Kind: decide.Told, Member: member, Result: decide.TimedOut})
	}
}

// Parts implements fleet.Gateway.
func (g *told) Parts(parts [share.Budgets]float64, done func([share.Budgets]float64)) {
	g.owner.Event(decide.Event{Kind: decide.Parts, Parts: parts})
	g.owner.Post(func() { done(g.router.Wanted()) })
}

// Counts implements fleet.Gateway.
func (g *told) Counts(done func(subscribe.Counts, []subscribe.Seen, []subscribe.Tried)) {
	g.owner.Post(func() {
		all := g.router.Known()
		var some []subscribe.Seen
		for range min(len(all), subscribe.SeenMost) {
			g.at = (g.at + 1) % len(all)
			k := &all[g.at]
			some = append(some, subscribe.Seen{Member: k.Member, Group: k.Group, Zone: k.Zone, Primary: k.Role == decide.Primary,
				Position: k.Position.Milliseconds(), Out: k.Out})
		}
		var tried []subscribe.Tried
		for _, z := range slices.Sorted(maps.Keys(g.tried)) {
			tried = append(tried, g.tried[z])
		}
		done(*g.counts, some, tried)
	})
}

// Drains implements fleet.Gateway.
func (g *told) Drains(members []string) {
	if g.over != nil {
		g.over.Drain(members)
	}
}

// Zones implements fleet.Gateway.
func (g *told) Zones(away map[string]float64) {
	if g.over != nil {
		g.over.Zones(away)
	}
}

// looksMost limits the probes per second of members in zones that load is moved away from.
const looksMost = 3

// Look implements fleet.Gateway. It probes whether some members of zones that load is moved away from accept connections,
// other ones each time. That is weak evidence, but enough for returning a first small fraction of the load.
func (g *told) Look() {
	if g.over == nil {
		return
	}
	all := g.over.Left()
	for range min(looksMost, len(all)) {
		g.looks++
		m := all[g.looks%len(all)]
		if g.ops.out(m.ID) {
			continue
		}
		go func() {
			c, err := net.DialTimeout("tcp", m.Addr, connectUsual)
			r := decide.Served
			if err != nil {
				r = decide.Unreachable
			} else {
				_ = c.Close()
			}
			g.owner.Post(func() { g.try(m.Zone, r) })
		}()
	}
}

// try counts an attempt at a member of a zone. It runs on the core's goroutine.
func (g *told) try(zone string, r decide.Result) {
	t, ok := g.tried[zone]
	if !ok && len(g.tried) >= agreed.ZonesMost {
		return
	}
	t.Zone = zone
	switch r {
	case decide.Cancelled, decide.NotSent:
		return
	case decide.TimedOut, decide.Unreachable, decide.Reset, decide.Errored:
		t.Failed++
	}
	t.Attempts++
	g.tried[zone] = t
}

// Door implements fleet.Gateway.
func (g *told) Door(part float64) {
	d := g.door.Load()
	if d == nil {
		return
	}
	g.front.Quiesce(part == 0)
	if part == 0 || part < 1 && float64(g.front.Open()) >= part*float64(g.most) {
		d.Shut()
	} else if err := d.Open(); err != nil {
		g.o.Log.Error("the clients' address can't be opened again", "listen", d.addr, "err", err)
	}
}

// Busy implements fleet.Gateway.
func (g *told) Busy() int { return g.front.Open() }

// sees implements core.Witness: it reports to the fleet what the core observes.
type sees struct {
	f      *fleet.Fleet
	counts *subscribe.Counts
	g      *told
}

// Tried implements core.Witness.
func (s sees) Tried(member string, r decide.Result) {
	if s.g.over != nil {
		if zone := s.g.over.zone(member); zone != "" {
			s.g.try(zone, r)
		}
	}
}

// Ended implements core.Witness.
func (s sees) Ended(q *core.Request, v core.Verdict, took core.Time) {
	c := &s.counts.Classes[min(q.Place, agreed.ClassesMost-1)]
	c.Requests++
	if v != core.Served {
		c.Refused++
		return
	}
	if took > q.Class.Aim {
		c.Late++
	}
	s.counts.Latency[agreed.Bucket(took.Microseconds())]++
}

// Noted implements core.Witness.
func (s sees) Noted(c decide.Change, member string) {
	switch c {
	case decide.Suspected:
		s.f.Saw(member, belief.Silent, 0)
	case decide.Trusted:
		s.f.Saw(member, belief.Answers, 0)
	case decide.PrimaryFound:
		if s.g.over != nil {
			s.g.over.Primary(member)
		}
		s.f.Saw(member, belief.Primary, 0)
	}
}

// Answered implements core.Witness.
func (s sees) Answered(member string) { s.f.Answered(member) }

// Probed implements core.Witness.
func (s sees) Probed(member string, answered bool) { s.f.Probed(member, answered) }

// Listed implements core.Witness.
func (s sees) Listed() { s.f.Discovered() }

// startFleet starts the fleet subsystem of g, which has a number of full-size buffers.
func startFleet(conf *fleet.Config, g *running, buffers int) (part, error) {
	wall := g.o.Wall
	if wall == nil {
		wall = time.Now
	}
	own := *conf
	own.Version = g.o.Version
	counts := new(subscribe.Counts)
	way := &told{running: g, counts: counts, tried: map[string]subscribe.Tried{}}
	f, err := fleet.Start(own, fleet.Deps{Log: g.o.Log, Zone: g.c.Decide.Zone, Wall: wall, Gateway: way,
		Longest: lastCall(g.c.terms.Now().Longest),
		Load:    func() float64 { return float64(g.claims.Len()) / float64(max(1, buffers)) }})
	if err != nil {
		return part{}, err
	}
	g.owner.Tell(sees{f, counts, way})
	g.fleet = f
	return part{
		name: "fleet",
		prepare: func(e *Edge) (func(), error) {
			if e.Fleet == nil {
				return nil, errRestart
			}
			return f.Prepare(*e.Fleet)
		},
		drain: func(context.Context) { f.GoesAway() },
		stop:  f.Close,
	}, nil
}
