package gateway

import (
	"context"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/fleet"
	"reachwind/internal/fleet/belief"
	"reachwind/internal/fleet/share"
)

// told joins the gateway to the fleet: what peers say goes to the module as events, and what it asked of the shared
// budgets comes back.
type told struct {
	owner  *core.Core
	router *decide.Router
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

// sees is the way back: what the gateway sees, for the fleet.
type sees struct{ f *fleet.Fleet }

// Noted implements core.Witness.
func (s sees) Noted(c decide.Change, member string) {
	switch c {
	case decide.Suspected:
		s.f.Saw(member, belief.Silent, 0)
	case decide.Trusted:
		s.f.Saw(member, belief.Answers, 0)
	case decide.PrimaryFound:
		s.f.Saw(member, belief.Primary, 0)
	}
}

// Answered implements core.Witness.
func (s sees) Answered(member string) { s.f.Answered(member) }

// Probed implements core.Witness.
func (s sees) Probed(member string, answered bool) { s.f.Probed(member, answered) }

// Listed implements core.Witness.
func (s sees) Listed() { s.f.Discovered() }

// startFleet has the gateway know its peers.
func startFleet(conf *fleet.Config, g *running, buffers int) (part, error) {
	wall := g.o.Wall
	if wall == nil {
		wall = time.Now
	}
	f, err := fleet.Start(*conf, fleet.Deps{Log: g.o.Log, Zone: g.c.Decide.Zone, Wall: wall, Gateway: &told{g.owner, g.router},
		Load: func() float64 { return float64(g.claims.Len()) / float64(max(1, buffers)) }})
	if err != nil {
		return part{}, err
	}
	g.owner.Tell(sees{f})
	return part{
		name: "fleet",
		prepare: func(e *Edge) (func(), error) {
			if e.Fleet == nil {
				return nil, errRestart
			}
			return f.Prepare(*e.Fleet)
		},
		drain: func(context.Context) { f.Drain(true) },
		stop:  f.Close,
	}, nil
}
