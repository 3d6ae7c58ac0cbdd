// Package call is what any client may ask and any member may answer, in no
// protocol's words. Fronts make calls, members' sides carry them out; PostgreSQL's
// own statements pass between its two sides as they are.
package call

import (
	"sync"
	"time"
)

// Op is what is asked.
type Op uint8

// The operations.
const (
	Read  Op = iota // one value
	Write           // one value, under a key
	List            // a page of items in the order of their ids
)

// Request is a call. Its strings and bytes are not changed once it is made.
type Request struct {
	Op      Op
	ID      string // of the request, which members know it by
	Class   string
	Tenant  string
	Cluster int64
	Item    string
	Value   []byte // Write
	Key     string // idempotency key, empty = none
	Prefix  string // List: of the ids
	After   string // List: the ids after this one, empty = from the first
	Limit   int    // List: items at most, 1 to LimitMost
	Retry   bool
	Done    func() // called on Release, if set
}

// Release implements core.Payload.
func (r *Request) Release() {
	if r.Done != nil {
		r.Done()
	}
}

// Answer is what a member answered, as a front of another protocol reads it. Its bytes hold until it is released.
type Answer interface {
	// Value is the value that the member gave.
	Value() ([]byte, error)
	Release()
}

// ActiveIDs are the ids of the requests in work, of all fronts: under one id two requests would look to members like
// copies of one. It is safe for concurrent use; its size is bounded by the requests in work.
type ActiveIDs struct {
	mu   sync.Mutex
	open map[string]bool
}

// NewActiveIDs returns claims of nothing.
func NewActiveIDs() *ActiveIDs { return &ActiveIDs{open: map[string]bool{}} }

// Len is how many ids are in work.
func (c *ActiveIDs) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Claim notes that an id is in work, and tells whether it was free.
func (c *ActiveIDs) Claim(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[id] {
		return false
	}
	c.open[id] = true
	return true
}

// Release frees an id.
func (c *ActiveIDs) Release(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, id)
}

// MaxWait is the longest that any client is taken to wait. No page says so: a class's deadline, from the settings, bounds each request
// anyway, and one above a minute is cut to it here.
const MaxWait = time.Minute

// MaxPageItems is the most items of a page.
const MaxPageItems = 500

// Item is one item of a page.
type Item struct {
	ID    string `json:"id"`
	Value []byte `json:"value"` // base64 in JSON
}

// Page is what a member answers a List with, as JSON. A member ends a page early rather than answer more than a
// value may hold.
type Page struct {
	Items []Item `json:"items"`
	More  bool   `json:"more"` // there are items behind the last
}
