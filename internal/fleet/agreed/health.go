package agreed

import (
	"fmt"
	"math"
)

// Latency buckets: upper bounds grow by √2 from the first, in microseconds; the last bucket takes all longer latencies.
const (
	BucketCount   = 30
	firstBucketUs = 500.0
)

// Bucket returns the bucket index of a latency in microseconds.
func Bucket(us int64) int {
	if us <= firstBucketUs {
		return 0
	}
	return min(BucketCount-1, int(math.Ceil(2*math.Log2(float64(us)/firstBucketUs))))
}

// BucketMax returns the upper bound of a bucket in microseconds.
func BucketMax(i int) int64 { return int64(firstBucketUs * math.Pow(2, float64(i)/2)) }

// AnswerCounts counts final answers to requests.
type AnswerCounts struct {
	Requests uint64 `cbor:"1,keyasint" json:"requests"`
	Refused  uint64 `cbor:"2,keyasint,omitempty" json:"refused,omitempty"` // or failed
	Late     uint64 `cbor:"3,keyasint,omitempty" json:"late,omitempty"`    // served after the latency target of its class
}

func (s *AnswerCounts) add(o *AnswerCounts) {
	s.Requests, s.Refused, s.Late = s.Requests+o.Requests, s.Refused+o.Refused, s.Late+o.Late
}

// MaxClasses is how many classes are counted separately; the last takes the rest.
const MaxClasses = 8

// VersionHealth is what the gateways of one version counted over a period.
type VersionHealth struct {
	Version  string                   `cbor:"1,keyasint"`
	Classes  [MaxClasses]AnswerCounts `cbor:"2,keyasint"`
	Latency  []uint32                 `cbor:"3,keyasint"` // served requests by bucket
	Restarts int                      `cbor:"4,keyasint,omitempty"`
	Gateways int                      `cbor:"5,keyasint,omitempty"`
}

// SideCounts are the counts of one side of a comparison.
type SideCounts struct {
	Classes  [MaxClasses]AnswerCounts `cbor:"1,keyasint" json:"classes"`
	Latency  [BucketCount]uint32      `cbor:"2,keyasint" json:"latency"`
	Restarts int                      `cbor:"3,keyasint,omitempty" json:"restarts,omitempty"`
}

func (s *SideCounts) add(v *VersionHealth) {
	for i := range s.Classes {
		s.Classes[i].add(&v.Classes[i])
	}
	for i := range min(len(v.Latency), BucketCount) {
		s.Latency[i] += v.Latency[i]
	}
	s.Restarts += v.Restarts
}

func (s *SideCounts) total() (t AnswerCounts) {
	for i := range s.Classes {
		t.add(&s.Classes[i])
	}
	return t
}

func fraction(n, of uint64) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// p99 returns the 99th percentile of latency in microseconds, 0 if nothing was served.
func (s *SideCounts) p99() int64 {
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

// Comparison holds the counts of a release's version (New) and of the other versions (Old). Base counts the others over
// the whole release, for the time when too few of them are left.
type Comparison struct {
	New  SideCounts `cbor:"1,keyasint" json:"new"`
	Old  SideCounts `cbor:"2,keyasint" json:"old"`
	Base SideCounts `cbor:"3,keyasint" json:"base"`
}

// FleetHealth is how the whole fleet served in the last counted period.
type FleetHealth struct {
	At             int64   `cbor:"1,keyasint,omitempty" json:"at_ms"`
	Requests       uint64  `cbor:"2,keyasint,omitempty" json:"requests"`
	InTimeFraction float64 `cbor:"3,keyasint,omitempty" json:"worth"` // of requests, served within the latency target
}

// Rules apply to every target that is to be taken out.
type Rules struct {
	BlockOnZoneLoss   bool    `cbor:"1,keyasint,omitempty" json:"zone_lost,omitempty"` // refuse permits while a zone is lost
	MinInTimeFraction float64 `cbor:"2,keyasint,omitempty" json:"worth,omitempty"`     // refuse permits while a smaller fraction of requests is served in time
}

// Rules returns the rules in force.
func (m *Machine) Rules() Rules { return m.s.Rules }

// FleetHealth returns how the fleet served in the last counted period.
func (m *Machine) FleetHealth() FleetHealth { return m.s.FleetHealth }

const (
	fleetHealthValidMs = 30 * 1000 // how long a count of the fleet's health is valid
	minFleetRequests   = 20        // fewer requests say nothing about the fleet's health
)

// HealthLimits are the conditions for a release to go on: how much worse the new version may serve than the others.
type HealthLimits struct {
	RefusedMargin float64 `cbor:"1,keyasint" json:"refused"` // allowed excess in the fraction of refused or failed requests, in total and per class
	LateMargin    float64 `cbor:"2,keyasint" json:"late"`
	P99Factor     float64 `cbor:"3,keyasint" json:"p99_times"`
	MaxRestarts   int     `cbor:"4,keyasint" json:"restarts"` // allowed, besides those of the release itself
	MinRequests   uint64  `cbor:"5,keyasint" json:"requests"` // needed on each side for a comparison
	WithinMs      int64   `cbor:"6,keyasint" json:"within_ms"`
	Disabled      bool    `cbor:"7,keyasint,omitempty" json:"off,omitempty"` // the operator wants no comparison
}

func (w *HealthLimits) check() string {
	if w.Disabled {
		return ""
	}
	if w.RefusedMargin < 0 || w.RefusedMargin > 1 || w.LateMargin < 0 || w.LateMargin > 1 || w.P99Factor < 1 || w.MaxRestarts < 0 || w.MinRequests == 0 || w.WithinMs <= 0 || w.WithinMs > MaxTermMs {
		return fmt.Sprintf("health wants refused %g and late %g from 0 to 1, p99 times %g from 1, restarts %d from 0, requests %d from 1 and within %d ms",
			w.RefusedMargin, w.LateMargin, w.P99Factor, w.MaxRestarts, w.MinRequests, w.WithinMs)
	}
	return ""
}

type verdict int

const (
	undecided verdict = iota
	good
	bad
)

// evaluate compares the new version with the others: bad as soon as that is certain, good only once both sides have
// enough requests. The text says why it is not good.
func (w *HealthLimits) evaluate(r *Release) (verdict, string) {
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
		return undecided, fmt.Sprintf("the new version had %d requests, the others %d, want %d of each", a.Requests, b.Requests, w.MinRequests)
	}
	compare := func(what string, x, y AnswerCounts) string {
		if p, q := fraction(x.Refused, x.Requests), fraction(y.Refused, y.Requests); p > q+w.RefusedMargin+chanceMargin(x.Requests) {
			return fmt.Sprintf("the new version refused %.1f %% of %s, the others %.1f %%", 100*p, what, 100*q)
		}
		if p, q := fraction(x.Late, x.Requests), fraction(y.Late, y.Requests); p > q+w.LateMargin+chanceMargin(x.Requests) {
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
			if fraction(y.Requests, b.Requests) >= minClassFraction && x.Requests < least {
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
		return undecided, dim
	}
	return good, ""
}

// minClassFraction is the fraction of the others' requests above which a class must be compared for a version to be good.
const minClassFraction = 0.05

// chanceMargin is by how much a fraction of n requests may differ by chance: two standard deviations at a fraction of 5 %.
func chanceMargin(n uint64) float64 { return 2 * math.Sqrt(0.05*0.95/float64(max(n, 1))) }

// applyHealth adds the gateways' counts to the fleet's health and to running releases of gateways.
func (m *Machine) applyHealth(all []VersionHealth) {
	var whole SideCounts
	for i := range all {
		whole.add(&all[i])
	}
	if t := whole.total(); t.Requests >= minFleetRequests {
		m.s.FleetHealth = FleetHealth{At: m.s.Time, Requests: t.Requests, InTimeFraction: 1 - fraction(t.Refused+t.Late, t.Requests)}
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
		m.storeRelease(&r)
	}
}

// blockedBy says which rule or group condition forbids taking the target out, whatever the budgets allow; empty if none.
func (m *Machine) blockedBy(target string) string {
	s := &m.s
	if s.Format < ReleasesFormat {
		return ""
	}
	if s.Rules.BlockOnZoneLoss {
		all, lost := map[string]int{}, map[string]int{}
		for _, t := range s.Targets {
			if t.kind() == "gateways" && t.Zone != "" && s.Permits[t.Name].Fence == 0 {
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
	if w := s.Rules.MinInTimeFraction; w > 0 && s.FleetHealth.Requests > 0 && s.Time-s.FleetHealth.At < fleetHealthValidMs && s.FleetHealth.InTimeFraction < w {
		return fmt.Sprintf("the fleet serves %.1f %% in time, under %.1f %%: nothing new goes out", 100*s.FleetHealth.InTimeFraction, 100*w)
	}
	t, ok := s.Targets[target]
	if why := m.zoneBlockedBy(t.Zone); why != "" && t.kind() == "gateways" {
		return why
	}
	if !ok || t.kind() != "members" || t.Group == "" || !m.guarded(GuardGroupSafety) {
		return ""
	}
	caught, out := 0, 0
	primary, best := "", ""
	for _, o := range s.Targets {
		if o.Group != t.Group || o.kind() != "members" {
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

// ShouldRecall reports whether a target that is out under a permit should come back early: more is out than a budget
// allows, as others have failed since.
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
		out, all, _ := m.countOut(&b, "")
		if most, ok := b.limit(all); ok && out > most && p.Fence > 0 {
			return true
		}
	}
	return false
}
