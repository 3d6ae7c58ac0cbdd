package logroute

import (
	"math/rand/v2"
	"time"
)

// Limits on connection attempts to collectors.
const (
	minBackoff         = 200 * time.Millisecond // a restarting collector is back in about a second
	maxBackoff         = 30 * time.Second
	backoffJitter      = 0.5 // fraction of the back-off that is random, so that gateways do not reconnect all at once
	connectBudgetRate  = 2.0 // connection attempts per second, for all collectors together
	connectBudgetBurst = 4.0
	probationTime      = 500 * time.Millisecond // a connection that breaks sooner does not count as a recovery
	stableTime         = 5 * time.Second
)

// Phase is the state of the connection to a collector.
type Phase uint8

// The phases.
const (
	Closed     Phase = iota // no connection; the next attempt may have to wait
	Connecting              // a connection attempt is in progress
	Probation               // connected after a failure, for less than probationTime: records queued before the connection wait
	Working                 // connected and usable without restriction
)

// Circuits is a circuit breaker for each collector. It judges a collector's health only by the results of connects
// and writes.
type Circuits struct {
	all      []circuit
	tokens   float64
	tokensAt Time
	now      Time
	rng      *rand.Rand
}

type circuit struct {
	phase        Phase
	since        Time
	retryAt      Time // in phase Closed: no attempt before this time
	failures     int  // consecutive failures
	budgetExempt bool // the next attempt takes no token: the collector never failed, or its connection was closed as planned
	unstable     bool // it failed, and has not been in phase Working for stableTime since
}

// NewCircuits returns circuits for n collectors, none of which has been tried. The seed is that of the back-off's jitter.
func NewCircuits(n int, seed uint64) *Circuits {
	c := &Circuits{tokens: connectBudgetBurst, rng: rand.New(rand.NewPCG(seed, 0x63697263))}
	c.Resize(n)
	return c
}

// Resize sets the number of collectors: it adds untried ones or removes the last ones.
func (c *Circuits) Resize(n int) {
	for len(c.all) < n {
		c.all = append(c.all, circuit{retryAt: -1, budgetExempt: true})
	}
	c.all = c.all[:n]
}

// Reorder puts the collectors in a new order: each entry is the collector's previous index, -1 for a new one.
func (c *Circuits) Reorder(previousIndex []int) {
	old := c.all
	c.all = nil
	for _, f := range previousIndex {
		if f >= 0 {
			c.all = append(c.all, old[f])
		} else {
			c.Resize(len(c.all) + 1)
		}
	}
}

// Reset makes a collector an untried one, for use when its address has changed.
func (c *Circuits) Reset(i int) { c.all[i] = circuit{retryAt: -1, budgetExempt: true} }

func (c *Circuits) step(now Time) {
	c.now = max(now, c.now)
	c.tokens = min(connectBudgetBurst, c.tokens+connectBudgetRate*(c.now-c.tokensAt).Seconds())
	c.tokensAt = c.now
}

// TryConnect asks for permission to connect to a collector. It returns 0 if the attempt may begin now, otherwise the
// time to wait before asking again. After a 0 the caller must report the result by Connected or Failed.
func (c *Circuits) TryConnect(now Time, i int) (wait Time) {
	c.step(now)
	t := &c.all[i]
	if t.phase != Closed {
		return minBackoff
	}
	if t.retryAt > c.now {
		return t.retryAt - c.now
	}
	if !t.budgetExempt {
		if c.tokens < 1 {
			return Time((1-c.tokens)/connectBudgetRate*float64(time.Second)) + time.Millisecond
		}
		c.tokens--
	}
	t.phase, t.since, t.budgetExempt = Connecting, c.now, false
	return 0
}

// Connected reports that a connection attempt succeeded.
func (c *Circuits) Connected(now Time, i int) {
	c.step(now)
	c.all[i].phase, c.all[i].since = Probation, c.now
	if c.all[i].failures == 0 { // no failure since it last worked: first connection, or one after a planned close
		c.all[i].phase = Working
	}
}

// Closed reports that a connection was closed as planned, which does not count as a failure.
func (c *Circuits) Closed(now Time, i int) {
	c.step(now)
	c.all[i].phase, c.all[i].retryAt, c.all[i].budgetExempt = Closed, c.now, true
}

// Failed reports that a connect or a write failed or that the connection broke.
func (c *Circuits) Failed(now Time, i int) {
	c.step(now)
	t := &c.all[i]
	if t.phase == Working && c.now-t.since >= probationTime { // it had recovered, so this is the first of a new series
		t.failures = 0
	}
	t.failures++
	t.unstable = true
	wait := maxBackoff
	if t.failures < 16 {
		wait = min(maxBackoff, minBackoff<<(t.failures-1))
	}
	wait = Time(float64(wait) * (1 - backoffJitter*c.rng.Float64()))
	t.phase, t.since, t.retryAt = Closed, c.now, c.now+wait
}

// Phase returns a collector's phase. It also ends a probation that has lasted for probationTime.
func (c *Circuits) Phase(now Time, i int) Phase {
	c.step(now)
	t := &c.all[i]
	if t.phase == Probation && c.now-t.since >= probationTime {
		t.phase, t.failures = Working, 0
	}
	if t.phase == Working && c.now-t.since >= stableTime {
		t.unstable = false
	}
	return t.phase
}

// Up implements Availability: the collector is connected.
func (c *Circuits) Up(i int) bool { return c.all[i].phase >= Probation }

// Stable implements Availability. A collector that was never tried counts as stable, as it has not failed.
func (c *Circuits) Stable(i int) bool { return !c.all[i].unstable }
