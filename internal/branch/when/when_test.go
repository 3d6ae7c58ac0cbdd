package when

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"reachwind/internal/fleet/view"
)

const (
	ms        = time.Millisecond
	scenarios = uint64(800)
)

// trouble is what befalls an office in a play.
type trouble int

const (
	nothing   trouble = iota
	election          // members answer writes with refusals, and nothing else is asked
	hung              // one member of a group is silent
	oneGroup          // all of a group is
	stores            // all members are down, gateways beyond are there
	ownLink           // this gateway's own way out is broken, the office's others' is not
	slow              // this process stands still again and again
	unplugged         // it reaches nobody at all for some seconds
	quiet             // nothing is asked and nobody answers
	cut               // the office is cut off
	cutAlone          // and this gateway is cut off from the others too
	flap              // the link changes each 2 to 6 s for a minute
	troubleCount
)

// detectorScenario is one gateway that looks at its groups each half second, for two minutes; trouble lasts from 20 s to 80 s.
func detectorScenario(seed uint64, off Guard) error {
	rng := rand.New(rand.NewPCG(seed, 0x3e4))
	odds := func(p float64) bool { return rng.Float64() < p }
	what := trouble(seed % uint64(troubleCount))
	names := []string{"g1", "g2", "g3"}[:1+rng.IntN(3)]
	if what == oneGroup && len(names) == 1 {
		names = []string{"g1", "g2"}
	}
	loss := 0.2 * rng.Float64()
	j := New(Config{Groups: names}, 0, off)
	const from, to = 20 * time.Second, 80 * time.Second
	unplug := from + time.Duration(rng.IntN(4000)+4500)*ms
	far := 1 + rng.IntN(3)
	period := time.Duration(2000+rng.IntN(4000)) * ms
	changes, was, woke := 0, false, false
	var stands time.Duration // until then the process stands still
	for now := time.Duration(0); now < 200*time.Second; now += 250 * ms {
		in := now >= from && now < to
		down := in && (what == cut || what == cutAlone || what == ownLink || what == unplugged && now < unplug ||
			what == flap && (now-from)/period%2 == 0)
		if in && what == slow && stands <= now && odds(0.1) {
			stands = now + time.Duration(3000+rng.IntN(5000))*ms
		}
		if now < stands {
			woke = true
			continue
		}
		if woke { // looks that were out when it stood still all ran out
			for _, g := range names {
				j.RecordSilence(now, g)
				j.RecordSilence(now, g)
				j.RecordSilence(now, g)
			}
			woke = false
		}
		if now%(500*ms) == 0 && !(in && what == quiet) {
			for i, g := range names {
				for m := range 3 {
					silent := down || odds(loss) || in && (what == hung && m == 0 || what == oneGroup && i == 0 || what == stores)
					if silent {
						j.RecordSilence(now, g)
					} else {
						j.RecordAnswer(now, g, in && what == election)
					}
				}
			}
		}
		p := PeerView{Verdict: view.Majority, InOffice: 2, Beyond: far, SeesBeyond: !down}
		if in && what == election && odds(0.5) {
			p.Beyond = 0 // the data centre's gateways are being rolled meanwhile
		}
		if in && what == election {
			p.Beyond, p.SeesBeyond = 0, false
		}
		if in && (what == hung || what == oneGroup || what == quiet || what == slow) {
			p.Beyond, p.SeesBeyond = 0, false // nothing but looks to go by
		}
		if in && what == stores {
			p.SeesBeyond = false
		}
		if down {
			p.Beyond, p.Verdict = 0, view.Minority
			p.SeesBeyond = what == ownLink
			if what == cutAlone || what == unplugged {
				p.InOffice, p.Verdict = 0, view.Alone
			}
		}
		if j.Evaluate(now, p) {
			changes++
			if j.Status().CutOff == was {
				return fmt.Errorf("a change to the same")
			}
		}
		was = j.Status().CutOff
		isCut := what == cut || what == cutAlone || what == flap
		late := 5 * time.Second
		if what == cutAlone {
			late = 12 * time.Second
		}
		switch {
		case was && !isCut:
			return fmt.Errorf("trouble %d: cut off at %v: %s", what, now, j.Status().Reason)
		case !was && what != flap && isCut && now > from+late && now < to:
			return fmt.Errorf("trouble %d: not cut off at %v", what, now)
		case was && now < from || was && now > to+70*time.Second:
			return fmt.Errorf("trouble %d: cut off at %v, when the link had long been there", what, now)
		case what == flap && changes > 7:
			return fmt.Errorf("%d changes by %v", changes, now)
		}
	}
	return nil
}

// routeScenario is three gateways, clients that repeat their keys at any of them, cuts between all, kills. No key may have
// gone and be queued too, but where its replay begins in doubt; no gateway gives a key two receipts.
func routeScenario(seed uint64, off Guard) error {
	rng := rand.New(rand.NewPCG(seed, 0x3a75))
	marks, most := rng.IntN(2) == 0, 0
	if rng.IntN(3) == 0 {
		most = 4 + rng.IntN(8)
	}
	type gate struct {
		w       *RouteTable
		cut, up bool
		life    int
		queue   map[string]string
	}
	gates, apart := make([]*gate, 3), [3][3]bool{}
	for i := range gates {
		gates[i] = &gate{w: NewRouteTable(0, most, 0, true, off), up: true, queue: map[string]string{}}
	}
	went, plain := map[string]bool{}, map[string]bool{}
	type later struct {
		at Time
		do func() error
	}
	var todo []later
	now, receipts := Time(0), 0
	var try func(name string, first Time, retry bool) error
	try = func(name string, first Time, retry bool) error {
		if n := now + time.Duration(rng.IntN(5000))*ms; n < first+12*time.Second && rng.IntN(3) > 0 {
			todo = append(todo, later{n, func() error { return try(name, first, true) }})
		}
		i := rng.IntN(3)
		g := gates[i]
		if !g.up {
			return nil
		}
		way, _ := g.w.Decide(now, name, g.cut, retry && marks, marks)
		switch way {
		case Send:
			if rng.IntN(3) == 0 {
				g.w.RecordNoEffect(name)
			} else {
				went[name] = true
			}
		case AlreadyQueued:
			if _, ok := g.w.Receipt(name); !ok {
				return fmt.Errorf("%s is queued under no receipt", name)
			}
		case Queue:
			denied, missing, life := false, 0, g.life
			for k, o := range gates {
				if k == i {
					continue
				}
				if !o.up || apart[i][k] {
					missing++
				} else if v, ok := o.w.PromiseNotSent(now, name); !ok {
					missing++
				} else if !v {
					denied = true
				}
			}
			todo = append(todo, later{now + time.Duration(rng.IntN(800))*ms, func() error {
				if g.life != life || !g.up {
					return nil
				}
				way, _ := g.w.PeersAnswered(now, name, denied, missing)
				if way == Refuse {
					return nil
				}
				if rng.IntN(10) == 0 {
					g.w.AbandonQueuing(now, name)
					return nil
				}
				receipts++
				if g.queue[name] != "" {
					return fmt.Errorf("%s has two receipts at one gateway", name)
				}
				g.queue[name] = fmt.Sprint(receipts)
				g.w.RecordQueued(now, name, g.queue[name])
				plain[name] = plain[name] || way == Queue
				return nil
			}})
		}
		return nil
	}
	for n := 0; now < 40*time.Second; now += 100 * ms {
		if rng.IntN(3) == 0 {
			n++
			if err := try(fmt.Sprint("k", n), now, false); err != nil {
				return err
			}
		}
		i, k := rng.IntN(3), rng.IntN(3)
		switch g := gates[i]; rng.IntN(40) {
		case 0, 1:
			g.cut = !g.cut
		case 2:
			apart[i][k] = !apart[i][k]
			apart[k][i] = apart[i][k]
		case 3:
			if g.up = !g.up; g.up {
				g.life++
				g.w = NewRouteTable(now, most, 0, false, off)
				for name, r := range g.queue {
					g.w.RestoreQueued(now, name, r)
				}
			}
		}
		due := todo
		todo = nil
		for _, l := range due {
			if l.at > now {
				todo = append(todo, l)
			} else if err := l.do(); err != nil {
				return err
			}
		}
	}
	for name, p := range plain {
		if p && went[name] {
			return fmt.Errorf("%s went both ways", name)
		}
	}
	return nil
}

// TestScenarios: no play takes for a cut what is none, overlooks one, or lets a key go both ways.
func TestScenarios(t *testing.T) {
	for seed := range scenarios {
		if err := detectorScenario(seed, 0); err != nil {
			t.Errorf("judge, seed %d: %v", seed, err)
		}
		if err := routeScenario(seed, 0); err != nil {
			t.Errorf("ways, seed %d: %v", seed, err)
		}
		if t.Failed() {
			return
		}
	}
	// looks that were lost just before nobody asked any more counted as silence
	if err := detectorScenario(1964, 0); err != nil {
		t.Error(err)
	}
}

// TestGuards: without any one guard some play goes wrong.
func TestGuards(t *testing.T) {
	for _, g := range Guards {
		seed, err := uint64(0), error(nil)
		for ; seed < scenarios && err == nil; seed++ {
			if err = detectorScenario(seed, g.Guard); err == nil {
				err = routeScenario(seed, g.Guard)
			}
		}
		if err == nil {
			t.Errorf("no play misses the guard of %q", g.Keeps)
			continue
		}
		t.Logf("%s: seed %d: %v", g.Keeps, seed-1, err)
	}
}
