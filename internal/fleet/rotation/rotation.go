// Package rotation selects the gateway that does a task for all of them: a probe of a member, a half-open
// probe of a suspect, a call to discovery. The selection follows from the group's membership and the time
// alone. The package does no I/O, starts no goroutine and reads no clock.
//
// Time is divided into slots of SlotLength, and a slot into windows of WindowLength. In each window one
// gateway may act, in an order that is shuffled for each slot; gateways that hear that the task was done
// skip the later windows. So:
//
//  1. With one common view at most one gateway is selected at any instant, as long as clocks are within
//     MaxClockError of true time. With n different views at most n are.
//  2. If the selected gateway does nothing, the next follows within WindowLength; if f in a row do nothing,
//     within f x WindowLength, or at the latest in the next slot with its new order.
//  3. First windows are spread evenly over the gateways.
//
// A selection is no lock: with two views, a clock that is further off, or a process paused between reading
// the clock and acting, two gateways may act. It is for tasks that two may do without harm. What only one
// gateway may do needs a permit of the council.
package rotation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"reachwind/internal/fleet/seededhash"
)

// Time is wall time since the Unix epoch, or a duration.
type Time = time.Duration

// Task is a task that one gateway should do in each slot.
type Task struct {
	Name          string
	SlotLength    Time // length of a slot
	WindowLength  Time // length of a window; a slot has SlotLength / WindowLength windows, at least one
	MaxClockError Time // allowed deviation of a gateway's clock from true time; less than half of WindowLength
}

// InvalidTask is the error for a task whose durations are inconsistent.
type InvalidTask struct{ Task Task }

func (e *InvalidTask) Error() string {
	return fmt.Sprintf("rotation: task %q has slot length %v, window length %v, clock error %v: want 0 <= 2 x clock error < window length <= slot length", e.Task.Name, e.Task.SlotLength, e.Task.WindowLength, e.Task.MaxClockError)
}

// Check returns an *InvalidTask if the task's durations are inconsistent. The other methods need a task that
// passes it.
func (t Task) Check() error {
	if t.MaxClockError < 0 || 2*t.MaxClockError >= t.WindowLength || t.WindowLength > t.SlotLength {
		return &InvalidTask{t}
	}
	return nil
}

// Assignment tells whether a gateway may act, and until when.
type Assignment struct {
	Mine      bool
	Slot      int64
	Window    int  // index of the window in its slot
	Until     Time // if Mine: the task must be done by then
	NextCheck Time // if not Mine: when to ask again
}

// AssignmentAt tells whether gateway me may do the task now. names are the gateways of the view, me among
// them, in any order and each once. missing is how many more gateways there should be that the view lacks:
// their windows stay unused, so that many gateways that are each cut off do not all act in each slot. done
// is the last slot for which this gateway did the task or heard that it was done.
func (t Task) AssignmentAt(now Time, names []string, missing int, me string, done int64) Assignment {
	slot := int64(now / t.SlotLength)
	start := Time(slot) * t.SlotLength
	windows := int(t.SlotLength / t.WindowLength)
	rank := int((now - start) / t.WindowLength)
	h := Assignment{Slot: slot, Window: rank, NextCheck: start + t.SlotLength + t.MaxClockError}
	if done >= slot || rank >= windows {
		return h
	}
	mine, n := t.position(slot, names, missing, me)
	for k := rank; k < windows; k++ {
		if k%n != mine {
			continue
		}
		from, to := start+Time(k)*t.WindowLength+t.MaxClockError, start+Time(k+1)*t.WindowLength-t.MaxClockError
		if now >= to {
			continue
		}
		h.Mine, h.Window, h.Until, h.NextCheck = now >= from, k, to, from
		break
	}
	return h
}

// position returns me's position in the order of a slot, and the number of gateways in it.
func (t Task) position(slot int64, names []string, missing int, me string) (index, n int) {
	seed := seededhash.Mix(seededhash.Chain(0, t.Name) ^ seededhash.Mix(uint64(slot)))
	own := seededhash.Mix(seed ^ seededhash.Chain(0, me))
	for _, name := range names {
		if name == me {
			continue
		}
		if s := seededhash.Mix(seed ^ seededhash.Chain(0, name)); s < own || s == own && name < me {
			index++
		}
		n++
	}
	for i := range missing {
		if seededhash.Mix(seed^seededhash.Mix(uint64(i)+1)) < own {
			index++
		}
		n++
	}
	return index, n + 1
}

// ShuffledOrder returns names in the order of a round of a task, for example in which recovered offices or
// regions return. It is the same for all that know the names and the round.
func ShuffledOrder(task string, round int64, names []string) []string {
	seed := seededhash.Mix(seededhash.Chain(0, task) ^ seededhash.Mix(uint64(round)))
	all := slices.Clone(names)
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(seededhash.Mix(seed^seededhash.Chain(0, a)), seededhash.Mix(seed^seededhash.Chain(0, b))), cmp.Compare(a, b))
	})
	return slices.Compact(all)
}
