package loadsignal

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// play has 12 gateways that choose among 12 members by weight, one of them at half its speed from
// the fifth second on, and tell each other by digests that take half a second. It returns how
// far one member's intake swings about its mean, and what the slow member has waiting, both after 15 s.
func play(seed uint64, prepare func(*Book)) (swing, slow float64) {
	const gateways, members, ticks, late = 12, 12, 300, 5
	rng := rand.New(rand.NewPCG(seed, 1))
	var ms []Member
	for m := range members {
		ms = append(ms, Member{fmt.Sprint("m", m), 1})
	}
	var books []*Book
	var out [gateways][members]float64
	var sent [][]Digest
	for g := range gateways {
		books = append(books, New(fmt.Sprint("g", g), 1))
		prepare(books[g])
	}
	var in, waits []float64
	for tick := range ticks {
		now := Time(tick+1) * Tick
		var taken, waiting [members]float64
		for g, b := range books {
			total := 0.0
			for _, m := range ms {
				total += b.Weight(m.Name)
			}
			for range 80 {
				at, m := rng.Float64()*total, 0
				for ; m < members-1 && at >= b.Weight(ms[m].Name); m++ {
					at -= b.Weight(ms[m].Name)
				}
				out[g][m]++
				taken[m]++
			}
		}
		for m := range members {
			for g := range gateways {
				waiting[m] += out[g][m]
			}
			can := 100.0
			if m == 0 && tick > 50 {
				can = 50
			}
			for g := range gateways {
				out[g][m] *= 1 - min(1, can/max(waiting[m], 1))
			}
		}
		if tick > 150 {
			for _, n := range taken {
				in = append(in, n)
			}
			waits = append(waits, waiting[0])
		}
		var round []Digest
		for g, b := range books {
			var lines []Line
			for m := range ms {
				lines = append(lines, Line{ms[m].Name, uint32(out[g][m] + 0.5), Time(waiting[m] / 100 * float64(Tick))})
			}
			b.Note(lines)
			round = append(round, b.Digest())
			if tick >= late {
				for _, d := range sent[tick-late] {
					b.Told(now, d)
				}
			}
			b.Weigh(now, ms)
		}
		sent = append(sent, round)
	}
	// Each member's intake against its own mean.
	for m := range members {
		mean, dev, n := 0.0, 0.0, 0.0
		for i := m; i < len(in); i += members {
			mean, n = mean+in[i], n+1
		}
		for i := m; i < len(in); i += members {
			dev += (in[i] - mean/n) * (in[i] - mean/n)
		}
		swing = max(swing, math.Sqrt(dev/n)/(mean/n))
	}
	for _, w := range waits {
		slow += w / float64(len(waits))
	}
	return swing, slow
}

func TestSwing(t *testing.T) {
	damped, slow := play(1, func(*Book) {})
	wild, slowWild := play(1, func(b *Book) { b.step = 1 })
	without, slowWithout := play(1, func(b *Book) { b.step = 0 })
	t.Logf("swing %.2f damped, %.2f not, %.2f with no signal; the slow member has waiting %.0f, %.0f, %.0f", damped, wild, without, slow, slowWild, slowWithout)
	if damped > wild/1.5 || slow > slowWithout/2 {
		t.Errorf("swing %.2f damped, %.2f not; waiting %.0f, without %.0f", damped, wild, slow, slowWithout)
	}
}

// TestSteps tells a book anything, and holds claims 1 to 4 and the bounds.
func TestSteps(t *testing.T) {
	for seed := range uint64(2) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b, ms, now := New("me", 1), []Member{{"a", 1}, {"b", math.NaN()}, {"c", -2}, {"d", 4}}, Time(0)
		numbers := map[string][2]uint64{}
		for range 3000 {
			now += Time(rng.Int64N(int64(Tick)))
			d := Digest{Gateway: fmt.Sprint("g", rng.IntN(1200)), Epoch: rng.Uint64N(3), Number: rng.Uint64N(100)}
			for range rng.IntN(80) {
				d.Lines = append(d.Lines, Line{ms[rng.IntN(4)].Name + []string{"", "x"}[rng.IntN(2)], rng.Uint32() >> rng.IntN(32), Time(rng.Int64()) >> rng.IntN(60)})
			}
			was, known := numbers[d.Gateway]
			if _, held := b.told[d.Gateway]; held && known && (d.Epoch < was[0] || d.Epoch == was[0] && d.Number <= was[1]) == b.Told(now, d) {
				t.Fatalf("seed %d: %v after %v", seed, d, was)
			} else if !held && !b.Told(now, d) {
				t.Fatalf("seed %d: %v was not news", seed, d)
			}
			numbers[d.Gateway] = [2]uint64{b.told[d.Gateway].Epoch, b.told[d.Gateway].Number}
			var before [4]float64
			for i, m := range ms {
				before[i] = b.Weight(m.Name)
			}
			b.Weigh(now, ms)
			for i, m := range ms {
				if w := b.Weight(m.Name); !(w >= Least && w <= Most) || math.Abs(w-before[i]) > Step*(Most-Least)+1e-9 {
					t.Fatalf("seed %d: weight of %s goes from %v to %v", seed, m.Name, before[i], w)
				}
			}
			if len(b.told) > MostGateways {
				t.Fatalf("%d gateways held", len(b.told))
			}
		}
		for range 300 {
			now += time.Second
			b.Weigh(now, []Member{{"a", 1}, {"c", 1}})
		}
		if w := b.Weight("a"); math.Abs(w-1) > 0.01 || len(b.told) > 0 {
			t.Errorf("seed %d: weight %v and %d held long after the last word", seed, w, len(b.told))
		}
	}
}

// TestLiar has one of 20 tell anything of member a, and measures what that moves, with the guard and without.
func TestLiar(t *testing.T) {
	weight := func(lie uint32, share float64) float64 {
		b, ms := New("me", 1), []Member{{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}}
		b.share = share
		for tick := range 200 {
			now := Time(tick+1) * Tick
			for g := range 20 {
				d := Digest{Gateway: fmt.Sprint("g", g), Epoch: 1, Number: uint64(tick + 1)}
				for _, m := range ms {
					d.Lines = append(d.Lines, Line{m.Name, 10, 20 * time.Millisecond})
				}
				if g == 0 {
					d.Lines[0].Out, d.Lines[0].Latency = lie, MostLatency
				}
				b.Told(now, d)
			}
			b.Weigh(now, ms)
		}
		return b.Weight("a")
	}
	high, low, open := weight(MostOut, Share), weight(0, Share), weight(MostOut, MostOut)
	t.Logf("weight of a member that one of 20 lies about: %.3f said to be full, %.3f said to be idle; %.3f without the guard", high, low, open)
	if high < 0.9 || low > 1.05 || open > 0.6 {
		t.Errorf("weights %.3f, %.3f, %.3f", high, low, open)
	}
}
