package decide

import (
	"cmp"
	"time"
)

// DiscoveryPacer decides when a front calls discovery, one service for all fronts. Discovery handles one call at a time
// and refuses a call that has queued for too long, but still does its work: a fleet that calls faster than it is served
// is never served, and one that calls too slowly learns of changes too late. Fronts and Random must be set. It is not
// safe for concurrent use.
type CallPace struct {
	Fronts int            // number of fronts that call the same discovery
	Random func() float64 // uniform in [0, 1)

	first   Time // pause before the first call of this process; 0 = it is over
	refused int  // calls refused in a row
	gap     Time // mean pause after the next refusal
	work    Time // lowest estimate of the time that one call of each front takes altogether; 0 = not known
}

const (
	toldAfter  = 6 * time.Second // a front must learn of a change within this time, once a call has failed
	queueMost  = 2 * time.Second // longest time that discovery queues a call before it refuses it
	pauseSlack = 200 * time.Millisecond

	// The first calls after a restart of the fleet are spread over startSpreadPerFront for each front, at most over
	// maxStartSpread: with a longer spread each call would have more changes to catch up with, and take longer.
	spreadEach = 100 * time.Millisecond
	spreadMost = 5 * time.Second

	// After a refusal the mean pause is firstPause; it doubles with each further one up to maxPause.
	pauseFirst = 500 * time.Millisecond
	pauseMost  = 1050 * time.Millisecond

	// A fleet whose calls take more than maxQueueTime, and at most maxServableWork (queues make that estimate higher),
	// calls at the slowest pace at which two calls in a row, each queued for maxQueueTime, still end within
	// maxUpdateDelay.
	servedMost    = 8 * time.Second
	pacedPause    = 1400 * time.Millisecond
	pacedPauseEnd = toldAfter - 2*queueMost - pauseSlack

	// After this many refusals in a row, half a minute, discovery may be busy with the fleet's own failing calls.
	pacedMost = 8

	// assumedCallWork stands for the time of a call while none has been answered. A fleet that can't be served in time
	// pauses, by its size, for the time of its calls beyond the queue, growing up to maxSizeGrowth times that.
	workEach = 60 * time.Millisecond
	sizeGrow = 2
)

// InitialPause draws the random pause before the first call of a process.
func (p *CallPace) First() Time {
	pause := Time(p.Random() * float64(p.spread()))
	p.first = max(pause, 20*sweepEvery) // an idle front wakes seldom: calls due earlier are made together
	return pause
}

// startSpread is the time over which the first calls of a restarted fleet are spread.
func (p *CallPace) spread() Time { return min(spreadEach*Time(p.Fronts), spreadMost) }

// Answered records that a call which need not wait for a change was answered after the time took. The calls of all
// fronts, one after another, take at most that for each. In a restart of the whole fleet the queue grows evenly over
// the spread: the fraction of it that had passed when this call was made shows how long the queue will get.
func (p *CallPace) Answered(took Time) {
	work := took * Time(p.Fronts)
	if p.first > 0 {
		work = min(work, p.spread()+Time(float64(took)*float64(p.spread())/float64(p.first)))
	}
	if work = max(work, 1); p.work == 0 || work < p.work {
		p.work = work
	}
	p.Watching()
}

// WatchActive records that a watch is open: no call has to be made.
func (p *CallPace) Watching() { p.first, p.refused, p.gap = 0, 0, 0 }

// PauseAfterRefusal draws the random pause after a call that discovery refused. share is the front's share of the calls
// that the fleet may make; 1 is an even share.
func (p *CallPace) Refused(part float64) Time {
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

// backoff draws a pause from half to one and a half of a mean that doubles from first up to most.
func (p *CallPace) backoff(first, most Time) Time {
	mean := cmp.Or(p.gap, first)
	p.gap = min(2*mean, most)
	return Time((0.5 + p.Random()) * float64(mean))
}
