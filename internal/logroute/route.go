// Package logroute routes log records to collectors: it selects the routes for a
// record, applies their rate limits and sampling, chooses among the collectors of
// a route, and decides when to reconnect to a collector that failed. It does no
// I/O, starts no goroutine and reads no clock: the same seed and calls give the
// same results. Nothing in it is safe for concurrent use.
package logroute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachwind/internal/record"
)

// Time is a point in time on the gateway's clock, or a duration.
type Time = time.Duration

// Mode is the way in which a route distributes records to its collectors.
type Mode uint8

// The modes.
const (
	All      Mode = iota // each collector gets every record
	Failover             // the first stable collector, else the first connected one, gets every record
	Spread               // each collector gets the records of its tenants, by rendezvous hashing
)

// Modes holds the names of the modes.
var Modes = [...]string{All: "all", Failover: "failover", Spread: "spread"}

// Route selects records and names the collectors that get them. An empty field
// does not restrict the selection: the zero Route selects everything. A record
// goes to the first route that selects it and, if that has Continue set, also to
// the next one that does.
type Route struct {
	Name     string
	Kinds    []record.Kind
	Severity record.Severity // the least severe level that is selected, 0 = all
	Classes  []int
	Tenants  []int // indexes of tenants, -1 = requests without a tenant
	Outcomes []record.Outcome
	Members  []string
	Rate     float64 // records per second, with a burst of one second's worth (at least 1); 0 = no limit
	Sample   float64 // fraction of the requests kept; 0 = all. Other kinds are never sampled
	Mode     Mode
	To       []int // indexes of collectors, in the order of preference
	Continue bool
}

// Validate returns an error for the first invalid field of a route, given the number of collectors.
func (r *Route) Validate(collectors int) error {
	switch {
	case len(r.To) == 0:
		return fmt.Errorf("route %q: no collector, want at least one", r.Name)
	case r.Rate < 0:
		return fmt.Errorf("route %q: rate is %g, want 0 or more", r.Name, r.Rate)
	case r.Sample < 0 || r.Sample > 1:
		return fmt.Errorf("route %q: sample is %g, want a fraction from 0 to 1", r.Name, r.Sample)
	}
	for i, c := range r.To {
		if c < 0 || c >= collectors {
			return fmt.Errorf("route %q: collector index is %d, but there are only %d collectors", r.Name, c, collectors)
		}
		if slices.Contains(r.To[:i], c) {
			return fmt.Errorf("route %q: names a collector twice", r.Name)
		}
	}
	return nil
}

// selects reports whether the route selects a record. With a list of classes, tenants or outcomes it selects requests
// only.
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

// Priority orders records for dropping: the lowest is dropped first.
type Priority uint8

// The priorities. Log lines have that of requests of a like severity.
const (
	Sampled Priority = iota // a served request that also represents others
	ServedRequest
	RefusedRequest
	FailedRequest
	MemberChange
	GapRecord // never dropped: at most one exists for each cause at a time
	NumPriorities
)

// PriorityOf returns the priority of a record that represents weight records.
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

// maxFill is, for each priority, the fill level of a store of limited capacity (0 to 1) from which it no longer accepts
// such records. The remaining capacity is reserved for higher priorities.
var maxFill = [NumPriorities]float64{Sampled: 0.5, ServedRequest: 0.7, RefusedRequest: 0.85, FailedRequest: 0.95, MemberChange: 1, GapRecord: 1}

// Admit reports whether a store that cannot drop what it holds should accept a record of priority w, where full is its
// fill level from 0 to 1.
func Admit(w Priority, full float64) bool { return full < maxFill[w] }

// Target is a collector that a record is sent to.
type Target struct {
	Collector int
	Route     int
	Weight    uint64
	OverRate  bool // the record exceeds the route's rate: the caller counts it as dropped
}

// Availability reports which collectors can accept records now.
type Availability interface {
	// Up reports whether a collector is connected, Stable whether it has not failed recently.
	Up(collector int) bool
	Stable(collector int) bool
}

// Table holds the routes of one configuration and their state.
type Table struct {
	routes          []Route
	state           []routeState
	collectorHashes []uint64 // hashes of the collectors' names, by index
	rng             *rand.Rand
	now             Time
}

type routeState struct {
	tokens   float64
	tokensAt Time
	skipped  uint64 // requests not kept by sampling since the last one that was
}

// NewTable returns a table for collectors of the given names, or an error for the first invalid route.
func NewTable(routes []Route, collectors []string, seed uint64) (*Table, error) {
	t := &Table{routes: routes, state: make([]routeState, len(routes)), rng: rand.New(rand.NewPCG(seed, 0x6c6f67))}
	for i := range routes {
		if err := routes[i].Validate(len(collectors)); err != nil {
			return nil, err
		}
		t.state[i] = routeState{tokens: max(1, routes[i].Rate), tokensAt: -1}
	}
	for _, c := range collectors {
		t.collectorHashes = append(t.collectorHashes, xxhash.Sum64String(c))
	}
	return t, nil
}

// Inherit takes over the state of rate limits and sampling from the previous table, for routes of the same name.
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

// Route appends the targets of a record to out. For each route the weights of the requests kept by sampling add up to
// the number of requests selected, except those selected since the last one kept.
func (t *Table) Route(now Time, rec *record.Record, up Availability, out []Target) []Target {
	t.now = max(now, t.now)
	for i := range t.routes {
		r := &t.routes[i]
		if !r.selects(rec) {
			continue
		}
		out = t.apply(i, r, rec, up, out)
		if !r.Continue {
			break
		}
	}
	return out
}

func (t *Table) apply(i int, r *Route, rec *record.Record, up Availability, out []Target) []Target {
	s := &t.state[i]
	target := Target{Route: i, Weight: 1}
	if rec.Kind == record.Request && r.Sample > 0 && r.Sample < 1 {
		if t.rng.Float64() >= r.Sample {
			s.skipped++
			return out
		}
		target.Weight, s.skipped = s.skipped+1, 0
	}
	target.OverRate = !t.takeToken(s, r.Rate)
	if r.Mode == All {
		for _, c := range r.To {
			target.Collector = c
			out = append(out, target)
		}
		return out
	}
	target.Collector = t.pick(r, spreadKey(rec), up, -1)
	return append(out, target)
}

// takeToken takes a token from the route's bucket, which holds at most one second's worth (at least 1).
func (t *Table) takeToken(s *routeState, rate float64) bool {
	if rate <= 0 {
		return true
	}
	if s.tokensAt >= 0 {
		s.tokens = min(max(1, rate), s.tokens+rate*(t.now-s.tokensAt).Seconds())
	}
	s.tokensAt = t.now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// spreadKey returns the key for mode Spread: the record's tenant or, without one, a hash of its member.
func spreadKey(rec *record.Record) uint64 {
	if rec.Tenant >= 0 {
		return uint64(rec.Tenant)
	}
	return xxhash.Sum64String(rec.Member)
}

// Key returns a record's key for Reassign, for callers that keep the record only as an encoded message.
func Key(rec *record.Record) uint64 { return spreadKey(rec) }

// pick chooses one of a route's collectors other than without. If none is up, it is the one that would be chosen if
// all were up.
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
		if r.Mode == Failover && up.Stable(c) { // one that has only just recovered ranks lower
			rank = 2
		}
		score := uint64(0)
		if r.Mode == Spread {
			score = mix(key*0x9e3779b97f4a7c15 ^ t.collectorHashes[c])
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

// Reassign returns the collector that takes over records which a route sent to a collector that is now down. It is a
// collector that is up, or -1 if there is none or if the route's mode does not reassign records.
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

// RouteIndex returns the index of the route with the given name, or -1.
func (t *Table) RouteIndex(name string) int {
	return slices.IndexFunc(t.routes, func(r Route) bool { return r.Name == name })
}
