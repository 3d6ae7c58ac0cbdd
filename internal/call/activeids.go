package call

import (
	"sync"
	"time"
)

// ActiveIDs holds the ids of the requests in progress, of all fronts: members would take two requests with one id for
// copies of one request. It also holds, for a time, ids of requests whose clients have left while a member may run them. It
// is safe for concurrent use; its size is bounded by the number of requests in progress and maxRetained.
type ActiveIDs struct {
	mu       sync.Mutex
	active   map[string]bool
	retained map[string]time.Time // by id, until when it may not be used again
	sweptAt  time.Time            // expired ids were dropped last
}

const (
	maxRetained   = 4096 // ids of requests that have ended; further ones are not retained
	sweepInterval = time.Second
)

// NewActiveIDs returns an empty set.
func NewActiveIDs() *ActiveIDs {
	return &ActiveIDs{active: map[string]bool{}, retained: map[string]time.Time{}}
}

// Len returns the number of ids in progress.
func (c *ActiveIDs) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

// Claim adds an id and reports whether it was free. If not, it changes nothing.
func (c *ActiveIDs) Claim(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until, ok := c.retained[id]; ok && time.Now().Before(until) || c.active[id] {
		return false
	}
	delete(c.retained, id)
	c.active[id] = true
	return true
}

// Release removes an id, unless it is retained.
func (c *ActiveIDs) Release(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.active, id)
}

// Retain keeps an id from being claimed for the given time, also after its release.
func (c *ActiveIDs) Retain(id string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.sweptAt) > sweepInterval || len(c.retained) >= maxRetained {
		c.sweptAt = now
		c.dropExpired(now)
	}
	if len(c.retained) < maxRetained {
		c.retained[id] = now.Add(d)
	}
}

// dropExpired drops the retained ids whose time is over. The lock must be held.
func (c *ActiveIDs) dropExpired(now time.Time) {
	for id, until := range c.retained {
		if now.After(until) {
			delete(c.retained, id)
		}
	}
}
