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
func EntryOf(m core.Listed) Entry {
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
func (l *List) Members() ([]core.Listed, error) {
	list := make([]core.Listed, 0, len(l.Instances))
	for _, e := range l.Instances {
		state, ok := states[e.Lifecycle]
		if !ok || e.InstanceID == "" {
			return nil, fmt.Errorf("list: instance %q: unknown lifecycle %q", e.InstanceID, e.Lifecycle)
		}
		list = append(list, core.Listed{Addr: e.HostPort, Member: decide.Member{ID: e.InstanceID, Group: e.Cell,
			Zone: e.Zone, Kind: e.MachineType, Weight: e.Weight, State: state,
			Started: core.Time(e.StartedAtMs) * time.Millisecond}})
	}
	return list, nil
}

const (
	path = "/v1/endpoints"
	// waitLeast and waitEach make up the wait of a watch's calls: a connection that has fallen silent is noticed
	// after it, and each end of a wait is work for discovery, the same for any number of gateways.
	waitLeast = 4 * time.Second
	waitEach  = 250 * time.Millisecond // for each gateway of the fleet: four ends of a wait a second in all
	waitMost  = 60 * time.Second       // that discovery takes

	// What a call that fell silent misses counts as told 6 s after the silence began, for a watch 2 s after its wait
	// if that is later. By then the answer of a call begun anew has to be here.
	//
	// patience is how long the first byte of an answer may take that need not wait. Discovery serves one call after
	// another and fails what has waited for 2 s: who leaves before has it work for nobody and asks once more, which
	// makes the queue longer. What is unanswered for longer, its own work added, is in no queue.
	patience = 2400 * time.Millisecond
	slack    = 600 * time.Millisecond // for the first byte after the wait asked for
	pause    = 700 * time.Millisecond // between two pieces of an answer
	whole    = 2 * time.Second        // for an answer, from its first byte
	dialWait = 500 * time.Millisecond

	// A call that broke is begun anew after a part of anewEach for each gateway, of anewMost at most, and anewTimes
	// in a row; then it failed, and is paced as if refused.
	anewEach  = 5 * time.Millisecond
	anewMost  = 200 * time.Millisecond
	anewTimes = 2

	// backLeast and backMost bound the mean pause before a watch that ended is begun again, where lists are pushed.
	backLeast, backMost = 100 * time.Millisecond, time.Second
)

// Broken is a call that discovery may hold for answered, or never heard of: nothing came of the answer, or not all.
type Broken struct {
	Addr  string
	Begun bool // a part of the answer came
	Err   error
}

// Error implements error.
func (e *Broken) Error() string {
	found, do := "silent", "see whether it runs and is reached from here"
	if e.Begun {
		found, do = "half an answer, or one that is no list", "see what it writes there"
	}
	return fmt.Sprintf("discovery at %s: %s (%v), wanted a list; if this goes on, %s", e.Addr, found, e.Err, do)
}

// Unwrap returns the cause.
func (e *Broken) Unwrap() error { return e.Err }

// Sink takes what discovery says.
type Sink func(kind decide.EventKind, members []core.Listed)

// Client asks discovery. Watch, Fetch and Move only leave word for Run.
type Client struct {
	version atomic.Int64
	pushed  bool
	wait    time.Duration // of a watch's calls
	spread  time.Duration // within which a call that broke is begun anew
	rng     *rand.Rand
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
	moved bool   // to addr, and its whole list has not come yet
	conn  *conn  // kept for the next call
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
		wait: min(max(waitLeast, fleet*waitEach), waitMost), spread: min(fleet*anewEach, anewMost),
		rng: rand.New(rand.NewPCG(conf.Seed, 0x646973636f766572)), sink: sink, dial: dial, log: log,
		watch: make(chan struct{}, 1), fetch: make(chan struct{}, 1), move: make(chan struct{}, 1)}
	c.version.Store(conf.Version)
	return c
}

// Version is that of the list as last told. It may be called from the sink and from any goroutine.
func (c *Client) Version() int64 { return c.version.Load() }

// Watch asks for changes from now on. While a watch is on it does nothing.
func (c *Client) Watch() { leave(c.watch) }

// Fetch asks for the whole list once. A watch that is on brings all changes by itself.
func (c *Client) Fetch() { leave(c.fetch) }

// Move leaves the old address at once and asks at addr from now on: first for
// the whole list, as the versions of two services need not agree, then for changes.
func (c *Client) Move(addr string) {
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
		for back := backLeast; ctx.Err() == nil; back = min(2*back, backMost) {
			if c.follow(ctx) {
				back = backLeast
			}
			c.rest(ctx, back/2+time.Duration(c.rng.Float64()*float64(back)))
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

// follow watches until a call fails or the address changes, and tells whether any was answered. The first call
// does not wait, so that what was missed is told at once; each next one follows the last answer directly, which
// keeps the watch unbroken.
func (c *Client) follow(ctx context.Context) (any bool) {
	for wait := time.Duration(0); ctx.Err() == nil && c.call(ctx, false, wait); wait = c.wait {
		taken(c.watch) // asked for while on: it is on
		any = true
	}
	return any
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

// begin returns a context for one call, which Move ends.
func (c *Client) begin(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != c.addr {
		c.hangUp()
		c.addr, c.moved = c.next, true
	}
	c.abandon = cancel
	return ctx, cancel
}

// call makes one call, for the whole list or for changes, and passes on its list, or that it failed. A call that
// was refused failed: discovery has too much to do, and who asks again at once makes it more. One that broke, as
// nothing came or not all of it, is begun anew on another connection: nobody works for it any longer, while what
// it would have brought counts as told.
func (c *Client) call(ctx context.Context, full bool, wait time.Duration) bool {
	ctx, done := c.begin(ctx)
	defer done()
	for again := 0; ; again++ {
		target := path
		if !full && !c.moved {
			target = fmt.Sprintf("%s?index=%d&wait=%d", path, c.version.Load(), wait.Milliseconds())
		}
		began := time.Now()
		list, err := c.get(ctx, target, wait)
		var members []core.Listed
		if err == nil {
			if members, err = list.Members(); err != nil {
				err = &Broken{c.addr, true, err}
			}
		}
		if ctx.Err() != nil { // moved, or over: what the old address says counts no more
			c.hangUp()
			return false
		}
		if err == nil {
			c.pass(list, members)
			return true
		}
		c.hangUp()
		var broken *Broken
		if !errors.As(err, &broken) || again == anewTimes {
			c.log.Warn("discovery failed", "call", target, "took", time.Since(began), "err", err)
			taken(c.watch) // left while the call was on: it is answered by this
			c.sink(decide.ListError, nil)
			return false
		}
		c.log.Warn("discovery broke off, asked anew", "call", target, "took", time.Since(began), "err", err)
		wait = 0 // what was missed is told at once
		if !c.rest(ctx, time.Duration(c.rng.Float64()*float64(c.spread))) {
			return false
		}
	}
}

// pass takes over an answer's list.
func (c *Client) pass(list *List, members []core.Listed) {
	c.moved = false
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
	if c.conn == nil {
		ctx, cancel := context.WithTimeout(ctx, dialWait)
		defer cancel()
		nc, err := c.dial(ctx, c.addr)
		if err != nil {
			if timedOut(err) {
				err = &Broken{c.addr, false, err}
			}
			return nil, err
		}
		c.conn = newConn(nc)
	}
	conn := c.conn // the field may be cleared while the function runs
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	resp, err := conn.ask(appendGet(nil, c.addr, target), max(wait+slack, patience))
	switch {
	case err != nil && (conn.begun || timedOut(err)):
		return nil, &Broken{c.addr, conn.begun, err}
	case err != nil:
		return nil, err
	case resp.status != 200:
		return nil, fmt.Errorf("status %d", resp.status)
	}
	list := new(List)
	if err := json.Unmarshal(resp.body, list); err != nil {
		return nil, &Broken{c.addr, true, fmt.Errorf("list: %w", err)}
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
