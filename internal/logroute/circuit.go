package logroute

import (
	"math/rand/v2"
	"time"
)

// Tuned values, each with its reason.
const (
	backoffFirst = 200 * time.Millisecond // a collector that restarts is back in a second or so
	backoffMost  = 30 * time.Second
	jitter       = 0.5 // of the back-off, so that gateways do not come back as one
	budgetRate   = 2.0 // connections tried a second, by all collectors together
	budgetBurst  = 4.0
	trialTime    = 500 * time.Millisecond // a connection that breaks sooner was no recovery
	steadyTime   = 5 * time.Second
)

// Phase is where a collector stands.
type Phase uint8

// The phases.
const (
	Closed     Phase = iota // no connection, none tried before At
	Connecting              // one connection is being made
	Probation               // connected, but not for long: what was queued before waits
	Working                 // connected
)

// Circuits keeps the health of all collectors, from connects and writes alone.
type Circuits struct {
	all    []circuit
	tokens float64
	at     Time
	now    Time
	rng    *rand.Rand
}

type circuit struct {
	phase  Phase
	since  Time
	retry  Time // Closed: not before
	fails  int  // in a row
	exempt bool // tries outside the budget: it never failed
	shaky  bool // it failed, and has not worked for steadyTime since
}

// NewCircuits returns the health of n collectors that were never tried.
func NewCircuits(n int, seed uint64) *Circuits {
	c := &Circuits{tokens: budgetBurst, rng: rand.New(rand.NewPCG(seed, 0x63697263))}
	c.Resize(n)
	return c
}

// Resize adds collectors that were never tried, or forgets the last.
func (c *Circuits) Resize(n int) {
	for len(c.all) < n {
		c.all = append(c.all, circuit{retry: -1, exempt: true})
	}
	c.all = c.all[:n]
}

// Reorder puts the collectors in a new order: each entry is the place it had before, -1 for a new one.
func (c *Circuits) Reorder(from []int) {
	old := c.all
	c.all = nil
	for _, f := range from {
		if f >= 0 {
			c.all = append(c.all, old[f])
		} else {
			c.Resize(len(c.all) + 1)
		}
	}
}

// Reset forgets what was known of a collector, as its address has changed.
func (c *Circuits) Reset(i int) { c.all[i] = circuit{retry: -1, exempt: true} }

func (c *Circuits) step(now Time) {
	c.now = max(now, c.now)
	c.tokens = min(budgetBurst, c.tokens+budgetRate*(c.now-c.at).Seconds())
	c.at = c.now
}

// TryConnect asks to connect to a collector. It returns 0 if that may begin now, else when to ask again. One that may
// owes Connected or Failed.
func (c *Circuits) TryConnect(now Time, i int) (wait Time) {
	c.step(now)
	t := &c.all[i]
	if t.phase != Closed {
		return backoffFirst
	}
	if t.retry > c.now {
		return t.retry - c.now
	}
	if !t.exempt {
		if c.tokens < 1 {
			return Time((1-c.tokens)/budgetRate*float64(time.Second)) + time.Millisecond
		}
		c.tokens--
	}
	t.phase, t.since, t.exempt = Connecting, c.now, false
	return 0
}

// Connected tells that a connection is up.
func (c *Circuits) Connected(now Time, i int) {
	c.step(now)
	c.all[i].phase, c.all[i].since = Probation, c.now
	if c.all[i].fails == 0 { // the first, or one after a planned close
		c.all[i].phase = Working
	}
}

// Closed tells that a connection ended as it should, and says nothing against the collector.
func (c *Circuits) Closed(now Time, i int) {
	c.step(now)
	c.all[i].phase, c.all[i].retry, c.all[i].exempt = Closed, c.now, true
}

// Failed tells that a connect or a write failed, or the connection broke.
func (c *Circuits) Failed(now Time, i int) {
	c.step(now)
	t := &c.all[i]
	if t.phase == Working && c.now-t.since >= trialTime { // it worked: this is a first failure
		t.fails = 0
	}
	t.fails++
	t.shaky = true
	wait := backoffMost
	if t.fails < 16 {
		wait = min(backoffMost, backoffFirst<<(t.fails-1))
	}
	wait = Time(float64(wait) * (1 - jitter*c.rng.Float64()))
	t.phase, t.since, t.retry = Closed, c.now, c.now+wait
}

// Phase tells where a collector stands. A trial that lasted ends here.
func (c *Circuits) Phase(now Time, i int) Phase {
	c.step(now)
	t := &c.all[i]
	if t.phase == Probation && c.now-t.since >= trialTime {
		t.phase, t.fails = Working, 0
	}
	if t.phase == Working && c.now-t.since >= steadyTime {
		t.shaky = false
	}
	return t.phase
}

// Up implements Upness.
func (c *Circuits) Up(i int) bool { return c.all[i].phase >= Probation }

// Stable implements Upness. One that was never tried counts, as nothing speaks against it.
func (c *Circuits) Stable(i int) bool { return !c.all[i].shaky }
