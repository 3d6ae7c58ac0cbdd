// Package simnet plays groups of gateways in virtual time: the same code that runs
// behind sockets, on a net whose links can be cut one way, delayed, lossy and
// repeating, with processes that stop, die and come back under old epochs, and
// clocks that run apart. All that is drawn comes from one seed.
package simnet

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"reachwind/internal/fleet/group"
	"reachwind/internal/fleet/quota"
	"reachwind/internal/fleet/swim"
	"reachwind/internal/fleet/view"
)

// Time is virtual time since the world began.
type Time = time.Duration

const (
	tick      = 100 * time.Millisecond
	queueMost = 500 // frames that wait for a process that is stopped; more are lost, as in a socket's buffer
)

// Link is what happens to frames from one process to another.
type Link struct {
	Cut           bool
	Delay, Jitter Time
	Loss, Repeat  float64
}

// Node is one process.
type Node struct {
	Name, Zone, Addr string
	G                *group.Group
	Up               bool
	Paused           bool
	Epoch            uint64
	Drift            float64 // its clock runs so much faster
	Use              [quota.BudgetCount]float64
	Bytes, Frames    int // sent
	Failures         int // peers taken for failed
	Changes          []Change

	w       *World
	started Time // of this start, in the world's time
	waiting []group.Event
	host    int // changes with each start, so that what was for an earlier one is lost
}

// Change is a change of a peer's state as a node saw it.
type Change struct {
	At    Time
	Node  string
	Peer  string
	State swim.State
}

// World is the net and its processes. It is not safe for concurrent use.
type World struct {
	Now     Time
	Rng     *rand.Rand
	Nodes   []*Node
	byAddr  map[string]*Node
	Usual   Link
	links   map[[2]string]Link
	queue   deliveries
	seq     int
	streams map[uint64]stream
	lastID  uint64
	Off     swim.Guard
	Lend    quota.Guard
	Seed    uint64
	OnAct   func(*Node, *group.Action) // sees each action; may be nil
	Check   func()                     // called after each event; may be nil
	Known   []string                   // addresses that all start with as seeds
}

type stream struct {
	from *Node
	host int
}

type delivery struct {
	at    Time
	seq   int
	to    *Node // nil: a tick of node
	host  int
	event group.Event
	tick  *Node
	do    func()
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// New returns a world without processes.
func New(seed uint64) *World {
	return &World{Rng: rand.New(rand.NewPCG(seed, 0x73696d)), Seed: seed, byAddr: map[string]*Node{}, links: map[[2]string]Link{},
		streams: map[uint64]stream{}, Usual: Link{Delay: 300 * time.Microsecond, Jitter: 200 * time.Microsecond}}
}

// Add adds a process and starts it. Its seeds are the world's.
func (w *World) Add(name, zone string) *Node {
	n := &Node{Name: name, Zone: zone, Addr: fmt.Sprintf("10.0.%d.%d:7946", len(w.Nodes)/250, len(w.Nodes)%250), w: w,
		Drift: 0.008 * (w.Rng.Float64() - 0.5)}
	w.Nodes = append(w.Nodes, n)
	w.byAddr[n.Addr] = n
	n.Start(0)
	return n
}

// Start starts a process that is not up. last is the epoch that its folder kept, 0 = it has none.
func (n *Node) Start(last uint64) {
	w := n.w
	n.host++
	n.Up, n.Paused, n.waiting = true, false, nil
	n.started = w.Now
	n.Epoch = group.NewEpoch(int64(w.Now/time.Millisecond)+1, uint16(w.Rng.Uint32()), last)
	n.G = group.New(group.Config{Started: n.clock(), Lend: w.Lend,
		Swim: swim.Config{Name: n.Name, Addr: n.Addr, Zone: n.Zone, Epoch: n.Epoch, Seeds: w.Known, Seed: w.Rng.Uint64(), DisabledGuards: w.Off}})
	w.push(delivery{at: w.Now + Time(w.Rng.Int64N(int64(tick))), tick: n, host: n.host})
}

// StartOld starts a process whose epoch is set, as from an old copy of its folder and a clock that went back.
func (n *Node) StartOld(epoch uint64) {
	n.Start(0)
	n.Epoch = epoch
	n.G = group.New(group.Config{Started: n.clock(), Lend: n.w.Lend,
		Swim: swim.Config{Name: n.Name, Addr: n.Addr, Zone: n.Zone, Epoch: epoch, Seeds: n.w.Known, Seed: n.w.Rng.Uint64(), DisabledGuards: n.w.Off}})
}

// Kill ends a process.
func (n *Node) Kill() { n.Up = false; n.host++ }

// Pause stops a process, or has it go on.
func (n *Node) Pause(yes bool) { n.Paused = yes }

// clock is the process's own monotonic clock.
func (n *Node) clock() Time { return Time(float64(n.w.Now-n.started) * (1 + n.Drift)) }

// Part is what the process may use of a budget now; nothing while it is down, and while it is stopped it uses none.
func (n *Node) Part(i int) float64 {
	if !n.Up || n.Paused {
		return 0
	}
	return n.G.Ledger.Quota(n.clock(), i)
}

// Set sets the link from one process to another.
func (w *World) Set(from, to *Node, l Link) { w.links[[2]string{from.Addr, to.Addr}] = l }

// Heal makes all links usual.
func (w *World) Heal() { clear(w.links) }

// Link is the link from one process to another.
func (w *World) Link(from, to *Node) Link {
	if l, ok := w.links[[2]string{from.Addr, to.Addr}]; ok {
		return l
	}
	return w.Usual
}

// At has f called at a time.
func (w *World) At(t Time, f func()) { w.push(delivery{at: t, do: f}) }

func (w *World) push(d delivery) {
	w.seq++
	d.seq = w.seq
	heap.Push(&w.queue, d)
}

// Run plays until t.
func (w *World) Run(t Time) {
	for len(w.queue) > 0 && w.queue[0].at <= t {
		d := heap.Pop(&w.queue).(delivery)
		w.Now = d.at
		switch {
		case d.do != nil:
			d.do()
		case d.tick != nil:
			if d.tick.host == d.host {
				w.push(delivery{at: w.Now + tick, tick: d.tick, host: d.host})
				if !d.tick.Paused {
					for i, u := range d.tick.Use {
						d.tick.G.Ledger.RecordUse(i, u)
					}
					d.tick.step()
				}
			}
		case d.to.Up && d.to.host == d.host:
			if d.to.Paused {
				if len(d.to.waiting) < queueMost {
					d.to.waiting = append(d.to.waiting, d.event)
				}
				continue
			}
			d.to.step(d.event)
		}
		if w.Check != nil {
			w.Check()
		}
	}
	w.Now = t
}

// step has a process take events, those that waited while it was stopped first.
func (n *Node) step(events ...group.Event) {
	if len(n.waiting) > 0 {
		waiting := n.waiting
		n.waiting = nil
		n.carry(n.G.Step(n.clock()))
		for _, e := range waiting {
			n.carry(n.G.Step(n.clock(), e))
		}
	}
	n.carry(n.G.Step(n.clock(), events...))
}

// carry carries actions out.
func (n *Node) carry(acts []group.Action) {
	w := n.w
	for i := range acts {
		a := &acts[i]
		if w.OnAct != nil {
			w.OnAct(n, a)
		}
		if c := a.Change; c != nil {
			if c.NewEpoch != 0 {
				n.Epoch = c.NewEpoch
			}
			if c.Peer.Name != "" && !c.Displaced {
				if c.Peer.State == swim.Failed {
					n.Failures++
				}
				n.Changes = append(n.Changes, Change{w.Now, n.Name, c.Peer.Name, c.Peer.State})
			}
		}
		if a.Frame == nil {
			continue
		}
		n.Bytes += len(a.Frame) + 28 + 45 // with the headers of datagrams and seals
		n.Frames++
		frame := append([]byte(nil), a.Frame...)
		switch {
		case a.Stream != 0:
			if s, ok := w.streams[a.Stream]; ok {
				delete(w.streams, a.Stream)
				w.transmit(n, s.from, s.host, group.Event{Frame: frame}, true)
			}
		case a.Dial:
			to := w.byAddr[a.To]
			if to == nil || w.Link(n, to).Cut || w.Link(to, n).Cut {
				continue
			}
			if !to.Up {
				w.transmit(to, n, n.host, group.Event{Refused: a.To}, true)
				continue
			}
			w.lastID++
			w.streams[w.lastID] = stream{n, n.host}
			w.transmit(n, to, to.host, group.Event{Frame: frame, Stream: w.lastID}, true)
		default:
			if to := w.byAddr[a.To]; to != nil {
				w.transmit(n, to, to.host, group.Event{Frame: frame}, false)
			}
		}
	}
}

// transmit sends a frame over a link. By a stream nothing is lost or repeated, but comes later for it.
func (w *World) transmit(from, to *Node, host int, e group.Event, whole bool) {
	l := w.Link(from, to)
	if l.Cut {
		return
	}
	times := 1
	late := Time(0)
	if w.Rng.Float64() < l.Loss {
		if !whole {
			return
		}
		late = 200*time.Millisecond + 2*l.Delay
	}
	if !whole && w.Rng.Float64() < l.Repeat {
		times = 2
	}
	for range times {
		at := w.Now + l.Delay + late
		if l.Jitter > 0 {
			at += Time(w.Rng.Int64N(int64(l.Jitter)))
		}
		w.push(delivery{at: at, to: to, host: host, event: e})
	}
}

// Common tells whether all processes that are up hold one view, in which all that are up are alive and no other is;
// if not, what is amiss.
func (w *World) Common() error {
	var first *Node
	for _, n := range w.Nodes {
		if !n.Up || n.G.Swim.Displaced() {
			continue
		}
		if first == nil {
			first = n
		}
		if d, e := n.G.Swim.Digest(), first.G.Swim.Digest(); d != e {
			return fmt.Errorf("%s holds another view than %s: %s, %s", n.Name, first.Name, n.table(), first.table())
		}
	}
	if n := first; n != nil { // all hold what the first holds: it is enough to look at that
		for _, o := range w.Nodes {
			if o == n || o.Name == n.Name {
				continue
			}
			p, ok := n.G.Swim.Peer(o.Name)
			switch {
			case o.Up && (!ok || p.State != swim.Alive || p.Epoch != o.Epoch) && !o.G.Swim.Displaced():
				return fmt.Errorf("%s takes %s, which is up as %d, for %v of %d (known %v)", n.Name, o.Name, o.Epoch, p.State, p.Epoch, ok)
			case !o.Up && ok && p.State <= swim.Suspect && !w.another(o):
				return fmt.Errorf("%s takes %s, which is down, for %v", n.Name, o.Name, p.State)
			}
		}
	}
	return nil
}

// another tells that another process that is up has n's name.
func (w *World) another(n *Node) bool {
	for _, o := range w.Nodes {
		if o != n && o.Up && o.Name == n.Name {
			return true
		}
	}
	return false
}

// Up are the processes that are up.
func (w *World) Up() (up []*Node) {
	for _, n := range w.Nodes {
		if n.Up {
			up = append(up, n)
		}
	}
	return up
}

// Verdicts counts the verdicts of the processes that are up.
func (w *World) Verdicts() map[view.Verdict]int {
	all := map[view.Verdict]int{}
	for _, n := range w.Nodes {
		if n.Up {
			all[n.G.View.Status().Verdict]++
		}
	}
	return all
}

// Until runs until held says nil, at most to t, and returns when that was, or what is amiss still.
func (w *World) Until(t Time, held func() error) (Time, error) {
	for {
		err := held()
		if err == nil || w.Now >= t {
			return w.Now, err
		}
		w.Run(min(t, w.Now+tick))
	}
}

func name(i int) string { return fmt.Sprintf("gw-%d", i) }

// table is a process's view in one line, for what went wrong.
func (n *Node) table() string {
	s := n.G.Swim.Self()
	line := fmt.Sprintf("[%s/%d/%d %v", s.Name, s.Epoch, s.Incarnation, s.State)
	for _, p := range n.G.Swim.Peers() {
		line += fmt.Sprintf(", %s/%d/%d %v", p.Name, p.Epoch, p.Incarnation, p.State)
	}
	return line + "]"
}
