// Package subscribe defines the messages between gateways and the council: gateways report that they are
// running and how they serve, voters send what is agreed. Gateways serve whether or not answers arrive. The
// package does no I/O, starts no goroutine and reads no clock.
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

// Time is a point on the owner's monotonic clock, or a duration on it.
type Time = time.Duration

// Frames between gateways and voters. Their numbers are part of the wire format and are never reused.
const (
	FrameReport = 21
	FrameUpdate = 22
)

const (
	// ReportInterval is the interval at which gateways report and the leader evaluates the reports.
	ReportInterval = time.Second
	// SilentTimeout is the time after which a gateway that does not report counts as out of service.
	SilentTimeout = 10 * time.Second
	// ServingWindow is the time within which a gateway must have reported to count as serving.
	ServingWindow    = 3 * time.Second
	forgetDelay      = 24 * time.Hour
	leftRetention    = 10 * time.Minute // a gateway that announced its stop counts as out for this long; later it is forgotten as gone for good
	MaxGateways      = 4096
	maxMembers       = 4096
	reportValidity   = 20 * time.Second // a gateway's report on a member counts for this long
	caughtUpDistance = 2 * time.Second  // a replica within this distance of its group's newest log position is caught up
	maxTextBytes     = 80
)

// Report is a gateway's periodic report to the voters. Fields are added, never changed.
type Report struct {
	Name    string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint,omitempty"`
	Epoch   uint64 `cbor:"3,keyasint"`
	Number  uint64 `cbor:"4,keyasint"` // grows within an epoch
	Addr    string `cbor:"5,keyasint"`
	Version string `cbor:"6,keyasint,omitempty"`
	Drain   bool   `cbor:"7,keyasint,omitempty"`
	Leaving bool   `cbor:"8,keyasint,omitempty"`

	Counts       *Counts        `cbor:"9,keyasint,omitempty"`
	Members      []MemberReport `cbor:"10,keyasint,omitempty"`
	ZoneAttempts []ZoneAttempts `cbor:"11,keyasint,omitempty"`
}

// Update is what a voter sends a gateway: the answer to a report, or a change.
type Update struct {
	Number uint64 `cbor:"1,keyasint"` // number of the report that it answers, 0 if none
	Leader string `cbor:"2,keyasint,omitempty"`
	Term   uint64 `cbor:"3,keyasint"`
	Index  uint64 `cbor:"4,keyasint"`
	Fence  uint64 `cbor:"5,keyasint,omitempty"` // fence of this gateway's permit to be out of service, 0 if none
	LeftMs int64  `cbor:"6,keyasint,omitempty"` // remaining term of the permit

	Name   string        `cbor:"9,keyasint,omitempty"` // name of the gateway addressed
	Recall bool          `cbor:"7,keyasint,omitempty"` // more is out than the budgets allow: the gateway should return
	Drains []MemberDrain `cbor:"8,keyasint,omitempty"` // members that are permitted to go out

	Plan       uint64     `cbor:"10,keyasint,omitempty"` // number of the zone plan, 0 if none
	PlanLeftMs int64      `cbor:"11,keyasint,omitempty"` // remaining term of the plan
	Zones      []ZoneAway `cbor:"12,keyasint,omitempty"` // zones whose load goes elsewhere, in part or whole
}

// Encode returns the wire form of the message.
func (t *Update) Encode() []byte { return encode(t) }

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return b
}

// Subscription is what a gateway knows of the council. It is not safe for concurrent use.
type Subscription struct {
	number       uint64
	current      Update
	reportSentAt Time // when the report that it answers was sent
	sentAt       map[uint64]Time
	received     bool
	receivedAt   Time
}

// New returns a subscription that has received nothing.
func New() *Subscription { return &Subscription{sentAt: map[uint64]Time{}} }

// NextReport numbers a report and returns its wire form.
func (s *Subscription) NextReport(now Time, r Report) []byte {
	s.number++
	r.Number = s.number
	if len(s.sentAt) > 16 {
		clear(s.sentAt)
	}
	s.sentAt[s.number] = now
	return encode(&r)
}

// HandleUpdate handles a voter's message and returns whether it became the current one. The message of the
// highest index counts, dated from when the report that it answers was sent. One that answers no report
// announces a change that was just made; it is dated as the one before.
func (s *Subscription) HandleUpdate(now Time, b []byte) bool {
	var t Update
	if cbor.Unmarshal(b, &t) != nil {
		return false
	}
	at, ok := s.sentAt[t.Number]
	if t.Number == 0 && s.received && t.Index > s.current.Index {
		at, ok, t.Leader = s.reportSentAt, true, s.current.Leader
	}
	if !ok || s.received && (t.Index < s.current.Index || t.Index == s.current.Index && at < s.reportSentAt) {
		return false
	}
	s.current, s.reportSentAt, s.received, s.receivedAt = t, at, true, now
	return true
}

// LastUpdate returns the current message and when it arrived; ok is false if none ever did.
func (s *Subscription) LastUpdate() (t Update, at Time, ok bool) {
	return s.current, s.receivedAt, s.received
}

// State describes what is known of the council, for tables and JSON.
type State struct {
	Leader string `json:"leader"`
	Index  uint64 `json:"index"`
	AgeMs  int64  `json:"age_ms"` // -1 if nothing was ever received
	Fence  uint64 `json:"fence"`
}

// State returns the current message's content and its age.
func (s *Subscription) State(now Time) State {
	if !s.received {
		return State{AgeMs: -1}
	}
	return State{s.current.Leader, s.current.Index, (now - s.reportSentAt).Milliseconds(), s.current.Fence}
}

// Registry is a voter's record of the gateways' reports. It is not safe for concurrent use.
type Registry struct {
	gateways       map[string]*gatewayState
	observingSince Time // this voter has led, or received reports without a gap, since then
	leading        bool

	members  map[string]map[string]memberState // by member, then by zone of the witness
	versions map[string]*agreed.VersionHealth
	zones    map[[2]string]*zoneplan.Evidence // by witness zone and zone
	zonesAt  Time
}

type gatewayState struct {
	Report
	receivedAt Time
	returned   bool // the start before the present one drained or left
}

// memberState is the latest report on a member by the gateways of a zone.
type memberState struct {
	MemberReport
	receivedAt Time
}

// NewRegistry returns an empty record.
func NewRegistry() *Registry {
	return &Registry{gateways: map[string]*gatewayState{}, members: map[string]map[string]memberState{}, versions: map[string]*agreed.VersionHealth{}, zones: map[[2]string]*zoneplan.Evidence{}}
}

// HandleReport handles a report. Malformed reports and those of an older start or number are dropped.
func (reg *Registry) HandleReport(now Time, raw []byte) (r Report, ok bool) {
	if cbor.Unmarshal(raw, &r) != nil || r.Name == "" || len(r.Name) > maxTextBytes || len(r.Zone) > maxTextBytes || len(r.Addr) > maxTextBytes {
		return r, false
	}
	h := reg.gateways[r.Name]
	if h == nil {
		if len(reg.gateways) >= MaxGateways {
			return r, false
		}
		h = &gatewayState{}
		reg.gateways[r.Name] = h
	} else if r.Epoch < h.Epoch || r.Epoch == h.Epoch && r.Number <= h.Number {
		return r, false
	}
	reg.addCounts(h, &r)
	reg.addZoneAttempts(h, &r)
	if h.Epoch != r.Epoch {
		h.returned = h.Epoch != 0 && (h.Drain || h.Leaving)
	}
	h.Report, h.receivedAt = r, now
	for _, m := range r.Members {
		reg.recordMember(now, r.Zone, m)
	}
	return r, true
}

// addCounts adds what a gateway counted since its last report to the totals of its version.
func (reg *Registry) addCounts(h *gatewayState, r *Report) {
	v := reg.versions[r.Version]
	if v == nil {
		if len(reg.versions) >= 16 {
			return
		}
		v = &agreed.VersionHealth{Version: r.Version, Latency: make([]uint32, agreed.BucketCount)}
		reg.versions[r.Version] = v
	}
	if h.Epoch != 0 && r.Epoch != h.Epoch && h.Version == r.Version && !h.Leaving {
		v.Restarts++ // the earlier start did not announce its stop
	}
	if r.Counts == nil || h.Epoch == 0 { // the counts of a gateway that is new to this voter precede this period
		return
	}
	earlier := &Counts{}
	if h.Epoch == r.Epoch && h.Counts != nil {
		earlier = h.Counts
	}
	d := r.Counts.since(earlier)
	for i := range d.Classes {
		x, y := &v.Classes[i], &d.Classes[i]
		x.Requests, x.Refused, x.Late = x.Requests+y.Requests, x.Refused+y.Refused, x.Late+y.Late
	}
	for i, n := range d.Latency {
		v.Latency[i] += n
	}
}

// zoneRecord returns the record of what the gateways of one zone observed of another since the last evaluation.
func (reg *Registry) zoneRecord(witness, of string) *zoneplan.Evidence {
	z := reg.zones[[2]string{witness, of}]
	if z == nil {
		z = &zoneplan.Evidence{Witness: witness, Zone: of}
		if len(reg.zones) < agreed.MaxZones*agreed.MaxZones {
			reg.zones[[2]string{witness, of}] = z
		}
	}
	return z
}

// addZoneAttempts adds a gateway's attempts since its last report, and its clients' requests.
func (reg *Registry) addZoneAttempts(h *gatewayState, r *Report) {
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
		if t.Zone == "" || len(t.Zone) > maxTextBytes || t.Failed > t.Attempts {
			continue
		}
		attempts, failed := saturatingSub(t.Attempts, was[t.Zone].Attempts), saturatingSub(t.Failed, was[t.Zone].Failed)
		z := reg.zoneRecord(r.Zone, t.Zone)
		z.Attempts, z.Failed = z.Attempts+float64(attempts), z.Failed+float64(min(failed, attempts))
		reg.zoneRecord(t.Zone, t.Zone).Served += float64(attempts - min(failed, attempts))
	}
	if r.Counts != nil && r.Zone != "" {
		earlier := &Counts{}
		if h.Epoch == r.Epoch && h.Counts != nil {
			earlier = h.Counts
		}
		d := r.Counts.since(earlier)
		for _, c := range d.Classes {
			reg.zoneRecord(r.Zone, r.Zone).Offered += float64(c.Requests)
		}
	}
}

// TakeZoneCounts returns and resets what was observed of zones since the last call: offered and completed
// work per second, attempts as totals.
func (reg *Registry) TakeZoneCounts(now Time) (all []zoneplan.Evidence) {
	span := max(now-reg.zonesAt, time.Millisecond).Seconds()
	reg.zonesAt = now
	for _, z := range reg.zones {
		z.Offered, z.Served = z.Offered/span, z.Served/span
		all = append(all, *z)
	}
	clear(reg.zones)
	return all
}

// TakeHealth returns and resets what was counted since the last call, by version, without versions that served no
// request and had no restart.
func (reg *Registry) TakeHealth() (all []agreed.VersionHealth) {
	for _, name := range slices.Sorted(maps.Keys(reg.versions)) {
		v := reg.versions[name]
		n := uint64(v.Restarts)
		for i := range v.Classes {
			n += v.Classes[i].Requests
		}
		if n > 0 {
			all = append(all, *v)
		}
	}
	clear(reg.versions)
	return all
}

func (reg *Registry) recordMember(now Time, zone string, m MemberReport) {
	if m.Member == "" || len(m.Member) > maxTextBytes || len(m.Zone) > maxTextBytes {
		return
	}
	byZone := reg.members[m.Member]
	if byZone == nil {
		if len(reg.members) >= maxMembers {
			return
		}
		byZone = map[string]memberState{}
		reg.members[m.Member] = byZone
	}
	if len(byZone) < 64 || byZone[zone].receivedAt > 0 {
		byZone[zone] = memberState{m, now}
	}
}

// memberTargets returns the members as gateways report them: out if most zones that reported recently say
// so, primary if most say so. A replica's position is the highest reported, as positions only grow.
func (reg *Registry) memberTargets(now Time) (all []agreed.Target) {
	type candidate struct {
		target   agreed.Target
		position int64
	}
	groups := map[string][]*candidate{}
	for _, name := range slices.Sorted(maps.Keys(reg.members)) {
		byZone := reg.members[name]
		zonesHeard, out, primary := 0, 0, 0
		o := &candidate{target: agreed.Target{Name: "db/" + name}}
		for z, w := range byZone {
			if now-w.receivedAt > reportValidity {
				delete(byZone, z)
				continue
			}
			zonesHeard++
			if w.Out {
				out++
			}
			if w.Primary {
				primary++
			}
			o.position = max(o.position, w.Position)
			o.target.Group, o.target.Zone = fmt.Sprint(w.Group), w.Zone
		}
		if zonesHeard == 0 {
			delete(reg.members, name)
			continue
		}
		o.target.Out, o.target.Primary = 2*out > zonesHeard, 2*primary > zonesHeard
		groups[o.target.Group] = append(groups[o.target.Group], o)
	}
	for _, g := range slices.Sorted(maps.Keys(groups)) {
		newest := int64(0)
		var best *candidate
		for _, o := range groups[g] {
			newest = max(newest, o.position)
			if !o.target.Primary && !o.target.Out && o.position > 0 && (best == nil || o.position > best.position) {
				best = o
			}
		}
		for _, o := range groups[g] {
			o.target.CaughtUp = !o.target.Primary && o.position > 0 && newest-o.position <= caughtUpDistance.Milliseconds()
			o.target.BestSuccessor = o == best
			all = append(all, o.target)
		}
	}
	return all
}

// SetLeading records whether this voter leads.
func (reg *Registry) SetLeading(now Time, leads bool) {
	if leads && !reg.leading {
		reg.observingSince = now
	}
	reg.leading = leads
}

// Targets returns all gateways and members, whether each is out, and whether that differs from the known
// set. A leader that has led for less than SilentTimeout counts nobody as out that the council did not: it
// may not have received the reports yet. With full it includes versions, starts and members.
func (reg *Registry) Targets(now Time, known []agreed.Target, full bool) (all []agreed.Target, changed bool) {
	was := map[string]agreed.Target{}
	for _, t := range known {
		if name, ok := strings.CutPrefix(t.Name, "gateway/"); ok {
			was[name] = t
			if reg.gateways[name] == nil && len(reg.gateways) < MaxGateways { // agreed before this voter received a report of it
				reg.gateways[name] = &gatewayState{Report: Report{Name: name, Zone: t.Zone}, receivedAt: reg.observingSince}
			}
		} else if !full || now-reg.observingSince < reportValidity { // a new leader first waits for reports on all members
			all = append(all, t)
		}
	}
	if full && now-reg.observingSince >= reportValidity {
		all = reg.memberTargets(now)
	}
	for name, h := range reg.gateways {
		silent := now - max(h.receivedAt, reg.observingSince)
		if silent > forgetDelay || h.Leaving && silent > leftRetention {
			delete(reg.gateways, name)
			continue
		}
		t := agreed.Target{Name: "gateway/" + name, Zone: h.Zone, Out: h.Leaving || silent > SilentTimeout || was[name].Out && now-h.receivedAt > ServingWindow}
		if full {
			t.Version, t.Epoch = h.Version, h.Epoch
			if h.Epoch == 0 { // not heard since this voter began
				t.Version, t.Epoch = was[name].Version, was[name].Epoch
			}
		}
		all = append(all, t)
	}
	byName := func(x, y agreed.Target) int { return strings.Compare(x.Name, y.Name) }
	slices.SortFunc(all, byName)
	return all, !slices.Equal(all, slices.SortedFunc(slices.Values(known), byName))
}

// Serving reports whether a gateway recently reported that it serves.
func (reg *Registry) Serving(now Time, target string) bool {
	name, ok := strings.CutPrefix(target, "gateway/")
	h := reg.gateways[name]
	return ok && h != nil && h.Epoch > 0 && !h.Drain && !h.Leaving && now-h.receivedAt < ServingWindow
}

// ReturnedAfterDrain reports whether a gateway whose last start drained or left has started again.
func (reg *Registry) ReturnedAfterDrain(target string) bool {
	name, ok := strings.CutPrefix(target, "gateway/")
	h := reg.gateways[name]
	return ok && h != nil && h.returned
}
