// Package observation holds observations of members that travel between gateways: who
// saw what of which member, when, by what evidence. What comes of them is advice
// to look, never an exclusion. It does no I/O, starts no goroutine and reads no
// clock.
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

// Time is a point on the owner's monotonic clock, or a span on it.
type Time = time.Duration

// Kind is what was seen.
type Kind uint8

// The kinds, on the wire too.
const (
	Silent  Kind = 1 // it did not answer what it was sent
	Refused Kind = 2 // a connection to it was refused or broke
	Answers Kind = 3
	Primary Kind = 4 // an answer of its own said that it is its group's primary
)

var kindNames = map[Kind]string{Silent: "silent", Refused: "refused", Answers: "answers", Primary: "primary"}

// String is the kind's name in tables and JSON.
func (k Kind) String() string {
	if n, ok := kindNames[k]; ok {
		return n
	}
	return "unknown"
}

const (
	halfLife   = 3 * time.Second // an observation so old counts half
	keep       = 20 * time.Second
	passOn     = 3.0 // times log2 of the group's size: how often one is passed on
	hopsMost   = 12
	membersMax = 1024
	eachMax    = 64  // witnesses kept for one member
	batchMost  = 24  // observations in a message
	lookScore  = 0.3 // weight of the independent witnesses from which a look is worth it
	lookGap    = time.Second
	looksMost  = 10.0 // looks a second in all, in bursts as large
	trustLeast = 0.05
	trustBack  = 0.02 // part of the lost trust that a look which bears a witness out gives back, times ten
)

// Observation is what one gateway saw of one member.
type Observation struct {
	_        struct{} `cbor:",toarray"`
	Witness  string
	Epoch    uint64
	Zone     string
	Number   uint64 // of the witness, growing
	Member   string
	Kind     Kind
	Age      uint32 // milliseconds since it was seen, as the sender knows
	Position int64  // Unix milliseconds, 0 = not told
	Hops     uint8
}

// Encode is a batch's bytes.
func Encode(batch []Observation) []byte {
	b, err := cbor.Marshal(batch)
	if err != nil {
		panic(err) // plain fields
	}
	return b
}

// Decode reads a batch; what is out of bounds is an error or left out.
func Decode(b []byte) ([]Observation, error) {
	var batch []Observation
	if err := cbor.Unmarshal(b, &batch); err != nil {
		return nil, err
	}
	return slices.DeleteFunc(batch, func(o Observation) bool {
		return o.Witness == "" || len(o.Witness) > 64 || o.Member == "" || len(o.Member) > 128 || len(o.Zone) > 64 || o.Kind < Silent || o.Kind > Primary
	}), nil
}

// Advice is what comes of claims.
type Advice struct {
	Member string
	// Look: see for yourself whether the member answers. Try: it is out of use here, and others have had answers.
	// Guess: a write that looks for its primary may begin there, as a replica turns it away untouched.
	Look, Try, Guess bool
	Witnesses        int // independent ones
}

// seen is an observation as kept.
type seen struct {
	Observation
	at   Time // when it was made, on this gateway's clock
	left int  // how often it is still passed on
}

// Store is one gateway's. It is its owner's alone.
type Store struct {
	name, zone string
	epoch      uint64
	rng        *rand.Rand
	now        Time
	number     uint64
	members    map[string]map[string]*seen // by member, by witness
	own        map[string]Time             // when this gateway itself last had an answer of a member
	looked     map[string]Time
	looks      float64
	looksAt    Time
	trust      map[string]float64 // of witnesses whose claims were not borne out, below 1
	spread     []*seen
	Dropped    DropCounts
	Looks      int // asked for in all
	Wrong      int // of these, after which the member answered
}

// DropCounts counts what was not taken.
type DropCounts struct{ Full, Old, Rate, Oneself int }

// New returns an empty book.
func New(name, zone string, epoch, seed uint64) *Store {
	return &Store{name: name, zone: zone, epoch: epoch, rng: rand.New(rand.NewPCG(seed, 0x62656c)), members: map[string]map[string]*seen{},
		own: map[string]Time{}, looked: map[string]Time{}, looks: looksMost, trust: map[string]float64{}}
}

// RecordOwn takes what this gateway itself saw, to tell the others. peers is how many there are.
func (b *Store) RecordOwn(now Time, member string, k Kind, position int64, peers int) {
	b.now = now
	if k == Answers || k == Primary {
		b.own[member] = now
		if len(b.own) > membersMax {
			b.own = map[string]Time{member: now}
		}
		b.judge(member)
	}
	b.number++
	o := &seen{Observation: Observation{Witness: b.name, Epoch: b.epoch, Zone: b.zone, Number: b.number, Member: member, Kind: k, Position: position}, at: now}
	b.put(o, peers)
}

// RecordAnswer notes an answer of a member without telling anyone: it answers as usual.
func (b *Store) RecordAnswer(now Time, member string) {
	if len(b.members[member]) > 0 || b.looked[member] != 0 {
		b.now, b.own[member] = now, now
		b.judge(member)
	}
}

// judge compares what was claimed of a member with the answer that just came: who claimed that it was silent, at a
// time before which it was looked for, is trusted less.
func (b *Store) judge(member string) {
	at, ok := b.looked[member]
	if !ok {
		return
	}
	delete(b.looked, member)
	b.Wrong++
	for w, o := range b.members[member] {
		if w != b.name && (o.Kind == Silent || o.Kind == Refused) && o.at <= at {
			t := b.trusted(w)
			b.trust[w] = max(trustLeast, t/2)
		}
	}
	if len(b.trust) > membersMax {
		b.trust = map[string]float64{}
	}
}

// ConfirmSilent takes that a look was not answered: those who said so are trusted more again.
func (b *Store) ConfirmSilent(member string) {
	if _, ok := b.looked[member]; !ok {
		return
	}
	delete(b.looked, member)
	for w, o := range b.members[member] {
		if t, lost := b.trust[w]; lost && (o.Kind == Silent || o.Kind == Refused) {
			if t += 10 * trustBack * (1 - t); t > 0.95 {
				delete(b.trust, w)
			} else {
				b.trust[w] = t
			}
		}
	}
}

func (b *Store) trusted(w string) float64 {
	if t, ok := b.trust[w]; ok {
		return t
	}
	return 1
}

// put keeps an observation if it is the newest of its witness.
func (b *Store) put(o *seen, peers int) bool {
	of := b.members[o.Member]
	if of == nil {
		if len(b.members) >= membersMax {
			b.Dropped.Full++
			return false
		}
		of = map[string]*seen{}
		b.members[o.Member] = of
	}
	was := of[o.Witness]
	if was != nil && (o.Epoch < was.Epoch || o.Epoch == was.Epoch && o.Number <= was.Number) {
		return false
	}
	if was == nil && len(of) >= eachMax {
		b.Dropped.Full++
		return false
	}
	if was != nil { // it is not passed on any more
		was.left = 0
	}
	of[o.Witness] = o
	o.left = int(math.Ceil(passOn * math.Log2(float64(peers+2))))
	b.spread = append(b.spread, o)
	return true
}

// Merge takes a batch that a peer passed on, and returns advice.
func (b *Store) Merge(now Time, batch []Observation, peers int) []Advice {
	b.now = now
	touched := map[string]bool{}
	for _, o := range batch {
		age := Time(o.Age) * time.Millisecond
		switch {
		case o.Witness == b.name:
			b.Dropped.Oneself++
		case age > keep || o.Hops > hopsMost:
			b.Dropped.Old++
		default:
			o.Hops++
			if b.put(&seen{Observation: o, at: now - age}, peers) {
				touched[o.Member] = true
			}
		}
	}
	var advice []Advice
	for _, m := range slices.Sorted(maps.Keys(touched)) {
		if a, ok := b.advise(m); ok {
			advice = append(advice, a)
		}
	}
	return advice
}

// Weight is what is claimed of a member: how many independent witnesses, each fading with age, say that it is out, and
// how many that it answers. The gateways of one zone are one witness, as one broken link may stand before all of them.
type Weight struct {
	Out, Up   float64
	Witnesses int
	Primary   Time // newest word on its being primary, 0 = none
}

// Weigh weighs what is claimed of a member by others, at the time of the book's last event.
func (b *Store) Weigh(member string) Weight {
	var w Weight
	out, up := map[string]float64{}, map[string]float64{}
	own := b.own[member]
	for name, o := range b.members[member] {
		if name == b.name || b.now-o.at > keep {
			continue
		}
		fresh := math.Exp2(-float64(max(0, b.now-o.at))/float64(halfLife)) * b.trusted(name)
		zone := o.Zone
		if zone == "" {
			zone = name
		}
		switch {
		case o.Kind == Primary:
			w.Primary = max(w.Primary, o.at)
			up[zone] = max(up[zone], fresh)
		case o.Kind == Answers:
			up[zone] = max(up[zone], fresh)
		case o.at <= own: // this gateway has had an answer since
		default:
			out[zone] = max(out[zone], fresh)
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

// advise says what to do about a member that something new is claimed of.
func (b *Store) advise(member string) (Advice, bool) {
	w := b.Weigh(member)
	a := Advice{Member: member, Witnesses: w.Witnesses}
	a.Guess = w.Primary > 0 && b.now-w.Primary < halfLife
	a.Look = w.Out >= lookScore && w.Out > w.Up
	a.Try = !a.Look && w.Up >= lookScore && w.Up > w.Out
	if a.Look {
		if b.now-b.looked[member] < lookGap && b.looked[member] != 0 {
			a.Look = false
		} else if !b.mayLook() {
			a.Look = false
			b.Dropped.Rate++
		} else {
			b.looked[member] = b.now
			b.Looks++
		}
	}
	return a, a.Look || a.Try || a.Guess
}

// mayLook bounds the looks that claims can cause, however many there are.
func (b *Store) mayLook() bool {
	b.looks = min(looksMost, b.looks+looksMost*(b.now-b.looksAt).Seconds())
	b.looksAt = b.now
	if b.looks < 1 {
		return false
	}
	b.looks--
	return true
}

// NextBatch is what to pass on now, nil if nothing; those passed on least come first.
func (b *Store) NextBatch(now Time) []Observation {
	b.now = now
	b.spread = slices.DeleteFunc(b.spread, func(o *seen) bool { return o.left <= 0 || now-o.at > keep })
	slices.SortStableFunc(b.spread, func(x, y *seen) int { return cmp.Compare(y.left, x.left) })
	if len(b.spread) > membersMax {
		b.spread = b.spread[:membersMax]
	}
	var batch []Observation
	for _, o := range b.spread[:min(len(b.spread), batchMost)] {
		o.left--
		c := o.Observation
		c.Age = uint32((now - o.at) / time.Millisecond)
		batch = append(batch, c)
	}
	return batch
}

// Expire drops what is too old to count. It is to be called each second or so.
func (b *Store) Expire(now Time) {
	b.now = now
	for m, of := range b.members {
		for w, o := range of {
			if now-o.at > keep {
				delete(of, w)
			}
		}
		if len(of) == 0 {
			delete(b.members, m)
		}
	}
	for m, at := range b.looked {
		if now-at > keep {
			delete(b.looked, m)
		}
	}
	for m, at := range b.own {
		if now-at > keep {
			delete(b.own, m)
		}
	}
}

// MemberSummary is what is claimed of a member, for tables and JSON.
type MemberSummary struct {
	Member    string  `json:"member"`
	Out       float64 `json:"out"`
	Up        float64 `json:"up"`
	Witnesses int     `json:"witnesses"`
	Claims    []Claim `json:"claims"`
}

// Claim is one observation, for tables and JSON.
type Claim struct {
	Witness string  `json:"witness"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	AgeMs   int64   `json:"age_ms"`
	Trust   float64 `json:"trust"`
}

// Summaries are all claims that are held, in the order of members and witnesses.
func (b *Store) Summaries(now Time) []MemberSummary {
	b.now = now
	lines := []MemberSummary{}
	for _, m := range slices.Sorted(maps.Keys(b.members)) {
		w := b.Weigh(m)
		l := MemberSummary{Member: m, Out: w.Out, Up: w.Up, Witnesses: w.Witnesses, Claims: []Claim{}}
		for _, name := range slices.Sorted(maps.Keys(b.members[m])) {
			o := b.members[m][name]
			l.Claims = append(l.Claims, Claim{name, o.Zone, o.Kind.String(), (now - o.at).Milliseconds(), b.trusted(name)})
		}
		lines = append(lines, l)
	}
	return lines
}

// SetEpoch takes over a new epoch of this gateway.
func (b *Store) SetEpoch(epoch uint64) { b.epoch = epoch }

// Members are the members that something is claimed of.
func (b *Store) Members() []string { return slices.Collect(maps.Keys(b.members)) }
