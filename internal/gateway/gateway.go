// Package gateway assembles a gateway process from its subsystems: it starts them in
// order, reloads their configuration on SIGHUP, and stops them in order under one deadline.
package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"reachwind/decide"
	"reachwind/internal/call"
	"reachwind/internal/core"
	"reachwind/internal/discovery"
	"reachwind/internal/fleet"
	"reachwind/internal/pgfront"
	"reachwind/internal/pgmember"
	"reachwind/internal/pgwire"
	"reachwind/internal/record"
)

const (
	user     = "app"
	database = "shop"

	leastSockets  = 64
	leastShared   = 16 // descriptors divided among clients and members, even where subsystems claim nearly all
	leastMemory   = 32 << 20
	clientPart    = 0.5   // of the divided descriptors, for client connections
	idlePart      = 0.08  // of the divided descriptors, for idle client connections
	sparePart     = 0.08  // of the divided descriptors, for connections being closed or refused
	memberPart    = 0.33  // of the divided descriptors, for member connections; the remainder covers the process's own descriptors
	bufferPart    = 0.5   // of the memory, for buffers
	smallPart     = 0.125 // of the buffer memory, for small buffers: there must be more of them than connections
	softPart      = 0.8   // of the memory: the soft limit of Go's garbage collector
	garbagePart   = 25    // GOGC in per cent: most live memory is buffers, and the heap may grow in proportion to it
	freeMemory    = 512 << 20
	partsMost     = 2 * time.Second        // for all subsystems to stop, after the last client has left
	acceptAfter   = 500 * time.Millisecond // after SIGTERM: clients are still routed here for 0.4 s
	answerMoment  = 350 * time.Millisecond // past the longest deadline: every accepted request has been answered
	wordMoment    = 400 * time.Millisecond // past the longest deadline: incomplete commands are no longer waited for
	lastMoment    = 600 * time.Millisecond // past the longest deadline: the process exits; SIGKILL may follow 0.1 s later
	connectUsual  = 250 * time.Millisecond
	idleUsual     = 15 * time.Second
	graceUsual    = 250 * time.Millisecond
	longestMost   = 3 * time.Second // the platform counts longer deadlines as this one
	startWait     = 2500 * time.Millisecond
	writeWait     = 5 * time.Second
	refuseWait    = time.Second
	idleMost      = 2 * time.Second
	buffersLeast  = 16
	passReserve   = 0.5  // of the buffers, withheld from answers that are passed through: these can do without buffers
	bufferReserve = 0.15 // of the buffers, for members' answers, which hold them only briefly
)

// Options hold the settings of a process that come from its command line.
type Options struct {
	Path    string // of the configuration file; read again on SIGHUP
	Edge    string // path of the product configuration; empty: none, and its subsystems do not run
	Version string
	Log     *slog.Logger
	Records *record.Handler // the handler behind Log, which is given the sink of records
	Dial    pgmember.Dialer // to members and discovery; nil: TCP
	// Handover is the folder in which successive processes of this gateway share state; empty: no handover.
	Handover string
	Wall     func() time.Time // nil: the system's clock; test labs set it to simulate clock offsets
}

// Serve runs the gateway until SIGTERM or SIGINT, then shuts it down gracefully. SIGHUP
// reloads the configuration. It is handled until Serve returns, since its default action ends the process.
func Serve(c *Config, o Options) error {
	hup := c.hup
	if hup == nil {
		hup = make(chan os.Signal, 1)
		signal.Notify(hup, syscall.SIGHUP)
	}
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	runtime.GOMAXPROCS(1) // a gateway is given one CPU core: more threads would only compete for it
	if c.memory > 0 {
		debug.SetMemoryLimit(int64(softPart * float64(c.memory)))
		debug.SetGCPercent(garbagePart)
	}
	fd := os.Getenv("NODE_SOCKET_FD")
	listener, err := listen(c.Listen, fd)
	if err != nil {
		return err
	}
	if fd != "" {
		o.Handover = os.TempDir()
	}
	defer func() { _ = listener.Close() }()
	return Run(term, hup, c, listener, o)
}

// part is a subsystem that the product configuration enables.
type part struct {
	name string
	// prepare checks a new configuration; apply puts it into force. A configuration that adds or removes the
	// subsystem is an error, since that takes a restart.
	prepare func(*Edge) (apply func(), err error)
	drain   func(context.Context) // for fronts: accept nothing new and answer accepted requests; nil: nothing to do
	stop    func(context.Context) // called once all fronts have drained; nil: nothing to do
}

// running is a running gateway.
type running struct {
	o      Options
	c      *Config
	router *decide.Router
	owner  *core.Core
	pool   *pgmember.Pool
	bufs   *pgwire.Pool
	dir    *discovery.Client
	front  *pgfront.Server
	claims *call.Claims
	parts  []part
	over   *overlay             // nil: no council is configured
	ops    *operators           // nil: no admin API
	fleet  *fleet.Fleet         // nil: no fleet is configured
	line   *succession          // nil: no handover between processes
	most   int                  // maximum number of client connections
	door   atomic.Pointer[door] // nil: not serving yet, or no fleet
	came   func() time.Time     // when SIGTERM arrived; waits for it
}

// Sizes are the lengths of the tables that could grow with time or with peers' input; docs/design/fleet.md lists their bounds.
type Sizes struct {
	Decide decide.Sizes
	Core   core.Sizes
	Pool   pgmember.Sizes
	Claims int // ids of requests in progress
}

// sizes collects them on the core's goroutine, which must be running.
func (g *running) sizes() (s Sizes) {
	done := make(chan struct{})
	g.owner.Post(func() {
		s = Sizes{Decide: g.router.Sizes(), Core: g.owner.Sizes(), Pool: g.pool.Sizes(), Claims: g.claims.Len()}
		close(done)
	})
	<-done
	return s
}

// reload applies the changes of the configuration files that are possible while the gateway runs. If any part of them is
// unusable nothing is applied.
func (g *running) reload() {
	next, err := g.reread()
	var apply []func()
	if err == nil && g.o.Edge != "" {
		var edge *Edge
		if edge, err = loadEdge(g.o.Edge, g.c, next.terms.Names); err == nil {
			running := map[string]bool{}
			for _, p := range g.parts {
				running[p.name] = true
			}
			for name, wanted := range map[string]bool{"syslog": edge.Syslog != nil, "rest": edge.REST != nil, "fleet": edge.Fleet != nil} {
				if wanted && !running[name] {
					err = fmt.Errorf("%s: %w", name, errRestart)
				}
			}
			for _, p := range g.parts {
				if err != nil {
					break
				}
				f, e := p.prepare(edge)
				if err = e; err != nil {
					err = fmt.Errorf("%s: %w", p.name, err)
					break
				}
				apply = append(apply, f)
			}
		}
	}
	if err != nil {
		g.o.Log.Error("reload failed, the old configuration holds", "err", err)
		return
	}
	for _, f := range apply {
		f()
	}
	g.retune(next)
	g.o.Log.Info("reloaded", "discovery", next.conf.Discovery)
	g.dir.Move(next.conf.Discovery)
}

// Run serves listener until term ends.
func Run(term context.Context, hup <-chan os.Signal, c *Config, listener net.Listener, o Options) error {
	came := noticed(term) // SIGTERM may arrive while the gateway is being built
	g, err := build(c, o)
	if err != nil {
		return err
	}
	g.came = came
	return g.run(term, hup, listener)
}

// build assembles a gateway. Its subsystems are started; the core, discovery and the PostgreSQL front are not.
func build(c *Config, o Options) (*running, error) {
	log := o.Log
	edge := new(Edge)
	if o.Edge != "" {
		var err error
		if edge, err = LoadEdge(o.Edge, c); err != nil {
			return nil, err
		}
	}
	router, err := decide.New(*c.Decide, c.seed)
	if err != nil {
		return nil, err
	}
	dial := pgmember.Dial
	if o.Dial != nil {
		dial = o.Dial
	}
	share := c.Budget(edge)
	bufs := pgwire.NewPool(share.Buffers, share.Small)
	owner := core.New(core.NewClock(), router, log)
	pool := pgmember.New(owner, members(c.facts, share.Members, int(passReserve*float64(share.Buffers))), bufs, dial, log)
	list := discovery.Sink(owner.List)
	line := succeed(o.Handover, c, owner.Now, log)
	line.inherit(c)
	line.keep(c.text)
	c.text = nil
	var ops *operators
	if c.Admin != "" {
		ops = newOperators(c.door(), owner, log)
		ops.line = line
		list = ops.List
		if line != nil {
			line.changed = ops.inherit
			ops.inherit(0)
		}
	}
	var over *overlay
	if edge.Fleet != nil && len(edge.Fleet.Council) > 0 {
		over = newOverlay(c.Name, list)
		list = over.List
	}
	if line != nil {
		owner.Share(line)
		next := list
		list = func(kind decide.EventKind, members []core.Listed) {
			line.List(kind, members)
			next(kind, members)
		}
	}
	dir := discovery.New(discovery.Config{Addr: c.Discovery, Version: c.version, Gateways: c.Decide.Fronts, Seed: c.seed,
		Pushed: !c.Decide.AskList}, list, dial, log)
	if line != nil {
		line.version = dir.Version
	}
	owner.Connect(pool, dir)
	g := &running{o: o, c: c, router: router, owner: owner, pool: pool, bufs: bufs, dir: dir, claims: call.NewClaims(), over: over, line: line, ops: ops, most: share.Clients}
	if edge.Syslog != nil {
		p, err := startSyslog(edge.Syslog, owner, c.Decide.ColdTime, o)
		if err != nil {
			return nil, fmt.Errorf("syslog: %w", err)
		}
		g.parts = append(g.parts, p)
	}
	if edge.REST != nil {
		p, err := startREST(edge.REST, owner, g.claims, log)
		if err != nil {
			g.stop()
			return nil, fmt.Errorf("rest: %w", err)
		}
		g.parts = append(g.parts, p)
	}
	if edge.Fleet != nil {
		p, err := startFleet(edge.Fleet, g, share.Buffers)
		if err != nil {
			g.stop()
			return nil, fmt.Errorf("fleet: %w", err)
		}
		g.parts = append(g.parts, p)
	}
	list(decide.ListSaved, c.Known)
	g.front = pgfront.New(owner, pgfront.Config{Terms: c.terms,
		Max: share.Clients, Spare: int(sparePart * float64(share.Sockets)),
		Keep:      int(bufferReserve * float64(share.Buffers)),
		StartWait: startWait, WriteWait: writeWait, RefuseWait: refuseWait, IdleMost: idleMost, IdleKeep: int(idlePart * float64(share.Sockets)), Pass: line.passes(), Claims: g.claims}, bufs, log)
	if line != nil {
		line.apply = g.limit(bufs, share)
		go line.run(share.Sockets)
	}
	return g, nil
}

// run serves listener until term ends, then shuts down gracefully.
func (g *running) run(term context.Context, hup <-chan os.Signal, listener net.Listener) error {
	c, log := g.c, g.o.Log
	if g.came == nil {
		g.came = noticed(term)
	}
	if g.fleet != nil {
		d := newDoor(listener)
		g.door.Store(d)
		listener = d
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := g.ops.start(); err != nil {
		return err
	}
	defer g.ops.stop()
	go g.owner.Run(ctx)
	go g.dir.Run(ctx)
	go func() {
		for {
			select {
			case <-hup:
				g.reload()
			case <-ctx.Done():
				return
			}
		}
	}()
	failed := make(chan error, 1)
	g.line.warm(term.Done())
	go func() { failed <- g.front.Serve(listener) }()
	g.line.ready(g.front.Adopt)
	g.ops.serve()
	log.Info("serving", "name", c.Name, "listen", listener.Addr().String(), "members", len(c.Known), "version", g.o.Version)

	select {
	case err := <-failed:
		return fmt.Errorf("accept: %w", err)
	case <-term.Done():
	}
	plan := planOf(g.came(), c.terms.Now().Longest)
	g.owner.EndBy(g.owner.Now() + time.Until(plan.answer))
	g.ops.leave()
	if g.line.succeeded() { // new connections wait for the successor on the socket that both processes hold
		plan.accept = plan.came
	}
	if g.fleet != nil { // requests a permit, and waits for it no longer than configured
		wait, stop := context.WithDeadline(context.Background(), plan.answer)
		g.fleet.Leave(wait)
		stop()
	}
	drained := make(chan struct{})
	go func() {
		g.drain(plan.last)
		close(drained)
	}()
	windDown(plan, g.front, listener, failed, log)
	<-drained
	g.stop()
	g.line.stop()
	return nil
}

// drain lets the fronts of all subsystems answer the requests they have accepted, and returns at until at the latest.
func (g *running) drain(until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	var done sync.WaitGroup
	for _, p := range g.parts {
		if p.drain != nil {
			done.Add(1)
			go func() {
				defer done.Done()
				p.drain(ctx)
			}()
		}
	}
	done.Wait()
}

// stop stops the subsystems in the reverse order of their start, all under one deadline.
func (g *running) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), partsMost)
	defer cancel()
	for _, p := range slices.Backward(g.parts) {
		if p.stop != nil {
			p.stop(ctx)
		}
	}
}

// plan is the schedule of a graceful shutdown. All times count from SIGTERM, as the platform counts.
type plan struct {
	came   time.Time // SIGTERM arrived
	accept time.Time // connections are accepted until then: clients may still be routed here
	answer time.Time // accepted requests have been answered by then
	word   time.Time // incomplete commands are no longer waited for
	last   time.Time // the process exits
}

// planOf returns the schedule after a SIGTERM at came; longest is the longest deadline of any class.
func planOf(came time.Time, longest time.Duration) plan {
	longest = min(longest, longestMost)
	return plan{came: came, accept: came.Add(acceptAfter), answer: came.Add(longest + answerMoment),
		word: came.Add(longest + wordMoment), last: came.Add(lastCall(longest))}
}

// windDown keeps accepting while clients may still be routed here, then answers accepted
// requests and returns when all connections are closed, at the latest before the platform
// sends SIGKILL.
func windDown(p plan, front *pgfront.Server, listener net.Listener, served <-chan error, log *slog.Logger) {
	log.Info("stopping", "accept_for", time.Until(p.accept).Round(time.Millisecond))
	late := time.NewTimer(time.Until(p.last))
	defer late.Stop()
	word := time.AfterFunc(time.Until(p.word), front.LastCall)
	defer word.Stop()
	time.Sleep(time.Until(p.accept))
	if p.accept.After(p.came) { // otherwise waiting connections belong to the successor
		takeBacklog(listener, front.Handle, log)
	}
	_ = listener.Close()
	done := make(chan struct{})
	go func() {
		<-served // otherwise the process could exit with an accepted connection that is not yet counted as open
		front.Shutdown()
		close(done)
	}()
	select {
	case <-done:
		log.Info("stopped")
	case <-late.C:
		log.Warn("stopped with connections open", "open", front.Open())
	}
}

// lastCall returns how long the gateway may run after SIGTERM. SIGKILL follows
// the longest deadline, which the platform counts as 3 s where it is longer.
func lastCall(longest time.Duration) time.Duration {
	return min(longest, longestMost) + lastMoment
}

// noticed returns a function that waits for the end of ctx and returns its time, recorded when ctx ended and not when
// the function is called.
func noticed(ctx context.Context) func() time.Time {
	at := make(chan time.Time, 1)
	context.AfterFunc(ctx, func() { at <- time.Now() })
	return sync.OnceValue(func() time.Time { return <-at })
}
