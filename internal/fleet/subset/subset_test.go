package subset

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"reachwind/internal/fleet/seededhash"
	"reachwind/internal/fleet/view"
)

// TestRandomChanges applies random changes of one entry each and checks claims 1, 2, 4 (pairs), 5 and 7 of
// docs/design/subsets.md after each.
func TestRandomChanges(t *testing.T) {
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 7))
		v := randomView(rng, 2+rng.IntN(30), 3+rng.IntN(40), seed%2 == 1)
		before := planOf(v)
		for step := range 40 {
			next := without(v, -1, -1)
			ownPairs, kind := 0, rng.IntN(5)
			switch g, m := rng.IntN(len(v.Gateways)), rng.IntN(len(v.Members)); {
			case kind == 0 && len(v.Gateways) > 2:
				next, ownPairs = without(v, g, -1), len(before[v.Gateways[g].Name])
			case kind == 1 && len(v.Members) > 3:
				next = without(v, -1, m)
				for _, part := range before {
					if _, has := part[v.Members[m].Name]; has {
						ownPairs++
					}
				}
			case kind == 2:
				next.Gateways = append(next.Gateways, Gateway{Name: fmt.Sprint("new", seed, step), Zone: "b", Demand: 1 + 9*rng.Float64()})
			case kind == 3:
				next.Members = append(next.Members, Member{Name: fmt.Sprint("mnew", seed, step), Zone: "c", Capacity: 1})
			default:
				next.Gateways[g].Demand = []float64{-1, math.NaN(), math.Inf(1), 0, 1e300, 1e-300, 10 * rng.Float64()}[rng.IntN(7)]
				kind = 4
			}
			now := planOf(next)
			mixed := next
			mixed.Gateways = slices.Clone(next.Gateways)
			rng.Shuffle(len(mixed.Gateways), func(a, b int) {
				mixed.Gateways[a], mixed.Gateways[b] = mixed.Gateways[b], mixed.Gateways[a]
			})
			pairs := 0
			for g, part := range planOf(mixed) {
				sum := 0.0
				for m, w := range part {
					if now[g][m] != w || !(w >= 0) {
						t.Fatalf("seed %d step %d: %s to %s is %v in one order and %v in another", seed, step, g, m, now[g][m], w)
					}
					sum += w
				}
				if pairs += len(part); math.Abs(sum-1) > 1e-9 {
					t.Fatalf("seed %d step %d: the weights of %s add up to %v", seed, step, g, sum)
				}
			}
			if most := DefaultConfig.GatewayPicks*len(next.Gateways) + DefaultConfig.MemberPicks*len(next.Members); pairs > most {
				t.Fatalf("seed %d step %d: %d pairs, at most %d", seed, step, pairs, most)
			}
			if _, opened := movedLoad(next, before, now); kind < 2 && opened > ownPairs {
				t.Fatalf("seed %d step %d: %d new pairs after the removal of an entry with %d", seed, step, opened, ownPairs)
			}
			v, before = next, now
		}
	}
}

// TestTwoViews checks claim 5 and prints the highest load that gateways with two different views put on one
// member.
func TestTwoViews(t *testing.T) {
	for _, uneven := range []bool{false, true} {
		v := randomView(rand.New(rand.NewPCG(1, 2)), 300, 120, uneven)
		third := without(v, -1, -1)
		third.Gateways = slices.DeleteFunc(third.Gateways, func(g Gateway) bool { return g.Zone == "c" })
		half := without(v, -1, -1)
		half.Members = half.Members[:60]
		a := planOf(v)
		for what, other := range map[string]View{"one gateway": without(v, 7, -1), "one member": without(v, -1, 7),
			"a zone's gateways": third, "half the members": half} {
			b := planOf(other)
			// Worst case per member: every gateway uses the view that sends it more.
			sums, both := map[string]float64{}, map[string]float64{}
			var carried, capacity, worst float64
			for _, g := range v.Gateways {
				carried += g.Demand
				for _, m := range v.Members {
					sums[m.Name] += g.Demand * max(a[g.Name][m.Name], b[g.Name][m.Name])
					both[m.Name] += g.Demand * (a[g.Name][m.Name] + b[g.Name][m.Name])
				}
			}
			for _, m := range v.Members {
				capacity += m.Capacity
			}
			for _, m := range v.Members {
				worst = max(worst, sums[m.Name]/carried/(m.Capacity/capacity))
				if sums[m.Name] > both[m.Name]+1e-9 {
					t.Errorf("%s: %s has more load than both views give it together", what, m.Name)
				}
			}
			t.Logf("uneven=%v, views differ by %s: highest relative load %.2f", uneven, what, worst)
			if limit := map[string]float64{"half the members": 3.3}[what]; worst > max(limit, 2.2) {
				t.Errorf("%s: highest relative load %.2f", what, worst)
			}
		}
	}
}

// TestCutOff checks claim 8 and prints the load from 100 gateways that are each cut off, with the expected
// number of gateways known and without.
func TestCutOff(t *testing.T) {
	v := randomView(rand.New(rand.NewPCG(1, 2)), 100, 40, false)
	whole := planOf(v)
	for _, expected := range []int{100, 0} {
		each := assignment{}
		for _, g := range v.Gateways {
			mine := planOf(View{Group: "g", Gateways: []Gateway{g}, Members: v.Members, Verdict: view.Alone, Expected: expected})
			each[g.Name] = mine[g.Name]
		}
		_, pairs := maxLoad(v, whole)
		most, alone := maxLoad(v, each)
		t.Logf("100 gateways cut off, %d expected: highest load %.2f, %d pairs; %d pairs in one group", expected, most, alone, pairs)
		if expected > 0 && (alone > pairs*3/2 || most > 2.2) {
			t.Errorf("highest load %.2f, %d pairs, %d in one group", most, alone, pairs)
		}
	}
}

// TestPick checks claim 6 with random states.
func TestPick(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	p, err := New(DefaultConfig, randomView(rng, 40, 120, true))
	if err != nil {
		t.Fatal(err)
	}
	for range 60 {
		part := p.Subset("gw-0007")
		unfitRate, states := rng.Float64(), map[string]State{}
		fit := map[bool]float64{} // true: weight of the fit members in the subset; false: number of fit members outside
		for _, m := range p.members {
			if rng.Float64() < unfitRate*1.2 {
				states[m.Name] = State(1 + rng.IntN(States-1))
			}
		}
		shares := map[string]float64{}
		for _, s := range part.Shares() {
			if shares[s.Member] = s.Weight; states[s.Member] == Fit {
				fit[true] += s.Weight
			}
		}
		for _, m := range part.substitutes {
			if states[m] == Fit {
				fit[false]++
			}
		}
		const n = 4000
		got, left := map[string]float64{}, uint64(0)
		for i := range n {
			m, ok := part.Pick((float64(i)+0.5)/n, func(m string) State { return states[m] })
			if ok != (fit[true] > 0 || fit[false] > 0) || ok && states[m] != Fit {
				t.Fatalf("picked %q, %v, whose state is %v; fit %v", m, ok, states[m], fit)
			}
			got[m] += 1.0 / n
		}
		for c := range States {
			left += part.Counts.Inside[c] + part.Counts.Outside[c]
		}
		if want := (1 - fit[true]) * n; math.Abs(float64(left+part.Counts.NoneFit)-want) > 15 || left > 0 && part.Counts.Inside[Fit]+part.Counts.Outside[Fit] > 0 {
			t.Fatalf("%d reads counted as sent elsewhere, want %.0f: %+v", left, want, part.Counts)
		}
		for m, w := range got {
			if was, in := shares[m]; in && fit[false] > 0 && w > 2*was+0.01 {
				t.Fatalf("%s has %.3f, its share is %.3f, fit %v", m, w, was, fit)
			} else if !in && m != "" && fit[true] >= minFitWeight {
				t.Fatalf("%s substitutes although %.2f of the subset is fit", m, fit[true])
			}
		}
	}
	part := p.Subset("gw-0007")
	if n := testing.AllocsPerRun(100, func() { part.Pick(0.5, func(string) State { return Full }) }); n > 0 {
		t.Errorf("Pick allocates %v times", n)
	}
}

func TestLimits(t *testing.T) {
	var many *TooManyError
	if _, err := New(DefaultConfig, View{Members: make([]Member, MaxMembers+1)}); !errors.As(err, &many) {
		t.Errorf("error %v for too many members", err)
	}
	for _, v := range []View{{}, {Gateways: []Gateway{{Name: "a"}, {Name: "a"}}}, {Members: []Member{{Name: "m"}}},
		{Gateways: []Gateway{{Name: "a"}}, Members: []Member{{Name: "m", Out: true}}}} {
		p, err := New(Config{}, v)
		if err != nil || p.PairCount() != 0 {
			t.Errorf("%+v: %v, %v", v, p, err)
		}
		if part := p.Subset("a"); part != nil {
			if _, ok := part.Pick(0, func(string) State { return Fit }); ok {
				t.Error("picked a member although there is none")
			}
		}
	}
}

func BenchmarkNew(b *testing.B) {
	for _, n := range [][2]int{{40, 120}, {300, 120}, {1000, 1000}} {
		v := randomView(rand.New(rand.NewPCG(1, 2)), n[0], n[1], true)
		b.Run(fmt.Sprintf("%dx%d", n[0], n[1]), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				New(DefaultConfig, v)
			}
		})
	}
}

// TestCoarseDemand checks claim 3 if gateways report their demand in eighths of the maximum, as view.Meta
// does, and prints what moves if half of the gateways or members go at once.
func TestCoarseDemand(t *testing.T) {
	v := randomView(rand.New(rand.NewPCG(1, 2)), 300, 120, true)
	told := without(v, -1, -1)
	for i, g := range told.Gateways {
		told.Gateways[i].Demand = max(math.Round(g.Demand*0.8), 1) / 0.8
	}
	most, _ := maxLoad(v, planOf(told))
	t.Logf("demand in eighths: highest load %.3f", most)
	if most > 1.25 {
		t.Errorf("highest load %.3f", most)
	}
	was, half := planOf(v), without(v, -1, -1)
	half.Gateways = slices.DeleteFunc(half.Gateways, func(g Gateway) bool { return seededhash.Chain(0, g.Name)%2 == 0 })
	s, opened := movedLoad(half, was, planOf(half))
	t.Logf("half the gateways leave: %.2f of the others' load moves, %d new pairs of %d gateways", s, opened, len(half.Gateways))
	half = without(v, -1, -1)
	half.Members = slices.DeleteFunc(half.Members, func(m Member) bool { return seededhash.Chain(0, m.Name)%2 == 0 })
	s, opened = movedLoad(v, was, planOf(half))
	t.Logf("half the members leave: %.2f of the load moves, %d new pairs of %d gateways", s, opened, len(v.Gateways))
}
