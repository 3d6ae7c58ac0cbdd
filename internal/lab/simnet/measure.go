package simnet

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"reachwind/internal/fleet/swim"
	"reachwind/internal/fleet/view"
)

// Figures are what a group of one size showed. Times are virtual, CPU is this machine's with the net's own share.
type Figures struct {
	Size                    int
	Start                   Time // until all hold one view, all started at once
	Crash, SplitKnown, Heal []Time
	RestBytes, TroubleBytes int                // a second and gateway
	RestCPU                 time.Duration      // a second and gateway
	Memory                  int                // bytes a gateway, of heap
	FalseSuspicions         map[string]float64 // an hour and gateway
	FalseFailures           map[string]float64
}

// Group starts a group of three zones.
func Group(size int, seed uint64) *World {
	w := New(seed)
	w.Known = []string{"10.0.0.0:7946", "10.0.0.1:7946"}
	for i := range size {
		w.Add(name(i), string(rune('a'+i%3)))
	}
	return w
}

func (w *World) bytes() (n int) {
	for _, o := range w.Nodes {
		n += o.Bytes
	}
	return n
}

// Measure plays crashes, splits and heals, then loss and pauses, with so many repeats.
func Measure(size int, seed uint64, repeats int) (*Figures, error) {
	f := &Figures{Size: size, FalseSuspicions: map[string]float64{}, FalseFailures: map[string]float64{}}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	w := Group(size, seed)
	var err error
	if f.Start, err = w.Until(5*time.Minute, w.Common); err != nil {
		return f, fmt.Errorf("start: %w", err)
	}
	w.Run(w.Now + 2*time.Minute)
	runtime.GC()
	runtime.ReadMemStats(&after)
	f.Memory = int(after.HeapAlloc-before.HeapAlloc) / size
	const rest = 20
	sent, begin := w.bytes(), time.Now()
	w.Run(w.Now + rest*time.Second)
	f.RestBytes, f.RestCPU = (w.bytes()-sent)/rest/size, time.Since(begin)/time.Duration(rest*size)
	for range repeats {
		n := w.Nodes[2+w.Rng.IntN(size-2)]
		n.Kill()
		at := w.Now
		done, err := w.Until(at+5*time.Minute, w.Common)
		if err != nil {
			return f, fmt.Errorf("crash: %w", err)
		}
		f.Crash = append(f.Crash, done-at)
		n.Start(0)
		if _, err := w.Until(w.Now+5*time.Minute, w.Common); err != nil {
			return f, fmt.Errorf("return: %w", err)
		}

		at, sent = w.Now, w.bytes()
		for _, a := range w.Nodes {
			for _, b := range w.Nodes {
				if a != b && (a.Zone == "a") != (b.Zone == "a") {
					w.Set(a, b, Link{Cut: true})
				}
			}
		}
		done, err = w.Until(at+5*time.Minute, func() error {
			for _, n := range w.Nodes {
				if v := n.G.View.Status().Verdict; n.Zone == "a" && v == view.Majority || n.Zone != "a" && v != view.Majority {
					return fmt.Errorf("%s of zone %s is %v", n.Name, n.Zone, v)
				}
			}
			return nil
		})
		if err != nil {
			return f, fmt.Errorf("split: %w", err)
		}
		f.SplitKnown = append(f.SplitKnown, done-at)
		w.Run(at + time.Minute)
		w.Heal()
		healed := w.Now
		if done, err = w.Until(healed+5*time.Minute, w.Common); err != nil {
			return f, fmt.Errorf("heal: %w", err)
		}
		f.Heal = append(f.Heal, done-healed)
		f.TroubleBytes = max(f.TroubleBytes, int(float64(w.bytes()-sent)/(w.Now-at).Seconds())/size)
	}
	if size > 400 {
		return f, nil
	}
	for _, c := range []struct {
		name string
		loss float64
		stop bool
	}{{"no loss", 0, false}, {"1 % loss", 0.01, false}, {"10 % loss", 0.1, false}, {"one stopped 1 to 5 s each 10 s", 0, true}} {
		w := Group(size, seed+7)
		w.Usual.Loss = c.loss
		if _, err := w.Until(5*time.Minute, w.Common); err != nil && c.loss == 0 {
			return f, err
		}
		w.Run(w.Now + 30*time.Second)
		for _, n := range w.Nodes {
			n.Changes, n.Failures = nil, 0
		}
		const span = 3 * time.Minute
		end := w.Now + span
		for w.Now < end {
			if c.stop {
				n := w.Nodes[w.Rng.IntN(size)]
				n.Pause(true)
				w.At(w.Now+time.Second+Time(w.Rng.Int64N(int64(4*time.Second))), func() { n.Pause(false) })
			}
			w.Run(w.Now + 10*time.Second)
		}
		suspicions, failures := 0, 0
		for _, n := range w.Nodes {
			for _, ch := range n.Changes {
				if ch.State == swim.Suspect {
					suspicions++
				}
			}
			failures += n.Failures
		}
		per := float64(size) * span.Hours()
		f.FalseSuspicions[c.name], f.FalseFailures[c.name] = float64(suspicions)/per, float64(failures)/per
	}
	return f, nil
}

// Quantile is a quantile of some times, 0 of none.
func Quantile(all []Time, q float64) Time {
	if len(all) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(all))
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
