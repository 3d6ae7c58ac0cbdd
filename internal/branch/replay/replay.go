package replay

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"time"

	"reachwind/internal/branch/causes"
)

type phase uint8

const (
	idle     phase = iota
	keeping        // a record is on its way to the copies
	armed          // the intent is kept, no attempt was made
	out            // an attempt is out
	between        // an attempt may have run; the next waits for it to run out
	doubt          // whether it has run is not known
	checking       // is being asked
)

// entry is one write. The first part is what kept records say.
type entry struct {
	w              Write
	round          int
	open           bool // the newest round was begun and nothing kept says how it ended
	cleared        bool // some doubt ended in "has not run"
	outcome        Outcome
	reason         string
	ground         Dot
	held, released bool

	phase   phase
	pend    LogRecord // while keeping
	again   Time      // when to try to keep it again, 0 while it is out
	doubted bool      // it was in doubt when pend was made
	start   Time      // the window counts from here
	over    Time      // no attempt made so far runs after this
	attempt int
	maybe   bool // an attempt of this round may have run
	next    Time
	fails   int
	told    string // the last notice, so that it is told once

	ready   bool     // is in the heap of those to look at
	waiters []*entry // wait for this one to be over
}

// before orders writes by age: oldest first.
func (e *entry) before(f *entry) int {
	return cmp.Or(cmp.Compare(e.w.Queued, f.w.Queued), e.w.Dot.Compare(f.w.Dot))
}

// queue is the heap of writes that may be able to go on, oldest first.
type queue []*entry

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].before(q[j]) < 0 }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(*entry)) }
func (q *queue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// Replayer is one holder's replay of an office's writes. It is its owner's alone.
type Replayer struct {
	cfg     Config
	off     Guard
	fence   uint64
	until   Time // the permit's term
	linked  bool
	n       uint64
	all     map[Dot]*entry
	ready   queue             // idle, to be looked at
	busy    []*entry          // between intent and outcome, in doubt, or resting after a failed try; oldest first
	missing map[Dot][]*entry  // wait for a write that is not known here
	claims  map[string]*entry // by key: who was, or may have been, sent for it
	floor   map[causes.Queue]uint64
	clear   map[causes.Queue]uint64 // all up to here is applied
	flight  int
	nextOut Time
	retired Counts
	acts    []Action
	base    LogRecord
	adopted []LogRecord
	based   bool // the base is kept
	rebase  Time // when to try to keep it again
}

// New returns the replayer of a holder that has the office's permit under fence until a time on its clock, with all
// writes that are known, what was kept by those before it (whole: see docs/design/branch.md), and where each queue was
// forgotten up to. The permit's holder before it has no attempt that can run after now.
func New(cfg Config, now Time, fence uint64, until Time, floor map[causes.Queue]uint64, writes []Write, kept []RecoveredRecord, off Guard) (*Replayer, error) {
	cfg.DedupWindow = cmp.Or(cfg.DedupWindow, 2*time.Second)
	cfg.ClockMargin = cmp.Or(cfg.ClockMargin, 100*time.Millisecond)
	cfg.AttemptTimeout = cmp.Or(cfg.AttemptTimeout, 600*time.Millisecond)
	cfg.SendsPerSecond = cmp.Or(cfg.SendsPerSecond, 20)
	cfg.MaxInFlight = cmp.Or(cfg.MaxInFlight, 8)
	cfg.RetryPause = cmp.Or(cfg.RetryPause, 200*time.Millisecond)
	cfg.MaxRetryPause = cmp.Or(cfg.MaxRetryPause, 10*time.Second)
	r := &Replayer{cfg: cfg, off: off, fence: fence, until: until, all: map[Dot]*entry{}, missing: map[Dot][]*entry{}, claims: map[string]*entry{},
		floor: map[causes.Queue]uint64{}, clear: map[causes.Queue]uint64{}, nextOut: now}
	for q, n := range floor {
		r.floor[q], r.clear[q] = n, n
	}
	for _, w := range writes {
		if err := r.Add(w); err != nil {
			return nil, err
		}
	}
	kept = slices.Clone(kept)
	for i := range kept {
		if !kept[i].Known {
			kept[i].At = now - cfg.DedupWindow
		}
	}
	slices.SortFunc(kept, func(a, b RecoveredRecord) int {
		return cmp.Or(cmp.Compare(a.Fence, b.Fence), cmp.Compare(a.N, b.N), cmp.Compare(a.At, b.At))
	})
	kept = r.adopt(kept)
	for _, k := range kept {
		if k.Kind == KindBase {
			continue
		}
		e := r.all[k.Dot]
		if e == nil {
			if k.Dot.N <= r.floor[k.Dot.Queue] {
				continue
			}
			return nil, &UnknownReceiptError{k.Dot} // records of a write that was lost: the copies are not whole
		}
		r.apply(e, k.LogRecord)
		if k.Kind == KindIntent {
			e.start = k.At
		}
	}
	for _, e := range r.all {
		if e.outcome == Open && e.open {
			e.phase, e.maybe, e.over = between, true, now
			r.mind(e)
			r.flight++
			if !r.on(GuardTakeover) {
				e.start = now
			}
		}
	}
	return r, nil
}

// adopt leaves what counts of the records that were read, each once: what stands on the newest base. A copy that missed
// that base may have what no later holder found, and what was not found then is void.
func (r *Replayer) adopt(kept []RecoveredRecord) []RecoveredRecord {
	newest := uint64(0)
	for _, k := range kept {
		newest = max(newest, k.Base)
	}
	kept = slices.DeleteFunc(kept, func(k RecoveredRecord) bool { return k.Base < newest && r.on(GuardBase) })
	kept = slices.CompactFunc(kept, func(a, b RecoveredRecord) bool { // sorted, the earliest first
		return a.Fence == b.Fence && a.N == b.N
	})
	r.n++
	r.base, r.based = LogRecord{Fence: r.fence, N: r.n, Kind: KindBase}, !r.on(GuardBase)
	for _, k := range kept {
		if k.Kind != KindBase {
			r.adopted = append(r.adopted, k.LogRecord)
		}
	}
	return kept
}

// Adopted is what a base puts in the place of all that a copy has: with the base itself, and before any record that
// stands on it. A copy that has the base already is left as it is. The records are not to be changed.
func (r *Replayer) Adopted() []LogRecord { return r.adopted }

// BaseStored reports whether this holder's base is kept: before that it does nothing.
func (r *Replayer) BaseStored() bool { return r.based }

func (r *Replayer) on(g Guard) bool { return r.off&g == 0 }

// Add takes a write that was queued. One that is known, or forgotten, is passed over.
func (r *Replayer) Add(w Write) error {
	if r.all[w.Dot] != nil || w.Dot.N <= r.floor[w.Dot.Queue] {
		return nil
	}
	for _, d := range slices.Concat(w.Causes.Dots, w.Causes.Upto) {
		if d.Queue == w.Dot.Queue && d.N >= w.Dot.N {
			return &BadCauseError{w.Dot, d}
		}
	}
	e := &entry{w: w}
	r.all[w.Dot] = e
	r.look(e)
	for _, x := range r.missing[w.Dot] {
		r.look(x)
	}
	delete(r.missing, w.Dot)
	return nil
}

// look has a write looked at in the next tick.
func (r *Replayer) look(e *entry) {
	if !e.ready {
		e.ready = true
		heap.Push(&r.ready, e)
	}
}

// mind has a write's times watched.
func (r *Replayer) mind(e *entry) {
	if i, ok := slices.BinarySearchFunc(r.busy, e, (*entry).before); !ok {
		r.busy = slices.Insert(r.busy, i, e)
	}
}

// RenewPermit notes that the permit was renewed, until a time on this clock.
func (r *Replayer) RenewPermit(until Time) { r.until = until }

// SetLinked notes whether the office counts as linked. While it does not, nothing new is sent.
func (r *Replayer) SetLinked(linked bool) { r.linked = linked }

// may reports whether an attempt may go out now.
func (r *Replayer) may(now Time) bool {
	if !r.linked || now+r.cfg.AttemptTimeout > r.until && r.on(GuardTerm) {
		return false
	}
	return now >= r.nextOut || !r.on(GuardRate)
}

func (r *Replayer) spend(now Time) {
	r.nextOut = max(now, r.nextOut) + time.Second/time.Duration(r.cfg.SendsPerSecond)
}

// apply is the only way kept state changes.
func (r *Replayer) apply(e *entry, k LogRecord) {
	switch k.Kind {
	case KindIntent:
		e.round, e.open = k.Round, true
		if r.claims[e.w.Key] == nil {
			r.claims[e.w.Key] = e
		}
	case KindNotRun:
		e.open = false
	case KindRetry:
		e.open, e.cleared = false, true
		if e.round < k.Round {
			e.round = k.Round
		}
	case KindHold:
		e.held, e.released = true, false
	case KindRelease:
		e.held, e.released = false, true
	case KindOutcome:
		if e.outcome == Open {
			e.outcome, e.reason, e.ground, e.open = k.Outcome, k.Reason, k.Ground, false
			if r.claims[e.w.Key] == nil {
				r.claims[e.w.Key] = e
			}
		}
	}
}

// keep asks for a record; what it says holds once it is kept.
func (r *Replayer) keep(e *entry, k LogRecord) {
	r.n++
	k.Fence, k.N, k.Dot = r.fence, r.n, e.w.Dot
	e.doubted = e.phase == doubt || e.phase == checking
	if e.phase == idle || e.doubted {
		r.flight++
	}
	e.phase, e.pend, e.again = keeping, k, 0
	r.mind(e)
	r.acts = append(r.acts, Action{Kind: ActStore, Dot: e.w.Dot, Record: k})
}

// land ends a flight: the write is idle or in doubt again, or over.
func (r *Replayer) land(e *entry, p phase) {
	if e.phase == keeping || e.phase == armed || e.phase == out || e.phase == between {
		r.flight--
	}
	e.phase = p
}

// back puts off the next try of a write.
func (r *Replayer) back(e *entry, now Time) {
	e.next = now + min(r.cfg.RetryPause<<min(e.fails, 16), r.cfg.MaxRetryPause)
	e.fails++
}

func (r *Replayer) tell(e *entry, note string) {
	if e.told != note {
		e.told = note
		r.acts = append(r.acts, Action{Kind: ActNotice, Dot: e.w.Dot, Round: e.round, Note: note})
	}
}

func (r *Replayer) take() []Action {
	a := r.acts
	r.acts = nil
	return a
}

// RecordStored tells that the record of an ActKeep is on its copies, or could not be brought there. One that may be there and
// may not is not kept.
func (r *Replayer) RecordStored(now Time, k LogRecord, ok bool) []Action {
	if k.Kind == KindBase && k.Fence == r.fence {
		if r.based = r.based || ok; !r.based {
			r.rebase = now + r.cfg.RetryPause
		}
		return r.tick(now)
	}
	e := r.all[k.Dot]
	if e == nil || e.phase != keeping || e.pend.N != k.N || k.Fence != r.fence {
		return nil
	}
	if !ok {
		if r.back(e, now); k.Kind == KindIntent {
			r.land(e, idle)
		} else {
			e.again = e.next
		}
		return r.take()
	}
	r.apply(e, k)
	switch k.Kind {
	case KindIntent:
		e.phase, e.attempt, e.maybe = armed, 0, false
	case KindOutcome:
		r.land(e, idle)
		if k.Outcome == Dropped {
			r.tell(e, fmt.Sprintf("dropped: %v, which it depends on, was refused", k.Ground))
		}
	default:
		r.land(e, idle)
	}
	return r.tick(now)
}

// Answered tells how an attempt ended.
func (r *Replayer) Answered(now Time, d Dot, round, attempt int, a Answer, reason string) []Action {
	e := r.all[d]
	if e == nil {
		return nil
	}
	if e.phase != out || e.round != round || e.attempt != attempt {
		if a != Ran {
			return r.tick(now)
		}
		switch { // late, but the truth
		case e.outcome == Applied && e.round == round:
		case e.outcome != Open || e.round != round:
			r.tell(e, fmt.Sprintf("conflict: round %d has run after all, its outcome is %v in round %d", round, e.outcome, e.round))
		case e.phase == doubt || e.phase == checking || e.phase == between:
			r.keep(e, LogRecord{Kind: KindOutcome, Round: round, Outcome: Applied})
		}
		return r.tick(now)
	}
	switch {
	case a == Ran:
		r.keep(e, LogRecord{Kind: KindOutcome, Round: round, Outcome: Applied})
	case a == Rejected:
		r.keep(e, LogRecord{Kind: KindOutcome, Round: round, Outcome: Refused, Reason: reason})
	case a == NotRun && !e.maybe:
		r.back(e, now)
		r.keep(e, LogRecord{Kind: KindNotRun, Round: round})
	default:
		e.maybe = e.maybe || a == MaybeRan
		e.phase = between
	}
	return r.tick(now)
}

// Checked tells what a check found.
func (r *Replayer) Checked(now Time, d Dot, round int, f Finding) []Action {
	e := r.all[d]
	if e == nil || e.phase != checking && e.phase != doubt || e.round != round && r.on(GuardRound) {
		return nil
	}
	switch f {
	case HasRun:
		r.keep(e, LogRecord{Kind: KindOutcome, Round: e.round, Outcome: Applied, Reason: "found by its check"})
	case HasNotRun:
		r.back(e, now)
		r.keep(e, LogRecord{Kind: KindRetry, Round: e.round})
	default:
		e.phase = doubt
		r.back(e, now)
	}
	return r.tick(now)
}

// Resolve takes an operator's word. Words on a doubt name its round, as Fate told it.
func (r *Replayer) Resolve(now Time, d Dot, round int, w Resolution) ([]Action, error) {
	e := r.all[d]
	if e == nil {
		return nil, &UnknownReceiptError{d}
	}
	if !r.based {
		return nil, &NotBegunError{r.fence}
	}
	state := r.fate(e).State
	unsure := e.phase == doubt || e.phase == checking
	switch {
	case w <= ResolveRetry && !unsure:
		return nil, &WrongStateError{d, state, "in doubt"}
	case w <= ResolveRetry && e.round != round && r.on(GuardRound):
		return nil, &OldRoundError{d, round, e.round}
	case w == ResolveApplied:
		r.keep(e, LogRecord{Kind: KindOutcome, Round: e.round, Outcome: Applied, Reason: "an operator's word"})
	case w == ResolveNotApplied:
		r.keep(e, LogRecord{Kind: KindOutcome, Round: e.round, Outcome: Refused, Reason: "not applied, by an operator's word"})
	case w == ResolveRetry:
		r.keep(e, LogRecord{Kind: KindRetry, Round: e.round})
	case e.outcome != Open || e.phase != idle:
		return nil, &WrongStateError{d, state, "waiting or held"}
	case w == ResolveHold:
		r.keep(e, LogRecord{Kind: KindHold, Round: e.round})
	default:
		r.keep(e, LogRecord{Kind: KindRelease, Round: e.round})
	}
	return r.tick(now), nil
}

// Tick does what is due. It is to be called every 50 ms or oftener.
func (r *Replayer) Tick(now Time) []Action { return r.tick(now) }

func (r *Replayer) tick(now Time) []Action {
	if !r.based {
		if now >= r.rebase {
			r.rebase = 1 << 62 // until its event comes
			r.acts = append(r.acts, Action{Kind: ActStore, Record: r.base})
		}
		return r.take()
	}
	for i := 0; i < len(r.busy); i++ {
		e := r.busy[i]
		r.step(e, now)
		if e.outcome == Open && (e.phase != idle || now < e.next) {
			continue
		}
		r.busy = slices.Delete(r.busy, i, i+1)
		i--
		if e.outcome == Open {
			r.look(e)
			continue
		}
		for _, x := range e.waiters {
			r.look(x)
		}
		e.waiters = nil
	}
	for len(r.ready) > 0 && (r.on(GuardPoison) || len(r.busy) == 0) {
		e := r.ready[0]
		if e.outcome == Open && e.phase == idle && !r.begin(e, now) {
			break
		}
		e.ready = false
		heap.Pop(&r.ready)
	}
	return r.take()
}

// step does what is due for one write that is not over.
func (r *Replayer) step(e *entry, now Time) {
	switch e.phase {
	case keeping:
		if e.again > 0 && now >= e.again {
			e.again = 0
			r.acts = append(r.acts, Action{Kind: ActStore, Dot: e.w.Dot, Record: e.pend})
		}
	case armed:
		if !r.linked || now+r.cfg.AttemptTimeout > r.until && r.on(GuardTerm) {
			r.keep(e, LogRecord{Kind: KindNotRun, Round: e.round}) // nothing was sent
		} else if r.may(now) {
			e.start = now
			r.send(e, now)
		}
	case out:
		if now >= e.over+r.cfg.AttemptTimeout { // its answer can't come any more
			e.phase, e.maybe = between, true
		}
	case between:
		switch {
		case now+r.cfg.AttemptTimeout > e.start+r.cfg.DedupWindow-r.cfg.ClockMargin && r.on(GuardWindow):
			if now >= e.over || !r.on(GuardOver) {
				r.land(e, doubt)
				e.next = now
				r.tell(e, "in doubt: it may have run, and the cluster would not drop a repeat any more")
			}
		case (now >= e.over || !r.on(GuardOver)) && r.may(now):
			r.send(e, now)
		}
	case checking:
		if now >= e.next {
			e.phase = doubt
			r.back(e, now)
		}
	case doubt:
		if now >= e.next && r.cfg.Classes[e.w.Class].HasCheck && r.may(now) {
			r.spend(now)
			e.phase, e.next = checking, now+10*r.cfg.AttemptTimeout
			r.acts = append(r.acts, Action{Kind: ActCheck, Dot: e.w.Dot, Key: e.w.Key, Round: e.round})
		}
	}
}

func (r *Replayer) send(e *entry, now Time) {
	r.spend(now)
	e.attempt++
	e.phase, e.over = out, now+r.cfg.AttemptTimeout
	r.acts = append(r.acts, Action{Kind: ActSend, Dot: e.w.Dot, Key: e.w.Key, Round: e.round, Attempt: e.attempt, Until: e.over})
}

// begin lets a write that waits go on, or sets it aside until what it waits for comes. It reports false where nothing
// may be sent now at all.
func (r *Replayer) begin(e *entry, now Time) bool {
	if e.held {
		return true // until it is released
	}
	if now < e.next {
		r.mind(e)
		return true
	}
	// one key has one fate, whichever of its receipts comes first: sent, or dropped
	if c := r.claims[e.w.Key]; c != nil && c != e && r.on(GuardTwin) {
		if c.outcome == Open {
			c.waiters = append(c.waiters, e)
		} else {
			r.keep(e, LogRecord{Kind: KindOutcome, Round: e.round, Outcome: c.outcome, Reason: c.reason, Ground: c.w.Dot})
		}
		return true
	}
	switch s, d := r.ground(e); s {
	case stWait:
		if x := r.all[d]; x != nil {
			x.waiters = append(x.waiters, e)
		} else {
			r.missing[d] = append(r.missing[d], e)
		}
		return true
	case stHeld:
		r.tell(e, fmt.Sprintf("held: %v, which it may depend on, was refused", d))
		return true
	case stDrop:
		r.claims[e.w.Key] = e
		r.keep(e, LogRecord{Kind: KindOutcome, Round: e.round, Outcome: Dropped, Reason: "its cause was refused", Ground: d})
		return true
	}
	if !r.may(now) || r.flight >= r.cfg.MaxInFlight {
		return false
	}
	r.claims[e.w.Key] = e // from here on: two intents for one key must not be on their way at once
	if e.w.MaybeSent && e.round == 0 && !e.cleared && r.on(GuardVouch) {
		e.phase, e.next = doubt, now
		r.mind(e)
		r.tell(e, "in doubt: a gateway of the office may have sent it before the cut")
		return true
	}
	if !r.on(GuardIntent) {
		e.round, e.attempt, e.maybe, e.start = e.round+1, 0, false, now
		r.flight++
		r.mind(e)
		r.send(e, now)
		return true
	}
	r.keep(e, LogRecord{Kind: KindIntent, Round: e.round + 1})
	return true
}

type standing uint8

const (
	stGo standing = iota
	stWait
	stHeld
	stDrop
)

// ground tells what a write's causes make of it, and which cause it is.
func (r *Replayer) ground(e *entry) (standing, Dot) {
	worst, who := stGo, Dot{}
	rule := r.cfg.Classes[e.w.Class].Rule
	look := func(d Dot, exact bool) bool {
		if d.N <= r.floor[d.Queue] {
			return true
		}
		x := r.all[d]
		switch {
		case x == nil && !e.released && r.on(GuardMissing):
			worst, who = stWait, d
			return false
		case x == nil, x.outcome == Applied:
		case x.outcome == Open:
			if r.on(GuardCause) {
				worst, who = stWait, d
				return false
			}
		case e.released || rule == SendAnyway || !r.on(GuardRule):
		case rule == Drop && (exact || !r.on(GuardPrefix)):
			worst, who = stDrop, d
		case worst == stGo:
			worst, who = stHeld, d
		}
		return true
	}
	for _, d := range e.w.Causes.Dots {
		if !look(d, true) {
			return worst, who
		}
	}
	for _, u := range e.w.Causes.Upto {
		for n := r.applied(u.Queue) + 1; n <= u.N; n++ {
			if !look(Dot{Queue: u.Queue, N: n}, false) {
				return worst, who
			}
		}
	}
	return worst, who
}

// applied is up to where all of a queue is applied.
func (r *Replayer) applied(q causes.Queue) uint64 {
	for {
		x := r.all[Dot{Queue: q, N: r.clear[q] + 1}]
		if x == nil || x.outcome != Applied {
			return r.clear[q]
		}
		r.clear[q]++
	}
}

// Counts counts all receipts that were ever known here.
func (r *Replayer) Counts() Counts {
	a := r.retired
	for _, e := range r.all {
		a.Receipts++
		switch {
		case e.outcome == Applied:
			a.Applied++
		case e.outcome != Open:
			a.Refused++
		case e.phase == doubt, e.phase == checking, e.phase == keeping && e.doubted:
			a.InDoubt++
		default:
			a.Waiting++
		}
	}
	return a
}

// Receipt tells one receipt's fate.
func (r *Replayer) Receipt(d Dot) (ReceiptStatus, error) {
	e := r.all[d]
	if e == nil {
		return ReceiptStatus{}, &UnknownReceiptError{d}
	}
	return r.fate(e), nil
}

func (r *Replayer) fate(e *entry) ReceiptStatus {
	f := ReceiptStatus{Dot: e.w.Dot, State: "waiting", Reason: e.reason, Ground: e.ground, Round: e.round, Attempt: e.attempt}
	switch {
	case e.outcome != Open:
		f.State = e.outcome.String()
	case e.phase == doubt, e.phase == checking, e.phase == keeping && e.doubted:
		f.State = "in doubt"
	case e.phase != idle:
		f.State = "out"
	case e.held:
		f.State = "held"
	default:
		s, d := r.ground(e)
		if f.Ground = d; s == stHeld {
			f.State = "held"
		}
	}
	return f
}

// Forget lets a queue's receipts go up to n, once they are past the age until which they can be asked for. Each has to
// be over, and nothing that is not over may depend on one that was refused.
func (r *Replayer) Forget(q causes.Queue, n uint64) error {
	for i := r.floor[q] + 1; i <= n; i++ {
		e := r.all[Dot{Queue: q, N: i}]
		if e == nil {
			return &UnknownReceiptError{Dot{Queue: q, N: i}}
		}
		if e.outcome == Open {
			return &NotOverError{e.w.Dot, r.fate(e).State}
		}
		if e.outcome != Applied {
			for _, x := range r.all {
				if x.outcome == Open && x.w.Causes.Has(e.w.Dot) {
					return &NotOverError{x.w.Dot, r.fate(x).State}
				}
			}
		}
	}
	for i := r.floor[q] + 1; i <= n; i++ {
		e := r.all[Dot{Queue: q, N: i}]
		delete(r.all, e.w.Dot)
		if r.claims[e.w.Key] == e {
			delete(r.claims, e.w.Key)
		}
		r.retired.Receipts++
		if e.outcome == Applied {
			r.retired.Applied++
		} else {
			r.retired.Refused++
		}
	}
	r.floor[q] = max(r.floor[q], n)
	r.clear[q] = max(r.clear[q], r.floor[q])
	return nil
}
