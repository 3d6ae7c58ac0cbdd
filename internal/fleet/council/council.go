package council

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"

	"reachwind/internal/fleet/agreed"
	"reachwind/internal/fleet/peers"
	"reachwind/internal/fleet/subscribe"
	"reachwind/internal/fleet/zoneplan"
	"reachwind/internal/logthrottle"
)

const (
	frameRaftV1        = 20 // sent by the former program, without an incarnation
	frameHello         = 23
	frameRaftV2        = 24
	maxBytesPerSecond  = 64 << 20 // for all traffic of a voter; a council is small
	maxDatagramBytes   = 1200
	maxQueuedRequests  = 256
	adminTimeout       = 5 * time.Second
	maxBodyBytes       = 1 << 20
	maxPendingCommands = 1024
	helloInterval      = time.Second
	formRaiseDelay     = 10 * time.Minute // how long all voters must support the newest format version before it is used; until then they can be downgraded
	helloValidity      = 5 * time.Second  // a voter counts as heard for so long after its last hello
	firstJoinedID      = 1 << 16          // IDs of voters that joined later are above it; founders are numbered from 1
)

// envelopeV1 carries a raft message to or from a voter of the former program.
type envelopeV1 struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Identity uint64
	Message  []byte
}

// envelopeV2 carries a raft message with the incarnation of the voter that sends it. Fields may be added but never changed.
type envelopeV2 struct {
	Name        string      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Lineage     uint64      `cbor:"3,keyasint,omitempty"`
	Message     []byte      `cbor:"4,keyasint,omitempty"`
	// Set in hellos only, except KnownIncarnation and PastRuns, which all messages carry; the former program sends
	// KnownIncarnation in hellos only.
	Form             int         `cbor:"5,keyasint,omitempty"` // newest format version that the sender supports
	KnownIncarnation Incarnation `cbor:"6,keyasint,omitzero"`  // incarnation of the receiver that the sender knows
	ID               uint64      `cbor:"7,keyasint,omitempty"`
	Addr             string      `cbor:"8,keyasint,omitempty"`
	PastRuns         []uint64    `cbor:"9,keyasint,omitempty"` // process IDs of the folder's earlier starts, oldest first
}

// helloRecord is the last hello of another voter: when it came and the newest format version that the voter supports.
type helloRecord struct {
	at   Time
	form int
}

// ErrOldCopy is returned where other voters know of later starts or entries of this voter than its folder holds. It must
// stop: votes and entries that it has forgotten may have counted towards a majority.
var ErrOldCopy = errors.New("council: the folder is an old copy")

// ErrLogConflict is returned where another voter's message contradicts entries committed in this folder.
var ErrLogConflict = errors.New("council: the folder does not go with the council")

// Advice to the operator on these errors.
const (
	adviceReplaceVoter = "Do not use this folder again: remove this voter and add it again with an empty one"
	adviceKeepFolder   = "One of the two voters was started from an old copy of its folder: keep this folder for inspection, remove this voter and add it again with an empty one"
)

// Voter is a running voter. Its fields are owned by the goroutine that runs loop.
type Voter struct {
	conf            Config
	log             *slog.Logger
	net             *peers.Sockets
	store           *Store
	node            *Node
	selfID          uint64
	incarnation     Incarnation
	saved           Saved
	startedAt       time.Time
	requests        chan func()
	pending         map[uint64]func(agreed.Result, error)
	lastHellos      map[string]helloRecord
	nextHello       Time
	fatal           error
	planner         *zoneplan.Planner // set while this voter leads
	nextPlan        Time
	helloVoters     map[uint64]agreed.Voter // senders of hellos, by ID, while this voter joins and has no voter list yet
	newestFormSince Time                    // since when all voters have supported the newest format version, 0 = not all do
	leader          uint64

	reports        *subscribe.Registry
	nextPopulation Time
	nextHealth     Time
	commandNumber  uint64            // number of the last command that this voter proposed by itself
	gatewayAddrs   map[string]string // addresses by gateway name, for updates sent as soon as something changes
	lastNotified   string            // zones and draining members in the last update sent to all gateways, as text for comparison

	foreignLog, staleLog logthrottle.Line
}

// Run runs a voter until ctx ends. It returns an error if the voter can't start or must not continue: its disk fails, its
// folder is an old copy or contradicts another voter's log, or a committed entry needs a newer program. It returns nil
// after the voter was removed from the council.
func Run(ctx context.Context, c Config, log *slog.Logger) error { return run(ctx, c, log, nil) }

func run(ctx context.Context, c Config, log *slog.Logger, o *bbolt.Options) (err error) {
	store, saved, err := openStore(c.Folder, o)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	v, err := newVoter(c, log, store, saved)
	if err != nil {
		return err
	}
	if v.net, err = peers.Listen(peers.Config{Listen: c.Listen, Keys: c.Keys, BytesPerSecond: maxBytesPerSecond}, log); err != nil {
		return err
	}
	defer v.net.Close()
	l, err := net.Listen("tcp", c.Admin)
	if err != nil {
		return err
	}
	admin := &http.Server{Handler: v.handler(), ReadHeaderTimeout: adminTimeout, ReadTimeout: adminTimeout, WriteTimeout: 2 * adminTimeout, IdleTimeout: adminTimeout, MaxHeaderBytes: 8 << 10}
	go func() { _ = admin.Serve(l) }()
	defer func() { _ = admin.Close() }()
	log.Info("council serves", "name", c.Name, "voters", len(v.node.ConfState().Voters), "listen", c.Listen, "admin", c.Admin, "index", v.node.Machine.Index())
	return v.loop(ctx)
}

// newVoter records a start of the folder and returns its voter, without sockets.
func newVoter(c Config, log *slog.Logger, store *Store, saved Saved) (*Voter, error) {
	v := &Voter{conf: c, log: log, store: store, startedAt: time.Now(), requests: make(chan func(), maxQueuedRequests), pending: map[uint64]func(agreed.Result, error){},
		lastHellos: map[string]helloRecord{}, reports: subscribe.NewRegistry(), gatewayAddrs: map[string]string{}, helloVoters: map[uint64]agreed.Voter{}}
	names, id := c.names(), uint64(0)
	if c.Join {
		names, id = []string{}, firstJoinedID+store.Identity>>16
	}
	life := rand.Uint64() | 1
	if err := store.RecordStart(&saved, names, id, life); err != nil {
		return nil, err
	}
	v.saved = saved
	if v.selfID = saved.ID; v.selfID == 0 {
		v.selfID = uint64(slices.Index(saved.Founders, c.Name) + 1)
	}
	if v.selfID == 0 {
		return nil, fmt.Errorf("council: the folder belongs to a council of %v, and voter %s is not among them", saved.Founders, c.Name)
	}
	v.incarnation = Incarnation{store.Identity, saved.Starts, life}
	var ids []uint64
	for i := range saved.Founders {
		ids = append(ids, uint64(i+1))
	}
	if saved.ID != 0 && len(saved.Founders) == 1 { // a restored council has one voter, with a new ID
		ids = []uint64{saved.ID}
	}
	var err error
	v.node, err = NewNode(NodeConfig{ID: v.selfID, Voters: ids, Log: log, Form: saved.Form}, saved, 0)
	return v, err
}

func (v *Voter) now() Time { return time.Since(v.startedAt) }

func (v *Voter) loop(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			v.log.Info("council stops")
			return nil
		case m := <-v.net.Received():
			v.handleFrame(m)
		case ask := <-v.requests:
			ask()
		case <-t.C:
			v.node.Tick(v.now())
			v.sendHellos()
			v.proposePopulation()
			v.planZones()
			v.notifyGateways()
		}
		if v.fatal != nil {
			return v.fatal
		}
		for {
			r, ok := v.node.Ready()
			if !ok {
				break
			}
			if err := v.store.Save(&r.Save); err != nil { // nothing that is not saved may be sent, so the voter stops
				return fmt.Errorf("council: saving: %w", err)
			}
			v.sendRaft(r.Messages)
			snap := v.node.Advance(&r)
			if r.Fatal != nil {
				return r.Fatal
			}
			if snap.Metadata.Index > 0 {
				if err := v.store.SaveSnapshot(snap); err != nil {
					return fmt.Errorf("council: saving a snapshot and trimming the log: %w", err)
				}
			}
			if v.node.Removed {
				v.log.Warn("council voter was removed", "name", v.conf.Name)
				return nil
			}
			for _, d := range r.Results {
				if f := v.pending[d.Ticket]; f != nil {
					delete(v.pending, d.Ticket)
					f(d.Result, d.Err)
				}
			}
		}
		if id, _ := v.node.Leader(); id != v.leader {
			v.leader = id
			v.log.Info("council leader", "leader", v.voterName(id), "term", v.node.Term())
		}
	}
}

func (v *Voter) voterName(id uint64) string {
	if o, ok := v.node.Machine.Voters()[id]; ok {
		return o.Name
	}
	if id == v.selfID {
		return v.conf.Name
	}
	if id == 0 || id > uint64(len(v.saved.Founders)) {
		return v.helloVoters[id].Name
	}
	return v.saved.Founders[id-1]
}

// voterAddr returns the address of a voter: the configured one, which may be that of a relay, else the one it was added
// with. It is empty if unknown.
func (v *Voter) voterAddr(id uint64) string {
	if a, ok := v.conf.Voters[v.voterName(id)]; ok {
		return a
	}
	if o, ok := v.node.Machine.Voters()[id]; ok {
		return o.Addr
	}
	return v.helloVoters[id].Addr
}

// otherIDs returns the IDs of all other voters and learners.
func (v *Voter) otherIDs() (ids []uint64) {
	c := v.node.ConfState()
	for _, id := range slices.Concat(c.Voters, c.Learners) {
		if id != v.selfID {
			ids = append(ids, id)
		}
	}
	return ids
}

// sendHellos tells the other voters, once per helloInterval, the newest format version that this voter supports and the
// incarnation of theirs that it knows. A leader also raises the format version once all have supported it for
// formRaiseDelay.
func (v *Voter) sendHellos() {
	if v.now() < v.nextHello {
		return
	}
	v.nextHello = v.now() + helloInterval
	same := true
	for _, id := range v.otherIDs() {
		name := v.voterName(id)
		if n, ok := v.lastHellos[name]; !ok || v.now()-n.at > helloValidity || n.form < agreed.NewestFormat {
			same = false
		}
		v.sendEnvelope(frameHello, id, &envelopeV2{Form: agreed.NewestFormat, ID: v.selfID, Addr: v.net.AdvertisedAddr()})
	}
	if _, leads := v.node.Leader(); !same || !leads || v.node.Machine.Format() >= agreed.NewestFormat {
		v.newestFormSince = 0
	} else if v.newestFormSince == 0 {
		v.newestFormSince = v.now()
	} else if v.now()-v.newestFormSince > formRaiseDelay {
		v.propose(&agreed.Command{Op: agreed.RaiseFormat, To: agreed.NewestFormat})
	}
}

func (v *Voter) sendEnvelope(kind byte, to uint64, e *envelopeV2) {
	if at := v.voterAddr(to); at != "" {
		b := v.encodeFrame(kind, to, e)
		v.net.Send(v.voterName(to), at, b, len(b) > maxDatagramBytes, false)
	}
}

// encodeFrame returns a frame with two incarnations: this voter's, and the receiver's that this voter knows. Every message
// carries both, as heartbeats may arrive before hellos and an old copy must be detected before it acts on any message.
func (v *Voter) encodeFrame(kind byte, to uint64, e *envelopeV2) []byte {
	e.Name, e.Incarnation, e.PastRuns, e.Lineage = v.conf.Name, v.incarnation, v.saved.Past, v.node.Machine.Lineage()
	e.KnownIncarnation = v.store.Roll.ByName[v.voterName(to)]
	b, err := cbor.Marshal(e)
	if err != nil {
		panic(err) // plain fields
	}
	return append([]byte{kind}, b...)
}

// acceptsIncarnations reports whether a voter understands messages with incarnations (envelopeV2).
func (v *Voter) acceptsIncarnations(name string) bool {
	return v.node.Machine.Format() >= agreed.ReleasesFormat || v.lastHellos[name].form >= agreed.ReleasesFormat
}

func (v *Voter) sendRaft(messages []raftpb.Message) {
	for i := range messages {
		m := &messages[i]
		to := v.voterName(m.To)
		raw, err := m.Marshal()
		if to == "" || err != nil {
			continue
		}
		if v.acceptsIncarnations(to) {
			v.sendEnvelope(frameRaftV2, m.To, &envelopeV2{Message: raw})
			continue
		}
		b, err := cbor.Marshal(&envelopeV1{Name: v.conf.Name, Identity: v.store.Identity, Message: raw})
		if err != nil {
			panic(err) // plain fields
		}
		v.net.Send(to, v.voterAddr(m.To), append([]byte{frameRaftV1}, b...), len(b) > maxDatagramBytes, false)
	}
}

// handleFrame dispatches a frame of another voter or a gateway by its first byte.
func (v *Voter) handleFrame(in peers.Incoming) {
	if in.Stream != 0 {
		defer v.net.Reply(in.Stream, "", []byte{0}, false) // confirms arrival only; any answer is sent separately
	}
	if len(in.Frame) < 2 {
		return
	}
	switch b := in.Frame[1:]; in.Frame[0] {
	case subscribe.FrameReport:
		v.handleReport(b)
	case subscribe.FramePermitRequest:
		v.handlePermitRequest(b)
	case frameRaftV1:
		var e envelopeV1
		if cbor.Unmarshal(b, &e) == nil && v.node.Machine.Format() < agreed.ReleasesFormat {
			v.handleRaftMessage(&envelopeV2{Name: e.Name, Incarnation: Incarnation{Identity: e.Identity}, Message: e.Message})
		}
	case frameRaftV2:
		var e envelopeV2
		if cbor.Unmarshal(b, &e) == nil && e.Lineage == v.node.Machine.Lineage() {
			v.handleRaftMessage(&e)
		}
	case frameHello:
		var e envelopeV2
		if cbor.Unmarshal(b, &e) == nil {
			v.handleHello(&e)
		}
	}
}

// handleHello handles a hello of another voter.
func (v *Voter) handleHello(e *envelopeV2) {
	if e.Name == v.conf.Name || !v.acceptSender(e.Name, e.Incarnation, e.PastRuns) || v.detectOldCopy(e) {
		return
	}
	v.lastHellos[e.Name] = helloRecord{v.now(), e.Form}
	if len(v.node.ConfState().Voters) == 0 && len(v.helloVoters) < MaxVoters && len(e.Name) <= agreed.MaxTextBytes {
		v.helloVoters[e.ID] = agreed.Voter{Name: e.Name, Addr: e.Addr}
	}
}

// detectOldCopy reports whether another voter knows a later incarnation of this folder, and makes this voter stop with
// ErrOldCopy if so.
func (v *Voter) detectOldCopy(e *envelopeV2) bool {
	k := e.KnownIncarnation
	if k.Identity != v.incarnation.Identity || k.Starts < v.incarnation.Starts || k.Starts == v.incarnation.Starts && k.ProcessID == v.incarnation.ProcessID {
		return false
	}
	v.fatal = fmt.Errorf("%w: it has %d starts, voter %s knows of %d. %s", ErrOldCopy, v.incarnation.Starts, e.Name, k.Starts, adviceReplaceVoter)
	return true
}

// acceptSender reports whether a message is from the folder known for this voter name, in its present incarnation. It
// saves a new incarnation before it returns true.
func (v *Voter) acceptSender(name string, l Incarnation, past []uint64) bool {
	id := uint64(0)
	for _, o := range append(v.otherIDs(), v.selfID) {
		if v.voterName(o) == name {
			id = o
		}
	}
	if id == 0 && len(v.node.ConfState().Voters) > 0 { // a joining voter knows no others yet
		return false
	}
	if added, ok := v.node.Machine.Voters()[id]; ok && added.Identity != 0 && added.Identity != l.Identity {
		v.foreignLog.Warn(v.log, "council voter has another identity, its folder was lost or swapped", "voter", name)
		return false
	}
	if known, ok := v.store.Roll.ByName[name]; ok && known.Identity != l.Identity && l.Identity != 0 && v.node.Machine.Voters()[id].Identity == l.Identity {
		if err := v.store.Forget(name); err != nil { // the council has committed another folder for this name
			v.log.Error("council: identities not kept", "err", err)
			return false
		}
	}
	if len(v.store.Roll.ByName) > 64 {
		return false
	}
	m, err := v.store.CheckIncarnation(name, l, past)
	switch {
	case err != nil:
		v.log.Error("council: identities not kept", "err", err)
		return false
	case m == IncarnationForeign:
		v.foreignLog.Warn(v.log, "council voter has another identity, its folder was lost or swapped", "voter", name)
		return false
	case m == IncarnationStale:
		v.staleLog.Warn(v.log, "council voter goes on from an old copy of its folder", "voter", name)
		return false
	}
	return true
}

// handleRaftMessage passes a raft message to the node if its sender is an accepted voter. An error makes this voter stop.
func (v *Voter) handleRaftMessage(e *envelopeV2) {
	var m raftpb.Message
	if m.Unmarshal(e.Message) != nil || e.Name == v.conf.Name || e.Name == "" || m.From == v.selfID {
		return
	}
	if n := v.voterName(m.From); n != e.Name && (n != "" || len(v.node.ConfState().Voters) > 0) {
		return
	}
	if !v.acceptSender(e.Name, e.Incarnation, e.PastRuns) || v.detectOldCopy(e) {
		return
	}
	if err := v.node.Receive(v.now(), m); err != nil {
		advice := adviceReplaceVoter
		if errors.Is(err, ErrLogConflict) {
			advice = adviceKeepFolder
		}
		v.fatal = fmt.Errorf("%w; found by a message of voter %s. %s", err, e.Name, advice)
	}
}
