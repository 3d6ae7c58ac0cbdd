// Package group combines the state of one gateway in the group: membership, its verdict on its own
// connectivity, observations of members, and shared budgets. Like the packages that it combines it does no
// I/O, starts no goroutine and reads no clock: frames and the current time go in, frames and changes come out.
// Real sockets, the simulated network and the tests drive the same code.
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

// Time is a point on the owner's monotonic clock, or a duration on it.
type Time = time.Duration

// FrameVersions are the oldest and newest frame versions that this program supports.
var FrameVersions = [2]uint8{1, 1}

// Frame kinds, part of the wire format. Receivers drop kinds that they do not know.
const (
	frameSwim         = 1
	frameObservations = 2
	frameQuota        = 3
)

const (
	verdictInterval     = 500 * time.Millisecond
	observationInterval = 200 * time.Millisecond
	observationFanout   = 3
	metaInterval        = 20 * time.Second // minimum interval between metadata updates, except for verdicts and drains
	loanInterval        = time.Second
	expiryInterval      = time.Second
	lendersPerRequest   = 3
	tallyValidity       = 2 * time.Second
	loadStep            = 2       // eighths by which the load must change to be published
	epochsPerMs         = 1 << 10 // distinct epochs within one millisecond of start time
)

// NewEpoch returns the epoch of a start at a wall time in Unix milliseconds. It is later than all earlier ones
// as long as the clock goes forward, and later than last, the epoch that a folder kept. random separates two
// starts within one millisecond.
func NewEpoch(ms int64, random uint16, last uint64) uint64 {
	return max(uint64(max(ms, 0))*epochsPerMs+uint64(random)%epochsPerMs, last+1)
}

// Config is the configuration of a Group.
type Config struct {
	Swim    swim.Config
	Region  string
	Version string
	Started Time // present time on the owner's clock
	Lend    quota.Guard
}

// envelope carries messages of all frame kinds but swim's.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	From swim.ID
	To   swim.ID
	Body []byte
}

// Event is an input to Step; only its first field that is set is used.
type Event struct {
	Frame   []byte // decrypted and authenticated
	Stream  uint64 // stream that Frame came by and may be answered on, 0 if none
	Refused string // address that refused a connection
	Saw     *MemberObservation
	Seeds   []string
	Drain   *bool
	Leave   bool
}

// MemberObservation is an observation of a member by this gateway.
type MemberObservation struct {
	Member   string
	Kind     observation.Kind
	Position int64
	Quiet    bool // it answers as usual: not reported to others
	Looked   bool // this is the result of a probe that reports led to
}

// Action is an output of Step that the caller has to carry out; only its first field that is set counts. To,
// Name, Stream, Dial and Spare belong to Frame.
type Action struct {
	Frame   []byte // to be sealed and sent to To, or as the answer on Stream
	To      string
	Name    string // peer at To, empty if unknown
	Stream  uint64
	Dial    bool // send by a new stream
	Spare   bool // may be dropped first when the bandwidth budget runs short
	Change  *swim.Change
	Verdict bool // the verdict changed
	Advice  *observation.Advice
}

// Group is one gateway's state in the group. It is not safe for concurrent use.
type Group struct {
	config Config
	Swim   *swim.Node
	View   *view.View
	Book   *observation.Store
	Ledger *quota.Ledger

	now                                                            Time
	memberAnswered, discoveryAnswered, pausedAt                    Time
	draining                                                       bool
	load                                                           uint8
	ownMeta                                                        view.Meta
	tallied                                                        view.Tally
	talliedAt                                                      Time
	tallyStale                                                     bool
	peerMetas                                                      map[string]*view.Meta // metadata of peers by name
	nextVerdict, nextObservations, nextMeta, nextLoans, nextExpiry Time
	actions                                                        []Action
	swimActions                                                    []swim.Action
	Unknown, Garbled                                               int // frames dropped: of unknown kinds, and not decodable
}

// New returns the state of a gateway that knows no peers.
func New(c Config) *Group {
	s := c.Swim
	g := &Group{config: c, View: view.New(s.Name, s.Zone, len(s.Seeds) > 0), Book: observation.New(s.Name, s.Zone, s.Epoch, s.Seed),
		Ledger: quota.New(c.Started, s.Epoch, c.Lend), peerMetas: map[string]*view.Meta{}, now: c.Started, memberAnswered: view.DistantPast, discoveryAnswered: view.DistantPast, pausedAt: view.DistantPast}
	g.ownMeta = g.currentMeta()
	c.Swim.Meta = g.ownMeta.Encode()
	g.Swim = swim.New(c.Swim)
	return g
}

// currentMeta returns the metadata that this gateway publishes about itself now.
func (g *Group) currentMeta() view.Meta {
	load := g.ownMeta.Load
	if g.load > load+loadStep-1 || g.load+loadStep-1 < load {
		load = g.load
	}
	m := view.Meta{Zone: g.config.Swim.Zone, Region: g.config.Region, Version: g.config.Version, Load: load, Drain: g.draining,
		Verdict: g.View.Status().Verdict, FrameVersions: FrameVersions}
	return m
}

// Evidence returns what this gateway observed besides its peers.
func (g *Group) Evidence() view.Evidence {
	return view.Evidence{Member: g.memberAnswered, Discovery: g.discoveryAnswered, Paused: g.pausedAt, Doubt: g.Swim.Doubt()}
}

// SetLoad sets this gateway's load, from 0 to 1.
func (g *Group) SetLoad(part float64) { g.load = uint8(8 * max(0, min(1, part))) }

// RecordDiscovery records an answer of discovery.
func (g *Group) RecordDiscovery(now Time) { g.discoveryAnswered = now }

// RecordAnswer records that a member answered as usual.
func (g *Group) RecordAnswer(now Time, member string) {
	g.memberAnswered = now
	g.Book.RecordAnswer(now, member)
}

// Step applies events at time now and returns the resulting actions; the slice is valid until the next Step.
// It must be called at least every 100 ms.
func (g *Group) Step(now Time, events ...Event) []Action {
	g.now, g.actions = now, g.actions[:0]
	if len(events) == 0 {
		g.stepSwim()
	}
	for i := range events {
		g.handleEvent(&events[i])
	}
	g.runTimers()
	return g.actions
}

// stepSwim passes events to the membership protocol and converts its actions.
func (g *Group) stepSwim(events ...swim.Event) {
	g.swimActions = g.Swim.Step(g.now, events, g.swimActions[:0])
	for i := range g.swimActions {
		a := &g.swimActions[i]
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
				g.peerMetas[p.Name] = &m
				if len(g.peerMetas) > 2*swim.MaxPeers { // peers still known are decoded again when needed
					clear(g.peerMetas)
				}
			}
			g.tallyStale = true
			g.actions = append(g.actions, Action{Change: a.Change})
			continue
		}
		k := a.Message.Kind
		g.actions = append(g.actions, Action{Frame: append([]byte{frameSwim}, swim.Encode(a.Message)...), To: a.To, Name: a.Name, Stream: a.Stream, Dial: a.Dial,
			Spare: k == swim.Gossip || k == swim.Sync || k == swim.SyncReply})
	}
}

func (g *Group) handleEvent(e *Event) {
	switch {
	case e.Frame != nil:
		if err := g.handleFrame(e.Frame, e.Stream); err != nil {
			g.Garbled++
		}
	case e.Refused != "":
		g.stepSwim(swim.Event{RefusedAddr: e.Refused})
	case e.Saw != nil:
		s := e.Saw
		if s.Kind == observation.Answers || s.Kind == observation.Primary {
			g.memberAnswered = g.now
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
		g.stepSwim(swim.Event{Seeds: e.Seeds})
	case e.Drain != nil:
		g.draining = *e.Drain
	case e.Leave:
		g.stepSwim(swim.Event{Leave: true})
	}
}

var errEmptyFrame = errors.New("group: empty frame")

// handleFrame handles a frame from a peer.
func (g *Group) handleFrame(b []byte, stream uint64) error {
	if len(b) < 2 {
		return errEmptyFrame
	}
	kind, b := b[0], b[1:]
	if kind == frameSwim {
		m, err := swim.Decode(b)
		if err != nil {
			return err
		}
		g.stepSwim(swim.Event{Message: m, Stream: stream})
		return nil
	}
	if kind != frameObservations && kind != frameQuota {
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
		g.Swim.Dropped.Address++ // not for this start, or not from the peer's present start
		return nil
	}
	theirs, mine := g.PeerMeta(&p).Verdict, g.View.Status().Verdict
	if kind == frameQuota {
		m, err := quota.Decode(e.Body)
		if err != nil {
			return err
		}
		may, _ := view.Allowed(view.BorrowQuota, mine, theirs)
		if reply := g.Ledger.HandleMessage(g.now, p.Name, m, may); reply != nil {
			g.send(&p, frameQuota, reply.Encode(), false)
		}
		return nil
	}
	batch, err := observation.Decode(e.Body)
	if err != nil {
		return err
	}
	if ok, _ := view.Allowed(view.UseObservations, mine, theirs); ok {
		for _, a := range g.Book.Merge(g.now, batch, g.Swim.Len()) {
			g.actions = append(g.actions, Action{Advice: &a})
		}
	}
	return nil
}

// send queues a frame of any kind but swim's for a peer.
func (g *Group) send(p *swim.Peer, kind byte, body []byte, spare bool) {
	self := g.Swim.Self()
	b, err := cbor.Marshal(&envelope{From: swim.ID{Name: self.Name, Epoch: self.Epoch}, To: swim.ID{Name: p.Name, Epoch: p.Epoch}, Body: body})
	if err != nil {
		panic(err) // a struct of plain fields always encodes
	}
	g.actions = append(g.actions, Action{Frame: append([]byte{kind}, b...), To: p.Addr, Name: p.Name, Spare: spare})
}

func (g *Group) runTimers() {
	if g.now >= g.nextVerdict {
		g.nextVerdict = g.now + verdictInterval
		if g.View.Evaluate(g.now, g.currentTally(), g.Swim.Displaced(), g.Evidence()) {
			g.actions = append(g.actions, Action{Verdict: true})
		}
	}
	if g.now >= g.nextObservations {
		g.nextObservations = g.now + observationInterval
		if batch := g.Book.NextBatch(g.now); len(batch) > 0 {
			body := observation.Encode(batch)
			for _, p := range g.Swim.RandomPeers(observationFanout) {
				g.send(&p, frameObservations, body, true)
			}
		}
	}
	if g.now >= g.nextLoans {
		g.nextLoans = g.now + loanInterval
		for _, s := range g.Ledger.RequestLoans(g.now, g.lenders) {
			if p, ok := g.Swim.Peer(s.To); ok {
				g.send(&p, frameQuota, s.Message.Encode(), true)
			}
		}
	}
	if g.now >= g.nextExpiry {
		g.nextExpiry = g.now + expiryInterval
		g.Book.Expire(g.now)
		m := g.currentMeta()
		urgent := m.Verdict != g.ownMeta.Verdict || m.Drain != g.ownMeta.Drain
		if (urgent || g.now >= g.nextMeta) && !bytes.Equal(m.Encode(), g.ownMeta.Encode()) {
			g.nextMeta, g.ownMeta = g.now+metaInterval, m
			g.stepSwim(swim.Event{Meta: m.Encode()})
		}
	}
}

// lenders returns some peers that this gateway may borrow from now. How much each can spare changes too often
// to be published, so they are asked.
func (g *Group) lenders(int) (all []quota.Lender) {
	mine := g.View.Status().Verdict
	for _, p := range g.Swim.RandomPeers(lendersPerRequest) {
		if ok, _ := view.Allowed(view.BorrowQuota, mine, g.PeerMeta(&p).Verdict); ok {
			all = append(all, quota.Lender{Name: p.Name, Spare: quota.LendableFraction})
		}
	}
	return all
}

// PeerMeta returns what a peer last published about itself.
func (g *Group) PeerMeta(p *swim.Peer) *view.Meta {
	m := g.peerMetas[p.Name]
	if m == nil {
		read := view.DecodeMeta(p.Meta)
		m = &read
		g.peerMetas[p.Name] = m
	}
	return m
}

// currentTally counts the peers. The result is cached while nothing changed, but only for a short time, as
// the state of failed peers also depends on time.
func (g *Group) currentTally() view.Tally {
	if !g.tallyStale && g.now < g.talliedAt+tallyValidity {
		return g.tallied
	}
	g.tallied, g.tallyStale, g.talliedAt = view.NewTally(), false, g.now
	g.Swim.ForEach(func(p *swim.Peer) { g.View.Count(&g.tallied, g.now, p, g.PeerMeta(p).Zone) })
	return g.tallied
}

// SetLastAnswers sets when members and discovery last answered, on the owner's clock.
func (g *Group) SetLastAnswers(member, discovery Time) {
	g.memberAnswered, g.discoveryAnswered = max(g.memberAnswered, member), max(g.discoveryAnswered, discovery)
}
