package decide

import (
	"cmp"
	"time"
)

// DiscoveryPacer tells when a front calls discovery, one service for all fronts. Discovery works for one call after another and
// refuses what has queued for too long, though it does that work all the same: a fleet that calls faster than it is served
// is never served, and one that calls too slowly hears of changes too late. Fronts and Random have to be set. It is not
// safe for concurrent use.
type DiscoveryPacer struct {
	Fronts int            // that call the same discovery
	Random func() float64 // uniform in [0, 1)

	first   Time // pause before the first call of this process; 0 = it is over
	refused int  // calls in a row
	gap     Time // mean pause after the next refusal
	work    Time // that the calls of all fronts take, one each, at the least that was seen; 0 = not known
}

const (
	toldAfter  = 6 * time.Second // a change counts as told so long after discovery had it, once a call has failed
	queueMost  = 2 * time.Second // the longest that discovery lets a call wait
	pauseSlack = 200 * time.Millisecond

	// The first calls of a fleet's restart are spread over spreadEach for each front, spreadMost at most: later there
	// would be more changes to catch up with, which make each call longer.
	spreadEach, spreadMost = 100 * time.Millisecond, 5 * time.Second

	// A refused call comes again after pauseFirst in the mean, doubling up to pauseMost.
	pauseFirst, pauseMost = 500 * time.Millisecond, 1050 * time.Millisecond

	// A fleet whose calls take more than queueMost and up to servedMost, at an estimate that queues make higher, calls at
	// the slowest pace that leaves two calls in a row, each of which queues for queueMost, the time to be told.
	servedMost                = 8 * time.Second
	pacedPause, pacedPauseEnd = 1400 * time.Millisecond, toldAfter - 2*queueMost - pauseSlack

	// After so many refusals in a row, half a minute, discovery may be busy with the fleet's own failing calls.
	pacedMost = 8

	// Where no call was answered yet, workEach is taken for one. A fleet that can't be served in time pauses for what its
	// calls take beyond the queue by its size, growing up to sizeGrow times that.
	workEach = 60 * time.Millisecond
	sizeGrow = 2
)

// InitialPause draws the pause before the first call of a process.
func (p *DiscoveryPacer) InitialPause() Time {
	pause := Time(p.Random() * float64(p.spread()))
	p.first = max(pause, 20*sweepEvery) // an idle front looks seldom: what comes sooner comes together
	return pause
}

func (p *DiscoveryPacer) spread() Time { return min(spreadEach*Time(p.Fronts), spreadMost) }

// Answered takes that a call that need not wait was answered after so long. All calls of the fleet, one after another,
// take no more than as many times as long. In a restart of the whole fleet the queue grows evenly over the spread, and
// how far that had come when this call was made tells what it will grow to.
func (p *DiscoveryPacer) Answered(took Time) {
	work := took * Time(p.Fronts)
	if p.first > 0 {
		work = min(work, p.spread()+Time(float64(took)*float64(p.spread())/float64(p.first)))
	}
	if work = max(work, 1); p.work == 0 || work < p.work {
		p.work = work
	}
	p.WatchActive()
}

// WatchActive takes that a watch is on: no call has to be made.
func (p *DiscoveryPacer) WatchActive() { p.first, p.refused, p.gap = 0, 0, 0 }

// PauseAfterRefusal draws the pause after a call that queued for too long. part is the front's part of what the fleet may call, in
// parts of an even share.
func (p *DiscoveryPacer) PauseAfterRefusal(part float64) Time {
	bySize := Time(float64(workEach*Time(p.Fronts)) / part)
	work, most := bySize, toldAfter
	if p.work > 0 {
		work, most = p.work, servedMost
	}
	p.first = 0
	p.refused++
	switch {
	case work > most || p.refused > pacedMost:
		return p.backoff(max(pauseFirst, bySize-queueMost), max(pauseMost, sizeGrow*(bySize-queueMost)))
	case work > queueMost:
		return pacedPause + Time(p.Random()*float64(pacedPauseEnd-pacedPause))
	}
	return p.backoff(pauseFirst, pauseMost)
}

// backoff draws a pause around a mean that doubles from first up to most.
func (p *DiscoveryPacer) backoff(first, most Time) Time {
	mean := cmp.Or(p.gap, first)
	p.gap = min(2*mean, most)
	return Time((0.5 + p.Random()) * float64(mean))
}
