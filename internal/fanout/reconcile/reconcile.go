// Package reconcile finds the differences of two regions' lists, with bytes and work in
// proportion to the number of differences: the asker compares fingerprints of ranges with
// the answerer's and descends only where they differ. It does no I/O, starts no goroutine
// and reads no clock.
//
// The asker holds all state, which is a bounded stack of ranges that are still to be
// asked; the answerer holds none. After a broken connection the asker repeats unanswered
// questions at any process of the other region. Lists may change meanwhile: a result was
// true at the time of its answer, and later changes are found by a later run.
package reconcile

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Item is a record of a list: a hash of its key, which ranges refer to, and one of its
// content. Both are 64 bits of an unkeyed hash: whoever can choose keys freely can make
// two lists look alike, so keys come only from authenticated peers and checked requests.
// Two keys with one ID do no harm, since items are compared whole.
type Item struct{ ID, Hash uint64 }

// Compare orders items by ID and hash.
func (a Item) Compare(b Item) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Hash, b.Hash))
}

// fingerprint returns the item's summand in its range's fingerprint.
func (a Item) fingerprint() uint64 { // the finalizer of splitmix64 over both
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

// Range is the IDs from Lo to Hi, both inclusive.
type Range struct{ Lo, Hi uint64 }

// SubRange is a piece of a split range: from the end of the previous piece (exclusive) to Hi.
type SubRange struct{ Hi, Fingerprint uint64 }

// RangeAnswer is the answerer's content of a range: its items if they are few, else sub-ranges.
type RangeAnswer struct {
	Items []Item
	Parts []SubRange
}

// Limits bounds messages and must be the same on both sides. On the wire a range, a
// sub-range and an item take 16 bytes each, a RangeAnswer one more.
type Limits struct {
	MaxRanges     int // ranges per question, at least 1
	Split         int // sub-ranges of a range, at least 2
	MaxLeafItems  int // a range with no more items is answered with its items
	MaxItemsPerID int // items that may share one ID, at least MaxLeafItems
	MaxPending    int // ranges still to be asked, in Run
}

// DefaultLimits keep an answer within 62 KB (twice that if IDs collide); see
// docs/design/fanout.md.
var DefaultLimits = Limits{MaxRanges: 480, Split: 8, MaxLeafItems: 8, MaxItemsPerID: 16, MaxPending: 480 * 8 * 24}

// AnswerError reports an answer that does not fit its question, or a question over its limits.
type AnswerError struct{ Found, Wanted string }

func (e *AnswerError) Error() string {
	return fmt.Sprintf("the answer has %s, wanted %s: the other side runs another format version or is faulty; the run ends, start a new one", e.Found, e.Wanted)
}

// TooManyItemsPerIDError reports that too many items share an ID, which does not happen by chance.
type TooManyItemsPerIDError struct {
	ID         uint64
	Found, Max int
}

func (e *TooManyItemsPerIDError) Error() string {
	return fmt.Sprintf("%d items share the ID %016x, wanted at most %d: keys were chosen to collide; look for a flood of invented keys", e.Found, e.ID, e.Max)
}

// Answer returns what s has in each range. The error is a *TooManyItemsPerIDError or, if
// the question has more than MaxRanges ranges, an *AnswerError.
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
	asked  int // how many of them are in the current question, from the top
	// Steps counts answered questions; Bytes is the wire size of them and their answers.
	Steps, Bytes int
}

// Begin returns a new run over all IDs.
func Begin(z Limits) *Run { return &Run{limits: z, stack: []Range{{0, math.MaxUint64}}} }

// Next returns the next question, empty when the run is complete. It stays the same until
// it is answered.
func (r *Run) Next() []Range {
	r.asked = min(len(r.stack), r.limits.MaxRanges)
	return r.stack[len(r.stack)-r.asked:]
}

// HandleAnswer applies the answer to the last question. It returns the items that only
// the answerer has, to be fetched, and those that only s has, to be sent; a record that
// both have in different states is in both. After an error, an *AnswerError, nothing of
// the answer is applied.
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

// validate rejects answers with which a run might not end: sub-ranges must cover the range
// in order and be smaller than it, items must lie within it.
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

// diffItems returns the items of a range that only the other side has, and those that only s has.
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

// Sorted is an immutable Set with prefix sums of fingerprints.
type Sorted struct {
	items []Item
	sums  []uint64 // sums[i] is over the first i items
}

// NewSorted returns the set of the items; it sorts the slice in place.
func NewSorted(items []Item) *Sorted {
	slices.SortFunc(items, Item.Compare)
	items = slices.Compact(items)
	s := &Sorted{items, make([]uint64, len(items)+1)}
	for i, it := range items {
		s.sums[i+1] = s.sums[i] + it.fingerprint()
	}
	return s
}

// Len returns the number of items.
func (s *Sorted) Len() int { return len(s.items) }

// At returns item i in order.
func (s *Sorted) At(i int) Item { return s.items[i] }

// Rank returns the number of items with a lower ID.
func (s *Sorted) Rank(id uint64) int {
	i, _ := slices.BinarySearchFunc(s.items, id, func(it Item, id uint64) int { return cmp.Compare(it.ID, id) })
	return i
}

// Fingerprint returns the sum of the fingerprints of items from..to-1.
func (s *Sorted) Fingerprint(from, to int) uint64 { return s.sums[to] - s.sums[from] }
