package subscribe

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"reachwind/internal/fleet/agreed"
)

// Frames by which a gateway asks for a permit to be out. Numbers are on the wire: they are never used anew.
const (
	FramePermitRequest = 25
	FramePermitAnswer  = 26
)

// ResendInterval is how often an ask is sent anew, to all voters, until it is answered.
const ResendInterval = 300 * time.Millisecond

// PermitRequest is a gateway's command about itself. Fields are added, never changed.
type PermitRequest struct {
	Name   string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint"` // of this epoch, growing: what is asked twice is done once
	Addr   string `cbor:"4,keyasint"`
	Op     string `cbor:"5,keyasint"` // acquire, renew, give_back; leave: acquire, or stand under the permit of whoever has this gateway out
	TermMs int64  `cbor:"6,keyasint,omitempty"`
	Fence  uint64 `cbor:"7,keyasint,omitempty"`
	Reason string `cbor:"8,keyasint,omitempty"`
}

// DecodePermitRequest reads an ask; ok is false for one that makes no sense.
func DecodePermitRequest(b []byte) (a PermitRequest, ok bool) {
	err := cbor.Unmarshal(b, &a)
	return a, err == nil && a.Name != "" && len(a.Name) <= textMost && len(a.Addr) <= textMost && len(a.Reason) <= agreed.MaxTextBytes
}

// PermitAnswer is what the council decided.
type PermitAnswer struct {
	Number  uint64 `cbor:"1,keyasint"`
	OK      bool   `cbor:"2,keyasint,omitempty"`
	Refused string `cbor:"3,keyasint,omitempty"`
	Fence   uint64 `cbor:"4,keyasint,omitempty"`
	Index   uint64 `cbor:"5,keyasint,omitempty"` // of the log: what is told up to there may not know of it
}

// Encode is the answer's bytes.
func (g *PermitAnswer) Encode() []byte { return encode(g) }

// PermitRequester keeps one ask at a time under way. It is its owner's alone.
type PermitRequester struct {
	number uint64
	ask    *PermitRequest // nil: none
	at     Time           // first sent
	sentAt Time
}

// Begin begins an ask in place of any under way, whose answer is no longer waited for.
func (k *PermitRequester) Begin(now Time, a PermitRequest) {
	k.number++
	a.Number = k.number
	k.ask, k.at, k.sentAt = &a, now, now-ResendInterval
}

// Busy tells that an ask waits for its answer.
func (k *PermitRequester) Busy() bool { return k.ask != nil }

// Stop gives an ask up. The council may still do it.
func (k *PermitRequester) Stop() { k.ask = nil }

// Send returns the bytes that are to be sent to all voters now, nil if nothing is.
func (k *PermitRequester) Send(now Time) []byte {
	if k.ask == nil || now-k.sentAt < ResendInterval {
		return nil
	}
	k.sentAt = now
	return encode(k.ask)
}

// Take takes an answer. ok is false unless it is that of the ask under way, which is returned with the time at which it
// was first sent: a term counts from there.
func (k *PermitRequester) Take(b []byte) (a PermitRequest, g PermitAnswer, at Time, ok bool) {
	if cbor.Unmarshal(b, &g) != nil || k.ask == nil || g.Number != k.ask.Number {
		return a, g, 0, false
	}
	a = *k.ask
	k.ask = nil
	return a, g, k.at, true
}

// MemberDrain is a member that is permitted to go out.
type MemberDrain struct {
	Member string `cbor:"1,keyasint"`
	LeftMs int64  `cbor:"2,keyasint"` // of its permit's term
}

// MaxDrainsPerUpdate bounds a datagram.
const MaxDrainsPerUpdate = 16

// MemberReport is what a gateway knows of a member by answers of its own.
type MemberReport struct {
	Member   string `cbor:"1,keyasint"`
	Group    int64  `cbor:"2,keyasint"`
	Primary  bool   `cbor:"3,keyasint,omitempty"`
	Position int64  `cbor:"4,keyasint,omitempty"` // log position in ms, 0 = not known
	Out      bool   `cbor:"5,keyasint,omitempty"` // suspect, drained or gone
	Zone     string `cbor:"6,keyasint,omitempty"`
}

// MaxMembersPerReport is how many go into one report; a gateway tells of all members in turn.
const MaxMembersPerReport = 8

// ZoneAttempts are a gateway's attempts at the members of a zone since its start, those at looks that plans lead to among them.
type ZoneAttempts struct {
	Zone     string `cbor:"1,keyasint"`
	Attempts uint64 `cbor:"2,keyasint"`
	Failed   uint64 `cbor:"3,keyasint,omitempty"`
}

// ZoneAway is what the agreed plan says of a zone to gateways.
type ZoneAway struct {
	Zone string  `cbor:"1,keyasint"`
	Away float64 `cbor:"2,keyasint"`
}

// Counts are a gateway's final answers since its start.
type Counts struct {
	Classes [agreed.MaxClasses]agreed.AnswerCounts `cbor:"1,keyasint"`
	Latency [agreed.BucketCount]uint32             `cbor:"2,keyasint"`
}

// since is what was counted since an earlier count of the same start.
func (c *Counts) since(was *Counts) (d Counts) {
	for i := range c.Classes {
		x, y := &c.Classes[i], &was.Classes[i]
		d.Classes[i] = agreed.AnswerCounts{Requests: less(x.Requests, y.Requests), Refused: less(x.Refused, y.Refused), Late: less(x.Late, y.Late)}
	}
	for i := range c.Latency {
		d.Latency[i] = uint32(less(uint64(c.Latency[i]), uint64(was.Latency[i])))
	}
	return d
}

// less is the difference, 0 where a count went back.
func less(x, y uint64) uint64 {
	if x < y {
		return 0
	}
	return x - y
}
