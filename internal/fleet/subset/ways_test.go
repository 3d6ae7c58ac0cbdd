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

// parts are what each gateway sends each member, by names.
type parts map[string]map[string]float64

func names(kind string, n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("%s-%04d", kind, i))
	}
	return all
}

// fleet draws a view: uneven has gateways carry from 1 to 10, a tenth of them 10, and members differ fourfold.
func fleet(rng *rand.Rand, gs, ms int, uneven bool) View {
	v := View{Group: "g", Verdict: view.Majority}
	for i, n := range names("gw", gs) {
		g := Gateway{Name: n, Zone: string(rune('a' + i%3)), Carries: 1}
		if uneven {
			if g.Carries = 1 + 3*rng.Float64(); i%10 == 0 {
				g.Carries = 10
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

func planned(v View) parts {
	p, err := New(Usual, v)
	if err != nil {
		panic(err)
	}
	out := parts{}
	for g, gw := range p.gateways {
		out[gw.Name] = map[string]float64{}
		for _, e := range p.of(g) {
			out[gw.Name][p.members[e.m].Name] = e.weight
		}
	}
	return out
}

// chosen is the part of each gateway by a choice of size members each, weighted by capacity.
func chosen(v View, choose func(at int, g Gateway) []Member) parts {
	out := parts{}
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

// The ways weighed, each with parts of size members.
var ways = []struct {
	name string
	make func(v View, size int) parts
}{
	{"two-sided rendezvous, scaled", func(v View, _ int) parts { return planned(v) }},
	{"random parts", func(v View, size int) parts {
		return chosen(v, func(_ int, g Gateway) []Member {
			// By the gateway's own seed over the list as it is, as a client without talk would.
			ms := slices.Clone(v.Members)
			rand.New(rand.NewPCG(seededhash.Of(0, g.Name), 1)).Shuffle(len(ms), func(a, b int) { ms[a], ms[b] = ms[b], ms[a] })
			return ms[:min(size, len(ms))]
		})
	}},
	{"rendezvous", func(v View, size int) parts {
		return chosen(v, func(_ int, g Gateway) []Member {
			var list []scored
			for i, m := range v.Members {
				list = least(list, size, scored{i, score(seededhash.Of(seededhash.Of(0, g.Name), m.Name), 1)})
			}
			var out []Member
			for _, s := range list {
				out = append(out, v.Members[s.at])
			}
			return out
		})
	}},
	{"rounds of shuffles", func(v View, size int) parts {
		rounds := max(1, len(v.Members)/size)
		return chosen(v, func(at int, _ Gateway) []Member {
			ms := slices.Clone(v.Members)
			rand.New(rand.NewPCG(uint64(at/rounds), 1)).Shuffle(len(ms), func(a, b int) { ms[a], ms[b] = ms[b], ms[a] })
			from := at % rounds * size
			return ms[min(from, len(ms)):min(from+size, len(ms))]
		})
	}},
	{"ring, fractional overlap", func(v View, size int) parts {
		// Gateways' arcs are as what they carry, widened evenly so that they overlap size members on average;
		// members' arcs are as their capacity. Both stand in the order of their hashes.
		var carried, capacity float64
		gs, ms := slices.Clone(v.Gateways), slices.Clone(v.Members)
		slices.SortFunc(gs, func(a, b Gateway) int { return int(seededhash.Of(0, a.Name)>>33) - int(seededhash.Of(0, b.Name)>>33) })
		slices.SortFunc(ms, func(a, b Member) int { return int(seededhash.Of(0, a.Name)>>33) - int(seededhash.Of(0, b.Name)>>33) })
		for _, g := range gs {
			carried += g.Carries
		}
		for _, m := range ms {
			capacity += m.Capacity
		}
		laps := max(1, math.Round(float64(size)*float64(len(gs))/float64(len(ms))))
		out, from := parts{}, 0.0
		for _, g := range gs {
			wide := min(g.Carries/carried*laps, 1)
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
			from = math.Mod(from+g.Carries/carried, 1)
		}
		return out
	}},
}

// load is the most that a member has over its capacity's part, and the pairs in use.
func load(v View, p parts) (most float64, pairs int) {
	sums := map[string]float64{}
	var carried, capacity float64
	for _, g := range v.Gateways {
		carried += g.Carries
		pairs += len(p[g.Name])
		for m, w := range p[g.Name] {
			sums[m] += w * g.Carries
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

// moved is how much of the gateways' load in both goes elsewhere, and the pairs that are new.
func moved(v View, a, b parts) (sum float64, opened int) {
	var carried float64
	for _, g := range v.Gateways {
		carried += g.Carries
		for m, w := range b[g.Name] {
			if a[g.Name] == nil {
				break
			}
			if was, had := a[g.Name][m]; !had {
				opened++
				sum += w * g.Carries
			} else if w > was {
				sum += (w - was) * g.Carries
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

// bound is what no assignment over the pairs given can have its worst member below, by flow:
// the least load for which all that gateways carry finds its way.
func bound(v View, p parts) float64 {
	var carried, capacity float64
	at := map[string]int{}
	for _, g := range v.Gateways {
		carried += g.Carries
	}
	for i, m := range v.Members {
		capacity += m.Capacity
		at[m.Name] = i
	}
	low, high := 1.0, 1.0+1/4096.0
	fits := func(most float64) bool {
		room := make([]float64, len(v.Members))
		flow := make([]map[int]float64, len(v.Gateways))
		for i, m := range v.Members {
			room[i] = m.Capacity / capacity * most
		}
		for g, gw := range v.Gateways {
			flow[g] = map[int]float64{}
			for left := gw.Carries / carried; left > 1e-9; {
				// A shortest way from g to a member with room, back over what others could send elsewhere.
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
						if from[m] = h; room[m] > 1e-12 {
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
				push := min(left, room[end])
				for m := end; from[m] != g; m = via[from[m]] {
					push = min(push, flow[from[m]][via[from[m]]])
				}
				room[end] -= push
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

// TestWays holds claims 2 to 4 for the way taken, and prints the same figures for those that were left.
func TestWays(t *testing.T) {
	sizes := [][2]int{{2, 3}, {4, 12}, {40, 120}, {120, 12}}
	if *all {
		sizes = [][2]int{{2, 3}, {2, 1000}, {4, 12}, {12, 120}, {40, 120}, {300, 120}, {1000, 3}, {1000, 120}, {300, 1000}, {1000, 1000}}
	}
	for _, size := range sizes {
		for _, uneven := range []bool{false, true} {
			v := fleet(rand.New(rand.NewPCG(1, 2)), size[0], size[1], uneven)
			_, pairs := load(v, planned(v))
			each := (pairs + size[0] - 1) / size[0]
			for i, way := range ways {
				if i > 0 && !*all {
					break
				}
				was := way.make(v, each)
				most, pairs := load(v, was)
				least := math.NaN()
				if i == 0 && size[0] <= 300 && size[1] <= 120 {
					least = bound(v, was)
				}
				var gone, light, member, opens, opensM float64
				tries := min(8, size[0], size[1])
				for k := range tries {
					g, m := k*size[0]/tries, k*size[1]/tries
					less := without(v, g, -1)
					var carried, capacity, had float64
					for _, gw := range v.Gateways {
						carried += gw.Carries
						if _, has := was[gw.Name][v.Members[m].Name]; has {
							had++
						}
					}
					for _, one := range v.Members {
						capacity += one.Capacity
					}
					s, o := moved(less, was, way.make(less, each))
					gone = max(gone, s/(v.Gateways[g].Carries/carried))
					light = max(light, s/max(v.Gateways[g].Carries/carried, 1/float64(size[0])))
					opens = max(opens, float64(o)/float64(len(was[v.Gateways[g].Name])))
					s, o = moved(v, was, way.make(without(v, -1, m), each))
					member = max(member, s/(v.Members[m].Capacity/capacity))
					opensM = max(opensM, float64(o)/had)
				}
				t.Logf("| %d x %d | %s | %s | %d | %.3f | %.3f | %.2f | %.2f | %.2f | %.2f |", size[0], size[1], map[bool]string{true: "uneven", false: "even"}[uneven],
					way.name, pairs, most, least, gone, opens, member, opensM)
				if i == 0 && (most > 1.1 || pairs > Usual.Picks*size[0]+Usual.Asks*size[1] || opens > 1 || opensM > 1 || light > 2 || member > 2) {
					t.Errorf("%v uneven=%v: most %.3f, pairs %d, moved %.2f %.2f, opened %.2f %.2f", size, uneven, most, pairs, light, member, opens, opensM)
				}
			}
		}
	}
}
