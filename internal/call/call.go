// Package call defines the requests that clients make of members, and their
// answers, independent of a protocol. Fronts create them and the connections to
// members carry them out. Statements of PostgreSQL clients are passed to
// PostgreSQL members unchanged instead.
package call

import "time"

// Op is the operation of a request.
type Op uint8

// The operations.
const (
	Read  Op = iota // reads the value of one item
	Write           // writes the value of one item, under an idempotency key
	List            // returns a page of items in the order of their ids
)

// Request is one call. Its strings and bytes must not be changed once it is created.
type Request struct {
	Op      Op
	ID      string // id of the request, by which members recognize it
	Class   string
	Tenant  string
	Cluster int64
	Item    string
	Value   []byte // Write
	Key     string // idempotency key, empty = none
	Prefix  string // List: prefix that the ids must have
	After   string // List: only ids after this one, empty = from the first
	Limit   int    // List: most items to return, 1 to LimitMost
	Retry   bool
	Done    func() // called by Release, if set
}

// Release implements core.Payload.
func (r *Request) Release() {
	if r.Done != nil {
		r.Done()
	}
}

// Answer is a member's answer for a front of another protocol. Its bytes are valid until it is released.
type Answer interface {
	// Value returns the value in the answer.
	Value() ([]byte, error)
	// Release frees the answer's buffers.
	Release()
}

// MaxWait is the longest that any client is assumed to wait. The deadline of its class bounds each request too; a
// longer one is cut to this.
const MaxWait = time.Minute

// MaxPageItems is the most items in a page.
const MaxPageItems = 500

// Item is one item of a page.
type Item struct {
	ID    string `json:"id"`
	Value []byte `json:"value"` // base64 in JSON
}

// Page is a member's answer to a List, encoded as JSON. A member ends a page early rather than exceed the size that a
// value may have.
type Page struct {
	Items []Item `json:"items"`
	More  bool   `json:"more"` // there are items after the last one
}
