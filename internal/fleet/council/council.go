package council

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"

	"reachwind/internal/fleet/agreed"
	"reachwind/internal/fleet/peers"
	"reachwind/internal/fleet/subscribe"
	"reachwind/internal/often"
)

const (
	frameRaft    = 20
	bytesMost    = 64 << 20 // a second; a council is small
	datagramMost = 1200
	asksMost     = 256
	askWait      = 5 * time.Second
	bodyMost     = 1 << 20
	ticketsMost  = 1024
)

// envelope carries a raft message between voters.
type envelope struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Identity uint64
	Message  []byte
}

// Voter is one voter at work.
type Voter struct {
	conf    Config
	log     *slog.Logger
	net     *peers.Sockets
	store   *Store
	node    *Node
	names   []string
	begin   time.Time
	asks    chan func()
	waiting map[uint64]func(agreed.Result, error)
	met     map[string]bool // voters whose identity was looked up, and whether it is theirs
	leader  uint64

	reports  *subscribe.Book
	reportAt Time
	number   uint64 // of this voter's own commands

	foreign often.Line
}

// Run runs a voter until ctx ends. An error means that it must not go on: its disk fails, or what was agreed needs a
// newer program.
func Run(ctx context.Context, c Config, log *slog.Logger) (err error) {
	store, saved, err := OpenStore(c.Folder)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	v := &Voter{conf: c, log: log, store: store, names: c.names(), begin: time.Now(), asks: make(chan func(), asksMost),
		waiting: map[uint64]func(agreed.Result, error){}, met: map[string]bool{}, reports: subscribe.NewBook()}
	var ids []uint64
	for i := range v.names {
		ids = append(ids, uint64(i+1))
	}
	self := uint64(slices.Index(v.names, c.Name) + 1)
	if v.node, err = NewNode(NodeConfig{ID: self, Voters: ids, Log: log}, saved, 0); err != nil {
		return err
	}
	if v.net, err = peers.Listen(peers.Config{Listen: c.Listen, Keys: c.Keys, Bytes: bytesMost}, log); err != nil {
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
	log.Info("council serves", "name", c.Name, "voters", len(v.names), "listen", c.Listen, "admin", c.Admin, "index", v.node.Machine.Index())
	return v.run(ctx)
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
		case m := <-v.net.In():
			v.frame(m)
		case ask := <-v.asks:
			ask()
		case <-t.C:
			v.node.Tick(v.now())
			v.population()
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
			snap := v.node.Done(&r)
			if r.Fatal != nil {
				return r.Fatal
			}
			if snap.Metadata.Index > 0 {
				if err := v.store.Cut(snap); err != nil {
					return fmt.Errorf("council: cutting the log: %w", err)
				}
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
	if id == 0 || id > uint64(len(v.names)) {
		return ""
	}
	return v.names[id-1]
}

func (v *Voter) send(messages []raftpb.Message) {
	for i := range messages {
		m := &messages[i]
		to := v.name(m.To)
		raw, err := m.Marshal()
		if to == "" || err != nil {
			continue
		}
		b, err := cbor.Marshal(&envelope{Name: v.conf.Name, Identity: v.store.Identity, Message: raw})
		if err != nil {
			panic(err) // plain fields
		}
		v.net.Send(to, v.conf.Voters[to], append([]byte{frameRaft}, b...), len(b) > datagramMost, false)
	}
}

// frame takes a message of another voter, if it is still the one that it was.
func (v *Voter) frame(in peers.Incoming) {
	if in.Stream != 0 {
		defer v.net.Answer(in.Stream, "", []byte{0}, false) // it has come; what it led to goes its own way
	}
	if len(in.Frame) > 1 && in.Frame[0] == subscribe.FrameReport {
		v.report(in.Frame[1:])
		return
	}
	if len(in.Frame) < 2 || in.Frame[0] != frameRaft {
		return
	}
	var e envelope
	var m raftpb.Message
	if cbor.Unmarshal(in.Frame[1:], &e) != nil || m.Unmarshal(e.Message) != nil || v.name(m.From) != e.Name || e.Name == v.conf.Name {
		return
	}
	key := fmt.Sprint(e.Name, "/", e.Identity)
	same, looked := v.met[key]
	if !looked && len(v.met) < 1024 {
		var err error
		if same, err = v.store.Meet(e.Name, e.Identity); err != nil {
			v.log.Error("council: identities not kept", "err", err)
			return
		}
		v.met[key] = same
	}
	if !same {
		v.foreign.Warn(v.log, "council voter has another identity, its folder was lost or swapped", "voter", e.Name)
		return
	}
	v.node.Receive(v.now(), m)
}

// report takes a gateway's word that it is there, and answers with what is agreed, as far as this voter knows.
func (v *Voter) report(b []byte) {
	r, ok := v.reports.Take(v.now(), b)
	if !ok {
		return
	}
	id, _ := v.node.Leader()
	told := subscribe.Told{Number: r.Number, Leader: v.name(id), Term: v.node.Term(), Index: v.node.Machine.Index()}
	if p, ok := v.node.Machine.Permit("gateway/" + r.Name); ok && !p.Overdue {
		told.Fence, told.LeftMs = p.Fence, max(0, p.Until-v.node.Machine.Time())
	}
	v.net.Send(r.Name, r.Addr, append([]byte{subscribe.FrameTold}, told.Encode()...), false, false)
}

// population has the leader tell the council who is there and who failed by itself, where that changed, and give back
// permits that ended and whose gateways are seen serving.
func (v *Voter) population() {
	_, leads := v.node.Leader()
	v.reports.Lead(v.now(), leads)
	if !leads || v.now() < v.reportAt {
		return
	}
	v.reportAt = v.now() + subscribe.Every
	m := v.node.Machine
	known := m.Targets()
	if targets, changed := v.reports.Targets(v.now(), known); changed {
		v.propose(&agreed.Command{Op: agreed.Population, Targets: targets})
	}
	for _, p := range m.Permits() {
		if p.Overdue && v.reports.Serving(v.now(), p.Target) {
			v.propose(&agreed.Command{Op: agreed.GiveBack, Target: p.Target, Fence: p.Fence, Reason: "seen back"})
		}
	}
}

// propose has the council do something of this voter's own; whether it came about is seen the next time.
func (v *Voter) propose(c *agreed.Command) {
	v.number++
	c.Who, c.Client, c.Number = "council", fmt.Sprint("voter/", v.conf.Name, "/", v.store.Identity, "/", v.begin.UnixNano()), v.number
	_, _ = v.node.Propose(v.now(), c)
}

// Admin.

// Request is a command as it comes by the admin address.
type Request struct {
	Op     string         `json:"op"` // budget, acquire, renew, give_back, revoke
	Client string         `json:"client"`
	Number uint64         `json:"number"`
	Who    string         `json:"who"`
	Target string         `json:"target,omitempty"`
	Reason string         `json:"reason,omitempty"`
	TermMs int64          `json:"term_ms,omitempty"`
	Fence  uint64         `json:"fence,omitempty"`
	Budget *agreed.Budget `json:"budget,omitempty"`
}

var ops = map[string]agreed.Op{"budget": agreed.SetBudget, "acquire": agreed.Acquire, "renew": agreed.Renew, "give_back": agreed.GiveBack, "revoke": agreed.Revoke}

// Status is what `reachwind fleet status` shows.
type Status struct {
	Name     string          `json:"name"`
	Quorum   bool            `json:"quorum"`
	Leader   string          `json:"leader"`
	Leading  bool            `json:"leading"`
	Term     uint64          `json:"term"`
	Index    uint64          `json:"index"`
	TimeMs   int64           `json:"time_ms"`
	Budgets  []agreed.Budget `json:"budgets"`
	Permits  []agreed.Permit `json:"permits"`
	Targets  []agreed.Target `json:"targets"`
	Releases []struct{}      `json:"releases"`
}

func (v *Voter) status() Status {
	id, leading := v.node.Leader()
	m := v.node.Machine
	s := Status{Name: v.conf.Name, Quorum: id != 0, Leader: v.name(id), Leading: leading, Term: v.node.Term(), Index: m.Index(), TimeMs: m.Time(),
		Budgets: m.Budgets(), Permits: m.Permits(), Targets: m.Targets(), Releases: []struct{}{}}
	if s.Budgets == nil {
		s.Budgets = []agreed.Budget{}
	}
	if s.Targets == nil {
		s.Targets = []agreed.Target{}
	}
	if s.Permits == nil {
		s.Permits = []agreed.Permit{}
	}
	return s
}

// ask has the owner run a function.
func (v *Voter) ask(ctx context.Context, do func()) error {
	select {
	case v.asks <- do:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (v *Voter) handler() http.Handler {
	mux := http.NewServeMux()
	reply := func(w http.ResponseWriter, code int, x any) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(code)
		_ = json.NewEncoder(w).Encode(x)
	}
	get := func(path string, f func() any) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), askWait)
			defer cancel()
			got := make(chan any, 1)
			if v.ask(ctx, func() { got <- f() }) == nil {
				select {
				case x := <-got:
					reply(w, http.StatusOK, x)
					return
				case <-ctx.Done():
				}
			}
			http.Error(w, "busy", http.StatusServiceUnavailable)
		})
	}
	get("/v1/status", func() any { return v.status() })
	get("/v1/history", func() any { return slices.Clone(v.node.Machine.History()) })
	mux.HandleFunc("POST /v1/command", func(w http.ResponseWriter, r *http.Request) {
		var q Request
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
		if err == nil {
			err = json.Unmarshal(text, &q)
		}
		op, ok := ops[q.Op]
		if err != nil || !ok || q.Client == "" || q.Number == 0 {
			http.Error(w, fmt.Sprintf("no command: %v, operation %q, client %q, number %d", err, q.Op, q.Client, q.Number), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), askWait)
		defer cancel()
		type end struct {
			res    agreed.Result
			err    error
			leader string
		}
		got := make(chan end, 1)
		c := &agreed.Command{Op: op, Client: q.Client, Number: q.Number, Who: q.Who, Target: q.Target, Reason: q.Reason, Term: q.TermMs, Fence: q.Fence, Budget: q.Budget}
		err = v.ask(ctx, func() {
			id, _ := v.node.Leader()
			tell := func(res agreed.Result, err error) { got <- end{res, err, v.name(id)} }
			if len(v.waiting) >= ticketsMost {
				tell(agreed.Result{}, ErrNotLeader)
				return
			}
			t, err := v.node.Propose(v.now(), c)
			if err != nil {
				tell(agreed.Result{}, err)
				return
			}
			v.waiting[t] = tell
		})
		if err == nil {
			select {
			case e := <-got:
				if e.err != nil {
					reply(w, http.StatusMisdirectedRequest, map[string]string{"leader": e.leader})
					return
				}
				reply(w, http.StatusOK, e.res)
				return
			case <-ctx.Done():
			}
		}
		http.Error(w, "not decided in time: it may still be", http.StatusServiceUnavailable)
	})
	return mux
}
