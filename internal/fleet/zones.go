package fleet

import (
	"maps"
	"slices"
	"time"

	"reachwind/internal/fleet/subscribe"
)

// zones is the agreed plan as this gateway holds it.
type zones struct {
	number uint64
	until  time.Duration
	away   map[string]float64
	stepAt time.Duration
}

// A plan that is not renewed is left by steps: what a gateway sees itself then counts again, not all at a stroke.
const (
	zoneStep  = 0.25
	zoneEvery = 3 * time.Second
)

// zonesTold takes the plan that a voter tells. One with a lower number than the one that is held is of the past.
func (f *Fleet) zonesTold(now time.Duration, t *subscribe.Update) {
	z := &f.zones
	if t.Plan == 0 || t.Plan < z.number || len(t.Zones) > 64 {
		return
	}
	z.until = now + time.Duration(t.PlanLeftMs)*time.Millisecond
	z.number = t.Plan
	away := map[string]float64{}
	for _, a := range t.Zones {
		away[a.Zone] = max(0, min(1, a.Away))
	}
	f.zonesAct(away)
}

// zonesEnd leaves a plan whose term has ended, by steps.
func (f *Fleet) zonesEnd(now time.Duration) {
	z := &f.zones
	if len(z.away) == 0 || now < z.until || now < z.stepAt {
		return
	}
	z.stepAt = now + zoneEvery
	away := map[string]float64{}
	for name, a := range z.away {
		if a -= zoneStep; a > 0 {
			away[name] = a
		}
	}
	f.zonesAct(away)
}

func (f *Fleet) zonesAct(away map[string]float64) {
	if maps.Equal(away, f.zones.away) {
		return
	}
	f.zones.away = away
	names := slices.Sorted(maps.Keys(away))
	f.log.Info("fleet zones", "plan", f.zones.number, "away", away)
	f.event(Event{Kind: "zones", Reasons: names, For: int64(f.zones.number)})
	if f.deps.Gateway != nil {
		f.deps.Gateway.SetZonesAway(maps.Clone(away))
	}
}
