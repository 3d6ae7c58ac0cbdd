// Package core runs the decision module for the socket code. One goroutine,
// in Run, owns the module and the tables of requests and attempts; all else
// reaches it through a queue that never blocks. It knows no protocol: fronts
// hand it requests, members carry out attempts, and what travels between the
// two is opaque to it.
package core

import (
	"container/heap"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"reachwind/decide"
	"reachwind/internal/record"
)

// Time is a point on the gateway's clock, since the start of Unix time, or a span on it.
type Time = decide.Time

// Clock counts from the start of Unix time, to which it is anchored once; it
// never goes back. Log positions and start times share this origin.
type Clock struct {
	start time.Time
	unix  Time
}

// NewClock anchors a clock now.
func NewClock() Clock {
	now := time.Now()
	return Clock{now, Time(now.UnixNano())}
}

// Now reads the clock.
func (c Clock) Now() Time { return c.unix + time.Since(c.start) }

// At is the point of the system's clock at t, for deadlines.
func (c Clock) At(t Time) time.Time { return c.start.Add(t - c.unix) }

// Payload is what a front and the members pass each other. It is released by
// whoever holds it last.
type Payload interface{ Release() }

// Client is where a request's one answer goes. Answer must not block; it takes the answer's payload.
type Client interface{ Answer(Answer) }

// Verdict is the kind of a final answer.
type Verdict int

// The verdicts.
const (
	Served  Verdict = iota
	Refused         // trying again is harmless, best after After
	Failed          // nothing is promised
)

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	RetryAfter Time
	Body       Payload // Served: what the member answered
	Position   Time    // Served: the log position that the member told, a write's commit; 0 = none
	MayHaveRun bool    // Failed: some attempt may have had its effect
	Cancelled  bool    // Failed: by its client's own word, see Core.Cancel
}

// Request is one client request. The front fills in the first fields, and
// leaves them alone once it has handed the request over; the core may shorten Until.
type Request struct {
	Class              *decide.Class // as it was when the request was taken; the settings may change
	ClassIndex, Tenant int           // places of the names of its class and customer; Tenant -1 = none
	Group              int64
	Front              string // which front it came by, in one word
	Session            string
	LastWrite          Time // the session's last write where clients carry it, 0 = none
	MinPosition        Time // a read must see what was committed by then, 0 = what its class says
	Retry              bool
	Deadline           Time // how long the client waits
	ReceivedAt         Time // when it came, perhaps long before its turn on its connection; 0 = now
	Call               Payload
	Client             Client

	id       uint64
	arrived  Time
	attempts []*Attempt
	out      int
	ended    bool
	begun    bool // its answer is being passed on: no time limit ends it

	cancelled bool // by its client, perhaps before it arrived

	over atomic.Bool // no attempt may begin any more; set where that is first seen, on any goroutine
}

// Closed tells that no attempt of the request may begin any more: its client has left or cancelled it, or it has its
// answer. It may be called from any goroutine; whoever writes an attempt asks right before its first byte.
func (q *Request) Closed() bool { return q.over.Load() }

// Attempt is one try of a request at a member.
type Attempt struct {
	Request  *Request
	Member   string
	Deadline Time // timed out then
	WriteBy  Time // to be written whole by then, else not at all; 0 = any time
	atLeast  Time // a replica's answer that tells an older position is too old
	no       int
	sent     Time
	done     bool
	stopped  bool // given up, unless its answer had begun

	// For records: how it ended, and what its member told.
	result   decide.Result
	role     decide.Role
	position Time
	lag      Time // age of what was known of the member at the send
	hasLag   bool
}

// Outcome is how an attempt ended.
type Outcome struct {
	Result      decide.Result
	Reused      bool // Reset: the connection had been used before
	Role        decide.Role
	HasPosition bool
	Position    Time
	Report      decide.Report
	Body        Payload // Served: the answer
}

// ListedMember is an entry of the list of members.
type ListedMember struct {
	decide.Member
	Addr string
}

// Members carries out attempts and probes. Its methods are called on the
// owner's goroutine and must not block.
type Members interface {
	// Send starts an attempt; exactly one Core.Done must follow.
	Send(*Attempt)
	// Stop gives up an attempt; its outcome is why, unless it never was written or has ended. NotSent gives it up only
	// if it was not yet written whole; else it goes on.
	Stop(a *Attempt, why decide.Result)
	// Probe asks a member for its report; one Core.Probed must follow.
	Probe(member string)
	// List takes a list, or a change of it.
	List(kind decide.EventKind, members []ListedMember)
}

// Discovery asks discovery. Its methods must not block.
type Discovery interface {
	Watch()
	Fetch()
}

// AssumeCommittedAfter is how long after a member wrote an answer to a write its session's reads must see it, though the answer may have been lost:
// 100 ms by the protocol's page, less a fifth for the way and the clocks.
const AssumeCommittedAfter = 80 * time.Millisecond

const deadlineSlack = 5 * time.Millisecond // the module answers before the deadline, the core itself so much after it

// Observer is told what the gateway sees of members and of discovery. Its methods are called on the owner's goroutine,
// some for each answer, and must not block.
type Observer interface {
	MemberChanged(change decide.Change, member string) // the module came to believe it
	Answered(member string)                            // an answer of any kind to a request
	Probed(member string, answered bool)
	DiscoveryAnswered() // discovery answered
	// AttemptEnded tells how an attempt or a probe at a member ended.
	AttemptEnded(member string, r decide.Result)
	// RequestEnded tells of a final answer, and how long after the request's arrival it came.
	RequestEnded(q *Request, v Verdict, took Time)
}

// SharedCommits shares sessions' commits with another process of the same gateway. Its methods are called on the owner's
// goroutine and must not block.
type SharedCommits interface {
	// RecordCommit notes a session's write, before it is answered.
	RecordCommit(group int64, session string, p Time)
	// LastCommit is a time up to which the session's reads must see, 0 = any.
	LastCommit(group int64, session string) Time
}

// Core owns the module. See Run.
type Core struct {
	Clock
	log       *slog.Logger
	router    Decider
	members   Members
	directory Discovery

	mu    sync.Mutex
	queue []func()
	wake  chan struct{}

	ledger   SharedCommits // nil: this process is alone
	witness  Observer      // nil: nobody wants to know
	watch    *watch        // nil: nobody wants records
	sink     atomic.Pointer[record.Sink]
	requests map[uint64]*Request
	lastID   uint64
	endBy    Time // all requests have their answer by then, 0 = the process does not end
	timers   timers
	events   []decide.Event
	actions  []decide.Action
}

// Decider is the decision module: what happened goes in, what must be done comes out.
type Decider interface {
	Step(now Time, events []decide.Event, out []decide.Action) []decide.Action
}

// New returns a core for router. Connect must be called before Run.
func New(clock Clock, router Decider, log *slog.Logger) *Core {
	return &Core{Clock: clock, log: log, router: router, wake: make(chan struct{}, 1), requests: map[uint64]*Request{}}
}

// Connect names the members' side and discovery.
func (c *Core) Connect(m Members, d Discovery) { c.members, c.directory = m, d }

// SetObserver names a witness, nil for none. It must be called before Run.
func (c *Core) SetObserver(w Observer) { c.witness = w }

// SetSharedCommits names a ledger, nil for none. It must be called before Run.
func (c *Core) SetSharedCommits(l SharedCommits) { c.ledger = l }

// PostEvent hands the module an event of another part of the gateway.
func (c *Core) PostEvent(e decide.Event) { c.Post(func() { c.events = append(c.events, e) }) }

// Post queues f to be run by the owner, in order. It never blocks.
func (c *Core) Post(f func()) {
	c.mu.Lock()
	c.queue = append(c.queue, f)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Arrive hands over a request. Its client gets exactly one answer, unless Gone is called first.
func (c *Core) Arrive(q *Request) { c.Post(func() { c.arrive(q) }) }

// EndBy has every request answered by t, however long its client would wait: the process ends soon after. Those that
// come from now on have no longer, which the module knows of; what is still open then is refused, or failed where an
// attempt may have had its effect. The earliest t holds.
func (c *Core) EndBy(t Time) {
	c.Post(func() {
		if c.endBy > 0 && c.endBy <= t {
			return
		}
		c.endBy = t
		c.RunAt(t, c.endAll)
	})
}

// endAll gives all open requests their answer, but those whose answer is being passed on.
func (c *Core) endAll() {
	for _, q := range c.requests { // in any order: each stands for itself
		if q.ended || q.begun {
			continue
		}
		a := Answer{Verdict: Refused}
		if !q.mayRefuse() {
			a = Answer{Verdict: Failed, MayHaveRun: true}
		}
		c.events = append(c.events, decide.Event{Kind: decide.ClientGone, Request: q.id})
		c.finish(q, a, record.Deadline)
	}
}

// Gone tells that the client has left. From the call on no attempt of the request begins, also not one that is on its
// way to a member; the module hears of it in its turn.
func (c *Core) Gone(q *Request) {
	q.over.Store(true)
	c.Post(func() {
		if !q.ended {
			c.events = append(c.events, decide.Event{Kind: decide.ClientGone, Request: q.id})
			c.end(q)
			c.leave(q)
		}
	})
}

// Cancel ends a request at its client's word, as Gone does, but the client is still there: unless it has its answer
// already, that is Failed and Cancelled. It may be called from any goroutine, also while Arrive is still to be called.
func (c *Core) Cancel(q *Request) {
	q.over.Store(true)
	c.Post(func() {
		if q.cancelled = true; q.id != 0 {
			c.cancel(q)
		}
	})
}

func (c *Core) cancel(q *Request) {
	if q.ended {
		return
	}
	c.events = append(c.events, decide.Event{Kind: decide.ClientGone, Request: q.id})
	c.finish(q, Answer{Verdict: Failed, MayHaveRun: q.mayHaveRun(), Cancelled: true}, record.Cancelled)
	c.leave(q)
}

// leave withdraws what a request whose client has gone has out: what is not yet written whole, and an answer that is
// passing through. All else is the module's to call off.
func (c *Core) leave(q *Request) {
	for _, a := range q.attempts {
		if !a.done {
			c.members.Stop(a, decide.NotSent)
		}
	}
	if q.begun { // the module has done with it
		c.stop(q.attempts[len(q.attempts)-1], decide.Cancelled)
	}
}

// AnswerStarted tells that the answer of an attempt has begun and will be passed on as it comes. The client gets body as its
// answer, and the attempt is the client's now: its time-out and the client's deadline no longer run. Done follows
// as ever. Body is released instead if the attempt was given up or the client has left.
//
// For the module the attempt has ended, served: the member has done its work, and how fast the rest comes is the
// client's doing. Were it told at the end, slow clients would make their members look slow and full. A write is told of
// when it has ended all the same: what it committed comes last, and its session's reads must see that.
func (c *Core) AnswerStarted(a *Attempt, body Payload) {
	c.Post(func() {
		q := a.Request
		if a.done || a.stopped || q.ended {
			body.Release()
			return
		}
		q.begun = true
		e := decide.Event{Kind: decide.FirstByte, Request: q.id, Member: a.Member, Attempt: a.no, Elapsed: c.Now() - a.sent}
		if !q.writes() {
			e.Kind, e.Result, e.Ended = decide.Outcome, decide.Served, true
		}
		c.events = append(c.events, e)
		q.Client.Answer(Answer{Verdict: Served, Body: body})
	})
}

// Done ends an attempt.
func (c *Core) Done(a *Attempt, o Outcome) { c.Post(func() { c.done(a, o) }) }

// Probed ends a probe.
func (c *Core) Probed(member string, result decide.Result, r decide.Report) {
	c.Post(func() {
		if r.HasPosition {
			c.watch.learn(member, r.Position)
		}
		if c.witness != nil {
			c.witness.Probed(member, result == decide.Served)
			c.witness.AttemptEnded(member, result)
		}
		c.events = append(c.events, decide.Event{Kind: decide.Probed, Member: member, Result: result, Report: r})
	})
}

// List takes what discovery says, kind being one of the list events.
func (c *Core) List(kind decide.EventKind, members []ListedMember) {
	c.Post(func() {
		e := decide.Event{Kind: kind}
		for i := range members {
			e.Members = append(e.Members, members[i].Member)
		}
		if kind.HasList() {
			if c.witness != nil && kind != decide.ListSaved {
				c.witness.DiscoveryAnswered()
			}
			c.members.List(kind, members)
			c.watch.listed(c.Now(), kind, e.Members)
		}
		c.events = append(c.events, e)
	})
}

// Sizes are the lengths of the core's tables.
type Sizes struct {
	Requests int // open, or with an attempt out
	Timers   int // those of ended requests stay until they are due
	Members  int // whose positions or states are kept for records
}

// Sizes tells how long the tables are. It is the owner's to call.
func (c *Core) Sizes() Sizes {
	s := Sizes{Requests: len(c.requests), Timers: len(c.timers)}
	if c.watch != nil {
		s.Members = max(len(c.watch.told), c.watch.roster.Len())
	}
	return s
}

// RunAt runs f on the owner's goroutine, which must be the caller's, at t.
func (c *Core) RunAt(t Time, f func()) { heap.Push(&c.timers, timer{t, f}) }

// Run owns the module until ctx ends.
func (c *Core) Run(ctx context.Context) {
	clock := time.NewTimer(0)
	defer clock.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-clock.C:
		}
		for c.turn() {
		}
		if len(c.timers) > 0 {
			clock.Reset(c.timers[0].at - c.Now())
		}
	}
}

// turn drains the queue and the timers that are due into one batch and steps
// the module. It reports whether there was anything to do.
func (c *Core) turn() bool {
	c.mu.Lock()
	batch := c.queue
	c.queue = nil
	c.mu.Unlock()
	busy := len(batch) > 0
	for _, f := range batch {
		f()
	}
	for now := c.Now(); len(c.timers) > 0 && c.timers[0].at <= now; busy = true {
		heap.Pop(&c.timers).(timer).f()
	}
	if len(c.events) > 0 {
		events := c.events
		c.events = nil
		c.actions = c.router.Step(c.Now(), events, c.actions[:0])
		for i := range c.actions {
			c.act(&c.actions[i])
		}
	}
	return busy
}

func (c *Core) arrive(q *Request) {
	c.lastID++
	q.id = c.lastID
	c.requests[q.id] = q
	now := c.Now()
	q.arrived = now
	if c.endBy > 0 {
		q.Deadline = min(q.Deadline, c.endBy)
	}
	if c.ledger != nil && q.Session != "" && !q.writes() {
		q.MinPosition = max(q.MinPosition, c.ledger.LastCommit(q.Group, q.Session))
	}
	e := decide.Event{Kind: decide.Arrive, Request: q.id, ClassDef: q.Class, Tenant: q.Tenant, Group: q.Group,
		Session: q.Session, MinPosition: q.MinPosition, IsRetry: q.Retry, Remaining: q.Deadline - now}
	if q.ReceivedAt > 0 {
		e.Waited = max(now-q.ReceivedAt, 0)
	}
	if q.LastWrite > 0 {
		e.HasToken, e.TokenAge = true, max(now-q.LastWrite, 0)
	}
	c.events = append(c.events, e)
	if q.cancelled {
		c.cancel(q)
		return
	}
	c.RunAt(max(q.Deadline, now)+deadlineSlack, func() { // also one that comes too late gets the module's answer
		if !q.ended && !q.begun { // guards the rule that each taken request gets an answer in time
			c.log.Warn("deadline passed unanswered", "request", q.id)
			c.events = append(c.events, decide.Event{Kind: decide.ClientGone, Request: q.id})
			c.finish(q, Answer{Verdict: Failed, MayHaveRun: q.mayHaveRun()}, record.Deadline)
		}
	})
}

// finish gives a request its answer, unless it has one. The cause is for its record; none: it is seen from the attempts.
func (c *Core) finish(q *Request, a Answer, why record.Cause) {
	if q.ended {
		if a.Body != nil {
			a.Body.Release()
		}
		return
	}
	if !q.begun { // else it has its answer, whole or not
		q.Client.Answer(a)
	}
	if c.witness != nil {
		c.witness.RequestEnded(q, a.Verdict, c.Now()-q.arrived)
	}
	if c.watch != nil {
		c.watch.answered(c.Now(), q, &a, why)
	}
	c.end(q)
}

// stale tells that an answer to a read does not hold what its request must see. Whoever tells the role of a primary stands at the present,
// unless what must be seen was committed at another process or gateway.
func (o *Outcome) stale(a *Attempt) bool {
	if a.Request.writes() || !o.HasPosition {
		return false
	}
	return o.Position < a.Request.MinPosition || o.Position < a.atLeast && o.Role == decide.Replica
}

// writes tells whether it is a write, whose commit its session's reads must see.
func (q *Request) writes() bool { return q.Class != nil && q.Class.Writes() }

// mayHaveRun tells whether some attempt may have had its effect.
func (q *Request) mayHaveRun() bool {
	for _, a := range q.attempts {
		if !a.done || a.result.MayHaveRun() {
			return true
		}
	}
	return false
}

// mayRefuse tells whether its client may try again without harm. The module keeps to the same rule.
func (q *Request) mayRefuse() bool {
	if k := q.Class; k != nil && (k.Effect == decide.Repeatable || k.Effect == decide.Keyed && k.KeyScope == decide.ScopeAll) {
		return true
	}
	return !q.mayHaveRun()
}

func (c *Core) end(q *Request) {
	q.ended = true
	q.over.Store(true)
	c.forget(q)
}

// forget drops a request that has ended and has no attempt out.
func (c *Core) forget(q *Request) {
	if q.ended && q.out == 0 && c.requests[q.id] == q {
		delete(c.requests, q.id)
		q.Call.Release()
	}
}

func (c *Core) done(a *Attempt, o Outcome) {
	if a.done {
		c.log.Error("second outcome of an attempt", "member", a.Member)
		if o.Body != nil {
			o.Body.Release()
		}
		return
	}
	q := a.Request
	if o.Result == decide.Served && !q.begun && o.stale(a) {
		o.Result = decide.Stale // it was primary when it was last heard of
		if o.Body != nil {
			o.Body.Release()
			o.Body = nil
		}
	}
	a.done, a.result, a.role = true, o.Result, o.Role
	if o.HasPosition {
		a.position = o.Position
	}
	q.out--
	if c.witness != nil {
		c.witness.AttemptEnded(a.Member, o.Result)
	}
	if c.witness != nil && o.Result.Answered() {
		c.witness.Answered(a.Member)
	}
	e := decide.Event{Kind: decide.Outcome, Request: q.id, Member: a.Member, Attempt: a.no, Result: o.Result,
		Elapsed: c.Now() - a.sent, Ended: q.ended || o.Result == decide.Served, Reused: o.Reused,
		Role: o.Role, HasPosition: o.HasPosition, Position: o.Position, Report: o.Report}
	if q.writes() && o.Result != decide.Served && o.Result.MayHaveRun() { // its answer may be lost: its session's reads count it as committed
		e.InDoubt, e.HasPosition, e.Position = true, true, c.Now()
	}
	if !q.begun || q.writes() {
		e.Ended = e.Ended || q.begun
		c.events = append(c.events, e)
	}
	if o.HasPosition {
		c.watch.learn(a.Member, o.Position)
	}
	if c.ledger != nil && e.HasPosition && (o.Result == decide.Served || e.InDoubt) && q.writes() && q.Session != "" {
		c.ledger.RecordCommit(q.Group, q.Session, e.Position)
	}
	switch {
	case o.Result == decide.Served:
		c.finish(q, Answer{Verdict: Served, Body: o.Body, Position: a.position}, record.NoCause)
	case q.begun:
		c.finish(q, Answer{Verdict: Failed, MayHaveRun: true}, record.NoCause)
	}
	c.forget(q)
}

// act carries out one action of the module.
func (c *Core) act(a *decide.Action) {
	q := c.requests[a.Request]
	switch a.Kind {
	case decide.Send:
		c.send(q, a)
	case decide.Cancel:
		if q != nil && a.Attempt < len(q.attempts) && !q.attempts[a.Attempt].done {
			c.stop(q.attempts[a.Attempt], decide.Cancelled)
		}
	case decide.Refuse:
		if q != nil {
			c.finish(q, Answer{Verdict: Refused, RetryAfter: a.RetryAfter}, record.NoCause)
		}
	case decide.Fail:
		if q != nil {
			c.finish(q, Answer{Verdict: Failed, MayHaveRun: q.mayHaveRun()}, record.NoCause)
		}
	case decide.Probe:
		c.members.Probe(a.Member)
	case decide.Wake:
		c.RunAt(a.At, func() { c.events = append(c.events, decide.Event{Kind: decide.Timer}) })
	case decide.Watch:
		c.directory.Watch()
	case decide.Fetch:
		c.directory.Fetch()
	case decide.Notify:
		if a.Text != "" {
			c.log.Info("decide: " + a.Text)
		}
		if c.witness != nil {
			c.witness.MemberChanged(a.Change, a.Member)
		}
		c.noted(a)
	}
}

func (c *Core) send(q *Request, a *decide.Action) {
	if q == nil { // the module sends for nothing that has ended; were it to, it would be owed an outcome
		c.log.Error("send for an ended request", "member", a.Member)
		c.Post(func() {
			c.events = append(c.events, decide.Event{Kind: decide.Outcome, Request: a.Request, Member: a.Member,
				Result: decide.NotSent, Ended: true})
		})
		return
	}
	now := c.Now()
	at := &Attempt{Request: q, Member: a.Member, Deadline: q.Deadline, WriteBy: a.WriteBy, atLeast: a.MinPosition, no: len(q.attempts), sent: now}
	if a.Timeout != 0 {
		at.Deadline = min(at.Deadline, now+a.Timeout)
	}
	c.watch.sends(at)
	q.attempts = append(q.attempts, at)
	q.out++
	if q.ended || q.out > 1 { // guards the rule against second copies, whatever the module says
		c.log.Error("send out of turn", "member", a.Member)
		c.Done(at, Outcome{Result: decide.NotSent})
		return
	}
	c.members.Send(at)
	c.share(at)
	c.RunAt(at.Deadline, func() {
		if !at.done && !q.begun {
			c.stop(at, decide.TimedOut)
		}
	})
}

// share has the other process of this gateway count what a write that is out may have committed, as the module does here.
func (c *Core) share(a *Attempt) {
	if q := a.Request; c.ledger != nil && q.writes() && q.Session != "" {
		c.RunAt(c.Now()+AssumeCommittedAfter, func() {
			if !a.done {
				c.ledger.RecordCommit(q.Group, q.Session, c.Now())
				c.share(a)
			}
		})
	}
}

func (c *Core) stop(a *Attempt, why decide.Result) {
	a.stopped = true
	c.members.Stop(a, why)
}

type timer struct {
	at Time
	f  func()
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}
