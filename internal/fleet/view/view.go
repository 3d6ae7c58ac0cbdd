// Package view derives a gateway's verdict on its own connectivity from the peers that it reaches, and its
// confidence in what it records about them. It tells the failure of peers apart from this gateway being cut
// off. It does no I/O, starts no goroutine and reads no clock.
package view

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"reachwind/internal/fleet/swim"
)

// Time is a point on the owner's monotonic clock, or a duration on it.
type Time = time.Duration

// Verdict is a gateway's judgement of its own connectivity to the group.
type Verdict uint8

// The verdicts. Their numbers are part of the wire format.
const (
	Alone    Verdict = 1 // no peer is reached
	Minority Verdict = 2 // at most half of the gateways that may be running are reached
	Majority Verdict = 3 // more than half are reached; printed as "whole"
)

var verdictNames = [...]string{"unknown", "alone", "minority", "whole"}

// String returns the verdict's name for tables and JSON.
func (v Verdict) String() string {
	return verdictNames[min(int(v), len(verdictNames)-1)%len(verdictNames)]
}

const (
	degradeDelay          = time.Second      // a worse verdict applies once it has lasted this long
	minRecoveryDelay      = 2 * time.Second  // a better verdict applies after at least this delay, which doubles with each further improvement
	maxRecoveryDelay      = 60 * time.Second // maximum of that delay
	stableTime            = 60 * time.Second // the delay halves after each such time without a change
	goneDelay             = 5 * time.Second  // a peer whose process is known to have ended for this long no longer counts
	directContactValidity = 30 * time.Second // a peer not heard directly for longer is known only from others' claims
	evidenceValidity      = 5 * time.Second  // answers of members and of discovery count for this long
	pauseReasonTime       = 10 * time.Second // an own pause is given as a reason for this long
)

// Meta is the metadata that a peer publishes about itself. Fields are added, never changed.
type Meta struct {
	Zone          string   `cbor:"1,keyasint,omitempty"`
	Region        string   `cbor:"2,keyasint,omitempty"`
	Version       string   `cbor:"3,keyasint,omitempty"`
	Load          uint8    `cbor:"4,keyasint,omitempty"` // load in eighths of its capacity
	Drain         bool     `cbor:"5,keyasint,omitempty"`
	Verdict       Verdict  `cbor:"6,keyasint,omitempty"`
	FrameVersions [2]uint8 `cbor:"8,keyasint"` // oldest and newest frame version that it supports
}

// Encode returns the wire form.
func (m *Meta) Encode() []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return b
}

// DecodeMeta parses a peer's metadata; if it can't be parsed the result is empty.
func DecodeMeta(b []byte) Meta {
	var m Meta
	if len(b) == 0 || cbor.Unmarshal(b, &m) != nil {
		return Meta{}
	}
	return m
}

// Evidence is what this gateway observed besides its peers. Times are on its clock.
type Evidence struct {
	Member    Time // last answer of a member, DistantPast if none
	Discovery Time
	Paused    Time // end of the last pause of this process
	Doubt     int  // self-doubt level of the membership protocol
}

// DistantPast is before all other times; it stands for "not yet".
const DistantPast Time = -1 << 60

// Status is a verdict with its reasons.
type Status struct {
	Verdict Verdict
	Number  uint64 // grows with each change
	Since   Time
	Reasons []string
}

// View is one gateway's verdict and its hysteresis. It is not safe for concurrent use.
type View struct {
	name, zone     string
	status         Status
	candidate      Verdict // verdict by the latest counts, without hysteresis
	candidateSince Time
	recoveryDelay  Time // how long a better verdict must last at present
	changedAt      Time
	expectsPeers   bool // seeds are configured: knowing no peer means being alone
}

// New returns the view of a gateway that knows no peers. If it expects peers its verdict is Alone, else Majority.
func New(name, zone string, expects bool) *View {
	v := &View{name: name, zone: zone, expectsPeers: expects, recoveryDelay: minRecoveryDelay, changedAt: DistantPast}
	v.status = Status{Verdict: Alone, Number: 1, Reasons: []string{"no peer has been heard from yet"}}
	v.candidate, v.candidateSince = Alone, 0
	if !expects {
		v.status.Verdict, v.candidate = Majority, Majority
		v.status.Reasons = []string{"no seeds are configured, so no peers are expected"}
	}
	return v
}

// Status returns the current verdict.
func (v *View) Status() Status { return v.status }

// count is the number of gateways reached, of all that may be running.
type count struct{ reached, expected int }

func (c count) String() string { return fmt.Sprintf("%d of %d", c.reached, c.expected) }

// Tally counts gateways reached and expected, by own zone and other zones, this gateway included.
type Tally struct {
	ownZone, otherZones count
	ended               int
}

// NewTally returns a tally of this gateway alone.
func NewTally() Tally { return Tally{ownZone: count{1, 1}} }

func (t *Tally) total() count {
	return count{t.ownZone.reached + t.otherZones.reached, t.ownZone.expected + t.otherZones.expected}
}

// Count adds a peer of the zone to the tally, as of now. Peers that left are no part of the group, and those
// whose process is known to have ended can't be on the other side of a partition.
func (v *View) Count(t *Tally, now Time, p *swim.Peer, zone string) {
	if p.State == swim.Left {
		return
	}
	if p.State == swim.Failed && p.ProcessGone && now-p.Since > goneDelay {
		t.ended++
		return
	}
	zoneCount := &t.otherZones
	if zone == v.zone {
		zoneCount = &t.ownZone
	}
	zoneCount.expected++
	if p.State == swim.Alive { // a suspect may be running, but is not reached
		zoneCount.reached++
	}
}

// Evaluate updates the verdict from a tally and reports whether it changed. It must be called at least once a
// second. displaced tells that a later start has this gateway's name.
func (v *View) Evaluate(now Time, t Tally, displaced bool, e Evidence) bool {
	total, own, other, ended := t.total(), t.ownZone, t.otherZones, t.ended
	latest := Minority
	switch {
	case displaced:
		latest = Alone
	case total.reached == 1 && (total.expected > 1 || v.expectsPeers):
		latest = Alone
	case 2*total.reached > total.expected:
		latest = Majority
	}
	if latest != v.candidate {
		v.candidate, v.candidateSince = latest, now
	}
	if now-v.changedAt > stableTime && v.recoveryDelay > minRecoveryDelay {
		v.recoveryDelay, v.changedAt = max(minRecoveryDelay, v.recoveryDelay/2), now
	}
	delay := degradeDelay
	if latest > v.status.Verdict {
		delay = v.recoveryDelay
	}
	if latest == v.status.Verdict || now-v.candidateSince < delay {
		return false
	}
	if latest > v.status.Verdict && now-v.changedAt < stableTime {
		v.recoveryDelay = min(2*v.recoveryDelay, maxRecoveryDelay)
	}
	v.changedAt = now
	v.status = Status{Verdict: latest, Number: v.status.Number + 1, Since: now,
		Reasons: verdictReasons(now, total, own, other, ended, displaced, latest, e)}
	return true
}

func verdictReasons(now Time, total, own, other count, gone int, displaced bool, want Verdict, e Evidence) []string {
	if displaced {
		return []string{"a later start with this gateway's name is alive"}
	}
	why := []string{fmt.Sprintf("%v gateways are reached: %v in the own zone, %v in other zones", total, own, other)}
	if gone > 0 {
		why = append(why, fmt.Sprintf("%d more refused connections: their processes have ended", gone))
	}
	if want == Majority {
		return why
	}
	members, discovery := now-e.Member < evidenceValidity, now-e.Discovery < evidenceValidity
	switch {
	case now-e.Paused < pauseReasonTime:
		why = append(why, "this gateway was paused recently: it does not blame peers yet")
	case members && discovery:
		why = append(why, "members and discovery answer: the links between gateways are down, or the other gateways failed")
	case members:
		why = append(why, "members answer, discovery does not: part of the network is unreachable")
	case discovery:
		why = append(why, "discovery answers, members do not or were not asked: part of the network is unreachable")
	default:
		why = append(why, "neither members nor discovery answer: this gateway is cut off from the network")
	}
	return why
}

// Confidence returns the confidence in a peer's recorded state, from 0 to 1: lower if it rests on others' claims,
// and much lower while this gateway itself may be missing messages.
func (v *View) Confidence(now Time, p *swim.Peer, e Evidence) float64 {
	confidence := 0.5
	switch p.State {
	case swim.Left:
		return 1
	case swim.Alive:
		if confidence = 0.99; now-p.LastHeard > directContactValidity {
			confidence = 0.8
		}
	case swim.Failed:
		if confidence = 0.8; p.ProcessGone {
			return 0.99
		}
		if v.status.Verdict != Majority || v.candidate != Majority {
			confidence = 0.4
		}
	}
	if p.State != swim.Alive && (e.Doubt > 1 || now-e.Paused < pauseReasonTime) {
		confidence = min(confidence, 0.4)
	}
	return confidence
}

// Operations that depend on the verdicts.

// Operation is an operation that a verdict may forbid.
type Operation uint8

// The operations.
const (
	ServeReads Operation = iota
	ServeWrites
	UseObservations
	BorrowQuota
	ProbeForOthers
	StartDrain
)

// OperationNames lists the names of all operations as printed in tables, indexed by Operation.
var OperationNames = []string{"serve reads", "serve writes", "use told beliefs", "take larger budgets", "probe for others", "start a drain"}

// Rule is one cell of the table of rules.
type Rule struct {
	Operation   string `json:"act"`
	OwnVerdict  string `json:"mine"`
	PeerVerdict string `json:"theirs"`
	Allowed     bool   `json:"allowed"`
	Reason      string `json:"why"`
}

// Allowed reports whether a gateway with verdict mine may perform an operation towards, or on the word of, a
// peer with verdict theirs, and why. It is the code that decides at run time as well as what `reachwind fleet
// rules` prints.
func Allowed(a Operation, mine, theirs Verdict) (bool, string) {
	switch a {
	case ServeReads, ServeWrites:
		return true, "every gateway serves by its own observations"
	case UseObservations:
		if mine == Alone {
			return false, "while alone, reports of peers date from before the partition"
		}
		return true, "a claim only triggers a probe, whoever makes it"
	case BorrowQuota:
		if mine == Majority && theirs == Majority {
			return true, "both gateways can be reached when the term of the loan ends"
		}
		return false, "the even split of budgets needs no communication"
	case ProbeForOthers:
		if mine == Alone {
			return false, "while alone, the result can't be reported to anyone"
		}
		return true, "only a gateway that reaches both sides can tell a partition from a crash"
	case StartDrain:
		if mine == Majority && theirs != Alone {
			return true, "the remaining gateways know of the drain and can carry the load"
		}
		return false, "which gateways are out on the other side of a partition is not known"
	}
	return false, "unknown operation"
}

// Rules returns the whole table, ordered by operation, then own verdict, then peer verdict.
func Rules() (all []Rule) {
	verdicts := []Verdict{Majority, Minority, Alone}
	for a, name := range OperationNames {
		for _, mine := range verdicts {
			for _, theirs := range verdicts {
				ok, why := Allowed(Operation(a), mine, theirs)
				all = append(all, Rule{name, mine.String(), theirs.String(), ok, why})
			}
		}
	}
	return slices.Clip(all)
}
