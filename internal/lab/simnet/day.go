package simnet

import (
	"errors"
	"fmt"
	"math"
	"time"

	"reachwind/internal/fleet/group"
	"reachwind/internal/fleet/observation"
	"reachwind/internal/fleet/quota"
	"reachwind/internal/fleet/swim"
	"reachwind/internal/fleet/view"
)

// Bounds of what must come about.
const (
	joinWithin = 60 * time.Second
	healWithin = 3 * time.Minute
	splitKnown = 40 * time.Second // after which two sides of a cut must not both think that they are whole
)

// Report is what a day showed.
type Report struct {
	Faults    []string
	Converged Time                       // after the last fault
	Most      [quota.BudgetCount]float64 // of a budget in use at once, over the sum of the own parts
	Frames    int
}

// Day plays a day of faults drawn from a seed with the given guards switched off, and returns the first rule broken.
// What must never happen is looked at after every event, what must come about within a generous bound.
func Day(seed uint64, off swim.Guard, lend quota.Guard) (*Report, error) {
	w := New(seed)
	w.Off, w.Lend = off, lend
	d := &day{w: w, rep: &Report{}, quiet: -time.Hour}
	w.Known = []string{"10.0.0.0:7946", "10.0.0.1:7946"}
	size := 3 + w.Rng.IntN(11)
	for i := range size {
		w.Add(name(i), string(rune('a'+i%3)))
	}
	w.Check = d.check
	if _, err := w.Until(joinWithin, w.Common); err != nil {
		return d.rep, fmt.Errorf("after the start: %w", err)
	}
	for range 2 + w.Rng.IntN(5) {
		d.demand()
		if err := d.fault(); err != nil {
			return d.rep, err
		}
		d.quiet = w.Now
	}
	w.Heal()
	w.Usual = Link{Delay: 300 * time.Microsecond, Jitter: 200 * time.Microsecond}
	for _, n := range w.Nodes {
		n.Pause(false)
		if !n.Up && w.Rng.IntN(4) > 0 && !w.another(n) {
			n.Start(0)
		}
	}
	if first := w.Nodes[0]; !first.Up && !w.Nodes[1].Up { // who knows no address of anyone can't be found
		for _, n := range w.Nodes {
			if n.Name == first.Name && n.Up {
				n.Kill()
			}
		}
		first.Start(0)
	}
	last := w.Now
	at, err := w.Until(w.Now+healWithin, w.Common)
	if err != nil {
		return d.rep, fmt.Errorf("not one view %v after the last fault: %w", healWithin, err)
	}
	d.rep.Converged = at - last
	for _, n := range w.Nodes {
		d.rep.Frames += n.Frames
	}
	if d.err != nil {
		return d.rep, d.err
	}
	w.Run(w.Now + 30*time.Second) // what is under way comes to rest
	before := d.changes()
	w.Run(w.Now + 30*time.Second)
	if n := d.changes() - before; n > 0 {
		return d.rep, fmt.Errorf("%d changes of state in a calm half a minute", n)
	}
	return d.rep, d.err
}

type day struct {
	w     *World
	rep   *Report
	err   error
	quiet Time // end of the last fault
	tape  []recorded
	lone  *Node // knows no address of another
}

// found gives who knows nobody the seeds, where those who know it are about to forget: nobody could find the other.
func (d *day) found() {
	if n := d.lone; n != nil && n.Up && !n.Paused {
		n.step(group.Event{Seeds: d.w.Known})
	}
	d.lone = nil
}

type recorded struct {
	to    *Node
	frame []byte
}

func (d *day) changes() (n int) {
	for _, o := range d.w.Nodes {
		n += len(o.Changes)
	}
	return n
}

// demand draws what each uses of the shared budgets: most little, some several times their own part.
func (d *day) demand() {
	for _, n := range d.w.Nodes {
		for i := range n.Use {
			n.Use[i] = 0.1
			if d.w.Rng.IntN(3) == 0 {
				n.Use[i] = 3 * d.w.Rng.Float64()
			}
		}
	}
}

// check looks at what must never be.
func (d *day) check() {
	names := map[string]bool{}
	for _, n := range d.w.Nodes {
		names[n.Name] = true
	}
	for i := range quota.BudgetCount {
		sum := 0.0
		for _, n := range d.w.Nodes {
			sum += n.Part(i)
		}
		over := sum / float64(len(d.w.Nodes))
		d.rep.Most[i] = math.Max(d.rep.Most[i], over)
		if over > 1+1e-9 && d.err == nil {
			d.err = fmt.Errorf("at %v %.3f of budget %s is in use by all together", d.w.Now, over, quota.BudgetNames[i])
		}
	}
}

// note adds to the day's faults.
func (d *day) note(format string, args ...any) {
	d.rep.Faults = append(d.rep.Faults, fmt.Sprintf("%v ", d.w.Now.Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

func (d *day) span() Time {
	return []Time{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, 60 * time.Second}[d.w.Rng.IntN(6)]
}

// fault plays one fault to its end, or leaves it on for the next.
func (d *day) fault() error {
	w := d.w
	any := func() *Node { return w.Nodes[w.Rng.IntN(len(w.Nodes))] }
	span := d.span()
	switch w.Rng.IntN(14) {
	case 0: // one way
		a, b := any(), any()
		if w.Rng.IntN(2) == 0 { // from a calm, so that nothing else can be the cause of what follows
			w.Heal()
			w.Run(w.Now + 20*time.Second)
		}
		calm := len(w.links) == 0 && a != b && d.calm() && w.Common() == nil && len(w.Up()) > 2
		d.note("%s to %s is cut one way for %v", a.Name, b.Name, span)
		began := w.Now
		w.Set(a, b, Link{Cut: true})
		w.Run(w.Now + span)
		for _, n := range w.Nodes {
			for _, c := range n.Changes {
				if calm && c.At > began && c.State == swim.Suspect {
					return fmt.Errorf("%s, whom others reach, is suspected by %s at %v for a cut one way", c.Peer, c.Node, c.At)
				}
			}
		}
	case 1, 2:
		return d.split(span)
	case 3: // two halves that both see one
		bridge := any()
		d.note("two halves see each other by %s only, for %v", bridge.Name, span)
		d.cut(func(a, b *Node) bool { return a != bridge && b != bridge && d.half(a) != d.half(b) })
		w.Run(w.Now + span)
		w.Heal()
	case 4:
		return d.pause([]Time{time.Second, 5 * time.Second, 30 * time.Second}[w.Rng.IntN(3)])
	case 5: // most are killed, and come back knowing nothing but the seeds
		d.found()
		d.note("7 in 10 are killed, back after up to %v", span)
		for _, n := range w.Nodes {
			if n.Up && w.Rng.IntN(10) < 7 {
				n.Kill()
				last := uint64(0)
				if w.Rng.IntN(2) == 0 {
					last = n.Epoch
				}
				w.At(w.Now+Time(w.Rng.Int64N(int64(span))), func() {
					if !n.Up && !w.another(n) {
						n.Start(last)
					}
				})
			}
		}
		w.Run(w.Now + span)
	case 6: // back under an old epoch
		n := any()
		old := n.Epoch - 1 - uint64(w.Rng.IntN(1000))
		d.note("%s comes back after %v under epoch %d, was %d", n.Name, span, old, n.Epoch)
		n.Kill()
		w.Run(w.Now + min(span, 10*time.Second))
		if known := w.Known; !w.another(n) {
			if w.Rng.IntN(2) == 0 { // and knows nobody: those who look for it must tell it
				w.Known = []string{n.Addr}
				d.lone = n
			}
			n.StartOld(old)
			w.Known = known
		}
		w.Run(w.Now + time.Second)
	case 7: // one zone's links are slow and lossy
		zone := any().Zone
		d.note("links of zone %s take 800 ms and lose 3 in 10, for %v", zone, span)
		for _, a := range w.Nodes {
			for _, b := range w.Nodes {
				if (a.Zone == zone) != (b.Zone == zone) {
					w.Set(a, b, Link{Delay: 800 * time.Millisecond, Jitter: 200 * time.Millisecond, Loss: 0.3})
				}
			}
		}
		w.Run(w.Now + span)
		w.Heal()
	case 8:
		d.note("frames are repeated and overtake each other for %v", span)
		w.Usual.Repeat, w.Usual.Jitter = 0.2, 300*time.Millisecond
		w.Run(w.Now + span)
		w.Usual = Link{Delay: 300 * time.Microsecond, Jitter: 200 * time.Microsecond}
	case 9:
		d.lie()
		w.Run(w.Now + min(span, 10*time.Second))
	case 10: // what was sent is sent again later
		d.note("%d recorded frames are played again", len(d.tape))
		for _, r := range d.tape {
			if r.to.Up {
				w.push(delivery{at: w.Now + Time(w.Rng.Int64N(int64(5*time.Second))), to: r.to, host: r.to.host, event: group.Event{Frame: r.frame}})
			}
		}
		d.tape = nil
		w.OnAct = func(n *Node, a *group.Action) {
			if to := w.byAddr[a.To]; a.Frame != nil && to != nil && len(d.tape) < 300 {
				d.tape = append(d.tape, recorded{to, append([]byte(nil), a.Frame...)})
			}
		}
		w.Run(w.Now + 6*time.Second)
	case 12:
		return d.haunt()
	case 13:
		return d.doze()
	case 11: // two under one name
		n := any()
		if w.another(n) || !n.Up {
			return nil
		}
		d.note("a second process under the name %s, for %v", n.Name, span)
		earlier := n.Epoch
		twin := w.Add(n.Name, n.Zone)
		own := twin.Epoch
		w.Run(w.Now + span)
		if twin.Epoch != own && earlier < own {
			return fmt.Errorf("the later start under the name %s went from epoch %d to %d: the earlier does not yield", n.Name, own, twin.Epoch)
		}
		if w.Rng.IntN(2) == 0 {
			twin.Kill()
		} else {
			n.Kill()
		}
	}
	return d.err
}

// haunt plays what a process sent to earlier starts of the others again and again, after it has died: nobody must
// take it for alive by that.
func (d *day) haunt() error {
	w := d.w
	dead := w.Nodes[w.Rng.IntN(len(w.Nodes))]
	if !dead.Up || w.another(dead) || dead.G.Swim.Displaced() || len(w.links) > 0 {
		return nil
	}
	d.found()
	d.note("%s dies, and what it sent before the others started anew is played again for a minute", dead.Name)
	var tape []recorded
	w.OnAct = func(n *Node, a *group.Action) {
		if to := w.byAddr[a.To]; n == dead && a.Frame != nil && to != nil && len(tape) < 100 {
			tape = append(tape, recorded{to, append([]byte(nil), a.Frame...)})
		}
	}
	w.Run(w.Now + 15*time.Second)
	w.OnAct = nil
	for _, n := range w.Nodes {
		if n != dead && n.Up && !w.another(n) {
			n.Kill()
			n.Start(n.Epoch)
		}
	}
	if _, err := w.Until(w.Now+joinWithin, w.Common); err != nil {
		return fmt.Errorf("after all but one started anew: %w", err)
	}
	dead.Kill()
	for range 300 {
		for _, r := range tape {
			if r.to.Up && w.Rng.IntN(10) == 0 {
				w.transmit(dead, r.to, r.to.host, group.Event{Frame: r.frame}, false)
			}
		}
		w.Run(w.Now + 200*time.Millisecond)
	}
	for _, n := range w.Nodes {
		if p, ok := n.G.Swim.Peer(dead.Name); n.Up && !n.G.Swim.Displaced() && ok && p.State <= swim.Suspect {
			return fmt.Errorf("%s takes %s, dead for a minute, for %v", n.Name, dead.Name, p.State)
		}
	}
	return d.err
}

// half divides the processes in two.
func (d *day) half(n *Node) bool { return int(n.Addr[len(n.Addr)-6]-'0')%2 == 0 }

func (d *day) cut(where func(a, b *Node) bool) {
	for _, a := range d.w.Nodes {
		for _, b := range d.w.Nodes {
			if a != b && where(a, b) {
				d.w.Set(a, b, Link{Cut: true})
			}
		}
	}
}

// split cuts the group in two or three, or a zone from the others, once or again and again.
func (d *day) split(span Time) error {
	w := d.w
	parts := 2 + w.Rng.IntN(2)
	side := map[*Node]int{}
	byZone := w.Rng.IntN(2) == 0
	for _, n := range w.Nodes {
		if side[n] = w.Rng.IntN(parts); byZone {
			side[n] = int(n.Zone[0]) % parts
		}
	}
	times := 1
	if span <= 2*time.Second {
		times = 1 + w.Rng.IntN(5)
	}
	d.note("split in %d (by zone %v) for %v, %d times", parts, byZone, span, times)
	for range times {
		d.cut(func(a, b *Node) bool { return side[a] != side[b] })
		began := w.Now
		w.Run(w.Now + min(span, splitKnown))
		if span > splitKnown {
			for w.Now < began+span && d.err == nil {
				d.oneWhole(side)
				w.Run(w.Now + time.Second)
			}
		}
		w.Heal()
		w.Run(w.Now + span)
	}
	return d.err
}

// oneWhole looks whether two sides of a lasting cut both think that they are whole. Who was up before the cut knows the
// others; one that starts alone on its side can't.
func (d *day) oneWhole(side map[*Node]int) {
	whole := map[int]string{}
	for n, s := range side {
		if n.Up && !n.Paused && n.clock() > 2*splitKnown && n.G.View.Status().Verdict == view.Majority {
			whole[s] = n.Name
		}
	}
	if len(whole) > 1 && d.err == nil {
		d.err = fmt.Errorf("at %v two sides of a cut think that they are whole: %v", d.w.Now, whole)
	}
}

// doze stops one that suspects another, which is stopped too but goes on soon: when it wakes, the other has long denied
// it, and that word waits to be read.
func (d *day) doze() error {
	w := d.w
	n, other := w.Nodes[0], w.Nodes[1]
	w.Heal()
	w.Run(w.Now + 25*time.Second)
	if !n.Up || !other.Up || w.Common() != nil || !d.calm() || len(w.Up()) < 3 {
		return d.err
	}
	d.note("%s is stopped until %s suspects it, which is stopped then for 30s", other.Name, n.Name)
	other.Pause(true)
	_, err := w.Until(w.Now+20*time.Second, func() error {
		if p, _ := n.G.Swim.Peer(other.Name); p.State == swim.Suspect {
			return nil
		}
		return errors.New("not suspected")
	})
	n.Pause(err == nil)
	w.Run(w.Now + 500*time.Millisecond)
	other.Pause(false)
	w.Run(w.Now + 30*time.Second)
	n.Pause(false)
	woke := w.Now
	w.Run(w.Now + 2*time.Second)
	for _, o := range w.Nodes { // told by others is not its own judgement
		for _, c := range o.Changes {
			if o != n && c.Peer == other.Name && c.State == swim.Failed && c.At > woke-time.Minute {
				return d.err
			}
		}
	}
	for _, c := range n.Changes {
		if err == nil && c.At >= woke && c.Peer == other.Name && c.State == swim.Failed {
			return fmt.Errorf("%s woke at %v and took %s for failed, which was there for half a minute", n.Name, woke, c.Peer)
		}
	}
	return d.err
}

// calm tells that what the last fault led to is over, and nobody has lost its name.
func (d *day) calm() bool {
	for _, n := range d.w.Nodes {
		if n.G.Swim.Displaced() && n.Up {
			return false
		}
	}
	return d.w.Now-d.quiet >= 20*time.Second
}

// pause stops one process or half of them. One that was stopped a little while blames nobody.
func (d *day) pause(span Time) error {
	w := d.w
	var stopped []*Node
	half := w.Rng.IntN(2) == 0
	usual := w.Usual
	if w.Rng.IntN(2) == 0 { // slow links, so that answers are under way when it is stopped
		w.Usual.Delay = 150 * time.Millisecond
		w.Run(w.Now + 20*time.Second) // until that is what is usual
	}
	defer func() { w.Usual = usual }()
	for i, n := range w.Nodes {
		if n.Up && (half && w.Rng.IntN(2) == 0 || !half && i == 0) {
			stopped = append(stopped, n)
			n.Pause(true)
		}
	}
	d.note("%d processes are stopped for %v", len(stopped), span)
	calm := w.Common() == nil && len(stopped) < len(w.Nodes) && d.calm()
	w.Run(w.Now + span)
	for _, n := range stopped {
		n.Pause(false)
	}
	woke := w.Now
	w.Run(w.Now + 3*time.Second)
	if !calm || len(w.links) > 0 || half {
		return d.err
	}
	for _, n := range stopped {
		for _, c := range n.Changes {
			if c.At >= woke && c.State == swim.Suspect && c.Peer != n.Name {
				return fmt.Errorf("%s, stopped for %v until %v, blamed %s at %v", n.Name, span, woke, c.Peer, c.At)
			}
		}
	}
	return d.err
}

// lie has peers tell what is not so: that peers failed, left or are far ahead, and that members do not answer.
func (d *day) lie() {
	w := d.w
	liars := 1 + w.Rng.IntN(3)
	d.note("%d peers lie", liars)
	for range liars {
		from, about := w.Nodes[w.Rng.IntN(len(w.Nodes))], w.Nodes[w.Rng.IntN(len(w.Nodes))]
		claim := swim.Claim{Name: about.Name, Epoch: about.Epoch, State: []swim.State{swim.Suspect, swim.Failed, swim.Left, swim.Alive}[w.Rng.IntN(4)],
			Incarnation: []uint32{0, 1, 7, math.MaxUint32}[w.Rng.IntN(4)], Addr: about.Addr, SuspectedBy: from.Zone}
		for _, to := range w.Nodes {
			if to != from && to.Up && from.Up {
				m := &swim.Message{Kind: swim.Gossip, From: swim.ID{Name: from.Name, Epoch: from.Epoch}, Addr: from.Addr,
					To: swim.ID{Name: to.Name, Epoch: to.Epoch}, Claims: []swim.Claim{claim}}
				w.transmit(from, to, to.host, group.Event{Frame: append([]byte{1}, swim.Encode(m)...)}, false)
			}
		}
	}
}

// ErrBelief is what a play of beliefs returns for a rule that was broken.
var ErrBelief = errors.New("beliefs")

// Beliefs plays a group in which some saw a member fall silent and liars say so of others, and counts the looks.
func Beliefs(seed uint64, size, liars int) (looks map[string]int, heard int, err error) {
	w := New(seed)
	w.Known = []string{"10.0.0.0:7946"}
	for i := range size {
		w.Add(name(i), string(rune('a'+i%3)))
	}
	if _, err := w.Until(joinWithin, w.Common); err != nil {
		return nil, 0, err
	}
	looks = map[string]int{}
	w.OnAct = func(n *Node, a *group.Action) {
		if v := a.Advice; v != nil && v.Look {
			if looks[v.Member]++; v.Member == "lied-of" { // it looks, and is answered
				w.At(w.Now+50*time.Millisecond, func() { n.saw(group.MemberObservation{Member: v.Member, Kind: observation.Answers, Looked: true}) })
			}
		}
	}
	w.Nodes[0].saw(group.MemberObservation{Member: "silent", Kind: observation.Silent})
	w.Run(w.Now + 2*time.Second)
	heard = looks["silent"]
	for range 60 { // for a minute, each second
		for i := range liars {
			w.Nodes[size-1-i].saw(group.MemberObservation{Member: "lied-of", Kind: observation.Silent})
		}
		w.Run(w.Now + time.Second)
	}
	return looks, heard, nil
}

// saw has a process see something of a member.
func (n *Node) saw(s group.MemberObservation) {
	if n.Up && !n.Paused {
		n.step(group.Event{Saw: &s})
	}
}
