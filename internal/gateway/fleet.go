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
	"reachwind/internal/fleet/observation"
	"reachwind/internal/fleet/quota"
	"reachwind/internal/fleet/subscribe"
)

// told joins the gateway to the fleet: what peers say goes to the module as events, and what it asked of the shared
// budgets comes back.
type told struct {
	*running
	counts *subscribe.Counts                 // the owner's
	tried  map[string]subscribe.ZoneAttempts // by zone, the owner's
	looks  int
	at     int // of the members told of last
}

// ApplyAdvice implements fleet.Gateway.
func (g *told) ApplyAdvice(member string, look, try, guess bool) {
	if guess {
		g.owner.PostEvent(decide.Event{Kind: decide.PeerReport, Member: member, Role: decide.Primary})
	}
	if try {
		g.owner.PostEvent(decide.Event{Kind: decide.PeerReport, Member: member, Result: decide.Served})
	}
	if look {
		g.owner.PostEvent(decide.Event{Kind: decide.PeerReport, Member: member, Result: decide.TimedOut})
	}
}

// SetQuotas implements fleet.Gateway.
func (g *told) SetQuotas(parts [quota.BudgetCount]float64, done func([quota.BudgetCount]float64)) {
	g.owner.PostEvent(decide.Event{Kind: decide.BudgetShares, BudgetShares: parts})
	g.owner.Post(func() { done(g.router.BudgetDemand()) })
}

// CollectCounts implements fleet.Gateway.
func (g *told) CollectCounts(done func(subscribe.Counts, []subscribe.MemberReport, []subscribe.ZoneAttempts)) {
	g.owner.Post(func() {
		all := g.router.Members()
		var some []subscribe.MemberReport
		for range min(len(all), subscribe.MaxMembersPerReport) {
			g.at = (g.at + 1) % len(all)
			k := &all[g.at]
			some = append(some, subscribe.MemberReport{Member: k.Member, Group: k.Group, Zone: k.Zone, Primary: k.Role == decide.Primary,
				Position: k.Position.Milliseconds(), Out: k.Unavailable})
		}
		var tried []subscribe.ZoneAttempts
		for _, z := range slices.Sorted(maps.Keys(g.tried)) {
			tried = append(tried, g.tried[z])
		}
		done(*g.counts, some, tried)
	})
}

// SetDrainingMembers implements fleet.Gateway.
func (g *told) SetDrainingMembers(members []string) {
	if g.over != nil {
		g.over.Drain(members)
	}
}

// SetZonesAway implements fleet.Gateway.
func (g *told) SetZonesAway(away map[string]float64) {
	if g.over != nil {
		g.over.Zones(away)
	}
}

// looksMost are the looks a second at members of zones that load goes away from.
const looksMost = 3

// ProbeZonesAway implements fleet.Gateway: it tries whether members of zones that load goes away from take connections, some each
// time. It is weak evidence, and enough to send a first trial part there again.
func (g *told) ProbeZonesAway() {
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

// try counts an attempt at a member of a zone. It is the owner's.
func (g *told) try(zone string, r decide.Result) {
	t, ok := g.tried[zone]
	if !ok && len(g.tried) >= agreed.MaxZones {
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

// SetConnectionFraction implements fleet.Gateway.
func (g *told) SetConnectionFraction(part float64) {
	d := g.door.Load()
	if d == nil {
		return
	}
	g.front.Quiesce(part == 0)
	if part == 0 || part < 1 && float64(g.front.OpenConnections()) >= part*float64(g.most) {
		d.Shut()
	} else if err := d.Open(); err != nil {
		g.o.Log.Error("the clients' address can't be opened again", "listen", d.addr, "err", err)
	}
}

// OpenConnections implements fleet.Gateway.
func (g *told) OpenConnections() int { return g.front.OpenConnections() }

// sees is the way back: what the gateway sees, for the fleet.
type sees struct {
	f      *fleet.Fleet
	counts *subscribe.Counts
	g      *told
}

// AttemptEnded implements core.Witness.
func (s sees) AttemptEnded(member string, r decide.Result) {
	if s.g.over != nil {
		if zone := s.g.over.zone(member); zone != "" {
			s.g.try(zone, r)
		}
	}
}

// RequestEnded implements core.Witness.
func (s sees) RequestEnded(q *core.Request, v core.Verdict, took core.Time) {
	c := &s.counts.Classes[min(q.ClassIndex, agreed.MaxClasses-1)]
	c.Requests++
	if v != core.Served {
		c.Refused++
		return
	}
	if took > q.Class.LatencyTarget {
		c.Late++
	}
	s.counts.Latency[agreed.Bucket(took.Microseconds())]++
}

// MemberChanged implements core.Witness.
func (s sees) MemberChanged(c decide.Change, member string) {
	switch c {
	case decide.Suspected:
		s.f.RecordObservation(member, observation.Silent, 0)
	case decide.Recovered:
		s.f.RecordObservation(member, observation.Answers, 0)
	case decide.PrimaryFound:
		if s.g.over != nil {
			s.g.over.Primary(member)
		}
		s.f.RecordObservation(member, observation.Primary, 0)
	}
}

// Answered implements core.Witness.
func (s sees) Answered(member string) { s.f.RecordAnswer(member) }

// Probed implements core.Witness.
func (s sees) Probed(member string, answered bool) { s.f.RecordProbe(member, answered) }

// DiscoveryAnswered implements core.Witness.
func (s sees) DiscoveryAnswered() { s.f.RecordDiscovery() }

// startFleet has the gateway know its peers.
func startFleet(conf *fleet.Config, g *running, buffers int) (part, error) {
	wall := g.o.Wall
	if wall == nil {
		wall = time.Now
	}
	own := *conf
	own.Version = g.o.Version
	counts := new(subscribe.Counts)
	way := &told{running: g, counts: counts, tried: map[string]subscribe.ZoneAttempts{}}
	f, err := fleet.Start(own, fleet.Deps{Log: g.o.Log, Zone: g.c.Decide.Zone, Wall: wall, Gateway: way,
		Longest: lastCall(g.c.terms.Current().MaxDeadline),
		Load:    func() float64 { return float64(g.claims.Len()) / float64(max(1, buffers)) }})
	if err != nil {
		return part{}, err
	}
	g.owner.SetObserver(sees{f, counts, way})
	g.fleet = f
	return part{
		name: "fleet",
		prepare: func(e *Edge) (func(), error) {
			if e.Fleet == nil {
				return nil, errRestart
			}
			return f.Prepare(*e.Fleet)
		},
		drain: func(context.Context) { f.AnnounceDrain() },
		stop:  f.Close,
	}, nil
}
