package loadsignal

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// simulate runs 12 gateways that choose among 12 members by weight, one member at half its speed from the
// fifth second on. Digests take half a second to arrive. It returns how far one member's intake varies about
// its mean, and the requests that wait at the slow member, both after 15 s.
func simulate(seed uint64, prepare func(*Estimator)) (variation, waitingAtSlow float64) {
	const gateways, members, ticks, late = 12, 12, 300, 5
	rng := rand.New(rand.NewPCG(seed, 1))
	var ms []Member
	for m := range members {
		ms = append(ms, Member{fmt.Sprint("m", m), 1})
	}
	var books []*Estimator
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
			b.SetOwn(lines)
			round = append(round, b.Digest())
			if tick >= late {
				for _, d := range sent[tick-late] {
					b.HandleDigest(now, d)
				}
			}
			b.UpdateWeights(now, ms)
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
		variation = max(variation, math.Sqrt(dev/n)/(mean/n))
	}
	for _, w := range waits {
		waitingAtSlow += w / float64(len(waits))
	}
	return variation, waitingAtSlow
}

func TestWeightOscillation(t *testing.T) {
	damped, slowDamped := simulate(1, func(*Estimator) {})
	undamped, slowUndamped := simulate(1, func(b *Estimator) { b.maxStep = 1 })
	without, slowWithout := simulate(1, func(b *Estimator) { b.maxStep = 0 })
	t.Logf("variation %.2f damped, %.2f undamped, %.2f without the signal; requests waiting at the slow member: %.0f, %.0f, %.0f", damped, undamped, without, slowDamped, slowUndamped, slowWithout)
	if damped > undamped/1.5 || slowDamped > slowWithout/2 {
		t.Errorf("variation %.2f damped, %.2f undamped; waiting %.0f, without the signal %.0f", damped, undamped, slowDamped, slowWithout)
	}
}

// TestRandomDigests feeds a book random digests and checks rules 1 to 4 of the package comment and the limits.
func TestRandomDigests(t *testing.T) {
	for seed := range uint64(2) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b, ms, now := New("me", 1), []Member{{"a", 1}, {"b", math.NaN()}, {"c", -2}, {"d", 4}}, Time(0)
		latest := map[string][2]uint64{}
		for range 3000 {
			now += Time(rng.Int64N(int64(Tick)))
			d := Digest{Gateway: fmt.Sprint("g", rng.IntN(1200)), Epoch: rng.Uint64N(3), Number: rng.Uint64N(100)}
			for range rng.IntN(80) {
				d.Lines = append(d.Lines, Line{ms[rng.IntN(4)].Name + []string{"", "x"}[rng.IntN(2)], rng.Uint32() >> rng.IntN(32), Time(rng.Int64()) >> rng.IntN(60)})
			}
			was, known := latest[d.Gateway]
			if _, held := b.digests[d.Gateway]; held && known && (d.Epoch < was[0] || d.Epoch == was[0] && d.Number <= was[1]) == b.HandleDigest(now, d) {
				t.Fatalf("seed %d: digest %v after epoch and number %v is wrongly accepted or refused", seed, d, was)
			} else if !held && !b.HandleDigest(now, d) {
				t.Fatalf("seed %d: digest %v was not accepted", seed, d)
			}
			latest[d.Gateway] = [2]uint64{b.digests[d.Gateway].Epoch, b.digests[d.Gateway].Number}
			var before [4]float64
			for i, m := range ms {
				before[i] = b.Weight(m.Name)
			}
			b.UpdateWeights(now, ms)
			for i, m := range ms {
				if w := b.Weight(m.Name); !(w >= MinWeight && w <= MaxWeight) || math.Abs(w-before[i]) > MaxStep*(MaxWeight-MinWeight)+1e-9 {
					t.Fatalf("seed %d: weight of %s goes from %v to %v", seed, m.Name, before[i], w)
				}
			}
			if len(b.digests) > MaxGateways {
				t.Fatalf("digests of %d gateways held", len(b.digests))
			}
		}
		for range 300 {
			now += time.Second
			b.UpdateWeights(now, []Member{{"a", 1}, {"c", 1}})
		}
		if w := b.Weight("a"); math.Abs(w-1) > 0.01 || len(b.digests) > 0 {
			t.Errorf("seed %d: weight %v and %d digests held long after the last report", seed, w, len(b.digests))
		}
	}
}

// TestFalseReports measures how far one of 20 gateways with false reports moves the weight of a member, with
// the limit on each report and without.
func TestFalseReports(t *testing.T) {
	weight := func(lie uint32, share float64) float64 {
		b, ms := New("me", 1), []Member{{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}}
		b.reportLimit = share
		for tick := range 200 {
			now := Time(tick+1) * Tick
			for g := range 20 {
				d := Digest{Gateway: fmt.Sprint("g", g), Epoch: 1, Number: uint64(tick + 1)}
				for _, m := range ms {
					d.Lines = append(d.Lines, Line{m.Name, 10, 20 * time.Millisecond})
				}
				if g == 0 {
					d.Lines[0].Outstanding, d.Lines[0].Latency = lie, MaxLatency
				}
				b.HandleDigest(now, d)
			}
			b.UpdateWeights(now, ms)
		}
		return b.Weight("a")
	}
	high, low, open := weight(MaxOutstanding, MaxReportMultiple), weight(0, MaxReportMultiple), weight(MaxOutstanding, MaxOutstanding)
	t.Logf("weight of a member that one of 20 gateways reports falsely: %.3f as full, %.3f as idle; %.3f without the limit", high, low, open)
	if high < 0.9 || low > 1.05 || open > 0.6 {
		t.Errorf("weights %.3f as full, %.3f as idle, %.3f without the limit", high, low, open)
	}
}
