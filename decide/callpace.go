package decide

import (
	"cmp"
	"time"
)

// DiscoveryPacer decides when a front calls discovery, one service for all fronts. Discovery handles one call at a time
// and refuses a call that has queued for too long, but still does its work: a fleet that calls faster than it is served
// is never served, and one that calls too slowly learns of changes too late. Fronts and Random must be set. It is not
// safe for concurrent use.
type DiscoveryPacer struct {
	Fronts int            // number of fronts that call the same discovery
	Random func() float64 // uniform in [0, 1)

	initialPause Time // pause before the first call of this process; 0 = it is over
	refusals     int  // calls refused in a row
	meanPause    Time // mean pause after the next refusal
	fleetWork    Time // lowest estimate of the time that one call of each front takes altogether; 0 = not known
}

const (
	maxUpdateDelay = 6 * time.Second // a front must learn of a change within this time, once a call has failed
	maxQueueTime   = 2 * time.Second // longest time that discovery queues a call before it refuses it
	pauseSlack     = 200 * time.Millisecond

	// The first calls after a restart of the fleet are spread over startSpreadPerFront for each front, at most over
	// maxStartSpread: with a longer spread each call would have more changes to catch up with, and take longer.
	startSpreadPerFront = 100 * time.Millisecond
	maxStartSpread      = 5 * time.Second

	// After a refusal the mean pause is firstPause; it doubles with each further one up to maxPause.
	firstPause = 500 * time.Millisecond
	maxPause   = 1050 * time.Millisecond

	// A fleet whose calls take more than maxQueueTime, and at most maxServableWork (queues make that estimate higher),
	// calls at the slowest pace at which two calls in a row, each queued for maxQueueTime, still end within
	// maxUpdateDelay.
	maxServableWork = 8 * time.Second
	minPacedPause   = 1400 * time.Millisecond
	maxPacedPause   = maxUpdateDelay - 2*maxQueueTime - pauseSlack

	// After this many refusals in a row, half a minute, discovery may be busy with the fleet's own failing calls.
	maxPacedRefusals = 8

	// assumedCallWork stands for the time of a call while none has been answered. A fleet that can't be served in time
	// pauses, by its size, for the time of its calls beyond the queue, growing up to maxSizeGrowth times that.
	assumedCallWork = 60 * time.Millisecond
	maxSizeGrowth   = 2
)

// InitialPause draws the random pause before the first call of a process.
func (p *DiscoveryPacer) InitialPause() Time {
	pause := Time(p.Random() * float64(p.startSpread()))
	p.initialPause = max(pause, 20*sweepInterval) // an idle front wakes seldom: calls due earlier are made together
	return pause
}

// startSpread is the time over which the first calls of a restarted fleet are spread.
func (p *DiscoveryPacer) startSpread() Time {
	return min(startSpreadPerFront*Time(p.Fronts), maxStartSpread)
}

// Answered records that a call which need not wait for a change was answered after the time took. The calls of all
// fronts, one after another, take at most that for each. In a restart of the whole fleet the queue grows evenly over
// the spread: the fraction of it that had passed when this call was made shows how long the queue will get.
func (p *DiscoveryPacer) Answered(took Time) {
	work := took * Time(p.Fronts)
	if p.initialPause > 0 {
		work = min(work, p.startSpread()+Time(float64(took)*float64(p.startSpread())/float64(p.initialPause)))
	}
	if work = max(work, 1); p.fleetWork == 0 || work < p.fleetWork {
		p.fleetWork = work
	}
	p.WatchActive()
}

// WatchActive records that a watch is open: no call has to be made.
func (p *DiscoveryPacer) WatchActive() { p.initialPause, p.refusals, p.meanPause = 0, 0, 0 }

// PauseAfterRefusal draws the random pause after a call that discovery refused. share is the front's share of the calls
// that the fleet may make; 1 is an even share.
func (p *DiscoveryPacer) PauseAfterRefusal(share float64) Time {
	bySize := Time(float64(assumedCallWork*Time(p.Fronts)) / share)
	work, most := bySize, maxUpdateDelay
	if p.fleetWork > 0 {
		work, most = p.fleetWork, maxServableWork
	}
	p.initialPause = 0
	p.refusals++
	switch {
	case work > most || p.refusals > maxPacedRefusals:
		return p.backoff(max(firstPause, bySize-maxQueueTime), max(maxPause, maxSizeGrowth*(bySize-maxQueueTime)))
	case work > maxQueueTime:
		return minPacedPause + Time(p.Random()*float64(maxPacedPause-minPacedPause))
	}
	return p.backoff(firstPause, maxPause)
}

// backoff draws a pause from half to one and a half of a mean that doubles from first up to most.
func (p *DiscoveryPacer) backoff(first, most Time) Time {
	mean := cmp.Or(p.meanPause, first)
	p.meanPause = min(2*mean, most)
	return Time((0.5 + p.Random()) * float64(mean))
}
