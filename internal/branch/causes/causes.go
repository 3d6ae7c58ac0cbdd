// Package causes tells what each queued write of a cut-off office depends on, as one gateway of the office knows it:
// what its session wrote or saw before, at whichever gateway. It does no I/O, starts no goroutine and reads no clock.
package causes

import (
	"cmp"
	"fmt"
	"slices"
)

// Queue names one life of one gateway's folder: "kea-basin/g1#3". A life that may not be the newest is never gone on
// with, so that no number is given twice.
type Queue string

// Dot is one queued write, and its receipt. Numbers start at 1 and have no gaps.
type Dot struct {
	Queue Queue  `cbor:"1,keyasint" json:"queue"`
	N     uint64 `cbor:"2,keyasint" json:"n"`
}

// String is the receipt as clients and operators say it.
func (d Dot) String() string { return fmt.Sprintf("%s:%d", d.Queue, d.N) }

// Compare orders dots for output alone; it says nothing of what came first.
func (d Dot) Compare(e Dot) int { return cmp.Or(cmp.Compare(d.Queue, e.Queue), cmp.Compare(d.N, e.N)) }

// Context is what a session has behind it: dots that are known exactly, and prefixes, "all of this queue up to n",
// where exact dots were too many. A write that stands for others by its own context leaves those out.
type Context struct {
	Dots []Dot `cbor:"1,keyasint,omitempty" json:"dots,omitempty"`
	Upto []Dot `cbor:"2,keyasint,omitempty" json:"upto,omitempty"`
}

// Has reports whether d is named, exactly or by a prefix.
func (c Context) Has(d Dot) bool {
	return slices.Contains(c.Dots, d) || slices.ContainsFunc(c.Upto, func(u Dot) bool { return u.Queue == d.Queue && d.N <= u.N })
}

// Record is a queued write's place in the order: kept with it, copied with it.
type Record struct {
	Dot     Dot     `cbor:"1,keyasint" json:"receipt"`
	Session string  `cbor:"2,keyasint" json:"session"`
	Causes  Context `cbor:"3,keyasint" json:"causes"`
}

// Config bounds a tracker. Zero values stand for the defaults.
type Config struct {
	Queue       Queue // this gateway's own, in its present life
	MaxDots     int   // exact dots in one context (16)
	MaxQueues   int   // queues that contexts may name (64)
	MaxSessions int   // sessions held (4096)
}

// TooManyQueuesError says that a context names more queues than the bound: gateways that start anew all the time.
type TooManyQueuesError struct {
	Queue Queue
	Max   int
}

func (e *TooManyQueuesError) Error() string {
	return fmt.Sprintf("queue %s would be one more than the %d that causes may name: replay and forget older queues first", e.Queue, e.Max)
}

// NotNextError says that kept records do not follow each other: the folder lost one, or is another life's.
type NotNextError struct {
	Found Dot
	Want  uint64
}

func (e *NotNextError) Error() string {
	return fmt.Sprintf("record %v stands where number %d of its queue was wanted: start a new life of the folder", e.Found, e.Want)
}

// Guard is one thing that keeps the order; checks switch them off one by one.
type Guard uint16

// The guards.
const (
	GuardOwn     Guard = 1 << iota // a session's write depends on its last one
	GuardSeen                      // and on what it was told of
	GuardFold                      // too many dots become a prefix, none is left out
	GuardRestart                   // after a restart each session starts on all that was kept
	GuardMoved                     // what a session brings from another gateway counts
	GuardEvict                     // a session that leaves the table is folded into the ground of all
)

// Guards are all of them, with what each keeps.
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
	lastUse uint64 // turn of its last use, for who leaves first
}

// Tracker is one gateway's knowledge. It is its owner's alone.
type Tracker struct {
	cfg      Config
	off      Guard
	next     uint64
	useCount uint64
	sessions map[string]*session
	baseline map[Queue]uint64 // prefixes on which a session that is not held starts
	queues   map[Queue]bool
	// Folded and Evicted count contexts that became wider than exact.
	Folded, Evicted uint64
}

// New returns the tracker of a queue that is empty. Guards are switched off for checks only.
func New(cfg Config, off Guard) *Tracker {
	cfg.MaxDots = cmp.Or(cfg.MaxDots, 16)
	cfg.MaxQueues = cmp.Or(cfg.MaxQueues, 64)
	cfg.MaxSessions = cmp.Or(cfg.MaxSessions, 4096)
	return &Tracker{cfg: cfg, off: off, next: 1, sessions: map[string]*session{},
		baseline: map[Queue]uint64{}, queues: map[Queue]bool{cfg.Queue: true}}
}

// Restore is New for a gateway that starts again in the same life with what it had kept: its own records in order, and
// copies of others' in any. What sessions had seen is not kept, so each starts on all that this gateway can have told:
// the owner keeps the record, or a record that names the dot, of all that it gives to Saw and Bring.
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
			for _, d := range slices.Concat(r.Causes.Dots, r.Causes.Upto) { // known here by name, though not copied
				if err := t.extendBaseline(d); err != nil {
					return nil, err
				}
			}
		}
	}
	return t, nil
}

func (t *Tracker) enabled(g Guard) bool { return t.off&g == 0 }

// admitQueue takes a queue among those that may be named.
func (t *Tracker) admitQueue(q Queue) error {
	if !t.queues[q] && len(t.queues) >= t.cfg.MaxQueues {
		return &TooManyQueuesError{q, t.cfg.MaxQueues}
	}
	t.queues[q] = true
	return nil
}

// extendBaseline takes d and all before it in its queue into the ground.
func (t *Tracker) extendBaseline(d Dot) error {
	if err := t.admitQueue(d.Queue); err != nil {
		return err
	}
	t.baseline[d.Queue] = max(t.baseline[d.Queue], d.N)
	return nil
}

// sessionFor is a session's entry, made on the ground if it is not held.
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

// evict lets the session go that was used longest ago. Its context becomes everyone's ground: should it come back, it
// depends on at least what it did.
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

// add takes a dot, or a prefix, into a context and keeps it within its bound.
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

// prefix makes c hold all of d's queue up to d.
func (t *Tracker) prefix(c *Context, d Dot) {
	c.Dots = slices.DeleteFunc(c.Dots, func(e Dot) bool { return e.Queue == d.Queue && e.N <= d.N })
	if i := slices.IndexFunc(c.Upto, func(u Dot) bool { return u.Queue == d.Queue }); i >= 0 {
		c.Upto[i].N = max(c.Upto[i].N, d.N)
		return
	}
	c.Upto = append(c.Upto, d)
	slices.SortFunc(c.Upto, Dot.Compare)
}

// MergeContext takes what a session knows from elsewhere: receipts that its client brought, or what another gateway told.
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

// RecordSeen notes that a session was told of a queued write at this office.
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

// Write gives a session's write its number and its causes. The session's context is that write alone from here on: it
// stands for all before it. The record has to be kept, and copied, before the receipt is told. Where keeping fails, the
// life of the folder ends: a number is never given again.
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

// Context is what travels with a session that moves. It is the caller's.
func (t *Tracker) Context(name string) Context {
	s := t.sessionFor(name)
	return Context{Dots: slices.Clone(s.ctx.Dots), Upto: slices.Clone(s.ctx.Upto)}
}

// Settled forgets a queue up to n in all contexts and the ground: every write up to there is applied, or has another
// outcome that was told or is past the age until which it can be asked for.
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
