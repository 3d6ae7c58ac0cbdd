// Package simcouncil plays councils in virtual time: the same node and state machine
// that run behind sockets and a disk, with messages that are lost, late and repeated,
// voters that are cut off, stopped, and die between any two steps of saving, sending
// and applying. What is drawn here comes from one seed; raft draws its election timeouts
// itself, so a seed gives the same faults and not the same history.
package simcouncil

import (
	"bytes"
	"container/heap"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/anishathalye/porcupine"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"reachwind/internal/fleet/agreed"
	"reachwind/internal/fleet/council"
)

// Time is virtual time since the world began.
type Time = time.Duration

const (
	tick     = 100 * time.Millisecond
	targets  = 4
	term     = 3 * time.Second
	drift    = 0.005 // clocks run apart by up to this
	budget   = 1
	patience = 2 * time.Second // after which a client gives its call up, not knowing
)

type voter struct {
	id      uint64
	node    *council.Node // nil while it is down
	disk    council.Saved
	paused  bool
	waiting []raftpb.Message
	drift   float64
	started Time
	calls   map[uint64]*call // by ticket
	life    int
	looked  uint64 // index at which its state was compared
	starts  uint64 // of its folder
	lives   council.Incarnation
	roll    *council.PeerIncarnations // on its disk
	copies  []folder                  // of its folder, taken while it ran
	gone    bool                      // it found that its folder is an old copy, and ended for good
	time    int64                     // the council's, as it had it last
}

// folder is a copy of what a voter keeps.
type folder struct {
	disk   council.Saved
	starts uint64
	lives  map[string]council.Incarnation
}

// GuardRoll is the roll of lives, by which an old copy of a folder is found out. It is the council's, not the state's.
const GuardRoll agreed.Guard = 1 << 15

type event struct {
	at  Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// world is a council, its net, and those who ask it.
type world struct {
	now     Time
	rng     *rand.Rand
	queue   events
	seq     int
	voters  []*voter
	cut     map[[2]uint64]bool
	loss    float64
	delay   Time
	off     agreed.Guard
	err     error
	states  map[uint64][]byte // by index, as the first voter had it
	last    uint64            // fence given
	clients []*client
	history []porcupine.Operation
	keys    []string // of the calls in it
	granted int
	faults  int
	ready   bool // the budget is set
	over    bool // no more faults
	olds    int  // folders that were put back from an old copy
}

// client takes targets out and brings them back, one after another.
type client struct {
	id     int
	name   string
	number uint64
	target string
	fence  uint64
	out    bool // its target is out, as it believes
	until  Time // by its own reckoning
	drift  float64
	call   *call
}

type call struct {
	c     *client
	cmd   agreed.Command
	began Time // first sent
	sent  Time
	done  bool
	index int // in the history
}

type input struct {
	op     agreed.Op
	target string
	fence  uint64
}

type output struct {
	ok      bool
	fence   uint64
	unknown bool
}

// Report is what a play showed.
type Report struct {
	Granted, Faults, Operations, Olds int
}

// Play plays a council by a seed with guards switched off, and returns the first rule broken.
func Play(seed uint64, off agreed.Guard) (r *Report, err error) {
	r = &Report{}
	defer func() {
		if p := recover(); p != nil { // raft finds that what was agreed is gone
			err = fmt.Errorf("raft gave up: %v", p)
		}
	}()
	return play(seed, off)
}

func play(seed uint64, off agreed.Guard) (*Report, error) {
	w := &world{rng: rand.New(rand.NewPCG(seed, 0x636f756e)), cut: map[[2]uint64]bool{}, off: off, states: map[uint64][]byte{}, delay: 2 * time.Millisecond}
	size := 3
	if w.rng.IntN(3) == 0 {
		size = 5
	}
	for i := range size {
		w.voters = append(w.voters, &voter{id: uint64(i + 1), drift: drift * (2*w.rng.Float64() - 1), roll: &council.PeerIncarnations{ByName: map[string]council.Incarnation{}, Disabled: off&GuardRoll != 0}})
	}
	for _, v := range w.voters {
		w.start(v)
	}
	w.at(time.Second, func() { w.setBudget() })
	for i := range 4 {
		c := &client{id: i, name: fmt.Sprint("client-", i), drift: drift * (2*w.rng.Float64() - 1)}
		w.clients = append(w.clients, c)
		w.at(2*time.Second+Time(w.rng.Int64N(int64(time.Second))), func() { w.next(c) })
	}
	w.at(2*time.Second, w.fault)
	const end = 40 * time.Second
	for len(w.queue) > 0 && w.queue[0].at < end && w.err == nil {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		w.check()
	}
	r := &Report{Granted: w.granted, Faults: w.faults, Operations: len(w.history), Olds: w.olds}
	if w.err != nil {
		return r, w.err
	}
	// After the last fault one leads and all that are up agree.
	clear(w.cut)
	w.over = true
	w.loss, w.delay = 0, 2*time.Millisecond
	for _, v := range w.voters {
		v.paused = false
		if v.node == nil && !v.gone {
			w.start(v)
		}
	}
	for limit := w.now + 30*time.Second; len(w.queue) > 0 && w.queue[0].at < limit && w.err == nil; {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		if w.leader() != nil && w.same() && w.err == nil { // whoever answered last may have been down till now
			return r, w.inOrder(seed%50 == 0)
		}
	}
	if w.err == nil {
		w.err = fmt.Errorf("no leader, or not all agree, 30 s after the last fault")
	}
	return r, w.err
}

func (w *world) at(t Time, do func()) {
	w.seq++
	heap.Push(&w.queue, event{t, w.seq, do})
}

func (w *world) clock(v *voter) Time { return Time(float64(w.now-v.started) * (1 + v.drift)) }

func (w *world) start(v *voter) {
	var ids []uint64
	for i := range w.voters {
		ids = append(ids, uint64(i+1))
	}
	v.started = w.now
	v.calls = map[uint64]*call{}
	v.waiting = nil
	v.life++
	v.time = 0
	v.starts++
	v.lives = council.Incarnation{Identity: v.id, Starts: v.starts, ProcessID: w.rng.Uint64() | 1}
	n, err := council.NewNode(council.NodeConfig{ID: v.id, Voters: ids, Log: slog.New(slog.DiscardHandler), Off: w.off}, clone(v.disk), 0)
	if err != nil {
		w.err = fmt.Errorf("voter %d does not start: %w", v.id, err)
		return
	}
	v.node, v.paused = n, false
	w.tick(v, v.life)
}

// clone is what a disk gives: nothing that the process held is shared with it.
func clone(s council.Saved) council.Saved {
	s.Entries = append([]raftpb.Entry(nil), s.Entries...)
	return s
}

func (w *world) tick(v *voter, life int) {
	if v.life != life {
		return
	}
	if v.node != nil && !v.paused {
		v.node.Tick(w.clock(v))
		w.work(v)
		if w.rng.IntN(40) == 0 && len(v.copies) < 8 { // somebody copies its folder
			v.copies = append(v.copies, folder{clone(v.disk), v.starts, maps.Clone(v.roll.ByName)})
		}
	}
	w.at(w.now+tick, func() { w.tick(v, life) })
}

// work does what a Ready says, and dies between any two of its steps where the seed says so.
func (w *world) work(v *voter) {
	for v.node != nil {
		r, ok := v.node.Ready()
		if !ok {
			return
		}
		if w.dies(v) { // before anything is saved
			return
		}
		save(&v.disk, &r.Save)
		if w.dies(v) { // saved and not told
			return
		}
		for _, m := range r.Messages {
			w.send(v, m)
		}
		if w.dies(v) { // told and not applied
			return
		}
		snap := v.node.Advance(&r)
		if r.Fatal != nil {
			w.err = fmt.Errorf("voter %d: %w", v.id, r.Fatal)
			return
		}
		if !raft.IsEmptySnap(snap) {
			save(&v.disk, &council.Saved{Snapshot: snap})
		}
		for _, d := range r.Results {
			if c := v.calls[d.Ticket]; c != nil {
				delete(v.calls, d.Ticket)
				w.answered(c, d)
			}
		}
	}
}

// save does to a disk what council.Store does.
func save(d *council.Saved, s *council.Saved) {
	if !raft.IsEmptySnap(s.Snapshot) {
		d.Snapshot = s.Snapshot
		for len(d.Entries) > 0 && d.Entries[0].Index <= s.Snapshot.Metadata.Index {
			d.Entries = d.Entries[1:]
		}
	}
	if !raft.IsEmptyHardState(s.Hard) {
		d.Hard = s.Hard
	}
	if len(s.Entries) > 0 {
		keep := 0
		for keep < len(d.Entries) && d.Entries[keep].Index < s.Entries[0].Index {
			keep++
		}
		d.Entries = append(append([]raftpb.Entry(nil), d.Entries[:keep]...), s.Entries...)
	}
}

func (w *world) dies(v *voter) bool {
	if w.over || w.now < 2*time.Second || w.rng.IntN(4000) > 0 {
		return false
	}
	w.kill(v, Time(w.rng.Int64N(int64(5*time.Second))))
	return true
}

func (w *world) kill(v *voter, back Time) {
	w.faults++
	v.node = nil
	v.life++
	life := v.life
	w.at(w.now+back, func() {
		if v.node == nil && v.life == life && !v.gone {
			w.start(v)
		}
	})
}

func (w *world) send(from *voter, m raftpb.Message) {
	to := w.voters[m.To-1]
	if w.cut[[2]uint64{m.From, m.To}] || w.rng.Float64() < w.loss {
		return
	}
	life, known := from.lives, from.roll.ByName[fmt.Sprint(to.id)]
	times := 1
	if w.rng.IntN(50) == 0 {
		times = 2
	}
	for range times {
		at := w.now + w.delay/2 + Time(w.rng.Int64N(int64(w.delay)))
		w.at(at, func() {
			switch {
			case to.node == nil:
			case !to.paused && !w.meets(to, from.id, life, known):
			case to.paused:
				if len(to.waiting) < 100 {
					to.waiting = append(to.waiting, m)
				}
			default:
				w.receive(to, m)
			}
		})
	}
}

// receive does what a voter does with a message: it ends where that tells that its folder is an old copy.
func (w *world) receive(to *voter, m raftpb.Message) {
	switch err := to.node.Receive(w.clock(to), m); {
	case errors.Is(err, council.ErrOldCopy) && w.off&GuardRoll == 0:
		w.kill(to, 0)
		to.gone = true
	case err != nil:
		if w.err == nil {
			w.err = fmt.Errorf("voter %d: %w", to.id, err)
		}
	default:
		w.work(to)
	}
}

// meets does what a voter does with the lives that a message carries: it takes none of a past one, and ends where others
// know a later life of its own folder.
func (w *world) meets(to *voter, from uint64, l, known council.Incarnation) bool {
	if w.off&GuardRoll == 0 && known.Identity == to.id && (known.Starts > to.lives.Starts || known.Starts == to.lives.Starts && known.ProcessID != to.lives.ProcessID) {
		w.kill(to, 0)
		to.gone = true
		return false
	}
	m := to.roll.Check(fmt.Sprint(from), l, nil)
	return m == council.IncarnationSame || m == council.IncarnationNew
}

// putBack puts an old copy of a voter's folder in place, where all others have heard of its present life: one that none
// of those whom the copy reaches ever heard of can't be found out, and is not claimed to be. Nor is one that was taken
// within the present life, before the leader tells how far its log went: it may vote till then. ROADMAP has it.
func (w *world) putBack(v *voter) {
	var can []folder
	for _, c := range v.copies {
		if c.starts < v.starts || w.off&GuardRoll != 0 {
			can = append(can, c)
		}
	}
	if len(can) == 0 || w.olds > 0 {
		return
	}
	for _, o := range w.voters {
		if o != v && (o.gone || o.roll.ByName[fmt.Sprint(v.id)] != v.lives) {
			return
		}
	}
	c := can[w.rng.IntN(len(can))]
	w.olds++
	v.disk, v.starts, v.roll.ByName = clone(c.disk), c.starts, maps.Clone(c.lives)
}

// fault draws a fault, ends earlier ones now and then, and draws on.
func (w *world) fault() {
	if w.over {
		return
	}
	w.faults++
	v := w.voters[w.rng.IntN(len(w.voters))]
	if l := w.leader(); l != nil && w.rng.IntN(2) == 0 {
		v = l
	}
	switch w.rng.IntN(8) {
	case 0:
		if v.node != nil {
			w.kill(v, Time(w.rng.Int64N(int64(4*time.Second))))
			if w.rng.IntN(3) == 0 {
				w.putBack(v)
			}
		}
	case 1: // stopped, past its terms and leases
		if v.node != nil && !v.paused {
			v.paused = true
			life := v.life
			w.at(w.now+Time(w.rng.Int64N(int64(6*time.Second))), func() {
				if v.life != life || !v.paused {
					return
				}
				v.paused = false
				waiting := v.waiting
				v.waiting = nil
				for _, m := range waiting {
					if v.node != nil {
						w.receive(v, m)
					}
				}
			})
		}
	case 2: // cut off
		for _, o := range w.voters {
			w.cut[[2]uint64{v.id, o.id}], w.cut[[2]uint64{o.id, v.id}] = true, true
		}
	case 3: // one way
		for _, o := range w.voters {
			w.cut[[2]uint64{v.id, o.id}] = true
		}
	case 4:
		o := w.voters[w.rng.IntN(len(w.voters))]
		w.cut[[2]uint64{v.id, o.id}] = true
	case 5:
		w.loss, w.delay = 0.3, 200*time.Millisecond
	default:
		clear(w.cut)
		w.loss, w.delay = 0, 2*time.Millisecond
	}
	w.at(w.now+Time(w.rng.Int64N(int64(3*time.Second))), w.fault)
}

func (w *world) leader() *voter {
	for _, v := range w.voters {
		if v.node != nil && !v.paused {
			if _, leads := v.node.Leader(); leads {
				return v
			}
		}
	}
	return nil
}

// Clients.

func (w *world) setBudget() {
	c := &client{id: 99, name: "operator"}
	w.call(c, agreed.Command{Op: agreed.SetBudget, Budget: &agreed.Budget{Kind: "gateways", MaxOut: budget}})
}

// next has a client do what comes next: take a target out, or bring it back.
func (w *world) next(c *client) {
	if w.now > 36*time.Second || c.call != nil {
		return
	}
	if !w.ready { // there is no budget yet
		w.at(w.now+200*time.Millisecond, func() { w.next(c) })
		return
	}
	if c.fence == 0 {
		c.target = fmt.Sprint("gateway/gw-", w.rng.IntN(targets))
		w.call(c, agreed.Command{Op: agreed.Acquire, Target: c.target, Term: term.Milliseconds()})
		return
	}
	c.out = false // it is back before it is given back, as a command has ended by then
	w.call(c, agreed.Command{Op: agreed.GiveBack, Target: c.target, Fence: c.fence})
}

func (w *world) call(c *client, cmd agreed.Command) {
	c.number++
	cmd.Client, cmd.Number, cmd.Actor = c.name, c.number, c.name
	q := &call{c: c, cmd: cmd, began: w.now}
	c.call = q
	if c.id != 99 {
		q.index = len(w.history)
		w.keys = append(w.keys, fmt.Sprint(c.name, "/", c.number))
		w.history = append(w.history, porcupine.Operation{ClientId: c.id, Input: input{cmd.Op, cmd.Target, cmd.Fence}, Call: int64(w.now), Output: output{unknown: true}, Return: 1 << 60})
	}
	w.try(q)
}

// try sends a call to some voter, and again elsewhere while there is no answer, under the same number.
func (w *world) try(q *call) {
	if q.done {
		return
	}
	if q.c.id != 99 && w.now-q.began > patience { // it gives up, not knowing what came of it
		q.done = true
		q.c.call = nil
		if q.cmd.Op == agreed.Acquire {
			q.c.fence = 0
		}
		w.at(w.now+Time(w.rng.Int64N(int64(time.Second))), func() { w.next(q.c) })
		return
	}
	v := w.voters[w.rng.IntN(len(w.voters))]
	if v.node != nil && !v.paused {
		cmd := q.cmd
		if t, err := v.node.Propose(w.clock(v), &cmd); err == nil {
			v.calls[t] = q
			w.work(v)
		}
	}
	w.at(w.now+Time(50+w.rng.IntN(300))*time.Millisecond, func() { w.try(q) })
}

// answered takes a result as the client hears it, unless the client has given up.
func (w *world) answered(q *call, d council.CommandResult) {
	if d.Err != nil || q.done {
		return
	}
	q.done = true
	c := q.c
	c.call = nil
	if c.id == 99 {
		w.ready = true
		return
	}
	o := output{ok: d.Result.OK}
	if q.cmd.Op == agreed.Acquire && d.Result.OK {
		o.fence = d.Result.Permit.Fence
		w.granted++
		// It counts its span from before it asked, on its own clock.
		until := q.began + Time(float64(term)/(1+c.drift)*(1-2*drift))
		c.fence = o.fence
		if w.now < until {
			c.out, c.until = true, until
		}
	}
	if q.cmd.Op == agreed.GiveBack {
		c.fence, c.out = 0, false
	}
	w.history[q.index].Output, w.history[q.index].Return = o, int64(w.now)
	w.at(w.now+Time(w.rng.Int64N(int64(4*time.Second))), func() { w.next(c) })
}

// check looks at what must never be: more out than the budget, a fence given twice, two voters with different states
// for one index, council time ahead of what any clock can have run.
func (w *world) check() {
	out := 0
	held := map[string]int{}
	for _, c := range w.clients {
		if c.out && w.now >= c.until { // its target is still out; the council counts it until it is given back
			c.out = false
		}
		if c.out {
			out++
			held[c.target]++
		}
	}
	if out > budget && w.err == nil {
		w.err = fmt.Errorf("at %v %d targets are out, budget %d", w.now, out, budget)
	}
	for _, v := range w.voters {
		if v.node == nil {
			continue
		}
		m := v.node.Machine
		if m.Time() < v.time && w.err == nil {
			w.err = fmt.Errorf("at %v council time went back from %d to %d ms at voter %d", w.now, v.time, m.Time(), v.id)
		}
		v.time = m.Time()
		if m.Time() > int64(float64(w.now.Milliseconds())*(1+drift))+1 && w.err == nil {
			w.err = fmt.Errorf("at %v council time is %d ms, ahead of all clocks", w.now, m.Time())
		}
		at := m.Index()
		if at == 0 || at%8 != 0 || v.looked == at { // now and then is enough: what differs once differs for good
			continue
		}
		v.looked = at
		if first, ok := w.states[at]; !ok {
			w.states[at] = m.Snapshot()
		} else if !bytes.Equal(first, m.Snapshot()) && w.err == nil {
			w.err = fmt.Errorf("at %v voter %d has another state for index %d", w.now, v.id, at)
		}
	}
}

func (w *world) same() bool {
	var first []byte
	for _, v := range w.voters {
		if v.gone {
			continue
		}
		if v.node == nil {
			return false
		}
		if s := v.node.Machine.Snapshot(); first == nil {
			first = s
		} else if !bytes.Equal(first, s) {
			return false
		}
	}
	return true
}

// model is what permits are, one after another: a target has one holder, at most a budget's worth are out, fences grow.
// Ends of terms are not in it: who holds an ended permit still counts.
type model struct {
	last uint64
	held [targets]uint64
}

// inOrder checks the calls against the order in which the council did them: that order must explain each answer, and
// must not turn around two calls of which one had ended before the other began. It is linearizability with the order
// known, so it takes no search.
func (w *world) inOrder(search bool) error {
	m := w.model()
	var first *voter
	for _, v := range w.voters {
		if v.node != nil && (first == nil || v.node.Machine.Index() > first.node.Machine.Index()) {
			first = v
		}
	}
	if first == nil {
		return nil
	}
	done := map[string]agreed.Entry{}
	state := m.Init()
	for _, e := range first.node.Machine.History() {
		if e.Target == "" || e.Actor == "operator" || e.Actor == "" {
			continue
		}
		key := fmt.Sprint(e.Actor, "/", e.Number)
		if _, twice := done[key]; twice {
			return fmt.Errorf("call %s was done twice", key)
		}
		done[key] = e
		in := input{agreed.Acquire, e.Target, 0}
		out := output{ok: e.OK, fence: e.Fence}
		if e.Action == "given back" {
			in.op, in.fence = agreed.GiveBack, e.Fence
		}
		var ok bool
		if ok, state = m.Step(state, in, out); !ok {
			return fmt.Errorf("entry %d, %s %s by %s with result %q, does not follow from those before it", e.Index, e.Action, e.Target, e.Actor, e.Result)
		}
	}
	for i, a := range w.history {
		out := a.Output.(output)
		ea, known := done[w.keys[i]]
		if out.unknown {
			continue
		}
		if !known || ea.OK != out.ok || a.Input.(input).op == agreed.Acquire && out.ok && ea.Fence != out.fence {
			return fmt.Errorf("call %s was answered %+v, the council has %+v", w.keys[i], out, ea)
		}
		for j, b := range w.history {
			if eb, ok := done[w.keys[j]]; ok && a.Return < b.Call && eb.Index < ea.Index {
				return fmt.Errorf("call %s ended before %s began, and was done after it", w.keys[i], w.keys[j])
			}
		}
	}
	// A call whose answer is not known returns at the end of time: if it had no effect, it comes after all others.
	if search && porcupine.CheckOperationsTimeout(m, w.history, time.Second) == porcupine.Illegal {
		return fmt.Errorf("the history of %d calls is not linearizable", len(w.history))
	}
	return nil
}

func (w *world) model() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return model{} },
		Step: func(state, in, out any) (bool, any) {
			s, i, o := state.(model), in.(input), out.(output)
			k := int(i.target[len(i.target)-1] - '0')
			switch i.op {
			case agreed.Acquire:
				n := 0
				for _, f := range s.held {
					if f > 0 {
						n++
					}
				}
				if n >= budget || s.held[k] > 0 {
					return o.unknown || !o.ok, s
				}
				if o.unknown { // a fence that nobody heard of
					s.last++
					s.held[k] = s.last
					return true, s
				}
				if !o.ok || o.fence <= s.last {
					return false, s
				}
				s.last, s.held[k] = o.fence, o.fence
				return true, s
			case agreed.GiveBack:
				if s.held[k] != i.fence {
					return o.unknown || !o.ok, s
				}
				s.held[k] = 0
				return o.unknown || o.ok, s
			}
			return false, s
		},
	}
}
