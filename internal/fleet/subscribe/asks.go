package subscribe

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"reachwind/internal/fleet/agreed"
)

// Frames by which a gateway requests a permit to be out of service. Their numbers are part of the wire format
// and are never reused.
const (
	FrameAsk = 25
	FrameGot = 26
)

// AskEvery is the interval at which a request is resent to all voters until it is answered.
const AskEvery = 300 * time.Millisecond

// Ask is a gateway's request about itself. Fields are added, never changed.
type Ask struct {
	Name   string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint"` // grows within an epoch: a request that is sent twice is carried out once
	Addr   string `cbor:"4,keyasint"`
	Op     string `cbor:"5,keyasint"` // acquire, renew, give_back; leave: acquire, or use the permit of whoever has taken this gateway out
	TermMs int64  `cbor:"6,keyasint,omitempty"`
	Fence  uint64 `cbor:"7,keyasint,omitempty"`
	Reason string `cbor:"8,keyasint,omitempty"`
}

// ReadAsk parses a request; ok is false if it is malformed.
func ReadAsk(b []byte) (a Ask, ok bool) {
	err := cbor.Unmarshal(b, &a)
	return a, err == nil && a.Name != "" && len(a.Name) <= textMost && len(a.Addr) <= textMost && len(a.Reason) <= agreed.TextMost
}

// Got is the council's answer to a request.
type Got struct {
	Number  uint64 `cbor:"1,keyasint"`
	OK      bool   `cbor:"2,keyasint,omitempty"`
	Refused string `cbor:"3,keyasint,omitempty"`
	Fence   uint64 `cbor:"4,keyasint,omitempty"`
	Index   uint64 `cbor:"5,keyasint,omitempty"` // log index: updates up to it may not reflect this answer
}

// Encode returns the wire form of the answer.
func (g *Got) Encode() []byte { return encode(g) }

// Asker keeps at most one request in progress. It is not safe for concurrent use.
type Asker struct {
	number uint64
	ask    *Ask // nil if none is in progress
	at     Time // first sent
	sentAt Time
}

// Begin starts a request and replaces any in progress, whose answer is then ignored.
func (k *Asker) Begin(now Time, a Ask) {
	k.number++
	a.Number = k.number
	k.ask, k.at, k.sentAt = &a, now, now-AskEvery
}

// Busy reports whether a request waits for its answer.
func (k *Asker) Busy() bool { return k.ask != nil }

// Stop abandons the request. The council may still carry it out.
func (k *Asker) Stop() { k.ask = nil }

// Send returns the message to send to all voters now, nil if none is due.
func (k *Asker) Send(now Time) []byte {
	if k.ask == nil || now-k.sentAt < AskEvery {
		return nil
	}
	k.sentAt = now
	return encode(k.ask)
}

// Take handles an answer. ok is false unless it answers the request in progress, which is returned with the
// time at which it was first sent: a term counts from there.
func (k *Asker) Take(b []byte) (a Ask, g Got, at Time, ok bool) {
	if cbor.Unmarshal(b, &g) != nil || k.ask == nil || g.Number != k.ask.Number {
		return a, g, 0, false
	}
	a = *k.ask
	k.ask = nil
	return a, g, k.at, true
}

// Drain is a member that is permitted to go out of service.
type Drain struct {
	Member string `cbor:"1,keyasint"`
	LeftMs int64  `cbor:"2,keyasint"` // remaining term of its permit
}

// DrainsMost limits the drains in one message, which must fit a datagram.
const DrainsMost = 16

// Seen is what a gateway knows of a member from answers that it received itself.
type Seen struct {
	Member   string `cbor:"1,keyasint"`
	Group    int64  `cbor:"2,keyasint"`
	Primary  bool   `cbor:"3,keyasint,omitempty"`
	Position int64  `cbor:"4,keyasint,omitempty"` // log position in ms, 0 if not known
	Out      bool   `cbor:"5,keyasint,omitempty"` // suspect, drained or gone
	Zone     string `cbor:"6,keyasint,omitempty"`
}

// SeenMost is the number of members per report; a gateway reports all members in rotation.
const SeenMost = 8

// Tried counts a gateway's attempts at the members of a zone since its start, including the probes that zone
// plans lead to.
type Tried struct {
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
	Classes [agreed.ClassesMost]agreed.Served `cbor:"1,keyasint"`
	Latency [agreed.BucketsCount]uint32       `cbor:"2,keyasint"`
}

// since returns what was counted after an earlier count of the same start.
func (c *Counts) since(was *Counts) (d Counts) {
	for i := range c.Classes {
		x, y := &c.Classes[i], &was.Classes[i]
		d.Classes[i] = agreed.Served{Requests: less(x.Requests, y.Requests), Refused: less(x.Refused, y.Refused), Late: less(x.Late, y.Late)}
	}
	for i := range c.Latency {
		d.Latency[i] = uint32(less(uint64(c.Latency[i]), uint64(was.Latency[i])))
	}
	return d
}

// less returns x - y, or 0 if the count went back.
func less(x, y uint64) uint64 {
	if x < y {
		return 0
	}
	return x - y
}
