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
	storing        // a record is on its way to the copies
	armed          // the intent is kept, no attempt was made
	inFlight       // an attempt is out
	between        // an attempt may have run; the next waits for it to run out
	inDoubt        // whether it has run is not known
	checking       // is being asked
)

// entry is one write. The first part is what kept records say.
type entry struct {
	write          Write
	round          int
	unresolved     bool // the newest round was begun and nothing kept says how it ended
	cleared        bool // some doubt ended in "has not run"
	outcome        Outcome
	reason         string
	ground         Dot
	held, released bool

	phase        phase
	pending      LogRecord // while keeping
	storeAgainAt Time      // when to try to keep it again, 0 while it is out
	wasInDoubt   bool      // it was in doubt when pend was made
	windowStart  Time      // the window counts from here
	lastDeadline Time      // no attempt made so far runs after this
	attempt      int
	mayHaveRun   bool // an attempt of this round may have run
	nextTry      Time
	failures     int
	lastNotice   string // the last notice, so that it is told once

	ready   bool     // is in the heap of those to look at
	waiters []*entry // wait for this one to be over
}

// before orders writes by age: oldest first.
func (e *entry) before(f *entry) int {
	return cmp.Or(cmp.Compare(e.write.Queued, f.write.Queued), e.write.Dot.Compare(f.write.Dot))
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
	cfg           Config
	off           Guard
	fence         uint64
	permitUntil   Time // the permit's term
	linked        bool
	lastNumber    uint64
	all           map[Dot]*entry
	ready         queue             // idle, to be looked at
	watched       []*entry          // between intent and outcome, in doubt, or resting after a failed try; oldest first
	missing       map[Dot][]*entry  // wait for a write that is not known here
	claims        map[string]*entry // by key: who was, or may have been, sent for it
	forgottenUpTo map[causes.Queue]uint64
	appliedUpTo   map[causes.Queue]uint64 // all up to here is applied
	inFlightCount int
	nextSend      Time
	forgotten     Counts
	actions       []Action
	base          LogRecord
	adopted       []LogRecord
	baseStored    bool // the base is kept
	storeBaseAt   Time // when to try to keep it again
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
	r := &Replayer{cfg: cfg, off: off, fence: fence, permitUntil: until, all: map[Dot]*entry{}, missing: map[Dot][]*entry{}, claims: map[string]*entry{},
		forgottenUpTo: map[causes.Queue]uint64{}, appliedUpTo: map[causes.Queue]uint64{}, nextSend: now}
	for q, n := range floor {
		r.forgottenUpTo[q], r.appliedUpTo[q] = n, n
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
			if k.Dot.N <= r.forgottenUpTo[k.Dot.Queue] {
				continue
			}
			return nil, &UnknownReceiptError{k.Dot} // records of a write that was lost: the copies are not whole
		}
		r.apply(e, k.LogRecord)
		if k.Kind == KindIntent {
			e.windowStart = k.At
		}
	}
	for _, e := range r.all {
		if e.outcome == Open && e.unresolved {
			e.phase, e.mayHaveRun, e.lastDeadline = between, true, now
			r.watch(e)
			r.inFlightCount++
			if !r.enabled(GuardTakeover) {
				e.windowStart = now
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
	kept = slices.DeleteFunc(kept, func(k RecoveredRecord) bool { return k.Base < newest && r.enabled(GuardBase) })
	kept = slices.CompactFunc(kept, func(a, b RecoveredRecord) bool { // sorted, the earliest first
		return a.Fence == b.Fence && a.N == b.N
	})
	r.lastNumber++
	r.base, r.baseStored = LogRecord{Fence: r.fence, N: r.lastNumber, Kind: KindBase}, !r.enabled(GuardBase)
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
func (r *Replayer) BaseStored() bool { return r.baseStored }

func (r *Replayer) enabled(g Guard) bool { return r.off&g == 0 }

// Add takes a write that was queued. One that is known, or forgotten, is passed over.
func (r *Replayer) Add(w Write) error {
	if r.all[w.Dot] != nil || w.Dot.N <= r.forgottenUpTo[w.Dot.Queue] {
		return nil
	}
	for _, d := range slices.Concat(w.Causes.Dots, w.Causes.Upto) {
		if d.Queue == w.Dot.Queue && d.N >= w.Dot.N {
			return &BadCauseError{w.Dot, d}
		}
	}
	e := &entry{write: w}
	r.all[w.Dot] = e
	r.enqueue(e)
	for _, x := range r.missing[w.Dot] {
		r.enqueue(x)
	}
	delete(r.missing, w.Dot)
	return nil
}

// enqueue has a write looked at in the next tick.
func (r *Replayer) enqueue(e *entry) {
	if !e.ready {
		e.ready = true
		heap.Push(&r.ready, e)
	}
}

// watch has a write's times watched.
func (r *Replayer) watch(e *entry) {
	if i, ok := slices.BinarySearchFunc(r.watched, e, (*entry).before); !ok {
		r.watched = slices.Insert(r.watched, i, e)
	}
}

// RenewPermit notes that the permit was renewed, until a time on this clock.
func (r *Replayer) RenewPermit(until Time) { r.permitUntil = until }

// SetLinked notes whether the office counts as linked. While it does not, nothing new is sent.
func (r *Replayer) SetLinked(linked bool) { r.linked = linked }

// maySend reports whether an attempt may go out now.
func (r *Replayer) maySend(now Time) bool {
	if !r.linked || now+r.cfg.AttemptTimeout > r.permitUntil && r.enabled(GuardTerm) {
		return false
	}
	return now >= r.nextSend || !r.enabled(GuardRate)
}

func (r *Replayer) takeSendToken(now Time) {
	r.nextSend = max(now, r.nextSend) + time.Second/time.Duration(r.cfg.SendsPerSecond)
}

// apply is the only way kept state changes.
func (r *Replayer) apply(e *entry, k LogRecord) {
	switch k.Kind {
	case KindIntent:
		e.round, e.unresolved = k.Round, true
		if r.claims[e.write.Key] == nil {
			r.claims[e.write.Key] = e
		}
	case KindNotRun:
		e.unresolved = false
	case KindRetry:
		e.unresolved, e.cleared = false, true
		if e.round < k.Round {
			e.round = k.Round
		}
	case KindHold:
		e.held, e.released = true, false
	case KindRelease:
		e.held, e.released = false, true
	case KindOutcome:
		if e.outcome == Open {
			e.outcome, e.reason, e.ground, e.unresolved = k.Outcome, k.Reason, k.Ground, false
			if r.claims[e.write.Key] == nil {
				r.claims[e.write.Key] = e
			}
		}
	}
}

// requestStore asks for a record; what it says holds once it is kept.
func (r *Replayer) requestStore(e *entry, k LogRecord) {
	r.lastNumber++
	k.Fence, k.N, k.Dot = r.fence, r.lastNumber, e.write.Dot
	e.wasInDoubt = e.phase == inDoubt || e.phase == checking
	if e.phase == idle || e.wasInDoubt {
		r.inFlightCount++
	}
	e.phase, e.pending, e.storeAgainAt = storing, k, 0
	r.watch(e)
	r.actions = append(r.actions, Action{Kind: ActStore, Dot: e.write.Dot, Record: k})
}

// endFlight ends a flight: the write is idle or in doubt again, or over.
func (r *Replayer) endFlight(e *entry, p phase) {
	if e.phase == storing || e.phase == armed || e.phase == inFlight || e.phase == between {
		r.inFlightCount--
	}
	e.phase = p
}

// backOff puts off the next try of a write.
func (r *Replayer) backOff(e *entry, now Time) {
	e.nextTry = now + min(r.cfg.RetryPause<<min(e.failures, 16), r.cfg.MaxRetryPause)
	e.failures++
}

func (r *Replayer) notify(e *entry, note string) {
	if e.lastNotice != note {
		e.lastNotice = note
		r.actions = append(r.actions, Action{Kind: ActNotice, Dot: e.write.Dot, Round: e.round, Note: note})
	}
}

func (r *Replayer) takeActions() []Action {
	a := r.actions
	r.actions = nil
	return a
}

// RecordStored tells that the record of an ActStore is on its copies, or could not be brought there. One that may be there and
// may not is not kept.
func (r *Replayer) RecordStored(now Time, k LogRecord, ok bool) []Action {
	if k.Kind == KindBase && k.Fence == r.fence {
		if r.baseStored = r.baseStored || ok; !r.baseStored {
			r.storeBaseAt = now + r.cfg.RetryPause
		}
		return r.tick(now)
	}
	e := r.all[k.Dot]
	if e == nil || e.phase != storing || e.pending.N != k.N || k.Fence != r.fence {
		return nil
	}
	if !ok {
		if r.backOff(e, now); k.Kind == KindIntent {
			r.endFlight(e, idle)
		} else {
			e.storeAgainAt = e.nextTry
		}
		return r.takeActions()
	}
	r.apply(e, k)
	switch k.Kind {
	case KindIntent:
		e.phase, e.attempt, e.mayHaveRun = armed, 0, false
	case KindOutcome:
		r.endFlight(e, idle)
		if k.Outcome == Dropped {
			r.notify(e, fmt.Sprintf("dropped: %v, which it depends on, was refused", k.Ground))
		}
	default:
		r.endFlight(e, idle)
	}
	return r.tick(now)
}

// Answered tells how an attempt ended.
func (r *Replayer) Answered(now Time, d Dot, round, attempt int, a Answer, reason string) []Action {
	e := r.all[d]
	if e == nil {
		return nil
	}
	if e.phase != inFlight || e.round != round || e.attempt != attempt {
		if a != Ran {
			return r.tick(now)
		}
		switch { // late, but the truth
		case e.outcome == Applied && e.round == round:
		case e.outcome != Open || e.round != round:
			r.notify(e, fmt.Sprintf("conflict: round %d has run after all, its outcome is %v in round %d", round, e.outcome, e.round))
		case e.phase == inDoubt || e.phase == checking || e.phase == between:
			r.requestStore(e, LogRecord{Kind: KindOutcome, Round: round, Outcome: Applied})
		}
		return r.tick(now)
	}
	switch {
	case a == Ran:
		r.requestStore(e, LogRecord{Kind: KindOutcome, Round: round, Outcome: Applied})
	case a == Rejected:
		r.requestStore(e, LogRecord{Kind: KindOutcome, Round: round, Outcome: Refused, Reason: reason})
	case a == NotRun && !e.mayHaveRun:
		r.backOff(e, now)
		r.requestStore(e, LogRecord{Kind: KindNotRun, Round: round})
	default:
		e.mayHaveRun = e.mayHaveRun || a == MaybeRan
		e.phase = between
	}
	return r.tick(now)
}

// Checked tells what a check found.
func (r *Replayer) Checked(now Time, d Dot, round int, f Finding) []Action {
	e := r.all[d]
	if e == nil || e.phase != checking && e.phase != inDoubt || e.round != round && r.enabled(GuardRound) {
		return nil
	}
	switch f {
	case HasRun:
		r.requestStore(e, LogRecord{Kind: KindOutcome, Round: e.round, Outcome: Applied, Reason: "found by its check"})
	case HasNotRun:
		r.backOff(e, now)
		r.requestStore(e, LogRecord{Kind: KindRetry, Round: e.round})
	default:
		e.phase = inDoubt
		r.backOff(e, now)
	}
	return r.tick(now)
}

// Resolve takes an operator's word. Words on a doubt name its round, as Receipt returned it.
func (r *Replayer) Resolve(now Time, d Dot, round int, w Resolution) ([]Action, error) {
	e := r.all[d]
	if e == nil {
		return nil, &UnknownReceiptError{d}
	}
	if !r.baseStored {
		return nil, &NotBegunError{r.fence}
	}
	state := r.receiptStatus(e).State
	unsure := e.phase == inDoubt || e.phase == checking
	switch {
	case w <= ResolveRetry && !unsure:
		return nil, &WrongStateError{d, state, "in doubt"}
	case w <= ResolveRetry && e.round != round && r.enabled(GuardRound):
		return nil, &OldRoundError{d, round, e.round}
	case w == ResolveApplied:
		r.requestStore(e, LogRecord{Kind: KindOutcome, Round: e.round, Outcome: Applied, Reason: "an operator's word"})
	case w == ResolveNotApplied:
		r.requestStore(e, LogRecord{Kind: KindOutcome, Round: e.round, Outcome: Refused, Reason: "not applied, by an operator's word"})
	case w == ResolveRetry:
		r.requestStore(e, LogRecord{Kind: KindRetry, Round: e.round})
	case e.outcome != Open || e.phase != idle:
		return nil, &WrongStateError{d, state, "waiting or held"}
	case w == ResolveHold:
		r.requestStore(e, LogRecord{Kind: KindHold, Round: e.round})
	default:
		r.requestStore(e, LogRecord{Kind: KindRelease, Round: e.round})
	}
	return r.tick(now), nil
}

// Tick does what is due. It is to be called every 50 ms or oftener.
func (r *Replayer) Tick(now Time) []Action { return r.tick(now) }

func (r *Replayer) tick(now Time) []Action {
	if !r.baseStored {
		if now >= r.storeBaseAt {
			r.storeBaseAt = 1 << 62 // until its event comes
			r.actions = append(r.actions, Action{Kind: ActStore, Record: r.base})
		}
		return r.takeActions()
	}
	for i := 0; i < len(r.watched); i++ {
		e := r.watched[i]
		r.step(e, now)
		if e.outcome == Open && (e.phase != idle || now < e.nextTry) {
			continue
		}
		r.watched = slices.Delete(r.watched, i, i+1)
		i--
		if e.outcome == Open {
			r.enqueue(e)
			continue
		}
		for _, x := range e.waiters {
			r.enqueue(x)
		}
		e.waiters = nil
	}
	for len(r.ready) > 0 && (r.enabled(GuardPoison) || len(r.watched) == 0) {
		e := r.ready[0]
		if e.outcome == Open && e.phase == idle && !r.begin(e, now) {
			break
		}
		e.ready = false
		heap.Pop(&r.ready)
	}
	return r.takeActions()
}

// step does what is due for one write that is not over.
func (r *Replayer) step(e *entry, now Time) {
	switch e.phase {
	case storing:
		if e.storeAgainAt > 0 && now >= e.storeAgainAt {
			e.storeAgainAt = 0
			r.actions = append(r.actions, Action{Kind: ActStore, Dot: e.write.Dot, Record: e.pending})
		}
	case armed:
		if !r.linked || now+r.cfg.AttemptTimeout > r.permitUntil && r.enabled(GuardTerm) {
			r.requestStore(e, LogRecord{Kind: KindNotRun, Round: e.round}) // nothing was sent
		} else if r.maySend(now) {
			e.windowStart = now
			r.send(e, now)
		}
	case inFlight:
		if now >= e.lastDeadline+r.cfg.AttemptTimeout { // its answer can't come any more
			e.phase, e.mayHaveRun = between, true
		}
	case between:
		switch {
		case now+r.cfg.AttemptTimeout > e.windowStart+r.cfg.DedupWindow-r.cfg.ClockMargin && r.enabled(GuardWindow):
			if now >= e.lastDeadline || !r.enabled(GuardOver) {
				r.endFlight(e, inDoubt)
				e.nextTry = now
				r.notify(e, "in doubt: it may have run, and the cluster would not drop a repeat any more")
			}
		case (now >= e.lastDeadline || !r.enabled(GuardOver)) && r.maySend(now):
			r.send(e, now)
		}
	case checking:
		if now >= e.nextTry {
			e.phase = inDoubt
			r.backOff(e, now)
		}
	case inDoubt:
		if now >= e.nextTry && r.cfg.Classes[e.write.Class].HasCheck && r.maySend(now) {
			r.takeSendToken(now)
			e.phase, e.nextTry = checking, now+10*r.cfg.AttemptTimeout
			r.actions = append(r.actions, Action{Kind: ActCheck, Dot: e.write.Dot, Key: e.write.Key, Round: e.round})
		}
	}
}

func (r *Replayer) send(e *entry, now Time) {
	r.takeSendToken(now)
	e.attempt++
	e.phase, e.lastDeadline = inFlight, now+r.cfg.AttemptTimeout
	r.actions = append(r.actions, Action{Kind: ActSend, Dot: e.write.Dot, Key: e.write.Key, Round: e.round, Attempt: e.attempt, Until: e.lastDeadline})
}

// begin lets a write that waits go on, or sets it aside until what it waits for comes. It reports false where nothing
// may be sent now at all.
func (r *Replayer) begin(e *entry, now Time) bool {
	if e.held {
		return true // until it is released
	}
	if now < e.nextTry {
		r.watch(e)
		return true
	}
	// one key has one fate, whichever of its receipts comes first: sent, or dropped
	if c := r.claims[e.write.Key]; c != nil && c != e && r.enabled(GuardTwin) {
		if c.outcome == Open {
			c.waiters = append(c.waiters, e)
		} else {
			r.requestStore(e, LogRecord{Kind: KindOutcome, Round: e.round, Outcome: c.outcome, Reason: c.reason, Ground: c.write.Dot})
		}
		return true
	}
	switch s, d := r.causeState(e); s {
	case causesWait:
		if x := r.all[d]; x != nil {
			x.waiters = append(x.waiters, e)
		} else {
			r.missing[d] = append(r.missing[d], e)
		}
		return true
	case causesHeld:
		r.notify(e, fmt.Sprintf("held: %v, which it may depend on, was refused", d))
		return true
	case causesDrop:
		r.claims[e.write.Key] = e
		r.requestStore(e, LogRecord{Kind: KindOutcome, Round: e.round, Outcome: Dropped, Reason: "its cause was refused", Ground: d})
		return true
	}
	if !r.maySend(now) || r.inFlightCount >= r.cfg.MaxInFlight {
		return false
	}
	r.claims[e.write.Key] = e // from here on: two intents for one key must not be on their way at once
	if e.write.MaybeSent && e.round == 0 && !e.cleared && r.enabled(GuardVouch) {
		e.phase, e.nextTry = inDoubt, now
		r.watch(e)
		r.notify(e, "in doubt: a gateway of the office may have sent it before the cut")
		return true
	}
	if !r.enabled(GuardIntent) {
		e.round, e.attempt, e.mayHaveRun, e.windowStart = e.round+1, 0, false, now
		r.inFlightCount++
		r.watch(e)
		r.send(e, now)
		return true
	}
	r.requestStore(e, LogRecord{Kind: KindIntent, Round: e.round + 1})
	return true
}

type causeVerdict uint8

const (
	causesDone causeVerdict = iota
	causesWait
	causesHeld
	causesDrop
)

// causeState tells what a write's causes make of it, and which cause it is.
func (r *Replayer) causeState(e *entry) (causeVerdict, Dot) {
	worst, who := causesDone, Dot{}
	rule := r.cfg.Classes[e.write.Class].Rule
	look := func(d Dot, exact bool) bool {
		if d.N <= r.forgottenUpTo[d.Queue] {
			return true
		}
		x := r.all[d]
		switch {
		case x == nil && !e.released && r.enabled(GuardMissing):
			worst, who = causesWait, d
			return false
		case x == nil, x.outcome == Applied:
		case x.outcome == Open:
			if r.enabled(GuardCause) {
				worst, who = causesWait, d
				return false
			}
		case e.released || rule == SendAnyway || !r.enabled(GuardRule):
		case rule == Drop && (exact || !r.enabled(GuardPrefix)):
			worst, who = causesDrop, d
		case worst == causesDone:
			worst, who = causesHeld, d
		}
		return true
	}
	for _, d := range e.write.Causes.Dots {
		if !look(d, true) {
			return worst, who
		}
	}
	for _, u := range e.write.Causes.Upto {
		for n := r.appliedPrefix(u.Queue) + 1; n <= u.N; n++ {
			if !look(Dot{Queue: u.Queue, N: n}, false) {
				return worst, who
			}
		}
	}
	return worst, who
}

// appliedPrefix is up to where all of a queue is applied.
func (r *Replayer) appliedPrefix(q causes.Queue) uint64 {
	for {
		x := r.all[Dot{Queue: q, N: r.appliedUpTo[q] + 1}]
		if x == nil || x.outcome != Applied {
			return r.appliedUpTo[q]
		}
		r.appliedUpTo[q]++
	}
}

// Counts counts all receipts that were ever known here.
func (r *Replayer) Counts() Counts {
	a := r.forgotten
	for _, e := range r.all {
		a.Receipts++
		switch {
		case e.outcome == Applied:
			a.Applied++
		case e.outcome != Open:
			a.Refused++
		case e.phase == inDoubt, e.phase == checking, e.phase == storing && e.wasInDoubt:
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
	return r.receiptStatus(e), nil
}

func (r *Replayer) receiptStatus(e *entry) ReceiptStatus {
	f := ReceiptStatus{Dot: e.write.Dot, State: "waiting", Reason: e.reason, Ground: e.ground, Round: e.round, Attempt: e.attempt}
	switch {
	case e.outcome != Open:
		f.State = e.outcome.String()
	case e.phase == inDoubt, e.phase == checking, e.phase == storing && e.wasInDoubt:
		f.State = "in doubt"
	case e.phase != idle:
		f.State = "out"
	case e.held:
		f.State = "held"
	default:
		s, d := r.causeState(e)
		if f.Ground = d; s == causesHeld {
			f.State = "held"
		}
	}
	return f
}

// Forget lets a queue's receipts go up to n, once they are past the age until which they can be asked for. Each has to
// be over, and nothing that is not over may depend on one that was refused.
func (r *Replayer) Forget(q causes.Queue, n uint64) error {
	for i := r.forgottenUpTo[q] + 1; i <= n; i++ {
		e := r.all[Dot{Queue: q, N: i}]
		if e == nil {
			return &UnknownReceiptError{Dot{Queue: q, N: i}}
		}
		if e.outcome == Open {
			return &NotOverError{e.write.Dot, r.receiptStatus(e).State}
		}
		if e.outcome != Applied {
			for _, x := range r.all {
				if x.outcome == Open && x.write.Causes.Has(e.write.Dot) {
					return &NotOverError{x.write.Dot, r.receiptStatus(x).State}
				}
			}
		}
	}
	for i := r.forgottenUpTo[q] + 1; i <= n; i++ {
		e := r.all[Dot{Queue: q, N: i}]
		delete(r.all, e.write.Dot)
		if r.claims[e.write.Key] == e {
			delete(r.claims, e.write.Key)
		}
		r.forgotten.Receipts++
		if e.outcome == Applied {
			r.forgotten.Applied++
		} else {
			r.forgotten.Refused++
		}
	}
	r.forgottenUpTo[q] = max(r.forgottenUpTo[q], n)
	r.appliedUpTo[q] = max(r.appliedUpTo[q], r.forgottenUpTo[q])
	return nil
}
