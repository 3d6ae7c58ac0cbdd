// Package view is what one gateway takes for true of its peers and of itself, and
// how sure it is. It tells apart that peers failed and that this gateway is cut
// off. It does no I/O, starts no goroutine and reads no clock.
package view

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"reachwind/internal/fleet/swim"
)

// Time is a point on the owner's monotonic clock, or a span on it.
type Time = time.Duration

// Verdict is what a gateway thinks of its own place in the group.
type Verdict uint8

// The verdicts, on the wire too.
const (
	Alone    Verdict = 1 // no peer is reached
	Minority Verdict = 2 // not more than half of those that may be there
	Majority Verdict = 3 // more than half
)

var verdictNames = [...]string{"unknown", "alone", "minority", "whole"}

// String is the verdict's name in tables and JSON.
func (v Verdict) String() string {
	return verdictNames[min(int(v), len(verdictNames)-1)%len(verdictNames)]
}

const (
	worseAfter = time.Second      // a change for the worse must have lasted so long
	betterMin  = 2 * time.Second  // one for the better so long, doubling with each change
	betterMax  = 60 * time.Second // in quick succession up to this,
	calmAfter  = 60 * time.Second // halving for each so long without any
	goneAfter  = 5 * time.Second  // a process that is known to be gone for so long is no other side
	heardLate  = 30 * time.Second // a peer unheard of for longer is taken on others' word
	evidence   = 5 * time.Second  // answers of members and of discovery count for so long
	pauseWords = 10 * time.Second // an own pause is given as a reason for so long
)

// Meta is what a peer tells of itself. Fields are added, never changed.
type Meta struct {
	Zone          string   `cbor:"1,keyasint,omitempty"`
	Region        string   `cbor:"2,keyasint,omitempty"`
	Version       string   `cbor:"3,keyasint,omitempty"`
	Load          uint8    `cbor:"4,keyasint,omitempty"` // eighths of what it can carry
	Drain         bool     `cbor:"5,keyasint,omitempty"`
	Verdict       Verdict  `cbor:"6,keyasint,omitempty"`
	FrameVersions [2]uint8 `cbor:"8,keyasint"` // least and newest form of what it sends
}

// Encode is the meta as it travels.
func (m *Meta) Encode() []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // plain fields
	}
	return b
}

// DecodeMeta reads what a peer told; what can't be read is empty.
func DecodeMeta(b []byte) Meta {
	var m Meta
	if len(b) == 0 || cbor.Unmarshal(b, &m) != nil {
		return Meta{}
	}
	return m
}

// Evidence is what this gateway saw of the world beside its peers, as times on its clock.
type Evidence struct {
	Member    Time // last answer of a member of the cluster, never = none
	Discovery Time
	Paused    Time // end of its last own pause
	Doubt     int  // of its own hearing
}

// DistantPast is before every time.
const DistantPast Time = -1 << 60

// Status is a verdict with its reasons.
type Status struct {
	Verdict Verdict
	Number  uint64 // grows with each change
	Since   Time
	Reasons []string
}

// View is one gateway's. It is its owner's alone.
type View struct {
	name, zone string
	status     Status
	want       Verdict // what it would be without waiting
	wantSince  Time
	better     Time // how long better must last now
	changed    Time
	expects    bool // seeds are configured: to know of nobody is to be alone
}

// New returns the view of a gateway that knows nobody. Where it expects peers it is alone, else the whole group.
func New(name, zone string, expects bool) *View {
	v := &View{name: name, zone: zone, expects: expects, better: betterMin, changed: DistantPast}
	v.status = Status{Verdict: Alone, Number: 1, Reasons: []string{"no peer has been met yet"}}
	v.want, v.wantSince = Alone, 0
	if !expects {
		v.status.Verdict, v.want = Majority, Majority
		v.status.Reasons = []string{"no peers are expected"}
	}
	return v
}

// Status is the verdict now.
func (v *View) Status() Status { return v.status }

// count is who is there of whom.
type count struct{ here, all int }

func (c count) String() string { return fmt.Sprintf("%d of %d", c.here, c.all) }

// Tally is who is there of whom, this gateway among them.
type Tally struct {
	own, other count
	gone       int
}

// NewTally counts this gateway alone.
func NewTally() Tally { return Tally{own: count{1, 1}} }

func (t *Tally) total() count {
	return count{t.own.here + t.other.here, t.own.all + t.other.all}
}

// Count counts a peer of zone as of now. Who left is no part of the group; who is known to be gone is no other side.
func (v *View) Count(t *Tally, now Time, p *swim.Peer, zone string) {
	if p.State == swim.Left {
		return
	}
	if p.State == swim.Failed && p.ProcessGone && now-p.Since > goneAfter {
		t.gone++
		return
	}
	in := &t.other
	if zone == v.zone {
		in = &t.own
	}
	in.all++
	if p.State == swim.Alive { // a suspect may be there, but is not reached
		in.here++
	}
}

// Evaluate looks at the peers anew and tells whether the verdict changed. It is to be called once or more a second.
// Each calls its argument for each peer with what it last told of itself.
func (v *View) Evaluate(now Time, t Tally, displaced bool, e Evidence) bool {
	total, own, other, gone := t.total(), t.own, t.other, t.gone
	want := Minority
	switch {
	case displaced:
		want = Alone
	case total.here == 1 && (total.all > 1 || v.expects):
		want = Alone
	case 2*total.here > total.all:
		want = Majority
	}
	if want != v.want {
		v.want, v.wantSince = want, now
	}
	if now-v.changed > calmAfter && v.better > betterMin {
		v.better, v.changed = max(betterMin, v.better/2), now
	}
	wait := worseAfter
	if want > v.status.Verdict {
		wait = v.better
	}
	if want == v.status.Verdict || now-v.wantSince < wait {
		return false
	}
	if want > v.status.Verdict && now-v.changed < calmAfter {
		v.better = min(2*v.better, betterMax)
	}
	v.changed = now
	v.status = Status{Verdict: want, Number: v.status.Number + 1, Since: now,
		Reasons: reasons(now, total, own, other, gone, displaced, want, e)}
	return true
}

func reasons(now Time, total, own, other count, gone int, displaced bool, want Verdict, e Evidence) []string {
	if displaced {
		return []string{"a later start has this gateway's name and is alive"}
	}
	why := []string{fmt.Sprintf("%v gateways are reached, %v of the own zone, %v of others", total, own, other)}
	if gone > 0 {
		why = append(why, fmt.Sprintf("%d more refused connections: their processes are gone", gone))
	}
	if want == Majority {
		return why
	}
	members, discovery := now-e.Member < evidence, now-e.Discovery < evidence
	switch {
	case now-e.Paused < pauseWords:
		why = append(why, "this gateway was stopped a while: it blames nobody yet")
	case members && discovery:
		why = append(why, "members and discovery answer: the links between gateways are cut, or the others failed")
	case members:
		why = append(why, "members answer, discovery does not: a part of the network is cut")
	case discovery:
		why = append(why, "discovery answers, members do not or were not asked: a part of the network is cut")
	default:
		why = append(why, "neither members nor discovery answer: this gateway is cut off")
	}
	return why
}

// Confidence is how sure this gateway is of a peer's state, from 0 to 1: less on others' word, much less where it may be
// itself that does not hear.
func (v *View) Confidence(now Time, p *swim.Peer, e Evidence) float64 {
	sure := 0.5
	switch p.State {
	case swim.Left:
		return 1
	case swim.Alive:
		if sure = 0.99; now-p.LastHeard > heardLate {
			sure = 0.8
		}
	case swim.Failed:
		if sure = 0.8; p.ProcessGone {
			return 0.99
		}
		if v.status.Verdict != Majority || v.want != Majority {
			sure = 0.4
		}
	}
	if p.State != swim.Alive && (e.Doubt > 1 || now-e.Paused < pauseWords) {
		sure = min(sure, 0.4)
	}
	return sure
}

// Acts that depend on the verdicts.

// Operation is what a gateway may do or not.
type Operation uint8

// The acts.
const (
	ServeReads Operation = iota
	ServeWrites
	UseObservations
	BorrowQuota
	ProbeForOthers
	StartDrain
)

// OperationNames are all acts, with their names in tables.
var OperationNames = []string{"serve reads", "serve writes", "use told beliefs", "take larger budgets", "probe for others", "start a drain"}

// Rule is one cell of the table.
type Rule struct {
	Operation   string `json:"act"`
	OwnVerdict  string `json:"mine"`
	PeerVerdict string `json:"theirs"`
	Allowed     bool   `json:"allowed"`
	Reason      string `json:"why"`
}

// Allowed tells whether a gateway of verdict mine may do an act towards, or on the word of, a peer whose own verdict
// is theirs; and why. It is the code that decides, and what `reachwind fleet rules` prints.
func Allowed(a Operation, mine, theirs Verdict) (bool, string) {
	switch a {
	case ServeReads, ServeWrites:
		return true, "every gateway serves by what it sees itself"
	case UseObservations:
		if mine == Alone {
			return false, "alone, what was told is of before the cut"
		}
		return true, "a claim leads to a look only, whoever makes it"
	case BorrowQuota:
		if mine == Majority && theirs == Majority {
			return true, "both ends can be reached when the term ends"
		}
		return false, "today's split needs no talk"
	case ProbeForOthers:
		if mine == Alone {
			return false, "alone, nobody can be told"
		}
		return true, "who is between two halves is the only way to tell a cut from a crash"
	case StartDrain:
		if mine == Majority && theirs != Alone {
			return true, "those who stay can carry it, and know"
		}
		return false, "what is out on the other side of a cut is not known"
	}
	return false, "no such act"
}

// Rules is the whole table, in the order of acts and verdicts.
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
