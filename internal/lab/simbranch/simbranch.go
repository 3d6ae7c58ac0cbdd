// Package simbranch plays the replay of a cut-off office's writes by seed, in virtual time: gateways that are killed, stopped
// and follow each other under permits, copies that refuse or lose records, a cluster whose primary changes and whose answers are
// lost, an operator who looks, thinks and then says what was true when he looked. It judges by rules of its own, written from
// docs/design/branch.md's promises and not from the code: by what ran, and by what was kept.
package simbranch

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"reachwind/internal/branch/causes"
	"reachwind/internal/branch/replay"
)

const ms = time.Millisecond

type event struct {
	at  replay.Time
	seq int
	do  func()
}
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any     { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

// id names a record.
type id struct{ fence, n uint64 }

// enough copies of three: any two gateways that a holder reads have each record that was kept.
const enough = 2

// proc is one gateway of the office that can hold the replay. A stopped one gets all that waited when it wakes.
type proc struct {
	r       *replay.Replayer
	life    int
	fence   uint64 // of its permit
	stopped bool
	down    bool
	waits   []func()
	clock   replay.Time        // its own, beside the world's
	heard   map[id]replay.Time // when it took a record in this life
	keeper  *replay.FenceGate  // this and its copy last
	copy    []replay.LogRecord
	has     map[id]bool
	blank   bool     // it lost its folder, and no base came since
	mail    []func() // what came to the copy while it was stopped
	given   int      // writes it was given
	read    int      // how much of the log it took over
	acked   map[replay.Dot]replay.Outcome
	sent    []replay.Time
	adopts  []replay.LogRecord
	base    replay.LogRecord
}

// world is an office, its keepers and a cluster, by seed. Its rules are written from the promises, not from the package.
type world struct {
	rng    *rand.Rand
	off    replay.Guard
	cfg    replay.Config
	now    replay.Time
	q      events
	seq    int
	procs  []*proc
	holder int
	fence  uint64
	term   replay.Time // the council's: nobody else holds the permit before
	span   replay.Time // of a permit
	calm   bool        // nothing fails any more
	linked bool
	noPrim bool
	copies map[id]int         // how many have a record
	kept   map[id]bool        // once enough had it
	log    []replay.LogRecord // what enough copies have, as it came to be so
	final  map[replay.Dot]replay.Outcome
	logged []replay.Time
	came   map[replay.Dot]replay.Time // when a write came to those who replay
	writes []replay.Write
	known  []replay.Write // what has come together
	byDot  map[replay.Dot]*replay.Write
	poison map[string]int // by key: 1 never taken, 2 every answer is lost
	ran    map[string][]replay.Time
	broken error
}

func (w *world) after(d replay.Time, do func()) {
	w.seq++
	heap.Push(&w.q, event{w.now + d, w.seq, do})
}
func (w *world) some(most replay.Time) replay.Time { return replay.Time(w.rng.Int64N(int64(most))) }
func (w *world) odds(percent int) bool {
	return w.rng.IntN(100) < percent
}
func (w *world) fail(f string, a ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf("at %v: %s", w.now, fmt.Sprintf(f, a...))
	}
}

// to gives an event to a life of a process and carries out what comes of it.
func (w *world) to(p *proc, f func(now replay.Time) []replay.Action) {
	life := p.life
	var do func()
	do = func() {
		if p.life != life || p.r == nil {
			return
		}
		if p.stopped {
			p.waits = append(p.waits, do)
			return
		}
		w.carry(p, f(w.now+p.clock))
	}
	do()
}

func (w *world) carry(p *proc, acts []replay.Action) {
	for _, a := range acts {
		switch a.Kind {
		case replay.ActStore:
			w.keep(p, a)
		case replay.ActSend:
			w.rated(p)
			w.attempt(p, a)
		case replay.ActCheck:
			w.rated(p)
			late := w.some(200 * ms)
			if !w.calm && w.odds(10) {
				late = w.some(12 * time.Second)
			}
			if w.linked && !w.noPrim && !(!w.calm && w.odds(10)) {
				w.after(w.some(50*ms), func() {
					f := replay.HasNotRun
					if len(w.ran[a.Key]) > 0 {
						f = replay.HasRun
					}
					w.after(late, func() {
						w.to(p, func(now replay.Time) []replay.Action { return p.r.Checked(now, a.Dot, a.Round, f) })
					})
				})
			} else if w.odds(50) {
				w.after(late, func() {
					w.to(p, func(now replay.Time) []replay.Action { return p.r.Checked(now, a.Dot, a.Round, replay.Unknown) })
				})
			}
		}
	}
}

// keep brings a record to the copies, each by itself, and tells the holder once enough have it, or that they have not.
func (w *world) keep(p *proc, a replay.Action) {
	life, have, told, last := p.life, 0, false, replay.Time(0)
	answer := func(ok bool) {
		if told || p.life != life {
			return
		}
		told = true
		w.after(w.some(20*ms), func() {
			if p.life != life {
				return
			}
			w.to(p, func(now replay.Time) []replay.Action {
				if ok && a.Record.Kind == replay.KindOutcome {
					p.acked[a.Dot] = a.Record.Outcome
				}
				return p.r.RecordStored(now, a.Record, ok)
			})
		})
	}
	adopts := p.adopts
	if a.Record.Kind == replay.KindBase {
		p.base = a.Record
	}
	base := p.base
	for _, o := range w.procs {
		d := w.some(60 * ms)
		if !w.calm && w.odds(5) {
			d = w.some(6 * time.Second)
		}
		last = max(last, d)
		if !w.calm && w.odds(6) {
			continue
		}
		w.after(d, func() {
			take := func() {
				if err := o.keeper.Admit(a.Record); err != nil {
					var none *replay.NoBaseError
					if !errors.As(err, &none) || none.Found > a.Record.Fence || o.keeper.Admit(base) != nil {
						return
					}
					w.rebase(o, adopts, base)
					if o.keeper.Admit(a.Record) != nil {
						return
					}
				}
				if a.Record.Kind == replay.KindBase {
					w.rebase(o, adopts, base)
				}
				w.store(o, a.Record)
				o.heard[id{a.Record.Fence, a.Record.N}] = w.now + o.clock
				if have++; have >= enough {
					answer(true)
				}
			}
			switch {
			case o.down:
			case o.stopped:
				o.mail = append(o.mail, take)
			default:
				take()
			}
		})
	}
	w.after(min(last, 2*time.Second)+ms, func() { answer(false) })
}

// wipe takes all that a copy has.
func (w *world) wipe(o *proc) {
	for i := range o.has {
		w.copies[i]--
	}
	o.has, o.copy = map[id]bool{}, nil
}

// rebase puts what a holder adopted in the place of all that a copy has.
func (w *world) rebase(o *proc, adopts []replay.LogRecord, base replay.LogRecord) {
	if o.has[id{base.Fence, base.N}] {
		return
	}
	w.wipe(o)
	o.blank = false
	for _, k := range adopts {
		w.store(o, k)
	}
	w.store(o, base)
}

// store puts a record on one copy.
func (w *world) store(o *proc, k replay.LogRecord) {
	i := id{k.Fence, k.N}
	if o.has[i] {
		return
	}
	o.has[i], o.copy = true, append(o.copy, k)
	if w.copies[i]++; w.copies[i] != enough || w.kept[i] {
		return
	}
	w.kept[i] = true
	w.log, w.logged = append(w.log, k), append(w.logged, w.now)
	if k.Kind == replay.KindOutcome {
		if f := w.final[k.Dot]; f != replay.Open && f != k.Outcome {
			w.fail("%v was kept as %v and is kept as %v", k.Dot, f, k.Outcome)
		}
		w.final[k.Dot] = k.Outcome
	}
}

// rated wants sends and checks of one holder within its rate.
func (w *world) rated(p *proc) {
	p.sent = append(p.sent, w.now)
	if n := len(p.sent) - 1 - w.cfg.SendsPerSecond; n >= 0 && w.now-p.sent[n] < time.Second-ms {
		w.fail("%d sends within %v", w.cfg.SendsPerSecond+1, w.now-p.sent[n])
	}
}

// attempt is one send: it may run at any time before its end, and its answer may be lost.
func (w *world) attempt(p *proc, a replay.Action) {
	answer := func(d replay.Time, x replay.Answer) {
		w.after(d, func() {
			w.to(p, func(now replay.Time) []replay.Action {
				return p.r.Answered(now, a.Dot, a.Round, a.Attempt, x, "conflict")
			})
		})
	}
	if !w.linked || w.noPrim || w.poison[a.Key] == 1 || !w.calm && w.odds(8) {
		answer(w.some(100*ms), replay.NotRun)
		return
	}
	left := a.Until - (w.now + p.clock)
	runs := w.some(min(left, 150*ms))
	lost := w.poison[a.Key] == 2 || !w.calm && w.odds(25)
	if lost {
		if runs = w.some(left); w.odds(50) {
			answer(w.some(100*ms), replay.MaybeRan) // the connection breaks; the attempt may run yet
		}
	}
	never := lost && w.odds(50)
	refused := w.odds(8)
	w.after(runs, func() {
		if never || w.noPrim {
			if !lost {
				answer(w.some(20*ms), replay.NotRun)
			}
			return
		}
		x := replay.Ran
		last := w.ran[a.Key]
		switch {
		case len(last) > 0 && w.now-last[len(last)-1] < 2*time.Second: // dropped, answered as the first
		case refused:
			x = replay.Rejected
		default:
			w.ran[a.Key] = append(last, w.now)
			w.judge(a.Dot)
		}
		if !lost {
			answer(w.some(50*ms), x)
		} else if w.poison[a.Key] != 2 && w.odds(20) {
			answer(w.some(4*time.Second), x)
		}
	})
}

// outcome is what the copies say became of a write.
func (w *world) outcome(d replay.Dot) replay.Outcome { return w.final[d] }

// judge looks at a write that has just run: once for its key, after its causes, by the rule.
func (w *world) judge(d replay.Dot) {
	x := w.byDot[d]
	if n := len(w.ran[x.Key]); n > 1 {
		w.fail("%v was applied %d times, at %v", d, n, w.ran[x.Key])
	}
	freed, word := false, replay.Time(0) // an operator let it go on in spite of refused causes, and of those not known then
	for i, k := range w.log {
		if k.Dot == d && k.Kind == replay.KindRelease && !freed {
			freed, word = true, w.logged[i]
		}
	}
	for _, c := range w.writes {
		if !x.Causes.Has(c.Dot) {
			continue
		}
		switch w.outcome(c.Dot) {
		case replay.Applied:
		case replay.Open:
			if at, ok := w.came[c.Dot]; !freed || ok && at < word {
				w.fail("%v was applied before %v was settled", d, c.Dot)
			}
		default:
			if w.cfg.Classes[x.Class].Rule != replay.SendAnyway && !freed {
				w.fail("%v was applied though %v was refused", d, c.Dot)
			}
		}
	}
}

// elect gives the permit to another, or the same, once the term is over.
func (w *world) elect() {
	if w.now > w.term && w.linked {
		i := w.rng.IntN(len(w.procs))
		p := w.procs[i]
		if p.down || p.stopped || p.blank {
			return
		}
		read, from := []*proc{p}, 1
		for _, j := range w.rng.Perm(len(w.procs)) {
			if o := w.procs[j]; o != p && !o.down && !o.stopped && !o.blank && from < enough {
				read, from = append(read, o), from+1
			}
		}
		if from < enough {
			return
		}
		w.fence++
		w.holder, w.term = i, w.now+w.span
		var kept []replay.RecoveredRecord
		for _, o := range read {
			o.keeper.RaiseFence(w.fence)
			for _, k := range o.copy {
				at, ok := o.heard[id{k.Fence, k.N}]
				kept = append(kept, replay.RecoveredRecord{LogRecord: k, At: at - o.clock + p.clock, Known: ok, Base: o.keeper.Base()})
			}
		}
		w.rng.Shuffle(len(kept), func(a, b int) { kept[a], kept[b] = kept[b], kept[a] })
		r, err := replay.New(w.cfg, w.now+p.clock, w.fence, w.now+p.clock+w.span, nil, w.known, kept, w.off)
		if err != nil {
			w.fail("%v", err)
			return
		}
		p.life++
		p.fence, p.adopts = w.fence, r.Adopted()
		p.r, p.waits, p.given, p.read, p.acked, p.sent = r, nil, len(w.known), len(w.log), map[replay.Dot]replay.Outcome{}, nil
		for _, x := range w.known {
			switch f, _ := r.Receipt(x.Dot); f.State { // what it adopts of too few copies counts too, once its base is kept
			case "applied":
				p.acked[x.Dot] = replay.Applied
			case "refused", "dropped":
				p.acked[x.Dot] = replay.Refused
			}
			if f := w.final[x.Dot]; f != replay.Open && (f == replay.Applied) != (p.acked[x.Dot] == replay.Applied) {
				w.fail("%v was kept as %v, the next holder has it as %v", x.Dot, f, p.acked[x.Dot])
			}
		}
		r.SetLinked(w.linked)
		return
	}
	if p := w.procs[w.holder]; w.fence > 0 && w.linked && w.now <= w.term && !p.stopped && p.r != nil && p.fence == w.fence {
		w.term = w.now + w.span
		p.r.RenewPermit(w.now + p.clock + w.span)
	}
}

// account wants the sums to hold, by what this holder was told is kept.
func (w *world) account(p *proc) {
	a := p.r.Counts()
	var applied, refused int
	for _, o := range p.acked {
		if o == replay.Applied {
			applied++
		} else {
			refused++
		}
	}
	if a.Receipts != p.given || a.Applied != applied || a.Refused != refused || a.Receipts != a.Applied+a.Refused+a.InDoubt+a.Waiting {
		w.fail("accounts %+v, given %d, kept as applied %d, as refused %d", a, p.given, applied, refused)
	}
	open := map[replay.Dot]bool{} // what may have been sent is not told as merely waiting
	for i, k := range w.log {
		if k.Kind == replay.KindIntent && i < p.read {
			open[k.Dot] = true
		} else if k.Kind != replay.KindIntent {
			delete(open, k.Dot)
		}
	}
	for _, k := range p.adopts { // of which some reached one copy only
		if k.Kind != replay.KindIntent {
			delete(open, k.Dot)
		}
	}
	for d := range open {
		if f, err := p.r.Receipt(d); err != nil || f.State == "waiting" || f.State == "held" {
			w.fail("%v may have been sent and is told as %s (%v)", d, f.State, err)
		}
	}
}

// operate is an operator who looks, thinks and then says the truth as it was when he looked.
func (w *world) operate() {
	p := w.procs[w.holder]
	if len(w.known) == 0 || p.r == nil || p.stopped {
		return
	}
	x := w.known[w.rng.IntN(len(w.known))]
	f, err := p.r.Receipt(x.Dot)
	if err != nil {
		w.fail("%v", err)
		return
	}
	word := replay.ResolveRetry
	switch {
	case f.State == "in doubt" && len(w.ran[x.Key]) > 0:
		word = replay.ResolveApplied
	case f.State == "in doubt":
		if w.odds(30) {
			word = replay.ResolveNotApplied
		}
	case f.State == "held" || f.State == "waiting" && w.calm && f.Ground != (replay.Dot{}):
		if word = replay.ResolveRelease; !w.calm && w.odds(50) {
			return
		}
	case f.State == "waiting" && !w.calm && w.odds(10):
		word = replay.ResolveHold
	default:
		return
	}
	w.after(w.some(8*time.Second), func() {
		p := w.procs[w.holder]
		w.to(p, func(now replay.Time) []replay.Action {
			a, _ := p.r.Resolve(now, x.Dot, f.Round, word) // refused where all has changed meanwhile
			return a
		})
	})
}

func newWorld(seed uint64, off replay.Guard) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 0x5e9)), off: off, copies: map[id]int{}, kept: map[id]bool{}, final: map[replay.Dot]replay.Outcome{}, byDot: map[replay.Dot]*replay.Write{},
		poison: map[string]int{}, came: map[replay.Dot]replay.Time{}, ran: map[string][]replay.Time{}, linked: true, term: -1, span: time.Second}
	w.cfg = replay.Config{Classes: map[string]replay.Class{}, SendsPerSecond: 4 + w.rng.IntN(30), MaxInFlight: 1 + w.rng.IntN(6)}
	for i := range 6 {
		w.cfg.Classes[fmt.Sprint("c", i)] = replay.Class{Rule: replay.Rule(i % 3), HasCheck: i < 3}
	}
	if w.odds(50) {
		w.span = 3 * time.Second
	}
	for range 3 {
		w.procs = append(w.procs, &proc{clock: w.some(time.Hour), heard: map[id]replay.Time{}, has: map[id]bool{}, keeper: replay.NewFenceGate(0, 0, off)})
	}
	next := map[causes.Queue]uint64{}
	for i := range 5 + w.rng.IntN(10) {
		q := causes.Queue(fmt.Sprint("q", w.rng.IntN(3)))
		next[q]++
		x := replay.Write{Key: fmt.Sprint("k", i), Class: fmt.Sprint("c", w.rng.IntN(6)), Queued: w.some(10 * time.Second)}
		x.Dot = replay.Dot{Queue: q, N: next[q]}
		for _, c := range w.writes {
			if w.odds(20) {
				x.Causes.Dots = append(x.Causes.Dots, c.Dot)
			} else if w.odds(4) {
				x.Causes.Upto = append(x.Causes.Upto, c.Dot)
			}
		}
		if len(w.writes) > 0 && w.odds(10) {
			x.Key = w.writes[w.rng.IntN(len(w.writes))].Key // tried in the other half too
			x.Causes = causes.Context{}
		}
		if w.odds(5) {
			w.poison[x.Key] = 1 + w.rng.IntN(2)
		}
		if w.odds(8) {
			x.MaybeSent = true
			if w.odds(50) && w.ran[x.Key] == nil && !slices.ContainsFunc(w.writes, func(y replay.Write) bool { return y.Key == x.Key }) {
				w.ran[x.Key] = []replay.Time{-time.Minute}
			}
		}
		w.writes = append(w.writes, x)
	}
	for i := range w.writes {
		x := &w.writes[i]
		for j := range w.writes { // who shares a key with one that may have been sent may have been sent too
			x.MaybeSent = x.MaybeSent || w.writes[j].Key == x.Key && w.writes[j].MaybeSent
		}
		w.byDot[x.Dot] = x
		arrive := replay.Time(0)
		if w.odds(30) {
			arrive = w.some(10 * time.Second)
		}
		w.after(arrive, func() {
			w.known = append(w.known, *x)
			w.came[x.Dot] = w.now
			for _, p := range w.procs {
				w.to(p, func(replay.Time) []replay.Action {
					if err := p.r.Add(*x); err != nil {
						w.fail("%v", err)
					}
					p.given++
					return nil
				})
			}
		})
	}
	return w
}

// Report is what one play came to.
type Report struct {
	Ran     int // keys that the cluster ran
	Intents int
	Holders int // replayers that followed each other
}

// Play runs one world with the guards in off switched off: faults for 15 s, then calm until all is settled, or 100 s have
// passed. The error is the first rule that broke.
func Play(seed uint64, off replay.Guard) (Report, error) {
	w := newWorld(seed, off)
	const chaos = 15 * time.Second
	every := func(d replay.Time, do func()) {
		var again func()
		again = func() { do(); w.after(d, again) }
		w.after(w.some(d), again)
	}
	every(50*ms, func() {
		for _, p := range w.procs {
			if !p.stopped && p.r != nil {
				w.to(p, func(now replay.Time) []replay.Action { return p.r.Tick(now) })
			}
		}
	})
	every(250*ms, w.elect)
	every(300*ms, w.operate)
	every(500*ms, func() {
		for _, p := range w.procs {
			if p.r != nil && !p.stopped {
				w.account(p)
			}
		}
	})
	harm := 1 + w.rng.IntN(20)
	every(150*ms, func() {
		if w.calm || !w.odds(harm) {
			return
		}
		p := w.procs[w.rng.IntN(3)]
		if w.odds(70) {
			p = w.procs[w.holder]
		}
		switch w.rng.IntN(5) {
		case 0, 1: // killed: what it held in memory is gone
			p.r, p.waits, p.mail, p.heard, p.down, p.stopped = nil, nil, nil, map[id]replay.Time{}, true, false
			p.life++
			w.after(w.some(2*time.Second), func() { p.down = false })
			if w.odds(20) && !slices.ContainsFunc(w.procs, func(o *proc) bool { return o.blank }) { // and its folder with it
				w.wipe(p)
				p.blank, p.keeper = true, replay.NewFenceGate(w.fence+1, 0, w.off)
			}
		case 2:
			if p.r == nil || p.stopped {
				return
			}
			p.stopped = true
			life := p.life
			w.after(w.some(8*time.Second), func() {
				if p.life == life {
					w.wake(p)
				}
			})
		case 3:
			w.link(false)
			w.after(w.some(2*time.Second), func() { w.link(true) })
		case 4:
			w.noPrim = true
			w.after(w.some(3*time.Second), func() { w.noPrim = false })
		}
	})
	w.after(chaos, func() {
		w.calm, w.noPrim = true, false
		w.link(true)
		for _, p := range w.procs {
			w.wake(p)
		}
	})
	for w.broken == nil && w.now < 100*time.Second && len(w.q) > 0 {
		e := heap.Pop(&w.q).(event)
		w.now = e.at
		if e.do(); w.calm && w.seq%16 == 0 && w.settled() {
			break
		}
	}
	if w.broken == nil {
		w.last()
	}
	r := Report{Ran: len(w.ran), Holders: int(w.fence)}
	for _, k := range w.log {
		if k.Kind == replay.KindIntent {
			r.Intents++
		}
	}
	return r, w.broken
}

func (w *world) link(up bool) {
	w.linked = up
	for _, p := range w.procs {
		w.to(p, func(replay.Time) []replay.Action { p.r.SetLinked(w.linked); return nil })
	}
}

func (w *world) wake(p *proc) {
	waits, mail := p.waits, p.mail
	p.stopped, p.waits, p.mail = false, nil, nil
	for _, f := range mail {
		f()
	}
	for _, f := range waits {
		f()
	}
}

// stuck are writes that may wait for ever: poisoned ones, and what depends on them or shares their key.
func (w *world) stuck() map[replay.Dot]bool {
	s := map[replay.Dot]bool{}
	for n := -1; n != len(s); {
		n = len(s)
		for _, x := range w.writes {
			if w.poison[x.Key] > 0 || slices.ContainsFunc(w.writes, func(y replay.Write) bool {
				return s[y.Dot] && (x.Causes.Has(y.Dot) || x.Key == y.Key)
			}) {
				s[x.Dot] = true
			}
		}
	}
	return s
}

func (w *world) settled() bool {
	for _, x := range w.writes {
		if w.outcome(x.Dot) == replay.Open {
			return false
		}
	}
	return true
}

// last wants every receipt settled, and each outcome true.
func (w *world) last() {
	stuck := w.stuck()
	var kept []replay.RecoveredRecord
	for _, k := range w.log {
		kept = append(kept, replay.RecoveredRecord{LogRecord: k})
	}
	r, err := replay.New(w.cfg, w.now, w.fence+1, w.now, nil, w.known, kept, w.off)
	if err != nil {
		w.fail("%v", err)
		return
	}
	for _, x := range w.writes {
		f, err := r.Receipt(x.Dot)
		ran := len(w.ran[x.Key]) > 0
		switch {
		case err != nil:
			w.fail("%v", err)
		case f.State == "applied" && !ran, f.State == "refused" && ran, f.State == "dropped" && ran && !x.MaybeSent:
			w.fail("%v counts as %s (%s) and has run: %v", x.Dot, f.State, f.Reason, ran)
		case f.State == "dropped":
			if !slices.ContainsFunc(w.writes, func(y replay.Write) bool { // it, or the other receipt of its key
				return y.Key == x.Key && w.cfg.Classes[y.Class].Rule == replay.Drop &&
					slices.ContainsFunc(y.Causes.Dots, func(d replay.Dot) bool { return w.outcome(d) > replay.Applied })
			}) {
				w.fail("%v was dropped without a refused cause of its own", x.Dot)
			}
		case f.State != "applied" && f.State != "refused" && !stuck[x.Dot]:
			w.fail("%v is still %s, round %d, %v", x.Dot, f.State, f.Round, f.Ground)
		}
	}
}
