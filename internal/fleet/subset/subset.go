// Package subset decides which part of a group's replicas one gateway sends its ordinary
// reads to, so that the choices of many gateways add up: the load of members is even, each
// gateway keeps few connections, and little moves when one comes or goes. Every gateway
// computes the whole plan from its view and takes its own part of it; none asks another.
// It does no I/O, starts no goroutine and reads no clock.
//
// Each gateway picks members and each member picks gateways, by weighted rendezvous; the
// pairs picked on either side are the plan's. What a gateway sends to each of its members
// follows by scaling the pairs' weights until each gateway's sum is what it carries and
// each member's sum is about its capacity's part of all.
package subset

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"reachwind/internal/fleet/seededhash"
	"reachwind/internal/fleet/view"
)

// Bounds and tuned values, each with its reason.
const (
	MostGateways = 2048 // of a view: the work grows with gateways x members, see BenchmarkNew
	MostMembers  = 2048 // of a group
	most         = 16   // times the median is the most that a gateway's word of what it carries counts

	near     = 2    // times as willingly does a gateway pick, and load, a member of its own zone: more moves more when one goes
	firm     = 0.9  // how firmly members' loads are held to their capacity: 1 is even and moves most, 0 would not hold them
	still    = 1e-7 // part by which no scale changes any more: the plan is done
	rounds   = 300  // of scaling at the most; 120 are usual
	keep     = 0.5  // of a part's weight: where less is fit, stand-ins from outside help out
	standIns = 4    // at once, each its even part
)

// Gateway is one that lives, as the view has it.
type Gateway struct {
	Name, Zone string
	Carries    float64 // what it is asked for, in any unit that all share; 0 or less = as the median
}

// Member is one replica of the group.
type Member struct {
	Name, Zone string
	Capacity   float64 // in any unit that all share; 0 or less = 1
	Out        bool    // by common word, as draining or banned: it is in no part
}

// View is what one gateway takes for true. The order of its lists means nothing.
type View struct {
	Group    string
	Gateways []Gateway
	Members  []Member
	Verdict  view.Verdict
	// Expected is how many gateways there should be. Where the verdict is not Whole, those that are not
	// seen are taken to be somewhere and to carry as much as the median: a gateway that is cut off from
	// the others keeps a part of the size that it would have among them.
	Expected int
}

// Config is how many pairs are picked: at most Picks x gateways + Asks x members in all.
type Config struct {
	Picks int // members that each gateway picks
	Asks  int // gateways that each member picks
}

// Usual are the picks that the figures in docs/design/subsets.md are of.
var Usual = Config{Picks: 4, Asks: 24}

// TooMany tells that a view is larger than a plan may be.
type TooMany struct {
	What      string
	Got, Most int
}

func (e *TooMany) Error() string {
	return fmt.Sprintf("subset: %d %s in the view, at most %d can be planned for: split the fleet or the group, or use no parts", e.Got, e.What, e.Most)
}

// Share is a member of a part and what of the gateway's reads it gets, from 0 to 1.
type Share struct {
	Member string
	Weight float64
}

// Plan is all gateways' parts under one view. It doesn't change once made.
type Plan struct {
	group    string
	gateways []Gateway
	members  []Member
	pairs    []pair  // in the order of gateways, then members
	first    []int   // of each gateway's pairs, and the end
	Rounds   int     // of scaling that were done
	Off      float64 // by how much of its capacity's part the worst member has more than that
}

type pair struct {
	g, m   int
	weight float64
}

// New makes the plan of a view. Views with the same entries make the same plan, whatever
// their order; of entries with one name the first counts. Its error is a *TooMany.
func New(c Config, v View) (*Plan, error) {
	if n := max(len(v.Gateways), v.Expected); n > MostGateways {
		return nil, &TooMany{"gateways", n, MostGateways}
	}
	if len(v.Members) > MostMembers {
		return nil, &TooMany{"members", len(v.Members), MostMembers}
	}
	p := &Plan{group: v.Group, gateways: tidyGateways(v), members: tidyMembers(v.Members)}
	p.pick(max(c.Picks, 1), max(c.Asks, 1))
	p.scale()
	return p, nil
}

func tidyGateways(v View) []Gateway {
	all := slices.Clone(v.Gateways)
	slices.SortStableFunc(all, func(a, b Gateway) int { return cmp.Compare(a.Name, b.Name) })
	all = slices.CompactFunc(all, func(a, b Gateway) bool { return a.Name == b.Name })
	var told []float64
	for _, g := range all {
		if g.Carries > 0 && !math.IsInf(g.Carries, 0) {
			told = append(told, g.Carries)
		}
	}
	median := 1.0
	if len(told) > 0 {
		slices.Sort(told)
		median = told[len(told)/2]
	}
	for i := range all {
		// A word that is far from the others' moves a bounded part of the plan, whoever gave it.
		if w := all[i].Carries; w > 0 {
			all[i].Carries = min(max(w, median/most), median*most)
		} else {
			all[i].Carries = median
		}
	}
	if v.Verdict != view.Majority {
		// Each that is cut off takes others to be there, else all would lean to the members that these leave.
		// Their names come after all others.
		of := ""
		if len(all) > 0 {
			of = all[0].Name
		}
		for i := len(all); i < v.Expected; i++ {
			all = append(all, Gateway{Name: fmt.Sprintf("\xff%d of %s", i, of), Carries: median})
		}
	}
	return all
}

func tidyMembers(members []Member) (all []Member) {
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

// Size is the number of pairs of all gateways: what the fleet keeps connections for.
func (p *Plan) Size() int { return len(p.pairs) }

// Part is a gateway's part, made for its use; nil where the view has no such gateway.
func (p *Plan) Part(gateway string) *Part {
	g, known := slices.BinarySearchFunc(p.gateways, gateway, func(g Gateway, name string) int { return cmp.Compare(g.Name, name) })
	if !known {
		return nil
	}
	part := &Part{}
	var in = make([]bool, len(p.members))
	for _, e := range p.of(g) {
		part.shares = append(part.shares, Share{p.members[e.m].Name, e.weight})
		in[e.m] = true
	}
	var rest []scored
	seed := seededhash.Of(seededhash.Of(0, p.group), p.gateways[g].Name)
	for m := range p.members {
		if !in[m] {
			rest = append(rest, scored{m, score(seededhash.Of(seed, p.members[m].Name), p.willing(g, m))})
		}
	}
	slices.SortFunc(rest, scored.compare)
	for _, s := range rest {
		part.outside = append(part.outside, p.members[s.at].Name)
	}
	return part
}

func (p *Plan) of(g int) []pair { return p.pairs[p.first[g]:p.first[g+1]] }
