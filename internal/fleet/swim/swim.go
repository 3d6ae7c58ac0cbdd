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
	distantPast   Time = -1 << 60
	distantFuture Time = 1 << 62
)

// Protocol parameters.
const (
	probePeriod         = time.Second            // one peer is pinged per period
	gossipInterval      = 200 * time.Millisecond // updates go to gossipFanout random peers
	gossipFanout        = 3
	indirectPingPeers   = 3                      // peers asked for an indirect ping
	initialAckTimeout   = 400 * time.Millisecond // answer timeout while no round-trip time is known
	minAckTimeout       = 100 * time.Millisecond
	maxAckTimeout       = 2 * time.Second // so that links with 800 ms one-way delay stay usable
	indirectAckMultiple = 3               // an indirect answer may take this multiple of the direct timeout

	minSuspicionPeriods  = 4.0                     // minimum suspicion time in periods, times log10 of the group size
	maxSuspicionMultiple = 3.0                     // maximum suspicion time as a multiple of the minimum: with no second witness
	maxWitnesses         = 3                       // witnesses (zones, or peers without a zone) that shorten the suspicion to its minimum
	retransmitMultiple   = 1.3                     // times log2 of the group size: how often an update is passed on
	maxDoubt             = 3                       // limit of the self-doubt: timeouts grow up to (1+maxDoubt)-fold while answers are missed
	minPause             = 1500 * time.Millisecond // longer gaps between two Steps count as a pause of this process
	reconnectInterval    = 2 * time.Second         // one failed peer or seed is tried per interval
	minSyncInterval      = 2 * time.Second         // between digest-triggered syncs, as gossip may already carry the difference
	syncQuietTime        = time.Second             // no digest-triggered sync this soon after an update
	joinInterval         = time.Second             // interval of join attempts while no peer is live
	maxIncarnation       = 1 << 20                 // higher incarnations are refused: the peer could hardly refute them; at half of it the node begins a new epoch
	leftRetention        = 10 * time.Minute
	maxProbes            = 1024 // outstanding, those for other peers included
	maxPendingHellos     = 256
	rttSmoothing         = 0.125
	varianceSmoothing    = 0.25
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

	variance      Time
	witnesses     map[string]bool // zones, or peers without a zone, that suspect it
	failAt        Time            // Suspect: time at which it is declared failed
	suspectedAt   Time
	transmitsLeft int // remaining transmissions of its latest claim
}

// Event is an input to Step. Of Message (with Stream), RefusedAddr and Leave only the first that is set is used;
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
	target             ID
	addr               string
	sentAt             Time
	indirectAt, failAt Time // when indirect pings are sent, and when the probe has failed
	indirectSent       bool
	requesterID        ID // peer that requested this probe and is sent the Ack
	requesterAddr      string
	requesterSeq       uint32
}

// Node is one gateway's membership state. It is not safe for concurrent use.
type Node struct {
	config        Config
	rng           *rand.Rand
	now           Time
	actions       []Action
	incarnation   uint32
	meta          []byte
	seeds         []string
	peers         map[string]*Peer
	pingOrder     []string         // ping order, reshuffled each round
	updates       []*Peer          // peers whose latest claim is still passed on
	notAlive      map[string]*Peer // peers that are suspect, failed or left
	pingIndex     int
	probes        map[uint32]*probe
	pendingHellos map[uint32]string // outstanding Hellos by sequence number: the address sent to
	seedOwners    map[string]string // name of the peer that answered at each seed address
	seq           uint32
	doubt         int

	lastStep, nextPingAt, nextGossipAt, nextRetryAt, lastUpdate, lastSync, nextJoinAt Time
	displaced, hasLeft                                                                bool
	selfTransmitsLeft                                                                 int // remaining transmissions of this node's own claim
	digest                                                                            uint64
	Dropped                                                                           DropCounts
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
	n := &Node{config: c, rng: rand.New(rand.NewPCG(c.Seed, 0x7377696d)), meta: c.Meta, seeds: c.Seeds, peers: map[string]*Peer{},
		notAlive: map[string]*Peer{}, probes: map[uint32]*probe{}, pendingHellos: map[uint32]string{}, seedOwners: map[string]string{}, lastStep: distantPast, lastUpdate: distantPast, lastSync: distantPast, nextJoinAt: distantPast}
	n.selfTransmitsLeft = n.transmitLimit()
	return n
}

func (n *Node) enabled(g Guard) bool { return n.config.DisabledGuards&g == 0 }

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
		for _, p := range n.randomLive(k, nil) {
			drawn = append(drawn, *p)
		}
	}
	return drawn
}

// Self returns this node's claim about itself.
func (n *Node) Self() Claim {
	s := Alive
	if n.hasLeft {
		s = Left
	}
	return Claim{Name: n.config.Name, Epoch: n.config.Epoch, Incarnation: n.incarnation, State: s, Addr: n.config.Addr, Meta: n.meta}
}

// Displaced reports whether a later start with this node's name is alive.
func (n *Node) Displaced() bool { return n.displaced }

// Doubt returns the self-doubt level, from 0 to maxDoubt (Lifeguard's local health): it grows while this node
// seems to miss messages itself, and lengthens its timeouts.
func (n *Node) Doubt() int { return n.doubt }

// Digest returns a hash of the membership table, this node included. Equal digests mean equal tables.
func (n *Node) Digest() uint64 {
	return n.digest ^ claimHash(n.config.Name, n.config.Epoch, n.incarnation, n.Self().State)
}

func claimHash(name string, epoch uint64, inc uint32, s State) uint64 {
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
	n.actions = out
	if n.lastStep != distantPast && now-n.lastStep > minPause && n.enabled(GuardOwnPause) {
		n.extendTimeouts(now - n.lastStep)
	}
	if n.lastStep == distantPast { // spreads the first pings of a group that was restarted as a whole
		n.nextPingAt = now + Time(n.rng.Float64()*float64(probePeriod))
	}
	n.now, n.lastStep = now, now
	if n.incarnation > maxIncarnation/2 {
		n.startEpoch(n.config.Epoch + 1)
	}
	for i := range events {
		n.handleEvent(&events[i])
	}
	n.runTimers()
	return n.actions
}

// extendTimeouts extends all timeouts that wait for peers by the length of a pause: their messages of that
// time were not lost by them.
func (n *Node) extendTimeouts(pause Time) {
	for _, p := range n.probes {
		p.sentAt, p.indirectAt, p.failAt = p.sentAt+pause, p.indirectAt+pause, p.failAt+pause
	}
	for _, p := range n.peers {
		if p.State == Suspect {
			p.failAt += pause
			p.suspectedAt += pause // further witnesses shorten the timeout from this point
		}
	}
	n.doubt = min(n.doubt+1, maxDoubt)
	n.actions = append(n.actions, Action{Change: &Change{PausedFor: pause}})
}

func (n *Node) handleEvent(e *Event) {
	switch {
	case e.Message != nil:
		n.handleMessage(e.Message, e.Stream)
	case e.RefusedAddr != "":
		for _, p := range n.peers {
			if p.Addr == e.RefusedAddr && p.State != Left {
				p.ProcessGone = true
			}
		}
	case e.Leave:
		n.hasLeft = true
		n.selfTransmitsLeft = n.transmitLimit()
		c := n.Self()
		for _, p := range n.randomLive(2*gossipFanout, nil) {
			n.send(p.Addr, &Message{Kind: Gossip, To: p.id(), Claims: []Claim{c}})
		}
	}
	if e.Meta != nil && !slices.Equal(e.Meta, n.meta) {
		n.meta = e.Meta
		n.incarnation++
		n.selfTransmitsLeft = n.transmitLimit()
	}
	if e.Seeds != nil {
		n.seeds = e.Seeds
		clear(n.seedOwners)
	}
}

func (p *Peer) id() ID { return ID{Name: p.Name, Epoch: p.Epoch} }

func (n *Node) id() ID { return ID{Name: n.config.Name, Epoch: n.config.Epoch} }

// send queues a message to be sent by datagram.
func (n *Node) send(addr string, m *Message) { n.emit(Action{To: addr, Message: m}) }

func (n *Node) emit(a Action) {
	a.Message.From, a.Message.Addr = n.id(), n.config.Addr
	if a.Name == "" {
		a.Name = a.Message.To.Name
	}
	if a.Message.Kind != Hello && a.Message.Kind != Gossip {
		a.Message.Digest = n.Digest()
	}
	n.actions = append(n.actions, a)
}

// transmitLimit returns how often an update is passed on.
func (n *Node) transmitLimit() int {
	return int(math.Ceil(retransmitMultiple * math.Log2(float64(len(n.peers)+2))))
}

// randomLive returns up to k live peers chosen at random, without those that exclude selects.
func (n *Node) randomLive(k int, exclude func(*Peer) bool) (chosen []*Peer) {
	eligible := func(p *Peer) bool {
		return p.State <= Suspect && (exclude == nil || !exclude(p)) && !slices.Contains(chosen, p)
	}
	for range 4 * k { // most peers are live, so a few draws normally suffice
		if len(n.pingOrder) < 8*k || len(chosen) == k {
			break
		}
		if p := n.peers[n.pingOrder[n.rng.IntN(len(n.pingOrder))]]; eligible(p) {
			chosen = append(chosen, p)
		}
	}
	if len(chosen) == k {
		return chosen
	}
	var rest []*Peer
	for _, name := range n.pingOrder {
		if p := n.peers[name]; eligible(p) {
			rest = append(rest, p)
		}
	}
	n.rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(chosen, rest[:min(k-len(chosen), len(rest))]...)
}

// enqueueUpdate schedules p's latest claim to be passed on.
func (n *Node) enqueueUpdate(p *Peer) {
	if p.transmitsLeft == 0 {
		n.updates = append(n.updates, p)
	}
	p.transmitsLeft = n.transmitLimit()
}

// addUpdates adds claims to m until the datagram is full, those passed on the fewest times first.
func (n *Node) addUpdates(m *Message, to *Peer) *Message {
	spaceLeft := MaxDatagramBytes - 200
	add := func(c Claim) bool {
		if spaceLeft -= c.encodedSize(); spaceLeft < 0 {
			return false
		}
		m.Claims = append(m.Claims, c)
		return true
	}
	if n.displaced {
		return m
	}
	if to != nil && to.State != Alive { // the peer must learn what is claimed of it, so that it can refute it
		add(n.currentClaim(to))
	}
	if n.selfTransmitsLeft > 0 && add(n.Self()) {
		n.selfTransmitsLeft--
	}
	slices.SortStableFunc(n.updates, func(a, b *Peer) int { return b.transmitsLeft - a.transmitsLeft })
	for _, p := range n.updates {
		if p == to {
			continue
		}
		if !add(n.currentClaim(p)) {
			break
		}
		p.transmitsLeft--
	}
	n.updates = slices.DeleteFunc(n.updates, func(p *Peer) bool { return p.transmitsLeft == 0 })
	return m
}

func (n *Node) currentClaim(p *Peer) Claim {
	c := p.Claim
	if c.State == Failed || c.State == Left {
		c.AgeSeconds = uint32((n.now - p.Since) / time.Second)
	}
	return c
}

// addAllClaims adds the whole membership table to m.
func (n *Node) addAllClaims(m *Message) *Message {
	m.Claims = append(m.Claims, n.Self())
	for _, name := range n.pingOrder {
		if p := n.peers[name]; p != nil {
			m.Claims = append(m.Claims, n.currentClaim(p))
		}
	}
	return m
}

// Messages.

func (n *Node) handleMessage(m *Message, stream uint64) {
	if n.hasLeft || m.From == n.id() { // this node's own message, reflected
		return
	}
	if m.To.Name != "" && m.To != n.id() && n.enabled(GuardAddressee) {
		n.Dropped.Address++ // meant for an earlier start of this process, or replayed
		return
	}
	if m.Kind == Hello {
		n.handleHello(m, stream)
		return
	}
	if m.From.Name == n.config.Name { // from another start with this name
		if m.Kind == Welcome || m.Kind == SyncReply {
			n.handleClaim(Claim{Name: m.From.Name, Epoch: m.From.Epoch, State: Alive, Addr: m.Addr})
		}
		return
	}
	p := n.peers[m.From.Name]
	if p != nil && m.From.Epoch < p.Epoch && n.enabled(GuardEpoch) {
		n.Dropped.Epoch++
		if m.Kind != Ack && m.Kind != Gossip { // tell it which start has its name now
			n.send(m.Addr, &Message{Kind: Gossip, To: m.From, Claims: []Claim{n.currentClaim(p)}})
		}
		return
	}
	if p == nil || m.From.Epoch > p.Epoch { // the message itself shows that its sender is alive
		n.handleClaim(Claim{Name: m.From.Name, Epoch: m.From.Epoch, State: Alive, Addr: m.Addr})
		p = n.peers[m.From.Name]
	}
	if p != nil {
		p.LastHeard, p.ProcessGone = n.now, false
		if p.Addr != m.Addr && m.Addr != "" && p.State == Alive { // the peer moved; its next claim carries the new address too
			p.Addr = m.Addr
		}
	}
	for i := range m.Claims {
		n.handleClaim(m.Claims[i])
	}
	switch m.Kind {
	case Ping:
		n.sendAck(m, p, stream)
	case Ack:
		n.handleAck(m)
	case PingRequest:
		if len(n.probes) >= maxProbes {
			n.Dropped.Full++
			break
		}
		n.seq++
		n.probes[n.seq] = &probe{target: m.Target, addr: m.TargetAddr, sentAt: n.now, indirectAt: distantFuture, failAt: n.now + indirectAckMultiple*maxAckTimeout, requesterID: m.From,
			requesterAddr: m.Addr, requesterSeq: m.Seq}
		n.send(m.TargetAddr, n.addUpdates(&Message{Kind: Ping, Seq: n.seq, To: m.Target}, n.peers[m.Target.Name]))
	case Sync:
		n.emit(Action{To: m.Addr, Stream: stream, Message: n.addAllClaims(&Message{Kind: SyncReply, Seq: m.Seq, To: m.From})})
	case Gossip, SyncReply:
	case Welcome: // a seed or a failed peer answered: fetch its table
		if at, ok := n.pendingHellos[m.Seq]; ok {
			delete(n.pendingHellos, m.Seq)
			n.seedOwners[at] = m.From.Name
		}
		if p == nil || p.State != Alive || m.Digest != n.Digest() {
			n.sendSync(m.Addr, m.From)
			return
		}
	default:
		n.Dropped.Kind++
	}
	if d := m.Digest; d != 0 && p != nil && d != n.Digest() && n.now-n.lastUpdate > syncQuietTime && n.now-n.lastSync > minSyncInterval {
		n.sendSync(p.Addr, p.id())
	}
}

func (n *Node) sendAck(m *Message, p *Peer, stream uint64) {
	ack := &Message{Kind: Ack, Seq: m.Seq, To: m.From}
	if p != nil {
		n.addUpdates(ack, p)
	}
	n.emit(Action{To: m.Addr, Message: ack, Stream: stream})
}

// handleHello answers any sender that knows the group key and takes nothing that it says for true. A sender whose
// name belongs to a later start is told so. It stays silent towards a later start with this node's own name.
func (n *Node) handleHello(m *Message, stream uint64) {
	if m.From.Name == n.config.Name && m.From.Epoch < n.config.Epoch || m.From.Name != n.config.Name {
		w := &Message{Kind: Welcome, Seq: m.Seq, To: m.From}
		if p := n.peers[m.From.Name]; p != nil && p.Epoch >= m.From.Epoch {
			w.Claims = []Claim{n.currentClaim(p)}
		}
		n.emit(Action{To: m.Addr, Message: w, Stream: stream})
	}
}

func (n *Node) sendSync(addr string, to ID) {
	n.lastSync = n.now
	n.seq++
	n.emit(Action{To: addr, Dial: true, Message: n.addAllClaims(&Message{Kind: Sync, Seq: n.seq, To: to})})
}

// handleAck handles the answer to a ping.
func (n *Node) handleAck(m *Message) {
	q := n.probes[m.Seq]
	if q == nil {
		return
	}
	if q.requesterAddr != "" { // pinged on behalf of another peer
		if q.target == m.From {
			delete(n.probes, m.Seq)
			n.send(q.requesterAddr, &Message{Kind: Ack, Seq: q.requesterSeq, To: q.requesterID, Target: q.target})
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
		if rtt := n.now - q.sentAt; p.RTT == 0 {
			p.RTT, p.variance = rtt, rtt/2
		} else {
			p.variance += Time(varianceSmoothing * (math.Abs(float64(rtt-p.RTT)) - float64(p.variance)))
			p.RTT += Time(rttSmoothing * float64(rtt-p.RTT))
		}
	}
	delete(n.probes, m.Seq)
	n.doubt = max(0, n.doubt-1)
}

// Claims.

// handleClaim handles a claim about a peer, made by the peer itself or by others.
func (n *Node) handleClaim(c Claim) {
	if c.State < Alive || c.State > Left || len(c.Meta) > MaxMetaBytes {
		n.Dropped.Kind++
		return
	}
	if c.Name == n.config.Name {
		n.handleSelfClaim(&c)
		return
	}
	p := n.peers[c.Name]
	switch {
	case c.Incarnation > maxIncarnation && n.enabled(GuardIncarnation):
		n.Dropped.Incarnation++
		return
	case p == nil:
		n.addPeer(&c)
		return
	}
	newer := c.Epoch > p.Epoch || c.Epoch == p.Epoch && c.Incarnation > p.Incarnation
	same := c.Epoch == p.Epoch && c.Incarnation == p.Incarnation
	switch c.State {
	case Alive:
		if newer {
			n.applyClaim(p, c)
		} else if same && p.State == Alive && len(p.Meta) == 0 && len(c.Meta) > 0 {
			n.applyClaim(p, c) // first met by a message that carried none of its metadata
		}
	case Suspect:
		switch {
		case newer || same && p.State == Alive:
			n.applyClaim(p, c)
			p.witnesses = map[string]bool{c.SuspectedBy: true}
			n.setFailTime(p)
		case same && p.State == Suspect && !p.witnesses[c.SuspectedBy] && len(p.witnesses) < maxWitnesses:
			p.witnesses[c.SuspectedBy] = true
			p.SuspectedBy = c.SuspectedBy
			n.enqueueUpdate(p) // a further witness is passed on too
			n.setFailTime(p)
		}
	case Failed, Left:
		if newer || same && p.State < c.State {
			n.applyClaim(p, c)
			p.Since = n.now - Time(c.AgeSeconds)*time.Second
		}
	}
}

// handleSelfClaim handles a claim about this node itself.
func (n *Node) handleSelfClaim(c *Claim) {
	switch {
	case c.Epoch > n.config.Epoch && (c.State == Failed || c.State == Left || !n.enabled(GuardYieldName)):
		// That start has ended but was later than this one: the folder is an old copy, or the clock went back.
		n.startEpoch(c.Epoch + 1)
	case c.Epoch > n.config.Epoch:
		if !n.displaced {
			n.displaced = true
			n.actions = append(n.actions, Action{Change: &Change{Peer: Peer{Claim: *c}, Displaced: true}})
		}
	case c.Epoch < n.config.Epoch:
		if c.State == Alive || c.State == Suspect {
			n.selfTransmitsLeft = max(n.selfTransmitsLeft, n.transmitLimit()/2)
		}
	case n.hasLeft:
	case (c.Incarnation > n.incarnation || c.State != Alive && c.Incarnation == n.incarnation) && n.enabled(GuardRefute):
		if c.Incarnation > maxIncarnation && n.enabled(GuardIncarnation) {
			n.Dropped.Incarnation++
			return
		}
		n.incarnation = c.Incarnation + 1
		n.selfTransmitsLeft = n.transmitLimit()
		n.doubt = min(n.doubt+1, maxDoubt) // others missed this node's answers: it may be slow itself
	}
}

// startEpoch begins a new epoch.
func (n *Node) startEpoch(epoch uint64) {
	n.config.Epoch, n.incarnation, n.displaced = epoch, 0, false
	n.selfTransmitsLeft = n.transmitLimit()
	n.actions = append(n.actions, Action{Change: &Change{NewEpoch: epoch}})
}

// addPeer adds a peer that was not known.
func (n *Node) addPeer(c *Claim) {
	if c.State == Failed && Time(c.AgeSeconds)*time.Second > n.config.KeepFailed || c.State == Left && Time(c.AgeSeconds)*time.Second > leftRetention {
		return
	}
	if len(n.peers) >= MaxPeers && !n.evict() {
		n.Dropped.Full++
		return
	}
	p := &Peer{LastHeard: distantPast}
	n.peers[c.Name] = p
	at := 0
	if len(n.pingOrder) > 0 {
		at = n.rng.IntN(len(n.pingOrder) + 1)
	}
	n.pingOrder = slices.Insert(n.pingOrder, at, c.Name)
	if at < n.pingIndex {
		n.pingIndex++
	}
	n.applyClaim(p, *c)
	if c.State == Suspect {
		p.witnesses = map[string]bool{c.SuspectedBy: true}
		n.setFailTime(p)
	}
	if c.State >= Failed {
		p.Since = n.now - Time(c.AgeSeconds)*time.Second
	}
}

// evict frees a table entry: the peer that left longest ago, or if none left, the one that failed longest ago.
// It returns false if there is none.
func (n *Node) evict() bool {
	var oldest *Peer
	for _, p := range n.peers {
		if p.State >= Failed && (oldest == nil || p.State > oldest.State || p.State == oldest.State && p.Since < oldest.Since) {
			oldest = p
		}
	}
	if oldest != nil {
		n.removePeer(oldest)
	}
	return oldest != nil
}

func (n *Node) removePeer(p *Peer) {
	n.digest ^= claimHash(p.Name, p.Epoch, p.Incarnation, p.State)
	delete(n.peers, p.Name)
	delete(n.notAlive, p.Name)
	n.updates = slices.DeleteFunc(n.updates, func(o *Peer) bool { return o == p })
	n.pingOrder = slices.DeleteFunc(n.pingOrder, func(s string) bool { return s == p.Name })
	n.pingIndex = min(n.pingIndex, len(n.pingOrder))
}

// applyClaim applies a claim to a peer, schedules it to be passed on and reports the change.
func (n *Node) applyClaim(p *Peer, c Claim) {
	was := p.State
	if was != 0 {
		n.digest ^= claimHash(p.Name, p.Epoch, p.Incarnation, p.State)
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
	p.Claim, p.witnesses = c, nil
	p.AgeSeconds = 0
	n.digest ^= claimHash(p.Name, p.Epoch, p.Incarnation, p.State)
	if was != c.State {
		p.Since = n.now
	}
	if c.State == Alive {
		p.ProcessGone = false
	}
	if delete(n.notAlive, p.Name); c.State != Alive {
		n.notAlive[p.Name] = p
	}
	n.enqueueUpdate(p)
	n.lastUpdate = n.now
	n.actions = append(n.actions, Action{Change: &Change{Peer: *p, PreviousState: was}})
}

// setFailTime sets the time by which a suspect must have refuted the suspicion: the more independent
// witnesses, the sooner.
func (n *Node) setFailTime(p *Peer) {
	if p.suspectedAt == 0 || p.State != Suspect || len(p.witnesses) <= 1 {
		p.suspectedAt = n.now
	}
	shortest := minSuspicionPeriods * math.Max(1, math.Log10(float64(len(n.peers)+1))) * float64(probePeriod)
	longest := maxSuspicionMultiple * shortest
	k := math.Min(1, math.Log(float64(len(p.witnesses)))/math.Log(maxWitnesses))
	if p.ProcessGone {
		k = 1
	}
	p.failAt = p.suspectedAt + Time(longest-k*(longest-shortest))
}

// Timers.

func (n *Node) runTimers() {
	for _, seq := range slices.Sorted(maps.Keys(n.probes)) {
		n.checkProbe(seq, n.probes[seq])
	}
	for _, name := range slices.Sorted(maps.Keys(n.notAlive)) { // fixed order, so that runs with the same seed are identical
		p := n.notAlive[name]
		switch {
		case p.State == Suspect && n.now >= p.failAt:
			c := p.Claim
			c.State, c.SuspectedBy = Failed, ""
			n.applyClaim(p, c)
		case p.State == Failed && n.now-p.Since > n.config.KeepFailed, p.State == Left && n.now-p.Since > leftRetention:
			n.removePeer(p)
		}
	}
	if n.hasLeft {
		return
	}
	if n.now >= n.nextJoinAt && (n.displaced || len(n.notAlive) == len(n.peers) && len(n.randomLive(1, nil)) == 0) {
		n.nextJoinAt = n.now + joinInterval + Time(n.rng.Float64()*float64(joinInterval))
		n.sendHellos(2)
	}
	if n.displaced {
		return
	}
	if n.now >= n.nextPingAt {
		n.nextPingAt += probePeriod
		if n.nextPingAt <= n.now {
			n.nextPingAt = n.now + probePeriod
		}
		n.pingNext()
	}
	if n.now >= n.nextGossipAt {
		n.nextGossipAt = n.now + gossipInterval
		for _, p := range n.randomLive(gossipFanout, nil) {
			if m := n.addUpdates(&Message{Kind: Gossip, To: p.id()}, p); len(m.Claims) > 0 {
				n.send(p.Addr, m)
			}
		}
	}
	if n.now >= n.nextRetryAt && n.enabled(GuardRetry) {
		n.nextRetryAt = n.now + reconnectInterval/2 + Time(n.rng.Float64()*float64(reconnectInterval))
		n.sendHellos(1)
	}
}

// sendHellos sends a Hello to up to k addresses chosen at random from failed peers and from seeds that
// belong to no live peer.
func (n *Node) sendHellos(k int) {
	var addrs []string
	names := map[string]string{}
	live := map[string]bool{n.config.Addr: true}
	for _, name := range n.pingOrder {
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
		p := n.peers[n.seedOwners[s]]
		if !live[s] && !slices.Contains(addrs, s) && (p == nil || p.State != Alive) && n.seedOwners[s] != n.config.Name {
			addrs = append(addrs, s)
		}
	}
	n.rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, a := range addrs[:min(k, len(addrs))] {
		n.seq++
		if len(n.pendingHellos) >= maxPendingHellos {
			clear(n.pendingHellos)
		}
		n.pendingHellos[n.seq] = a
		n.emit(Action{To: a, Name: names[a], Message: &Message{Kind: Hello, Seq: n.seq}})
	}
}

// pingNext pings the next live peer of the round.
func (n *Node) pingNext() {
	for range n.pingOrder {
		if n.pingIndex >= len(n.pingOrder) {
			n.pingIndex = 0
			n.rng.Shuffle(len(n.pingOrder), func(i, j int) { n.pingOrder[i], n.pingOrder[j] = n.pingOrder[j], n.pingOrder[i] })
		}
		p := n.peers[n.pingOrder[n.pingIndex]]
		n.pingIndex++
		if p.State != Alive && p.State != Suspect {
			continue
		}
		timeout := n.ackTimeout(p)
		n.seq++
		n.probes[n.seq] = &probe{target: p.id(), addr: p.Addr, sentAt: n.now, indirectAt: n.now + timeout, failAt: n.now + max(probePeriod, (1+indirectAckMultiple)*timeout)}
		n.send(p.Addr, n.addUpdates(&Message{Kind: Ping, Seq: n.seq, To: p.id()}, p))
		return
	}
}

// ackTimeout returns the timeout for a direct answer of p: based on its round-trip times, and longer the more
// this node doubts itself.
func (n *Node) ackTimeout(p *Peer) Time {
	timeout := initialAckTimeout
	if p.RTT > 0 {
		timeout = max(minAckTimeout, p.RTT+4*p.variance)
	}
	return min(timeout, maxAckTimeout) * Time(1+n.doubt)
}

// checkProbe sends indirect pings for a probe whose direct answer is late, and suspects the peer if they bring no
// answer either.
func (n *Node) checkProbe(seq uint32, q *probe) {
	p := n.peers[q.target.Name]
	if q.requesterAddr != "" || p == nil || p.Epoch != q.target.Epoch || p.State == Failed || p.State == Left {
		if n.now >= q.failAt {
			delete(n.probes, seq)
		}
		return
	}
	if p.LastHeard > q.sentAt { // any message shows that it is alive; its answer to this ping may be lost
		delete(n.probes, seq)
		return
	}
	if n.now >= q.indirectAt && !q.indirectSent {
		q.indirectSent = true
		q.failAt = max(q.failAt, n.now+indirectAckMultiple*n.ackTimeout(p))
		if n.enabled(GuardIndirectProbe) {
			helpers := n.randomLive(indirectPingPeers, func(o *Peer) bool { return o == p || o.State != Alive || o.Name == p.LastHelper })
			if v := n.peers[p.LastHelper]; v != nil && v.State == Alive { // the helper that reached it last time
				helpers = append(helpers[:min(len(helpers), indirectPingPeers-1)], v)
			}
			for _, h := range helpers {
				n.send(h.Addr, &Message{Kind: PingRequest, Seq: seq, To: h.id(), Target: q.target, TargetAddr: q.addr})
			}
			n.emit(Action{To: q.addr, Dial: true, Message: &Message{Kind: Ping, Seq: seq, To: q.target}})
		}
		return
	}
	if n.now < q.failAt {
		return
	}
	delete(n.probes, seq)
	n.doubt = min(n.doubt+1, maxDoubt)
	by := n.config.Zone
	if by == "" {
		by = n.config.Name
	}
	if p.State == Alive || !p.witnesses[by] {
		c := p.Claim
		c.State, c.SuspectedBy = Suspect, by
		n.handleClaim(c)
	}
}
