package rotation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestSteps drives gateways with clocks off true time, some of them dead, in one view or two, and
// holds claims 9 and 10. The plays without a guard have to break claim 9.
func TestSteps(t *testing.T) {
	var broken int
	for seed := range uint64(60) {
		for _, guarded := range []bool{true, false} {
			rng := rand.New(rand.NewPCG(seed, 1))
			task := Task{Name: fmt.Sprint("look ", seed), Every: 10 * time.Second, Pass: time.Second, Guard: 100 * time.Millisecond}
			if err := task.Check(); err != nil {
				t.Fatal(err)
			}
			used := task
			if !guarded {
				used.Guard = 0
			}
			var names []string
			for i := range 2 + rng.IntN(12) {
				names = append(names, fmt.Sprint("gw-", i))
			}
			views, of := [][]string{names}, make([]int, len(names))
			if seed%2 == 1 {
				// The second view lacks some; each gateway is in the view that it has.
				less := slices.Clone(names[:1+rng.IntN(len(names))])
				views = append(views, less)
				for i := range less {
					of[i] = rng.IntN(2)
				}
			}
			off, dead, done := make([]Time, len(names)), make([]bool, len(names)), make([]int64, len(names))
			alive := 0
			for i := range names {
				off[i] = Time(rng.Int64N(int64(2*task.Guard)+1)) - task.Guard
				if dead[i] = rng.IntN(3) == 0; !dead[i] {
					alive++
				}
			}
			const step = 20 * time.Millisecond
			begin := 1700000000 * time.Second
			acted := map[int64]Time{}
			for now := begin; now < begin+60*time.Second; now += step {
				hold := make([]int, len(views))
				for i, name := range names {
					h := used.At(now+off[i], views[of[i]], 0, name, done[i])
					if h.Next <= now+off[i] && !h.Mine {
						t.Fatalf("seed %d: %s is told to ask again in the past: %+v", seed, name, h)
					}
					if !h.Mine {
						continue
					}
					if hold[of[i]]++; !dead[i] && acted[h.Slot] == 0 && len(views) == 1 {
						// It acts, and some hear of it at once.
						acted[h.Slot] = now - Time(h.Slot)*task.Every
						for k := range names {
							if k == i || rng.IntN(4) > 0 {
								done[k] = h.Slot
							}
						}
					}
				}
				for w, n := range hold {
					if n > 1 && guarded {
						t.Fatalf("seed %d at %v: %d of view %d hold the turn", seed, now, n, w)
					} else if n > 1 {
						broken++
					}
				}
			}
			if len(views) == 1 && guarded && alive > 0 && len(names) <= 10 {
				for slot := int64((begin + task.Every) / task.Every); slot < int64((begin+50*time.Second)/task.Every); slot++ {
					late, was := acted[slot], len(names)-alive
					if late == 0 || late > Time(was)*task.Pass+2*task.Guard+step {
						t.Fatalf("seed %d slot %d: %d dead, acted after %v", seed, slot, was, late)
					}
				}
			}
		}
	}
	if broken == 0 {
		t.Error("no play without the guard had two holders")
	}
}

// TestEven holds that first windows are shared evenly, and that those cut off each by itself act no more in all.
func TestEven(t *testing.T) {
	task := Task{Name: "trial", Every: time.Second, Pass: time.Second}
	names := Order("any", 1, []string{"a", "b", "c", "d", "e", "f", "g", "h", "b"})
	if len(names) != 8 {
		t.Fatalf("%v has a name twice or lacks one", names)
	}
	const slots = 4000
	var alone int
	for _, me := range names {
		mine := 0
		for s := range slots {
			at := Time(s+1)*time.Second + time.Millisecond
			if task.At(at, names, 0, me, 0).Mine {
				mine++
			}
			if task.At(at, []string{me}, 7, me, 0).Mine {
				alone++
			}
		}
		if mine < slots/8*8/10 || mine > slots/8*12/10 {
			t.Errorf("%s had %d of %d turns", me, mine, slots)
		}
	}
	if alone < slots*9/10 || alone > slots*11/10 {
		t.Errorf("8 that are alone acted %d times in %d slots", alone, slots)
	}
	var unfit *Unfit
	if err := (Task{Every: 1, Pass: 2}).Check(); !errors.As(err, &unfit) {
		t.Errorf("%v for a pass longer than its slot", err)
	}
}
