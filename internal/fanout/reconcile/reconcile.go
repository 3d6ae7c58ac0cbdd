// Package reconcile finds where two regions' lists differ, with bytes and work near the
// number of differences: the asker compares fingerprints of ranges with the answerer's
// and goes down only where they differ. It is pure: no I/O, goroutine or clock.
//
// The asker holds all state, which is a bounded stack of ranges that are still to be
// asked; the answerer holds none. After a link that dropped the asker asks again what was
// not answered, of any process of the other region. Lists may change meanwhile: what is
// found held at the time of its answer, and what changed after is found by a later run.
package reconcile

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Item is a record of a list: a hash of its key, by which ranges go, and one of all that
// it holds. Both are 64 bits of a hash with no secret: who can choose keys freely can
// make two lists look alike, so keys come from sealed peers and checked requests only.
// Two keys with one ID do no harm, since items are compared whole.
type Item struct{ ID, Hash uint64 }

// Compare orders items by ID and hash.
func (a Item) Compare(b Item) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Hash, b.Hash))
}

// fingerprint is what an item adds to its range's fingerprint.
func (a Item) fingerprint() uint64 { // splitmix64's last steps over both
	x := a.ID*0x9e3779b97f4a7c15 ^ a.Hash
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Set is a list in the order of its items, without repeats.
type Set interface {
	Len() int
	At(i int) Item
	Rank(id uint64) int              // how many items have a lower ID
	Fingerprint(from, to int) uint64 // the sum of the fingerprints of items from..to-1
}

// Range is the IDs from Lo to Hi, both within it.
type Range struct{ Lo, Hi uint64 }

// SubRange is a piece of a range that is split: from after the part before up to Hi.
type SubRange struct{ Hi, Fingerprint uint64 }

// RangeAnswer is what the answerer has in a range: its items if they are few, else its parts.
type RangeAnswer struct {
	Items []Item
	Parts []SubRange
}

// Limits bound messages; the same at both sides. Wire sizes are 16 bytes a range, a part
// and an item, and one a Found.
type Limits struct {
	MaxRanges     int // in a question, at least 1
	Split         int // parts of a range, at least 2
	MaxLeafItems  int // a range with no more items is told whole
	MaxItemsPerID int // items that one ID may have, at least Leaf
	MaxPending    int // ranges still to be asked
}

// DefaultLimits sizes: an answer is at most 62 KB (twice that if IDs collide). Measured in
// docs/design/fanout.md.
var DefaultLimits = Limits{MaxRanges: 480, Split: 8, MaxLeafItems: 8, MaxItemsPerID: 16, MaxPending: 480 * 8 * 24}

// AnswerError tells that an answer does not fit its question.
type AnswerError struct{ Found, Wanted string }

func (e *AnswerError) Error() string {
	return fmt.Sprintf("the answer has %s, wanted %s: the other side runs another form or is at fault; the run ends and a new one may be begun", e.Found, e.Wanted)
}

// TooManyItemsPerIDError tells that too many items share an ID, which no fair hash does.
type TooManyItemsPerIDError struct {
	ID         uint64
	Found, Max int
}

func (e *TooManyItemsPerIDError) Error() string {
	return fmt.Sprintf("%d items share the ID %016x, at most %d may: keys were chosen to collide; look for a flood of made-up keys", e.Found, e.ID, e.Max)
}

// Answer tells of each range what s has there. The error is a *DenseError or, if a
// question is over its bounds, an *AnswerError.
func Answer(s Set, z Limits, ask []Range) ([]RangeAnswer, error) {
	if len(ask) > z.MaxRanges {
		return nil, &AnswerError{fmt.Sprintf("%d ranges asked", len(ask)), fmt.Sprintf("at most %d", z.MaxRanges)}
	}
	out := make([]RangeAnswer, 0, len(ask))
	for _, r := range ask {
		from, to := bounds(s, r)
		var f RangeAnswer
		switch n := to - from; {
		case n <= z.MaxLeafItems || n > 0 && s.At(from).ID == s.At(to-1).ID:
			if n > z.MaxItemsPerID {
				return nil, &TooManyItemsPerIDError{s.At(from).ID, n, z.MaxItemsPerID}
			}
			for i := from; i < to; i++ {
				f.Items = append(f.Items, s.At(i))
			}
		default:
			at, last := from, s.At(to-1).ID
			for p := 1; p < z.Split; p++ {
				k := n * p / z.Split
				if k == 0 {
					continue
				}
				hi := min(s.At(from+k-1).ID, last-1) // the last part is never empty, so that there are two
				if _, end := bounds(s, Range{r.Lo, hi}); end > at {
					f.Parts = append(f.Parts, SubRange{hi, s.Fingerprint(at, end)})
					at = end
				}
			}
			f.Parts = append(f.Parts, SubRange{r.Hi, s.Fingerprint(at, to)})
		}
		out = append(out, f)
	}
	return out, nil
}

func bounds(s Set, r Range) (from, to int) {
	if to = s.Len(); r.Hi < math.MaxUint64 {
		to = s.Rank(r.Hi + 1)
	}
	return s.Rank(r.Lo), to
}

// Run is the asker's side.
type Run struct {
	limits Limits
	stack  []Range
	asked  int // of them, from the top
	// Steps counts questions that were answered; Bytes what they and their answers took.
	Steps, Bytes int
}

// Begin returns a run over all IDs.
func Begin(z Limits) *Run { return &Run{limits: z, stack: []Range{{0, math.MaxUint64}}} }

// Next returns the question that is to be asked, nil when all is found. Until it is
// answered it stays the same.
func (r *Run) Next() []Range {
	r.asked = min(len(r.stack), r.limits.MaxRanges)
	return r.stack[len(r.stack)-r.asked:]
}

// HandleAnswer takes the answer to the last question. It returns the items that only the
// answerer has, to be fetched, and those that only s has, to be sent; a record that both
// have in different states is among both. After an error, an *AnswerError, nothing of the
// answer is taken.
func (r *Run) HandleAnswer(s Set, answer []RangeAnswer) (need, have []Item, err error) {
	ask := r.stack[len(r.stack)-r.asked:]
	if len(answer) != len(ask) {
		return nil, nil, &AnswerError{fmt.Sprintf("%d ranges", len(answer)), fmt.Sprint(len(ask))}
	}
	var deeper []Range
	bytes := 16 * len(ask)
	for i, f := range answer {
		bytes += 1 + 16*(len(f.Items)+len(f.Parts))
		if err := r.validate(ask[i], f); err != nil {
			return nil, nil, err
		}
		if len(f.Parts) == 0 {
			n, h := diffItems(s, ask[i], f.Items)
			need, have = append(need, n...), append(have, h...)
			continue
		}
		lo := ask[i].Lo
		for _, p := range f.Parts {
			part := Range{lo, p.Hi}
			if from, to := bounds(s, part); s.Fingerprint(from, to) != p.Fingerprint {
				deeper = append(deeper, part)
			}
			lo = p.Hi + 1
		}
	}
	rest := r.stack[:len(r.stack)-r.asked]
	if len(rest)+len(deeper) > r.limits.MaxPending {
		return nil, nil, &AnswerError{fmt.Sprintf("%d ranges that differ", len(rest)+len(deeper)), fmt.Sprintf("at most %d at once", r.limits.MaxPending)}
	}
	r.stack, r.asked = append(rest, deeper...), 0
	r.Steps++
	r.Bytes += bytes
	return need, have, nil
}

// validate guards against an answer that would not end: parts must cover the range in order
// and be smaller than it, items lie within it.
func (r *Run) validate(ask Range, f RangeAnswer) error {
	if len(f.Items) > r.limits.MaxItemsPerID || len(f.Parts) > r.limits.Split || len(f.Parts) == 1 || len(f.Items) > 0 && len(f.Parts) > 0 {
		return &AnswerError{fmt.Sprintf("%d items and %d parts", len(f.Items), len(f.Parts)),
			fmt.Sprintf("up to %d items or 2 to %d parts", r.limits.MaxItemsPerID, r.limits.Split)}
	}
	for i, it := range f.Items {
		if it.ID < ask.Lo || it.ID > ask.Hi || i > 0 && f.Items[i-1].Compare(it) >= 0 {
			return &AnswerError{"an item out of its range or order", "items in the order of their IDs"}
		}
	}
	for i, p := range f.Parts {
		if p.Hi < ask.Lo || p.Hi > ask.Hi || i > 0 && f.Parts[i-1].Hi >= p.Hi || (i == len(f.Parts)-1) != (p.Hi == ask.Hi) {
			return &AnswerError{"a part out of its range or order", "parts that cover the range"}
		}
	}
	return nil
}

// diffItems compares the items of a range.
func diffItems(s Set, r Range, theirs []Item) (need, have []Item) {
	from, to := bounds(s, r)
	for from < to || len(theirs) > 0 {
		c := 0
		switch {
		case from == to:
			c = 1
		case len(theirs) == 0:
			c = -1
		default:
			c = s.At(from).Compare(theirs[0])
		}
		if c > 0 {
			need = append(need, theirs[0])
		} else if c < 0 {
			have = append(have, s.At(from))
		}
		if c <= 0 {
			from++
		}
		if c >= 0 {
			theirs = theirs[1:]
		}
	}
	return need, have
}

// Sorted is a Set that does not change, with sums from its start.
type Sorted struct {
	items []Item
	sums  []uint64 // of the items before
}

// NewSorted returns the set of the items, which it orders in place.
func NewSorted(items []Item) *Sorted {
	slices.SortFunc(items, Item.Compare)
	items = slices.Compact(items)
	s := &Sorted{items, make([]uint64, len(items)+1)}
	for i, it := range items {
		s.sums[i+1] = s.sums[i] + it.fingerprint()
	}
	return s
}

// Len, At, Rank and Print are those of Set.
func (s *Sorted) Len() int { return len(s.items) }

// At returns item i in order.
func (s *Sorted) At(i int) Item { return s.items[i] }

// Rank counts the items with a lower ID.
func (s *Sorted) Rank(id uint64) int {
	i, _ := slices.BinarySearchFunc(s.items, id, func(it Item, id uint64) int { return cmp.Compare(it.ID, id) })
	return i
}

// Fingerprint sums the fingerprints of items from..to-1.
func (s *Sorted) Fingerprint(from, to int) uint64 { return s.sums[to] - s.sums[from] }
