// Package rules decides how regions' knowledge of subscribers merges and who is
// delivered to: withdrawals, homes of devices, limits, blocks, leases, and when what
// was removed may be forgotten. It is pure: no I/O, goroutine or clock; one owner calls
// it with its region's own time. docs/design/fanout.md has the claims.
package rules

import (
	"cmp"
	"fmt"
	"maps"
	"time"
)

// Time is a point on the region's own clock, which never steps and runs on while the
// process is stopped, or a span on it.
type Time = time.Duration

// Region names one.
type Region string

// Replica is a region in one life: a start of its process, never used twice, also
// after a folder was lost or put back. Lives should grow: where one does not, only what
// others tell of the region passes for old.
type Replica struct {
	Region Region
	Life   uint64
}

// Dot numbers one removal (a withdrawal, block, lift or end) of a replica, from 1 on.
type Dot struct {
	By   Replica
	N    uint64
	Anew uint8 // how often it was told anew, since the number before was lost with its life
}

func (a Dot) compare(b Dot) int {
	return cmp.Or(cmp.Compare(a.Anew, b.Anew), compareReplicas(a.By, b.By), cmp.Compare(a.N, b.N))
}

// Mark is a replica's last withdrawal of a key, or block of a target.
type Mark struct {
	N uint64
	// Past is over when all have seen it: the lift of a block (zero: it holds), or the
	// number by which a withdrawal was told anew (zero: its own N is waited for).
	Past Dot
}

// Marks holds the marks of each replica.
type Marks map[Replica]Mark

// covers tells whether the numbers of m reach those of o.
func (m Marks) covers(o Marks) bool {
	for r, k := range o {
		if m[r].N < k.N {
			return false
		}
	}
	return true
}

// join merges o into m: of each replica the greater number, of one number the later fate.
func (m Marks) join(o Marks) {
	for r, b := range o {
		if a := m[r]; cmp.Or(cmp.Compare(a.N, b.N), a.Past.compare(b.Past)) < 0 {
			m[r] = b
		}
	}
}

// Vector holds for each replica the number up to which its removals are meant.
type Vector map[Replica]uint64

// Covers tells whether v reaches each number of o.
func (v Vector) Covers(o Vector) bool {
	for r, n := range o {
		if v[r] < n {
			return false
		}
	}
	return true
}

// join raises v to o.
func (v Vector) join(o Vector) {
	for r, n := range o {
		v[r] = max(v[r], n)
	}
}

// Key names an entry: one device of a customer on one topic.
type Key struct{ Topic, Tenant, Device string }

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Device, b.Device))
}

// Rank orders who goes first: lower first. A subscription made where another was known
// has the higher one.
type Rank struct {
	Turn uint64
	By   Replica
}

func (a Rank) compare(b Rank) int {
	return cmp.Or(cmp.Compare(a.Turn, b.Turn), compareReplicas(a.By, b.By))
}

func compareReplicas(a, b Replica) int {
	return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Life, b.Life))
}

// Entry is what is known of a key. Without a grant it is a removal that is kept.
type Entry struct {
	Gone    Marks // withdrawals, of which a grant has seen all; nothing at or under the floor
	Granted bool
	Rank    Rank // of the grant
}

func (e Entry) clone() Entry { e.Gone = maps.Clone(e.Gone); return e }

// Presence tells where a device was last heard, by its own epoch (a start of the
// device) and count within it.
type Presence struct {
	Epoch, Count uint64
	Home         Region
	Span         Time // of the lease, from when Home heard it, on Home's clock
	End          Dot  // the lease has ended; zero: not
}

// Compare orders presences of a device: the greater is the one that holds. Of the same
// epoch and count the region whose name sorts first holds.
func (p Presence) Compare(o Presence) int {
	return cmp.Or(cmp.Compare(p.Epoch, o.Epoch), cmp.Compare(p.Count, o.Count), cmp.Compare(o.Home, p.Home),
		p.End.compare(o.End), cmp.Compare(p.Span, o.Span))
}

// Kind is what a limit or block is about.
type Kind string

// The kinds. A block may be about a topic, customer or device; a limit about a topic,
// customer or region (that of the device's home).
const (
	Topic    Kind = "topic"
	Tenant   Kind = "customer"
	Device   Kind = "device"
	InRegion Kind = "region"
)

// Target is what a limit or block is about.
type Target struct {
	Kind Kind
	Name string
}

// Reason tells why a subscriber is not delivered to.
type Reason string

// The reasons.
const (
	Delivered Reason = ""          // it is delivered to here
	Unknown   Reason = "unknown"   // no grant that saw all withdrawals
	Ended     Reason = "ended"     // the lease has ended
	Blocked   Reason = "blocked"   // by an operator, Why.At names what
	Waiting   Reason = "waiting"   // for a place within the limit Why.At
	Elsewhere Reason = "elsewhere" // Why.At names the region that delivers
	Expired   Reason = "lapsed"    // the lease is over by this region's clock, the end is not said yet
)

// Status is a reason with what it is about.
type Status struct {
	Reason Reason
	Target Target
}

// Config of a region.
type Config struct {
	Region          Region
	Regions         []Region // all, this one among them; the same everywhere
	Limits          map[Target]int
	CutOffAfter     Time // a region not heard of for so long is cut off
	HealGrace       Time // after a heal, before leases that ran out are ended
	ExcludeAfter    Time // a region not heard of for so long may be counted out
	MaxRequestDelay Time // a copy of a device's request comes at most so late; what it last sent is remembered so long
}

// Guards switches single rules off, for checks that must then miss them.
type Guards struct {
	Withdraw, Home, Order, Limit, Block, Lease, Grace, Keep, Old, Majority bool
}

// StaleError refuses a request that is older than what the region knows of the device.
type StaleError struct {
	Device       string
	Epoch, Count uint64
	Known        Presence
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("device %s sent epoch %d count %d, known is epoch %d count %d in %s: a late copy of an older request; the device asks again with its next count",
		e.Device, e.Epoch, e.Count, e.Known.Epoch, e.Known.Count, e.Known.Home)
}

// OldError refuses a message whose sender has not seen what all acknowledged.
type OldError struct {
	From     Replica
	Of       Replica
	Has, Min uint64
}

func (e *OldError) Error() string {
	return fmt.Sprintf("region %s life %d has seen removals of %s life %d up to %d, all had acknowledged %d: an old or empty copy, or it was counted out; it joins anew by itself at its next exchange the other way",
		e.From.Region, e.From.Life, e.Of.Region, e.Of.Life, e.Has, e.Min)
}

// DivergedError refuses a message between two regions each of which has forgotten
// removals that the other never saw: each was counted out by the other, which takes a
// third that lost its folder meanwhile. Neither list can be mended by rule.
type DivergedError struct{ From Replica }

func (e *DivergedError) Error() string {
	return fmt.Sprintf("region %s life %d and this one have each forgotten removals that the other never saw, wanted one of them to cover the other: an operator empties the folder of the one whose subscribers are to be asked again",
		e.From.Region, e.From.Life)
}
