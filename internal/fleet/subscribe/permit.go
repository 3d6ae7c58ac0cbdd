package subscribe

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"reachwind/internal/fleet/agreed"
)

// Frames by which a gateway requests a permit to be out of service. Their numbers are part of the wire format
// and are never reused.
const (
	FramePermitRequest = 25
	FramePermitAnswer  = 26
)

// ResendInterval is the interval at which a request is resent to all voters until it is answered.
const ResendInterval = 300 * time.Millisecond

// PermitRequest is a gateway's request about itself. Fields are added, never changed.
type PermitRequest struct {
	Name   string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint"` // grows within an epoch: a request that is sent twice is carried out once
	Addr   string `cbor:"4,keyasint"`
	Op     string `cbor:"5,keyasint"` // acquire, renew, give_back; leave: acquire, or use the permit of whoever has taken this gateway out
	TermMs int64  `cbor:"6,keyasint,omitempty"`
	Fence  uint64 `cbor:"7,keyasint,omitempty"`
	Reason string `cbor:"8,keyasint,omitempty"`
}

// DecodePermitRequest parses a request; ok is false if it is malformed.
func DecodePermitRequest(b []byte) (a PermitRequest, ok bool) {
	err := cbor.Unmarshal(b, &a)
	return a, err == nil && a.Name != "" && len(a.Name) <= maxTextBytes && len(a.Addr) <= maxTextBytes && len(a.Reason) <= agreed.MaxTextBytes
}

// PermitAnswer is the council's answer to a request.
type PermitAnswer struct {
	Number  uint64 `cbor:"1,keyasint"`
	OK      bool   `cbor:"2,keyasint,omitempty"`
	Refused string `cbor:"3,keyasint,omitempty"`
	Fence   uint64 `cbor:"4,keyasint,omitempty"`
	Index   uint64 `cbor:"5,keyasint,omitempty"` // log index: updates up to it may not reflect this answer
}

// Encode returns the wire form of the answer.
func (g *PermitAnswer) Encode() []byte { return encode(g) }

// PermitRequester keeps at most one request in progress. It is not safe for concurrent use.
type PermitRequester struct {
	number      uint64
	request     *PermitRequest // nil if none is in progress
	firstSentAt Time           // first sent
	lastSentAt  Time
}

// Start starts a request and replaces any in progress, whose answer is then ignored.
func (k *PermitRequester) Start(now Time, a PermitRequest) {
	k.number++
	a.Number = k.number
	k.request, k.firstSentAt, k.lastSentAt = &a, now, now-ResendInterval
}

// Pending reports whether a request waits for its answer.
func (k *PermitRequester) Pending() bool { return k.request != nil }

// Cancel abandons the request. The council may still carry it out.
func (k *PermitRequester) Cancel() { k.request = nil }

// DueMessage returns the message to send to all voters now, nil if none is due.
func (k *PermitRequester) DueMessage(now Time) []byte {
	if k.request == nil || now-k.lastSentAt < ResendInterval {
		return nil
	}
	k.lastSentAt = now
	return encode(k.request)
}

// HandleAnswer handles an answer. ok is false unless it answers the request in progress, which is returned
// with the time at which it was first sent: a term counts from there.
func (k *PermitRequester) HandleAnswer(b []byte) (a PermitRequest, g PermitAnswer, at Time, ok bool) {
	if cbor.Unmarshal(b, &g) != nil || k.request == nil || g.Number != k.request.Number {
		return a, g, 0, false
	}
	a = *k.request
	k.request = nil
	return a, g, k.firstSentAt, true
}

// MemberDrain is a member that is permitted to go out of service.
type MemberDrain struct {
	Member string `cbor:"1,keyasint"`
	LeftMs int64  `cbor:"2,keyasint"` // remaining term of its permit
}

// MaxDrainsPerUpdate limits the drains in one message, which must fit a datagram.
const MaxDrainsPerUpdate = 16

// MemberReport is what a gateway knows of a member from answers that it received itself.
type MemberReport struct {
	Member   string `cbor:"1,keyasint"`
	Group    int64  `cbor:"2,keyasint"`
	Primary  bool   `cbor:"3,keyasint,omitempty"`
	Position int64  `cbor:"4,keyasint,omitempty"` // log position in ms, 0 if not known
	Out      bool   `cbor:"5,keyasint,omitempty"` // suspect, drained or gone
	Zone     string `cbor:"6,keyasint,omitempty"`
}

// MaxMembersPerReport is the number of members per report; a gateway reports all members in rotation.
const MaxMembersPerReport = 8

// ZoneAttempts counts a gateway's attempts at the members of a zone since its start, including the probes
// that zone plans lead to.
type ZoneAttempts struct {
	Zone     string `cbor:"1,keyasint"`
	Attempts uint64 `cbor:"2,keyasint"`
	Failed   uint64 `cbor:"3,keyasint,omitempty"`
}

// ZoneAway is the fraction of a zone's load that goes elsewhere by the agreed plan.
type ZoneAway struct {
	Zone string  `cbor:"1,keyasint"`
	Away float64 `cbor:"2,keyasint"`
}

// Counts holds a gateway's final answers since its start.
type Counts struct {
	Classes [agreed.MaxClasses]agreed.AnswerCounts `cbor:"1,keyasint"`
	Latency [agreed.BucketCount]uint32             `cbor:"2,keyasint"`
}

// since returns what was counted after an earlier count of the same start.
func (c *Counts) since(earlier *Counts) (d Counts) {
	for i := range c.Classes {
		x, y := &c.Classes[i], &earlier.Classes[i]
		d.Classes[i] = agreed.AnswerCounts{Requests: saturatingSub(x.Requests, y.Requests), Refused: saturatingSub(x.Refused, y.Refused), Late: saturatingSub(x.Late, y.Late)}
	}
	for i := range c.Latency {
		d.Latency[i] = uint32(saturatingSub(uint64(c.Latency[i]), uint64(earlier.Latency[i])))
	}
	return d
}

// saturatingSub returns x - y, or 0 if the count went back.
func saturatingSub(x, y uint64) uint64 {
	if x < y {
		return 0
	}
	return x - y
}
