// Package swim maintains gateway group membership: failure detection and dissemination after SWIM and
// Lifeguard. It does no I/O, starts no goroutine and reads no clock: messages and the current time go in,
// messages and membership changes come out. A process that finds from its own clock that it was paused does
// not blame peers for the answers that it missed meanwhile.
package swim

import (
	"encoding/binary"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is a point on the owner's monotonic clock, or a duration on it.
type Time = time.Duration

const (
	never   Time = -1 << 60
	forever Time = 1 << 62
)

// Protocol parameters.
const (
	period      = time.Second            // one peer is pinged per period
	gossipEvery = 200 * time.Millisecond // updates go to gossipTo random peers
	gossipTo    = 3
	askTo       = 3                      // peers asked for an indirect ping
	ackFirst    = 400 * time.Millisecond // answer timeout while no round-trip time is known
	ackLeast    = 100 * time.Millisecond
	ackMost     = 2 * time.Second // so that links with 800 ms one-way delay stay usable
	askTimes    = 3               // an indirect answer may take this multiple of the direct timeout

	suspectTimes = 4.0 // minimum suspicion time in periods, times log10 of the group size
	suspectMost  = 3.0 // maximum suspicion time as a multiple of the minimum: with no second witness
	witnesses    = 3   // witnesses (zones, or peers without a zone) that shorten the suspicion to its minimum
	retransmit   = 1.3 // times log2 of the group size: how often an update is passed on
	doubtMost    = 3   // limit of the self-doubt: timeouts grow up to 1+doubtMost times while answers are missed
	pauseLeast   = 1500 * time.Millisecond
	reconnect    = 2 * time.Second // one failed peer or seed is tried per interval
	syncGap      = 2 * time.Second // between digest-triggered syncs, as gossip may already carry the difference
	syncQuiet    = time.Second     // no digest-triggered sync this soon after an update
	helloEvery   = time.Second     // interval of join attempts while no peer is live
	incMost      = 1 << 20         // higher incarnations are refused: the peer could hardly refute them; at half of it the node begins a new epoch
	leftKeep     = 10 * time.Minute
	probesMost   = 1024 // outstanding, those for other peers included
	greetedMost  = 256
	rttBlend     = 0.125
	varBlend     = 0.25
)

// Guard is a bit set of protocol checks. Test tools disable them one at a time to show that each is needed.
type Guard uint32

// The guards, each with what it enforces.
const (
	GuardOwnPause      Guard = 1 << iota // after an own pause, timeouts of peers are extended
	GuardRefute                          // a live node refutes claims that it is suspect, failed or gone
	GuardEpoch                           // messages of an earlier start of a peer are dropped
	GuardIndirectProbe                   // indirect pings precede a suspicion
	GuardIncarnation                     // implausibly high incarnations are refused
	GuardRetry                           // failed peers and seeds are retried
	GuardYieldName                       // a node yields its name to a later start that is alive
	GuardAddressee                       // messages addressed to another start of this node are dropped
)

// Guards lists all guards with their names as printed by test tools.
var Guards = []struct {
	Guard Guard
	Name  string
}{
	{GuardOwnPause, "own pauses are not held against others"}, {GuardRefute, "who is alive denies what is said of it"},
	{GuardEpoch, "what an older start of a peer sends is dropped, and it is told"}, {GuardIndirectProbe, "others are asked before a peer is suspected"},
	{GuardIncarnation, "incarnations out of reach are refused"},
	{GuardRetry, "failed peers and seeds are tried again"}, {GuardYieldName, "a name is yielded to a later start that is alive"},
	{GuardAddressee, "what is addressed to another start is dropped"},
}

// Config is a node's configuration.
type Config struct {
	Name, Addr, Zone string
	Epoch            uint64 // start number of this process, greater than those of its earlier starts
	Meta             []byte
	Seeds            []string
	Seed             uint64
	KeepFailed       Time  // how long failed peers are remembered; 0 means 24 hours
	DisabledGuards   Guard // guards that are switched off; for tests only
}

// Peer is the local record of a peer.
type Peer struct {
	Claim
	Since       Time // when the current state began
	LastHeard   Time // when its last message arrived; distantPast if none
	RTT         Time // smoothed round-trip time, 0 if unknown
	LastHelper  string
	ProcessGone bool // its host refused a connection since: the process ended, the link works

	variance  Time
	wits      map[string]bool // zones, or peers without a zone, that suspect it
	until     Time            // Suspect: time at which it is declared failed
	suspected Time
	left      int // remaining transmissions of its latest claim
}

// Event is an input to Step. Of Message (with Stream), Refused and Leave only the first that is set is used;
// Meta and Seeds apply in addition.
type Event struct {
	Message     *Message
	Stream      uint64 // stream that Message came by and may be answered on; 0 for a datagram
	RefusedAddr string // address that refused a connection
	Meta        []byte // this node's new metadata, nil if unchanged
	Seeds       []string
	Leave       bool
}

// Action is an output of Step that the caller has to carry out.
type Action struct {
	To      string // address
	Name    string // peer at the address, for callers that reach it by another address; empty if unknown
	Message *Message
	Stream  uint64 // stream to answer on, 0 if none
	Dial    bool   // send by a new stream; its answer comes as an event
	Change  *Change
}

// Change reports a change in membership, or one of this node itself.
type Change struct {
	Peer          Peer
	PreviousState State // previous state, 0 if the peer is new
	// The fields below concern this node itself.
	Displaced bool   // a later start with the same name is alive; this node no longer takes part
	NewEpoch  uint64 // its new epoch, 0 if unchanged
	PausedFor Time   // duration of a pause of this process that was just detected
}

type probe struct {
	target   ID
	addr     string
	at       Time
	ask, end Time // when indirect pings are sent, and when the probe has failed
	asked    bool
	forID    ID // peer that requested this probe and is sent the Ack
	forAddr  string
	forSeq   uint32
}

// Node is one gateway's membership state. It is not safe for concurrent use.
type Node struct {
	cfg     Config
	rng     *rand.Rand
	now     Time
	out     []Action
	inc     uint32
	meta    []byte
	seeds   []string
	peers   map[string]*Peer
	order   []string         // ping order, reshuffled each round
	fresh   []*Peer          // peers whose latest claim is still passed on
	ended   map[string]*Peer // peers that are suspect, failed or left
	at      int
	probes  map[uint32]*probe
	greeted map[uint32]string // outstanding Hellos by sequence number: the address sent to
	owners  map[string]string // name of the peer that answered at each seed address
	seq     uint32
	doubt   int

	stepped, pingAt, gossipAt, retryAt, newsAt, syncAt, helloAt Time
	displaced, left                                             bool
	self                                                        int // remaining transmissions of this node's own claim
	digest                                                      uint64
	Dropped                                                     DropCounts
}

// DropCounts counts messages, claims and requests that were dropped, by reason.
type DropCounts struct {
	Epoch, Address, Incarnation, Full, Kind int
}

// New returns a node that knows no peers.
func New(c Config) *Node {
	if c.KeepFailed == 0 {
		c.KeepFailed = 24 * time.Hour
	}
	n := &Node{cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 0x7377696d)), meta: c.Meta, seeds: c.Seeds, peers: map[string]*Peer{},
		ended: map[string]*Peer{}, probes: map[uint32]*probe{}, greeted: map[uint32]string{}, owners: map[string]string{}, stepped: never, newsAt: never, syncAt: never, helloAt: never}
	n.self = n.spread()
	return n
}

func (n *Node) on(g Guard) bool { return n.cfg.DisabledGuards&g == 0 }

// Peers returns copies of all known peers, without this node, sorted by name.
func (n *Node) Peers() []Peer {
	all := make([]Peer, 0, len(n.peers))
	for _, p := range n.peers {
		all = append(all, *p)
	}
	slices.SortFunc(all, func(a, b Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return all
}

// Peer returns a copy of the record of the peer with this name.
func (n *Node) Peer(name string) (Peer, bool) {
	if p := n.peers[name]; p != nil {
		return *p, true
	}
	return Peer{}, false
}

// ForEach calls f for each known peer, in no particular order. f must not change them.
func (n *Node) ForEach(f func(*Peer)) {
	for _, p := range n.peers {
		f(p)
	}
}

// Len returns the number of known peers.
func (n *Node) Len() int { return len(n.peers) }

// RandomPeers returns up to k live peers chosen at random, none once this node is displaced.
func (n *Node) RandomPeers(k int) (drawn []Peer) {
	if !n.displaced {
		for _, p := range n.some(k, nil) {
			drawn = append(drawn, *p)
		}
	}
	return drawn
}

// Self returns this node's claim about itself.
func (n *Node) Self() Claim {
	s := Alive
	if n.left {
		s = Left
	}
	return Claim{Name: n.cfg.Name, Epoch: n.cfg.Epoch, Incarnation: n.inc, State: s, Addr: n.cfg.Addr, Meta: n.meta}
}

// Displaced reports whether a later start with this node's name is alive.
func (n *Node) Displaced() bool { return n.displaced }

// Doubt returns the self-doubt level, from 0 to doubtMost (Lifeguard's local health): it grows while this node
// seems to miss messages itself, and lengthens its timeouts.
func (n *Node) Doubt() int { return n.doubt }

// Digest returns a hash of the membership table, this node included. Equal digests mean equal tables.
func (n *Node) Digest() uint64 {
	return n.digest ^ digestOf(n.cfg.Name, n.cfg.Epoch, n.inc, n.Self().State)
}

func digestOf(name string, epoch uint64, inc uint32, s State) uint64 {
	if s == Suspect { // a suspicion is decided soon, so it does not change the digest
		s = Alive
	}
	b := append([]byte(name), 0, byte(s))
	b = binary.LittleEndian.AppendUint64(b, epoch)
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(b, inc))
}

// Step applies events at time now and appends the resulting actions to out. It must be called at least every
// 100 ms.
func (n *Node) Step(now Time, events []Event, out []Action) []Action {
	n.out = out
	if n.stepped != never && now-n.stepped > pauseLeast && n.on(GuardOwnPause) {
		n.paused(now - n.stepped)
	}
	if n.stepped == never { // spreads the first pings of a group that was restarted as a whole
		n.pingAt = now + Time(n.rng.Float64()*float64(period))
	}
	n.now, n.stepped = now, now
	if n.inc > incMost/2 {
		n.renew(n.cfg.Epoch + 1)
	}
	for i := range events {
		n.take(&events[i])
	}
	n.timers()
	return n.out
}

// paused extends all timeouts that wait for peers by span: their messages of that time were not lost by them.
func (n *Node) paused(span Time) {
	for _, p := range n.probes {
		p.at, p.ask, p.end = p.at+span, p.ask+span, p.end+span
	}
	for _, p := range n.peers {
		if p.State == Suspect {
			p.until += span
			p.suspected += span // further witnesses shorten the timeout from this point
		}
	}
	n.doubt = min(n.doubt+1, doubtMost)
	n.out = append(n.out, Action{Change: &Change{PausedFor: span}})
}

func (n *Node) take(e *Event) {
	switch {
	case e.Message != nil:
		n.message(e.Message, e.Stream)
	case e.RefusedAddr != "":
		for _, p := range n.peers {
			if p.Addr == e.RefusedAddr && p.State != Left {
				p.ProcessGone = true
			}
		}
	case e.Leave:
		n.left = true
		n.self = n.spread()
		c := n.Self()
		for _, p := range n.some(2*gossipTo, nil) {
			n.send(p.Addr, &Message{Kind: Gossip, To: p.id(), Claims: []Claim{c}})
		}
	}
	if e.Meta != nil && !slices.Equal(e.Meta, n.meta) {
		n.meta = e.Meta
		n.inc++
		n.self = n.spread()
	}
	if e.Seeds != nil {
		n.seeds = e.Seeds
		clear(n.owners)
	}
}

func (p *Peer) id() ID { return ID{Name: p.Name, Epoch: p.Epoch} }

func (n *Node) id() ID { return ID{Name: n.cfg.Name, Epoch: n.cfg.Epoch} }

// send queues a message to be sent by datagram.
func (n *Node) send(addr string, m *Message) { n.act(Action{To: addr, Message: m}) }

func (n *Node) act(a Action) {
	a.Message.From, a.Message.Addr = n.id(), n.cfg.Addr
	if a.Name == "" {
		a.Name = a.Message.To.Name
	}
	if a.Message.Kind != Hello && a.Message.Kind != Gossip {
		a.Message.Digest = n.Digest()
	}
	n.out = append(n.out, a)
}

// spread returns how often an update is passed on.
func (n *Node) spread() int {
	return int(math.Ceil(retransmit * math.Log2(float64(len(n.peers)+2))))
}

// some returns up to k live peers chosen at random, without those that not selects.
func (n *Node) some(k int, not func(*Peer) bool) (drawn []*Peer) {
	fits := func(p *Peer) bool {
		return p.State <= Suspect && (not == nil || !not(p)) && !slices.Contains(drawn, p)
	}
	for range 4 * k { // most peers are live, so a few draws normally suffice
		if len(n.order) < 8*k || len(drawn) == k {
			break
		}
		if p := n.peers[n.order[n.rng.IntN(len(n.order))]]; fits(p) {
			drawn = append(drawn, p)
		}
	}
	if len(drawn) == k {
		return drawn
	}
	var rest []*Peer
	for _, name := range n.order {
		if p := n.peers[name]; fits(p) {
			rest = append(rest, p)
		}
	}
	n.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(drawn, rest[:min(k-len(drawn), len(rest))]...)
}

// tell schedules p's latest claim to be passed on.
func (n *Node) tell(p *Peer) {
	if p.left == 0 {
		n.fresh = append(n.fresh, p)
	}
	p.left = n.spread()
}

// news adds claims to m until the datagram is full, those passed on the fewest times first.
func (n *Node) news(m *Message, to *Peer) *Message {
	room := MaxDatagramBytes - 200
	add := func(c Claim) bool {
		if room -= c.size(); room < 0 {
			return false
		}
		m.Claims = append(m.Claims, c)
		return true
	}
	if n.displaced {
		return m
	}
	if to != nil && to.State != Alive { // the peer must learn what is claimed of it, so that it can refute it
		add(n.claim(to))
	}
	if n.self > 0 && add(n.Self()) {
		n.self--
	}
	slices.SortStableFunc(n.fresh, func(a, b *Peer) int { return b.left - a.left })
	for _, p := range n.fresh {
		if p == to {
			continue
		}
		if !add(n.claim(p)) {
			break
		}
		p.left--
	}
	n.fresh = slices.DeleteFunc(n.fresh, func(p *Peer) bool { return p.left == 0 })
	return m
}

func (n *Node) claim(p *Peer) Claim {
	c := p.Claim
	if c.State == Failed || c.State == Left {
		c.AgeSeconds = uint32((n.now - p.Since) / time.Second)
	}
	return c
}

// all adds the whole membership table to m.
func (n *Node) all(m *Message) *Message {
	m.Claims = append(m.Claims, n.Self())
	for _, name := range n.order {
		if p := n.peers[name]; p != nil {
			m.Claims = append(m.Claims, n.claim(p))
		}
	}
	return m
}

// Messages.

func (n *Node) message(m *Message, stream uint64) {
	if n.left || m.From == n.id() { // this node's own message, reflected
		return
	}
	if m.To.Name != "" && m.To != n.id() && n.on(GuardAddressee) {
		n.Dropped.Address++ // meant for an earlier start of this process, or replayed
		return
	}
	if m.Kind == Hello {
		n.hello(m, stream)
		return
	}
	if m.From.Name == n.cfg.Name { // from another start with this name
		if m.Kind == Welcome || m.Kind == SyncReply {
			n.claimed(Claim{Name: m.From.Name, Epoch: m.From.Epoch, State: Alive, Addr: m.Addr})
		}
		return
	}
	p := n.peers[m.From.Name]
	if p != nil && m.From.Epoch < p.Epoch && n.on(GuardEpoch) {
		n.Dropped.Epoch++
		if m.Kind != Ack && m.Kind != Gossip { // tell it which start has its name now
			n.send(m.Addr, &Message{Kind: Gossip, To: m.From, Claims: []Claim{n.claim(p)}})
		}
		return
	}
	if p == nil || m.From.Epoch > p.Epoch { // the message itself shows that its sender is alive
		n.claimed(Claim{Name: m.From.Name, Epoch: m.From.Epoch, State: Alive, Addr: m.Addr})
		p = n.peers[m.From.Name]
	}
	if p != nil {
		p.LastHeard, p.ProcessGone = n.now, false
		if p.Addr != m.Addr && m.Addr != "" && p.State == Alive { // the peer moved; its next claim carries the new address too
			p.Addr = m.Addr
		}
	}
	for i := range m.Claims {
		n.claimed(m.Claims[i])
	}
	switch m.Kind {
	case Ping:
		n.answer(m, p, stream)
	case Ack:
		n.acked(m)
	case PingRequest:
		if len(n.probes) >= probesMost {
			n.Dropped.Full++
			break
		}
		n.seq++
		n.probes[n.seq] = &probe{target: m.Target, addr: m.TargetAddr, at: n.now, ask: forever, end: n.now + askTimes*ackMost, forID: m.From,
			forAddr: m.Addr, forSeq: m.Seq}
		n.send(m.TargetAddr, n.news(&Message{Kind: Ping, Seq: n.seq, To: m.Target}, n.peers[m.Target.Name]))
	case Sync:
		n.act(Action{To: m.Addr, Stream: stream, Message: n.all(&Message{Kind: SyncReply, Seq: m.Seq, To: m.From})})
	case Gossip, SyncReply:
	case Welcome: // a seed or a failed peer answered: fetch its table
		if at, ok := n.greeted[m.Seq]; ok {
			delete(n.greeted, m.Seq)
			n.owners[at] = m.From.Name
		}
		if p == nil || p.State != Alive || m.Digest != n.Digest() {
			n.sync(m.Addr, m.From)
			return
		}
	default:
		n.Dropped.Kind++
	}
	if d := m.Digest; d != 0 && p != nil && d != n.Digest() && n.now-n.newsAt > syncQuiet && n.now-n.syncAt > syncGap {
		n.sync(p.Addr, p.id())
	}
}

func (n *Node) answer(m *Message, p *Peer, stream uint64) {
	ack := &Message{Kind: Ack, Seq: m.Seq, To: m.From}
	if p != nil {
		n.news(ack, p)
	}
	n.act(Action{To: m.Addr, Message: ack, Stream: stream})
}

// hello answers any sender that knows the group key and takes nothing that it says for true. A sender whose
// name belongs to a later start is told so. It stays silent towards a later start with this node's own name.
func (n *Node) hello(m *Message, stream uint64) {
	if m.From.Name == n.cfg.Name && m.From.Epoch < n.cfg.Epoch || m.From.Name != n.cfg.Name {
		w := &Message{Kind: Welcome, Seq: m.Seq, To: m.From}
		if p := n.peers[m.From.Name]; p != nil && p.Epoch >= m.From.Epoch {
			w.Claims = []Claim{n.claim(p)}
		}
		n.act(Action{To: m.Addr, Message: w, Stream: stream})
	}
}

func (n *Node) sync(addr string, to ID) {
	n.syncAt = n.now
	n.seq++
	n.act(Action{To: addr, Dial: true, Message: n.all(&Message{Kind: Sync, Seq: n.seq, To: to})})
}

// acked handles the answer to a ping.
func (n *Node) acked(m *Message) {
	q := n.probes[m.Seq]
	if q == nil {
		return
	}
	if q.forAddr != "" { // pinged on behalf of another peer
		if q.target == m.From {
			delete(n.probes, m.Seq)
			n.send(q.forAddr, &Message{Kind: Ack, Seq: q.forSeq, To: q.forID, Target: q.target})
		}
		return
	}
	by := m.Target
	if by.Name != "" && by == q.target { // a helper reached it
		if p := n.peers[by.Name]; p != nil && p.Epoch == by.Epoch {
			p.LastHelper, p.ProcessGone = m.From.Name, false
		}
	} else if m.From != q.target {
		return
	} else if p := n.peers[m.From.Name]; p != nil {
		p.LastHelper = ""
		if rtt := n.now - q.at; p.RTT == 0 {
			p.RTT, p.variance = rtt, rtt/2
		} else {
			p.variance += Time(varBlend * (math.Abs(float64(rtt-p.RTT)) - float64(p.variance)))
			p.RTT += Time(rttBlend * float64(rtt-p.RTT))
		}
	}
	delete(n.probes, m.Seq)
	n.doubt = max(0, n.doubt-1)
}

// Claims.

// claimed handles a claim about a peer, made by the peer itself or by others.
func (n *Node) claimed(c Claim) {
	if c.State < Alive || c.State > Left || len(c.Meta) > MaxMetaBytes {
		n.Dropped.Kind++
		return
	}
	if c.Name == n.cfg.Name {
		n.said(&c)
		return
	}
	p := n.peers[c.Name]
	switch {
	case c.Incarnation > incMost && n.on(GuardIncarnation):
		n.Dropped.Incarnation++
		return
	case p == nil:
		n.meet(&c)
		return
	}
	newer := c.Epoch > p.Epoch || c.Epoch == p.Epoch && c.Incarnation > p.Incarnation
	same := c.Epoch == p.Epoch && c.Incarnation == p.Incarnation
	switch c.State {
	case Alive:
		if newer {
			n.become(p, c)
		} else if same && p.State == Alive && len(p.Meta) == 0 && len(c.Meta) > 0 {
			n.become(p, c) // first met by a message that carried none of its metadata
		}
	case Suspect:
		switch {
		case newer || same && p.State == Alive:
			n.become(p, c)
			p.wits = map[string]bool{c.SuspectedBy: true}
			n.term(p)
		case same && p.State == Suspect && !p.wits[c.SuspectedBy] && len(p.wits) < witnesses:
			p.wits[c.SuspectedBy] = true
			p.SuspectedBy = c.SuspectedBy
			n.tell(p) // a further witness is passed on too
			n.term(p)
		}
	case Failed, Left:
		if newer || same && p.State < c.State {
			n.become(p, c)
			p.Since = n.now - Time(c.AgeSeconds)*time.Second
		}
	}
}

// said handles a claim about this node itself.
func (n *Node) said(c *Claim) {
	switch {
	case c.Epoch > n.cfg.Epoch && (c.State == Failed || c.State == Left || !n.on(GuardYieldName)):
		// That start has ended but was later than this one: the folder is an old copy, or the clock went back.
		n.renew(c.Epoch + 1)
	case c.Epoch > n.cfg.Epoch:
		if !n.displaced {
			n.displaced = true
			n.out = append(n.out, Action{Change: &Change{Peer: Peer{Claim: *c}, Displaced: true}})
		}
	case c.Epoch < n.cfg.Epoch:
		if c.State == Alive || c.State == Suspect {
			n.self = max(n.self, n.spread()/2)
		}
	case n.left:
	case (c.Incarnation > n.inc || c.State != Alive && c.Incarnation == n.inc) && n.on(GuardRefute):
		if c.Incarnation > incMost && n.on(GuardIncarnation) {
			n.Dropped.Incarnation++
			return
		}
		n.inc = c.Incarnation + 1
		n.self = n.spread()
		n.doubt = min(n.doubt+1, doubtMost) // others missed this node's answers: it may be slow itself
	}
}

// renew begins a new epoch.
func (n *Node) renew(epoch uint64) {
	n.cfg.Epoch, n.inc, n.displaced = epoch, 0, false
	n.self = n.spread()
	n.out = append(n.out, Action{Change: &Change{NewEpoch: epoch}})
}

// meet adds a peer that was not known.
func (n *Node) meet(c *Claim) {
	if c.State == Failed && Time(c.AgeSeconds)*time.Second > n.cfg.KeepFailed || c.State == Left && Time(c.AgeSeconds)*time.Second > leftKeep {
		return
	}
	if len(n.peers) >= MaxPeers && !n.evict() {
		n.Dropped.Full++
		return
	}
	p := &Peer{LastHeard: never}
	n.peers[c.Name] = p
	at := 0
	if len(n.order) > 0 {
		at = n.rng.IntN(len(n.order) + 1)
	}
	n.order = slices.Insert(n.order, at, c.Name)
	if at < n.at {
		n.at++
	}
	n.become(p, *c)
	if c.State == Suspect {
		p.wits = map[string]bool{c.SuspectedBy: true}
		n.term(p)
	}
	if c.State >= Failed {
		p.Since = n.now - Time(c.AgeSeconds)*time.Second
	}
}

// evict frees a table entry: the peer that left longest ago, or if none left, the one that failed longest ago.
// It returns false if there is none.
func (n *Node) evict() bool {
	var worst *Peer
	for _, p := range n.peers {
		if p.State >= Failed && (worst == nil || p.State > worst.State || p.State == worst.State && p.Since < worst.Since) {
			worst = p
		}
	}
	if worst != nil {
		n.forget(worst)
	}
	return worst != nil
}

func (n *Node) forget(p *Peer) {
	n.digest ^= digestOf(p.Name, p.Epoch, p.Incarnation, p.State)
	delete(n.peers, p.Name)
	delete(n.ended, p.Name)
	n.fresh = slices.DeleteFunc(n.fresh, func(o *Peer) bool { return o == p })
	n.order = slices.DeleteFunc(n.order, func(s string) bool { return s == p.Name })
	n.at = min(n.at, len(n.order))
}

// become applies a claim to a peer, schedules it to be passed on and reports the change.
func (n *Node) become(p *Peer, c Claim) {
	was := p.State
	if was != 0 {
		n.digest ^= digestOf(p.Name, p.Epoch, p.Incarnation, p.State)
	}
	if c.State != Alive { // the witness may know less about the peer's address and metadata
		if c.Addr == "" {
			c.Addr = p.Addr
		}
		if len(c.Meta) == 0 {
			c.Meta = p.Meta
		}
	}
	if c.Epoch != p.Epoch {
		p.RTT, p.LastHelper, p.ProcessGone = 0, "", false
	}
	p.Claim, p.wits = c, nil
	p.AgeSeconds = 0
	n.digest ^= digestOf(p.Name, p.Epoch, p.Incarnation, p.State)
	if was != c.State {
		p.Since = n.now
	}
	if c.State == Alive {
		p.ProcessGone = false
	}
	if delete(n.ended, p.Name); c.State != Alive {
		n.ended[p.Name] = p
	}
	n.tell(p)
	n.newsAt = n.now
	n.out = append(n.out, Action{Change: &Change{Peer: *p, PreviousState: was}})
}

// term sets the time by which a suspect must have refuted the suspicion: the more independent witnesses, the
// sooner.
func (n *Node) term(p *Peer) {
	if p.suspected == 0 || p.State != Suspect || len(p.wits) <= 1 {
		p.suspected = n.now
	}
	least := suspectTimes * math.Max(1, math.Log10(float64(len(n.peers)+1))) * float64(period)
	most := suspectMost * least
	k := math.Min(1, math.Log(float64(len(p.wits)))/math.Log(witnesses))
	if p.ProcessGone {
		k = 1
	}
	p.until = p.suspected + Time(most-k*(most-least))
}

// Timers.

func (n *Node) timers() {
	for _, seq := range slices.Sorted(maps.Keys(n.probes)) {
		n.overdue(seq, n.probes[seq])
	}
	for _, name := range slices.Sorted(maps.Keys(n.ended)) { // fixed order, so that runs with the same seed are identical
		p := n.ended[name]
		switch {
		case p.State == Suspect && n.now >= p.until:
			c := p.Claim
			c.State, c.SuspectedBy = Failed, ""
			n.become(p, c)
		case p.State == Failed && n.now-p.Since > n.cfg.KeepFailed, p.State == Left && n.now-p.Since > leftKeep:
			n.forget(p)
		}
	}
	if n.left {
		return
	}
	if n.now >= n.helloAt && (n.displaced || len(n.ended) == len(n.peers) && len(n.some(1, nil)) == 0) {
		n.helloAt = n.now + helloEvery + Time(n.rng.Float64()*float64(helloEvery))
		n.retry(2)
	}
	if n.displaced {
		return
	}
	if n.now >= n.pingAt {
		n.pingAt += period
		if n.pingAt <= n.now {
			n.pingAt = n.now + period
		}
		n.ping()
	}
	if n.now >= n.gossipAt {
		n.gossipAt = n.now + gossipEvery
		for _, p := range n.some(gossipTo, nil) {
			if m := n.news(&Message{Kind: Gossip, To: p.id()}, p); len(m.Claims) > 0 {
				n.send(p.Addr, m)
			}
		}
	}
	if n.now >= n.retryAt && n.on(GuardRetry) {
		n.retryAt = n.now + reconnect/2 + Time(n.rng.Float64()*float64(reconnect))
		n.retry(1)
	}
}

// retry sends a Hello to up to k addresses chosen at random from failed peers and from seeds that belong to no
// live peer.
func (n *Node) retry(k int) {
	var addrs []string
	names := map[string]string{}
	live := map[string]bool{n.cfg.Addr: true}
	for _, name := range n.order {
		p := n.peers[name]
		names[p.Addr] = name
		if p.State == Failed && p.Addr != "" {
			addrs = append(addrs, p.Addr)
		} else if p.State != Left && !n.displaced {
			live[p.Addr] = true
		}
		if n.displaced && p.State != Left {
			addrs = append(addrs, p.Addr)
		}
	}
	for _, s := range n.seeds {
		p := n.peers[n.owners[s]]
		if !live[s] && !slices.Contains(addrs, s) && (p == nil || p.State != Alive) && n.owners[s] != n.cfg.Name {
			addrs = append(addrs, s)
		}
	}
	n.rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, a := range addrs[:min(k, len(addrs))] {
		n.seq++
		if len(n.greeted) >= greetedMost {
			clear(n.greeted)
		}
		n.greeted[n.seq] = a
		n.act(Action{To: a, Name: names[a], Message: &Message{Kind: Hello, Seq: n.seq}})
	}
}

// ping pings the next live peer of the round.
func (n *Node) ping() {
	for range n.order {
		if n.at >= len(n.order) {
			n.at = 0
			n.rng.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
		}
		p := n.peers[n.order[n.at]]
		n.at++
		if p.State != Alive && p.State != Suspect {
			continue
		}
		wait := n.patience(p)
		n.seq++
		n.probes[n.seq] = &probe{target: p.id(), addr: p.Addr, at: n.now, ask: n.now + wait, end: n.now + max(period, (1+askTimes)*wait)}
		n.send(p.Addr, n.news(&Message{Kind: Ping, Seq: n.seq, To: p.id()}, p))
		return
	}
}

// patience returns the timeout for a direct answer of p: based on its round-trip times, and longer the more
// this node doubts itself.
func (n *Node) patience(p *Peer) Time {
	wait := ackFirst
	if p.RTT > 0 {
		wait = max(ackLeast, p.RTT+4*p.variance)
	}
	return min(wait, ackMost) * Time(1+n.doubt)
}

// overdue sends indirect pings for a probe whose direct answer is late, and suspects the peer if they bring no
// answer either.
func (n *Node) overdue(seq uint32, q *probe) {
	p := n.peers[q.target.Name]
	if q.forAddr != "" || p == nil || p.Epoch != q.target.Epoch || p.State == Failed || p.State == Left {
		if n.now >= q.end {
			delete(n.probes, seq)
		}
		return
	}
	if p.LastHeard > q.at { // any message shows that it is alive; its answer to this ping may be lost
		delete(n.probes, seq)
		return
	}
	if n.now >= q.ask && !q.asked {
		q.asked = true
		q.end = max(q.end, n.now+askTimes*n.patience(p))
		if n.on(GuardIndirectProbe) {
			helpers := n.some(askTo, func(o *Peer) bool { return o == p || o.State != Alive || o.Name == p.LastHelper })
			if v := n.peers[p.LastHelper]; v != nil && v.State == Alive { // the helper that reached it last time
				helpers = append(helpers[:min(len(helpers), askTo-1)], v)
			}
			for _, h := range helpers {
				n.send(h.Addr, &Message{Kind: PingRequest, Seq: seq, To: h.id(), Target: q.target, TargetAddr: q.addr})
			}
			n.act(Action{To: q.addr, Dial: true, Message: &Message{Kind: Ping, Seq: seq, To: q.target}})
		}
		return
	}
	if n.now < q.end {
		return
	}
	delete(n.probes, seq)
	n.doubt = min(n.doubt+1, doubtMost)
	by := n.cfg.Zone
	if by == "" {
		by = n.cfg.Name
	}
	if p.State == Alive || !p.wits[by] {
		c := p.Claim
		c.State, c.SuspectedBy = Suspect, by
		n.claimed(c)
	}
}
