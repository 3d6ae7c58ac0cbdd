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

// TestSteps takes random steps, each a change of one entry, and holds claims 1, 2, 4 (pairs), 5 and 7 after each.
func TestSteps(t *testing.T) {
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 7))
		v := fleet(rng, 2+rng.IntN(30), 3+rng.IntN(40), seed%2 == 1)
		was := planned(v)
		for step := range 40 {
			next := without(v, -1, -1)
			own, kind := 0, rng.IntN(5)
			switch g, m := rng.IntN(len(v.Gateways)), rng.IntN(len(v.Members)); {
			case kind == 0 && len(v.Gateways) > 2:
				next, own = without(v, g, -1), len(was[v.Gateways[g].Name])
			case kind == 1 && len(v.Members) > 3:
				next = without(v, -1, m)
				for _, part := range was {
					if _, has := part[v.Members[m].Name]; has {
						own++
					}
				}
			case kind == 2:
				next.Gateways = append(next.Gateways, Gateway{Name: fmt.Sprint("new", seed, step), Zone: "b", Carries: 1 + 9*rng.Float64()})
			case kind == 3:
				next.Members = append(next.Members, Member{Name: fmt.Sprint("mnew", seed, step), Zone: "c", Capacity: 1})
			default:
				next.Gateways[g].Carries = []float64{-1, math.NaN(), math.Inf(1), 0, 1e300, 1e-300, 10 * rng.Float64()}[rng.IntN(7)]
				kind = 4
			}
			now := planned(next)
			mixed := next
			mixed.Gateways = slices.Clone(next.Gateways)
			rng.Shuffle(len(mixed.Gateways), func(a, b int) {
				mixed.Gateways[a], mixed.Gateways[b] = mixed.Gateways[b], mixed.Gateways[a]
			})
			pairs := 0
			for g, part := range planned(mixed) {
				sum := 0.0
				for m, w := range part {
					if now[g][m] != w || !(w >= 0) {
						t.Fatalf("seed %d step %d: %s to %s is %v in one order and %v in another", seed, step, g, m, now[g][m], w)
					}
					sum += w
				}
				if pairs += len(part); math.Abs(sum-1) > 1e-9 {
					t.Fatalf("seed %d step %d: %s sends %v in all", seed, step, g, sum)
				}
			}
			if most := Usual.Picks*len(next.Gateways) + Usual.Asks*len(next.Members); pairs > most {
				t.Fatalf("seed %d step %d: %d pairs, at most %d", seed, step, pairs, most)
			}
			if _, opened := moved(next, was, now); kind < 2 && opened > own {
				t.Fatalf("seed %d step %d: %d new pairs after one went that had %d", seed, step, opened, own)
			}
			v, was = next, now
		}
	}
}

// TestTwoViews holds claim 5, and prints the worst that gateways of two views do to one member at once.
func TestTwoViews(t *testing.T) {
	for _, uneven := range []bool{false, true} {
		v := fleet(rand.New(rand.NewPCG(1, 2)), 300, 120, uneven)
		third := without(v, -1, -1)
		third.Gateways = slices.DeleteFunc(third.Gateways, func(g Gateway) bool { return g.Zone == "c" })
		half := without(v, -1, -1)
		half.Members = half.Members[:60]
		a := planned(v)
		for what, other := range map[string]View{"one gateway": without(v, 7, -1), "one member": without(v, -1, 7),
			"a zone's gateways": third, "half the members": half} {
			b := planned(other)
			// Each member by itself: all gateways have the view that sends it more.
			sums, both := map[string]float64{}, map[string]float64{}
			var carried, capacity, worst float64
			for _, g := range v.Gateways {
				carried += g.Carries
				for _, m := range v.Members {
					sums[m.Name] += g.Carries * max(a[g.Name][m.Name], b[g.Name][m.Name])
					both[m.Name] += g.Carries * (a[g.Name][m.Name] + b[g.Name][m.Name])
				}
			}
			for _, m := range v.Members {
				capacity += m.Capacity
			}
			for _, m := range v.Members {
				worst = max(worst, sums[m.Name]/carried/(m.Capacity/capacity))
				if sums[m.Name] > both[m.Name]+1e-9 {
					t.Errorf("%s: %s has more than by both views", what, m.Name)
				}
			}
			t.Logf("uneven=%v, views apart by %s: worst member %.2f", uneven, what, worst)
			if limit := map[string]float64{"half the members": 3.3}[what]; worst > max(limit, 2.2) {
				t.Errorf("%s: worst member %.2f", what, worst)
			}
		}
	}
}

// TestCutOff holds claim 8, and prints what 100 gateways do that are each alone, with the guard and without.
func TestCutOff(t *testing.T) {
	v := fleet(rand.New(rand.NewPCG(1, 2)), 100, 40, false)
	whole := planned(v)
	for _, expected := range []int{100, 0} {
		each := parts{}
		for _, g := range v.Gateways {
			mine := planned(View{Group: "g", Gateways: []Gateway{g}, Members: v.Members, Verdict: view.Alone, Expected: expected})
			each[g.Name] = mine[g.Name]
		}
		_, pairs := load(v, whole)
		most, alone := load(v, each)
		t.Logf("100 alone, expected %d: load %.2f, %d pairs; whole %d pairs", expected, most, alone, pairs)
		if expected > 0 && (alone > pairs*3/2 || most > 2.2) {
			t.Errorf("load %.2f, pairs %d of %d", most, alone, pairs)
		}
	}
}

// TestPick holds claim 6 against random states.
func TestPick(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	p, err := New(Usual, fleet(rng, 40, 120, true))
	if err != nil {
		t.Fatal(err)
	}
	for range 60 {
		part := p.Part("gw-0007")
		sick, states := rng.Float64(), map[string]State{}
		fit := map[bool]float64{} // weight of the fit, in the part or number outside
		for _, m := range p.members {
			if rng.Float64() < sick*1.2 {
				states[m.Name] = State(1 + rng.IntN(States-1))
			}
		}
		shares := map[string]float64{}
		for _, s := range part.Shares() {
			if shares[s.Member] = s.Weight; states[s.Member] == Fit {
				fit[true] += s.Weight
			}
		}
		for _, m := range part.outside {
			if states[m] == Fit {
				fit[false]++
			}
		}
		const n = 4000
		got, left := map[string]float64{}, uint64(0)
		for i := range n {
			m, ok := part.Pick((float64(i)+0.5)/n, func(m string) State { return states[m] })
			if ok != (fit[true] > 0 || fit[false] > 0) || ok && states[m] != Fit {
				t.Fatalf("picked %q %v which is %v; fit %v", m, ok, states[m], fit)
			}
			got[m] += 1.0 / n
		}
		for c := range States {
			left += part.Counts.Within[c] + part.Counts.Outside[c]
		}
		if want := (1 - fit[true]) * n; math.Abs(float64(left+part.Counts.Nobody)-want) > 15 || left > 0 && part.Counts.Within[Fit]+part.Counts.Outside[Fit] > 0 {
			t.Fatalf("%d reads counted as having left, want %.0f: %+v", left, want, part.Counts)
		}
		for m, w := range got {
			if was, in := shares[m]; in && fit[false] > 0 && w > 2*was+0.01 {
				t.Fatalf("%s has %.3f, its share is %.3f, fit %v", m, w, was, fit)
			} else if !in && m != "" && fit[true] >= keep {
				t.Fatalf("%s stands in though %.2f of the part is fit", m, fit[true])
			}
		}
	}
	part := p.Part("gw-0007")
	if n := testing.AllocsPerRun(100, func() { part.Pick(0.5, func(string) State { return Full }) }); n > 0 {
		t.Errorf("a pick allocates %v times", n)
	}
}

func TestBounds(t *testing.T) {
	var many *TooMany
	if _, err := New(Usual, View{Members: make([]Member, MostMembers+1)}); !errors.As(err, &many) {
		t.Errorf("%v for too many members", err)
	}
	for _, v := range []View{{}, {Gateways: []Gateway{{Name: "a"}, {Name: "a"}}}, {Members: []Member{{Name: "m"}}},
		{Gateways: []Gateway{{Name: "a"}}, Members: []Member{{Name: "m", Out: true}}}} {
		p, err := New(Config{}, v)
		if err != nil || p.Size() != 0 {
			t.Errorf("%+v: %v, %v", v, p, err)
		}
		if part := p.Part("a"); part != nil {
			if _, ok := part.Pick(0, func(string) State { return Fit }); ok {
				t.Error("picked a member of none")
			}
		}
	}
}

func BenchmarkNew(b *testing.B) {
	for _, n := range [][2]int{{40, 120}, {300, 120}, {1000, 1000}} {
		v := fleet(rand.New(rand.NewPCG(1, 2)), n[0], n[1], true)
		b.Run(fmt.Sprintf("%dx%d", n[0], n[1]), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				New(Usual, v)
			}
		})
	}
}

// TestRough holds claim 3 where gateways tell what they carry in eighths of the most, as view.Meta does,
// and prints what moves when half of the gateways or members go at once.
func TestRough(t *testing.T) {
	v := fleet(rand.New(rand.NewPCG(1, 2)), 300, 120, true)
	told := without(v, -1, -1)
	for i, g := range told.Gateways {
		told.Gateways[i].Carries = max(math.Round(g.Carries*0.8), 1) / 0.8
	}
	most, _ := load(v, planned(told))
	t.Logf("told in eighths: load %.3f", most)
	if most > 1.25 {
		t.Errorf("load %.3f", most)
	}
	was, half := planned(v), without(v, -1, -1)
	half.Gateways = slices.DeleteFunc(half.Gateways, func(g Gateway) bool { return seededhash.Of(0, g.Name)%2 == 0 })
	s, opened := moved(half, was, planned(half))
	t.Logf("half the gateways go: %.2f of the others' load moves, %d new pairs of %d gateways", s, opened, len(half.Gateways))
	half = without(v, -1, -1)
	half.Members = slices.DeleteFunc(half.Members, func(m Member) bool { return seededhash.Of(0, m.Name)%2 == 0 })
	s, opened = moved(v, was, planned(half))
	t.Logf("half the members go: %.2f of the load moves, %d new pairs of %d gateways", s, opened, len(v.Gateways))
}
