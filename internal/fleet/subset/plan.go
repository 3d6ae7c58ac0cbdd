package subset

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"reachwind/internal/fleet/seededhash"
)

type scored struct {
	index int
	score float64
}

func (a scored) compare(b scored) int {
	return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.index, b.index))
}

// preference returns a gateway's preference for a member.
func (p *Plan) preference(g, m int) float64 {
	if w := p.members[m].Capacity; p.gateways[g].Zone != p.members[m].Zone {
		return w
	}
	return p.members[m].Capacity * sameZonePreference
}

// pickPairs selects the pairs. What a gateway picks depends on the members alone, and what a member picks on the
// gateways alone. So if an entry goes, only those that had picked it pick another, one each; if one comes, it
// replaces at most one pick of each that picks it. Members pick without regard to zones, so that the loss of a
// zone leaves its gateways with members.
func (p *Plan) pickPairs(gatewayPicks, memberPicks int) {
	gs, ms := len(p.gateways), len(p.members)
	seed := seededhash.Chain(0, p.group)
	names := make([]uint64, ms)
	for m := range names {
		names[m] = seededhash.Chain(0, p.members[m].Name)
	}
	byMember := make([][]scored, ms) // the lowest scores of each member
	for m := range byMember {
		byMember[m] = make([]scored, 0, memberPicks+2)
	}
	gatewayList := make([]scored, 0, gatewayPicks+2)
	for g, gw := range p.gateways {
		gatewayList = gatewayList[:0]
		own := seededhash.Chain(seed, gw.Name)
		for m := range names {
			gatewayList = insertScored(gatewayList, gatewayPicks+1, m, seededhash.Mix(own^names[m]), p.preference(g, m))
			byMember[m] = insertScored(byMember[m], memberPicks+1, g, seededhash.Mix(own+names[m]), gw.Demand)
		}
		for k, w := range taperedWeights(gatewayList, gatewayPicks) {
			p.pairs = append(p.pairs, pair{g, gatewayList[k].index, w})
		}
	}
	for m, all := range byMember {
		for k, w := range taperedWeights(all, memberPicks) {
			p.pairs = append(p.pairs, pair{all[k].index, m, w})
		}
	}
	slices.SortFunc(p.pairs, func(a, b pair) int { return cmp.Or(cmp.Compare(a.gateway, b.gateway), cmp.Compare(a.member, b.member)) })
	n := 0
	for _, e := range p.pairs {
		if n > 0 && p.pairs[n-1].gateway == e.gateway && p.pairs[n-1].member == e.member {
			p.pairs[n-1].weight += e.weight
		} else {
			p.pairs[n] = e
			n++
		}
	}
	p.pairs = p.pairs[:n]
	p.firstPair = make([]int, gs+1)
	for _, e := range p.pairs {
		p.firstPair[e.gateway+1]++
	}
	for g := range gs {
		p.firstPair[g+1] += p.firstPair[g]
	}
}

// taperedWeights yields the first n entries of a sorted list with their weights: the closer an entry is to being
// replaced by the next one, the lower its weight, so that entries that come or go at the end do so with almost
// no weight.
func taperedWeights(list []scored, n int) iter.Seq2[int, float64] {
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

// insertScored inserts an entry's score like insertLowest, but skips the logarithm if the score can't be
// among the lowest.
func insertScored(list []scored, n, at int, h uint64, weight float64) []scored {
	if len(list) == n && 1-uniform(h) > list[n-1].score*weight { // -log(x) is never below 1 - x
		return list
	}
	return insertLowest(list, n, scored{at, score(h, weight)})
}

// insertLowest inserts s into a sorted list of the n lowest scores.
func insertLowest(list []scored, n int, s scored) []scored {
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

// scaleWeights computes the weights of the pairs: each gateway's sum is 1, each member's load is near its
// fraction of the capacity, and within that the weights are as close as possible to those of the picks. Rows
// and columns are scaled in turn until nothing changes, columns a little less than would fit: that has a
// single result, whatever the start, and it changes little if the view does. If the pairs allow no even
// load, gateways' sums hold and members are as near as the rounds allow.
func (p *Plan) scaleWeights() {
	if len(p.pairs) == 0 {
		return
	}
	gs, ms := len(p.gateways), len(p.members)
	var demand, capacity float64
	for _, g := range p.gateways {
		demand += g.Demand
	}
	for _, m := range p.members {
		capacity += m.Capacity
	}
	kernel := make([]float64, len(p.pairs))
	for i, e := range p.pairs {
		kernel[i] = p.preference(e.gateway, e.member) * e.weight
	}
	row, column, load := make([]float64, gs), make([]float64, ms), make([]float64, ms)
	for m := range column {
		column[m] = 1
	}
	for p.Rounds = 1; ; p.Rounds++ {
		clear(load)
		for g := range gs {
			sum := 0.0
			for i := p.firstPair[g]; i < p.firstPair[g+1]; i++ {
				sum += float64(kernel[i] * column[p.pairs[i].member])
			}
			row[g] = p.gateways[g].Demand / demand / sum
			for i := p.firstPair[g]; i < p.firstPair[g+1]; i++ {
				load[p.pairs[i].member] += float64(row[g] * kernel[i] * column[p.pairs[i].member])
			}
		}
		p.MaxExcess = 0
		change := 0.0
		for m := range load {
			fraction := p.members[m].Capacity / capacity
			p.MaxExcess = max(p.MaxExcess, load[m]/fraction-1)
			next := min(max(math.Pow(column[m]*fraction/load[m], balanceFirmness), 1e-60), 1e60)
			change = max(change, math.Abs(next/column[m]-1))
			load[m] = next
		}
		if change <= convergence || p.Rounds == maxRounds {
			break
		}
		column, load = load, column
	}
	for i, e := range p.pairs {
		p.pairs[i].weight = row[e.gateway] * kernel[i] * column[e.member] / (p.gateways[e.gateway].Demand / demand)
	}
}

// score is the rendezvous score of an entry with the given weight: the probability to have the lowest score of
// a list is proportional to the weight.
func score(h uint64, weight float64) float64 {
	return -math.Log(uniform(h)) / weight
}

// uniform maps a hash to a number above 0 and at most 1.
func uniform(h uint64) float64 { return (float64(h>>11) + 0.5) / (1 << 53) }
