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
	frameRaftV1        = 20 // the former program's: no life
	frameHello         = 23
	frameRaftV2        = 24
	maxBytesPerSecond  = 64 << 20 // a second; a council is small
	maxDatagramBytes   = 1200
	maxQueuedRequests  = 256
	adminTimeout       = 5 * time.Second
	maxBodyBytes       = 1 << 20
	maxPendingCommands = 1024
	helloInterval      = time.Second
	formRaiseDelay     = 10 * time.Minute // all voters must have spoken a newer form for so long before it is used; a way back till then
	helloValidity      = 5 * time.Second  // a voter's last hello counts for so long
	firstJoinedID      = 1 << 16          // numbers of voters that joined begin above it
)

// envelopeV1 carries a raft message between voters.
type envelopeV1 struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Identity uint64
	Message  []byte
}

// envelopeV2 carries a raft message with the life of the voter that sends it. Fields are added, never changed.
type envelopeV2 struct {
	Name        string      `cbor:"1,keyasint"`
	Incarnation Incarnation `cbor:"2,keyasint"`
	Lineage     uint64      `cbor:"3,keyasint,omitempty"`
	Message     []byte      `cbor:"4,keyasint,omitempty"`
	// Of hellos, Known of all; the former program tells it in hellos only:
	Form             int         `cbor:"5,keyasint,omitempty"` // the newest that it speaks
	KnownIncarnation Incarnation `cbor:"6,keyasint,omitzero"`  // what it knows of the one it is sent to
	ID               uint64      `cbor:"7,keyasint,omitempty"`
	Addr             string      `cbor:"8,keyasint,omitempty"`
	PastRuns         []uint64    `cbor:"9,keyasint,omitempty"` // numbers of the processes of the folder before
}

// helloRecord is what another voter said last.
type helloRecord struct {
	at   Time
	form int
}

// ErrOldCopy is returned where others know more of this voter than its folder holds. It must not go on: what it forgot
// may have counted towards a majority.
var ErrOldCopy = errors.New("council: the folder is an old copy")

// ErrLogConflict is returned where another voter's message can't follow from what this folder holds as agreed.
var ErrLogConflict = errors.New("council: the folder does not go with the council")

// What an operator can do about them.
const (
	adviceReplaceVoter = "Do not use the folder: remove this voter and add it anew with an empty one"
	adviceKeepFolder   = "One of them went on from an old copy: keep the folder to look at, remove this voter and add it anew with an empty one"
)

// Voter is one voter at work.
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
	planner         *zoneplan.Planner // while this voter leads
	nextPlan        Time
	helloVoters     map[uint64]agreed.Voter // who said hello to a voter that joins and knows no voters yet
	newestFormSince Time                    // all voters speak the newest form since then, 0 = they don't
	leader          uint64

	reports        *subscribe.Registry
	nextPopulation Time
	nextHealth     Time
	commandNumber  uint64            // of this voter's own commands
	gatewayAddrs   map[string]string // address by gateway, to tell at once what changes
	lastNotified   string            // the members that are permitted to go out, as gateways were told last

	foreignLog, staleLog logthrottle.Line
}

// Run runs a voter until ctx ends. An error means that it must not go on: its disk fails, its folder is an old copy, or
// what was agreed needs a newer program. A voter that was removed from the council ends without one.
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

// newVoter begins a life of a folder, without sockets.
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
		return nil, fmt.Errorf("council: the folder is that of a council of %v, %s is none of them", saved.Founders, c.Name)
	}
	v.incarnation = Incarnation{store.Identity, saved.Starts, life}
	var ids []uint64
	for i := range saved.Founders {
		ids = append(ids, uint64(i+1))
	}
	if saved.ID != 0 && len(saved.Founders) == 1 { // restored: alone, under a number of its own
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
			if err := v.store.Save(&r.Save); err != nil { // what was not saved must not be told: it goes no further
				return fmt.Errorf("council: saving: %w", err)
			}
			v.sendRaft(r.Messages)
			snap := v.node.Advance(&r)
			if r.Fatal != nil {
				return r.Fatal
			}
			if snap.Metadata.Index > 0 {
				if err := v.store.SaveSnapshot(snap); err != nil {
					return fmt.Errorf("council: cutting the log: %w", err)
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

// voterAddr is where a voter listens: as the configuration has it, which may name a relay, else as it was added.
func (v *Voter) voterAddr(id uint64) string {
	if a, ok := v.conf.Voters[v.voterName(id)]; ok {
		return a
	}
	if o, ok := v.node.Machine.Voters()[id]; ok {
		return o.Addr
	}
	return v.helloVoters[id].Addr
}

// otherIDs are the numbers of all other voters, those that learn among them.
func (v *Voter) otherIDs() (ids []uint64) {
	c := v.node.ConfState()
	for _, id := range slices.Concat(c.Voters, c.Learners) {
		if id != v.selfID {
			ids = append(ids, id)
		}
	}
	return ids
}

// sendHellos tells the others that this voter is there, what it speaks, and what life of theirs it knows.
func (v *Voter) sendHellos() {
	if v.now() < v.nextHello {
		return
	}
	v.nextHello = v.now() + helloInterval
	same := true
	for _, id := range v.otherIDs() {
		name := v.voterName(id)
		if n, ok := v.lastHellos[name]; !ok || v.now()-n.at > helloValidity || n.form < agreed.Form {
			same = false
		}
		v.sendEnvelope(frameHello, id, &envelopeV2{Form: agreed.Form, ID: v.selfID, Addr: v.net.AdvertisedAddr()})
	}
	if _, leads := v.node.Leader(); !same || !leads || v.node.Machine.Form() >= agreed.Form {
		v.newestFormSince = 0
	} else if v.newestFormSince == 0 {
		v.newestFormSince = v.now()
	} else if v.now()-v.newestFormSince > formRaiseDelay {
		v.propose(&agreed.Command{Op: agreed.Raise, To: agreed.Form})
	}
}

func (v *Voter) sendEnvelope(kind byte, to uint64, e *envelopeV2) {
	if at := v.voterAddr(to); at != "" {
		b := v.encodeFrame(kind, to, e)
		v.net.Send(v.voterName(to), at, b, len(b) > maxDatagramBytes, false)
	}
}

// encodeFrame is a frame with both lives: this voter's, and the one that it knows of whom it is sent to. Each message has them,
// as heartbeats come before hellos and an old copy must learn that it is one before it acts on anything else.
func (v *Voter) encodeFrame(kind byte, to uint64, e *envelopeV2) []byte {
	e.Name, e.Incarnation, e.PastRuns, e.Lineage = v.conf.Name, v.incarnation, v.saved.Past, v.node.Machine.Lineage()
	e.KnownIncarnation = v.store.Roll.ByName[v.voterName(to)]
	b, err := cbor.Marshal(e)
	if err != nil {
		panic(err) // plain fields
	}
	return append([]byte{kind}, b...)
}

// acceptsIncarnations tells that a voter takes messages with lives.
func (v *Voter) acceptsIncarnations(name string) bool {
	return v.node.Machine.Form() >= agreed.Releases || v.lastHellos[name].form >= agreed.Releases
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

// handleFrame takes a message of another voter, if it is still the one that it was.
func (v *Voter) handleFrame(in peers.Incoming) {
	if in.Stream != 0 {
		defer v.net.Reply(in.Stream, "", []byte{0}, false) // it has come; what it led to goes its own way
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
		if cbor.Unmarshal(b, &e) == nil && v.node.Machine.Form() < agreed.Releases {
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

// handleHello takes a hello.
func (v *Voter) handleHello(e *envelopeV2) {
	if e.Name == v.conf.Name || !v.acceptSender(e.Name, e.Incarnation, e.PastRuns) || v.detectOldCopy(e) {
		return
	}
	v.lastHellos[e.Name] = helloRecord{v.now(), e.Form}
	if len(v.node.ConfState().Voters) == 0 && len(v.helloVoters) < MaxVoters && len(e.Name) <= agreed.TextMost {
		v.helloVoters[e.ID] = agreed.Voter{Name: e.Name, Addr: e.Addr}
	}
}

// detectOldCopy tells that another voter knows a later life of this folder: this one must not go on.
func (v *Voter) detectOldCopy(e *envelopeV2) bool {
	k := e.KnownIncarnation
	if k.Identity != v.incarnation.Identity || k.Starts < v.incarnation.Starts || k.Starts == v.incarnation.Starts && k.ProcessID == v.incarnation.ProcessID {
		return false
	}
	v.fatal = fmt.Errorf("%w: it has seen %d starts, voter %s knows of %d. %s", ErrOldCopy, v.incarnation.Starts, e.Name, k.Starts, adviceReplaceVoter)
	return true
}

// acceptSender tells whether a message of a life is taken: of the folder that its voter has, in its present life.
func (v *Voter) acceptSender(name string, l Incarnation, past []uint64) bool {
	id := uint64(0)
	for _, o := range append(v.otherIDs(), v.selfID) {
		if v.voterName(o) == name {
			id = o
		}
	}
	if id == 0 && len(v.node.ConfState().Voters) > 0 { // who joins knows nobody yet
		return false
	}
	if added, ok := v.node.Machine.Voters()[id]; ok && added.Identity != 0 && added.Identity != l.Identity {
		v.foreignLog.Warn(v.log, "council voter has another identity, its folder was lost or swapped", "voter", name)
		return false
	}
	if known, ok := v.store.Roll.ByName[name]; ok && known.Identity != l.Identity && l.Identity != 0 && v.node.Machine.Voters()[id].Identity == l.Identity {
		if err := v.store.Forget(name); err != nil { // the council has agreed on another folder for this name
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

// handleRaftMessage takes a raft message of another voter, if it is still the one that it was.
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
		v.fatal = fmt.Errorf("%w; voter %s told it. %s", err, e.Name, advice)
	}
}
