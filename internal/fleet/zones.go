package fleet

import (
	"maps"
	"slices"
	"time"

	"reachwind/internal/fleet/subscribe"
)

// zonePlan is the agreed zone plan as this gateway applies it.
type zonePlan struct {
	number   uint64
	until    time.Duration
	away     map[string]float64
	nextUndo time.Duration
}

// A plan that is not renewed is undone in steps, so that the gateway's own observations take effect again
// gradually.
const (
	undoStep     = 0.25
	undoInterval = 3 * time.Second
)

// applyPlan handles the plan in a voter's message. A plan with a lower number than the present one is
// outdated.
func (f *Fleet) applyPlan(now time.Duration, t *subscribe.Update) {
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
	f.setZonesAway(away)
}

// expirePlan undoes a plan whose term has ended, in steps.
func (f *Fleet) expirePlan(now time.Duration) {
	z := &f.zones
	if len(z.away) == 0 || now < z.until || now < z.nextUndo {
		return
	}
	z.nextUndo = now + undoInterval
	away := map[string]float64{}
	for name, a := range z.away {
		if a -= undoStep; a > 0 {
			away[name] = a
		}
	}
	f.setZonesAway(away)
}

func (f *Fleet) setZonesAway(away map[string]float64) {
	if maps.Equal(away, f.zones.away) {
		return
	}
	f.zones.away = away
	names := slices.Sorted(maps.Keys(away))
	f.log.Info("fleet zones", "plan", f.zones.number, "away", away)
	f.logEvent(Event{Kind: "zones", Reasons: names, For: int64(f.zones.number)})
	if f.deps.Gateway != nil {
		f.deps.Gateway.SetZonesAway(maps.Clone(away))
	}
}
