// Package subset decides which of a group's replicas one gateway sends its ordinary reads to, so that the
// choices of many gateways add up: members are evenly loaded, each gateway keeps few connections, and little
// changes when a gateway or member comes or goes. Every gateway computes the whole plan from its view and
// takes its own subset from it, without communication. The package does no I/O, starts no goroutine and reads
// no clock.
//
// Each gateway picks members and each member picks gateways, by weighted rendezvous hashing; the plan consists
// of the pairs picked by either side. What a gateway sends to each of its members follows from scaling the
// weights of the pairs until each gateway's sum is its demand and each member's sum is about its fraction of
// the capacity.
package subset

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"reachwind/internal/fleet/seededhash"
	"reachwind/internal/fleet/view"
)

// Limits and parameters.
const (
	MaxGateways = 2048 // gateways in a view: the work grows with gateways x members, see BenchmarkNew
	MaxMembers  = 2048 // members in a group
	demandLimit = 16   // a gateway's reported demand counts up to this multiple of the median, and down to the median divided by it

	sameZonePreference = 2    // preference of a gateway for members of its own zone, in picks and load; a higher value moves more load when a member goes
	balanceFirmness    = 0.9  // how firmly members' loads are held to their capacity: at 1 they are even and move most, at 0 they would not be held
	convergence        = 1e-7 // scaling ends when no factor changes by more than this fraction
	maxRounds          = 300  // limit of scaling rounds; about 120 are usual
	minFitWeight       = 0.5  // fraction of a subset's weight: if less is usable, substitutes from outside the subset are added
	maxSubstitutes     = 4    // substitutes at once, each with an equal fraction
)

// Gateway is a live gateway in a view.
type Gateway struct {
	Name, Zone string
	Demand     float64 // its demand, in any unit common to all; 0 or less counts as the median
}

// Member is one replica of the group.
type Member struct {
	Name, Zone string
	Capacity   float64 // in any unit common to all; 0 or less counts as 1
	Out        bool    // known to all as out, for example draining or banned: it is in no subset
}

// View is the input of a plan, as one gateway sees it. The order of its lists does not matter.
type View struct {
	Group    string
	Gateways []Gateway
	Members  []Member
	Verdict  view.Verdict
	// Expected is how many gateways there should be. If the verdict is not Majority, those that are not seen are
	// assumed to run elsewhere with the median demand: a gateway that is cut off from the others keeps a
	// subset of the size that it would have among them.
	Expected int
}

// Config sets how many pairs are picked: at most GatewayPicks x gateways + MemberPicks x members in all.
type Config struct {
	GatewayPicks int // members that each gateway picks
	MemberPicks  int // gateways that each member picks
}

// DefaultConfig is the configuration that the figures in docs/design/subsets.md are measured with.
var DefaultConfig = Config{GatewayPicks: 4, MemberPicks: 24}

// TooManyError is the error for a view that is larger than a plan may be.
type TooManyError struct {
	What     string
	Got, Max int
}

func (e *TooManyError) Error() string {
	return fmt.Sprintf("subset: %d %s in the view, at most %d can be planned for: split the fleet or the group, or do without subsets", e.Got, e.What, e.Max)
}

// Share is a member of a subset and the fraction of the gateway's reads that it gets, from 0 to 1.
type Share struct {
	Member string
	Weight float64
}

// Plan holds the subsets of all gateways of one view. It does not change once made.
type Plan struct {
	group     string
	gateways  []Gateway
	members   []Member
	pairs     []pair  // ordered by gateway, then member
	firstPair []int   // index of each gateway's first pair, and the number of pairs
	Rounds    int     // scaling rounds done
	MaxExcess float64 // relative excess of the most overloaded member over its fraction of the capacity
}

type pair struct {
	gateway, member int
	weight          float64
}

// New makes the plan of a view. Views with the same entries give the same plan, whatever their order; of
// entries with the same name the first counts. Its error is a *TooManyError.
func New(c Config, v View) (*Plan, error) {
	if n := max(len(v.Gateways), v.Expected); n > MaxGateways {
		return nil, &TooManyError{"gateways", n, MaxGateways}
	}
	if len(v.Members) > MaxMembers {
		return nil, &TooManyError{"members", len(v.Members), MaxMembers}
	}
	p := &Plan{group: v.Group, gateways: normalizeGateways(v), members: normalizeMembers(v.Members)}
	p.pickPairs(max(c.GatewayPicks, 1), max(c.MemberPicks, 1))
	p.scaleWeights()
	return p, nil
}

func normalizeGateways(v View) []Gateway {
	all := slices.Clone(v.Gateways)
	slices.SortStableFunc(all, func(a, b Gateway) int { return cmp.Compare(a.Name, b.Name) })
	all = slices.CompactFunc(all, func(a, b Gateway) bool { return a.Name == b.Name })
	var reported []float64
	for _, g := range all {
		if g.Demand > 0 && !math.IsInf(g.Demand, 0) {
			reported = append(reported, g.Demand)
		}
	}
	median := 1.0
	if len(reported) > 0 {
		slices.Sort(reported)
		median = reported[len(reported)/2]
	}
	for i := range all {
		// A reported demand far from the others' moves only a bounded part of the plan, whichever gateway
		// reports it.
		if w := all[i].Demand; w > 0 {
			all[i].Demand = min(max(w, median/demandLimit), median*demandLimit)
		} else {
			all[i].Demand = median
		}
	}
	if v.Verdict != view.Majority {
		// Each gateway that is cut off assumes that others run elsewhere; otherwise all would prefer the
		// members that those leave. The assumed names sort after all others.
		of := ""
		if len(all) > 0 {
			of = all[0].Name
		}
		for i := len(all); i < v.Expected; i++ {
			all = append(all, Gateway{Name: fmt.Sprintf("\xff%d of %s", i, of), Demand: median})
		}
	}
	return all
}

func normalizeMembers(members []Member) (all []Member) {
	for _, m := range members {
		if !m.Out {
			if !(m.Capacity > 0) || math.IsInf(m.Capacity, 0) {
				m.Capacity = 1
			}
			all = append(all, m)
		}
	}
	slices.SortStableFunc(all, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return slices.CompactFunc(all, func(a, b Member) bool { return a.Name == b.Name })
}

// PairCount returns the number of pairs of all gateways: the connections that the fleet keeps.
func (p *Plan) PairCount() int { return len(p.pairs) }

// Subset returns a gateway's subset, or nil if the view has no such gateway.
func (p *Plan) Subset(gateway string) *Subset {
	g, known := slices.BinarySearchFunc(p.gateways, gateway, func(g Gateway, name string) int { return cmp.Compare(g.Name, name) })
	if !known {
		return nil
	}
	part := &Subset{}
	var in = make([]bool, len(p.members))
	for _, e := range p.pairsOf(g) {
		part.shares = append(part.shares, Share{p.members[e.member].Name, e.weight})
		in[e.member] = true
	}
	var rest []scored
	seed := seededhash.Chain(seededhash.Chain(0, p.group), p.gateways[g].Name)
	for m := range p.members {
		if !in[m] {
			rest = append(rest, scored{m, score(seededhash.Chain(seed, p.members[m].Name), p.preference(g, m))})
		}
	}
	slices.SortFunc(rest, scored.compare)
	for _, s := range rest {
		part.substitutes = append(part.substitutes, p.members[s.index].Name)
	}
	return part
}

func (p *Plan) pairsOf(g int) []pair { return p.pairs[p.firstPair[g]:p.firstPair[g+1]] }
