// Package loadsignal lets one gateway's estimate of a member know what all have outstanding
// there and what they measured: each tells its own in bounded digests. What comes of them
// is a weight in the choice among members that may answer; never a position, and never a
// reason to take a member out. It does no I/O, starts no goroutine and reads no clock.
//
//  1. A weight is from Least to Most, whatever is told.
//  2. Of what one gateway says it has outstanding at a member no more counts than Share
//     times the median of all that tell of that member; of latencies the median counts. So
//     one that lies moves the estimate of a member that n tell of by at most Share / n.
//  3. What was told fades, and is gone after Age. With nothing told, all weights go back to 1.
//  4. A weight moves by at most Step of the way to its aim in a Tick, so that many which
//     hear the same at once do not all go to the same member.
package loadsignal

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Time is a point on the owner's monotonic clock, or a span on it.
type Time = time.Duration

// Bounds and tuned values, each with its reason.
const (
	MostLines    = 64                     // of a digest: those with most outstanding are told
	MostGateways = 1024                   // whose digests are held; the one told longest ago goes first
	MostName     = 255                    // bytes of a name; what is longer is left out
	MostOut      = 1 << 16                // outstanding that a line can tell
	MostLatency  = 30 * time.Second       // that a line can tell
	Age          = 5 * time.Second        // some rounds of digests
	Tick         = 100 * time.Millisecond // between moves of weights
	Step         = 0.05                   // half of the way in 1.4 s, longer than digests take to get round
	Least, Most  = 0.5, 2.0               // a member is never left, and none gets more than four times another's
	Share        = 3.0                    // gateways of a part differ about so much
)

// Line is what a gateway knows of one member by itself.
type Line struct {
	Member  string
	Out     uint32 // of its own requests that are outstanding there
	Latency Time   // as it measured lately, 0 = not
}

// Digest is what one gateway tells of itself. Gateway is who the transport says it is from.
type Digest struct {
	Gateway       string
	Epoch, Number uint64 // later ones replace earlier ones
	Lines         []Line
}

// Member is one to be weighed.
type Member struct {
	Name     string
	Capacity float64 // in any unit that all share; 0 or less = 1
}

// Drops counts what was not taken.
type Drops struct{ Full, Old, Lines int }

// Book is what one gateway heard. It is its owner's alone.
type Book struct {
	Dropped Drops
	own     Digest
	told    map[string]told
	weights map[string]float64
	moved   Time
	step    float64
	share   float64
}

type told struct {
	Digest
	at Time
}

// New returns the book of a gateway that heard nothing.
func New(name string, epoch uint64) *Book {
	return &Book{own: Digest{Gateway: name, Epoch: epoch}, told: map[string]told{}, weights: map[string]float64{}, step: Step, share: Share}
}

// Note takes what this gateway itself has outstanding and measured, in place of what it noted before.
func (b *Book) Note(lines []Line) { b.own.Lines = append(b.own.Lines[:0], lines...) }

// Digest is what to tell the others now.
func (b *Book) Digest() Digest {
	b.own.Number++
	d := b.own
	d.Lines = slices.Clone(d.Lines)
	slices.SortFunc(d.Lines, func(a, b Line) int { return cmp.Or(cmp.Compare(b.Out, a.Out), cmp.Compare(a.Member, b.Member)) })
	d.Lines = d.Lines[:min(len(d.Lines), MostLines)]
	return d
}

// Told takes a digest, and tells whether it was news.
func (b *Book) Told(now Time, d Digest) bool {
	was, known := b.told[d.Gateway]
	if d.Gateway == b.own.Gateway || len(d.Gateway) > MostName || known && cmp.Or(cmp.Compare(d.Epoch, was.Epoch), cmp.Compare(d.Number, was.Number)) <= 0 {
		b.Dropped.Old++
		return false
	}
	if !known && len(b.told) >= MostGateways {
		oldest := ""
		for name, t := range b.told {
			if o, has := b.told[oldest]; !has || t.at < o.at || t.at == o.at && name < oldest {
				oldest = name
			}
		}
		delete(b.told, oldest)
		b.Dropped.Full++
	}
	lines := make([]Line, 0, min(len(d.Lines), MostLines))
	for _, l := range d.Lines {
		twice := slices.ContainsFunc(lines, func(o Line) bool { return o.Member == l.Member })
		if twice || len(lines) == MostLines || len(l.Member) > MostName || l.Out > MostOut || l.Latency < 0 || l.Latency > MostLatency {
			b.Dropped.Lines++
			continue
		}
		lines = append(lines, l)
	}
	d.Lines = lines
	b.told[d.Gateway] = told{d, now}
	return true
}

// Weigh moves the weights of members; those that are not among them are forgotten. It is to be
// called each Tick: called sooner it does nothing, called late it moves by one Tick only.
func (b *Book) Weigh(now Time, members []Member) {
	if now < b.moved+Tick {
		return
	}
	b.moved = now
	type seen struct {
		out     []float64 // as told, faded
		latency []float64
	}
	at := map[string]*seen{}
	for _, m := range members {
		at[m.Name] = &seen{}
	}
	take := func(lines []Line, part float64) {
		for _, l := range lines {
			if s := at[l.Member]; s != nil {
				if s.out = append(s.out, float64(l.Out)*part); l.Latency > 0 {
					s.latency = append(s.latency, l.Latency.Seconds())
				}
			}
		}
	}
	take(b.own.Lines, 1)
	for name, t := range b.told {
		if now-t.at >= Age {
			delete(b.told, name)
			continue
		}
		take(t.Lines, 1-float64(now-t.at)/float64(Age))
	}
	busy, mean := map[string]float64{}, 0.0
	for _, m := range members {
		s, capacity := at[m.Name], m.Capacity
		if !(capacity > 0) || math.IsInf(capacity, 0) {
			capacity = 1
		}
		slices.Sort(s.out) // sums of floats depend on their order, and maps have none
		sum, most := 1.0, max(1, median(s.out))*b.share
		for _, o := range s.out {
			sum += min(o, most)
		}
		slices.Sort(s.latency)
		// Outstanding holds the latency once already: what is measured counts by its root.
		busy[m.Name] = sum / capacity * math.Sqrt(max(median(s.latency), 0.001))
	}
	for _, m := range members {
		mean += math.Log(busy[m.Name]) / float64(len(members))
	}
	next := make(map[string]float64, len(members))
	for _, m := range members {
		was := b.Weight(m.Name)
		next[m.Name] = was + (min(max(math.Exp(mean)/busy[m.Name], Least), Most)-was)*b.step
	}
	b.weights = next
}

// Weight is how willingly to choose a member now, beside others that may answer too; 1 is
// as usual. It is what the choice's own weight is multiplied by.
func (b *Book) Weight(member string) float64 {
	if w, known := b.weights[member]; known {
		return w
	}
	return 1
}

// median is the lower one of a list in order, 0 of none.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	return list[(len(list)-1)/2]
}
