package pgfront

import (
	"slices"
	"time"

	"reachwind/internal/core"
)

// arrivals tells when what waits in a connection's reader came. A client may send commands at once: its time for each
// runs from when it was sent, also while it waits behind the ones before, and not from when its turn has come.
//
// Of what comes in very many pieces only some are told apart. A byte then counts as come with an earlier one, so that
// its request is answered sooner, not later, than it might be; the newest is always known by itself.
type arrivals struct {
	all   int64     // bytes that have come
	marks []arrival // by end, of what may still be asked for
}

// arrival is up to which byte had come by at.
type arrival struct {
	end int64
	at  core.Time
}

const (
	arrivalsMost = 65                   // marks of a connection; odd, see came
	arrivalsEach = 2 * time.Millisecond // what comes so soon after a mark's begin counts with it
)

// came notes n bytes more.
func (a *arrivals) came(n int, at core.Time) {
	a.all += int64(n)
	if last := len(a.marks) - 1; last >= 0 && at-a.marks[last].at < arrivalsEach {
		a.marks[last].end = a.all
		return
	}
	if len(a.marks) >= arrivalsMost { // the first stays as it is: grown each time, it would never be read to its end
		half := a.marks[:1]
		for i := 1; i+1 < len(a.marks); i += 2 {
			half = append(half, arrival{a.marks[i+1].end, a.marks[i].at})
		}
		a.marks = half
	}
	a.marks = append(a.marks, arrival{a.all, at})
}

// last tells when the byte came behind which there are left more; now, if that is not known.
func (a *arrivals) last(left int, now core.Time) core.Time {
	for _, m := range a.marks {
		if m.end >= a.all-int64(left) {
			return m.at
		}
	}
	return now
}

// forget drops what is known of bytes that were read: all but the newest left.
func (a *arrivals) forget(left int) {
	a.marks = slices.DeleteFunc(a.marks, func(m arrival) bool { return m.end <= a.all-int64(left) })
}
