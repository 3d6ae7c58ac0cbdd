package pgfront

import (
	"slices"
	"time"

	"reachwind/internal/core"
)

// arrivals tracks when the bytes in the reader of a connection arrived. A client may send several commands at once: the
// deadline of each counts from its arrival, also while it waits behind earlier ones, not from the start of its execution.
//
// If bytes arrive in very many pieces, pieces are merged. A byte then counts as arrived with an earlier one, so that the
// deadline of its request is earlier, never later, than it should be; the newest piece is never merged into an older one.
type arrivals struct {
	total int64     // bytes that have arrived
	marks []arrival // in ascending order of end, of bytes that may still be asked for
}

// arrival records that all bytes before end had arrived by at.
type arrival struct {
	end int64
	at  core.Time
}

const (
	maxMarks      = 65                   // limit for the marks of a connection; odd, so that record can merge all but the first in pairs
	mergeInterval = 2 * time.Millisecond // bytes that arrive within this time after a mark was made are added to it
)

// record records that n more bytes have arrived at the given time.
func (a *arrivals) record(n int, at core.Time) {
	a.total += int64(n)
	if last := len(a.marks) - 1; last >= 0 && at-a.marks[last].at < mergeInterval {
		a.marks[last].end = a.total
		return
	}
	if len(a.marks) >= maxMarks { // merges pairs; the first mark stays, as it would else grow each time and never be read to its end
		half := a.marks[:1]
		for i := 1; i+1 < len(a.marks); i += 2 {
			half = append(half, arrival{a.marks[i+1].end, a.marks[i].at})
		}
		a.marks = half
	}
	a.marks = append(a.marks, arrival{a.total, at})
}

// arrivalTime returns when the byte arrived that has left more bytes behind it, or now if that is not known.
func (a *arrivals) arrivalTime(left int, now core.Time) core.Time {
	for _, m := range a.marks {
		if m.end >= a.total-int64(left) {
			return m.at
		}
	}
	return now
}

// discard drops the marks of bytes that were read: all but the newest left bytes.
func (a *arrivals) discard(left int) {
	a.marks = slices.DeleteFunc(a.marks, func(m arrival) bool { return m.end <= a.total-int64(left) })
}
