// Package observation exchanges observations of members between gateways: which gateway saw what of which member,
// when, and by what evidence. Reports of other gateways yield only advice to probe a member; they never
// exclude one. The package does no I/O, starts no goroutine and reads no clock.
package observation

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Time is a point on the owner's monotonic clock, or a duration on it.
type Time = time.Duration

// Kind is what a gateway observed of a member.
type Kind uint8

// The kinds. Their numbers are part of the wire format.
const (
	Silent  Kind = 1 // it did not answer requests
	Refused Kind = 2 // a connection to it was refused or broke
	Answers Kind = 3
	Primary Kind = 4 // an answer of the member said that it is its group's primary
)

var kindNames = map[Kind]string{Silent: "silent", Refused: "refused", Answers: "answers", Primary: "primary"}

// String returns the kind's name for tables and JSON.
func (k Kind) String() string {
	if n, ok := kindNames[k]; ok {
		return n
	}
	return "unknown"
}

const (
	halfLife           = 3 * time.Second // age at which an observation counts half
	retention          = 20 * time.Second
	retransmitMultiple = 3.0 // times log2 of the group size: how often an observation is passed on
	maxHops            = 12
	maxMembers         = 1024
	maxWitnesses       = 64  // witnesses kept per member
	maxBatch           = 24  // observations per message
	minProbeScore      = 0.3 // weight of independent witnesses that is worth a probe
	minProbeInterval   = time.Second
	maxProbesPerSecond = 10.0 // probes per second caused by reports, over all members; also the largest burst
	minTrust           = 0.05
	trustRecovery      = 0.02 // a tenth of the fraction of lost trust that a confirming probe gives back
)

// Observation is what one gateway observed of one member.
type Observation struct {
	_        struct{} `cbor:",toarray"`
	Witness  string
	Epoch    uint64
	Zone     string
	Number   uint64 // sequence number of the witness, growing
	Member   string
	Kind     Kind
	Age      uint32 // milliseconds since the observation, as far as the sender knows
	Position int64  // log position in Unix milliseconds, 0 if not reported
	Hops     uint8
}

// Encode returns the wire form of a batch.
func Encode(batch []Observation) []byte {
	b, err := cbor.Marshal(batch)
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	return b
}

// Decode parses a batch. Malformed input is an error; observations with fields beyond their limits are left
// out.
func Decode(b []byte) ([]Observation, error) {
	var batch []Observation
	if err := cbor.Unmarshal(b, &batch); err != nil {
		return nil, err
	}
	return slices.DeleteFunc(batch, func(o Observation) bool {
		return o.Witness == "" || len(o.Witness) > 64 || o.Member == "" || len(o.Member) > 128 || len(o.Zone) > 64 || o.Kind < Silent || o.Kind > Primary
	}), nil
}

// Advice is what reports about a member suggest.
type Advice struct {
	Member string
	// Look: probe whether the member answers. Try: it is out of use here, but others had answers. Guess: a
	// write that searches for its primary may begin at this member, as a replica rejects it without effect.
	Look, Try, Guess bool
	Witnesses        int // number of independent witnesses
}

// stored is a stored observation.
type stored struct {
	Observation
	observedAt    Time // when it was made, on this gateway's clock
	transmitsLeft int  // remaining transmissions
}

// Store holds one gateway's observations and those reported by others. It is not safe for concurrent use.
type Store struct {
	name, zone   string
	epoch        uint64
	rng          *rand.Rand
	now          Time
	lastNumber   uint64
	members      map[string]map[string]*stored // by member, then by witness
	lastAnswer   map[string]Time               // when this gateway itself last had an answer of each member
	probeAdvised map[string]Time
	probeTokens  float64
	tokensAt     Time
	trust        map[string]float64 // trust in witnesses whose reports proved wrong, from minTrust to below 1
	pending      []*stored
	Dropped      DropCounts
	Looks        int // probes advised in total
	Wrong        int // those of them that the member answered
}

// DropCounts counts observations and probes that were dropped, by reason.
type DropCounts struct{ Full, Old, Rate, Oneself int }

// New returns an empty store for the gateway with this name, zone and epoch.
func New(name, zone string, epoch, seed uint64) *Store {
	return &Store{name: name, zone: zone, epoch: epoch, rng: rand.New(rand.NewPCG(seed, 0x62656c)), members: map[string]map[string]*stored{},
		lastAnswer: map[string]Time{}, probeAdvised: map[string]Time{}, probeTokens: maxProbesPerSecond, trust: map[string]float64{}}
}

// RecordOwn records an observation of this gateway itself, to be passed on to others. peers is the number of
// peers.
func (s *Store) RecordOwn(now Time, member string, k Kind, position int64, peers int) {
	s.now = now
	if k == Answers || k == Primary {
		s.lastAnswer[member] = now
		if len(s.lastAnswer) > maxMembers {
			s.lastAnswer = map[string]Time{member: now}
		}
		s.penalizeWitnesses(member)
	}
	s.lastNumber++
	o := &stored{Observation: Observation{Witness: s.name, Epoch: s.epoch, Zone: s.zone, Number: s.lastNumber, Member: member, Kind: k, Position: position}, observedAt: now}
	s.add(o, peers)
}

// RecordAnswer records a regular answer of a member without passing it on.
func (s *Store) RecordAnswer(now Time, member string) {
	if len(s.members[member]) > 0 || s.probeAdvised[member] != 0 {
		s.now, s.lastAnswer[member] = now, now
		s.penalizeWitnesses(member)
	}
}

// penalizeWitnesses compares reports about a member with the answer that just came: witnesses that reported
// it silent, no later than the advised probe, are trusted less.
func (s *Store) penalizeWitnesses(member string) {
	at, ok := s.probeAdvised[member]
	if !ok {
		return
	}
	delete(s.probeAdvised, member)
	s.Wrong++
	for w, o := range s.members[member] {
		if w != s.name && (o.Kind == Silent || o.Kind == Refused) && o.observedAt <= at {
			t := s.trustIn(w)
			s.trust[w] = max(minTrust, t/2)
		}
	}
	if len(s.trust) > maxMembers {
		s.trust = map[string]float64{}
	}
}

// ConfirmSilent records that an advised probe was not answered: witnesses that reported so regain trust.
func (s *Store) ConfirmSilent(member string) {
	if _, ok := s.probeAdvised[member]; !ok {
		return
	}
	delete(s.probeAdvised, member)
	for w, o := range s.members[member] {
		if t, lost := s.trust[w]; lost && (o.Kind == Silent || o.Kind == Refused) {
			if t += 10 * trustRecovery * (1 - t); t > 0.95 {
				delete(s.trust, w)
			} else {
				s.trust[w] = t
			}
		}
	}
}

func (s *Store) trustIn(w string) float64 {
	if t, ok := s.trust[w]; ok {
		return t
	}
	return 1
}

// add stores an observation if it is the newest of its witness, and returns whether it did.
func (s *Store) add(o *stored, peers int) bool {
	byWitness := s.members[o.Member]
	if byWitness == nil {
		if len(s.members) >= maxMembers {
			s.Dropped.Full++
			return false
		}
		byWitness = map[string]*stored{}
		s.members[o.Member] = byWitness
	}
	previous := byWitness[o.Witness]
	if previous != nil && (o.Epoch < previous.Epoch || o.Epoch == previous.Epoch && o.Number <= previous.Number) {
		return false
	}
	if previous == nil && len(byWitness) >= maxWitnesses {
		s.Dropped.Full++
		return false
	}
	if previous != nil { // the older one is no longer passed on
		previous.transmitsLeft = 0
	}
	byWitness[o.Witness] = o
	o.transmitsLeft = int(math.Ceil(retransmitMultiple * math.Log2(float64(peers+2))))
	s.pending = append(s.pending, o)
	return true
}

// Merge merges a batch that a peer passed on and returns the resulting advice.
func (s *Store) Merge(now Time, batch []Observation, peers int) []Advice {
	s.now = now
	touched := map[string]bool{}
	for _, o := range batch {
		age := Time(o.Age) * time.Millisecond
		switch {
		case o.Witness == s.name:
			s.Dropped.Oneself++
		case age > retention || o.Hops > maxHops:
			s.Dropped.Old++
		default:
			o.Hops++
			if s.add(&stored{Observation: o, observedAt: now - age}, peers) {
				touched[o.Member] = true
			}
		}
	}
	var advice []Advice
	for _, m := range slices.Sorted(maps.Keys(touched)) {
		if a, ok := s.advise(m); ok {
			advice = append(advice, a)
		}
	}
	return advice
}

// Weight sums up the reports about a member: how many independent witnesses, each fading with age, report that
// it is out, and how many that it answers. The gateways of one zone count as one witness, as one broken link
// may affect all of them.
type Weight struct {
	Out, Up   float64
	Witnesses int
	Primary   Time // time of the newest report that it is primary, 0 if none
}

// Weigh sums up the reports of others about a member, at the time of the last call that set the clock.
func (s *Store) Weigh(member string) Weight {
	var w Weight
	out, up := map[string]float64{}, map[string]float64{}
	lastAnswer := s.lastAnswer[member]
	for name, o := range s.members[member] {
		if name == s.name || s.now-o.observedAt > retention {
			continue
		}
		weight := math.Exp2(-float64(max(0, s.now-o.observedAt))/float64(halfLife)) * s.trustIn(name)
		zone := o.Zone
		if zone == "" {
			zone = name
		}
		switch {
		case o.Kind == Primary:
			w.Primary = max(w.Primary, o.observedAt)
			up[zone] = max(up[zone], weight)
		case o.Kind == Answers:
			up[zone] = max(up[zone], weight)
		case o.observedAt <= lastAnswer: // this gateway has had an answer since
		default:
			out[zone] = max(out[zone], weight)
		}
	}
	for _, f := range out {
		w.Out += f
	}
	for _, f := range up {
		w.Up += f
	}
	w.Witnesses = len(out)
	return w
}

// advise returns the advice for a member that has a new report.
func (s *Store) advise(member string) (Advice, bool) {
	w := s.Weigh(member)
	a := Advice{Member: member, Witnesses: w.Witnesses}
	a.Guess = w.Primary > 0 && s.now-w.Primary < halfLife
	a.Look = w.Out >= minProbeScore && w.Out > w.Up
	a.Try = !a.Look && w.Up >= minProbeScore && w.Up > w.Out
	if a.Look {
		if s.now-s.probeAdvised[member] < minProbeInterval && s.probeAdvised[member] != 0 {
			a.Look = false
		} else if !s.takeProbeToken() {
			a.Look = false
			s.Dropped.Rate++
		} else {
			s.probeAdvised[member] = s.now
			s.Looks++
		}
	}
	return a, a.Look || a.Try || a.Guess
}

// takeProbeToken limits the rate of probes that reports can cause, however many there are.
func (s *Store) takeProbeToken() bool {
	s.probeTokens = min(maxProbesPerSecond, s.probeTokens+maxProbesPerSecond*(s.now-s.tokensAt).Seconds())
	s.tokensAt = s.now
	if s.probeTokens < 1 {
		return false
	}
	s.probeTokens--
	return true
}

// NextBatch returns the observations to pass on now, those passed on the fewest times first; nil if there are
// none.
func (s *Store) NextBatch(now Time) []Observation {
	s.now = now
	s.pending = slices.DeleteFunc(s.pending, func(o *stored) bool { return o.transmitsLeft <= 0 || now-o.observedAt > retention })
	slices.SortStableFunc(s.pending, func(x, y *stored) int { return cmp.Compare(y.transmitsLeft, x.transmitsLeft) })
	if len(s.pending) > maxMembers {
		s.pending = s.pending[:maxMembers]
	}
	var batch []Observation
	for _, o := range s.pending[:min(len(s.pending), maxBatch)] {
		o.transmitsLeft--
		c := o.Observation
		c.Age = uint32((now - o.observedAt) / time.Millisecond)
		batch = append(batch, c)
	}
	return batch
}

// Expire drops entries that are too old to count. It must be called about once a second.
func (s *Store) Expire(now Time) {
	s.now = now
	for m, of := range s.members {
		for w, o := range of {
			if now-o.observedAt > retention {
				delete(of, w)
			}
		}
		if len(of) == 0 {
			delete(s.members, m)
		}
	}
	for m, at := range s.probeAdvised {
		if now-at > retention {
			delete(s.probeAdvised, m)
		}
	}
	for m, at := range s.lastAnswer {
		if now-at > retention {
			delete(s.lastAnswer, m)
		}
	}
}

// MemberSummary sums up the reports about a member for tables and JSON.
type MemberSummary struct {
	Member    string  `json:"member"`
	Out       float64 `json:"out"`
	Up        float64 `json:"up"`
	Witnesses int     `json:"witnesses"`
	Claims    []Claim `json:"claims"`
}

// Claim is one observation for tables and JSON.
type Claim struct {
	Witness string  `json:"witness"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	AgeMs   int64   `json:"age_ms"`
	Trust   float64 `json:"trust"`
}

// Summaries returns all stored observations, ordered by member and witness.
func (s *Store) Summaries(now Time) []MemberSummary {
	s.now = now
	lines := []MemberSummary{}
	for _, m := range slices.Sorted(maps.Keys(s.members)) {
		w := s.Weigh(m)
		l := MemberSummary{Member: m, Out: w.Out, Up: w.Up, Witnesses: w.Witnesses, Claims: []Claim{}}
		for _, name := range slices.Sorted(maps.Keys(s.members[m])) {
			o := s.members[m][name]
			l.Claims = append(l.Claims, Claim{name, o.Zone, o.Kind.String(), (now - o.observedAt).Milliseconds(), s.trustIn(name)})
		}
		lines = append(lines, l)
	}
	return lines
}

// SetEpoch sets a new epoch of this gateway.
func (s *Store) SetEpoch(epoch uint64) { s.epoch = epoch }

// Members returns the members that have stored observations, in no particular order.
func (s *Store) Members() []string { return slices.Collect(maps.Keys(s.members)) }
