// Package logroute decides where records go: which route takes one, what its
// rate and sampling leave of it, which of its collectors gets it, and when a
// collector that failed is tried again. It does no I/O, starts no goroutine and
// reads no clock: the same seed and calls give the same answers. Nothing in it is
// safe for concurrent use.
package logroute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachwind/internal/record"
)

// Time is a point on the gateway's clock, or a span on it.
type Time = time.Duration

// Mode tells how a route uses its collectors.
type Mode uint8

// The modes.
const (
	All      Mode = iota // each gets every record
	Failover             // the first that is up gets every record
	Spread               // each gets its customers' records, by rendezvous hashing
)

// Modes are the names of the modes.
var Modes = [...]string{All: "all", Failover: "failover", Spread: "spread"}

// Route selects records and names who gets them. What it does not name it does
// not look at: the zero Route selects everything. A record goes to the first
// route that selects it and, where that has Continue, on to the next.
type Route struct {
	Name     string
	Kinds    []record.Kind
	Severity record.Severity // the least severe it takes
	Classes  []int
	Tenants  []int // -1 = none
	Outcomes []record.Outcome
	Members  []string
	Rate     float64 // records a second; 0 = no limit. Up to a second's worth may come at once
	Sample   float64 // part of the requests kept; 0 = all. Other kinds are never sampled
	Mode     Mode
	To       []int // places of collectors, in the order of preference
	Continue bool
}

// Validate reports the first fault of a route among so many collectors.
func (r *Route) Validate(collectors int) error {
	switch {
	case len(r.To) == 0:
		return fmt.Errorf("route %q: no collector, want at least one", r.Name)
	case r.Rate < 0:
		return fmt.Errorf("route %q: rate is %g, want 0 or more", r.Name, r.Rate)
	case r.Sample < 0 || r.Sample > 1:
		return fmt.Errorf("route %q: sample is %g, want a part from 0 to 1", r.Name, r.Sample)
	}
	for i, c := range r.To {
		if c < 0 || c >= collectors {
			return fmt.Errorf("route %q: collector %d of %d", r.Name, c, collectors)
		}
		if slices.Contains(r.To[:i], c) {
			return fmt.Errorf("route %q: names a collector twice", r.Name)
		}
	}
	return nil
}

// selects tells whether the route takes a record. A list of classes, customers or outcomes takes requests only.
func (r *Route) selects(rec *record.Record) bool {
	if rec.Severity > r.Severity && r.Severity != 0 || len(r.Kinds) > 0 && !slices.Contains(r.Kinds, rec.Kind) {
		return false
	}
	if len(r.Members) > 0 && !slices.Contains(r.Members, rec.Member) {
		return false
	}
	if len(r.Classes)+len(r.Tenants)+len(r.Outcomes) == 0 {
		return true
	}
	return rec.Kind == record.Request && (len(r.Classes) == 0 || slices.Contains(r.Classes, rec.Class)) &&
		(len(r.Tenants) == 0 || slices.Contains(r.Tenants, rec.Tenant)) &&
		(len(r.Outcomes) == 0 || slices.Contains(r.Outcomes, rec.Outcome))
}

// Priority orders records by what is dropped first.
type Priority uint8

// The worths. Log lines stand with the requests of like severity.
const (
	Sampled Priority = iota // a served request that stands for others too
	ServedRequest
	RefusedRequest
	FailedRequest
	MemberChange
	GapRecord // never dropped: there is one for each cause at a time
	NumPriorities
)

// PriorityOf is a record's worth where it stands for weight records.
func PriorityOf(r *record.Record, weight uint64) Priority {
	switch r.Kind {
	case record.Member:
		return MemberChange
	case record.Gap:
		return GapRecord
	case record.Program:
		switch {
		case r.Severity <= record.Err:
			return FailedRequest
		case r.Severity <= record.Warning:
			return RefusedRequest
		}
		return ServedRequest
	}
	switch {
	case r.Outcome == record.Failed:
		return FailedRequest
	case r.Outcome == record.Refused:
		return RefusedRequest
	case weight > 1:
		return Sampled
	}
	return ServedRequest
}

// admitted is how full a store of limited room may be for it still to take a record of each worth. Beyond, room
// is kept for the worthier.
var admitted = [NumPriorities]float64{Sampled: 0.5, ServedRequest: 0.7, RefusedRequest: 0.85, FailedRequest: 0.95, MemberChange: 1, GapRecord: 1}

// Admit tells whether a store that can't drop what it holds should take a record, when it is full to that part.
func Admit(w Priority, full float64) bool { return full < admitted[w] }

// Target is one collector that a record goes to.
type Target struct {
	Collector int
	Route     int
	Weight    uint64
	OverRate  bool // beyond the route's rate: to be counted there as dropped
}

// Availability tells which collectors can be given records now.
type Availability interface {
	// Up tells whether a collector takes records, Steady whether it has for a while.
	Up(collector int) bool
	Stable(collector int) bool
}

// Table is the routes of one configuration with their state.
type Table struct {
	routes []Route
	state  []state
	names  []uint64 // of the collectors, hashed
	rng    *rand.Rand
	now    Time
}

type state struct {
	tokens  float64
	at      Time
	skipped uint64 // requests not kept since the last that was
}

// NewTable returns a table for the collectors of those names, or the first fault of the routes.
func NewTable(routes []Route, collectors []string, seed uint64) (*Table, error) {
	t := &Table{routes: routes, state: make([]state, len(routes)), rng: rand.New(rand.NewPCG(seed, 0x6c6f67))}
	for i := range routes {
		if err := routes[i].Validate(len(collectors)); err != nil {
			return nil, err
		}
		t.state[i] = state{tokens: max(1, routes[i].Rate), at: -1}
	}
	for _, c := range collectors {
		t.names = append(t.names, xxhash.Sum64String(c))
	}
	return t, nil
}

// Inherit takes over rates and weights from the table before, for routes of the same name.
func (t *Table) Inherit(old *Table) {
	t.rng = old.rng
	for i := range t.routes {
		for k := range old.routes {
			if t.routes[i].Name == old.routes[k].Name {
				s := old.state[k]
				s.tokens = min(s.tokens, max(1, t.routes[i].Rate))
				t.state[i] = s
			}
		}
	}
}

// Route appends where a record goes. The weights of what a route keeps add up to the requests that it
// selected, but for those since the last that it kept.
func (t *Table) Route(now Time, rec *record.Record, up Availability, out []Target) []Target {
	t.now = max(now, t.now)
	for i := range t.routes {
		r := &t.routes[i]
		if !r.selects(rec) {
			continue
		}
		out = t.take(i, r, rec, up, out)
		if !r.Continue {
			break
		}
	}
	return out
}

func (t *Table) take(i int, r *Route, rec *record.Record, up Availability, out []Target) []Target {
	s := &t.state[i]
	target := Target{Route: i, Weight: 1}
	if rec.Kind == record.Request && r.Sample > 0 && r.Sample < 1 {
		if t.rng.Float64() >= r.Sample {
			s.skipped++
			return out
		}
		target.Weight, s.skipped = s.skipped+1, 0
	}
	target.OverRate = !t.allow(s, r.Rate)
	if r.Mode == All {
		for _, c := range r.To {
			target.Collector = c
			out = append(out, target)
		}
		return out
	}
	target.Collector = t.pick(r, keyOf(rec), up, -1)
	return append(out, target)
}

// allow takes a token from a bucket that holds at most a second's worth.
func (t *Table) allow(s *state, rate float64) bool {
	if rate <= 0 {
		return true
	}
	if s.at >= 0 {
		s.tokens = min(max(1, rate), s.tokens+rate*(t.now-s.at).Seconds())
	}
	s.at = t.now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// keyOf is what a record is spread by: its customer, else its member.
func keyOf(rec *record.Record) uint64 {
	if rec.Tenant >= 0 {
		return uint64(rec.Tenant)
	}
	return xxhash.Sum64String(rec.Member)
}

// Key is keyOf for those who keep a record only as a message.
func Key(rec *record.Record) uint64 { return keyOf(rec) }

// pick chooses among a route's collectors, without the one to be left out. Where none is up it is the one that
// would be chosen if all were.
func (t *Table) pick(r *Route, key uint64, up Availability, without int) int {
	best, bestRank := -1, 0
	var bestScore uint64
	for _, c := range r.To {
		if c == without {
			continue
		}
		rank := 0
		if up.Up(c) {
			rank = 1
		}
		if r.Mode == Failover && up.Stable(c) { // one that has only just come back waits for its turn
			rank = 2
		}
		score := uint64(0)
		if r.Mode == Spread {
			score = mix(key*0x9e3779b97f4a7c15 ^ t.names[c])
		}
		if best < 0 || rank > bestRank || rank == bestRank && score > bestScore {
			best, bestRank, bestScore = c, rank, score
		}
	}
	return best
}

func mix(h uint64) uint64 {
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Reassign names the collector that takes over what a route gave to one that has gone down: one that is up, -1 if
// there is none or the route does not move records.
func (t *Table) Reassign(route int, key uint64, from int, up Availability) int {
	if route < 0 || route >= len(t.routes) || t.routes[route].Mode == All {
		return -1
	}
	to := t.pick(&t.routes[route], key, up, from)
	if to < 0 || !up.Up(to) {
		return -1
	}
	return to
}

// RouteIndex is the place of a route, -1 if there is none of that name.
func (t *Table) RouteIndex(name string) int {
	return slices.IndexFunc(t.routes, func(r Route) bool { return r.Name == name })
}
