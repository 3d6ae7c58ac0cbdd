// Package subscribe is what gateways and the council tell each other: gateways that
// they are there, voters what is agreed. Gateways serve whether or not anything comes
// back. It does no I/O, starts no goroutine and reads no clock.
package subscribe

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"reachwind/internal/fleet/agreed"
	"reachwind/internal/fleet/zoneplan"
)

// Time is a point on the owner's monotonic clock, or a span on it.
type Time = time.Duration

// Frames between gateways and voters. Numbers are on the wire: they are never used anew.
const (
	FrameReport = 21
	FrameUpdate = 22
)

const (
	// ReportInterval is how often a gateway reports, and the leader looks through the reports.
	ReportInterval = time.Second
	// SilentTimeout is after which a gateway that does not report counts as out by itself.
	SilentTimeout = 10 * time.Second
	// ServingWindow is within which one must have reported to be seen serving.
	ServingWindow = 3 * time.Second
	forgetAfter   = 24 * time.Hour
	leftCounts    = 10 * time.Minute // one that was told to stop is out, whoever told it; later it is taken for gone for good
	MaxGateways   = 4096
	membersMost   = 4096
	seenFor       = 20 * time.Second // a gateway's word on a member counts for so long
	caughtUp      = 2 * time.Second  // a replica that lacks no more of its group's log is caught up
	textMost      = 80
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
	Leaving bool   `cbor:"8,keyasint,omitempty"`

	Counts       *Counts        `cbor:"9,keyasint,omitempty"`
	Members      []MemberReport `cbor:"10,keyasint,omitempty"`
	ZoneAttempts []ZoneAttempts `cbor:"11,keyasint,omitempty"`
}

// Update is a voter's answer.
type Update struct {
	Number uint64 `cbor:"1,keyasint"` // of the report
	Leader string `cbor:"2,keyasint,omitempty"`
	Term   uint64 `cbor:"3,keyasint"`
	Index  uint64 `cbor:"4,keyasint"`
	Fence  uint64 `cbor:"5,keyasint,omitempty"` // of the permit to be out that this gateway is under, 0 = none
	LeftMs int64  `cbor:"6,keyasint,omitempty"` // of its term

	Name   string        `cbor:"9,keyasint,omitempty"` // of the gateway that is told
	Recall bool          `cbor:"7,keyasint,omitempty"` // more is out than the budgets allow: it had better come back
	Drains []MemberDrain `cbor:"8,keyasint,omitempty"` // members that are permitted to go out

	Plan       uint64     `cbor:"10,keyasint,omitempty"` // number of the plan of zones, 0 = none
	PlanLeftMs int64      `cbor:"11,keyasint,omitempty"` // of its term
	Zones      []ZoneAway `cbor:"12,keyasint,omitempty"` // those from which load goes away
}

// Encode is the answer's bytes.
func (t *Update) Encode() []byte { return encode(t) }

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
	last   Update
	at     Time // when the report that it answers was sent
	sent   map[uint64]Time
	heard  bool
	tookAt Time
}

// New returns a subscription that has heard nothing.
func New() *Subscription { return &Subscription{sent: map[uint64]Time{}} }

// NextReport numbers a report.
func (s *Subscription) NextReport(now Time, r Report) []byte {
	s.number++
	r.Number = s.number
	if len(s.sent) > 16 {
		clear(s.sent)
	}
	s.sent[s.number] = now
	return encode(&r)
}

// HandleUpdate takes a voter's word: the one of the highest index counts, dated from when the report that it answers was sent.
// One that answers no report is what changed just now; it is dated as the last one was. It tells whether it counts.
func (s *Subscription) HandleUpdate(now Time, b []byte) bool {
	var t Update
	if cbor.Unmarshal(b, &t) != nil {
		return false
	}
	at, ok := s.sent[t.Number]
	if t.Number == 0 && s.heard && t.Index > s.last.Index {
		at, ok, t.Leader = s.at, true, s.last.Leader
	}
	if !ok || s.heard && (t.Index < s.last.Index || t.Index == s.last.Index && at < s.at) {
		return false
	}
	s.last, s.at, s.heard, s.tookAt = t, at, true, now
	return true
}

// LastUpdate is what was heard last and when it came; ok is false if nothing ever was.
func (s *Subscription) LastUpdate() (t Update, at Time, ok bool) { return s.last, s.tookAt, s.heard }

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

// Registry is a voter's: who reported when. It is its owner's alone.
type Registry struct {
	seen  map[string]*heard
	since Time // this voter has led, or heard reports without a gap, since then
	leads bool

	members  map[string]map[string]word // by member, by zone of the witness
	versions map[string]*agreed.VersionHealth
	zones    map[[2]string]*zoneplan.Evidence // by witness zone and zone
	zonesAt  Time
}

type heard struct {
	Report
	at    Time
	again bool // the start before it drained or left
}

// word is the last word on a member of the gateways of a zone.
type word struct {
	MemberReport
	at Time
}

// NewRegistry returns an empty book.
func NewRegistry() *Registry {
	return &Registry{seen: map[string]*heard{}, members: map[string]map[string]word{}, versions: map[string]*agreed.VersionHealth{}, zones: map[[2]string]*zoneplan.Evidence{}}
}

// HandleReport takes a report. One of an older start or number is dropped.
func (b *Registry) HandleReport(now Time, raw []byte) (r Report, ok bool) {
	if cbor.Unmarshal(raw, &r) != nil || r.Name == "" || len(r.Name) > textMost || len(r.Zone) > textMost || len(r.Addr) > textMost {
		return r, false
	}
	h := b.seen[r.Name]
	if h == nil {
		if len(b.seen) >= MaxGateways {
			return r, false
		}
		h = &heard{}
		b.seen[r.Name] = h
	} else if r.Epoch < h.Epoch || r.Epoch == h.Epoch && r.Number <= h.Number {
		return r, false
	}
	b.count(h, &r)
	b.tried(h, &r)
	if h.Epoch != r.Epoch {
		h.again = h.Epoch != 0 && (h.Drain || h.Leaving)
	}
	h.Report, h.at = r, now
	for _, m := range r.Members {
		b.word(now, r.Zone, m)
	}
	return r, true
}

// count adds what a gateway counted since its last report to its version.
func (b *Registry) count(h *heard, r *Report) {
	v := b.versions[r.Version]
	if v == nil {
		if len(b.versions) >= 16 {
			return
		}
		v = &agreed.VersionHealth{Version: r.Version, Latency: make([]uint32, agreed.BucketCount)}
		b.versions[r.Version] = v
	}
	if h.Epoch != 0 && r.Epoch != h.Epoch && h.Version == r.Version && !h.Leaving {
		v.Restarts++ // it did not say that it leaves
	}
	if r.Counts == nil || h.Epoch == 0 { // of who is new to this voter, all before is not of this while
		return
	}
	was := &Counts{}
	if h.Epoch == r.Epoch && h.Counts != nil {
		was = h.Counts
	}
	d := r.Counts.since(was)
	for i := range d.Classes {
		x, y := &v.Classes[i], &d.Classes[i]
		x.Requests, x.Refused, x.Late = x.Requests+y.Requests, x.Refused+y.Refused, x.Late+y.Late
	}
	for i, n := range d.Latency {
		v.Latency[i] += n
	}
}

// zone is what the gateways of one zone saw of another since the last look.
func (b *Registry) zone(witness, of string) *zoneplan.Evidence {
	z := b.zones[[2]string{witness, of}]
	if z == nil {
		z = &zoneplan.Evidence{Witness: witness, Zone: of}
		if len(b.zones) < agreed.MaxZones*agreed.MaxZones {
			b.zones[[2]string{witness, of}] = z
		}
	}
	return z
}

// tried adds what a gateway tried since its last report, and what its clients asked.
func (b *Registry) tried(h *heard, r *Report) {
	if h.Epoch == 0 || len(r.ZoneAttempts) > agreed.MaxZones {
		return
	}
	was := map[string]ZoneAttempts{}
	if h.Epoch == r.Epoch {
		for _, t := range h.ZoneAttempts {
			was[t.Zone] = t
		}
	}
	for _, t := range r.ZoneAttempts {
		if t.Zone == "" || len(t.Zone) > textMost || t.Failed > t.Attempts {
			continue
		}
		n, bad := less(t.Attempts, was[t.Zone].Attempts), less(t.Failed, was[t.Zone].Failed)
		z := b.zone(r.Zone, t.Zone)
		z.Attempts, z.Failed = z.Attempts+float64(n), z.Failed+float64(min(bad, n))
		b.zone(t.Zone, t.Zone).Served += float64(n - min(bad, n))
	}
	if r.Counts != nil && r.Zone != "" {
		old := &Counts{}
		if h.Epoch == r.Epoch && h.Counts != nil {
			old = h.Counts
		}
		d := r.Counts.since(old)
		for _, c := range d.Classes {
			b.zone(r.Zone, r.Zone).Offered += float64(c.Requests)
		}
	}
}

// TakeZoneCounts is what was seen of zones since the last call: work a second, attempts in all.
func (b *Registry) TakeZoneCounts(now Time) (all []zoneplan.Evidence) {
	span := max(now-b.zonesAt, time.Millisecond).Seconds()
	b.zonesAt = now
	for _, z := range b.zones {
		z.Offered, z.Served = z.Offered/span, z.Served/span
		all = append(all, *z)
	}
	clear(b.zones)
	return all
}

// TakeHealth is what was counted since the last call, by version; those that nothing came of are left out.
func (b *Registry) TakeHealth() (all []agreed.VersionHealth) {
	for _, name := range slices.Sorted(maps.Keys(b.versions)) {
		v := b.versions[name]
		n := uint64(v.Restarts)
		for i := range v.Classes {
			n += v.Classes[i].Requests
		}
		if n > 0 {
			all = append(all, *v)
		}
	}
	clear(b.versions)
	return all
}

func (b *Registry) word(now Time, zone string, m MemberReport) {
	if m.Member == "" || len(m.Member) > textMost || len(m.Zone) > textMost {
		return
	}
	by := b.members[m.Member]
	if by == nil {
		if len(b.members) >= membersMost {
			return
		}
		by = map[string]word{}
		b.members[m.Member] = by
	}
	if len(by) < 64 || by[zone].at > 0 {
		by[zone] = word{m, now}
	}
}

// dbs are the members as gateways tell of them: out if most zones that tell of it lately say so, primary if most say so.
// A replica's position is the highest told, as positions only grow.
func (b *Registry) dbs(now Time) (all []agreed.Target) {
	type one struct {
		t        agreed.Target
		position int64
	}
	groups := map[string][]*one{}
	for _, name := range slices.Sorted(maps.Keys(b.members)) {
		by := b.members[name]
		zones, out, primary := 0, 0, 0
		o := &one{t: agreed.Target{Name: "db/" + name}}
		for z, w := range by {
			if now-w.at > seenFor {
				delete(by, z)
				continue
			}
			zones++
			if w.Out {
				out++
			}
			if w.Primary {
				primary++
			}
			o.position = max(o.position, w.Position)
			o.t.Group, o.t.Zone = fmt.Sprint(w.Group), w.Zone
		}
		if zones == 0 {
			delete(b.members, name)
			continue
		}
		o.t.Out, o.t.Primary = 2*out > zones, 2*primary > zones
		groups[o.t.Group] = append(groups[o.t.Group], o)
	}
	for _, g := range slices.Sorted(maps.Keys(groups)) {
		newest := int64(0)
		var best *one
		for _, o := range groups[g] {
			newest = max(newest, o.position)
			if !o.t.Primary && !o.t.Out && o.position > 0 && (best == nil || o.position > best.position) {
				best = o
			}
		}
		for _, o := range groups[g] {
			o.t.CaughtUp = !o.t.Primary && o.position > 0 && newest-o.position <= caughtUp.Milliseconds()
			o.t.BestSuccessor = o == best
			all = append(all, o.t)
		}
	}
	return all
}

// SetLeading notes whether this voter leads.
func (b *Registry) SetLeading(now Time, leads bool) {
	if leads && !b.leads {
		b.since = now
	}
	b.leads = leads
}

// Targets is who is there and who is out by itself, and whether that is another set than the one known. A leader that has
// led for less than SilentFor takes nobody for out whom the council did not: it may just not have heard of it yet.
// With full it tells of versions, starts and members too.
func (b *Registry) Targets(now Time, known []agreed.Target, full bool) (all []agreed.Target, changed bool) {
	was := map[string]agreed.Target{}
	for _, t := range known {
		if name, ok := strings.CutPrefix(t.Name, "gateway/"); ok {
			was[name] = t
			if b.seen[name] == nil && len(b.seen) < MaxGateways { // agreed before this voter heard of it
				b.seen[name] = &heard{Report: Report{Name: name, Zone: t.Zone}, at: b.since}
			}
		} else if !full || now-b.since < seenFor { // a new leader hears of all members first
			all = append(all, t)
		}
	}
	if full && now-b.since >= seenFor {
		all = b.dbs(now)
	}
	for name, h := range b.seen {
		silent := now - max(h.at, b.since)
		if silent > forgetAfter || h.Leaving && silent > leftCounts {
			delete(b.seen, name)
			continue
		}
		t := agreed.Target{Name: "gateway/" + name, Zone: h.Zone, Out: h.Leaving || silent > SilentTimeout || was[name].Out && now-h.at > ServingWindow}
		if full {
			t.Version, t.Epoch = h.Version, h.Epoch
			if h.Epoch == 0 { // not heard of since this voter began
				t.Version, t.Epoch = was[name].Version, was[name].Epoch
			}
		}
		all = append(all, t)
	}
	byName := func(x, y agreed.Target) int { return strings.Compare(x.Name, y.Name) }
	slices.SortFunc(all, byName)
	return all, !slices.Equal(all, slices.SortedFunc(slices.Values(known), byName))
}

// Serving tells whether a gateway reported lately that it serves.
func (b *Registry) Serving(now Time, target string) bool {
	name, ok := strings.CutPrefix(target, "gateway/")
	h := b.seen[name]
	return ok && h != nil && h.Epoch > 0 && !h.Drain && !h.Leaving && now-h.at < ServingWindow
}

// ReturnedAfterDrain tells that a gateway whose last start drained or left has begun another one.
func (b *Registry) ReturnedAfterDrain(target string) bool {
	name, ok := strings.CutPrefix(target, "gateway/")
	h := b.seen[name]
	return ok && h != nil && h.again
}
