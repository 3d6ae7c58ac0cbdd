// Package discovery asks the list of members over HTTP/1.1: the whole list, or
// a watch on its changes by one long call after another.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/logthrottle"
)

// List is a list of members, or a change of one, in discovery's form.
type List struct {
	Generation int64   `json:"generation"`
	Reset      bool    `json:"reset"` // the whole list
	Instances  []Entry `json:"instances"`
}

// Entry is one member in a List.
type Entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int64   `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

var states = map[string]decide.MemberState{
	"ready": decide.Up, "draining": decide.Draining, "gone": decide.Removed}

// EntryOf gives a member in discovery's form.
func EntryOf(m core.ListedMember) Entry {
	e := Entry{InstanceID: m.ID, HostPort: m.Addr, Zone: m.Zone, MachineType: m.Kind, Cell: m.Group, Lifecycle: "ready", Weight: m.Weight,
		StartedAtMs: m.Started.Milliseconds()}
	for name, state := range states {
		if state == m.State {
			e.Lifecycle = name
		}
	}
	return e
}

// Members translates the entries.
func (l *List) Members() ([]core.ListedMember, error) {
	list := make([]core.ListedMember, 0, len(l.Instances))
	for _, e := range l.Instances {
		state, ok := states[e.Lifecycle]
		if !ok || e.InstanceID == "" {
			return nil, fmt.Errorf("list: instance %q: unknown lifecycle %q", e.InstanceID, e.Lifecycle)
		}
		list = append(list, core.ListedMember{Addr: e.HostPort, Member: decide.Member{ID: e.InstanceID, Group: e.Cell,
			Zone: e.Zone, Kind: e.MachineType, Weight: e.Weight, State: state,
			Started: core.Time(e.StartedAtMs) * time.Millisecond}})
	}
	return list, nil
}

const (
	path = "/v1/endpoints"
	// waitLeast and waitEach make up the wait of a watch's calls: a connection that has fallen silent is noticed
	// after it, and each end of a wait is work for discovery, the same for any number of gateways.
	waitLeast = toldAfter - slack - patience // then a call begun anew has all of its patience left
	waitEach  = 250 * time.Millisecond       // for each gateway of the fleet: four ends of a wait a second in all
	waitMost  = 60 * time.Second             // that discovery takes

	// What a call that fell silent misses counts as told 6 s after the silence began, for a watch 2 s after its wait
	// if that is later; after any other failed call a change does 6 s after discovery had it and could be reached (the
	// standing page). By then the answer of a call begun anew has to be here.
	toldAfter = 6 * time.Second
	// patience is how long the first byte of an answer may take that need not wait. Discovery serves one call after
	// another and fails what has waited for queueMost: who leaves before has it work for nobody and asks once more, which
	// makes the queue longer. What is unanswered for longer, its own work added, is in no queue.
	patience  = 2400 * time.Millisecond
	queueMost = 2 * time.Second
	workEach  = 70 * time.Millisecond  // that a call takes discovery, the most that was measured
	slack     = 600 * time.Millisecond // for the first byte after the wait asked for
	pause     = 700 * time.Millisecond // between two pieces of an answer
	whole     = 2 * time.Second        // for an answer, from its first byte
	wholeLate = 800 * time.Millisecond // but from when the first byte had to be there no more than this
	dialWait  = 500 * time.Millisecond

	// crowded: a call that need not wait and is refused after so long stood in the queue of a service that is up. Any
	// other refusal comes at once, of one that is down or that lost what it had.
	crowded = queueMost / 2
	// unqueued: a call that is refused so soon has not stood in a queue.
	unqueued = 100 * time.Millisecond

	// cycle is the longest from the beginning of a call that brought nothing to that of the next: the first may have
	// been lost just before discovery could be reached, and the next one may have to queue.
	cycle = toldAfter - patience - 600*time.Millisecond

	// A call that broke off is begun anew within a part of nearEach for each gateway, of nearMost at most, as a watch's
	// silence leaves little time; one that was refused within what the fleet's calls take beyond the queue. After
	// anewTimes in a row the backoff, from the beginning of a call to the next's, doubles from backLeast up to backMost or
	// that spread, with a jitter of a quarter.
	nearEach  = 5 * time.Millisecond
	nearMost  = 200 * time.Millisecond
	anewTimes = 2
	backLeast = 100 * time.Millisecond
	backMost  = time.Second
	// Where lists are pushed, what discovery has at its return counts at once.
	backPushed = 150 * time.Millisecond
	// idleLeast is the least span between two calls of a watch of which the first brought nothing. A watch goes on
	// if its next call comes within 200 ms (the protocol page).
	idleLeast = 50 * time.Millisecond
)

// AnswerError is a call that discovery may hold for answered, or never heard of: nothing came of the answer, or not all.
type AnswerError struct {
	Addr  string
	Begun bool // a part of the answer came
	Err   error
}

// Error implements error.
func (e *AnswerError) Error() string {
	found, do := "silent", "see whether it runs and is reached from here"
	if e.Begun {
		found, do = "half an answer, or one that is no list", "see what it writes there"
	}
	return fmt.Sprintf("discovery at %s: %s (%v), wanted a list; if this goes on, %s", e.Addr, found, e.Err, do)
}

// Unwrap returns the cause.
func (e *AnswerError) Unwrap() error { return e.Err }

// refusal is a call that reached discovery and ended without a byte of a list.
type refusal struct {
	took time.Duration // since it was asked
	err  error
}

// Error implements error.
func (e *refusal) Error() string { return fmt.Sprintf("refused after %v: %v", e.took, e.err) }

// Unwrap returns the cause.
func (e *refusal) Unwrap() error { return e.err }

// Sink takes what discovery says.
type Sink func(kind decide.EventKind, members []core.ListedMember)

// Client asks discovery. Watch, Fetch and Move only leave word for Run.
type Client struct {
	version atomic.Int64
	pushed  bool
	wait    time.Duration // of a watch's calls
	near    time.Duration // within which a call that broke off is begun anew
	wide    time.Duration // the same for one that was refused
	most    time.Duration // between the beginnings of two calls, while discovery is down
	beyond  time.Duration // what the fleet's calls take, all made at once, past the longest queue
	rng     *rand.Rand
	pace    decide.DiscoveryPacer // after a crowd, where lists are pushed
	sink    Sink
	log     *slog.Logger
	dial    func(ctx context.Context, addr string) (net.Conn, error)
	watch   chan struct{}
	fetch   chan struct{}
	move    chan struct{}

	mu      sync.Mutex
	next    string // the address for the next call
	abandon func() // ends the call that is on

	addr  string // of the call that is on
	moved bool   // to addr, or it began its versions anew; and its whole list has not come yet
	idle  bool   // the last answer brought nothing
	conn  *conn  // kept for the next call

	failed, broke, back logthrottle.Line
}

// Config is what a Client starts from.
type Config struct {
	Addr     string
	Version  int64  // of the list that it holds
	Gateways int    // that ask there, this one among them
	Seed     uint64 // another for each of them: it spreads what all would do at once
	Pushed   bool   // what discovery has counts as told, asked or not: Run watches by itself, all the time
}

// New returns a client that has not begun.
func New(conf Config, sink Sink, dial func(context.Context, string) (net.Conn, error), log *slog.Logger) *Client {
	fleet := time.Duration(conf.Gateways)
	c := &Client{next: conf.Addr, addr: conf.Addr, pushed: conf.Pushed,
		wait: min(max(waitLeast, fleet*waitEach), waitMost), near: min(fleet*nearEach, nearMost), beyond: fleet*workEach - queueMost,
		rng: rand.New(rand.NewPCG(conf.Seed, 0x646973636f766572)), sink: sink, dial: dial, log: log,
		watch: make(chan struct{}, 1), fetch: make(chan struct{}, 1), move: make(chan struct{}, 1)}
	c.wide = min(max(c.near, c.beyond), cycle)
	c.most = max(c.wide, backMost)
	if c.pushed {
		c.wide, c.most = c.near, min(max(backPushed, c.beyond), backMost)
	}
	c.pace = decide.DiscoveryPacer{Fronts: conf.Gateways, Random: c.rng.Float64}
	c.version.Store(conf.Version)
	return c
}

// Version is that of the list as last told. It may be called from the sink and from any goroutine.
func (c *Client) Version() int64 { return c.version.Load() }

// Watch asks for changes from now on. While a watch is on it does nothing.
func (c *Client) Watch() { leave(c.watch) }

// Fetch asks for the whole list once. A watch that is on brings all changes by itself.
func (c *Client) Fetch() { leave(c.fetch) }

// SetAddr leaves the old address at once and asks at addr from now on: first for
// the whole list, as the versions of two services need not agree, then for changes.
func (c *Client) SetAddr(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.next {
		return
	}
	c.next = addr
	leave(c.move)
	if c.abandon != nil {
		c.abandon()
	}
}

func leave(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func taken(ch chan struct{}) {
	select {
	case <-ch:
	default:
	}
}

// Run makes the calls until ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer c.hangUp()
	if c.pushed {
		for ctx.Err() == nil {
			c.follow(ctx)
			select {
			case <-ctx.Done():
			case <-c.move:
			case <-time.After(c.pace.PauseAfterRefusal(1)):
			}
		}
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.fetch:
			c.call(ctx, true, 0)
		case <-c.watch:
			c.follow(ctx)
		case <-c.move:
			c.follow(ctx)
		}
	}
}

// follow watches until a crowd is before it or the address changes. The first call does not wait, so that what was missed
// is told at once; each next one follows the last answer directly, which keeps the watch unbroken.
func (c *Client) follow(ctx context.Context) {
	for wait := time.Duration(0); ctx.Err() == nil; wait = c.wait {
		began := time.Now()
		if !c.call(ctx, false, wait) {
			return
		}
		taken(c.watch) // asked for while on: it is on
		taken(c.fetch)
		if left := idleLeast - time.Since(began); wait > 0 && c.idle && left > 0 { // it does not wait: it would be asked without end
			c.rest(ctx, left)
		}
	}
}

// rest waits, and tells whether it was for the whole time.
func (c *Client) rest(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// part is a part of d by chance.
func (c *Client) part(d time.Duration) time.Duration {
	return time.Duration(c.rng.Float64() * float64(d))
}

// begin returns a context for one call, which Move ends.
func (c *Client) begin(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	taken(c.move) // this call goes there
	if c.next != c.addr {
		c.hangUp()
		c.addr, c.moved = c.next, true
	}
	c.abandon = cancel
	return ctx, cancel
}

// call makes one call, for the whole list or for changes, and passes on its list, or that a crowd was before it:
// then discovery has too much to do, and who asks again at once makes it more. Any other call that fails is begun anew
// until one is answered: nobody works for it any longer, while what it would have brought counts as told.
func (c *Client) call(ctx context.Context, full bool, wait time.Duration) bool {
	ctx, done := c.begin(ctx)
	defer done()
	for again := 0; ; again++ {
		target := path
		if full || c.moved {
			wait = 0
		} else {
			target = fmt.Sprintf("%s?index=%d&wait=%d", path, c.version.Load(), wait.Milliseconds())
		}
		began := time.Now()
		list, err := c.get(ctx, target, wait)
		var members []core.ListedMember
		if err == nil {
			if members, err = list.Members(); err == nil && target == path && !list.Reset {
				if list.Reset = len(members) > 0; !list.Reset { // not so marked, an empty one is no answer to this call
					err = errors.New("a change, wanted the whole list")
				}
			}
			if err != nil {
				err = &AnswerError{c.addr, true, err}
			}
		}
		took := time.Since(began)
		switch {
		case ctx.Err() != nil: // moved, or over: what the old address says counts no more
			c.hangUp()
			return false
		case err == nil && target != path && !list.Reset && list.Generation < c.version.Load():
			// It began its versions anew: what it changed up to the one that is held here would never be told.
			c.back.Warn(c.log, "discovery's versions went back, the whole list is asked for", "call", target, "version", list.Generation)
			c.moved = true
			if !c.rest(ctx, idleLeast) {
				return false
			}
			continue
		case err == nil:
			if wait == 0 {
				c.pace.Answered(took)
			}
			c.pass(list, members)
			return true
		}
		c.hangUp()
		var refused *refusal
		if errors.As(err, &refused) && wait == 0 && refused.took >= crowded {
			c.failed.Warn(c.log, "discovery failed", "call", target, "took", took, "err", err)
			taken(c.watch) // left while the call was on: it is answered by this
			taken(c.fetch)
			c.sink(decide.ListError, nil)
			return false
		}
		if unreachable(err, wait) {
			c.sink(decide.DiscoveryUnreachable, nil)
		}
		c.broke.Warn(c.log, "discovery broke off, asked anew", "call", target, "took", took, "err", err)
		wait = 0 // what was missed is told at once
		if !c.rest(ctx, c.pause(err, again, took)) {
			return false
		}
	}
}

// unreachable tells that a call failed because discovery is down or its machine says that it can't be reached: not that
// it fell silent, which says nothing, nor that the call queued there.
func unreachable(err error, wait time.Duration) bool {
	var broken *AnswerError
	if errors.As(err, &broken) {
		return false
	}
	var refused *refusal
	return !errors.As(err, &refused) || wait == 0 && refused.took < unqueued
}

// pause is how long to wait after a call that failed with err and took so long, and so many before it.
func (c *Client) pause(err error, again int, took time.Duration) time.Duration {
	spread := c.wide
	var broken *AnswerError
	if errors.As(err, &broken) || c.moved { // what a new address has counts 4 s after it was given (the standing page)
		spread = c.near
	}
	if again < anewTimes {
		return c.part(spread)
	}
	span := min(max(backLeast<<min(again-anewTimes, 8), spread), c.most)
	return max(span-c.part(span/4)-took, c.part(c.near))
}

// pass takes over an answer's list.
func (c *Client) pass(list *List, members []core.ListedMember) {
	c.moved, c.idle = false, len(members) == 0 && !list.Reset
	c.version.Store(list.Generation)
	kind := decide.ListChange
	if list.Reset {
		kind = decide.ListFull
	}
	if len(members) > 0 || list.Reset {
		c.log.Info("list", "version", list.Generation, "full", list.Reset, "entries", len(members))
	}
	c.sink(kind, members)
}

// get makes one call on the connection kept, or on a new one.
func (c *Client) get(ctx context.Context, target string, wait time.Duration) (*List, error) {
	kept := c.conn != nil
	if !kept {
		ctx, cancel := context.WithTimeout(ctx, dialWait)
		defer cancel()
		nc, err := c.dial(ctx, c.addr)
		if err != nil {
			if timedOut(err) {
				err = &AnswerError{c.addr, false, err}
			}
			return nil, err
		}
		c.conn = newConn(nc)
	}
	conn := c.conn // the field may be cleared while the function runs
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	asked := time.Now()
	resp, err := conn.ask(appendGet(nil, c.addr, target), max(wait+slack, patience))
	switch {
	case err != nil && (conn.begun || timedOut(err)):
		return nil, &AnswerError{c.addr, conn.begun, err}
	case err != nil && kept && ctx.Err() == nil && time.Since(asked) < idleLeast: // it was closed before the call, which nobody has read
		c.hangUp()
		return c.get(ctx, target, wait)
	case err != nil:
		return nil, &refusal{time.Since(asked), err}
	case resp.status != 200:
		return nil, &refusal{time.Since(asked), fmt.Errorf("status %d", resp.status)}
	}
	list := new(List)
	if err := json.Unmarshal(resp.body, list); err != nil {
		return nil, &AnswerError{c.addr, true, fmt.Errorf("list: %w", err)}
	}
	if !resp.keep || conn.r.Buffered() > 0 { // what nobody asked for would be taken for the next answer
		c.hangUp()
	}
	return list, nil
}

func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

func (c *Client) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
