// Package discovery asks the list of members over HTTP/1.1: the whole list, or
// a watch on its changes by one long call after another.
package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
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
	waitEach  = 250 * time.Millisecond  // for each gateway of the fleet: four ends of a wait a second in all
	waitMost  = 60 * time.Second        // that discovery takes
	slack     = 1500 * time.Millisecond // for an answer after the wait asked for, under the 2 s in which it counts as told
	// patience is how long a call that does not wait may take: under the 6 s in which what discovery has to tell
	// counts as told. Discovery serves one call after another: in a queue longer than the callers' patience it
	// would work for nobody, and each that asks anew makes the queue longer.
	patience = waitLeast + slack
	dialWait = 500 * time.Millisecond
)

// Sink takes what discovery says.
type Sink func(kind decide.EventKind, members []core.Listed)

// Client asks discovery. Watch, Fetch and Move only leave word for Run.
type Client struct {
	version atomic.Int64
	wait    time.Duration // of a watch's calls
	sink    Sink
	log     *slog.Logger
	dial    func(ctx context.Context, addr string) (net.Conn, error)
	watch   chan struct{}
	fetch   chan struct{}
	move    chan struct{}

	mu      sync.Mutex
	next    string // the address for the next call
	abandon func() // ends the call that is on

	addr string   // of the call that is on
	conn net.Conn // kept for the next call
	r    *bufio.Reader
}

// New returns a client that holds the list of the given version, for one of so many gateways that ask there.
func New(addr string, version int64, gateways int, sink Sink, dial func(context.Context, string) (net.Conn, error), log *slog.Logger) *Client {
	c := &Client{next: addr, wait: min(max(waitLeast, time.Duration(gateways)*waitEach), waitMost), sink: sink, dial: dial, log: log,
		watch: make(chan struct{}, 1), fetch: make(chan struct{}, 1), move: make(chan struct{}, 1)}
	c.version.Store(version)
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

// Run makes the calls until ctx ends.
func (c *Client) Run(ctx context.Context) {
	defer c.hangUp()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.fetch:
			c.call(ctx, path, 0)
		case <-c.watch:
			c.follow(ctx)
		case <-c.move:
			c.hangUp()
			if c.call(ctx, path, 0) {
				c.follow(ctx)
			}
		}
	}
}

// follow watches until a call fails or the address changes. The first call does
// not wait, so that what was missed is told at once; each next one follows the
// last answer directly, which keeps the watch unbroken.
func (c *Client) follow(ctx context.Context) {
	for wait := time.Duration(0); ctx.Err() == nil; wait = c.wait {
		if !c.call(ctx, fmt.Sprintf("%s?index=%d&wait=%d", path, c.version.Load(), wait.Milliseconds()), wait) {
			return
		}
		select { // asked for while on: it is on
		case <-c.watch:
		default:
		}
	}
}

// begin returns a context for one call, which Move ends.
func (c *Client) begin(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != c.addr {
		c.hangUp()
		c.addr = c.next
	}
	c.abandon = cancel
	return ctx, cancel
}

// call makes one call and passes on its list, or that it failed.
func (c *Client) call(ctx context.Context, target string, wait time.Duration) bool {
	ctx, done := c.begin(ctx)
	defer done()
	list, err := c.get(ctx, target, wait)
	var members []core.Listed
	if err == nil {
		members, err = list.Members()
	}
	if ctx.Err() != nil { // moved, or over: what the old address says counts no more
		c.hangUp()
		return false
	}
	if err != nil {
		c.hangUp()
		c.log.Warn("discovery failed", "call", target, "err", err)
		c.sink(decide.ListError, nil)
		return false
	}
	c.version.Store(list.Generation)
	kind := decide.ListChange
	if list.Reset {
		kind = decide.ListFull
	}
	if len(members) > 0 || list.Reset {
		c.log.Info("list", "version", list.Generation, "full", list.Reset, "entries", len(members))
	}
	c.sink(kind, members)
	return true
}

// get makes one call on the connection kept, or on a new one.
func (c *Client) get(ctx context.Context, target string, wait time.Duration) (*List, error) {
	if c.conn == nil {
		ctx, cancel := context.WithTimeout(ctx, dialWait)
		defer cancel()
		conn, err := c.dial(ctx, c.addr)
		if err != nil {
			return nil, err
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	conn := c.conn // the field may be cleared while the function runs
	_ = conn.SetDeadline(time.Now().Add(max(wait+slack, patience)))
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := c.conn.Write(appendGet(nil, c.addr, target)); err != nil {
		return nil, err
	}
	resp, err := readResponse(c.r)
	if err != nil {
		return nil, err
	}
	if !resp.keep {
		c.hangUp()
	}
	if resp.status != 200 {
		return nil, fmt.Errorf("status %d", resp.status)
	}
	list := new(List)
	if err := json.Unmarshal(resp.body, list); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	return list, nil
}

func (c *Client) hangUp() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn, c.r = nil, nil
	}
}
