package subset

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"reachwind/internal/fleet/seededhash"
	"reachwind/internal/fleet/view"
)

var all = flag.Bool("all", false, "all sizes of the table in docs/design/subsets.md")

// assignment is the fraction of its reads that each gateway sends to each member, by names.
type assignment map[string]map[string]float64

func names(kind string, n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("%s-%04d", kind, i))
	}
	return all
}

// randomView returns a random view. If uneven, gateways' demands range from 1 to 10, a tenth of them 10, and
// members' capacities differ up to fourfold.
func randomView(rng *rand.Rand, gs, ms int, uneven bool) View {
	v := View{Group: "g", Verdict: view.Majority}
	for i, n := range names("gw", gs) {
		g := Gateway{Name: n, Zone: string(rune('a' + i%3)), Demand: 1}
		if uneven {
			if g.Demand = 1 + 3*rng.Float64(); i%10 == 0 {
				g.Demand = 10
			}
		}
		v.Gateways = append(v.Gateways, g)
	}
	for i, n := range names("m", ms) {
		v.Members = append(v.Members, Member{Name: n, Zone: string(rune('a' + i%3)), Capacity: 1})
		if uneven {
			v.Members[i].Capacity = 1 + 3*rng.Float64()
		}
	}
	return v
}

func planOf(v View) assignment {
	p, err := New(DefaultConfig, v)
	if err != nil {
		panic(err)
	}
	out := assignment{}
	for g, gw := range p.gateways {
		out[gw.Name] = map[string]float64{}
		for _, e := range p.pairsOf(g) {
			out[gw.Name][p.members[e.member].Name] = e.weight
		}
	}
	return out
}

// chosenSubsets returns the subsets that result if choose selects the members of each gateway, weighted by
// capacity.
func chosenSubsets(v View, choose func(at int, g Gateway) []Member) assignment {
	out := assignment{}
	for at, g := range v.Gateways {
		mine, sum := map[string]float64{}, 0.0
		for _, m := range choose(at, g) {
			mine[m.Name] = m.Capacity
			sum += m.Capacity
		}
		for m := range mine {
			mine[m] /= sum
		}
		out[g.Name] = mine
	}
	return out
}

// The algorithms compared, each with subsets of size members.
var algorithms = []struct {
	name string
	make func(v View, size int) assignment
}{
	{"two-sided rendezvous, scaled", func(v View, _ int) assignment { return planOf(v) }},
	{"random parts", func(v View, size int) assignment {
		return chosenSubsets(v, func(_ int, g Gateway) []Member {
			// By the gateway's own seed over the unsorted list, as a client without coordination would.
			ms := slices.Clone(v.Members)
			rand.New(rand.NewPCG(seededhash.Chain(0, g.Name), 1)).Shuffle(len(ms), func(a, b int) { ms[a], ms[b] = ms[b], ms[a] })
			return ms[:min(size, len(ms))]
		})
	}},
	{"rendezvous", func(v View, size int) assignment {
		return chosenSubsets(v, func(_ int, g Gateway) []Member {
			var list []scored
			for i, m := range v.Members {
				list = insertLowest(list, size, scored{i, score(seededhash.Chain(seededhash.Chain(0, g.Name), m.Name), 1)})
			}
			var out []Member
			for _, s := range list {
				out = append(out, v.Members[s.index])
			}
			return out
		})
	}},
	{"rounds of shuffles", func(v View, size int) assignment {
		rounds := max(1, len(v.Members)/size)
		return chosenSubsets(v, func(at int, _ Gateway) []Member {
			ms := slices.Clone(v.Members)
			rand.New(rand.NewPCG(uint64(at/rounds), 1)).Shuffle(len(ms), func(a, b int) { ms[a], ms[b] = ms[b], ms[a] })
			from := at % rounds * size
			return ms[min(from, len(ms)):min(from+size, len(ms))]
		})
	}},
	{"ring, fractional overlap", func(v View, size int) assignment {
		// Gateways' arcs are proportional to their demand, widened evenly so that they overlap size members on
		// average; members' arcs are proportional to their capacity. Both are ordered by their hashes.
		var carried, capacity float64
		gs, ms := slices.Clone(v.Gateways), slices.Clone(v.Members)
		slices.SortFunc(gs, func(a, b Gateway) int {
			return int(seededhash.Chain(0, a.Name)>>33) - int(seededhash.Chain(0, b.Name)>>33)
		})
		slices.SortFunc(ms, func(a, b Member) int {
			return int(seededhash.Chain(0, a.Name)>>33) - int(seededhash.Chain(0, b.Name)>>33)
		})
		for _, g := range gs {
			carried += g.Demand
		}
		for _, m := range ms {
			capacity += m.Capacity
		}
		laps := max(1, math.Round(float64(size)*float64(len(gs))/float64(len(ms))))
		out, from := assignment{}, 0.0
		for _, g := range gs {
			wide := min(g.Demand/carried*laps, 1)
			out[g.Name] = map[string]float64{}
			for lap := range 2 {
				at := float64(lap)
				for _, m := range ms {
					to := at + m.Capacity/capacity
					if o := min(to, from+wide) - max(at, from); o > 1e-12 {
						out[g.Name][m.Name] += o / wide
					}
					at = to
				}
			}
			from = math.Mod(from+g.Demand/carried, 1)
		}
		return out
	}},
}

// maxLoad returns the highest load of a member relative to its fraction of the capacity, and the number of pairs
// in use.
func maxLoad(v View, p assignment) (most float64, pairs int) {
	sums := map[string]float64{}
	var carried, capacity float64
	for _, g := range v.Gateways {
		carried += g.Demand
		pairs += len(p[g.Name])
		for m, w := range p[g.Name] {
			sums[m] += w * g.Demand
		}
	}
	for _, m := range v.Members {
		capacity += m.Capacity
	}
	for _, m := range v.Members {
		most = max(most, sums[m.Name]/carried/(m.Capacity/capacity))
	}
	return most, pairs
}

// movedLoad returns the fraction of the load of gateways present in both that goes to another member, and the
// number of new pairs.
func movedLoad(v View, a, b assignment) (sum float64, opened int) {
	var carried float64
	for _, g := range v.Gateways {
		carried += g.Demand
		for m, w := range b[g.Name] {
			if a[g.Name] == nil {
				break
			}
			if was, had := a[g.Name][m]; !had {
				opened++
				sum += w * g.Demand
			} else if w > was {
				sum += (w - was) * g.Demand
			}
		}
	}
	return sum / carried, opened
}

func without(v View, g, m int) View {
	if v.Gateways = slices.Clone(v.Gateways); g >= 0 {
		v.Gateways = slices.Delete(v.Gateways, g, g+1)
	}
	if v.Members = slices.Clone(v.Members); m >= 0 {
		v.Members = slices.Delete(v.Members, m, m+1)
	}
	return v
}

// loadLowerBound returns a lower limit for the highest relative load of any assignment over the given pairs,
// by maximum flow: the lowest limit at which the demand of all gateways can be placed.
func loadLowerBound(v View, p assignment) float64 {
	var carried, capacity float64
	at := map[string]int{}
	for _, g := range v.Gateways {
		carried += g.Demand
	}
	for i, m := range v.Members {
		capacity += m.Capacity
		at[m.Name] = i
	}
	low, high := 1.0, 1.0+1/4096.0
	fits := func(most float64) bool {
		spare := make([]float64, len(v.Members))
		flow := make([]map[int]float64, len(v.Gateways))
		for i, m := range v.Members {
			spare[i] = m.Capacity / capacity * most
		}
		for g, gw := range v.Gateways {
			flow[g] = map[int]float64{}
			for left := gw.Demand / carried; left > 1e-9; {
				// A shortest augmenting path from g to a member with spare capacity, through flows that other
				// gateways could redirect.
				from, seen := map[int]int{}, map[int]bool{g: true}
				end, queue := -1, []int{g}
				via := map[int]int{}
				for len(queue) > 0 && end < 0 {
					h := queue[0]
					queue = queue[1:]
					for name := range p[v.Gateways[h].Name] {
						m := at[name]
						if _, known := from[m]; known {
							continue
						}
						if from[m] = h; spare[m] > 1e-12 {
							end = m
							break
						}
						for o := range flow {
							if flow[o][m] > 1e-12 && !seen[o] {
								seen[o], via[o] = true, m
								queue = append(queue, o)
							}
						}
					}
				}
				if end < 0 {
					return false
				}
				push := min(left, spare[end])
				for m := end; from[m] != g; m = via[from[m]] {
					push = min(push, flow[from[m]][via[from[m]]])
				}
				spare[end] -= push
				for m := end; ; m = via[from[m]] {
					flow[from[m]][m] += push
					if from[m] == g {
						break
					}
					flow[from[m]][via[from[m]]] -= push
				}
				left -= push
			}
		}
		return true
	}
	for !fits(high) && high < 64 {
		low, high = high, 1+(high-1)*2
	}
	for range 6 {
		if mid := (low + high) / 2; fits(mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return low
}

// TestAlgorithms checks claims 2 to 4 for the algorithm in use, and with -all prints the same figures for the
// alternatives.
func TestAlgorithms(t *testing.T) {
	sizes := [][2]int{{2, 3}, {4, 12}, {40, 120}, {120, 12}}
	if *all {
		sizes = [][2]int{{2, 3}, {2, 1000}, {4, 12}, {12, 120}, {40, 120}, {300, 120}, {1000, 3}, {1000, 120}, {300, 1000}, {1000, 1000}}
	}
	for _, size := range sizes {
		for _, uneven := range []bool{false, true} {
			v := randomView(rand.New(rand.NewPCG(1, 2)), size[0], size[1], uneven)
			_, pairs := maxLoad(v, planOf(v))
			each := (pairs + size[0] - 1) / size[0]
			for i, algorithm := range algorithms {
				if i > 0 && !*all {
					break
				}
				before := algorithm.make(v, each)
				highest, pairs := maxLoad(v, before)
				lowerBound := math.NaN()
				if i == 0 && size[0] <= 300 && size[1] <= 120 {
					lowerBound = loadLowerBound(v, before)
				}
				var gatewayMoves, boundedMoves, memberMoves, gatewayOpens, memberOpens float64
				tries := min(8, size[0], size[1])
				for k := range tries {
					g, m := k*size[0]/tries, k*size[1]/tries
					smaller := without(v, g, -1)
					var demand, capacity, had float64
					for _, gw := range v.Gateways {
						demand += gw.Demand
						if _, has := before[gw.Name][v.Members[m].Name]; has {
							had++
						}
					}
					for _, one := range v.Members {
						capacity += one.Capacity
					}
					s, o := movedLoad(smaller, before, algorithm.make(smaller, each))
					gatewayMoves = max(gatewayMoves, s/(v.Gateways[g].Demand/demand))
					boundedMoves = max(boundedMoves, s/max(v.Gateways[g].Demand/demand, 1/float64(size[0])))
					gatewayOpens = max(gatewayOpens, float64(o)/float64(len(before[v.Gateways[g].Name])))
					s, o = movedLoad(v, before, algorithm.make(without(v, -1, m), each))
					memberMoves = max(memberMoves, s/(v.Members[m].Capacity/capacity))
					memberOpens = max(memberOpens, float64(o)/had)
				}
				t.Logf("| %d x %d | %s | %s | %d | %.3f | %.3f | %.2f | %.2f | %.2f | %.2f |", size[0], size[1], map[bool]string{true: "uneven", false: "even"}[uneven],
					algorithm.name, pairs, highest, lowerBound, gatewayMoves, gatewayOpens, memberMoves, memberOpens)
				if i == 0 && (highest > 1.1 || pairs > DefaultConfig.GatewayPicks*size[0]+DefaultConfig.MemberPicks*size[1] || gatewayOpens > 1 || memberOpens > 1 || boundedMoves > 2 || memberMoves > 2) {
					t.Errorf("%v uneven=%v: most %.3f, pairs %d, moved %.2f %.2f, opened %.2f %.2f", size, uneven, highest, pairs, boundedMoves, memberMoves, gatewayOpens, memberOpens)
				}
			}
		}
	}
}
