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
	frameRaft    = 20 // the former program's: no life
	frameHello   = 23
	frameRaft2   = 24
	bytesMost    = 64 << 20 // a second; a council is small
	datagramMost = 1200
	asksMost     = 256
	askWait      = 5 * time.Second
	bodyMost     = 1 << 20
	ticketsMost  = 1024
	helloEvery   = time.Second
	stayForm     = 10 * time.Minute // all voters must have spoken a newer form for so long before it is used; a way back till then
	heardFor     = 5 * time.Second  // a voter's last hello counts for so long
	idFirst      = 1 << 16          // numbers of voters that joined begin above it
)

// envelope carries a raft message between voters.
type envelope struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Identity uint64
	Message  []byte
}

// envelope2 carries a raft message with the life of the voter that sends it. Fields are added, never changed.
type envelope2 struct {
	Name    string      `cbor:"1,keyasint"`
	Life    Incarnation `cbor:"2,keyasint"`
	Lineage uint64      `cbor:"3,keyasint,omitempty"`
	Message []byte      `cbor:"4,keyasint,omitempty"`
	// Of hellos, Known of all; the former program tells it in hellos only:
	Form  int         `cbor:"5,keyasint,omitempty"` // the newest that it speaks
	Known Incarnation `cbor:"6,keyasint,omitzero"`  // what it knows of the one it is sent to
	ID    uint64      `cbor:"7,keyasint,omitempty"`
	Addr  string      `cbor:"8,keyasint,omitempty"`
	Past  []uint64    `cbor:"9,keyasint,omitempty"` // numbers of the processes of the folder before
}

// neighbour is what another voter said last.
type neighbour struct {
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
	anew = "Do not use the folder: remove this voter and add it anew with an empty one"
	keep = "One of them went on from an old copy: keep the folder to look at, remove this voter and add it anew with an empty one"
)

// Voter is one voter at work.
type Voter struct {
	conf    Config
	log     *slog.Logger
	net     *peers.Sockets
	store   *Store
	node    *Node
	self    uint64
	life    Incarnation
	saved   Saved
	begin   time.Time
	asks    chan func()
	waiting map[uint64]func(agreed.Result, error)
	heard   map[string]neighbour
	helloAt Time
	fatal   error
	planner *zoneplan.Planner // while this voter leads
	planAt  Time
	guides  map[uint64]agreed.Voter // who said hello to a voter that joins and knows no voters yet
	forms   Time                    // all voters speak the newest form since then, 0 = they don't
	leader  uint64

	reports  *subscribe.Registry
	reportAt Time
	healthAt Time
	number   uint64            // of this voter's own commands
	told     map[string]string // address by gateway, to tell at once what changes
	drains   string            // the members that are permitted to go out, as gateways were told last

	foreign, stale logthrottle.Line
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
	v, err := begin(c, log, store, saved)
	if err != nil {
		return err
	}
	if v.net, err = peers.Listen(peers.Config{Listen: c.Listen, Keys: c.Keys, BytesPerSecond: bytesMost}, log); err != nil {
		return err
	}
	defer v.net.Close()
	l, err := net.Listen("tcp", c.Admin)
	if err != nil {
		return err
	}
	admin := &http.Server{Handler: v.handler(), ReadHeaderTimeout: askWait, ReadTimeout: askWait, WriteTimeout: 2 * askWait, IdleTimeout: askWait, MaxHeaderBytes: 8 << 10}
	go func() { _ = admin.Serve(l) }()
	defer func() { _ = admin.Close() }()
	log.Info("council serves", "name", c.Name, "voters", len(v.node.ConfState().Voters), "listen", c.Listen, "admin", c.Admin, "index", v.node.Machine.Index())
	return v.run(ctx)
}

// begin begins a life of a folder, without sockets.
func begin(c Config, log *slog.Logger, store *Store, saved Saved) (*Voter, error) {
	v := &Voter{conf: c, log: log, store: store, begin: time.Now(), asks: make(chan func(), asksMost), waiting: map[uint64]func(agreed.Result, error){},
		heard: map[string]neighbour{}, reports: subscribe.NewRegistry(), told: map[string]string{}, guides: map[uint64]agreed.Voter{}}
	names, id := c.names(), uint64(0)
	if c.Join {
		names, id = []string{}, idFirst+store.Identity>>16
	}
	life := rand.Uint64() | 1
	if err := store.RecordStart(&saved, names, id, life); err != nil {
		return nil, err
	}
	v.saved = saved
	if v.self = saved.ID; v.self == 0 {
		v.self = uint64(slices.Index(saved.Founders, c.Name) + 1)
	}
	if v.self == 0 {
		return nil, fmt.Errorf("council: the folder is that of a council of %v, %s is none of them", saved.Founders, c.Name)
	}
	v.life = Incarnation{store.Identity, saved.Starts, life}
	var ids []uint64
	for i := range saved.Founders {
		ids = append(ids, uint64(i+1))
	}
	if saved.ID != 0 && len(saved.Founders) == 1 { // restored: alone, under a number of its own
		ids = []uint64{saved.ID}
	}
	var err error
	v.node, err = NewNode(NodeConfig{ID: v.self, Voters: ids, Log: log, Form: saved.Form}, saved, 0)
	return v, err
}

func (v *Voter) now() Time { return time.Since(v.begin) }

func (v *Voter) run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			v.log.Info("council stops")
			return nil
		case m := <-v.net.Received():
			v.frame(m)
		case ask := <-v.asks:
			ask()
		case <-t.C:
			v.node.Tick(v.now())
			v.hello()
			v.population()
			v.planZones()
			v.tellDrains()
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
			v.send(r.Messages)
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
				if f := v.waiting[d.Ticket]; f != nil {
					delete(v.waiting, d.Ticket)
					f(d.Result, d.Err)
				}
			}
		}
		if id, _ := v.node.Leader(); id != v.leader {
			v.leader = id
			v.log.Info("council leader", "leader", v.name(id), "term", v.node.Term())
		}
	}
}

func (v *Voter) name(id uint64) string {
	if o, ok := v.node.Machine.Voters()[id]; ok {
		return o.Name
	}
	if id == v.self {
		return v.conf.Name
	}
	if id == 0 || id > uint64(len(v.saved.Founders)) {
		return v.guides[id].Name
	}
	return v.saved.Founders[id-1]
}

// address is where a voter listens: as the configuration has it, which may name a relay, else as it was added.
func (v *Voter) address(id uint64) string {
	if a, ok := v.conf.Voters[v.name(id)]; ok {
		return a
	}
	if o, ok := v.node.Machine.Voters()[id]; ok {
		return o.Addr
	}
	return v.guides[id].Addr
}

// others are the numbers of all other voters, those that learn among them.
func (v *Voter) others() (ids []uint64) {
	c := v.node.ConfState()
	for _, id := range slices.Concat(c.Voters, c.Learners) {
		if id != v.self {
			ids = append(ids, id)
		}
	}
	return ids
}

// hello tells the others that this voter is there, what it speaks, and what life of theirs it knows.
func (v *Voter) hello() {
	if v.now() < v.helloAt {
		return
	}
	v.helloAt = v.now() + helloEvery
	same := true
	for _, id := range v.others() {
		name := v.name(id)
		if n, ok := v.heard[name]; !ok || v.now()-n.at > heardFor || n.form < agreed.Form {
			same = false
		}
		v.carry(frameHello, id, &envelope2{Form: agreed.Form, ID: v.self, Addr: v.net.AdvertisedAddr()})
	}
	if _, leads := v.node.Leader(); !same || !leads || v.node.Machine.Form() >= agreed.Form {
		v.forms = 0
	} else if v.forms == 0 {
		v.forms = v.now()
	} else if v.now()-v.forms > stayForm {
		v.propose(&agreed.Command{Op: agreed.Raise, To: agreed.Form})
	}
}

func (v *Voter) carry(kind byte, to uint64, e *envelope2) {
	if at := v.address(to); at != "" {
		b := v.sealed(kind, to, e)
		v.net.Send(v.name(to), at, b, len(b) > datagramMost, false)
	}
}

// sealed is a frame with both lives: this voter's, and the one that it knows of whom it is sent to. Each message has them,
// as heartbeats come before hellos and an old copy must learn that it is one before it acts on anything else.
func (v *Voter) sealed(kind byte, to uint64, e *envelope2) []byte {
	e.Name, e.Life, e.Past, e.Lineage = v.conf.Name, v.life, v.saved.Past, v.node.Machine.Lineage()
	e.Known = v.store.Roll.ByName[v.name(to)]
	b, err := cbor.Marshal(e)
	if err != nil {
		panic(err) // plain fields
	}
	return append([]byte{kind}, b...)
}

// speaks tells that a voter takes messages with lives.
func (v *Voter) speaks(name string) bool {
	return v.node.Machine.Form() >= agreed.Releases || v.heard[name].form >= agreed.Releases
}

func (v *Voter) send(messages []raftpb.Message) {
	for i := range messages {
		m := &messages[i]
		to := v.name(m.To)
		raw, err := m.Marshal()
		if to == "" || err != nil {
			continue
		}
		if v.speaks(to) {
			v.carry(frameRaft2, m.To, &envelope2{Message: raw})
			continue
		}
		b, err := cbor.Marshal(&envelope{Name: v.conf.Name, Identity: v.store.Identity, Message: raw})
		if err != nil {
			panic(err) // plain fields
		}
		v.net.Send(to, v.address(m.To), append([]byte{frameRaft}, b...), len(b) > datagramMost, false)
	}
}

// frame takes a message of another voter, if it is still the one that it was.
func (v *Voter) frame(in peers.Incoming) {
	if in.Stream != 0 {
		defer v.net.Reply(in.Stream, "", []byte{0}, false) // it has come; what it led to goes its own way
	}
	if len(in.Frame) < 2 {
		return
	}
	switch b := in.Frame[1:]; in.Frame[0] {
	case subscribe.FrameReport:
		v.report(b)
	case subscribe.FramePermitRequest:
		v.asked(b)
	case frameRaft:
		var e envelope
		if cbor.Unmarshal(b, &e) == nil && v.node.Machine.Form() < agreed.Releases {
			v.message(&envelope2{Name: e.Name, Life: Incarnation{Identity: e.Identity}, Message: e.Message})
		}
	case frameRaft2:
		var e envelope2
		if cbor.Unmarshal(b, &e) == nil && e.Lineage == v.node.Machine.Lineage() {
			v.message(&e)
		}
	case frameHello:
		var e envelope2
		if cbor.Unmarshal(b, &e) == nil {
			v.greeted(&e)
		}
	}
}

// greeted takes a hello.
func (v *Voter) greeted(e *envelope2) {
	if e.Name == v.conf.Name || !v.meets(e.Name, e.Life, e.Past) || v.outlived(e) {
		return
	}
	v.heard[e.Name] = neighbour{v.now(), e.Form}
	if len(v.node.ConfState().Voters) == 0 && len(v.guides) < MaxVoters && len(e.Name) <= agreed.TextMost {
		v.guides[e.ID] = agreed.Voter{Name: e.Name, Addr: e.Addr}
	}
}

// outlived tells that another voter knows a later life of this folder: this one must not go on.
func (v *Voter) outlived(e *envelope2) bool {
	k := e.Known
	if k.Identity != v.life.Identity || k.Starts < v.life.Starts || k.Starts == v.life.Starts && k.ProcessID == v.life.ProcessID {
		return false
	}
	v.fatal = fmt.Errorf("%w: it has seen %d starts, voter %s knows of %d. %s", ErrOldCopy, v.life.Starts, e.Name, k.Starts, anew)
	return true
}

// meets tells whether a message of a life is taken: of the folder that its voter has, in its present life.
func (v *Voter) meets(name string, l Incarnation, past []uint64) bool {
	id := uint64(0)
	for _, o := range append(v.others(), v.self) {
		if v.name(o) == name {
			id = o
		}
	}
	if id == 0 && len(v.node.ConfState().Voters) > 0 { // who joins knows nobody yet
		return false
	}
	if added, ok := v.node.Machine.Voters()[id]; ok && added.Identity != 0 && added.Identity != l.Identity {
		v.foreign.Warn(v.log, "council voter has another identity, its folder was lost or swapped", "voter", name)
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
		v.foreign.Warn(v.log, "council voter has another identity, its folder was lost or swapped", "voter", name)
		return false
	case m == IncarnationStale:
		v.stale.Warn(v.log, "council voter goes on from an old copy of its folder", "voter", name)
		return false
	}
	return true
}

// message takes a raft message of another voter, if it is still the one that it was.
func (v *Voter) message(e *envelope2) {
	var m raftpb.Message
	if m.Unmarshal(e.Message) != nil || e.Name == v.conf.Name || e.Name == "" || m.From == v.self {
		return
	}
	if n := v.name(m.From); n != e.Name && (n != "" || len(v.node.ConfState().Voters) > 0) {
		return
	}
	if !v.meets(e.Name, e.Life, e.Past) || v.outlived(e) {
		return
	}
	if err := v.node.Receive(v.now(), m); err != nil {
		advice := anew
		if errors.Is(err, ErrLogConflict) {
			advice = keep
		}
		v.fatal = fmt.Errorf("%w; voter %s told it. %s", err, e.Name, advice)
	}
}
