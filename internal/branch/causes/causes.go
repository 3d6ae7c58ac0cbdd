// Package causes tracks the causal dependencies of each queued write of a cut-off office, as known to one gateway: what
// its session wrote or saw before, at any gateway of the office. It does no I/O, starts no goroutine and reads no clock.
package causes

import (
	"cmp"
	"fmt"
	"slices"
)

// Queue names one incarnation of one gateway's folder, e.g. "kea-basin/g1#3". An incarnation that may not be the newest
// is never continued, so that no number is assigned twice.
type Queue string

// Dot identifies one queued write and is its receipt. Numbers start at 1 and have no gaps.
type Dot struct {
	Queue Queue  `cbor:"1,keyasint" json:"queue"`
	N     uint64 `cbor:"2,keyasint" json:"n"`
}

// String returns the receipt in the form that clients and operators use.
func (d Dot) String() string { return fmt.Sprintf("%s:%d", d.Queue, d.N) }

// Compare orders dots for output; the order is not causal.
func (d Dot) Compare(e Dot) int { return cmp.Or(cmp.Compare(d.Queue, e.Queue), cmp.Compare(d.N, e.N)) }

// Context is the causal past of a session: exact dots, and prefixes ("all of this queue up to n") where there were too
// many exact dots. Writes that are in the context of a listed write are left out.
type Context struct {
	Dots []Dot `cbor:"1,keyasint,omitempty" json:"dots,omitempty"`
	Upto []Dot `cbor:"2,keyasint,omitempty" json:"upto,omitempty"`
}

// Has reports whether c contains d, as an exact dot or by a prefix.
func (c Context) Has(d Dot) bool {
	return slices.Contains(c.Dots, d) || slices.ContainsFunc(c.Upto, func(u Dot) bool { return u.Queue == d.Queue && d.N <= u.N })
}

// Record is a queued write's place in the causal order; it is stored and copied with the write.
type Record struct {
	Dot     Dot     `cbor:"1,keyasint" json:"receipt"`
	Session string  `cbor:"2,keyasint" json:"session"`
	Causes  Context `cbor:"3,keyasint" json:"causes"`
}

// Config sets the limits of a tracker. Zero values select the defaults, which stand in brackets.
type Config struct {
	Queue       Queue // this gateway's own, in its current incarnation
	MaxDots     int   // exact dots in one context (16)
	MaxQueues   int   // queues that all contexts together may name (64)
	MaxSessions int   // sessions held in memory (4096)
}

// TooManyQueuesError reports that contexts would name more than Max queues, e.g. since gateways restart all the time.
type TooManyQueuesError struct {
	Queue Queue
	Max   int
}

func (e *TooManyQueuesError) Error() string {
	return fmt.Sprintf("queue %s exceeds the limit of %d queues that causes may name: replay and forget older queues first", e.Queue, e.Max)
}

// NotNextError reports a gap in the stored records: the folder lost one, or belongs to another incarnation.
type NotNextError struct {
	Found Dot
	Want  uint64
}

func (e *NotNextError) Error() string {
	return fmt.Sprintf("found record %v, wanted number %d of its queue: start a new incarnation of the folder", e.Found, e.Want)
}

// Guard is a bit for one rule that preserves the causal order; tests disable them one at a time.
type Guard uint16

// The guards.
const (
	GuardOwn     Guard = 1 << iota // a session's write depends on its previous one
	GuardSeen                      // and on writes that the session has seen
	GuardFold                      // excess dots become a prefix; none is dropped
	GuardRestart                   // after a restart each session depends on all that was stored
	GuardMoved                     // the context that a session brings from another gateway counts
	GuardEvict                     // an evicted session's context is merged into the baseline
)

// Guards lists all guards with the property that each protects.
var Guards = []struct {
	Guard Guard
	Keeps string
}{
	{GuardOwn, "a session's writes follow each other"},
	{GuardSeen, "a write follows what its author saw"},
	{GuardFold, "a full context waits more, never less"},
	{GuardRestart, "a restart forgets no order"},
	{GuardMoved, "a session that moves keeps its order"},
	{GuardEvict, "a full table forgets no order"},
}

type session struct {
	ctx     Context
	lastUse uint64 // useCount at its last use, for least-recently-used eviction
}

// Tracker holds one gateway's causal knowledge. Not safe for concurrent use.
type Tracker struct {
	cfg      Config
	off      Guard
	next     uint64
	useCount uint64
	sessions map[string]*session
	baseline map[Queue]uint64 // prefixes that a session not in the table starts with
	queues   map[Queue]bool
	// Folded and Evicted count contexts that were widened beyond their exact dots.
	Folded, Evicted uint64
}

// New returns the tracker of an empty queue. Guards in off are disabled; for tests only.
func New(cfg Config, off Guard) *Tracker {
	cfg.MaxDots = cmp.Or(cfg.MaxDots, 16)
	cfg.MaxQueues = cmp.Or(cfg.MaxQueues, 64)
	cfg.MaxSessions = cmp.Or(cfg.MaxSessions, 4096)
	return &Tracker{cfg: cfg, off: off, next: 1, sessions: map[string]*session{},
		baseline: map[Queue]uint64{}, queues: map[Queue]bool{cfg.Queue: true}}
}

// Restore is New for a gateway that restarts in the same incarnation from its stored records: its own in order, copies
// of others' in any order. What sessions had seen is not stored, so each starts with all that this gateway can have
// shown: the caller stores the record, or one that names the dot, of all that it passes to RecordSeen and MergeContext.
// The error is a *NotNextError or *TooManyQueuesError.
func Restore(cfg Config, kept []Record, off Guard) (*Tracker, error) {
	t := New(cfg, off)
	for _, r := range kept {
		if r.Dot.Queue == cfg.Queue {
			if r.Dot.N != t.next {
				return nil, &NotNextError{r.Dot, t.next}
			}
			t.next++
		}
		if t.enabled(GuardRestart) {
			if err := t.extendBaseline(r.Dot); err != nil {
				return nil, err
			}
			for _, d := range slices.Concat(r.Causes.Dots, r.Causes.Upto) { // known by name only; its record was not copied here
				if err := t.extendBaseline(d); err != nil {
					return nil, err
				}
			}
		}
	}
	return t, nil
}

func (t *Tracker) enabled(g Guard) bool { return t.off&g == 0 }

// admitQueue registers a queue, or returns a *TooManyQueuesError.
func (t *Tracker) admitQueue(q Queue) error {
	if !t.queues[q] && len(t.queues) >= t.cfg.MaxQueues {
		return &TooManyQueuesError{q, t.cfg.MaxQueues}
	}
	t.queues[q] = true
	return nil
}

// extendBaseline adds d and all before it in its queue to the baseline.
func (t *Tracker) extendBaseline(d Dot) error {
	if err := t.admitQueue(d.Queue); err != nil {
		return err
	}
	t.baseline[d.Queue] = max(t.baseline[d.Queue], d.N)
	return nil
}

// sessionFor returns a session's entry; a new one starts with the baseline.
func (t *Tracker) sessionFor(name string) *session {
	t.useCount++
	s := t.sessions[name]
	if s == nil {
		if len(t.sessions) >= t.cfg.MaxSessions {
			t.evict()
		}
		s = &session{}
		for q, n := range t.baseline {
			s.ctx.Upto = append(s.ctx.Upto, Dot{q, n})
		}
		slices.SortFunc(s.ctx.Upto, Dot.Compare)
		t.sessions[name] = s
	}
	s.lastUse = t.useCount
	return s
}

// evict removes the least recently used session. Its context is merged into the baseline, so that the session depends on
// at least as much as before if it returns.
func (t *Tracker) evict() {
	var oldest string
	for name, s := range t.sessions {
		if o := t.sessions[oldest]; o == nil || s.lastUse < o.lastUse {
			oldest = name
		}
	}
	s := t.sessions[oldest]
	delete(t.sessions, oldest)
	t.Evicted++
	if t.enabled(GuardEvict) {
		for _, d := range slices.Concat(s.ctx.Dots, s.ctx.Upto) {
			t.baseline[d.Queue] = max(t.baseline[d.Queue], d.N) // its queue was admitted with it
		}
	}
}

// add adds a dot, or a prefix, to a context and keeps the context within MaxDots.
func (t *Tracker) add(c *Context, d Dot, upto bool) {
	if c.Has(d) && (!upto || slices.ContainsFunc(c.Upto, func(u Dot) bool { return u.Queue == d.Queue && d.N <= u.N })) {
		return
	}
	if !upto {
		c.Dots = append(c.Dots, d)
	} else {
		t.prefix(c, d)
	}
	if len(c.Dots) <= t.cfg.MaxDots {
		return
	}
	if !t.enabled(GuardFold) {
		c.Dots = c.Dots[1:]
		return
	}
	t.Folded++
	count, most := map[Queue]int{}, Queue("")
	for _, d := range c.Dots {
		if count[d.Queue]++; count[d.Queue] > count[most] || count[d.Queue] == count[most] && d.Queue < most {
			most = d.Queue
		}
	}
	last := Dot{Queue: most}
	for _, d := range c.Dots {
		if d.Queue == most {
			last.N = max(last.N, d.N)
		}
	}
	t.prefix(c, last)
}

// prefix makes c contain all of d's queue up to d.
func (t *Tracker) prefix(c *Context, d Dot) {
	c.Dots = slices.DeleteFunc(c.Dots, func(e Dot) bool { return e.Queue == d.Queue && e.N <= d.N })
	if i := slices.IndexFunc(c.Upto, func(u Dot) bool { return u.Queue == d.Queue }); i >= 0 {
		c.Upto[i].N = max(c.Upto[i].N, d.N)
		return
	}
	c.Upto = append(c.Upto, d)
	slices.SortFunc(c.Upto, Dot.Compare)
}

// MergeContext adds what a session knows from elsewhere: receipts from its client, or its context at another gateway.
// The error is a *TooManyQueuesError; then nothing was added.
func (t *Tracker) MergeContext(name string, c Context) error {
	for _, d := range slices.Concat(c.Dots, c.Upto) {
		if err := t.admitQueue(d.Queue); err != nil {
			return err
		}
	}
	s := t.sessionFor(name)
	if !t.enabled(GuardMoved) {
		return nil
	}
	for _, d := range c.Upto {
		t.add(&s.ctx, d, true)
	}
	for _, d := range c.Dots {
		t.add(&s.ctx, d, false)
	}
	return nil
}

// RecordSeen records that a session has seen a queued write of this office. The error is a *TooManyQueuesError.
func (t *Tracker) RecordSeen(name string, r Dot) error {
	if err := t.admitQueue(r.Queue); err != nil {
		return err
	}
	s := t.sessionFor(name)
	if t.enabled(GuardSeen) {
		t.add(&s.ctx, r, false)
	}
	return nil
}

// Write assigns a session's write its number and causes. From then on the session's context is that write alone, which
// covers all before it. The caller must store and copy the record before it hands out the receipt. If storing fails, the
// folder's incarnation ends, since a number is never assigned again.
func (t *Tracker) Write(name string) Record {
	s := t.sessionFor(name)
	r := Record{Dot: Dot{t.cfg.Queue, t.next}, Session: name, Causes: s.ctx}
	t.next++
	s.ctx = Context{Dots: []Dot{r.Dot}}
	if !t.enabled(GuardOwn) {
		s.ctx = Context{}
	}
	return r
}

// Context returns a copy of a session's context, to be passed on when the session moves to another gateway.
func (t *Tracker) Context(name string) Context {
	s := t.sessionFor(name)
	return Context{Dots: slices.Clone(s.ctx.Dots), Upto: slices.Clone(s.ctx.Upto)}
}

// Settled drops a queue up to n from all contexts and the baseline. Every write up to there must be applied, or have
// another outcome that was reported or whose retention time is over.
func (t *Tracker) Settled(q Queue, n uint64) {
	past := func(d Dot) bool { return d.Queue == q && d.N <= n }
	if t.baseline[q] <= n {
		delete(t.baseline, q)
	}
	named := q == t.cfg.Queue || t.baseline[q] > 0
	for _, s := range t.sessions {
		s.ctx.Dots = slices.DeleteFunc(slices.Clone(s.ctx.Dots), past)
		s.ctx.Upto = slices.DeleteFunc(slices.Clone(s.ctx.Upto), past)
		named = named || slices.ContainsFunc(slices.Concat(s.ctx.Dots, s.ctx.Upto), func(d Dot) bool { return d.Queue == q })
	}
	if !named {
		delete(t.queues, q)
	}
}
