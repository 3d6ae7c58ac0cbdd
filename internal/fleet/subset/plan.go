package subset

import (
	"cmp"
	"math"
	"slices"
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
	seed := hash(offset, p.group)
	names := make([]uint64, ms)
	for m := range names {
		names[m] = hash(offset, p.members[m].Name)
	}
	byMember := make([][]scored, ms) // the least scores of each
	for m := range byMember {
		byMember[m] = make([]scored, 0, asks+1)
	}
	mine := make([]scored, 0, picks+1)
	for g, gw := range p.gateways {
		mine = mine[:0]
		own := hash(seed, gw.Name)
		for m := range names {
			mine = least(mine, picks, scored{m, score(mix(own^names[m]), p.willing(g, m))})
			byMember[m] = least(byMember[m], asks, scored{g, score(mix(own+names[m]), gw.Carries)})
		}
		for _, s := range mine {
			p.pairs = append(p.pairs, pair{g: g, m: s.at})
		}
	}
	for m, all := range byMember {
		for _, s := range all {
			p.pairs = append(p.pairs, pair{g: s.at, m: m})
		}
	}
	slices.SortFunc(p.pairs, func(a, b pair) int { return cmp.Or(cmp.Compare(a.g, b.g), cmp.Compare(a.m, b.m)) })
	p.pairs = slices.Compact(p.pairs)
	p.first = make([]int, gs+1)
	for _, e := range p.pairs {
		p.first[e.g+1]++
	}
	for g := range gs {
		p.first[g+1] += p.first[g]
	}
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

// scale gives the pairs their weights: of all ways to have each gateway's sum 1 and each
// member's load its capacity's part, the one nearest to what gateways would like best. Rows and
// columns are scaled in turn until they fit. There is one such way, so the path to a view
// leaves no trace; it moves little where the view changes little. Where the pairs allow
// none, gateways' sums hold and members' loads are as near as the rounds brought them.
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
		kernel[i] = p.willing(e.g, e.m)
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
		for m := range load {
			p.Off = max(p.Off, math.Abs(load[m]/(p.members[m].Capacity/capacity)-1))
		}
		if p.Off <= tolerance || p.Rounds == rounds {
			break
		}
		for m := range column {
			// Where no weights fit, scales would grow and shrink for ever: they are kept within what floats hold.
			column[m] = min(max(column[m]*(p.members[m].Capacity/capacity)/load[m], 1e-60), 1e60)
		}
	}
	for i, e := range p.pairs {
		p.pairs[i].weight = row[e.g] * kernel[i] * column[e.m] / (p.gateways[e.g].Carries / carried)
	}
}

// score is the rendezvous of one that is picked with the weight given: of a list, the chance
// to have the least is as the weights are.
func score(h uint64, weight float64) float64 {
	return -math.Log((float64(h>>11)+0.5)/(1<<53)) / weight
}

const offset uint64 = 14695981039346656037

func hash(h uint64, s string) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h)
}

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
