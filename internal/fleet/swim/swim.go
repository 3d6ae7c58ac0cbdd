// Package swim finds out who is there: failure detection and dissemination after
// SWIM and Lifeguard. It does no I/O, starts no goroutine and reads no clock:
// messages and the time go in, messages and changes come out. A process whose own
// clock shows that it was stopped blames nobody for what it missed.
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

// Time is a point on the owner's monotonic clock, or a span on it.
type Time = time.Duration

const (
	never   Time = -1 << 60
	forever Time = 1 << 62
)

// Tuned values, each with its reason.
const (
	period      = time.Second            // one peer is pinged in each
	gossipEvery = 200 * time.Millisecond // news goes to gossipTo peers
	gossipTo    = 3
	askTo       = 3                      // peers asked to ping for us
	ackFirst    = 400 * time.Millisecond // patience before a round trip is known
	ackLeast    = 100 * time.Millisecond
	ackMost     = 2 * time.Second // links of 800 ms each way are still links
	askTimes    = 3               // an answer by way of others has so many times the patience

	suspectTimes = 4.0 // periods, times log10 of the group's size: what a suspect has to deny it at the least
	suspectMost  = 3.0 // times that, with no other witness
	witnesses    = 3   // zones, or peers where there is one zone, that bring it down to the least
	retransmit   = 1.3 // times log2 of the group's size: how often a piece of news is passed on
	doubtMost    = 3   // self-doubt: a process that misses answers of all waits up to so many times longer
	pauseLeast   = 1500 * time.Millisecond
	reconnect    = 2 * time.Second // one failed peer or seed is tried in each
	syncGap      = 2 * time.Second // between syncs by digest, as news is under way too
	syncQuiet    = time.Second     // no sync by digest while news came so lately
	helloEvery   = time.Second     // while alone
	incMost      = 1 << 20         // a higher incarnation is a lie, which its peer could hardly deny; half way there a new epoch begins
	leftKeep     = 10 * time.Minute
	probesMost   = 1024 // under way, for others too
	greetedMost  = 256
	rttBlend     = 0.125
	varBlend     = 0.25
)

// Guard is one of the checks that keep the group true. A checker switches them off one at a time.
type Guard uint32

// The guards.
const (
	GuardOwnPause      Guard = 1 << iota // own pauses are not held against others
	GuardRefute                          // who is alive denies what is said of it
	GuardEpoch                           // what belongs to an older start of a peer is dropped
	GuardIndirectProbe                   // others are asked before a peer is suspected
	GuardIncarnation                     // incarnations out of reach are refused
	GuardRetry                           // failed peers are tried again
	GuardYieldName                       // a process yields its name to a later start that is alive
	GuardAddressee                       // what is addressed to another start of this process is dropped
)

// Guards are all of them, with what each keeps.
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

// Config is what a node is told.
type Config struct {
	Name, Addr, Zone string
	Epoch            uint64 // of this start
	Meta             []byte
	Seeds            []string
	Seed             uint64
	KeepFailed       Time  // failed peers are remembered for so long
	DisabledGuards   Guard // for checkers only
}

// Peer is what is known of a peer.
type Peer struct {
	Claim
	Since       Time // in its state
	LastHeard   Time // last message from it, never = none
	RTT         Time // 0 = not known
	LastHelper  string
	ProcessGone bool // its host refused a connection since: the process is gone, not the link

	variance  Time
	wits      map[string]bool // zones that suspect it
	until     Time            // Suspect: failed then
	suspected Time
	left      int // transmissions of the news left
}

// Event is what happened. Exactly one field group counts.
type Event struct {
	Message     *Message
	Stream      uint64 // Message came by this stream and may be answered on it; 0 = by datagram
	RefusedAddr string // an address at which a connection was refused
	Meta        []byte // this node's from now on, unless nil
	Seeds       []string
	Leave       bool
}

// Action is what must be done.
type Action struct {
	To      string // address
	Name    string // of the peer there, for who reaches it by another address; empty: not known
	Message *Message
	Stream  uint64 // answer on this stream
	Dial    bool   // by a stream of its own, whose answer comes as an event
	Change  *Change
}

// Change is a change of what is known.
type Change struct {
	Peer          Peer
	PreviousState State // 0 = not known before
	// For this node itself:
	Displaced bool   // a later start has its name and is alive: this one is no peer
	NewEpoch  uint64 // its epoch from now on, 0 = unchanged
	PausedFor Time   // it was stopped for so long
}

type probe struct {
	target   ID
	addr     string
	at       Time
	ask, end Time // when others are asked, and when it has failed
	asked    bool
	forID    ID // asked for by this one, who gets the Ack
	forAddr  string
	forSeq   uint32
}

// Node is one gateway's part. It is its owner's alone.
type Node struct {
	cfg     Config
	rng     *rand.Rand
	now     Time
	out     []Action
	inc     uint32
	meta    []byte
	seeds   []string
	peers   map[string]*Peer
	order   []string         // names, shuffled anew each round
	fresh   []*Peer          // whose news is still passed on
	ended   map[string]*Peer // suspect, failed or left
	at      int
	probes  map[uint32]*probe
	greeted map[uint32]string // hellos that may still be answered, by number: where they went
	owners  map[string]string // who answered at a seed's address
	seq     uint32
	doubt   int

	stepped, pingAt, gossipAt, retryAt, newsAt, syncAt, helloAt Time
	displaced, left                                             bool
	self                                                        int // transmissions left of the news of itself
	digest                                                      uint64
	Dropped                                                     DropCounts
}

// DropCounts counts what was not taken.
type DropCounts struct {
	Epoch, Address, Incarnation, Full, Kind int
}

// New returns a node that knows of no peer.
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

// Peers are all peers known, this node not among them, in the order of their names.
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

// Peer is what is known of a peer.
func (n *Node) Peer(name string) (Peer, bool) {
	if p := n.peers[name]; p != nil {
		return *p, true
	}
	return Peer{}, false
}

// ForEach calls f for each peer known, in no order. It must not change them.
func (n *Node) ForEach(f func(*Peer)) {
	for _, p := range n.peers {
		f(p)
	}
}

// Len is how many peers are known.
func (n *Node) Len() int { return len(n.peers) }

// RandomPeers draws up to k live peers at random.
func (n *Node) RandomPeers(k int) (drawn []Peer) {
	if !n.displaced {
		for _, p := range n.some(k, nil) {
			drawn = append(drawn, *p)
		}
	}
	return drawn
}

// Self is what this node claims of itself.
func (n *Node) Self() Claim {
	s := Alive
	if n.left {
		s = Left
	}
	return Claim{Name: n.cfg.Name, Epoch: n.cfg.Epoch, Incarnation: n.inc, State: s, Addr: n.cfg.Addr, Meta: n.meta}
}

// Displaced tells that a later start has this node's name.
func (n *Node) Displaced() bool { return n.displaced }

// Doubt is how much this node doubts its own hearing, from 0.
func (n *Node) Doubt() int { return n.doubt }

// Digest sums up what this node takes for true; equal digests mean equal views.
func (n *Node) Digest() uint64 {
	return n.digest ^ digestOf(n.cfg.Name, n.cfg.Epoch, n.inc, n.Self().State)
}

func digestOf(name string, epoch uint64, inc uint32, s State) uint64 {
	if s == Suspect { // soon decided
		s = Alive
	}
	b := append([]byte(name), 0, byte(s))
	b = binary.LittleEndian.AppendUint64(b, epoch)
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(b, inc))
}

// Step takes what happened by now and appends what must be done. It is to be called each 100 ms at the least.
func (n *Node) Step(now Time, events []Event, out []Action) []Action {
	n.out = out
	if n.stepped != never && now-n.stepped > pauseLeast && n.on(GuardOwnPause) {
		n.paused(now - n.stepped)
	}
	if n.stepped == never { // members of a restarted group begin at different times
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

// paused moves all that waits for others: what they sent meanwhile was not lost by them.
func (n *Node) paused(span Time) {
	for _, p := range n.probes {
		p.at, p.ask, p.end = p.at+span, p.ask+span, p.end+span
	}
	for _, p := range n.peers {
		if p.State == Suspect {
			p.until += span
			p.suspected += span // a further witness counts from there
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

// send sends by datagram.
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

// spread is how often a piece of news is passed on.
func (n *Node) spread() int {
	return int(math.Ceil(retransmit * math.Log2(float64(len(n.peers)+2))))
}

// some draws up to k live peers at random, leaving out those that not says.
func (n *Node) some(k int, not func(*Peer) bool) (drawn []*Peer) {
	fits := func(p *Peer) bool {
		return p.State <= Suspect && (not == nil || !not(p)) && !slices.Contains(drawn, p)
	}
	for range 4 * k { // most are live
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

// tell has news of p passed on.
func (n *Node) tell(p *Peer) {
	if p.left == 0 {
		n.fresh = append(n.fresh, p)
	}
	p.left = n.spread()
}

// news fills a message with claims to pass on, those passed on least first.
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
	if to != nil && to.State != Alive { // it is to know what is said of it
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

// all is the whole table.
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
	if n.left || m.From == n.id() { // its own, come back
		return
	}
	if m.To.Name != "" && m.To != n.id() && n.on(GuardAddressee) {
		n.Dropped.Address++ // meant for an earlier start of this process, or recorded and played again
		return
	}
	if m.Kind == Hello {
		n.hello(m, stream)
		return
	}
	if m.From.Name == n.cfg.Name { // of another start under this name
		if m.Kind == Welcome || m.Kind == SyncReply {
			n.claimed(Claim{Name: m.From.Name, Epoch: m.From.Epoch, State: Alive, Addr: m.Addr})
		}
		return
	}
	p := n.peers[m.From.Name]
	if p != nil && m.From.Epoch < p.Epoch && n.on(GuardEpoch) {
		n.Dropped.Epoch++
		if m.Kind != Ack && m.Kind != Gossip { // let it know who has its name
			n.send(m.Addr, &Message{Kind: Gossip, To: m.From, Claims: []Claim{n.claim(p)}})
		}
		return
	}
	if p == nil || m.From.Epoch > p.Epoch { // its own word on being there
		n.claimed(Claim{Name: m.From.Name, Epoch: m.From.Epoch, State: Alive, Addr: m.Addr})
		p = n.peers[m.From.Name]
	}
	if p != nil {
		p.LastHeard, p.ProcessGone = n.now, false
		if p.Addr != m.Addr && m.Addr != "" && p.State == Alive { // it has moved; its next claim says so too
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
	case Welcome: // a seed, or one that was failed, is there: take its table
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

// hello answers whoever knows the key, and believes nothing of it. To one whose name a later start has it tells so.
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

// acked takes the answer to a ping.
func (n *Node) acked(m *Message) {
	q := n.probes[m.Seq]
	if q == nil {
		return
	}
	if q.forAddr != "" { // pinged for another
		if q.target == m.From {
			delete(n.probes, m.Seq)
			n.send(q.forAddr, &Message{Kind: Ack, Seq: q.forSeq, To: q.forID, Target: q.target})
		}
		return
	}
	by := m.Target
	if by.Name != "" && by == q.target { // another reached it
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

// claimed takes what is said of a peer, by itself or by others.
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
			n.become(p, c) // first met by a message that told nothing of it
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
			n.tell(p) // another witness is news
			n.term(p)
		}
	case Failed, Left:
		if newer || same && p.State < c.State {
			n.become(p, c)
			p.Since = n.now - Time(c.AgeSeconds)*time.Second
		}
	}
}

// said takes what is said of this node itself.
func (n *Node) said(c *Claim) {
	switch {
	case c.Epoch > n.cfg.Epoch && (c.State == Failed || c.State == Left || !n.on(GuardYieldName)):
		// That start has ended, yet it was later than this one: an old copy of the folder, or a clock that went back.
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
		n.doubt = min(n.doubt+1, doubtMost) // they missed its answers: it may be slow itself
	}
}

// renew begins a new epoch.
func (n *Node) renew(epoch uint64) {
	n.cfg.Epoch, n.inc, n.displaced = epoch, 0, false
	n.self = n.spread()
	n.out = append(n.out, Action{Change: &Change{NewEpoch: epoch}})
}

// meet adds a peer.
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

// evict makes room by the peer that has been gone longest: first of those that left, then of the failed.
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

// become takes a claim over and tells of it.
func (n *Node) become(p *Peer, c Claim) {
	was := p.State
	if was != 0 {
		n.digest ^= digestOf(p.Name, p.Epoch, p.Incarnation, p.State)
	}
	if c.State != Alive { // who says so may know less of where it is
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

// term sets by when a suspect must have denied it: the more independent witnesses, the sooner.
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
	for _, name := range slices.Sorted(maps.Keys(n.ended)) { // in one order, so that a seed gives one history
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

// retry says hello to failed peers, and to seeds that no live peer has the address of, drawn at random.
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

// patience is how long a direct answer of p may take: as long as is usual there, and longer the less this node
// trusts its own hearing.
func (n *Node) patience(p *Peer) Time {
	wait := ackFirst
	if p.RTT > 0 {
		wait = max(ackLeast, p.RTT+4*p.variance)
	}
	return min(wait, ackMost) * Time(1+n.doubt)
}

// overdue asks others where a direct answer does not come, and suspects where none does.
func (n *Node) overdue(seq uint32, q *probe) {
	p := n.peers[q.target.Name]
	if q.forAddr != "" || p == nil || p.Epoch != q.target.Epoch || p.State == Failed || p.State == Left {
		if n.now >= q.end {
			delete(n.probes, seq)
		}
		return
	}
	if p.LastHeard > q.at { // whatever it sent, it is there; its answer to this may be lost
		delete(n.probes, seq)
		return
	}
	if n.now >= q.ask && !q.asked {
		q.asked = true
		q.end = max(q.end, n.now+askTimes*n.patience(p))
		if n.on(GuardIndirectProbe) {
			helpers := n.some(askTo, func(o *Peer) bool { return o == p || o.State != Alive || o.Name == p.LastHelper })
			if v := n.peers[p.LastHelper]; v != nil && v.State == Alive { // who reached it last time
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
