package rotation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestRandomClocksAndFailures runs gateways with clocks off true time, some of them dead, in one view or two,
// and checks rules 1 and 2 of the package comment (claims 9 and 10 of the design). Runs without a clock margin
// must break rule 1, which shows that the check works.
func TestRandomClocksAndFailures(t *testing.T) {
	var violations int
	for seed := range uint64(60) {
		for _, guarded := range []bool{true, false} {
			rng := rand.New(rand.NewPCG(seed, 1))
			task := Task{Name: fmt.Sprint("look ", seed), SlotLength: 10 * time.Second, WindowLength: time.Second, MaxClockError: 100 * time.Millisecond}
			if err := task.Check(); err != nil {
				t.Fatal(err)
			}
			used := task
			if !guarded {
				used.MaxClockError = 0
			}
			var names []string
			for i := range 2 + rng.IntN(12) {
				names = append(names, fmt.Sprint("gw-", i))
			}
			views, of := [][]string{names}, make([]int, len(names))
			if seed%2 == 1 {
				// The second view lacks some gateways; each gateway is in the view that it has.
				less := slices.Clone(names[:1+rng.IntN(len(names))])
				views = append(views, less)
				for i := range less {
					of[i] = rng.IntN(2)
				}
			}
			clockError, dead, done := make([]Time, len(names)), make([]bool, len(names)), make([]int64, len(names))
			alive := 0
			for i := range names {
				clockError[i] = Time(rng.Int64N(int64(2*task.MaxClockError)+1)) - task.MaxClockError
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
					h := used.AssignmentAt(now+clockError[i], views[of[i]], 0, name, done[i])
					if h.NextCheck <= now+clockError[i] && !h.Mine {
						t.Fatalf("seed %d: %s is told to ask again in the past: %+v", seed, name, h)
					}
					if !h.Mine {
						continue
					}
					if hold[of[i]]++; !dead[i] && acted[h.Slot] == 0 && len(views) == 1 {
						// It does the task, and some gateways hear of it at once.
						acted[h.Slot] = now - Time(h.Slot)*task.SlotLength
						for k := range names {
							if k == i || rng.IntN(4) > 0 {
								done[k] = h.Slot
							}
						}
					}
				}
				for w, n := range hold {
					if n > 1 && guarded {
						t.Fatalf("seed %d at %v: %d gateways of view %d are selected", seed, now, n, w)
					} else if n > 1 {
						violations++
					}
				}
			}
			if len(views) == 1 && guarded && alive > 0 && len(names) <= 10 {
				for slot := int64((begin + task.SlotLength) / task.SlotLength); slot < int64((begin+50*time.Second)/task.SlotLength); slot++ {
					late, was := acted[slot], len(names)-alive
					if late == 0 || late > Time(was)*task.WindowLength+2*task.MaxClockError+step {
						t.Fatalf("seed %d slot %d: %d gateways dead, the task was done after %v", seed, slot, was, late)
					}
				}
			}
		}
	}
	if violations == 0 {
		t.Error("no run without a clock margin selected two gateways")
	}
}

// TestEvenDistribution checks that first windows are spread evenly, and that gateways that are each cut off
// together act no more often.
func TestEvenDistribution(t *testing.T) {
	task := Task{Name: "trial", SlotLength: time.Second, WindowLength: time.Second}
	names := ShuffledOrder("any", 1, []string{"a", "b", "c", "d", "e", "f", "g", "h", "b"})
	if len(names) != 8 {
		t.Fatalf("%v has a name twice or lacks one", names)
	}
	const slots = 4000
	var alone int
	for _, me := range names {
		mine := 0
		for s := range slots {
			at := Time(s+1)*time.Second + time.Millisecond
			if task.AssignmentAt(at, names, 0, me, 0).Mine {
				mine++
			}
			if task.AssignmentAt(at, []string{me}, 7, me, 0).Mine {
				alone++
			}
		}
		if mine < slots/8*8/10 || mine > slots/8*12/10 {
			t.Errorf("%s was selected in %d of %d slots", me, mine, slots)
		}
	}
	if alone < slots*9/10 || alone > slots*11/10 {
		t.Errorf("8 gateways that are cut off were selected %d times in %d slots", alone, slots)
	}
	var unfit *InvalidTask
	if err := (Task{SlotLength: 1, WindowLength: 2}).Check(); !errors.As(err, &unfit) {
		t.Errorf("error %v for a window longer than its slot", err)
	}
}
