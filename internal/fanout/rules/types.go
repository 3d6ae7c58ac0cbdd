// Package rules decides how regions' subscriber lists merge and which subscribers get
// deliveries: withdrawals, home regions of devices, limits, blocks, leases, and when
// removals may be forgotten. It does no I/O, starts no goroutine and reads no clock; the
// single caller passes its region's own time. docs/design/fanout.md states the guarantees.
package rules

import (
	"cmp"
	"fmt"
	"maps"
	"time"
)

// Time is a point on the region's own clock, which never steps and runs on while the
// process is stopped, or a duration on it.
type Time = time.Duration

// Region is the name of a region.
type Region string

// Replica is a region in one life: a start of its process, whose number is never used
// twice, not even after a folder was lost or restored. Lives should increase: where one
// does not, only others' reports about the region are taken as outdated.
type Replica struct {
	Region Region
	Life   uint64
}

// Dot numbers one removal (a withdrawal, block, lift or end) of a replica, from 1 on.
type Dot struct {
	By   Replica
	N    uint64
	Anew uint8 // how often it was renumbered, since the previous number was lost with its life
}

func (a Dot) compare(b Dot) int {
	return cmp.Or(cmp.Compare(a.Anew, b.Anew), compareReplicas(a.By, b.By), cmp.Compare(a.N, b.N))
}

// Mark is a replica's last withdrawal of a key, or block of a target.
type Mark struct {
	N uint64
	// Past is the removal after which the mark may be forgotten, once all regions have
	// seen it: the lift of a block (zero: the block holds), or the new number of a
	// renumbered withdrawal (zero: its own N has to be seen).
	Past Dot
}

// Marks holds the marks of each replica.
type Marks map[Replica]Mark

// covers reports whether the numbers of m reach those of o.
func (m Marks) covers(o Marks) bool {
	for r, k := range o {
		if m[r].N < k.N {
			return false
		}
	}
	return true
}

// join merges o into m: the greater number of each replica, for equal numbers the later Past.
func (m Marks) join(o Marks) {
	for r, b := range o {
		if a := m[r]; cmp.Or(cmp.Compare(a.N, b.N), a.Past.compare(b.Past)) < 0 {
			m[r] = b
		}
	}
}

// Vector holds for each replica the number up to which its removals are included.
type Vector map[Replica]uint64

// Covers reports whether v reaches each number of o.
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

// Key names an entry: one device of a tenant on one topic.
type Key struct{ Topic, Tenant, Device string }

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Device, b.Device))
}

// Rank is the priority within limits: lower first. A subscription made where another was
// already known has the higher rank.
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

// Entry is the state of a key. Without a grant it is a retained removal.
type Entry struct {
	Gone    Marks // withdrawals, all seen by the grant if there is one; none at or below the floor
	Granted bool
	Rank    Rank // of the grant
}

func (e Entry) clone() Entry { e.Gone = maps.Clone(e.Gone); return e }

// Presence is where a device was last heard, with the device's own epoch (a start of the
// device) and its count within it.
type Presence struct {
	Epoch, Count uint64
	Home         Region
	Span         Time // length of the lease, from when Home heard the device, on Home's clock
	End          Dot  // the removal that ended the lease; zero: not ended
}

// Compare orders presences of a device: the greater one is in force. For equal epoch and
// count that is the one whose region name sorts first.
func (p Presence) Compare(o Presence) int {
	return cmp.Or(cmp.Compare(p.Epoch, o.Epoch), cmp.Compare(p.Count, o.Count), cmp.Compare(o.Home, p.Home),
		p.End.compare(o.End), cmp.Compare(p.Span, o.Span))
}

// Kind is what a limit or block is about.
type Kind string

// The kinds. A block applies to a topic, tenant or device; a limit to a topic, tenant or
// region (the device's home).
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

// Reason is why a subscriber gets no deliveries here.
type Reason string

// The reasons.
const (
	Delivered Reason = ""          // deliveries are made here
	Unknown   Reason = "unknown"   // no grant that has seen all withdrawals
	Ended     Reason = "ended"     // the lease has ended
	Blocked   Reason = "blocked"   // by an operator, Status.Target names what
	Waiting   Reason = "waiting"   // for capacity within the limit Status.Target
	Elsewhere Reason = "elsewhere" // Status.Target names the region that delivers
	Expired   Reason = "lapsed"    // the lease is over by this region's clock, but its end is not yet recorded
)

// Status is a reason with its target.
type Status struct {
	Reason Reason
	Target Target
}

// Config is the configuration of a region.
type Config struct {
	Region          Region
	Regions         []Region // all, this one among them; the same everywhere
	Limits          map[Target]int
	CutOffAfter     Time // a region not heard from for this long is cut off
	HealGrace       Time // time after a cut ends before expired leases are ended
	ExcludeAfter    Time // a region not heard from for this long may be excluded
	MaxRequestDelay Time // longest delay of a copy of a device's request; its last presence is remembered this long
}

// Guards disables single rules, for tests that must then detect the fault.
type Guards struct {
	Withdraw, Home, Order, Limit, Block, Lease, Grace, Keep, Old, Majority bool
}

// StaleError reports a request older than the region's knowledge of the device.
type StaleError struct {
	Device       string
	Epoch, Count uint64
	Known        Presence
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("device %s sent epoch %d count %d, already known is epoch %d count %d in %s: a late copy of an older request; the device retries with its next count",
		e.Device, e.Epoch, e.Count, e.Known.Epoch, e.Known.Count, e.Known.Home)
}

// OldError reports a message whose sender has not seen what all regions acknowledged.
type OldError struct {
	From     Replica
	Of       Replica
	Has, Min uint64
}

func (e *OldError) Error() string {
	return fmt.Sprintf("region %s life %d has seen removals of %s life %d up to %d, all had acknowledged %d: an old or empty copy, or it was excluded; it rejoins by itself at its next exchange in the other direction",
		e.From.Region, e.From.Life, e.Of.Region, e.Of.Life, e.Has, e.Min)
}

// DivergedError reports a message between two regions each of which has forgotten
// removals that the other never saw: each was excluded by the other, which is possible
// only if a third lost its folder meanwhile. Neither list can be repaired automatically.
type DivergedError struct{ From Replica }

func (e *DivergedError) Error() string {
	return fmt.Sprintf("region %s life %d and this one have each forgotten removals that the other never saw, wanted one of them to cover the other: an operator empties the folder of the one whose subscribers are to be asked again",
		e.From.Region, e.From.Life)
}
