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

// fleetAdapter implements fleet.Gateway: it passes peers' reports and quotas to package decide as events, and gives the
// fleet the counters and observations of this gateway.
type fleetAdapter struct {
	*instance
	counters     *subscribe.Counts                 // owned by the core's goroutine
	attempts     map[string]subscribe.ZoneAttempts // attempts by zone; owned by the core's goroutine
	probeCount   int                               // number of probes so far, which selects the next member to probe
	lastReported int                               // index of the member reported last
}

// ApplyAdvice implements fleet.Gateway.
func (g *fleetAdapter) ApplyAdvice(member string, probe, tryAgain, likelyPrimary bool) {
	if likelyPrimary {
		g.core.PostEvent(decide.Event{Kind: decide.PeerReport, Member: member, Role: decide.Primary})
	}
	if tryAgain {
		g.core.PostEvent(decide.Event{Kind: decide.PeerReport, Member: member, Result: decide.Served})
	}
	if probe {
		g.core.PostEvent(decide.Event{Kind: decide.PeerReport, Member: member, Result: decide.TimedOut})
	}
}

// SetQuotas implements fleet.Gateway.
func (g *fleetAdapter) SetQuotas(quotas [quota.BudgetCount]float64, done func([quota.BudgetCount]float64)) {
	g.core.PostEvent(decide.Event{Kind: decide.BudgetShares, BudgetShares: quotas})
	g.core.Post(func() { done(g.router.BudgetDemand()) })
}

// CollectCounts implements fleet.Gateway.
func (g *fleetAdapter) CollectCounts(done func(subscribe.Counts, []subscribe.MemberReport, []subscribe.ZoneAttempts)) {
	g.core.Post(func() {
		all := g.router.Members()
		var reports []subscribe.MemberReport
		for range min(len(all), subscribe.MaxMembersPerReport) {
			g.lastReported = (g.lastReported + 1) % len(all)
			member := &all[g.lastReported]
			reports = append(reports, subscribe.MemberReport{Member: member.Member, Group: member.Group, Zone: member.Zone, Primary: member.Role == decide.Primary,
				Position: member.Position.Milliseconds(), Out: member.Unavailable})
		}
		var attempts []subscribe.ZoneAttempts
		for _, z := range slices.Sorted(maps.Keys(g.attempts)) {
			attempts = append(attempts, g.attempts[z])
		}
		done(*g.counters, reports, attempts)
	})
}

// SetDrainingMembers implements fleet.Gateway.
func (g *fleetAdapter) SetDrainingMembers(members []string) {
	if g.overlay != nil {
		g.overlay.SetDrains(members)
	}
}

// SetZonesAway implements fleet.Gateway.
func (g *fleetAdapter) SetZonesAway(away map[string]float64) {
	if g.overlay != nil {
		g.overlay.SetZones(away)
	}
}

// maxProbesPerSecond limits the probes per second of members in zones that load is moved away from.
const maxProbesPerSecond = 3

// ProbeZonesAway implements fleet.Gateway. It probes whether some members of zones that load is moved away from accept
// connections, other ones each time. That is weak evidence, but enough for returning a first small fraction of the
// load.
func (g *fleetAdapter) ProbeZonesAway() {
	if g.overlay == nil {
		return
	}
	all := g.overlay.DivertedMembers()
	for range min(maxProbesPerSecond, len(all)) {
		g.probeCount++
		m := all[g.probeCount%len(all)]
		if g.admin.isSuspended(m.ID) {
			continue
		}
		go func() {
			c, err := net.DialTimeout("tcp", m.Addr, defaultConnectTimeout)
			r := decide.Served
			if err != nil {
				r = decide.Unreachable
			} else {
				_ = c.Close()
			}
			g.core.Post(func() { g.countAttempt(m.Zone, r) })
		}()
	}
}

// countAttempt counts an attempt at a member of a zone. It runs on the core's goroutine.
func (g *fleetAdapter) countAttempt(zone string, r decide.Result) {
	t, ok := g.attempts[zone]
	if !ok && len(g.attempts) >= agreed.MaxZones {
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
	g.attempts[zone] = t
}

// SetConnectionFraction implements fleet.Gateway.
func (g *fleetAdapter) SetConnectionFraction(fraction float64) {
	toggle := g.listener.Load()
	if toggle == nil {
		return
	}
	g.front.Quiesce(fraction == 0)
	if fraction == 0 || fraction < 1 && float64(g.front.OpenConnections()) >= fraction*float64(g.maxClients) {
		toggle.Disable()
	} else if err := toggle.Enable(); err != nil {
		g.options.Log.Error("the clients' address can't be opened again", "listen", toggle.addr, "err", err)
	}
}

// OpenConnections implements fleet.Gateway.
func (g *fleetAdapter) OpenConnections() int { return g.front.OpenConnections() }

// coreObserver implements core.Observer: it reports what the core observes to the fleet.
type coreObserver struct {
	fleet    *fleet.Fleet
	counters *subscribe.Counts
	adapter  *fleetAdapter
}

// AttemptEnded implements core.Observer.
func (s coreObserver) AttemptEnded(member string, r decide.Result) {
	if s.adapter.overlay != nil {
		if zone := s.adapter.overlay.zoneOf(member); zone != "" {
			s.adapter.countAttempt(zone, r)
		}
	}
}

// RequestEnded implements core.Observer.
func (s coreObserver) RequestEnded(q *core.Request, v core.Verdict, took core.Time) {
	c := &s.counters.Classes[min(q.ClassIndex, agreed.MaxClasses-1)]
	c.Requests++
	if v != core.Served {
		c.Refused++
		return
	}
	if took > q.Class.LatencyTarget {
		c.Late++
	}
	s.counters.Latency[agreed.Bucket(took.Microseconds())]++
}

// MemberChanged implements core.Observer.
func (s coreObserver) MemberChanged(c decide.Change, member string) {
	switch c {
	case decide.Suspected:
		s.fleet.RecordObservation(member, observation.Silent, 0)
	case decide.Recovered:
		s.fleet.RecordObservation(member, observation.Answers, 0)
	case decide.PrimaryFound:
		if s.adapter.overlay != nil {
			s.adapter.overlay.SetPrimary(member)
		}
		s.fleet.RecordObservation(member, observation.Primary, 0)
	}
}

// Answered implements core.Observer.
func (s coreObserver) Answered(member string) { s.fleet.RecordAnswer(member) }

// Probed implements core.Observer.
func (s coreObserver) Probed(member string, answered bool) { s.fleet.RecordProbe(member, answered) }

// DiscoveryAnswered implements core.Observer.
func (s coreObserver) DiscoveryAnswered() { s.fleet.RecordDiscovery() }

// startFleet starts the fleet subsystem of g, which has a number of full-size buffers.
func startFleet(conf *fleet.Config, g *instance, buffers int) (subsystem, error) {
	wall := g.options.WallClock
	if wall == nil {
		wall = time.Now
	}
	fleetConfig := *conf
	fleetConfig.Version = g.options.Version
	counters := new(subscribe.Counts)
	adapter := &fleetAdapter{instance: g, counters: counters, attempts: map[string]subscribe.ZoneAttempts{}}
	f, err := fleet.Start(fleetConfig, fleet.Deps{Log: g.options.Log, Zone: g.config.Decide.Zone, Wall: wall, Gateway: adapter,
		Longest: maxShutdown(g.config.active.Current().MaxDeadline),
		Load:    func() float64 { return float64(g.activeIDs.Len()) / float64(max(1, buffers)) }})
	if err != nil {
		return subsystem{}, err
	}
	g.core.SetObserver(coreObserver{f, counters, adapter})
	g.fleet = f
	return subsystem{
		name: "fleet",
		prepare: func(e *Edge) (func(), error) {
			if e.Fleet == nil {
				return nil, errRestart
			}
			return f.Prepare(*e.Fleet)
		},
		drain: func(context.Context) { f.AnnounceDrain() },
		stop:  f.Close,

		stopEarly: true, // the fleet is told that this gateway is out
	}, nil
}
