// Package rotation tells who does for all gateways what one of them should do: a look at a
// member, the trial of a suspect, a call to discovery. Whose turn it is follows from the
// view and the time alone. It does no I/O, starts no goroutine and reads no clock.
//
// Time is cut into slots of Every, and a slot into windows of Pass. In each window one
// gateway of the view may act, in an order drawn anew for each slot; who hears that it was
// done lets the later windows go by. So:
//
//  1. Under one view at most one holds a turn at any instant, as long as clocks are within
//     Guard of true time. Under n views at most n do.
//  2. A turn whose holder does nothing passes on within Pass; where f in a row do nothing,
//     within f x Pass, in the next slot at the latest by its own order.
//  3. Each holds about its even part of first windows.
//
// A turn is no lock: two views, a clock that is further off, or a process that was stopped
// between its look at the clock and its act, have two that act. It is for what two may do
// without harm. What exactly one may do takes a permit of the council.
package rotation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"reachwind/internal/fleet/seededhash"
)

// Time is wall time since the Unix epoch, or a span on it.
type Time = time.Duration

// Task is something that one gateway should do in each slot.
type Task struct {
	Name  string
	Every Time // length of a slot
	Pass  Time // of a window; a slot has Every / Pass of them, at least one
	Guard Time // how far a gateway's clock may be from true time; less than half of Pass
}

// Unfit tells that a task's spans don't fit each other.
type Unfit struct{ Task Task }

func (e *Unfit) Error() string {
	return fmt.Sprintf("turn: task %q has every %v, pass %v, guard %v: wanted 0 <= 2 x guard < pass <= every", e.Task.Name, e.Task.Every, e.Task.Pass, e.Task.Guard)
}

// Check returns an *Unfit for a task that the other calls can't be used with.
func (t Task) Check() error {
	if t.Guard < 0 || 2*t.Guard >= t.Pass || t.Pass > t.Every {
		return &Unfit{t}
	}
	return nil
}

// Hold is whether a gateway may act, and until when.
type Hold struct {
	Mine  bool
	Slot  int64
	Rank  int  // of the window in its slot
	Until Time // Mine: the act has to be over by then
	Next  Time // not Mine: ask again then
}

// At tells whether the task is me's to do. names are those of the view, me among them, in
// any order and each once; missing is how many more there should be that the view does not
// have: their turns go by unused, so that many gateways which each are alone do not all act
// in each slot. done is the last slot of which this gateway did, or heard, that it was done.
func (t Task) At(now Time, names []string, missing int, me string, done int64) Hold {
	slot := int64(now / t.Every)
	start := Time(slot) * t.Every
	windows := int(t.Every / t.Pass)
	rank := int((now - start) / t.Pass)
	h := Hold{Slot: slot, Rank: rank, Next: start + t.Every + t.Guard}
	if done >= slot || rank >= windows {
		return h
	}
	mine, n := t.place(slot, names, missing, me)
	for k := rank; k < windows; k++ {
		if k%n != mine {
			continue
		}
		from, to := start+Time(k)*t.Pass+t.Guard, start+Time(k+1)*t.Pass-t.Guard
		if now >= to {
			continue
		}
		h.Mine, h.Rank, h.Until, h.Next = now >= from, k, to, from
		break
	}
	return h
}

// place is me's place in the order of a slot, and how many there are in it.
func (t Task) place(slot int64, names []string, missing int, me string) (place, n int) {
	seed := seededhash.Mix(seededhash.Of(0, t.Name) ^ seededhash.Mix(uint64(slot)))
	own := seededhash.Mix(seed ^ seededhash.Of(0, me))
	for _, name := range names {
		if name == me {
			continue
		}
		if s := seededhash.Mix(seed ^ seededhash.Of(0, name)); s < own || s == own && name < me {
			place++
		}
		n++
	}
	for i := range missing {
		if seededhash.Mix(seed^seededhash.Mix(uint64(i)+1)) < own {
			place++
		}
		n++
	}
	return place, n + 1
}

// Order is the order in which names come, one after another, in a round of a task: that of
// healed offices or regions that come back. All that know the names and the round know it.
func Order(task string, round int64, names []string) []string {
	seed := seededhash.Mix(seededhash.Of(0, task) ^ seededhash.Mix(uint64(round)))
	all := slices.Clone(names)
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(seededhash.Mix(seed^seededhash.Of(0, a)), seededhash.Mix(seed^seededhash.Of(0, b))), cmp.Compare(a, b))
	})
	return slices.Compact(all)
}
