// Package group is one gateway's part in the group, whole: who is there, what this
// gateway takes for true of itself, what others saw of members, and shared budgets.
// Like the parts that it is made of it does no I/O, starts no goroutine and reads
// no clock: frames and the time go in, frames and changes come out. Sockets, the
// simulated net and the checker drive the same code.
package group

import (
	"bytes"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"reachwind/internal/fleet/observation"
	"reachwind/internal/fleet/quota"
	"reachwind/internal/fleet/swim"
	"reachwind/internal/fleet/view"
)

// Time is a point on the owner's monotonic clock, or a span on it.
type Time = time.Duration

// FrameVersions are the least and the newest form of frames that this program knows.
var FrameVersions = [2]uint8{1, 1}

// frame kinds; a receiver drops those it does not know.
const (
	frameSwim    = 1
	frameBeliefs = 2
	frameShare   = 3
)

const (
	judgeEvery  = 500 * time.Millisecond
	tellEvery   = 200 * time.Millisecond
	tellTo      = 3
	metaEvery   = 20 * time.Second // so often at most news of itself, but for verdicts and drains
	shareEvery  = time.Second
	forgetEvery = time.Second
	askTo       = 3
	tallyFor    = 2 * time.Second
	loadStep    = 2       // eighths by which the load must change to be told
	epochs      = 1 << 10 // drawn within a millisecond of start
)

// NewEpoch is the epoch of a start at a wall time in Unix milliseconds: later than any before it on a clock that goes
// forward, and than last, the one that a folder kept. luck tells two starts within a millisecond apart.
func NewEpoch(ms int64, luck uint16, last uint64) uint64 {
	return max(uint64(max(ms, 0))*epochs+uint64(luck)%epochs, last+1)
}

// Config is what a group's part is told.
type Config struct {
	Swim    swim.Config
	Region  string
	Version string
	Started Time // now, on the owner's clock
	Lend    quota.Guard
}

// envelope carries what is not swim's.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	From swim.ID
	To   swim.ID
	Body []byte
}

// Event is what happened; its first field that is set counts.
type Event struct {
	Frame   []byte // opened and authentic
	Stream  uint64 // that Frame came by and may be answered on, 0 = none
	Refused string // address that refused a connection
	Saw     *MemberObservation
	Seeds   []string
	Drain   *bool
	Leave   bool
}

// MemberObservation is what this gateway saw of a member.
type MemberObservation struct {
	Member   string
	Kind     observation.Kind
	Position int64
	Quiet    bool // it answers as usual: not told to others
	Looked   bool // this ends a look that claims led to
}

// Action is what must be done; its first field that is set counts.
type Action struct {
	Frame   []byte // to be sealed and sent to To, or on Stream
	To      string
	Name    string // of the peer there, empty: not known
	Stream  uint64
	Dial    bool // by a stream of its own
	Spare   bool // may be dropped first where the bytes a second are used up
	Change  *swim.Change
	Verdict bool // the verdict changed
	Advice  *observation.Advice
}

// Group is one gateway's part. It is its owner's alone.
type Group struct {
	cfg    Config
	Swim   *swim.Node
	View   *view.View
	Book   *observation.Store
	Ledger *quota.Ledger

	now                                        Time
	member, discovery, pausedAt                Time
	drain                                      bool
	load                                       uint8
	meta                                       view.Meta
	tallied                                    view.Tally
	talliedAt                                  Time
	stale                                      bool
	metas                                      map[string]*view.Meta // of peers
	judgeAt, tellAt, metaAt, shareAt, forgetAt Time
	out                                        []Action
	acts                                       []swim.Action
	Unknown, Garbled                           int // frames dropped: of kinds not known, and not read
}

// New returns the part of a gateway that knows nobody.
func New(c Config) *Group {
	s := c.Swim
	g := &Group{cfg: c, View: view.New(s.Name, s.Zone, len(s.Seeds) > 0), Book: observation.New(s.Name, s.Zone, s.Epoch, s.Seed),
		Ledger: quota.New(c.Started, s.Epoch, c.Lend), metas: map[string]*view.Meta{}, now: c.Started, member: view.DistantPast, discovery: view.DistantPast, pausedAt: view.DistantPast}
	g.meta = g.tells()
	c.Swim.Meta = g.meta.Encode()
	g.Swim = swim.New(c.Swim)
	return g
}

// tells is what this gateway tells of itself now.
func (g *Group) tells() view.Meta {
	load := g.meta.Load
	if g.load > load+loadStep-1 || g.load+loadStep-1 < load {
		load = g.load
	}
	m := view.Meta{Zone: g.cfg.Swim.Zone, Region: g.cfg.Region, Version: g.cfg.Version, Load: load, Drain: g.drain,
		Verdict: g.View.Status().Verdict, FrameVersions: FrameVersions}
	return m
}

// Evidence is what this gateway saw of the world lately.
func (g *Group) Evidence() view.Evidence {
	return view.Evidence{Member: g.member, Discovery: g.discovery, Paused: g.pausedAt, Doubt: g.Swim.Doubt()}
}

// SetLoad tells how busy this gateway is, from 0 to 1.
func (g *Group) SetLoad(part float64) { g.load = uint8(8 * max(0, min(1, part))) }

// RecordDiscovery notes an answer of discovery.
func (g *Group) RecordDiscovery(now Time) { g.discovery = now }

// RecordAnswer notes that a member answered as usual.
func (g *Group) RecordAnswer(now Time, member string) {
	g.member = now
	g.Book.RecordAnswer(now, member)
}

// Step takes what happened by now and returns what must be done; the slice holds until the next Step. It is to be
// called each 100 ms at the least.
func (g *Group) Step(now Time, events ...Event) []Action {
	g.now, g.out = now, g.out[:0]
	if len(events) == 0 {
		g.swim()
	}
	for i := range events {
		g.take(&events[i])
	}
	g.timers()
	return g.out
}

// swim has the lower layer take an event and passes its actions on.
func (g *Group) swim(events ...swim.Event) {
	g.acts = g.Swim.Step(g.now, events, g.acts[:0])
	for i := range g.acts {
		a := &g.acts[i]
		if a.Change != nil {
			if a.Change.PausedFor > 0 {
				g.pausedAt = g.now
			}
			if e := a.Change.NewEpoch; e != 0 {
				g.Ledger.SetEpoch(e)
				g.Book.SetEpoch(e)
			}
			if p := &a.Change.Peer; p.Name != "" && !a.Change.Displaced {
				m := view.DecodeMeta(p.Meta)
				g.metas[p.Name] = &m
				if len(g.metas) > 2*swim.MaxPeers { // those forgotten are read anew
					clear(g.metas)
				}
			}
			g.stale = true
			g.out = append(g.out, Action{Change: a.Change})
			continue
		}
		k := a.Message.Kind
		g.out = append(g.out, Action{Frame: append([]byte{frameSwim}, swim.Encode(a.Message)...), To: a.To, Name: a.Name, Stream: a.Stream, Dial: a.Dial,
			Spare: k == swim.Gossip || k == swim.Sync || k == swim.SyncReply})
	}
}

func (g *Group) take(e *Event) {
	switch {
	case e.Frame != nil:
		if err := g.frame(e.Frame, e.Stream); err != nil {
			g.Garbled++
		}
	case e.Refused != "":
		g.swim(swim.Event{RefusedAddr: e.Refused})
	case e.Saw != nil:
		s := e.Saw
		if s.Kind == observation.Answers || s.Kind == observation.Primary {
			g.member = g.now
		}
		switch {
		case s.Looked && (s.Kind == observation.Silent || s.Kind == observation.Refused):
			g.Book.ConfirmSilent(s.Member)
		case s.Quiet || s.Looked:
			g.Book.RecordAnswer(g.now, s.Member)
		default:
			g.Book.RecordOwn(g.now, s.Member, s.Kind, s.Position, g.Swim.Len())
		}
	case e.Seeds != nil:
		g.swim(swim.Event{Seeds: e.Seeds})
	case e.Drain != nil:
		g.drain = *e.Drain
	case e.Leave:
		g.swim(swim.Event{Leave: true})
	}
}

var errFrame = errors.New("group: empty frame")

// frame takes a frame from a peer.
func (g *Group) frame(b []byte, stream uint64) error {
	if len(b) < 2 {
		return errFrame
	}
	kind, b := b[0], b[1:]
	if kind == frameSwim {
		m, err := swim.Decode(b)
		if err != nil {
			return err
		}
		g.swim(swim.Event{Message: m, Stream: stream})
		return nil
	}
	if kind != frameBeliefs && kind != frameShare {
		g.Unknown++
		return nil
	}
	var e envelope
	if err := cbor.Unmarshal(b, &e); err != nil {
		return err
	}
	self := g.Swim.Self()
	p, ok := g.Swim.Peer(e.From.Name)
	if e.To.Name != self.Name || e.To.Epoch != self.Epoch || !ok || p.Epoch != e.From.Epoch || g.Swim.Displaced() {
		g.Swim.Dropped.Address++ // not for this start, or not from a peer's present one
		return nil
	}
	theirs, mine := g.PeerMeta(&p).Verdict, g.View.Status().Verdict
	if kind == frameShare {
		m, err := quota.Decode(e.Body)
		if err != nil {
			return err
		}
		may, _ := view.Allowed(view.BorrowQuota, mine, theirs)
		if reply := g.Ledger.HandleMessage(g.now, p.Name, m, may); reply != nil {
			g.send(&p, frameShare, reply.Encode(), false)
		}
		return nil
	}
	batch, err := observation.Decode(e.Body)
	if err != nil {
		return err
	}
	if ok, _ := view.Allowed(view.UseObservations, mine, theirs); ok {
		for _, a := range g.Book.Merge(g.now, batch, g.Swim.Len()) {
			g.out = append(g.out, Action{Advice: &a})
		}
	}
	return nil
}

// send sends what is not swim's to a peer.
func (g *Group) send(p *swim.Peer, kind byte, body []byte, spare bool) {
	self := g.Swim.Self()
	b, err := cbor.Marshal(&envelope{From: swim.ID{Name: self.Name, Epoch: self.Epoch}, To: swim.ID{Name: p.Name, Epoch: p.Epoch}, Body: body})
	if err != nil {
		panic(err) // plain fields
	}
	g.out = append(g.out, Action{Frame: append([]byte{kind}, b...), To: p.Addr, Name: p.Name, Spare: spare})
}

func (g *Group) timers() {
	if g.now >= g.judgeAt {
		g.judgeAt = g.now + judgeEvery
		if g.View.Evaluate(g.now, g.tally(), g.Swim.Displaced(), g.Evidence()) {
			g.out = append(g.out, Action{Verdict: true})
		}
	}
	if g.now >= g.tellAt {
		g.tellAt = g.now + tellEvery
		if batch := g.Book.NextBatch(g.now); len(batch) > 0 {
			body := observation.Encode(batch)
			for _, p := range g.Swim.RandomPeers(tellTo) {
				g.send(&p, frameBeliefs, body, true)
			}
		}
	}
	if g.now >= g.shareAt {
		g.shareAt = g.now + shareEvery
		for _, s := range g.Ledger.RequestLoans(g.now, g.lenders) {
			if p, ok := g.Swim.Peer(s.To); ok {
				g.send(&p, frameShare, s.Message.Encode(), true)
			}
		}
	}
	if g.now >= g.forgetAt {
		g.forgetAt = g.now + forgetEvery
		g.Book.Expire(g.now)
		m := g.tells()
		urgent := m.Verdict != g.meta.Verdict || m.Drain != g.meta.Drain
		if (urgent || g.now >= g.metaAt) && !bytes.Equal(m.Encode(), g.meta.Encode()) {
			g.metaAt, g.meta = g.now+metaEvery, m
			g.swim(swim.Event{Meta: m.Encode()})
		}
	}
}

// lenders are some peers that this gateway may borrow from now. What each can spare is not told around: it changes
// too often; they are asked.
func (g *Group) lenders(int) (all []quota.Lender) {
	mine := g.View.Status().Verdict
	for _, p := range g.Swim.RandomPeers(askTo) {
		if ok, _ := view.Allowed(view.BorrowQuota, mine, g.PeerMeta(&p).Verdict); ok {
			all = append(all, quota.Lender{Name: p.Name, Spare: quota.LendableFraction})
		}
	}
	return all
}

// PeerMeta is what a peer last told of itself.
func (g *Group) PeerMeta(p *swim.Peer) *view.Meta {
	m := g.metas[p.Name]
	if m == nil {
		read := view.DecodeMeta(p.Meta)
		m = &read
		g.metas[p.Name] = m
	}
	return m
}

// tally counts the peers. It is kept while nothing changed, but not for long, as who is gone counts by time.
func (g *Group) tally() view.Tally {
	if !g.stale && g.now < g.talliedAt+tallyFor {
		return g.tallied
	}
	g.tallied, g.stale, g.talliedAt = view.NewTally(), false, g.now
	g.Swim.ForEach(func(p *swim.Peer) { g.View.Count(&g.tallied, g.now, p, g.PeerMeta(p).Zone) })
	return g.tallied
}

// SetLastAnswers takes when members and discovery last answered, on the owner's clock.
func (g *Group) SetLastAnswers(member, discovery Time) {
	g.member, g.discovery = max(g.member, member), max(g.discovery, discovery)
}
