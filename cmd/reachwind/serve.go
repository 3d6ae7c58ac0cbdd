package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"reachwind/decide"
	"reachwind/internal/core"
	"reachwind/internal/discovery"
	"reachwind/internal/pgfront"
	"reachwind/internal/pgmember"
	"reachwind/internal/pgwire"
)

const (
	user     = "app"
	database = "shop"

	leastSockets  = 64
	leastMemory   = 32 << 20
	clientPart    = 0.5  // of the descriptors, for client connections
	idlePart      = 0.08 // of those, for such as are idle
	sparePart     = 0.08 // for those being ended or refused
	memberPart    = 0.33 // for member connections; the rest is for discovery, the listener and the runtime
	bufferPart    = 0.5  // of the memory, for buffers
	softPart      = 0.8  // of the memory, above which the collector works harder
	garbagePart   = 25   // per cent of what is in use: buffers are most of that, and garbage may grow with it
	freeMemory    = 512 << 20
	acceptAfter   = 500 * time.Millisecond // clients keep coming for 0.4 s after SIGTERM
	lastMoment    = 600 * time.Millisecond // past the longest deadline; SIGKILL may come 0.1 s later
	connectUsual  = 250 * time.Millisecond
	idleUsual     = 15 * time.Second
	graceUsual    = 250 * time.Millisecond
	longestMost   = 3 * time.Second
	startWait     = 2500 * time.Millisecond
	writeWait     = 5 * time.Second
	refuseWait    = time.Second
	idleMost      = 2 * time.Second
	buffersLeast  = 16
	bufferReserve = 0.15 // of the buffers, for the members' answers, which hold them for moments only
)

// serve runs the gateway until SIGTERM or SIGINT, then winds it down. SIGHUP has
// it read the configuration at path again; until the very end, as it would end the program.
func serve(c *config, path string, log *slog.Logger) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	term, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	runtime.GOMAXPROCS(1) // a gateway has one core: more threads would only take turns on it
	if c.memory > 0 {
		debug.SetMemoryLimit(int64(softPart * float64(c.memory)))
		debug.SetGCPercent(garbagePart)
	}
	listener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	return run(term, hup, c, path, listener, log)
}

// reload takes from the configuration what may change while the gateway runs.
// A file that cannot be used changes nothing.
func reload(path string, dir *discovery.Client, log *slog.Logger) {
	c, err := load(path)
	if err != nil {
		log.Error("reload failed, the old configuration holds", "err", err)
		return
	}
	log.Info("reloaded", "discovery", c.discovery)
	dir.Move(c.discovery)
}

// run serves listener until term ends.
func run(term context.Context, hup <-chan os.Signal, c *config, path string, listener net.Listener, log *slog.Logger) error {
	router, err := decide.New(*c.decide, c.seed)
	if err != nil {
		return err
	}
	memory := c.memory
	if memory == 0 {
		memory = freeMemory
	}
	f := c.facts
	buffers := max(buffersLeast, int(bufferPart*float64(memory))/pgwire.BufSize)
	bufs := pgwire.NewPool(buffers)
	owner := core.New(core.NewClock(), router, log)
	pool := pgmember.New(owner, pgmember.Config{User: user, Database: database,
		Max:     int(memberPart * float64(c.sockets)),
		Idle:    span(f.Allowed.IdleCloseUs, idleUsual),
		Connect: span(f.Allowed.ConnectTimeoutUs, connectUsual),
		Grace:   span(f.Rules.StopSendingWithinUs, graceUsual), DrainOnly: f.Rules.DrainBindsAlone,
		Names: f.Feedback.Names}, bufs, pgmember.Dial, log)
	dir := discovery.New(c.discovery, c.version, owner.List, pgmember.Dial, log)
	owner.Connect(pool, dir)
	owner.List(decide.ListSaved, c.known)
	front := pgfront.New(owner, pgfront.Config{Classes: c.decide.Classes, Tenants: c.decide.Tenants,
		Max: int(clientPart * float64(c.sockets)), Spare: int(sparePart * float64(c.sockets)),
		ComeBack:  c.decide.MaxRetryAfter,
		Keep:      int(bufferReserve * float64(buffers)),
		StartWait: startWait, WriteWait: writeWait, RefuseWait: refuseWait, IdleMost: idleMost, IdleKeep: int(idlePart * float64(c.sockets))}, bufs, log)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go owner.Run(ctx)
	go dir.Run(ctx)
	go func() {
		for {
			select {
			case <-hup:
				reload(path, dir, log)
			case <-ctx.Done():
				return
			}
		}
	}()
	failed := make(chan error, 1)
	go func() { failed <- front.Serve(listener) }()
	log.Info("serving", "name", c.name, "listen", listener.Addr().String(), "members", len(c.known), "version", version)

	select {
	case err := <-failed:
		return fmt.Errorf("accept: %w", err)
	case <-term.Done():
	}
	return windDown(c, front, listener, log)
}

// windDown keeps accepting while clients may still be sent here, then answers
// what was taken and ends when all connections are gone, at the latest before
// the platform would end it.
func windDown(c *config, front *pgfront.Server, listener net.Listener, log *slog.Logger) error {
	log.Info("stopping", "accept_for", acceptAfter)
	late := time.After(lastCall(c.decide.Classes))
	time.Sleep(acceptAfter)
	_ = listener.Close()
	done := make(chan struct{})
	go func() {
		front.Shutdown()
		close(done)
	}()
	select {
	case <-done:
		log.Info("stopped")
	case <-late:
		log.Warn("stopped with connections open")
	}
	return nil
}

// lastCall is how long after SIGTERM the gateway may still run: SIGKILL follows
// the longest deadline, which the platform takes as 3 s where it is longer.
func lastCall(classes []decide.Class) time.Duration {
	longest := time.Duration(0)
	for i := range classes {
		longest = max(longest, classes[i].Deadline)
	}
	return min(longest, longestMost) + lastMoment
}

func span(us int64, usual time.Duration) time.Duration {
	if us <= 0 {
		return usual
	}
	return time.Duration(us) * time.Microsecond
}
