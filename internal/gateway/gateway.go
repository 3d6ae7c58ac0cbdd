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
	"reachwind/internal/throttle"
)

const (
	memberUser     = "app"
	memberDatabase = "shop"

	minSockets              = 64
	minDividedSockets       = 16 // descriptors divided among clients and members, even where subsystems claim nearly all
	minMemoryBytes          = 32 << 20
	clientFraction          = 0.5   // of the divided descriptors, for client connections
	idleClientFraction      = 0.08  // of the divided descriptors, for idle client connections
	closingFraction         = 0.08  // of the divided descriptors, for connections being closed or refused
	memberFraction          = 0.33  // of the divided descriptors, for member connections; the remainder covers the process's own descriptors
	bufferFraction          = 0.5   // of the memory, for buffers
	smallBufferFraction     = 0.125 // of the buffer memory, for small buffers: there must be more of them than connections
	softLimitFraction       = 0.8   // of the memory: the soft limit of Go's garbage collector
	gcPercent               = 25    // GOGC in per cent: most live memory is buffers, and the heap may grow in proportion to it
	defaultMemoryBytes      = 512 << 20
	programBytes            = 11 << 20               // of the program's file that are resident
	runtimeBytes            = 3 << 20                // of the runtime and of tables, apart from connections and buffers
	connectionBytes         = 12 << 10               // of a connection: its reader and its goroutine
	stopTimeout             = 2 * time.Second        // for all subsystems to stop, after the last client has left
	acceptAfterTerm         = 500 * time.Millisecond // after SIGTERM: clients are still routed here for 0.4 s
	answerMargin            = 350 * time.Millisecond // past the longest deadline: every accepted request has been answered
	partialCommandMargin    = 400 * time.Millisecond // past the longest deadline: incomplete commands are no longer waited for
	exitMargin              = 600 * time.Millisecond // past the longest deadline: the process exits; SIGKILL may follow 0.1 s later
	defaultConnectTimeout   = 250 * time.Millisecond
	defaultIdleClose        = 15 * time.Second
	defaultStopSendingGrace = 250 * time.Millisecond
	maxCountedDeadline      = 3 * time.Second // the platform counts longer deadlines as this one
	startupTimeout          = 2500 * time.Millisecond
	writeTimeout            = 5 * time.Second
	lingerTimeout           = time.Second
	clientIdleTimeout       = 2 * time.Second
	minBuffers              = 16
	passThroughReserve      = 0.5  // of the buffers, withheld from answers that are passed through: these can do without buffers
	memberAnswerReserve     = 0.15 // of the buffers, for members' answers, which hold them only briefly
)

// Options hold the settings of a process that come from its command line.
type Options struct {
	ConfigPath string // of the configuration file; read again on SIGHUP
	EdgePath   string // path of the product configuration; empty: none, and its subsystems do not run
	Version    string
	Log        *slog.Logger
	Records    *record.Handler // the handler behind Log, which is given the sink of records
	Dial       pgmember.Dialer // to members and discovery; nil: TCP
	// HandoverDir is the folder in which successive processes of this gateway share state; empty: no handover.
	HandoverDir string
	WallClock   func() time.Time // nil: the system's clock; test labs set it to simulate clock offsets
}

// Serve runs the gateway until SIGTERM or SIGINT, then shuts it down gracefully. SIGHUP
// reloads the configuration. It is handled until Serve returns, since its default action ends the process.
// The error is that of a start that failed, or of a listener that failed while serving.
func Serve(c *Config, o Options) error {
	hup := c.hup
	if hup == nil {
		hup = make(chan os.Signal, 1)
		signal.Notify(hup, syscall.SIGHUP)
	}
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	runtime.GOMAXPROCS(1) // a gateway is given one CPU core: more threads would only compete for it
	if c.memoryBytes > 0 {
		debug.SetMemoryLimit(softMemoryLimit(c.memoryBytes))
		debug.SetGCPercent(gcPercent)
	}
	fd := os.Getenv("NODE_SOCKET_FD")
	listener, err := listen(c.Listen, fd)
	if err != nil {
		return err
	}
	if fd != "" {
		o.HandoverDir = os.TempDir()
	}
	defer func() { _ = listener.Close() }()
	return Run(term, hup, c, listener, o)
}

// subsystem is a subsystem that the product configuration enables.
type subsystem struct {
	name string
	// prepare checks a new configuration; apply puts it into force. A configuration that adds or removes the
	// subsystem is an error, since that takes a restart.
	prepare   func(*Edge) (apply func(), err error)
	drain     func(context.Context) // for fronts: accept nothing new and answer accepted requests; nil: nothing to do
	stop      func(context.Context) // called once all fronts have drained; nil: nothing to do
	stopEarly bool                  // stop is also called before the last long answers have ended; it may be called twice
}

// instance is a running gateway.
type instance struct {
	options    Options
	config     *Config
	router     *decide.Router
	core       *core.Core
	pool       *pgmember.Pool
	buffers    *pgwire.Pool
	discovery  *discovery.Client
	front      *pgfront.Server
	activeIDs  *call.ActiveIDs
	subsystems []subsystem
	overlay    *overlay                       // nil: no council is configured
	admin      *adminOperator                 // nil: no admin API
	fleet      *fleet.Fleet                   // nil: no fleet is configured
	handover   *processHandover               // nil: no handover between processes
	maxClients int                            // maximum number of client connections
	listener   atomic.Pointer[toggleListener] // nil: not serving yet, or no fleet
	termAt     func() time.Time               // when SIGTERM arrived; waits for it
}

// Sizes are the lengths of the tables that could grow with time or with peers' input; docs/design/fleet.md lists their
// bounds.
type Sizes struct {
	Decide    decide.Sizes
	Core      core.Sizes
	Pool      pgmember.Sizes
	ActiveIDs int // ids of requests in progress
}

// sizes collects them on the core's goroutine, which must be running.
func (g *instance) sizes() (s Sizes) {
	done := make(chan struct{})
	g.core.Post(func() {
		s = Sizes{Decide: g.router.Sizes(), Core: g.core.Sizes(), Pool: g.pool.Sizes(), ActiveIDs: g.activeIDs.Len()}
		close(done)
	})
	<-done
	return s
}

// reload applies the changes of the configuration files that are possible while the gateway runs. If any part of them is
// unusable nothing is applied. toldAt is when SIGHUP came.
func (g *instance) reload(toldAt time.Time) {
	next, err := g.readReload()
	var apply []func()
	if err == nil && g.options.EdgePath != "" {
		var edge *Edge
		if edge, err = loadEdge(g.options.EdgePath, g.config, next.active.Names); err == nil {
			running := map[string]bool{}
			for _, p := range g.subsystems {
				running[p.name] = true
			}
			for name, wanted := range map[string]bool{"syslog": edge.Syslog != nil, "rest": edge.REST != nil, "fleet": edge.Fleet != nil} {
				if wanted && !running[name] {
					err = fmt.Errorf("%s: %w", name, errRestart)
				}
			}
			for _, p := range g.subsystems {
				if err != nil {
					break
				}
				applyOne, prepareErr := p.prepare(edge)
				if err = prepareErr; err != nil {
					err = fmt.Errorf("%s: %w", p.name, err)
					break
				}
				apply = append(apply, applyOne)
			}
		}
	}
	if err != nil {
		g.options.Log.Error("reload failed, the old configuration holds", "err", err)
		return
	}
	for _, f := range apply {
		f()
	}
	g.applyReload(next)
	g.options.Log.Info("reloaded", "discovery", next.config.Discovery)
	g.discovery.SetAddr(next.config.Discovery, toldAt)
}

// Run is Serve without signals: it serves listener until term ends, and reloads the configuration at each value of hup.
func Run(term context.Context, hup <-chan os.Signal, c *Config, listener net.Listener, o Options) error {
	termAt := endTime(term) // SIGTERM may arrive while the gateway is being built
	g, err := build(c, o)
	if err != nil {
		return err
	}
	g.termAt = termAt
	return g.run(term, hup, listener)
}

// build assembles a gateway. Its subsystems are started; the core, discovery and the PostgreSQL front are not.
func build(c *Config, o Options) (*instance, error) {
	log := o.Log
	edge := new(Edge)
	if o.EdgePath != "" {
		var err error
		if edge, err = LoadEdge(o.EdgePath, c); err != nil {
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
	budget := c.Budget(edge)
	work := throttle.NewBudget(c.cores, budget.ClientConnections)
	buffers := pgwire.NewPool(budget.Buffers, budget.SmallBuffers)
	clock := core.NewClock()
	handover := openHandover(o.HandoverDir, c, clock.Now, log)
	engine := core.New(clock, handover.shareDeadlines(router), log)
	pool := pgmember.New(engine, memberPoolConfig(c.settings, budget.MemberConnections, int(passThroughReserve*float64(budget.Buffers))), buffers, dial, log)
	sink := discovery.Sink(engine.List)
	handover.loadList(c)
	handover.saveConfig(c.source)
	c.source = nil
	var admin *adminOperator
	if c.Admin != "" {
		admin = newAdminOperator(c.adminConfig(), engine, log)
		admin.handover = handover
		sink = admin.List
		if handover != nil {
			handover.importSuspensions = admin.importSuspensions
			admin.importSuspensions(0)
		}
	}
	var councilOverlay *overlay
	if edge.Fleet != nil && len(edge.Fleet.Council) > 0 {
		councilOverlay = newOverlay(c.Name, sink)
		sink = councilOverlay.List
	}
	if handover != nil {
		engine.SetSharedCommits(handover)
		next := sink
		sink = func(kind decide.EventKind, members []core.ListedMember) {
			handover.List(kind, members)
			next(kind, members)
		}
	}
	discoveryClient := discovery.New(discovery.Config{Addr: c.Discovery, Version: c.listVersion, Gateways: c.Decide.Fronts, Seed: c.seed,
		Pushed: !c.Decide.ListOnRequest, CallSink: engine.PostEvent}, sink, dial, log)
	if handover != nil {
		handover.listVersion = discoveryClient.Version
	}
	engine.Connect(pool, discoveryClient)
	g := &instance{options: o, config: c, router: router, core: engine, pool: pool, buffers: buffers, discovery: discoveryClient, activeIDs: call.NewActiveIDs(), overlay: councilOverlay, handover: handover, admin: admin, maxClients: budget.ClientConnections}
	if edge.Syslog != nil {
		p, err := startSyslog(edge.Syslog, engine, c.Decide.SlowStartTime, o)
		if err != nil {
			return nil, fmt.Errorf("syslog: %w", err)
		}
		g.subsystems = append(g.subsystems, p)
	}
	if edge.REST != nil {
		p, err := startREST(edge.REST, engine, g.activeIDs, work, log)
		if err != nil {
			g.stop()
			return nil, fmt.Errorf("rest: %w", err)
		}
		g.subsystems = append(g.subsystems, p)
	}
	if edge.Fleet != nil {
		p, err := startFleet(edge.Fleet, g, budget.Buffers)
		if err != nil {
			g.stop()
			return nil, fmt.Errorf("fleet: %w", err)
		}
		g.subsystems = append(g.subsystems, p)
	}
	sink(decide.ListSaved, c.Known)
	if c.listCurrent || c.listUsable != 0 {
		engine.PostEvent(c.savedListEvent())
	}
	g.front = pgfront.New(engine, pgfront.Config{Settings: c.active,
		MaxConnections: budget.ClientConnections, SpareConnections: int(closingFraction * float64(budget.DividedSockets)),
		ReservedBuffers: int(memberAnswerReserve * float64(budget.Buffers)),
		StartupTimeout:  startupTimeout, WriteTimeout: writeTimeout, LingerTimeout: lingerTimeout, IdleTimeout: clientIdleTimeout, MaxIdleConnections: int(idleClientFraction * float64(budget.DividedSockets)), Transfer: handover.passFunc(), Claims: g.activeIDs, Work: work}, buffers, log)
	if handover != nil {
		handover.applyLimits = g.limiter(buffers, budget)
		go handover.run(budget.DividedSockets)
	}
	return g, nil
}

// run serves listener until term ends, then shuts down gracefully.
func (g *instance) run(term context.Context, hup <-chan os.Signal, listener net.Listener) error {
	c, log := g.config, g.options.Log
	if g.termAt == nil {
		g.termAt = endTime(term)
	}
	if g.fleet != nil {
		toggle := newToggleListener(listener)
		g.listener.Store(toggle)
		listener = toggle
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := g.admin.start(); err != nil {
		return err
	}
	defer g.admin.stop()
	go g.core.Run(ctx)
	discoveryCtx, stopDiscovery := context.WithCancel(ctx)
	defer stopDiscovery()
	go g.discovery.Run(discoveryCtx)
	go func() {
		for {
			select {
			case <-hup:
				g.reload(time.Now())
			case <-ctx.Done():
				return
			}
		}
	}()
	failed := make(chan error, 1)
	g.handover.awaitDiscovery(term.Done())
	go func() { failed <- g.front.Serve(listener) }()
	g.handover.setReady(g.front.Adopt)
	g.admin.setServing()
	log.Info("serving", "name", c.Name, "listen", listener.Addr().String(), "members", len(c.Known), "version", g.options.Version)

	select {
	case err := <-failed:
		return fmt.Errorf("accept: %w", err)
	case <-term.Done():
	}
	plan := planShutdown(g.termAt(), c.active.Current().MaxDeadline)
	g.core.EndBy(g.core.Now() + time.Until(plan.answerBy))
	g.admin.setStopping()
	if g.handover.hasSuccessor() { // new connections wait for the successor on the socket that both processes hold
		plan.acceptUntil = plan.termAt
	}
	if g.fleet != nil { // requests a permit, and waits for it no longer than configured
		wait, stop := context.WithDeadline(context.Background(), plan.answerBy)
		g.fleet.AwaitStopPermit(wait)
		stop()
	}
	drained := make(chan struct{})
	go func() {
		g.drain(plan.exitBy)
		close(drained)
	}()
	ended := shutDown(plan, g.front, listener, failed, log)
	<-drained
	if !ended {
		g.finishLongAnswers(stopDiscovery)
	}
	g.stop()
	g.handover.stop()
	return nil
}

// drain lets the fronts of all subsystems answer the requests they have accepted, and returns at until at the latest.
func (g *instance) drain(until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	var done sync.WaitGroup
	for _, p := range g.subsystems {
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

// stop stops all subsystems.
func (g *instance) stop() { g.stopSubsystems(func(subsystem) bool { return true }) }

// stopSubsystems stops the selected subsystems in the reverse order of their start, all under one deadline.
func (g *instance) stopSubsystems(selected func(subsystem) bool) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, p := range slices.Backward(g.subsystems) {
		if p.stop != nil && selected(p) {
			p.stop(ctx)
		}
	}
}

// shutdownPlan is the schedule of a graceful shutdown. All times count from SIGTERM, as the platform counts.
type shutdownPlan struct {
	termAt               time.Time // SIGTERM arrived
	acceptUntil          time.Time // connections are accepted until then: clients may still be routed here
	answerBy             time.Time // accepted requests have been answered by then
	partialCommandsUntil time.Time // incomplete commands are no longer waited for
	exitBy               time.Time // the process exits
}

// planShutdown returns the schedule after a SIGTERM at termAt; longest is the longest deadline of any class.
func planShutdown(termAt time.Time, longest time.Duration) shutdownPlan {
	longest = min(longest, maxCountedDeadline)
	return shutdownPlan{termAt: termAt, acceptUntil: termAt.Add(acceptAfterTerm), answerBy: termAt.Add(longest + answerMargin),
		partialCommandsUntil: termAt.Add(longest + partialCommandMargin), exitBy: termAt.Add(maxShutdown(longest))}
}

// shutDown keeps accepting while clients may still be routed here, then answers accepted
// requests and returns when all connections are closed, at the latest before the platform
// sends SIGKILL. It reports false if long answers are still being written then.
func shutDown(p shutdownPlan, front *pgfront.Server, listener net.Listener, served <-chan error, log *slog.Logger) bool {
	log.Info("stopping", "accept_for", time.Until(p.acceptUntil).Round(time.Millisecond))
	exitTimer := time.NewTimer(time.Until(p.exitBy))
	defer exitTimer.Stop()
	abandonTimer := time.AfterFunc(time.Until(p.partialCommandsUntil), front.AbandonPartialMessages)
	defer abandonTimer.Stop()
	time.Sleep(time.Until(p.acceptUntil))
	if p.acceptUntil.After(p.termAt) { // otherwise waiting connections belong to the successor
		acceptBacklog(listener, front.Handle, log)
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
	case <-exitTimer.C:
		if answers := front.LongAnswers(); answers > 0 {
			log.Info("stopping, but for long answers that are being written", "answers", answers)
			return false
		}
		log.Warn("stopped with connections open", "open", front.OpenConnections())
	}
	return true
}

// finishLongAnswers waits for the long answers that are being written: they have no deadline, and each ends by itself where
// nothing moves. What a next process needs, or what is no longer of use, is stopped first.
func (g *instance) finishLongAnswers(stopDiscovery func()) {
	stopDiscovery()
	g.admin.stop()
	g.stopSubsystems(func(p subsystem) bool { return p.stopEarly })
	ctx, cancel := context.WithTimeout(context.Background(), pgfront.MaxStreamTime)
	defer cancel()
	if left := g.front.AwaitLongAnswers(ctx); left > 0 {
		g.options.Log.Warn("stopped with long answers cut off", "answers", left, "after", pgfront.MaxStreamTime)
		return
	}
	g.options.Log.Info("stopped after long answers", "open", g.front.OpenConnections())
}

// maxShutdown returns how long the gateway may run after SIGTERM. SIGKILL follows
// the longest deadline, which the platform counts as 3 s where it is longer.
func maxShutdown(longest time.Duration) time.Duration {
	return min(longest, maxCountedDeadline) + exitMargin
}

// endTime returns a function that waits for the end of ctx and returns its time, recorded when ctx ended and not when
// the function is called.
func endTime(ctx context.Context) func() time.Time {
	at := make(chan time.Time, 1)
	context.AfterFunc(ctx, func() { at <- time.Now() })
	return sync.OnceValue(func() time.Time { return <-at })
}
