package subset

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"reachwind/internal/fleet/seededhash"
)

type scored struct {
	at    int
	score float64
}

func (a scored) compare(b scored) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.at, b.at))
}

// willing is how willingly a gateway picks a member.
func (p *Plan) willing(g, m int) float64 {
	if w := p.members[m].Capacity; p.gateways[g].Zone != p.members[m].Zone {
		return w
	}
	return p.members[m].Capacity * near
}

// pick draws the pairs. What a gateway picks depends on the members alone, and what a member
// picks on the gateways alone. So where one entry goes, only those that had picked it pick
// another, one each; where one comes, it takes one place at the most of each that picks it.
// Members pick without regard to zones: a zone's loss leaves its gateways with members.
func (p *Plan) pick(picks, asks int) {
	gs, ms := len(p.gateways), len(p.members)
	seed := seededhash.Of(0, p.group)
	names := make([]uint64, ms)
	for m := range names {
		names[m] = seededhash.Of(0, p.members[m].Name)
	}
	byMember := make([][]scored, ms) // the least scores of each
	for m := range byMember {
		byMember[m] = make([]scored, 0, asks+2)
	}
	mine := make([]scored, 0, picks+2)
	for g, gw := range p.gateways {
		mine = mine[:0]
		own := seededhash.Of(seed, gw.Name)
		for m := range names {
			mine = offer(mine, picks+1, m, seededhash.Mix(own^names[m]), p.willing(g, m))
			byMember[m] = offer(byMember[m], asks+1, g, seededhash.Mix(own+names[m]), gw.Carries)
		}
		for k, w := range taper(mine, picks) {
			p.pairs = append(p.pairs, pair{g, mine[k].at, w})
		}
	}
	for m, all := range byMember {
		for k, w := range taper(all, asks) {
			p.pairs = append(p.pairs, pair{all[k].at, m, w})
		}
	}
	slices.SortFunc(p.pairs, func(a, b pair) int { return cmp.Or(cmp.Compare(a.g, b.g), cmp.Compare(a.m, b.m)) })
	n := 0
	for _, e := range p.pairs {
		if n > 0 && p.pairs[n-1].g == e.g && p.pairs[n-1].m == e.m {
			p.pairs[n-1].weight += e.weight
		} else {
			p.pairs[n] = e
			n++
		}
	}
	p.pairs = p.pairs[:n]
	p.first = make([]int, gs+1)
	for _, e := range p.pairs {
		p.first[e.g+1]++
	}
	for g := range gs {
		p.first[g+1] += p.first[g]
	}
}

// taper gives the first n of a list in order their weights: the less the nearer one is to being
// left for the next, so that one which comes or goes at the end does so with next to nothing.
func taper(list []scored, n int) iter.Seq2[int, float64] {
	return func(yield func(int, float64) bool) {
		for k := range min(n, len(list)) {
			w := 1.0
			if len(list) > n {
				w = max(1-list[k].score/list[n].score, 1e-6)
			}
			if !yield(k, w) {
				return
			}
		}
	}
}

// offer is least of one's score, without its logarithm where it can't be among them.
func offer(list []scored, n, at int, h uint64, weight float64) []scored {
	if len(list) == n && 1-chance(h) > list[n-1].score*weight { // -log(x) is never below 1 - x
		return list
	}
	return least(list, n, scored{at, score(h, weight)})
}

// least puts s among the n least of a list in order.
func least(list []scored, n int, s scored) []scored {
	if len(list) == n && list[n-1].compare(s) < 0 {
		return list
	}
	i := len(list)
	for i > 0 && s.compare(list[i-1]) < 0 {
		i--
	}
	list = slices.Insert(list, i, s)
	return list[:min(len(list), n)]
}

// scale gives the pairs their weights: each gateway's sum is 1, each member's load is near its
// capacity's part, and within that they are as near as can be to what the picks have. Rows and
// columns are scaled in turn until nothing changes, columns a little less than would fit: that
// has one outcome, whatever the start, and it changes little where the view does. Where the
// pairs allow no even load, gateways' sums hold and members are as near as the rounds brought them.
func (p *Plan) scale() {
	if len(p.pairs) == 0 {
		return
	}
	gs, ms := len(p.gateways), len(p.members)
	var carried, capacity float64
	for _, g := range p.gateways {
		carried += g.Carries
	}
	for _, m := range p.members {
		capacity += m.Capacity
	}
	kernel := make([]float64, len(p.pairs))
	for i, e := range p.pairs {
		kernel[i] = p.willing(e.g, e.m) * e.weight
	}
	row, column, load := make([]float64, gs), make([]float64, ms), make([]float64, ms)
	for m := range column {
		column[m] = 1
	}
	for p.Rounds = 1; ; p.Rounds++ {
		clear(load)
		for g := range gs {
			sum := 0.0
			for i := p.first[g]; i < p.first[g+1]; i++ {
				sum += float64(kernel[i] * column[p.pairs[i].m])
			}
			row[g] = p.gateways[g].Carries / carried / sum
			for i := p.first[g]; i < p.first[g+1]; i++ {
				load[p.pairs[i].m] += float64(row[g] * kernel[i] * column[p.pairs[i].m])
			}
		}
		p.Off = 0
		change := 0.0
		for m := range load {
			part := p.members[m].Capacity / capacity
			p.Off = max(p.Off, load[m]/part-1)
			next := min(max(math.Pow(column[m]*part/load[m], firm), 1e-60), 1e60)
			change = max(change, math.Abs(next/column[m]-1))
			load[m] = next
		}
		if change <= still || p.Rounds == rounds {
			break
		}
		column, load = load, column
	}
	for i, e := range p.pairs {
		p.pairs[i].weight = row[e.g] * kernel[i] * column[e.m] / (p.gateways[e.g].Carries / carried)
	}
}

// score is the rendezvous of one that is picked with the weight given: of a list, the chance
// to have the least is as the weights are.
func score(h uint64, weight float64) float64 {
	return -math.Log(chance(h)) / weight
}

// chance is a number above 0 and up to 1.
func chance(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }
