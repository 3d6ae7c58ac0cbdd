// Package core runs the decision module for the code that serves sockets. One
// goroutine, the owner, runs Run and owns the module and the tables of requests
// and attempts; everything else reaches it through a queue that never blocks.
// The package is independent of protocols: fronts pass it requests, members
// carry out attempts, and the payloads that they exchange are opaque to it.
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

// Time is a point on the gateway's clock, since the Unix epoch, or a duration.
type Time = decide.Time

// Clock counts from the Unix epoch, to which it is anchored once, and never
// goes back. Log positions and start times have the same origin.
type Clock struct {
	start time.Time
	unix  Time
}

// NewClock returns a clock anchored to the present system time.
func NewClock() Clock {
	now := time.Now()
	return Clock{now, Time(now.UnixNano())}
}

// Now returns the present time of the clock.
func (c Clock) Now() Time { return c.unix + time.Since(c.start) }

// At converts t to a time of the system's clock, for deadlines.
func (c Clock) At(t Time) time.Time { return c.start.Add(t - c.unix) }

// Payload is the data that a front and the members exchange. Its last holder
// releases it.
type Payload interface{ Release() }

// Client receives the one answer to a request. Answer must not block, and has to release the answer's payload.
type Client interface{ Answer(Answer) }

// Verdict is the kind of a final answer.
type Verdict int

// The verdicts.
const (
	Served  Verdict = iota
	Refused         // a retry is harmless, best after RetryAfter
	Failed          // it may or may not have had its effect, see MayHaveRun
)

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	RetryAfter Time
	Body       Payload // Served: the member's answer
	Position   Time    // Served: the log position that the member reported, of a write its commit; 0 = none
	MayHaveRun bool    // Failed: some attempt may have had its effect
	Cancelled  bool    // Failed: its client cancelled it, see Core.Cancel
	Attempted  bool    // an attempt was begun at some member
}

// Request is one client request. The front sets the exported fields and must
// not change them after Arrive; the core may shorten Deadline.
type Request struct {
	Class              *decide.Class // as it was when the front accepted the request; the settings may change
	ClassIndex, Tenant int           // indexes of its class and tenant; Tenant -1 = none
	Group              int64
	Front              string // name of the front it came through, one word
	Session            string
	LastWrite          Time // commit of the session's last write where clients carry it, 0 = none
	MinPosition        Time // a read must see every commit up to this position, 0 = only what its class requires
	Retry              bool
	Deadline           Time // until when the client waits
	ReceivedAt         Time // when it was received, perhaps long before its turn on its connection; 0 = now
	Call               Payload
	Client             Client
	Abandoned          func() // if set, called on the owner's goroutine where the client leaves after an attempt that may have had its effect

	id          uint64
	arrived     Time
	attempts    []*Attempt
	outstanding int
	ended       bool
	answering   bool // its answer is being streamed to the client: no time limit ends it

	cancelled bool // by its client, perhaps before Arrive

	closed atomic.Bool // no attempt may begin any more; set by the goroutine that learns it first
}

// Closed reports that no attempt of the request may begin any more: its client has left or cancelled it, or it has its
// answer. It may be called from any goroutine; code that writes an attempt must check it right before the first byte.
func (q *Request) Closed() bool { return q.closed.Load() }

// Attempt is one attempt to have a member serve a request.
type Attempt struct {
	Request  *Request
	Member   string
	Deadline Time // it times out then
	WriteBy  Time // to be written completely by then, else not at all; 0 = any time
	atLeast  Time // a replica's answer with an older position is stale
	number   int
	sent     Time
	done     bool
	stopped  bool // Members.Stop was called for it

	// For records: how it ended, and what its member reported.
	result   decide.Result
	role     decide.Role
	position Time
	lag      Time // age of the member's known position at the send
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

// ListedMember is an entry of the member list with its address.
type ListedMember struct {
	decide.Member
	Addr string
}

// Members carries out attempts and probes. Its methods are called on the
// owner's goroutine and must not block.
type Members interface {
	// Send starts an attempt; exactly one call of Core.Done must follow.
	Send(*Attempt)
	// Stop ends an attempt with the outcome why, unless it was never written or has ended. With why NotSent it ends the
	// attempt only if it was not yet written completely.
	Stop(a *Attempt, why decide.Result)
	// Probe requests a member's report; one call of Core.Probed must follow.
	Probe(member string)
	// List receives a member list, or a change of it.
	List(kind decide.EventKind, members []ListedMember)
}

// Discovery requests member lists from discovery. Its methods must not block.
type Discovery interface {
	Watch()
	Fetch()
}

// AssumeCommittedAfter is the time after which the reads of a session must see its write, though the answer to the write may have been
// lost: 100 ms from when the member wrote its answer by the protocol, less a fifth for the network and the clocks.
const AssumeCommittedAfter = 80 * time.Millisecond

const answerSlack = 5 * time.Millisecond // the module answers before the deadline; if it doesn't, the core answers this long after it

// Observer is notified of what the gateway observes of members and discovery. Its methods are called on the owner's goroutine,
// some for each answer, and must not block.
type Observer interface {
	MemberChanged(change decide.Change, member string) // the module's view of the member changed
	Answered(member string)                            // the member answered a request, in whatever way
	Probed(member string, answered bool)
	DiscoveryAnswered() // discovery answered
	// AttemptEnded reports how an attempt or a probe at a member ended.
	AttemptEnded(member string, r decide.Result)
	// RequestEnded reports a final answer, and how long after the request's arrival it was given.
	RequestEnded(q *Request, v Verdict, took Time)
}

// SharedCommits shares the commits of sessions with another process of the same gateway. Its methods are called on the
// owner's goroutine and must not block.
type SharedCommits interface {
	// RecordCommit records the commit of a session's write, before the write is answered.
	RecordCommit(group int64, session string, p Time)
	// LastCommit returns the position that the session's reads must see, 0 = none.
	LastCommit(group int64, session string) Time
}

// Core runs the decision module. See Run.
type Core struct {
	Clock
	log       *slog.Logger
	router    Decider
	members   Members
	directory Discovery

	mu    sync.Mutex
	queue []func()
	wake  chan struct{}

	sharedCommits SharedCommits // nil: there is no other process
	observer      Observer      // nil: none
	recorder      *recorder     // nil: no records are made
	sink          atomic.Pointer[record.Sink]
	requests      map[uint64]*Request
	lastID        uint64
	endBy         Time // every request is answered by then, 0 = the process does not end
	timers        timers
	events        []decide.Event
	actions       []decide.Action
}

// Decider is the decision module: it is given events and returns actions, see decide.Router.
type Decider interface {
	Step(now Time, events []decide.Event, out []decide.Action) []decide.Action
}

// New returns a core for router. Connect must be called before Run.
func New(clock Clock, router Decider, log *slog.Logger) *Core {
	return &Core{Clock: clock, log: log, router: router, wake: make(chan struct{}, 1), requests: map[uint64]*Request{}}
}

// Connect sets the members and discovery.
func (c *Core) Connect(m Members, d Discovery) { c.members, c.directory = m, d }

// SetObserver sets the observer, nil for none. It must be called before Run.
func (c *Core) SetObserver(w Observer) { c.observer = w }

// SetSharedCommits sets where sessions' commits are shared, nil for nowhere. It must be called before Run.
func (c *Core) SetSharedCommits(l SharedCommits) { c.sharedCommits = l }

// PostEvent passes the module an event of another part of the gateway. It never blocks.
func (c *Core) PostEvent(e decide.Event) { c.Post(func() { c.events = append(c.events, e) }) }

// Post queues f to be run on the owner's goroutine, in order. It never blocks.
func (c *Core) Post(f func()) {
	c.mu.Lock()
	c.queue = append(c.queue, f)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Arrive passes a request to the module. Its client gets exactly one answer, unless Gone is called first.
func (c *Core) Arrive(q *Request) { c.Post(func() { c.arrive(q) }) }

// EndBy limits every request's deadline to t, as the process ends soon after. The module is told so for requests that
// arrive from now on. Requests without an answer at t are refused, or failed where an attempt may have had its effect.
// Of several calls the earliest t counts.
func (c *Core) EndBy(t Time) {
	c.Post(func() {
		if c.endBy > 0 && c.endBy <= t {
			return
		}
		c.endBy = t
		c.RunAt(t, c.answerAll)
	})
}

// answerAll answers all open requests, except those whose answer is being streamed.
func (c *Core) answerAll() {
	for _, q := range c.requests { // the order has no effect
		if q.ended || q.answering {
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

// Gone reports that the client has left. From the call on no attempt of the request begins, not even one that is on its
// way to a member; the module is told when its turn comes.
func (c *Core) Gone(q *Request) {
	q.closed.Store(true)
	c.Post(func() {
		if !q.ended {
			c.events = append(c.events, decide.Event{Kind: decide.ClientGone, Request: q.id})
			if q.Abandoned != nil && q.mayHaveRun() {
				q.Abandoned()
			}
			c.end(q)
			c.withdrawAttempts(q)
		}
	})
}

// Cancel ends a request as its client demands. Other than with Gone the client still gets an answer: Failed with
// Cancelled, unless it has one already. It may be called from any goroutine, also before Arrive.
func (c *Core) Cancel(q *Request) {
	q.closed.Store(true)
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
	c.withdrawAttempts(q)
}

// withdrawAttempts stops the attempts of a request whose client has gone that are not yet written completely, and a
// streamed answer. The module cancels the others.
func (c *Core) withdrawAttempts(q *Request) {
	for _, a := range q.attempts {
		if !a.done {
			c.members.Stop(a, decide.NotSent)
		}
	}
	if q.answering { // for the module this attempt has ended
		c.stop(q.attempts[len(q.attempts)-1], decide.Cancelled)
	}
}

// AnswerStarted reports that the answer of an attempt has begun and will be streamed to the client. The client gets body as its
// answer, and neither the attempt's time-out nor the client's deadline applies any more. Done must still follow. If the
// attempt was stopped or the client has left, body is released instead.
//
// For the module the attempt has ended as served: the member has done its work, and the speed of the rest depends on the
// client. Reported only at the end, slow clients would make their members look slow and loaded. A write is reported at
// its end nevertheless, as its commit comes last and its session's reads must see that.
func (c *Core) AnswerStarted(a *Attempt, body Payload) {
	c.Post(func() {
		q := a.Request
		if a.done || a.stopped || q.ended {
			body.Release()
			return
		}
		q.answering = true
		e := decide.Event{Kind: decide.FirstByte, Request: q.id, Member: a.Member, Attempt: a.number, Elapsed: c.Now() - a.sent}
		if !q.writes() {
			e.Kind, e.Result, e.Ended = decide.Outcome, decide.Served, true
		}
		c.events = append(c.events, e)
		q.Client.Answer(Answer{Verdict: Served, Body: body, Attempted: true})
	})
}

// Done ends an attempt.
func (c *Core) Done(a *Attempt, o Outcome) { c.Post(func() { c.done(a, o) }) }

// Probed ends a probe.
func (c *Core) Probed(member string, result decide.Result, r decide.Report) {
	c.Post(func() {
		if r.HasPosition {
			c.recorder.recordPosition(member, r.Position)
		}
		if c.observer != nil {
			c.observer.Probed(member, result == decide.Served)
			c.observer.AttemptEnded(member, result)
		}
		c.events = append(c.events, decide.Event{Kind: decide.Probed, Member: member, Result: result, Report: r})
	})
}

// List receives a member list or a failure from discovery; kind is one of the list events.
func (c *Core) List(kind decide.EventKind, members []ListedMember) {
	c.Post(func() {
		e := decide.Event{Kind: kind}
		for i := range members {
			e.Members = append(e.Members, members[i].Member)
		}
		if kind.HasList() {
			if c.observer != nil && kind != decide.ListSaved && kind != decide.ListOverride {
				c.observer.DiscoveryAnswered()
			}
			c.members.List(kind, members)
			c.recorder.recordList(c.Now(), kind, e.Members)
		}
		c.events = append(c.events, e)
	})
}

// Sizes are the lengths of the core's tables.
type Sizes struct {
	Requests int // without a final answer, or with an outstanding attempt
	Timers   int // those of ended requests stay until they are due
	Members  int // whose positions or states are kept for records
}

// Sizes returns the lengths of the tables. It must be called on the owner's goroutine.
func (c *Core) Sizes() Sizes {
	s := Sizes{Requests: len(c.requests), Timers: len(c.timers)}
	if c.recorder != nil {
		s.Members = max(len(c.recorder.positions), c.recorder.membership.Len())
	}
	return s
}

// RunAt runs f on the owner's goroutine at t. It must be called on that goroutine.
func (c *Core) RunAt(t Time, f func()) { heap.Push(&c.timers, timer{t, f}) }

// Run runs the module until ctx ends. The calling goroutine is the owner.
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
		for c.runBatch() {
		}
		if len(c.timers) > 0 {
			clock.Reset(c.timers[0].at - c.Now())
		}
	}
}

// runBatch runs the queued functions and the timers that are due as one batch and
// steps the module. It reports whether there was anything to do.
func (c *Core) runBatch() bool {
	c.mu.Lock()
	batch := c.queue
	c.queue = nil
	c.mu.Unlock()
	busy := len(batch) > 0
	for _, f := range batch {
		f()
	}
	for now := c.Now(); len(c.timers) > 0 && c.timers[0].at <= now; busy = true {
		heap.Pop(&c.timers).(timer).run()
	}
	if len(c.events) > 0 {
		events := c.events
		c.events = nil
		c.actions = c.router.Step(c.Now(), events, c.actions[:0])
		for i := range c.actions {
			c.carryOut(&c.actions[i])
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
	if c.sharedCommits != nil && q.Session != "" && !q.writes() {
		q.MinPosition = max(q.MinPosition, c.sharedCommits.LastCommit(q.Group, q.Session))
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
	c.RunAt(max(q.Deadline, now)+answerSlack, func() { // also a request that arrives too late gets the module's answer
		if !q.ended && !q.answering { // every request gets an answer in time, whatever the module does
			c.log.Warn("deadline passed unanswered", q.logAttributes(c.Now())...)
			c.events = append(c.events, decide.Event{Kind: decide.ClientGone, Request: q.id})
			c.finish(q, Answer{Verdict: Failed, MayHaveRun: q.mayHaveRun()}, record.Deadline)
		}
	})
}

// finish gives a request its answer, unless it has one. why is the cause for its record; with NoCause it follows from
// the attempts.
func (c *Core) finish(q *Request, a Answer, why record.Cause) {
	if q.ended {
		if a.Body != nil {
			a.Body.Release()
		}
		return
	}
	if !q.answering { // else it has its answer, complete or not
		a.Attempted = len(q.attempts) > 0
		q.Client.Answer(a)
	}
	if c.observer != nil {
		c.observer.RequestEnded(q, a.Verdict, c.Now()-q.arrived)
	}
	if c.recorder != nil {
		c.recorder.recordAnswer(c.Now(), q, &a, why)
	}
	c.end(q)
}

// stale reports that an answer to a read lacks commits that its request must see. A member that reports the role of
// primary has every commit, except those made through another process or gateway.
func (o *Outcome) stale(a *Attempt) bool {
	if a.Request.writes() || !o.HasPosition {
		return false
	}
	return o.Position < a.Request.MinPosition || o.Position < a.atLeast && o.Role == decide.Replica
}

// writes reports whether q is a write, whose commit the reads of its session must see.
func (q *Request) writes() bool { return q.Class != nil && q.Class.Writes() }

// mayHaveRun reports whether some attempt may have had its effect.
func (q *Request) mayHaveRun() bool {
	for _, a := range q.attempts {
		if !a.done || a.result.MayHaveRun() {
			return true
		}
	}
	return false
}

// mayRefuse reports whether a retry by the client is harmless. The module applies the same rule.
func (q *Request) mayRefuse() bool {
	if k := q.Class; k != nil && (k.Effect == decide.Repeatable || k.Effect == decide.Keyed && k.KeyScope == decide.ScopeAll) {
		return true
	}
	return !q.mayHaveRun()
}

func (c *Core) end(q *Request) {
	q.ended = true
	q.closed.Store(true)
	c.dropEnded(q)
}

// dropEnded drops a request that has ended and has no outstanding attempt.
func (c *Core) dropEnded(q *Request) {
	if q.ended && q.outstanding == 0 && c.requests[q.id] == q {
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
	if o.Result == decide.Served && !q.answering && o.stale(a) {
		o.Result = decide.Stale // the member was primary when last heard of
		if o.Body != nil {
			o.Body.Release()
			o.Body = nil
		}
	}
	a.done, a.result, a.role = true, o.Result, o.Role
	if o.HasPosition {
		a.position = o.Position
	}
	q.outstanding--
	if c.observer != nil {
		c.observer.AttemptEnded(a.Member, o.Result)
	}
	if c.observer != nil && o.Result.Answered() {
		c.observer.Answered(a.Member)
	}
	e := decide.Event{Kind: decide.Outcome, Request: q.id, Member: a.Member, Attempt: a.number, Result: o.Result,
		Elapsed: c.Now() - a.sent, Ended: q.ended || o.Result == decide.Served, Reused: o.Reused,
		Role: o.Role, HasPosition: o.HasPosition, Position: o.Position, Report: o.Report}
	if q.writes() && o.Result != decide.Served && o.Result.MayHaveRun() { // the answer may be lost: for its session's reads it counts as committed
		e.InDoubt, e.HasPosition, e.Position = true, true, c.Now()
	}
	if !q.answering || q.writes() {
		e.Ended = e.Ended || q.answering
		c.events = append(c.events, e)
	}
	if o.HasPosition {
		c.recorder.recordPosition(a.Member, o.Position)
	}
	if c.sharedCommits != nil && e.HasPosition && (o.Result == decide.Served || e.InDoubt) && q.writes() && q.Session != "" {
		c.sharedCommits.RecordCommit(q.Group, q.Session, e.Position)
	}
	switch {
	case o.Result == decide.Served:
		c.finish(q, Answer{Verdict: Served, Body: o.Body, Position: a.position}, record.NoCause)
	case q.answering:
		c.finish(q, Answer{Verdict: Failed, MayHaveRun: true}, record.NoCause)
	}
	c.dropEnded(q)
}

// carryOut executes one action of the module.
func (c *Core) carryOut(a *decide.Action) {
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
		if c.observer != nil {
			c.observer.MemberChanged(a.Change, a.Member)
		}
		c.recordStateChange(a)
	}
}

func (c *Core) send(q *Request, a *decide.Action) {
	if q == nil { // the module must not do this; every Send needs an outcome all the same
		c.log.Error("send for an ended request", "member", a.Member)
		c.Post(func() {
			c.events = append(c.events, decide.Event{Kind: decide.Outcome, Request: a.Request, Member: a.Member,
				Result: decide.NotSent, Ended: true})
		})
		return
	}
	now := c.Now()
	at := &Attempt{Request: q, Member: a.Member, Deadline: q.Deadline, WriteBy: a.WriteBy, atLeast: a.MinPosition, number: len(q.attempts), sent: now}
	if a.Timeout != 0 {
		at.Deadline = min(at.Deadline, now+a.Timeout)
	}
	c.recorder.recordLag(at)
	q.attempts = append(q.attempts, at)
	q.outstanding++
	if q.ended || q.outstanding > 1 { // no request has two outstanding attempts, whatever the module does
		c.log.Error("send out of turn", "member", a.Member)
		c.Done(at, Outcome{Result: decide.NotSent})
		return
	}
	c.members.Send(at)
	c.shareWhileOutstanding(at)
	c.RunAt(at.Deadline, func() {
		if !at.done && !q.answering {
			c.stop(at, decide.TimedOut)
		}
	})
}

// shareWhileOutstanding has the other process of this gateway count an outstanding write as committed, as this module does.
func (c *Core) shareWhileOutstanding(a *Attempt) {
	if q := a.Request; c.sharedCommits != nil && q.writes() && q.Session != "" {
		c.RunAt(c.Now()+AssumeCommittedAfter, func() {
			if !a.done {
				c.sharedCommits.RecordCommit(q.Group, q.Session, c.Now())
				c.shareWhileOutstanding(a)
			}
		})
	}
}

func (c *Core) stop(a *Attempt, why decide.Result) {
	a.stopped = true
	c.members.Stop(a, why)
}

type timer struct {
	at  Time
	run func()
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
