// Package throttle limits the work that clients cause at a gateway without any work of a member: commands that are answered
// at once, and invalid or refused ones. A client that causes little of it is never delayed. One that
// causes much waits for its share of what all such clients may cause together, so that the others are served in time.
//
// The package does no I/O and reads no clock.
package throttle

import (
	"sync"
	"time"
)

// Time is a point on a clock that never goes back, or a duration.
type Time = time.Duration

// Cost is an amount of work, in units of about a 20,000th of a second of a core.
type Cost int

// The costs of commands without any work of a member, and of their bytes.
const (
	LocalCommand   Cost = 1 // answered by a front itself
	RefusedCommand Cost = 4 // refused by the core
	bytesPerUnit        = 4 << 10
)

// WithBytes returns the cost of a command that has so many bytes.
func (c Cost) WithBytes(n int) Cost { return c + Cost(n/bytesPerUnit) }

const (
	unitsPerCoreSecond = 5000 // of all clients together: a quarter of the gateway's share of a core
	sharedBurst        = 20 * time.Millisecond
	clientBurst        = 64 // units that a client may cause before it has to wait
	minPurchase        = 16 // units that a client gets at a time from what is shared: waiting costs work too
	unitsPerServed     = 2  // that a command which a member served gives back
	maxDelay           = 250 * time.Millisecond
)

// bucket is a token bucket. Its level may be negative.
type bucket struct {
	rate, burst float64 // units per second, and the highest level
	level       float64
	at          Time // of level
}

// refill brings the level up to date.
func (b *bucket) refill(now Time) {
	if now > b.at {
		b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
		b.at = now
	}
}

// delay returns the time until the level is not below 0.
func (b *bucket) delay() Time {
	if b.level >= 0 {
		return 0
	}
	return Time(-b.level / b.rate * float64(time.Second))
}

// Budget is what all clients of a gateway may cause together. It is safe for concurrent use.
type Budget struct {
	clientRate float64 // units per second of a client that are its own

	mu     sync.Mutex
	shared bucket // of clients that have used up what is their own
}

// NewBudget returns the budget of a gateway that has a share of a core and at most so many clients at a time.
func NewBudget(cores float64, clients int) *Budget {
	units := unitsPerCoreSecond * cores
	clients = max(clients, 1)
	b := &Budget{clientRate: units / float64(clients)}
	b.shared = bucket{rate: units, burst: units * sharedBurst.Seconds()}
	return b
}

// Client is the account of one connection. It is not safe for concurrent use.
type Client struct {
	budget *Budget
	own    bucket
	until  Time // the next command has to wait until then
}

// NewClient returns the account of a new connection.
func (b *Budget) NewClient(now Time) Client {
	return Client{budget: b, own: bucket{rate: b.clientRate, burst: clientBurst, level: clientBurst, at: now}}
}

// Charge adds a command that no member worked on.
func (c *Client) Charge(cost Cost, now Time) {
	c.own.refill(now)
	if c.own.level >= float64(cost) {
		c.own.level -= float64(cost)
		return
	}
	units := max(float64(cost), minPurchase)
	c.until = now + c.budget.purchase(units, now)
	c.own.level += units - float64(cost)
}

// purchase takes units from what is shared and returns how long to wait for them.
func (b *Budget) purchase(units float64, now Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shared.refill(now)
	if b.shared.delay() < maxDelay { // else others have used up all that may be promised
		b.shared.level -= units
	}
	return min(b.shared.delay(), maxDelay)
}

// Served records a command that a member served: it makes up for some that no member worked on.
func (c *Client) Served() { c.own.level = min(c.own.burst, c.own.level+unitsPerServed) }

// Delay returns how long the next command has to wait, 0 for not at all.
func (c *Client) Delay(now Time) time.Duration { return max(0, c.until-now) }
