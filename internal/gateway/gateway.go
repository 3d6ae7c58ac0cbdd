// Package gateway puts the parts of a gateway together: it starts them in order,
// has them reread their configuration, and stops them in order under one deadline.
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
	leastShared   = 16 // of them, where parts of the product configuration take nearly all
	leastMemory   = 32 << 20
	clientPart    = 0.5   // of the descriptors, for client connections
	idlePart      = 0.08  // of those, for such as are idle
	sparePart     = 0.08  // for those being ended or refused
	memberPart    = 0.33  // for member connections; the rest is for ownFiles
	bufferPart    = 0.5   // of the memory, for buffers
	smallPart     = 0.125 // of these, for small ones: more of them than there are connections
	softPart      = 0.8   // of the memory, above which the collector works harder
	garbagePart   = 25    // per cent of what is in use: buffers are most of that, and garbage may grow with it
	freeMemory    = 512 << 20
	partsMost     = 2 * time.Second        // what other parts may take to end, after the last client has
	acceptAfter   = 500 * time.Millisecond // clients keep coming for 0.4 s after SIGTERM
	answerMoment  = 350 * time.Millisecond // past the longest deadline: what was taken has its answer by then,
	wordMoment    = 400 * time.Millisecond // nobody waits for the rest of a command by then,
	lastMoment    = 600 * time.Millisecond // and the process ends by then; SIGKILL may come 0.1 s later
	connectUsual  = 250 * time.Millisecond
	idleUsual     = 15 * time.Second
	graceUsual    = 250 * time.Millisecond
	longestMost   = 3 * time.Second // which the platform takes the longest deadline for where it is longer
	startWait     = 2500 * time.Millisecond
	writeWait     = 5 * time.Second
	refuseWait    = time.Second
	idleMost      = 2 * time.Second
	buffersLeast  = 16
	passReserve   = 0.5  // of the buffers, for all but answers that pass through, which can do without
	bufferReserve = 0.15 // of the buffers, for the members' answers, which hold them for moments only
)

// Options are what the command line says.
type Options struct {
	Path    string // of the configuration, for SIGHUP
	Edge    string // of the product configuration; empty: none, and no part of it runs
	Version string
	Log     *slog.Logger
	Records *record.Handler // that Log goes through; takes the sink of records
	Dial    pgmember.Dialer // to members and discovery; nil: TCP
	// Handover is the folder where processes of this gateway that replace each other share what binds them; empty: none does.
	Handover string
	Wall     func() time.Time // nil: the system's; another one only in laboratories, where clocks are set apart
}

// Serve runs the gateway until SIGTERM or SIGINT, then winds it down. SIGHUP has
// it read its configuration again; until the very end, as it would end the program.
func Serve(c *Config, o Options) error {
	hup := c.hup
	if hup == nil {
		hup = make(chan os.Signal, 1)
		signal.Notify(hup, syscall.SIGHUP)
	}
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	runtime.GOMAXPROCS(1) // a gateway has one core: more threads would only take turns on it
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

// part is a subsystem of the product configuration.
type part struct {
	name string
	// prepare checks a new configuration; apply takes it over. Where it runs and the new one has it no more, or
	// the other way round, that is an error: it takes a restart.
	prepare func(*Edge) (apply func(), err error)
	drain   func(context.Context) // a front: take nothing new and answer what was taken; nil: none
	stop    func(context.Context) // end, once all fronts have; nil: nothing to do
}

// running is a gateway at work.
type running struct {
	o      Options
	c      *Config
	router *decide.Router
	owner  *core.Core
	pool   *pgmember.Pool
	bufs   *pgwire.Pool
	dir    *discovery.Client
	front  *pgfront.Server
	claims *call.ActiveIDs
	parts  []part
	over   *overlay   // nil: nobody agrees on drains
	ops    *operators // nil: operators have no door
	fleet  *fleet.Fleet
	line   *succession          // nil: no other process takes this one's place
	most   int                  // client connections
	door   atomic.Pointer[door] // nil: not serving yet
	came   func() time.Time     // when SIGTERM came, once it has
}

// Sizes are the lengths of the tables that peers and time could grow; docs/design/fleet.md has their bounds.
type Sizes struct {
	Decide decide.Sizes
	Core   core.Sizes
	Pool   pgmember.Sizes
	Claims int // ids in work
}

// sizes asks the owner for them; it must be at work.
func (g *running) sizes() (s Sizes) {
	done := make(chan struct{})
	g.owner.Post(func() {
		s = Sizes{Decide: g.router.Sizes(), Core: g.owner.Sizes(), Pool: g.pool.Sizes(), Claims: g.claims.Len()}
		close(done)
	})
	<-done
	return s
}

// reload takes from the configuration what may change while the gateway runs: all of it, or nothing where any
// part of it can't be used.
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
	g.dir.SetAddr(next.conf.Discovery)
}

// Run serves listener until term ends.
func Run(term context.Context, hup <-chan os.Signal, c *Config, listener net.Listener, o Options) error {
	came := noticed(term) // it may come while the gateway is built
	g, err := build(c, o)
	if err != nil {
		return err
	}
	g.came = came
	return g.run(term, hup, listener)
}

// build puts a gateway together. Its parts are started, the gateway proper is not.
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
		owner.SetSharedCommits(line)
		next := list
		list = func(kind decide.EventKind, members []core.ListedMember) {
			line.List(kind, members)
			next(kind, members)
		}
	}
	dir := discovery.New(discovery.Config{Addr: c.Discovery, Version: c.version, Gateways: c.Decide.Fronts, Seed: c.seed,
		Pushed: !c.Decide.ListOnRequest}, list, dial, log)
	if line != nil {
		line.version = dir.Version
	}
	owner.Connect(pool, dir)
	g := &running{o: o, c: c, router: router, owner: owner, pool: pool, bufs: bufs, dir: dir, claims: call.NewActiveIDs(), over: over, line: line, ops: ops, most: share.Clients}
	if edge.Syslog != nil {
		p, err := startSyslog(edge.Syslog, owner, c.Decide.SlowStartTime, o)
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
	g.front = pgfront.New(owner, pgfront.Config{Settings: c.terms,
		MaxConnections: share.Clients, SpareConnections: int(sparePart * float64(share.Sockets)),
		ReservedBuffers: int(bufferReserve * float64(share.Buffers)),
		StartupTimeout:  startWait, WriteTimeout: writeWait, LingerTimeout: refuseWait, IdleTimeout: idleMost, MaxIdleConnections: int(idlePart * float64(share.Sockets)), Transfer: line.passes(), Claims: g.claims}, bufs, log)
	if line != nil {
		line.apply = g.limit(bufs, share)
		go line.run(share.Sockets)
	}
	return g, nil
}

// run serves listener until term ends, then winds down.
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
	plan := planOf(g.came(), c.terms.Current().MaxDeadline)
	g.owner.EndBy(g.owner.Now() + time.Until(plan.answer))
	g.ops.leave()
	if g.line.succeeded() { // who comes from now on waits for the other on the socket that both hold
		plan.accept = plan.came
	}
	if g.fleet != nil { // asks for a permit, and waits for it no longer than configured
		wait, stop := context.WithDeadline(context.Background(), plan.answer)
		g.fleet.AwaitStopPermit(wait)
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

// drain has all fronts of the parts answer what they took, until then at the latest.
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

// stop ends the parts in the reverse order of their start, all under one deadline.
func (g *running) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), partsMost)
	defer cancel()
	for _, p := range slices.Backward(g.parts) {
		if p.stop != nil {
			p.stop(ctx)
		}
	}
}

// plan says when what happens in a graceful shutdown. All of it counts from SIGTERM, as the platform counts.
type plan struct {
	came   time.Time // SIGTERM
	accept time.Time // connections are accepted until then: clients may still be sent here
	answer time.Time // what was taken has its answer by then
	word   time.Time // and commands that are not whole by then are not waited for
	last   time.Time // the process ends
}

// planOf plans for a SIGTERM that came then, longest being the longest deadline.
func planOf(came time.Time, longest time.Duration) plan {
	longest = min(longest, longestMost)
	return plan{came: came, accept: came.Add(acceptAfter), answer: came.Add(longest + answerMoment),
		word: came.Add(longest + wordMoment), last: came.Add(lastCall(longest))}
}

// windDown keeps accepting while clients may still be sent here, then answers
// what was taken and ends when all connections are gone, at the latest before
// the platform would end it.
func windDown(p plan, front *pgfront.Server, listener net.Listener, served <-chan error, log *slog.Logger) {
	log.Info("stopping", "accept_for", time.Until(p.accept).Round(time.Millisecond))
	late := time.NewTimer(time.Until(p.last))
	defer late.Stop()
	word := time.AfterFunc(time.Until(p.word), front.AbandonPartialMessages)
	defer word.Stop()
	time.Sleep(time.Until(p.accept))
	if p.accept.After(p.came) { // else who waits there is the successor's
		takeBacklog(listener, front.Handle, log)
	}
	_ = listener.Close()
	done := make(chan struct{})
	go func() {
		<-served // else the process could end with a connection that was accepted and that nobody has counted yet
		front.Shutdown()
		close(done)
	}()
	select {
	case <-done:
		log.Info("stopped")
	case <-late.C:
		log.Warn("stopped with connections open", "open", front.OpenConnections())
	}
}

// lastCall is how long after SIGTERM the gateway may still run: SIGKILL follows
// the longest deadline, which the platform takes as 3 s where it is longer.
func lastCall(longest time.Duration) time.Duration {
	return min(longest, longestMost) + lastMoment
}

// noticed returns a function that tells when ctx ended, counted from its end also where nobody looked yet.
func noticed(ctx context.Context) func() time.Time {
	at := make(chan time.Time, 1)
	context.AfterFunc(ctx, func() { at <- time.Now() })
	return sync.OnceValue(func() time.Time { return <-at })
}
