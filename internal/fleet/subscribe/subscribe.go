// Package subscribe is what gateways and the council tell each other: gateways that
// they are there, voters what is agreed. Gateways serve whether or not anything comes
// back. It does no I/O, starts no goroutine and reads no clock.
package subscribe

import (
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"reachwind/internal/fleet/agreed"
)

// Time is a point on the owner's monotonic clock, or a span on it.
type Time = time.Duration

// Frames between gateways and voters. Numbers are on the wire: they are never used anew.
const (
	FrameReport = 21
	FrameTold   = 22
)

const (
	// Every is how often a gateway reports, and the leader looks through the reports.
	Every = time.Second
	// SilentFor is after which a gateway that does not report counts as out by itself.
	SilentFor = 10 * time.Second
	// ServingFor is within which one must have reported to be seen serving.
	ServingFor   = 3 * time.Second
	forgetAfter  = 24 * time.Hour
	leftCounts   = 10 * time.Minute // one that was told to stop is out, whoever told it; later it is taken for gone for good
	gatewaysMost = 4096
	textMost     = 80
)

// Report is a gateway's word that it is there. Fields are added, never changed.
type Report struct {
	Name    string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint,omitempty"`
	Epoch   uint64 `cbor:"3,keyasint"`
	Number  uint64 `cbor:"4,keyasint"` // of this epoch, growing
	Addr    string `cbor:"5,keyasint"`
	Version string `cbor:"6,keyasint,omitempty"`
	Drain   bool   `cbor:"7,keyasint,omitempty"`
	Leaves  bool   `cbor:"8,keyasint,omitempty"`
}

// Told is a voter's answer.
type Told struct {
	Number uint64 `cbor:"1,keyasint"` // of the report
	Leader string `cbor:"2,keyasint,omitempty"`
	Term   uint64 `cbor:"3,keyasint"`
	Index  uint64 `cbor:"4,keyasint"`
	Fence  uint64 `cbor:"5,keyasint,omitempty"` // of the permit to be out that this gateway is under, 0 = none
	LeftMs int64  `cbor:"6,keyasint,omitempty"` // of its term
}

// Encode is the answer's bytes.
func (t *Told) Encode() []byte { return encode(t) }

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // plain fields
	}
	return b
}

// Subscription is what a gateway knows of the council. It is its owner's alone.
type Subscription struct {
	number uint64
	last   Told
	at     Time // when the report that it answers was sent
	sent   map[uint64]Time
	heard  bool
}

// New returns a subscription that has heard nothing.
func New() *Subscription { return &Subscription{sent: map[uint64]Time{}} }

// Report numbers a report.
func (s *Subscription) Report(now Time, r Report) []byte {
	s.number++
	r.Number = s.number
	if len(s.sent) > 16 {
		clear(s.sent)
	}
	s.sent[s.number] = now
	return encode(&r)
}

// Take takes a voter's answer: the one of the highest index counts, dated from when its report was sent.
func (s *Subscription) Take(_ Time, b []byte) {
	var t Told
	if cbor.Unmarshal(b, &t) != nil {
		return
	}
	at, ok := s.sent[t.Number]
	if !ok || s.heard && (t.Index < s.last.Index || t.Index == s.last.Index && at < s.at) {
		return
	}
	s.last, s.at, s.heard = t, at, true
}

// State is what is known of the council, for tables and JSON.
type State struct {
	Leader string `json:"leader"`
	Index  uint64 `json:"index"`
	AgeMs  int64  `json:"age_ms"` // -1 = never heard
	Fence  uint64 `json:"fence"`
}

// State tells what was heard last, and how old it is.
func (s *Subscription) State(now Time) State {
	if !s.heard {
		return State{AgeMs: -1}
	}
	return State{s.last.Leader, s.last.Index, (now - s.at).Milliseconds(), s.last.Fence}
}

// Book is a voter's: who reported when. It is its owner's alone.
type Book struct {
	seen  map[string]*heard
	since Time // this voter has led, or heard reports without a gap, since then
	leads bool
}

type heard struct {
	Report
	at Time
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{seen: map[string]*heard{}} }

// Take takes a report. One of an older start or number is dropped.
func (b *Book) Take(now Time, raw []byte) (r Report, ok bool) {
	if cbor.Unmarshal(raw, &r) != nil || r.Name == "" || len(r.Name) > textMost || len(r.Zone) > textMost || len(r.Addr) > textMost {
		return r, false
	}
	h := b.seen[r.Name]
	if h == nil {
		if len(b.seen) >= gatewaysMost {
			return r, false
		}
		h = &heard{}
		b.seen[r.Name] = h
	} else if r.Epoch < h.Epoch || r.Epoch == h.Epoch && r.Number <= h.Number {
		return r, false
	}
	h.Report, h.at = r, now
	return r, true
}

// Lead notes whether this voter leads.
func (b *Book) Lead(now Time, leads bool) {
	if leads && !b.leads {
		b.since = now
	}
	b.leads = leads
}

// Targets is who is there and who is out by itself, and whether that is another set than the one known. A leader that has
// led for less than SilentFor takes nobody for out whom the council did not: it may just not have heard of it yet.
func (b *Book) Targets(now Time, known []agreed.Target) (all []agreed.Target, changed bool) {
	was := map[string]agreed.Target{}
	for _, t := range known {
		if name, ok := strings.CutPrefix(t.Name, "gateway/"); ok {
			was[name] = t
			if b.seen[name] == nil && len(b.seen) < gatewaysMost { // agreed before this voter heard of it
				b.seen[name] = &heard{Report: Report{Name: name, Zone: t.Zone}, at: b.since}
			}
		} else {
			all = append(all, t)
		}
	}
	for name, h := range b.seen {
		silent := now - max(h.at, b.since)
		if silent > forgetAfter || h.Leaves && silent > leftCounts {
			delete(b.seen, name)
			changed = changed || was[name].Name != ""
			continue
		}
		t := agreed.Target{Name: "gateway/" + name, Zone: h.Zone, Out: h.Leaves || silent > SilentFor || was[name].Out && now-h.at > ServingFor}
		changed = changed || was[name] != t
		all = append(all, t)
	}
	slices.SortFunc(all, func(x, y agreed.Target) int { return strings.Compare(x.Name, y.Name) })
	return all, changed
}

// Serving tells whether a gateway reported lately that it serves.
func (b *Book) Serving(now Time, target string) bool {
	name, ok := strings.CutPrefix(target, "gateway/")
	h := b.seen[name]
	return ok && h != nil && h.Epoch > 0 && !h.Drain && !h.Leaves && now-h.at < ServingFor
}
