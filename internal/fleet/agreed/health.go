package agreed

import (
	"fmt"
	"math"
)

// Buckets are bounds of latency in microseconds, each √2 of the one before: the last takes all that is longer.
const (
	BucketCount = 30
	bucketFirst = 500.0
)

// Bucket is the place of a latency in microseconds.
func Bucket(us int64) int {
	if us <= bucketFirst {
		return 0
	}
	return min(BucketCount-1, int(math.Ceil(2*math.Log2(float64(us)/bucketFirst))))
}

// BucketMax is the longest latency in microseconds that a bucket takes.
func BucketMax(i int) int64 { return int64(bucketFirst * math.Pow(2, float64(i)/2)) }

// AnswerCounts counts final answers.
type AnswerCounts struct {
	Requests uint64 `cbor:"1,keyasint" json:"requests"`
	Refused  uint64 `cbor:"2,keyasint,omitempty" json:"refused,omitempty"` // or failed
	Late     uint64 `cbor:"3,keyasint,omitempty" json:"late,omitempty"`    // served after the time that its class aims at
}

func (s *AnswerCounts) add(o *AnswerCounts) {
	s.Requests, s.Refused, s.Late = s.Requests+o.Requests, s.Refused+o.Refused, s.Late+o.Late
}

// MaxClasses are how many classes are told apart; the last takes the rest.
const MaxClasses = 8

// VersionHealth is how gateways of a version served in a while.
type VersionHealth struct {
	Version  string                   `cbor:"1,keyasint"`
	Classes  [MaxClasses]AnswerCounts `cbor:"2,keyasint"`
	Latency  []uint32                 `cbor:"3,keyasint"` // by bucket, of what was served
	Restarts int                      `cbor:"4,keyasint,omitempty"`
	Gateways int                      `cbor:"5,keyasint,omitempty"`
}

// Side is what was counted of one side of a comparison.
type Side struct {
	Classes  [MaxClasses]AnswerCounts `cbor:"1,keyasint" json:"classes"`
	Latency  [BucketCount]uint32      `cbor:"2,keyasint" json:"latency"`
	Restarts int                      `cbor:"3,keyasint,omitempty" json:"restarts,omitempty"`
}

func (s *Side) add(v *VersionHealth) {
	for i := range s.Classes {
		s.Classes[i].add(&v.Classes[i])
	}
	for i := range min(len(v.Latency), BucketCount) {
		s.Latency[i] += v.Latency[i]
	}
	s.Restarts += v.Restarts
}

func (s *Side) total() (t AnswerCounts) {
	for i := range s.Classes {
		t.add(&s.Classes[i])
	}
	return t
}

func part(n, of uint64) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// p99 is in microseconds, 0 = nothing was served.
func (s *Side) p99() int64 {
	n := uint64(0)
	for _, c := range s.Latency {
		n += uint64(c)
	}
	rank, seen := uint64(math.Ceil(0.99*float64(n))), uint64(0)
	for i, c := range s.Latency {
		if seen += uint64(c); n > 0 && seen >= rank {
			return BucketMax(i)
		}
	}
	return 0
}

// Window is what was seen of a release's version and of the others. Base is the others over the whole release, for the
// time when none is left.
type Window struct {
	New  Side `cbor:"1,keyasint" json:"new"`
	Old  Side `cbor:"2,keyasint" json:"old"`
	Base Side `cbor:"3,keyasint" json:"base"`
}

// FleetHealth is how the whole fleet served lately.
type FleetHealth struct {
	At             int64   `cbor:"1,keyasint,omitempty" json:"at_ms"`
	Requests       uint64  `cbor:"2,keyasint,omitempty" json:"requests"`
	InTimeFraction float64 `cbor:"3,keyasint,omitempty" json:"worth"` // served in time
}

// Rules hold for whatever goes out.
type Rules struct {
	BlockOnZoneLoss   bool    `cbor:"1,keyasint,omitempty" json:"zone_lost,omitempty"` // nothing new goes out while a zone is lost
	MinInTimeFraction float64 `cbor:"2,keyasint,omitempty" json:"worth,omitempty"`     // nor while less than this part is served in time
}

// Rules are those that hold.
func (m *Machine) Rules() Rules { return m.s.Rules }

// FleetHealth is how the fleet served lately.
func (m *Machine) FleetHealth() FleetHealth { return m.s.Serves }

const (
	servesFresh = 30 * 1000 // ms for which a count of what is served holds
	servesLeast = 20        // requests by which the fleet's worth can be told
)

// HealthLimits is the health that must hold for a release to go on: bounds on what the new version may do worse than the others.
type HealthLimits struct {
	RefusedMargin float64 `cbor:"1,keyasint" json:"refused"` // so much larger a part of its requests may be refused or failed, in all and of each class
	LateMargin    float64 `cbor:"2,keyasint" json:"late"`
	P99Factor     float64 `cbor:"3,keyasint" json:"p99_times"`
	MaxRestarts   int     `cbor:"4,keyasint" json:"restarts"` // beside those of the release
	MinRequests   uint64  `cbor:"5,keyasint" json:"requests"` // by which each side can be told
	WithinMs      int64   `cbor:"6,keyasint" json:"within_ms"`
	Disabled      bool    `cbor:"7,keyasint,omitempty" json:"off,omitempty"` // the operator says that nothing is compared
}

func (w *HealthLimits) check() string {
	if w.Disabled {
		return ""
	}
	if w.RefusedMargin < 0 || w.RefusedMargin > 1 || w.LateMargin < 0 || w.LateMargin > 1 || w.P99Factor < 1 || w.MaxRestarts < 0 || w.MinRequests == 0 || w.WithinMs <= 0 || w.WithinMs > TermMost {
		return fmt.Sprintf("health wants refused %g and late %g from 0 to 1, p99 times %g from 1, restarts %d from 0, requests %d from 1 and within %d ms",
			w.RefusedMargin, w.LateMargin, w.P99Factor, w.MaxRestarts, w.MinRequests, w.WithinMs)
	}
	return ""
}

type verdict int

const (
	untold verdict = iota
	good
	bad
)

// judge compares the new version with the others: bad as soon as that can be told, good only once both can be.
func (w *HealthLimits) judge(r *Release) (verdict, string) {
	if w.Disabled {
		return good, ""
	}
	mine, others := &r.Counts.New, &r.Counts.Old
	a := mine.total()
	if mine.Restarts > w.MaxRestarts {
		return bad, fmt.Sprintf("gateways of the new version restarted %d times, %d allowed", mine.Restarts, w.MaxRestarts)
	}
	b := others.total()
	if b.Requests < w.MinRequests {
		others = &r.Counts.Base
		b = others.total()
	}
	if a.Requests < w.MinRequests || b.Requests < w.MinRequests {
		return untold, fmt.Sprintf("the new version had %d requests, the others %d, want %d of each", a.Requests, b.Requests, w.MinRequests)
	}
	compare := func(what string, x, y AnswerCounts) string {
		if p, q := part(x.Refused, x.Requests), part(y.Refused, y.Requests); p > q+w.RefusedMargin+noise(x.Requests) {
			return fmt.Sprintf("the new version refused %.1f %% of %s, the others %.1f %%", 100*p, what, 100*q)
		}
		if p, q := part(x.Late, x.Requests), part(y.Late, y.Requests); p > q+w.LateMargin+noise(x.Requests) {
			return fmt.Sprintf("the new version served %.1f %% of %s late, the others %.1f %%", 100*p, what, 100*q)
		}
		return ""
	}
	if why := compare("all", a, b); why != "" {
		return bad, why
	}
	dim := ""
	for i := range mine.Classes {
		x, y := mine.Classes[i], others.Classes[i]
		if least := max(w.MinRequests/10, 10); x.Requests < least || y.Requests < least {
			if part(y.Requests, b.Requests) >= classPart && x.Requests < least {
				dim = fmt.Sprintf("the new version had %d requests of class %d, want %d", x.Requests, i, least)
			}
			continue
		}
		if why := compare(fmt.Sprintf("class %d", i), x, y); why != "" {
			return bad, why
		}
	}
	if p, q := mine.p99(), others.p99(); q > 0 && float64(p) > float64(q)*w.P99Factor*math.Sqrt2 { // buckets are √2 apart
		return bad, fmt.Sprintf("p99 of the new version is %.1f ms, of the others %.1f ms", float64(p)/1000, float64(q)/1000)
	}
	if dim != "" {
		return untold, dim
	}
	return good, ""
}

// classPart is the part of the others' requests from which on a class must be told for a version to be good.
const classPart = 0.05

// noise is by how much a part of so many requests may differ by chance: two standard deviations of a part of 5 %.
func noise(n uint64) float64 { return 2 * math.Sqrt(0.05*0.95/float64(max(n, 1))) }

// health takes what gateways counted.
func (m *Machine) health(all []VersionHealth) {
	var whole Side
	for i := range all {
		whole.add(&all[i])
	}
	if t := whole.total(); t.Requests >= servesLeast {
		m.s.Serves = FleetHealth{At: m.s.Time, Requests: t.Requests, InTimeFraction: 1 - part(t.Refused+t.Late, t.Requests)}
	}
	for _, r := range m.Releases() {
		if r.State != Running || r.Kind != "gateways" {
			continue
		}
		for i := range all {
			if v := &all[i]; r.Version != "" && v.Version == r.Version {
				r.Counts.New.add(v)
			} else {
				r.Counts.Old.add(v)
				r.Counts.Base.add(v)
			}
		}
		m.keep(&r)
	}
}

// bars says why nothing new, or not this target, may go out whatever the budgets say; empty: nothing bars it.
func (m *Machine) bars(target string) string {
	s := &m.s
	if s.Form < ReleasesFormat {
		return ""
	}
	if s.Rules.BlockOnZoneLoss {
		all, lost := map[string]int{}, map[string]int{}
		for _, t := range s.Targets {
			if t.of() == "gateways" && t.Zone != "" && s.Permits[t.Name].Fence == 0 {
				all[t.Zone]++
				if t.Out {
					lost[t.Zone]++
				}
			}
		}
		zone := ""
		for z, n := range all {
			if n > 1 && 2*lost[z] > n && (zone == "" || z < zone) {
				zone = z
			}
		}
		if zone != "" {
			return fmt.Sprintf("zone %s is lost, %d of its %d gateways are out by themselves: nothing new goes out", zone, lost[zone], all[zone])
		}
	}
	if w := s.Rules.MinInTimeFraction; w > 0 && s.Serves.Requests > 0 && s.Time-s.Serves.At < servesFresh && s.Serves.InTimeFraction < w {
		return fmt.Sprintf("the fleet serves %.1f %% in time, under %.1f %%: nothing new goes out", 100*s.Serves.InTimeFraction, 100*w)
	}
	t, ok := s.Targets[target]
	if why := m.zoneBars(t.Zone); why != "" && t.of() == "gateways" {
		return why
	}
	if !ok || t.of() != "members" || t.Group == "" || !m.on(GuardLast) {
		return ""
	}
	caught, out := 0, 0
	primary, best := "", ""
	for _, o := range s.Targets {
		if o.Group != t.Group || o.of() != "members" {
			continue
		}
		_, held := s.Permits[o.Name]
		gone := held || o.Out
		if gone {
			out++
		}
		if o.Primary && (primary == "" || o.Name < primary) {
			primary = o.Name
		}
		if o.BestSuccessor && (best == "" || o.Name < best) {
			best = o.Name
		}
		if o.CaughtUp && !o.Primary && !gone && o.Name != target {
			caught++
		}
	}
	isOut := func(name string) bool {
		_, held := s.Permits[name]
		return name != "" && (held || s.Targets[name].Out)
	}
	switch {
	case t.Primary && isOut(best):
		return fmt.Sprintf("%s is primary of group %s, and its best successor %s is out", target, t.Group, best)
	case t.BestSuccessor && isOut(primary):
		return fmt.Sprintf("%s is the best successor of %s, the primary of group %s, which is out", target, primary, t.Group)
	case !t.Primary && t.CaughtUp && caught == 0:
		return fmt.Sprintf("%s is the last caught-up replica of group %s", target, t.Group)
	case t.Primary && caught == 0:
		return fmt.Sprintf("%s is primary of group %s, which has no caught-up replica in use", target, t.Group)
	}
	return ""
}

// ShouldRecall tells that a target which is out by a permit had better come back: more is out than a budget allows, as
// others failed since.
func (m *Machine) ShouldRecall(target string) bool {
	p, ok := m.s.Permits[target]
	if !ok {
		return false
	}
	t := Target{Name: target}
	if known, ok := m.s.Targets[target]; ok {
		t = known
	}
	for _, b := range m.s.Budgets {
		if !b.covers(&t) {
			continue
		}
		out, all, _ := m.out(&b, "")
		if most, ok := b.allows(all); ok && out > most && p.Fence > 0 {
			return true
		}
	}
	return false
}
