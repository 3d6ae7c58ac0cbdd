// Package loadsignal shares load estimates of members between gateways: each gateway publishes its
// outstanding requests and measured latencies per member in bounded digests. The result is a weight for
// the choice among members that may answer. It never affects log positions and never takes a member out of
// use. The package does no I/O, starts no goroutine and reads no clock.
//
//  1. A weight is between MinWeight and MaxWeight, whatever is reported.
//  2. Of the outstanding requests that one gateway reports for a member, at most MaxReportMultiple times the
//     median of all reports of that member counts; of latencies the median counts. So a gateway that lies
//     moves the estimate of a member that n gateways report by at most MaxReportMultiple / n.
//  3. Reports lose weight with age and are dropped after MaxAge. Without reports all weights return to 1.
//  4. A weight moves by at most the fraction MaxStep of the way to its target per Tick, so that many gateways
//     that receive the same reports at once do not all choose the same member.
package loadsignal

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Time is a point on the owner's monotonic clock, or a duration on it.
type Time = time.Duration

// Limits and parameters.
const (
	MaxLines             = 64                     // lines per digest; those with the most outstanding requests are sent
	MaxGateways          = 1024                   // gateways whose digests are held; the one heard longest ago is dropped first
	MaxNameBytes         = 255                    // bytes of a name; lines and digests with longer names are refused
	MaxOutstanding       = 1 << 16                // highest number of outstanding requests in a line
	MaxLatency           = 30 * time.Second       // highest latency in a line
	MaxAge               = 5 * time.Second        // several intervals between digests
	Tick                 = 100 * time.Millisecond // between adjustments of the weights
	MaxStep              = 0.05                   // half of the way takes 1.4 s, longer than digests take to spread
	MinWeight, MaxWeight = 0.5, 2.0               // so no member is left without requests, and none gets more than four times another's
	MaxReportMultiple    = 3.0                    // honest gateways with a common subset of members differ by about this factor
)

// Line is what a gateway itself knows of one member.
type Line struct {
	Member      string
	Outstanding uint32 // its own requests outstanding at the member
	Latency     Time   // as measured recently, 0 if not measured
}

// Digest is what one gateway publishes. Gateway is the sender as established by the transport.
type Digest struct {
	Gateway       string
	Epoch, Number uint64 // later ones replace earlier ones
	Lines         []Line
}

// Member is a member to be weighted.
type Member struct {
	Name     string
	Capacity float64 // in any unit common to all members; 0 or less counts as 1
}

// DropCounts counts digests, gateways and lines that were dropped, by reason.
type DropCounts struct{ Full, Old, Lines int }

// Estimator holds the digests that one gateway received and its weights. It is not safe for concurrent use.
type Estimator struct {
	Dropped     DropCounts
	own         Digest
	digests     map[string]receivedDigest
	weights     map[string]float64
	movedAt     Time
	maxStep     float64
	reportLimit float64
}

type receivedDigest struct {
	Digest
	at Time
}

// New returns the book of a gateway that has received nothing.
func New(name string, epoch uint64) *Estimator {
	return &Estimator{own: Digest{Gateway: name, Epoch: epoch}, digests: map[string]receivedDigest{}, weights: map[string]float64{}, maxStep: MaxStep, reportLimit: MaxReportMultiple}
}

// SetOwn sets this gateway's own lines, replacing the earlier ones.
func (e *Estimator) SetOwn(lines []Line) { e.own.Lines = append(e.own.Lines[:0], lines...) }

// Digest returns the digest to send to the other gateways now.
func (e *Estimator) Digest() Digest {
	e.own.Number++
	d := e.own
	d.Lines = slices.Clone(d.Lines)
	slices.SortFunc(d.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(b.Outstanding, a.Outstanding), cmp.Compare(a.Member, b.Member))
	})
	d.Lines = d.Lines[:min(len(d.Lines), MaxLines)]
	return d
}

// HandleDigest handles a digest and returns whether it was newer than the one held.
func (e *Estimator) HandleDigest(now Time, d Digest) bool {
	previous, known := e.digests[d.Gateway]
	if d.Gateway == e.own.Gateway || len(d.Gateway) > MaxNameBytes || known && cmp.Or(cmp.Compare(d.Epoch, previous.Epoch), cmp.Compare(d.Number, previous.Number)) <= 0 {
		e.Dropped.Old++
		return false
	}
	if !known && len(e.digests) >= MaxGateways {
		oldest := ""
		for name, t := range e.digests {
			if o, has := e.digests[oldest]; !has || t.at < o.at || t.at == o.at && name < oldest {
				oldest = name
			}
		}
		delete(e.digests, oldest)
		e.Dropped.Full++
	}
	lines := make([]Line, 0, min(len(d.Lines), MaxLines))
	for _, l := range d.Lines {
		duplicate := slices.ContainsFunc(lines, func(o Line) bool { return o.Member == l.Member })
		if duplicate || len(lines) == MaxLines || len(l.Member) > MaxNameBytes || l.Outstanding > MaxOutstanding || l.Latency < 0 || l.Latency > MaxLatency {
			e.Dropped.Lines++
			continue
		}
		lines = append(lines, l)
	}
	d.Lines = lines
	e.digests[d.Gateway] = receivedDigest{d, now}
	return true
}

// UpdateWeights adjusts the weights of members; members that are not listed are dropped. It must be called
// every Tick: an earlier call does nothing, a late one adjusts by one Tick only.
func (e *Estimator) UpdateWeights(now Time, members []Member) {
	if now < e.movedAt+Tick {
		return
	}
	e.movedAt = now
	type memberReports struct {
		out     []float64 // as reported, reduced by age
		latency []float64
	}
	at := map[string]*memberReports{}
	for _, m := range members {
		at[m.Name] = &memberReports{}
	}
	collect := func(lines []Line, weight float64) {
		for _, l := range lines {
			if s := at[l.Member]; s != nil {
				if s.out = append(s.out, float64(l.Outstanding)*weight); l.Latency > 0 {
					s.latency = append(s.latency, l.Latency.Seconds())
				}
			}
		}
	}
	collect(e.own.Lines, 1)
	for name, t := range e.digests {
		if now-t.at >= MaxAge {
			delete(e.digests, name)
			continue
		}
		collect(t.Lines, 1-float64(now-t.at)/float64(MaxAge))
	}
	busyness, mean := map[string]float64{}, 0.0
	for _, m := range members {
		s, capacity := at[m.Name], m.Capacity
		if !(capacity > 0) || math.IsInf(capacity, 0) {
			capacity = 1
		}
		slices.Sort(s.out) // sums of floats depend on their order, and maps have none
		sum, limit := 1.0, max(1, median(s.out))*e.reportLimit
		for _, o := range s.out {
			sum += min(o, limit)
		}
		slices.Sort(s.latency)
		// The number of outstanding requests already grows with latency, so measured latency counts by its
		// square root.
		busyness[m.Name] = sum / capacity * math.Sqrt(max(median(s.latency), 0.001))
	}
	for _, m := range members {
		mean += math.Log(busyness[m.Name]) / float64(len(members))
	}
	next := make(map[string]float64, len(members))
	for _, m := range members {
		was := e.Weight(m.Name)
		next[m.Name] = was + (min(max(math.Exp(mean)/busyness[m.Name], MinWeight), MaxWeight)-was)*e.maxStep
	}
	e.weights = next
}

// Weight returns the factor for a member in the choice among members that may answer; 1 is neutral.
func (e *Estimator) Weight(member string) float64 {
	if w, known := e.weights[member]; known {
		return w
	}
	return 1
}

// median returns the lower median of a sorted list, 0 if it is empty.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	return list[(len(list)-1)/2]
}
